//! Reservations of workers for tasks that may not start there yet.
//!
//! A task may start on a worker once the store names the worker for its job and the runs that were
//! stopped for the task have ended. Until then its resources are reserved in the snapshot of every
//! planning pass.

use std::time::Duration;

use lacewingrail_model::WorkerId;

use super::FleetPlanner;
use crate::placement::{PlacementSnapshot, SlotIndex};
use crate::spec::{StepKey, StepSpec, TaskKey};
use crate::step::TaskPhase;

/// Time after which reserved workers are released and others may be chosen. Runs that were stopped
/// for the task have normally ended long before.
const RESERVATION_TIMEOUT: Duration = Duration::from_millis(1200);

/// One task and the worker that was chosen for it.
#[derive(Clone, Debug)]
pub(super) struct TaskPlacement {
    /// Task that is to start.
    pub task: TaskKey,
    /// Worker that it is to start on.
    pub worker: WorkerId,
}

/// Workers reserved for tasks of one step.
#[derive(Clone, Debug)]
pub(super) struct Reservation {
    /// Step that the tasks belong to.
    pub key: StepKey,
    /// Tasks and their workers.
    pub placements: Vec<TaskPlacement>,
    /// When the workers were reserved.
    pub since: Duration,
}

/// Placement whose resources are reserved in the snapshot of the current planning pass.
struct ReservedPlacement {
    placement: TaskPlacement,
    slot: SlotIndex,
}

/// Pairs the tasks of a step with the chosen workers, up to the length of the shorter list.
pub(super) fn task_placements(
    snapshot: &PlacementSnapshot,
    key: StepKey,
    tasks: &[u32],
    slots: &[SlotIndex],
) -> Vec<TaskPlacement> {
    let placement = |(index, slot): (&u32, &SlotIndex)| TaskPlacement {
        task: key.task(*index),
        worker: snapshot.slots[*slot].id.clone(),
    };
    tasks.iter().zip(slots).map(placement).collect()
}

impl FleetPlanner {
    /// Starts the tasks whose workers are announced and have room, and reserves resources for the
    /// others.
    pub(super) fn process_reservations(&mut self, snapshot: &mut PlacementSnapshot, now: Duration) {
        let reservations = std::mem::take(&mut self.reservations);
        for reservation in reservations {
            if let Some(spec) = self.step_spec(reservation.key) {
                self.process_reservation(snapshot, reservation, &spec, now);
            }
        }
    }

    /// Processes one reservation. A gang starts once all its placements are ready, other tasks each
    /// once their own is.
    fn process_reservation(
        &mut self,
        snapshot: &mut PlacementSnapshot,
        reservation: Reservation,
        spec: &StepSpec,
        now: Duration,
    ) {
        let Reservation { key, placements, since } = reservation;
        let expired = now.saturating_sub(since) >= RESERVATION_TIMEOUT;
        let (mut ready, mut pending) = (Vec::new(), Vec::new());
        let count = placements.len();
        for placement in placements {
            let slot =
                snapshot.index(&placement.worker).filter(|_| self.is_task_waiting(placement.task));
            let Some(slot) = slot else {
                continue;
            };
            let job = self.jobs.get(&key.job);
            let announced = job.is_some_and(|job| job.may_start_on(&placement.worker));
            let has_room = snapshot.slots[slot].accepts_starts
                && snapshot.slots[slot].free.covers(&spec.demand);
            snapshot.reserve(slot, key, &spec.demand);
            let reserved = ReservedPlacement { placement, slot };
            if announced && has_room { &mut ready } else { &mut pending }.push(reserved);
        }
        let is_complete = ready.len() + pending.len() == count;
        if spec.gang && !pending.is_empty() {
            pending.append(&mut ready);
        }
        if expired || (spec.gang && !is_complete) {
            release_placements(snapshot, key, spec, &mut pending);
        }
        if spec.gang && !is_complete {
            release_placements(snapshot, key, spec, &mut ready);
        }
        self.start_tasks(ready.into_iter().map(|reserved| reserved.placement).collect(), now);
        if !pending.is_empty() {
            let placements = pending.into_iter().map(|reserved| reserved.placement).collect();
            self.reservations.push(Reservation { key, placements, since });
        }
    }

    /// Starts tasks at once if all their workers are announced in the store; else announces and
    /// reserves the workers.
    pub(super) fn start_or_announce(
        &mut self,
        key: StepKey,
        placements: Vec<TaskPlacement>,
        now: Duration,
    ) {
        if placements.is_empty() {
            return;
        }
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        if placements.iter().all(|placement| job.may_start_on(&placement.worker)) {
            self.start_tasks(placements, now);
            return;
        }
        job.announce(placements.iter().map(|placement| &placement.worker));
        self.reservations.push(Reservation { key, placements, since: now });
    }

    fn is_task_waiting(&self, task: TaskKey) -> bool {
        let job = self.jobs.get(&task.job).filter(|job| !job.phase.is_final());
        let entry = job.and_then(|job| job.task(task));
        entry.is_some_and(|entry| entry.phase == TaskPhase::Waiting)
    }
}

/// Releases the resources of placements in the snapshot and empties the list.
fn release_placements(
    snapshot: &mut PlacementSnapshot,
    key: StepKey,
    spec: &StepSpec,
    placements: &mut Vec<ReservedPlacement>,
) {
    for reserved in placements.drain(..) {
        snapshot.release(reserved.slot, key, &spec.demand);
    }
}
