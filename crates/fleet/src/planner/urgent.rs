//! Room for urgent work when the fleet is full.
//!
//! Urgent work is best started at once on workers that are fast enough for its objective. Where that
//! would throw away more work of others than a late start costs its customer, it first waits a moment
//! beside workers that are kept free for it, and then takes what loses the least. Urgent work that its
//! customer's guarantee covers may also displace urgent work that no guarantee covers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::away::AwayBudgets;
use super::dispatch::place_step;
use super::reservation::{Reservation, task_places};
use super::{FleetPlanner, PlannerNote};
use crate::placement::{PlaceBoard, PlaceReach, PlaceRequest};
use crate::queue::{URGENT, objective, step_work};
use crate::reclaim::{BorrowerPart, BorrowerUnit, ReclaimPlan, plan_reclaim};
use crate::spec::{JobKey, StepKey, StepSpec};
use crate::worker::{RunEntry, RunPhase};

/// Time for which urgent work waits for room in its rack; half of the time within which guaranteed
/// accelerators have to be reclaimed.
const RACK_WAIT: Duration = Duration::from_millis(1400);
/// Time from a decision until a task works: the order, the worker and its first progress.
const START_TIME: Duration = Duration::from_millis(60);
/// Margin on the speed that urgent work needs, for errors of the estimates.
const SPEED_MARGIN: f64 = 1.1;
/// Speed above which no worker is expected; work that needs it is late anyway.
const BEST_SPEED: f64 = 2.0;
/// Work that a stop costs a run that checkpoints, in seconds.
const RESTORE_COST: f64 = 0.3;
/// Smallest loss of a stop in core-seconds, so that fewer stops are preferred.
const LEAST_LOSS: f64 = 1.0;
/// Work of others that may be thrown away for an urgent step at once, in core-seconds.
const LOSS_AT_ONCE: f64 = 600.0;
/// Time for which an urgent step waits for cheaper room: a third of the time within which guaranteed
/// accelerators have to be reclaimed.
const CHEAPER_WAIT: Duration = Duration::from_millis(900);
/// Work of others that is thrown away rather than an urgent step started too slow to be on time.
const LOSS_FOR_SPEED: f64 = 900.0;
/// Loss that a stop of urgent work counts as beside its own, in core-seconds: all other work goes
/// first that may be thrown away at once.
const URGENT_LOSS: f64 = LOSS_AT_ONCE;

impl FleetPlanner {
    /// Makes room for urgent tasks that did not fit.
    pub(super) fn make_room(
        &mut self,
        board: &mut PlaceBoard,
        request: PlaceRequest<'_>,
        reach: PlaceReach,
        tasks: &[u32],
        now: Duration,
    ) {
        let units = self.borrowers(board, self.covered.contains(&request.key.job));
        let waited = self.note_waiting(request.key, now);
        let fast = if request.least_speed > 0.0 {
            plan_reclaim(board, &request, reach, &units)
        } else {
            None
        };
        if let Some(plan) = &fast {
            if plan.loss <= LOSS_AT_ONCE {
                self.carry_out(board, &request, plan, &units, tasks, now);
                return;
            }
            if waited < CHEAPER_WAIT {
                plan.places.iter().for_each(|slot| board.slots[*slot].open = false);
                return;
            }
        }
        let any = PlaceRequest { least_speed: 0.0, ..request };
        if self.place_slow(board, &any, tasks, now) {
            return;
        }
        // Away from its rack the work would be late, so it rather waits for a moment.
        let reach = board.preferred_reach(&any);
        let wide = reach != PlaceReach::Rack || waited > RACK_WAIT;
        let reaches = if wide { [reach, PlaceReach::Region] } else { [reach, reach] };
        let slow = reaches.iter().find_map(|reach| plan_reclaim(board, &any, *reach, &units));
        let loss = |plan: &Option<ReclaimPlan>| plan.as_ref().map_or(f64::MAX, |plan| plan.loss);
        let best = if loss(&fast) <= loss(&slow) + LOSS_FOR_SPEED { &fast } else { &slow };
        if let Some(plan) = best.as_ref().or(slow.as_ref()) {
            self.carry_out(board, &any, plan, &units, tasks, now);
        } else if !request.spec.gang && tasks.len() > 1 {
            // There is no room for all of them; separate tasks start as far as there is.
            let half = &tasks[..tasks.len() / 2];
            let request = PlaceRequest { count: half.len(), ..request };
            self.make_room(board, request, reach, half, now);
        }
    }

