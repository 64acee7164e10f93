//! One planning pass: which waiting steps start now and where.

use std::time::Duration;

use lacewingrail_model::WorkerId;

use super::{FleetPlanner, Reservation};
use crate::guarantee::covered_jobs;
use crate::job::{JobEntry, TaskPhase};
use crate::order::{FleetOrder, StartBasis, StartOrder, TaskRun};
use crate::pace::FULL_PACE;
use crate::placement::{PlaceBoard, PlaceReach, PlaceRequest, SlotIndex, StepKey, step_key};
use crate::queue::{URGENT, WorkItem, rank_work};
use crate::spec::{RunNumber, StepSpec, TaskKey};
use crate::worker::{RunEntry, RunPhase};

/// Time after which workers reserved for urgent work are chosen anew: borrowers that were stopped
/// are gone long before.
const RESERVATION_LIMIT: Duration = Duration::from_millis(1200);
/// Time after which a gang that needs no common rack spreads over failure domains.
const SPREAD_WAIT: Duration = Duration::from_millis(500);
/// Time after which work runs away from its rack while the fleet is idle.
const SPILL_WAIT: Duration = Duration::from_millis(1000);
/// Idle share of the fleet's accelerators above which work runs away from its rack.
const SPILL_IDLE_SHARE: f64 = 0.5;

impl FleetPlanner {
    pub(super) fn dispatch(&mut self, now: Duration) {
        if !self.listed_once || !self.starts_allowed {
            return;
        }
        let mut board = PlaceBoard::new(&self.workers, &self.domains_out, now);
        self.use_reservations(&mut board, now);
        let capacity = board.slots.iter().map(|slot| slot.capacity).max_by_key(|c| c.cpu_milli);
        let capacity = capacity.unwrap_or_default();
        self.covered = covered_jobs(&self.jobs, &self.config);
        let items = rank_work(&self.jobs, &self.config, &self.covered, &self.means, &capacity, now);
        for item in items {
            if self.jobs.get(&item.job).is_none_or(|job| self.awaits_workers(job)) {
                continue;
            }
            self.place_item(&mut board, &item, now);
        }
    }

    /// Starts work whose workers are announced and free, and keeps the rest of its room.
    fn use_reservations(&mut self, board: &mut PlaceBoard, now: Duration) {
        let reservations = std::mem::take(&mut self.reservations);
        for reservation in reservations {
            if let Some(spec) = self.spec_of(reservation.key) {
                self.use_reservation(board, reservation, &spec, now);
            }
        }
    }

    /// A gang starts when all its places are ready, other tasks each when its own is.
    fn use_reservation(
        &mut self,
        board: &mut PlaceBoard,
        reservation: Reservation,
        spec: &StepSpec,
        now: Duration,
    ) {
        let Reservation { key, places, since } = reservation;
        let overdue = now.saturating_sub(since) >= RESERVATION_LIMIT;
        let (mut ready, mut held) = (Vec::new(), Vec::new());
        let count = places.len();
        for (index, worker) in places {
            let Some(slot) = board.index(&worker).filter(|_| self.task_waits(key, index)) else {
                continue;
            };
            let announced = self.jobs.get(&key.0).is_some_and(|job| job.may_start_on(&worker));
            let free = board.slots[slot].open && board.slots[slot].free.covers(&spec.demand);
            board.take(slot, key, &spec.demand);
            if announced && free { &mut ready } else { &mut held }.push((index, worker, slot));
        }
        let whole = ready.len() + held.len() == count;
        if spec.gang && !held.is_empty() {
            held.append(&mut ready);
        }
        if overdue || (spec.gang && !whole) {
            for (_, _, slot) in held.drain(..) {
                board.give_back(slot, key, &spec.demand);
            }
        }
        if spec.gang && !whole {
            for (_, _, slot) in ready.drain(..) {
                board.give_back(slot, key, &spec.demand);
            }
        }
        let (job, occurrence, step) = key;
        let task = |index: u32| TaskKey { job, occurrence, step, index };
        let tasks = ready.into_iter().map(|(index, worker, _)| (task(index), worker));
        self.start_tasks(tasks.collect(), now);
        if !held.is_empty() {
            let places = held.into_iter().map(|(index, worker, _)| (index, worker)).collect();
            self.reservations.push(Reservation { key, places, since });
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
            allowed: None,
        };
        let advised = self.advised_workers(board, &request, now);
        let allowed = advised.as_ref().map(|advised| &advised.usable);
        let request = PlaceRequest { allowed, ..request };
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
        if urgent && !rest.is_empty() {
            let request = PlaceRequest { count: rest.len(), ..request };
            self.make_room(board, request, reach, &rest, now);
        }
        if let Some(advised) = &advised {
            self.ask_advice(key, advised, now);
        }
    }

    /// Starts tasks, or reserves their workers while these are announced in the store.
    pub(super) fn start_or_announce(
        &mut self,
        key: StepKey,
        tasks: Vec<(TaskKey, WorkerId)>,
        now: Duration,
    ) {
        if tasks.is_empty() {
            return;
        }
        let Some(job) = self.jobs.get_mut(&key.0) else {
            return;
        };
        if tasks.iter().all(|(_, worker)| job.may_start_on(worker)) {
            self.start_tasks(tasks, now);
            return;
        }
        job.announce(tasks.iter().map(|(_, worker)| worker));
        let places = tasks.into_iter().map(|(task, worker)| (task.index, worker)).collect();
        self.reservations.push(Reservation { key, places, since: now });
    }

    /// Notes that a step waits for workers and returns for how long it has.
    pub(super) fn note_waiting(&mut self, key: StepKey, now: Duration) -> Duration {
        let step = self.jobs.get_mut(&key.0).and_then(|job| job.step_mut(key.1, key.2));
        step.map_or(Duration::ZERO, |step| {
            now.saturating_sub(*step.waiting_since.get_or_insert(now))
        })
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
        let waited = step.as_ref().and_then(|step| step.waiting_since).unwrap_or(now);
        let born = self.workers.get(worker).map_or(0, |worker| worker.listing.born);
        let ticket = step.and_then(|step| step.advice.ticket(worker, born, now).cloned());
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
            pace: Some(FULL_PACE),
            usage: 0.0,
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
        let order = StartOrder { target, submission, checkpoint, ticket, lease_end, basis };
        self.orders.push(FleetOrder::Start(order));
    }

    pub(super) fn spec_of(&self, key: StepKey) -> Option<StepSpec> {
        self.jobs.get(&key.0)?.step_spec(key.2).cloned()
    }

    fn service_of(&self, job: &JobEntry) -> Option<String> {
        Some(self.config.queues.get(&job.submission.queue)?.service.clone())
    }

    pub(super) fn priority_of(&self, task: TaskKey) -> Option<u32> {
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
pub(super) fn place_step(
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
