//! One planning pass: which waiting steps start now and where.

use std::time::Duration;

use lacewingrail_model::WorkerId;

use super::{FleetPlanner, PlannerNote, Reservation};
use crate::job::{JobEntry, TaskPhase};
use crate::order::{FleetOrder, StartBasis, StartOrder, TaskRun};
use crate::placement::{PlaceBoard, PlaceReach, PlaceRequest, SlotIndex, StepKey, step_key};
use crate::queue::{URGENT, WorkItem, objective, rank_work, step_work};
use crate::reclaim::{BorrowerPart, BorrowerUnit, plan_reclaim};
use crate::spec::{RunNumber, StepSpec, TaskKey};
use crate::worker::{RunEntry, RunPhase};

/// Time after which workers reserved for urgent work are chosen anew: borrowers that were stopped
/// are gone long before.
const RESERVATION_LIMIT: Duration = Duration::from_millis(1200);
/// Time from a decision until a task works: the order, the worker and its first progress.
const START_TIME: Duration = Duration::from_millis(60);
/// Margin on the speed that urgent work needs, for errors of the estimates.
const SPEED_MARGIN: f64 = 1.1;
/// Speed above which no worker is expected; work that needs it is late anyway.
const BEST_SPEED: f64 = 2.0;
/// Time for which urgent work waits for room in its rack; half of the time within which guaranteed
/// accelerators have to be reclaimed.
const RACK_WAIT: Duration = Duration::from_millis(1400);
/// Time after which a gang that needs no common rack spreads over failure domains.
const SPREAD_WAIT: Duration = Duration::from_millis(500);
/// Time after which work runs away from its rack while the fleet is idle.
const SPILL_WAIT: Duration = Duration::from_millis(1000);
/// Idle share of the fleet's accelerators above which work runs away from its rack.
const SPILL_IDLE_SHARE: f64 = 0.5;
/// Work that a stop costs a run that checkpoints, in seconds.
const RESTORE_COST: f64 = 0.8;
/// Smallest loss of a stop in core-seconds, so that fewer stops are preferred.
const LEAST_LOSS: f64 = 1.0;

impl FleetPlanner {
    pub(super) fn dispatch(&mut self, now: Duration) {
        if !self.listed_once || !self.starts_allowed {
            return;
        }
        let mut board = PlaceBoard::new(&self.workers, &self.domains_out, now);
        self.use_reservations(&mut board, now);
        let capacity = board.slots.iter().map(|slot| slot.capacity).max_by_key(|c| c.cpu_milli);
        let capacity = capacity.unwrap_or_default();
        let items = rank_work(&self.jobs, &self.config, &self.means, &capacity, now);
        for item in items {
            if !self.recovered && self.is_announced(item.job) {
                continue;
            }
            self.place_item(&mut board, &item, now);
        }
    }

    /// Starts urgent work whose borrowers have left and keeps the rest of its room.
    fn use_reservations(&mut self, board: &mut PlaceBoard, now: Duration) {
        let reservations = std::mem::take(&mut self.reservations);
        for reservation in reservations {
            let Some(spec) = self.spec_of(reservation.key) else {
                continue;
            };
            let slots: Vec<Option<SlotIndex>> =
                reservation.places.iter().map(|(_, worker)| board.index(worker)).collect();
            let mut trial = board.clone();
            let mut ready = self.jobs.get(&reservation.key.0).is_some_and(|job| job.may_start());
            for slot in &slots {
                let Some(slot) = slot else {
                    ready = false;
                    continue;
                };
                ready &= trial.slots[*slot].open && trial.slots[*slot].free.covers(&spec.demand);
                trial.take(*slot, reservation.key, &spec.demand);
            }
            let waiting = reservation
                .places
                .iter()
                .all(|(index, _)| self.task_waits(reservation.key, *index));
            if !waiting || slots.contains(&None) {
                continue;
            }
            if ready {
                let (job, occurrence, step) = reservation.key;
                let tasks = reservation.places.iter().map(|(index, worker)| {
                    (TaskKey { job, occurrence, step, index: *index }, worker.clone())
                });
                self.start_tasks(tasks.collect(), now);
                *board = trial;
            } else if now.saturating_sub(reservation.since) < RESERVATION_LIMIT {
                *board = trial;
                self.reservations.push(reservation);
            }
        }
    }

