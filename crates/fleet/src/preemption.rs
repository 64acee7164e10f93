//! Choice of the runs to stop so that more urgent work can start.
//!
//! Less urgent work may fill the whole fleet when a customer claims its guaranteed accelerators.
//! For each group of workers in which the urgent work may be placed, victims are chosen in order of
//! the work that is lost with them, until the urgent work fits. The group with the least loss wins.
//! A gang is stopped whole, including its runs on other workers. Runs that save checkpoints lose
//! almost nothing, since a stop makes them save one.

use crate::amount::ResourceAmount;
use crate::placement::{PlacementRequest, PlacementScope, PlacementSnapshot, SlotIndex};
use crate::spec::{RunNumber, StepKey, TaskKey};

/// One run that may be stopped.
#[derive(Clone, Debug)]
pub struct VictimRun {
    /// Worker that the run is on.
    pub slot: SlotIndex,
    /// Task that is run.
    pub task: TaskKey,
    /// Number of the run.
    pub run: RunNumber,
    /// Resources that a stop frees.
    pub demand: ResourceAmount,
}

/// Runs that must be stopped together: a single run, or all runs of a gang.
#[derive(Clone, Debug)]
pub struct VictimGroup {
    /// Cost of a stop, in core-seconds: mostly the work that is lost.
    pub loss: f64,
    /// Step that the runs belong to.
    pub key: StepKey,
    /// Runs to stop.
    pub runs: Vec<VictimRun>,
}

/// Workers for a request, and the runs to stop so that it fits there.
#[derive(Clone, Debug)]
pub struct PreemptionPlan {
    /// Worker for each task of the request.
    pub slots: Vec<SlotIndex>,
    /// Indexes of the victim groups to stop.
    pub stopped: Vec<usize>,
    /// Sum of the costs of the stops, in core-seconds.
    pub loss: f64,
}

/// Returns the plan with the least loss that makes room for a request, or `None` if no plan does.
pub fn plan_preemption(
    snapshot: &PlacementSnapshot,
    request: &PlacementRequest<'_>,
    scope: PlacementScope,
    victims: &[VictimGroup],
) -> Option<PreemptionPlan> {
    let by_slot = victims_by_slot(snapshot, victims);
    let mut best: Option<PreemptionPlan> = None;
    for group in snapshot.groups(request, scope) {
        let limit = best.as_ref().map_or(f64::INFINITY, |plan| plan.loss);
        let trial = PreemptionTrial::new(snapshot, request, victims, &by_slot);
        best = trial.run(&group, limit).or(best);
    }
    best
}

/// Returns for each worker the victim groups on it with the resources they take there, least loss
/// first.
fn victims_by_slot(
    snapshot: &PlacementSnapshot,
    victims: &[VictimGroup],
) -> Vec<Vec<(usize, ResourceAmount)>> {
    let mut by_slot: Vec<Vec<(usize, ResourceAmount)>> = vec![Vec::new(); snapshot.slots.len()];
    for (index, group) in victims.iter().enumerate() {
        for run in &group.runs {
            match by_slot[run.slot].last_mut() {
                Some((last, amount)) if *last == index => *amount += run.demand,
                _ => by_slot[run.slot].push((index, run.demand)),
            }
        }
    }
    for entries in &mut by_slot {
        entries.sort_by(|left, right| victims[left.0].loss.total_cmp(&victims[right.0].loss));
    }
    by_slot
}

/// Tries to place a request in one group of workers.
struct PreemptionTrial<'a> {
    snapshot: &'a PlacementSnapshot,
    request: &'a PlacementRequest<'a>,
    victims: &'a [VictimGroup],
    victims_by_slot: &'a [Vec<(usize, ResourceAmount)>],
    free: Vec<ResourceAmount>,
    placed_tasks: Vec<u32>,
    stopped: Vec<bool>,
    loss: f64,
}