    /// Starts urgent tasks on free workers of any speed.
    fn place_slow(
        &mut self,
        board: &mut PlaceBoard,
        request: &PlaceRequest<'_>,
        tasks: &[u32],
        now: Duration,
    ) -> bool {
        let reach = board.preferred_reach(request);
        let placed = place_step(board, request, reach);
        let places = task_places(board, request.key, tasks, &placed);
        self.start_or_announce(request.key, places, now);
        !placed.is_empty()
    }

    /// Stops borrowers and reserves their room for urgent tasks.
    fn carry_out(
        &mut self,
        board: &mut PlaceBoard,
        request: &PlaceRequest<'_>,
        plan: &ReclaimPlan,
        units: &[BorrowerUnit],
        tasks: &[u32],
        now: Duration,
    ) {
        let waited = self.note_waiting(request.key, now);
        if let Some(job) = self.jobs.get_mut(&request.key.job) {
            job.announce(plan.places.iter().map(|slot| &board.slots[*slot].id));
        }
        if !plan.stopped.is_empty() {
            self.notes.push(PlannerNote::Reclaimed {
                job: request.key.job,
                waited,
                borrowers: jobs_of(plan, units),
                loss: plan.loss,
            });
        }
        for index in &plan.stopped {
            self.counts.preemptions += 1;
            for part in &units[*index].parts {
                let worker = board.slots[part.slot].id.clone();
                self.order_stop(&worker, part.task, part.run, now);
            }
        }
        let places = task_places(board, request.key, tasks, &plan.places);
        for slot in plan.places.iter().take(places.len()) {
            board.take(*slot, request.key, &request.spec.demand);
        }
        self.reservations.push(Reservation { key: request.key, places, since: now });
    }

    /// Returns the speed that urgent work needs to be on time; 0 if it can't be any more.
    pub(super) fn needed_speed(&self, key: StepKey, now: Duration) -> f64 {
        let Some(job) = self.jobs.get(&key.job) else {
            return 0.0;
        };
        let Some(policy) = self.config.queues.get(&job.submission.queue) else {
            return 0.0;
        };
        let left = (job.accepted + objective(job, policy)).saturating_sub(now + START_TIME);
        let path = job.submission.spec.critical_path().as_secs_f64();
        let needed = path / left.as_secs_f64().max(f64::MIN_POSITIVE) * SPEED_MARGIN;
        if needed > BEST_SPEED { 0.0 } else { needed }
    }

    /// Returns what may be stopped for urgent work: for work that a guarantee covers, also urgent work
    /// that none covers.
    fn borrowers(&self, board: &PlaceBoard, for_covered: bool) -> Vec<BorrowerUnit> {
        let mut units: Vec<BorrowerUnit> = Vec::new();
        let mut gangs = BTreeMap::new();
        let mut budgets = AwayBudgets::default();
        for (id, worker) in &self.workers {
            let Some(slot) = board.index(id) else {
                continue;
            };
            for ((task, run), entry) in &worker.runs {
                let stopping = matches!(entry.phase, RunPhase::Stopping { .. });
                let urgent = self.priority_of(*task) == Some(URGENT);
                let safe = urgent && (!for_covered || self.covered.contains(&task.job));
                if stopping || safe {
                    continue;
                }
                let Some(spec) = self.task_spec(*task) else {
                    continue;
                };
                if !budgets.take(self, task.step_key(), spec) {
                    continue;
                }
                let part = BorrowerPart { slot, task: *task, run: *run, demand: entry.demand };
                let loss = stop_loss(spec, entry);
                let position = if spec.gang {
                    *gangs.entry(task.step_key()).or_insert(units.len())
                } else {
                    units.len()
                };
                match units.get_mut(position) {
                    Some(unit) => {
                        unit.loss += loss;
                        unit.parts.push(part);
                    }
                    None => {
                        let key = task.step_key();
                        let least = if urgent { URGENT_LOSS } else { LEAST_LOSS };
                        units.push(BorrowerUnit { loss: loss + least, key, parts: vec![part] });
                    }
                }
            }
        }
        units
    }
}

/// Returns the jobs whose runs a plan stops, each once.
fn jobs_of(plan: &ReclaimPlan, units: &[BorrowerUnit]) -> Vec<JobKey> {
    let jobs: BTreeSet<JobKey> = plan.stopped.iter().map(|index| units[*index].key.job).collect();
    jobs.into_iter().collect()
}

/// Returns the work that a stop loses, in core-seconds.
fn stop_loss(spec: &StepSpec, entry: &RunEntry) -> f64 {
    let whole = step_work(spec, 1);
    if spec.checkpoints {
        whole * (RESTORE_COST / spec.estimate.as_secs_f64().max(RESTORE_COST))
    } else {
        whole * f64::from(entry.percent) / 100.0
    }
}
