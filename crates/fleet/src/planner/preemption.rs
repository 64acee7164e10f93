//! Preemption of other runs for urgent work when the fleet is full.
//!
//! Urgent work is best started at once, on workers that are fast enough for its objective. Where
//! that would lose more work of others than a late start costs its customer, workers are first kept
//! free for it, for up to [`CHEAPER_PLACEMENT_TIMEOUT`]. After that, the runs with the least loss
//! are stopped. Urgent work that its customer's guarantee covers may also preempt urgent work that
//! no guarantee covers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::dispatch::place_step;
use super::disruption::DisruptionBudgets;
use super::reservation::{Reservation, task_placements};
use super::{FleetPlanner, PlannerLogEvent};
use crate::placement::{PlacementRequest, PlacementScope, PlacementSnapshot};
use crate::preemption::{PreemptionPlan, VictimGroup, VictimRun, plan_preemption};
use crate::queue::{URGENT_PRIORITY, objective, step_work};
use crate::run::{RunEntry, RunPhase};
use crate::spec::{JobKey, StepKey, StepSpec};

/// Time for which urgent work waits for a placement in its rack: half of the time within which
/// guaranteed accelerators must be reclaimed.
const RACK_WAIT_TIMEOUT: Duration = Duration::from_millis(1400);
/// Time from a decision until a task works: the order, the start on the worker and the first
/// progress.
const START_LATENCY: Duration = Duration::from_millis(60);
/// Factor on the speed that urgent work needs, for errors of the estimates.
const SPEED_MARGIN: f64 = 1.1;
/// Maximum speed that any worker is expected to have; work that needs more is late anyway.
const MAX_EXPECTED_SPEED: f64 = 2.0;
/// Time that a stop costs a run that saves checkpoints, in seconds.
const RESTORE_SECONDS: f64 = 0.3;
/// Loss that is added to the lost work of every stop, in core-seconds, so that fewer stops are
/// preferred.
const BASE_STOP_LOSS: f64 = 1.0;
/// Maximum loss that is accepted at once for an urgent step, in core-seconds.
const MAX_IMMEDIATE_LOSS: f64 = 600.0;
/// Time for which an urgent step waits for a cheaper placement: a third of the time within which
/// guaranteed accelerators must be reclaimed.
const CHEAPER_PLACEMENT_TIMEOUT: Duration = Duration::from_millis(900);
/// Additional loss that is accepted, in core-seconds, rather than start an urgent step on workers
/// too slow for its objective.
const MAX_EXTRA_LOSS_FOR_SPEED: f64 = 900.0;
/// Loss that is added instead for urgent work, so that other work whose loss is acceptable at once
/// is stopped first.
const URGENT_STOP_LOSS: f64 = MAX_IMMEDIATE_LOSS;

impl FleetPlanner {
    /// Preempts other runs for urgent tasks that do not fit.
    pub(super) fn preempt_for(
        &mut self,
        snapshot: &mut PlacementSnapshot,
        request: PlacementRequest<'_>,
        scope: PlacementScope,
        tasks: &[u32],
        now: Duration,
    ) {
        let victims =
            self.preemption_victims(snapshot, self.covered_jobs.contains(&request.key.job));
        let waited = self.record_waiting(request.key, now);
        let fast = if request.min_speed > 0.0 {
            plan_preemption(snapshot, &request, scope, &victims)
        } else {
            None
        };
        if let Some(plan) = &fast {
            if plan.loss <= MAX_IMMEDIATE_LOSS {
                self.execute_preemption(snapshot, &request, plan, &victims, tasks, now);
                return;
            }
            if waited < CHEAPER_PLACEMENT_TIMEOUT {
                plan.slots.iter().for_each(|slot| snapshot.slots[*slot].accepts_starts = false);
                return;
            }
        }
        let any_speed = PlacementRequest { min_speed: 0.0, ..request };
        if self.place_at_any_speed(snapshot, &any_speed, tasks, now) {
            return;
        }
        // Outside of its rack the work would be late, so it waits for its rack first.
        let scope = snapshot.preferred_scope(&any_speed);
        let may_widen = scope != PlacementScope::Rack || waited > RACK_WAIT_TIMEOUT;
        let scopes = if may_widen { [scope, PlacementScope::Region] } else { [scope, scope] };
        let slow =
            scopes.iter().find_map(|scope| plan_preemption(snapshot, &any_speed, *scope, &victims));
        let loss = |plan: &Option<PreemptionPlan>| plan.as_ref().map_or(f64::MAX, |plan| plan.loss);
        let best =
            if loss(&fast) <= loss(&slow) + MAX_EXTRA_LOSS_FOR_SPEED { &fast } else { &slow };
        if let Some(plan) = best.as_ref().or(slow.as_ref()) {
            self.execute_preemption(snapshot, &any_speed, plan, &victims, tasks, now);
        } else if !request.spec.gang && tasks.len() > 1 {
            // There is no room for all tasks, so half of them are tried if they are separate.
            let half = &tasks[..tasks.len() / 2];
            let request = PlacementRequest { count: half.len(), ..request };
            self.preempt_for(snapshot, request, scope, half, now);
        }
    }