impl<'a> PreemptionTrial<'a> {
    fn new(
        snapshot: &'a PlacementSnapshot,
        request: &'a PlacementRequest<'a>,
        victims: &'a [VictimGroup],
        victims_by_slot: &'a [Vec<(usize, ResourceAmount)>],
    ) -> Self {
        Self {
            snapshot,
            request,
            victims,
            victims_by_slot,
            free: snapshot.slots.iter().map(|slot| slot.free).collect(),
            placed_tasks: vec![0; snapshot.slots.len()],
            stopped: vec![false; victims.len()],
            loss: 0.0,
        }
    }

    /// Returns the plan for one group of workers, or `None` if its loss is not below `limit` or if
    /// the request does not fit.
    fn run(mut self, group: &[SlotIndex], limit: f64) -> Option<PreemptionPlan> {
        let mut slots = Vec::with_capacity(self.request.count);
        for _ in 0..self.request.count {
            let slot = match self.find_free_slot(group) {
                Some(slot) => slot,
                None => self.preempt_for_task(group)?,
            };
            if self.loss >= limit {
                return None;
            }
            self.free[slot] -= self.request.spec.demand;
            self.placed_tasks[slot] += 1;
            slots.push(slot);
        }
        let stopped = (0..self.victims.len()).filter(|index| self.stopped[*index]).collect();
        Some(PreemptionPlan { slots, stopped, loss: self.loss })
    }

    fn below_worker_limit(&self, slot: SlotIndex) -> bool {
        let count = self.snapshot.task_count(slot, self.request.key) + self.placed_tasks[slot];
        self.request.spec.worker_limit.is_none_or(|limit| count < limit)
    }

    fn find_free_slot(&self, group: &[SlotIndex]) -> Option<SlotIndex> {
        let demand = &self.request.spec.demand;
        let fitting = group
            .iter()
            .copied()
            .filter(|slot| self.free[*slot].covers(demand) && self.below_worker_limit(*slot));
        fitting.min_by_key(|slot| self.free[*slot].accelerators)
    }

    /// Stops victims on the worker of the group where that loses the least, and returns the worker.
    fn preempt_for_task(&mut self, group: &[SlotIndex]) -> Option<SlotIndex> {
        let mut best: Option<(f64, SlotIndex, Vec<usize>)> = None;
        for slot in group.iter().copied().filter(|slot| self.below_worker_limit(*slot)) {
            let Some((loss, chosen)) = self.cheapest_victims(slot) else {
                continue;
            };
            if best.as_ref().is_none_or(|(lowest, _, _)| loss < *lowest) {
                best = Some((loss, slot, chosen));
            }
        }
        let (loss, slot, chosen) = best?;
        self.loss += loss;
        for index in chosen {
            self.stopped[index] = true;
            for run in &self.victims[index].runs {
                self.free[run.slot] += run.demand;
            }
        }
        Some(slot)
    }

    /// Returns the victims whose stop makes room for one more task on a worker, with their loss.
    fn cheapest_victims(&self, slot: SlotIndex) -> Option<(f64, Vec<usize>)> {
        let demand = &self.request.spec.demand;
        let mut free = self.free[slot];
        let mut chosen: Vec<(usize, ResourceAmount)> = Vec::new();
        for (index, amount) in
            self.victims_by_slot[slot].iter().filter(|(index, _)| !self.stopped[*index])
        {
            if free.covers(demand) {
                break;
            }
            free += *amount;
            chosen.push((*index, *amount));
        }
        if !free.covers(demand) {
            return None;
        }
        // A victim that was chosen early may turn out not to be needed once larger ones follow.
        let mut kept = Vec::new();
        for (index, amount) in chosen.into_iter().rev() {
            let without = free - amount;
            if without.covers(demand) {
                free = without;
            } else {
                kept.push(index);
            }
        }
        let loss = kept.iter().map(|index| self.victims[*index].loss).sum();
        Some((loss, kept))
    }
}