    fn place_item(&mut self, board: &mut PlaceBoard, item: &WorkItem, now: Duration) {
        let key: StepKey = (item.job, item.occurrence, item.step);
        if self.reservations.iter().any(|reservation| reservation.key == key) {
            return;
        }
        let Some(job) = self.jobs.get(&item.job) else {
            return;
        };
        let (Some(spec), Some(service)) = (self.spec_of(key), self.service_of(job)) else {
            return;
        };
        let waiting = waiting_tasks(job, key, spec.gang);
        if waiting.is_empty() {
            return;
        }
        let waited = self.note_waiting(key, now);
        let urgent = item.priority == URGENT;
        let request = PlaceRequest {
            service: &service,
            spec: &spec,
            key,
            count: waiting.len(),
            least_speed: if urgent { self.needed_speed(key, now) } else { 0.0 },
        };
        let reach = board.preferred_reach(&request);
        let wider = wider_reach(board, &request, reach, waited);
        let mut placed = place_step(board, &request, reach);
        if placed.is_empty() && wider > reach {
            placed = place_step(board, &request, wider);
        }
        let tasks = waiting.iter().zip(&placed).map(|(index, slot)| {
            let (job, occurrence, step) = key;
            let task = TaskKey { job, occurrence, step, index: *index };
            (task, board.slots[*slot].id.clone())
        });
        let tasks: Vec<(TaskKey, WorkerId)> = tasks.collect();
        let rest = waiting[placed.len()..].to_vec();
        self.start_or_announce(key, tasks, now);
        placed.clear();
        if urgent && !rest.is_empty() {
            let request = PlaceRequest { count: rest.len(), ..request };
            self.make_room(board, request, reach, &rest, now);
        }
    }

    /// Makes room for urgent tasks, on workers that are fast enough if there are any.
    fn make_room(
        &mut self,
        board: &mut PlaceBoard,
        request: PlaceRequest<'_>,
        reach: PlaceReach,
        tasks: &[u32],
        now: Duration,
    ) {
        if self.reclaim(board, &request, reach, tasks, now) || request.least_speed == 0.0 {
            return;
        }
        let request = PlaceRequest { least_speed: 0.0, ..request };
        let reach = board.preferred_reach(&request);
        let placed = place_step(board, &request, reach);
        if placed.is_empty() {
            self.reclaim(board, &request, reach, tasks, now);
            return;
        }
        let (job, occurrence, step) = request.key;
        let place = |(index, slot): (&u32, &SlotIndex)| {
            let task = TaskKey { job, occurrence, step, index: *index };
            (task, board.slots[*slot].id.clone())
        };
        let tasks = tasks.iter().zip(&placed).map(place).collect();
        self.start_or_announce(request.key, tasks, now);
    }

