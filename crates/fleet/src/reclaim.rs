//! What is stopped so that more urgent work can start.
//!
//! Answers the load pattern in which borrowers fill the whole fleet and a customer claims its
//! guaranteed accelerators. For each group of workers that the urgent work may be placed in, borrowers
//! are removed in order of the work that is lost with them until the urgent work fits; the group
//! with the least loss wins. A gang is removed whole, with what it holds on other workers. Runs that
//! checkpoint lose almost nothing, since a stop makes a checkpoint.

use crate::amount::ResourceAmount;
use crate::placement::{PlaceBoard, PlaceReach, PlaceRequest, SlotIndex};
use crate::spec::{RunNumber, StepKey, TaskKey};

/// Holds one run of a borrower on one worker.
#[derive(Clone, Debug)]
pub struct BorrowerPart {
    /// Worker.
    pub slot: SlotIndex,
    /// Task.
    pub task: TaskKey,
    /// Run.
    pub run: RunNumber,
    /// Resources held.
    pub demand: ResourceAmount,
}

/// Holds what has to be stopped together: a run, or all runs of a gang.
#[derive(Clone, Debug)]
pub struct BorrowerUnit {
    /// Work that is lost by a stop, in core-seconds.
    pub loss: f64,
    /// Step that the runs belong to.
    pub key: StepKey,
    /// Runs.
    pub parts: Vec<BorrowerPart>,
}

/// Holds a decision to stop borrowers.
#[derive(Clone, Debug)]
pub struct ReclaimPlan {
    /// Workers for the urgent tasks.
    pub places: Vec<SlotIndex>,
    /// Indexes of the borrowers to stop.
    pub stopped: Vec<usize>,
    /// Work that is lost, in core-seconds.
    pub loss: f64,
}

/// Returns the cheapest way to make room for a request, if there is one.
pub fn plan_reclaim(
    board: &PlaceBoard,
    request: &PlaceRequest<'_>,
    reach: PlaceReach,
    units: &[BorrowerUnit],
) -> Option<ReclaimPlan> {
    let held = held_by_slot(board, units);
    let mut best: Option<ReclaimPlan> = None;
    for group in board.groups(request, reach) {
        let limit = best.as_ref().map_or(f64::INFINITY, |plan| plan.loss);
        let trial = ReclaimTrial::new(board, request, units, &held);
        best = trial.run(&group, limit).or(best);
    }
    best
}

/// Lists for each worker the borrowers on it with what they hold there, least loss first.
fn held_by_slot(board: &PlaceBoard, units: &[BorrowerUnit]) -> Vec<Vec<(usize, ResourceAmount)>> {
    let mut held: Vec<Vec<(usize, ResourceAmount)>> = vec![Vec::new(); board.slots.len()];
    for (index, unit) in units.iter().enumerate() {
        for part in &unit.parts {
            match held[part.slot].last_mut() {
                Some((last, amount)) if *last == index => *amount += part.demand,
                _ => held[part.slot].push((index, part.demand)),
            }
        }
    }
    for rows in &mut held {
        rows.sort_by(|left, right| units[left.0].loss.total_cmp(&units[right.0].loss));
    }
    held
}

/// Tries to place a request in one group.
struct ReclaimTrial<'a> {
    board: &'a PlaceBoard,
    request: &'a PlaceRequest<'a>,
    units: &'a [BorrowerUnit],
    held: &'a [Vec<(usize, ResourceAmount)>],
    free: Vec<ResourceAmount>,
    placed: Vec<u32>,
    stopped: Vec<bool>,
    loss: f64,
}

impl<'a> ReclaimTrial<'a> {
    fn new(
        board: &'a PlaceBoard,
        request: &'a PlaceRequest<'a>,
        units: &'a [BorrowerUnit],
        held: &'a [Vec<(usize, ResourceAmount)>],
    ) -> Self {
        Self {
            board,
            request,
            units,
            held,
            free: board.slots.iter().map(|slot| slot.free).collect(),
            placed: vec![0; board.slots.len()],
            stopped: vec![false; units.len()],
            loss: 0.0,
        }
    }

    /// Returns the plan unless it loses as much as a limit.
    fn run(mut self, group: &[SlotIndex], limit: f64) -> Option<ReclaimPlan> {
        let mut places = Vec::with_capacity(self.request.count);
        for _ in 0..self.request.count {
            let slot = match self.free_slot(group) {
                Some(slot) => slot,
                None => self.make_room(group)?,
            };
            if self.loss >= limit {
                return None;
            }
            self.free[slot] -= self.request.spec.demand;
            self.placed[slot] += 1;
            places.push(slot);
        }
        let stopped = (0..self.units.len()).filter(|index| self.stopped[*index]).collect();
        Some(ReclaimPlan { places, stopped, loss: self.loss })
    }

    fn has_place(&self, slot: SlotIndex) -> bool {
        let taken = self.board.tasks_of(slot, self.request.key) + self.placed[slot];
        self.request.spec.worker_limit.is_none_or(|limit| taken < limit)
    }

    fn free_slot(&self, group: &[SlotIndex]) -> Option<SlotIndex> {
        let demand = &self.request.spec.demand;
        let fitting = group
            .iter()
            .copied()
            .filter(|slot| self.free[*slot].covers(demand) && self.has_place(*slot));
        fitting.min_by_key(|slot| self.free[*slot].accelerators)
    }

    /// Stops borrowers on the worker of a group where that loses the least, and returns the worker.
    fn make_room(&mut self, group: &[SlotIndex]) -> Option<SlotIndex> {
        let mut best: Option<(f64, SlotIndex, Vec<usize>)> = None;
        for slot in group.iter().copied().filter(|slot| self.has_place(*slot)) {
            let Some((loss, chosen)) = self.cheapest_on(slot) else {
                continue;
            };
            if best.as_ref().is_none_or(|(least, _, _)| loss < *least) {
                best = Some((loss, slot, chosen));
            }
        }
        let (loss, slot, chosen) = best?;
        self.loss += loss;
        for index in chosen {
            self.stopped[index] = true;
            for part in &self.units[index].parts {
                self.free[part.slot] += part.demand;
            }
        }
        Some(slot)
    }

    /// Returns the borrowers whose stop makes room for one task on a worker.
    fn cheapest_on(&self, slot: SlotIndex) -> Option<(f64, Vec<usize>)> {
        let demand = &self.request.spec.demand;
        let mut free = self.free[slot];
        let mut chosen: Vec<(usize, ResourceAmount)> = Vec::new();
        for (index, held) in self.held[slot].iter().filter(|(index, _)| !self.stopped[*index]) {
            if free.covers(demand) {
                break;
            }
            free += *held;
            chosen.push((*index, *held));
        }
        if !free.covers(demand) {
            return None;
        }
        // A borrower that was chosen early may turn out not to be needed once larger ones follow.
        let mut kept = Vec::new();
        for (index, held) in chosen.into_iter().rev() {
            let without = free - held;
            if without.covers(demand) {
                free = without;
            } else {
                kept.push(index);
            }
        }
        let loss = kept.iter().map(|index| self.units[*index].loss).sum();
        Some((loss, kept))
    }
}
