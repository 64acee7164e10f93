//! Workers that are kept for tasks until these may start there.
//!
//! A task may start on a worker once the worker is announced in the store for its job and what was
//! stopped for the task has left. Until then its room is taken on the board of every planning pass.

use std::time::Duration;

use lacewingrail_model::WorkerId;

use super::FleetPlanner;
use crate::job::TaskPhase;
use crate::placement::{PlaceBoard, SlotIndex};
use crate::spec::{StepKey, StepSpec, TaskKey};

/// Time after which reserved workers are chosen anew: borrowers that were stopped are gone long
/// before.
const RESERVATION_LIMIT: Duration = Duration::from_millis(1200);

/// Assigns a task to a worker.
#[derive(Clone, Debug)]
pub(super) struct TaskPlace {
    pub task: TaskKey,
    pub worker: WorkerId,
}

/// Reserves workers for tasks of a step.
#[derive(Clone, Debug)]
pub(super) struct Reservation {
    pub key: StepKey,
    pub places: Vec<TaskPlace>,
    pub since: Duration,
}

/// A place whose room is taken on the board.
struct TakenPlace {
    place: TaskPlace,
    slot: SlotIndex,
}

/// Returns the places of the first tasks of a step on the chosen workers.
pub(super) fn task_places(
    board: &PlaceBoard,
    key: StepKey,
    tasks: &[u32],
    slots: &[SlotIndex],
) -> Vec<TaskPlace> {
    let place = |(index, slot): (&u32, &SlotIndex)| TaskPlace {
        task: key.task(*index),
        worker: board.slots[*slot].id.clone(),
    };
    tasks.iter().zip(slots).map(place).collect()
}

impl FleetPlanner {
    /// Starts work whose workers are announced and free, and keeps the rest of its room.
    pub(super) fn use_reservations(&mut self, board: &mut PlaceBoard, now: Duration) {
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
        for place in places {
            let slot = board.index(&place.worker).filter(|_| self.task_waits(place.task));
            let Some(slot) = slot else {
                continue;
            };
            let job = self.jobs.get(&key.job);
            let announced = job.is_some_and(|job| job.may_start_on(&place.worker));
            let free = board.slots[slot].open && board.slots[slot].free.covers(&spec.demand);
            board.take(slot, key, &spec.demand);
            let taken = TakenPlace { place, slot };
            if announced && free { &mut ready } else { &mut held }.push(taken);
        }
        let whole = ready.len() + held.len() == count;
        if spec.gang && !held.is_empty() {
            held.append(&mut ready);
        }
        if overdue || (spec.gang && !whole) {
            give_back(board, key, spec, &mut held);
        }
        if spec.gang && !whole {
            give_back(board, key, spec, &mut ready);
        }
        self.start_tasks(ready.into_iter().map(|taken| taken.place).collect(), now);
        if !held.is_empty() {
            let places = held.into_iter().map(|taken| taken.place).collect();
            self.reservations.push(Reservation { key, places, since });
        }
    }

    /// Starts tasks, or reserves their workers while these are announced in the store.
    pub(super) fn start_or_announce(
        &mut self,
        key: StepKey,
        places: Vec<TaskPlace>,
        now: Duration,
    ) {
        if places.is_empty() {
            return;
        }
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        if places.iter().all(|place| job.may_start_on(&place.worker)) {
            self.start_tasks(places, now);
            return;
        }
        job.announce(places.iter().map(|place| &place.worker));
        self.reservations.push(Reservation { key, places, since: now });
    }

    fn task_waits(&self, task: TaskKey) -> bool {
        let job = self.jobs.get(&task.job).filter(|job| !job.phase.is_final());
        let entry = job.and_then(|job| job.task(task));
        entry.is_some_and(|entry| entry.phase == TaskPhase::Waiting)
    }
}

/// Gives the room of places back and forgets them.
fn give_back(board: &mut PlaceBoard, key: StepKey, spec: &StepSpec, places: &mut Vec<TakenPlace>) {
    for taken in places.drain(..) {
        board.give_back(taken.slot, key, &spec.demand);
    }
}