    /// Starts urgent tasks on free workers of any speed; returns whether there were any.
    fn place_at_any_speed(
        &mut self,
        snapshot: &mut PlacementSnapshot,
        request: &PlacementRequest<'_>,
        tasks: &[u32],
        now: Duration,
    ) -> bool {
        let scope = snapshot.preferred_scope(request);
        let placed = place_step(snapshot, request, scope);
        let placements = task_placements(snapshot, request.key, tasks, &placed);
        self.start_or_announce(request.key, placements, now);
        !placed.is_empty()
    }

    /// Stops the runs in a plan and reserves their workers for urgent tasks.
    fn execute_preemption(
        &mut self,
        snapshot: &mut PlacementSnapshot,
        request: &PlacementRequest<'_>,
        plan: &PreemptionPlan,
        victims: &[VictimGroup],
        tasks: &[u32],
        now: Duration,
    ) {
        let waited = self.record_waiting(request.key, now);
        if let Some(job) = self.jobs.get_mut(&request.key.job) {
            job.announce(plan.slots.iter().map(|slot| &snapshot.slots[*slot].id));
        }
        if !plan.stopped.is_empty() {
            self.log_events.push(PlannerLogEvent::RunsPreempted {
                job: request.key.job,
                waited,
                preempted_jobs: jobs_of(plan, victims),
                loss: plan.loss,
            });
        }
        for index in &plan.stopped {
            self.counts.preemptions += 1;
            for stopped in &victims[*index].runs {
                let worker = snapshot.slots[stopped.slot].id.clone();
                self.order_stop(&worker, stopped.task, stopped.run, now);
            }
        }
        let placements = task_placements(snapshot, request.key, tasks, &plan.slots);
        for slot in plan.slots.iter().take(placements.len()) {
            snapshot.reserve(*slot, request.key, &request.spec.demand);
        }
        self.reservations.push(Reservation { key: request.key, placements, since: now });
    }

    /// Returns the minimum speed at which urgent work is on time; 0 if it can't be on time any
    /// more.
    pub(super) fn required_speed(&self, key: StepKey, now: Duration) -> f64 {
        let Some(job) = self.jobs.get(&key.job) else {
            return 0.0;
        };
        let Some(policy) = self.config.queues.get(&job.submission.queue) else {
            return 0.0;
        };
        let time_left =
            (job.accepted_at + objective(job, policy)).saturating_sub(now + START_LATENCY);
        let path = job.submission.spec.critical_path().as_secs_f64();
        let needed = path / time_left.as_secs_f64().max(f64::MIN_POSITIVE) * SPEED_MARGIN;
        if needed > MAX_EXPECTED_SPEED { 0.0 } else { needed }
    }

    /// Returns the runs that may be stopped for urgent work. Urgent runs that no guarantee covers
    /// are included only if the work is covered.
    fn preemption_victims(
        &self,
        snapshot: &PlacementSnapshot,
        for_covered: bool,
    ) -> Vec<VictimGroup> {
        let mut victims: Vec<VictimGroup> = Vec::new();
        let mut gangs = BTreeMap::new();
        let mut budgets = DisruptionBudgets::default();
        for (id, worker) in &self.workers {
            let Some(slot) = snapshot.index(id) else {
                continue;
            };
            for ((task, run), entry) in &worker.runs {
                let is_stopping = matches!(entry.phase, RunPhase::Stopping { .. });
                let urgent = self.task_priority(*task) == Some(URGENT_PRIORITY);
                let is_protected =
                    urgent && (!for_covered || self.covered_jobs.contains(&task.job));
                if is_stopping || is_protected {
                    continue;
                }
                let Some(spec) = self.task_spec(*task) else {
                    continue;
                };
                if !budgets.try_consume(self, task.step_key(), spec) {
                    continue;
                }
                let victim = VictimRun { slot, task: *task, run: *run, demand: entry.demand };
                let loss = stop_loss(spec, entry);
                let position = if spec.gang {
                    *gangs.entry(task.step_key()).or_insert(victims.len())
                } else {
                    victims.len()
                };
                match victims.get_mut(position) {
                    Some(group) => {
                        group.loss += loss;
                        group.runs.push(victim);
                    }
                    None => {
                        let key = task.step_key();
                        let base_loss = if urgent { URGENT_STOP_LOSS } else { BASE_STOP_LOSS };
                        victims.push(VictimGroup {
                            loss: loss + base_loss,
                            key,
                            runs: vec![victim],
                        });
                    }
                }
            }
        }
        victims
    }
}

/// Returns the jobs whose runs a plan stops, each once.
fn jobs_of(plan: &PreemptionPlan, victims: &[VictimGroup]) -> Vec<JobKey> {
    let jobs: BTreeSet<JobKey> = plan.stopped.iter().map(|index| victims[*index].key.job).collect();
    jobs.into_iter().collect()
}

/// Returns the work that a stop loses, in core-seconds.
fn stop_loss(spec: &StepSpec, entry: &RunEntry) -> f64 {
    let work = step_work(spec, 1);
    if spec.checkpoints {
        work * (RESTORE_SECONDS / spec.estimate.as_secs_f64().max(RESTORE_SECONDS))
    } else {
        work * f64::from(entry.percent) / 100.0
    }
}
