//! What is stopped so that more urgent work can start.
//!
//! Answers the load pattern in which borrowers fill the whole fleet and a customer claims its
//! guaranteed accelerators. For each group of workers that the urgent work may be placed in, borrowers
//! are removed in order of the work that is lost with them until the urgent work fits; the group
//! with the least loss wins. A gang is removed whole, with what it holds on other workers. Runs that
//! checkpoint lose almost nothing, since a stop makes a checkpoint.

use crate::amount::ResourceAmount;
use crate::placement::{PlaceBoard, PlaceReach, PlaceRequest, SlotIndex, StepKey};
use crate::spec::{RunNumber, TaskKey};

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
    let plans = board.groups(request, reach).into_iter();
    let plans = plans.filter_map(|group| reclaim_group(board, request, &group, units));
    plans.min_by(|left, right| left.loss.total_cmp(&right.loss))
}

fn reclaim_group(
    board: &PlaceBoard,
    request: &PlaceRequest<'_>,
    group: &[SlotIndex],
    units: &[BorrowerUnit],
) -> Option<ReclaimPlan> {
    let mut trial = board.clone();
    let mut stopped = vec![false; units.len()];
    let mut places = Vec::with_capacity(request.count);
    for _ in 0..request.count {
        let slot = match free_slot(&trial, request, group) {
            Some(slot) => slot,
            None => make_room(&mut trial, request, group, units, &mut stopped)?,
        };
        trial.take(slot, request.key, &request.spec.demand);
        places.push(slot);
    }
    let stopped: Vec<usize> = (0..units.len()).filter(|index| stopped[*index]).collect();
    let loss = stopped.iter().map(|index| units[*index].loss).sum();
    Some(ReclaimPlan { places, stopped, loss })
}

fn free_slot(
    board: &PlaceBoard,
    request: &PlaceRequest<'_>,
    group: &[SlotIndex],
) -> Option<SlotIndex> {
    let fitting = group.iter().copied().filter(|slot| board.fits(*slot, request));
    fitting.min_by_key(|slot| board.slots[*slot].free.accelerators)
}

/// Stops borrowers on the worker of a group where that loses the least, and returns the worker.
fn make_room(
    board: &mut PlaceBoard,
    request: &PlaceRequest<'_>,
    group: &[SlotIndex],
    units: &[BorrowerUnit],
    stopped: &mut [bool],
) -> Option<SlotIndex> {
    let mut best: Option<(f64, SlotIndex, Vec<usize>)> = None;
    for slot in group {
        let Some((loss, chosen)) = cheapest_on(board, request, *slot, units, stopped) else {
            continue;
        };
        if best.as_ref().is_none_or(|(least, _, _)| loss < *least) {
            best = Some((loss, *slot, chosen));
        }
    }
    let (_, slot, chosen) = best?;
    for index in chosen {
        stopped[index] = true;
        for part in &units[index].parts {
            board.give_back(part.slot, units[index].key, &part.demand);
        }
    }
    Some(slot)
}

/// Returns the borrowers whose stop makes room for one task on a worker, cheapest first.
fn cheapest_on(
    board: &PlaceBoard,
    request: &PlaceRequest<'_>,
    slot: SlotIndex,
    units: &[BorrowerUnit],
    stopped: &[bool],
) -> Option<(f64, Vec<usize>)> {
    if !board.suits(slot, request) {
        return None;
    }
    let mut candidates: Vec<(usize, ResourceAmount)> = Vec::new();
    for (index, unit) in units.iter().enumerate() {
        let mut held = ResourceAmount::default();
        unit.parts.iter().filter(|part| part.slot == slot).for_each(|part| held += part.demand);
        if !stopped[index] && held != ResourceAmount::default() {
            candidates.push((index, held));
        }
    }
    candidates.sort_by(|left, right| units[left.0].loss.total_cmp(&units[right.0].loss));
    let mut free = board.slots[slot].free;
    let mut chosen = Vec::new();
    for (index, held) in &candidates {
        if free.covers(&request.spec.demand) {
            break;
        }
        free += *held;
        chosen.push((*index, *held));
    }
    if !free.covers(&request.spec.demand) {
        return None;
    }
    // A borrower that was chosen early may turn out not to be needed once larger ones follow.
    let mut kept = Vec::new();
    for (index, held) in chosen.into_iter().rev() {
        let without = free - held;
        if without.covers(&request.spec.demand) {
            free = without;
        } else {
            kept.push(index);
        }
    }
    let loss = kept.iter().map(|index| units[*index].loss).sum();
    Some((loss, kept))
}