    /// Returns the speed that urgent work needs to be on time; 0 if it can't be any more.
    fn needed_speed(&self, key: StepKey, now: Duration) -> f64 {
        let Some(job) = self.jobs.get(&key.0) else {
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

    /// Starts tasks, or reserves their workers while the job's first start is announced.
    fn start_or_announce(&mut self, key: StepKey, tasks: Vec<(TaskKey, WorkerId)>, now: Duration) {
        if tasks.is_empty() {
            return;
        }
        let Some(job) = self.jobs.get_mut(&key.0) else {
            return;
        };
        if job.may_start() {
            self.start_tasks(tasks, now);
            return;
        }
        job.announce();
        let places = tasks.into_iter().map(|(task, worker)| (task.index, worker)).collect();
        self.reservations.push(Reservation { key, places, since: now });
    }

    /// Notes that a step waits for workers and returns for how long it has.
    fn note_waiting(&mut self, key: StepKey, now: Duration) -> Duration {
        let step = self.jobs.get_mut(&key.0).and_then(|job| job.step_mut(key.1, key.2));
        step.map_or(Duration::ZERO, |step| {
            now.saturating_sub(*step.waiting_since.get_or_insert(now))
        })
    }

    fn is_announced(&self, job: u64) -> bool {
        self.jobs.get(&job).is_some_and(|job| job.announced.is_some())
    }

    /// Stops borrowers and reserves their room for urgent tasks.
    fn reclaim(
        &mut self,
        board: &mut PlaceBoard,
        request: &PlaceRequest<'_>,
        reach: PlaceReach,
        tasks: &[u32],
        now: Duration,
    ) -> bool {
        let units = self.borrowers(board);
        // Away from its rack the work would be late, so it rather waits for a moment.
        let waited = self.note_waiting(request.key, now);
        let spread =
            request.least_speed == 0.0 && (reach != PlaceReach::Rack || waited > RACK_WAIT);
        let wide = if spread { PlaceReach::Region } else { reach };
        let plan =
            [reach, wide].iter().find_map(|reach| plan_reclaim(board, request, *reach, &units));
        let Some(plan) = plan else {
            return false;
        };
        if let Some(job) = self.jobs.get_mut(&request.key.0) {
            job.announce();
        }
        if !plan.stopped.is_empty() {
            self.notes.push(PlannerNote::Reclaimed {
                job: request.key.0,
                waited,
                borrowers: plan.stopped.iter().map(|index| units[*index].key.0).collect(),
                loss: plan.loss,
            });
        }
        for index in &plan.stopped {
            let unit = &units[*index];
            self.counts.preemptions += 1;
            for part in &unit.parts {
                let worker = board.slots[part.slot].id.clone();
                self.order_stop(&worker, part.task, part.run, now);
            }
        }
        let mut places = Vec::new();
        for (task, slot) in tasks.iter().zip(&plan.places) {
            board.take(*slot, request.key, &request.spec.demand);
            places.push((*task, board.slots[*slot].id.clone()));
        }
        self.reservations.push(Reservation { key: request.key, places, since: now });
        true
    }

    /// Returns what may be stopped for urgent work.
    fn borrowers(&self, board: &PlaceBoard) -> Vec<BorrowerUnit> {
        let mut units: Vec<BorrowerUnit> = Vec::new();
        let mut gangs = std::collections::BTreeMap::new();
        for (id, worker) in &self.workers {
            let Some(slot) = board.index(id) else {
                continue;
            };
            for ((task, run), entry) in &worker.runs {
                let stopping = matches!(entry.phase, RunPhase::Stopping { .. });
                if stopping || self.priority_of(*task) == Some(URGENT) {
                    continue;
                }
                let Some(spec) = self.spec_of(step_key(*task)) else {
                    continue;
                };
                let part = BorrowerPart { slot, task: *task, run: *run, demand: entry.demand };
                let loss = stop_loss(&spec, entry);
                let position = if spec.gang {
                    *gangs.entry(step_key(*task)).or_insert(units.len())
                } else {
                    units.len()
                };
                match units.get_mut(position) {
                    Some(unit) => {
                        unit.loss += loss;
                        unit.parts.push(part);
                    }
                    None => {
                        let key = step_key(*task);
                        units.push(BorrowerUnit {
                            loss: loss + LEAST_LOSS,
                            key,
                            parts: vec![part],
                        });
                    }
                }
            }
        }
        units
    }

    fn start_tasks(&mut self, tasks: Vec<(TaskKey, WorkerId)>, now: Duration) {
        let Some((first, _)) = tasks.first() else {
            return;
        };
        let gang = self.spec_of(step_key(*first)).is_some_and(|spec| spec.gang);
        let first_run = self.first_run();
        let next = |task: TaskKey| {
            let entry = self.jobs.get(&task.job).and_then(|job| job.task(task));
            entry.map_or(first_run, |entry| (entry.last_run + 1).max(first_run))
        };
        let highest = tasks.iter().map(|(task, _)| next(*task)).max().unwrap_or(first_run);
        let numbered: Vec<(TaskKey, WorkerId, RunNumber)> = tasks
            .into_iter()
            .map(|(task, worker)| {
                let run = if gang { highest } else { next(task) };
                (task, worker, run)
            })
            .collect();
        for (task, worker, run) in &numbered {
            self.start_task(*task, worker, *run, now);
        }
        let steps = numbered.iter().map(|(task, _, _)| step_key(*task));
        for (job, occurrence, step) in steps {
            let step = self.jobs.get_mut(&job).and_then(|job| job.step_mut(occurrence, step));
            if let Some(step) = step {
                step.waiting_since = None;
            }
        }
    }

    fn start_task(&mut self, task: TaskKey, worker: &str, run: RunNumber, now: Duration) {
        let lease = self.settings.lease;
        let Some(spec) = self.spec_of(step_key(task)) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.begun = true;
        let step = job.step_mut(task.occurrence, task.step);
        let waited = step.and_then(|step| step.waiting_since).unwrap_or(now);
        let submission = job.submission.clone();
        let gang_checkpoint = if spec.gang { first_checkpoint(job, task) } else { None };
        let Some(entry) = job.task_mut(task) else {
            return;
        };
        entry.last_run = run;
        entry.phase = TaskPhase::Assigned { worker: worker.to_owned(), run };
        let checkpoint = if spec.gang { gang_checkpoint } else { entry.checkpoint.clone() };
        let Some(target) = self.workers.get_mut(worker) else {
            return;
        };
        let lease_end = target.clock_at(now).unwrap_or_default() + lease;
        target.extend_lease(lease_end);
        let run_entry = RunEntry {
            phase: RunPhase::Starting,
            since: now,
            confirmed: None,
            demand: spec.demand,
            checkpoint: checkpoint.clone(),
            percent: 0,
            progressed: now,
            mark: None,
        };
        target.add_run(task, run, run_entry);
        self.counts.starts += 1;
        let address = target.listing.address.clone();
        let basis = StartBasis {
            rack: target.listing.rack.clone(),
            speed: target.speed.value(),
            report_age: target.report_age(now),
            waited: now.saturating_sub(waited),
        };
        let target = TaskRun { worker: worker.to_owned(), address, task, run };
        let order = StartOrder { target, submission, checkpoint, lease_end, basis };
        self.orders.push(FleetOrder::Start(order));
    }

    fn spec_of(&self, key: StepKey) -> Option<StepSpec> {
        self.jobs.get(&key.0)?.step_spec(key.2).cloned()
    }

    fn service_of(&self, job: &JobEntry) -> Option<String> {
        Some(self.config.queues.get(&job.submission.queue)?.service.clone())
    }

    fn priority_of(&self, task: TaskKey) -> Option<u32> {
        let queue = &self.jobs.get(&task.job)?.submission.queue;
        Some(self.config.queues.get(queue)?.priority)
    }

    fn task_waits(&self, key: StepKey, index: u32) -> bool {
        let (job, occurrence, step) = key;
        let task = TaskKey { job, occurrence, step, index };
        let entry = self.jobs.get(&job).filter(|job| !job.phase.is_final());
        entry.and_then(|job| job.task(task)).is_some_and(|entry| entry.phase == TaskPhase::Waiting)
    }
}

/// Returns the tasks of a step that can start: of a gang, all or none.
fn waiting_tasks(job: &JobEntry, key: StepKey, gang: bool) -> Vec<u32> {
    let occurrence = job.occurrence(key.1);
    let Some(step) = occurrence.and_then(|occurrence| occurrence.steps.get(key.2 as usize)) else {
        return Vec::new();
    };
    let waiting: Vec<u32> = step.waiting().collect();
    if gang && waiting.len() < step.tasks.len() { Vec::new() } else { waiting }
}

/// Returns the checkpoint that all members of a gang resume from.
fn first_checkpoint(job: &JobEntry, task: TaskKey) -> Option<String> {
    let step = job.occurrence(task.occurrence)?.steps.get(task.step as usize)?;
    step.tasks.iter().find_map(|entry| entry.checkpoint.clone())
}

/// Places what fits of a step, of a gang all or nothing, and takes the room.
fn place_step(
    board: &mut PlaceBoard,
    request: &PlaceRequest<'_>,
    reach: PlaceReach,
) -> Vec<SlotIndex> {
    if !request.spec.gang {
        return place_each(board, request, reach);
    }
    let placed = board.place_all(request, reach).unwrap_or_default();
    placed.iter().for_each(|slot| board.take(*slot, request.key, &request.spec.demand));
    placed
}

/// Returns how far from each other the tasks may be placed after a wait.
///
/// A gang that needs no common rack spreads over failure domains after a moment. Work that is much
/// slower away from its rack goes there only while most of the fleet is idle.
fn wider_reach(
    board: &PlaceBoard,
    request: &PlaceRequest<'_>,
    reach: PlaceReach,
    waited: Duration,
) -> PlaceReach {
    let idle = waited >= SPILL_WAIT && board.idle_share() > SPILL_IDLE_SHARE;
    let spreads = reach == PlaceReach::Domain && waited >= SPREAD_WAIT && request.spec.gang;
    if idle || spreads { PlaceReach::Region } else { reach }
}

fn place_each(
    board: &mut PlaceBoard,
    request: &PlaceRequest<'_>,
    reach: PlaceReach,
) -> Vec<SlotIndex> {
    let mut placed = Vec::new();
    while placed.len() < request.count {
        let Some(slot) = board.place_one(request, reach) else {
            break;
        };
        board.take(slot, request.key, &request.spec.demand);
        placed.push(slot);
    }
    placed
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
