//! Search for the placement whose preemptions lose the least work.
//!
//! The cost of a placement is mainly the work that its victims lose. The search is greedy: it tries
//! each worker, rack or the whole domain as a group, as the adjacency requires, and fills the group
//! member by member. Each member goes to the worker where it costs least, given the victims chosen
//! so far. Victims that turn out unnecessary are removed at the end. The time grows linearly with
//! the number of workers and of gangs on them.

use lacewingrail_model::shape::AdjacencyLevel;

use crate::amount::{GangDemand, ResourceAmount};
use crate::gang::{GangTable, PlacedGang};
use crate::packing::{GangPlacement, PlacementPart};
use crate::worker_pool::WorkerPool;

/// Cost of a slow worker for each accelerator of the gang, multiplied by the missing share of the
/// nominal speed: a gang at half speed counts as half an hour of lost work. Each step that places
/// members on the worker adds it.
const SLOW_WORKER_COST_SECONDS: f64 = 3_600.0;
/// Cost, for each accelerator of a member, of waiting for gangs that are already being stopped.
const STOPPING_WAIT_COST_SECONDS: f64 = 3.0;

/// Marks a worker outside the group in [`GroupFill::position`].
const NOT_IN_GROUP: usize = usize::MAX;

/// The input of a search.
pub struct ReclaimQuery<'a> {
    pub pool: &'a WorkerPool,
    pub gangs: &'a GangTable,
    /// Demand of the gang to place.
    pub demand: &'a GangDemand,
    /// Maximum number of accelerators that may be used on each worker, whether or not gangs hold
    /// them now.
    pub limits: &'a [u32],
    /// Cost of stopping the gang in each slot, in accelerator-seconds; infinite for a gang that may
    /// not be stopped.
    pub costs: &'a [f64],
    /// Index of the worker or rack at which the search begins, so that ties are spread over the
    /// domain.
    pub offset: usize,
}

/// A placement and the gangs that have to be stopped for it.
#[derive(Clone, Debug)]
pub struct ReclaimChoice {
    /// Total cost in accelerator-seconds.
    pub cost: f64,
    pub placement: GangPlacement,
    /// Slots of the gangs to stop.
    pub victims: Vec<usize>,
}

/// Returns the costs of all slots for a [`ReclaimQuery`]. A gang for which `cost` returns none may
/// not be stopped.
pub fn preemption_costs<F>(gangs: &GangTable, cost: F) -> Vec<f64>
where
    F: Fn(&PlacedGang) -> Option<f64>,
{
    let mut costs = vec![f64::INFINITY; gangs.slot_count()];
    for (slot, gang) in gangs.iter() {
        if let Some(value) = cost(gang) {
            costs[slot] = value;
        }
    }
    costs
}

impl ReclaimQuery<'_> {
    /// Returns the cheapest placement found, or none if no placement can be freed.
    pub fn search(&self) -> Option<ReclaimChoice> {
        let workers = self.pool.workers.len();
        let racks = &self.pool.rack_map.racks;
        let mut fill = GroupFill::new(self);
        let mut best: Option<ReclaimChoice> = None;
        match self.demand.adjacency {
            AdjacencyLevel::Worker => {
                for worker in cyclic_indices(workers, self.offset) {
                    fill.try_group(&[worker], self.demand.members, &mut best);
                }
            }
            AdjacencyLevel::Rack => {
                for rack in cyclic_indices(racks.len(), self.offset) {
                    fill.try_group(&racks[rack], 1, &mut best);
                }
            }
            AdjacencyLevel::Domain => {
                let group: Vec<usize> = cyclic_indices(workers, self.offset).collect();
                fill.try_group(&group, 1, &mut best);
            }
        }
        best
    }

    /// Returns the resources that the gang in a slot uses on a worker.
    fn amount_on(&self, slot: usize, worker: usize) -> ResourceAmount {
        let Some(gang) = self.gangs.get(slot) else {
            return ResourceAmount::default();
        };
        let members: u32 = gang
            .placement
            .iter()
            .filter(|part| part.worker == worker)
            .map(|part| part.members)
            .sum();
        gang.demand.per_member.times(members)
    }
}

/// Cost and victims of placing the next members on one worker.
#[derive(Clone, Default)]
struct FillStep {
    cost: f64,
    victims: Vec<usize>,
}

/// Fills groups of workers with the members of a gang, one group after the other.
struct GroupFill<'a> {
    query: &'a ReclaimQuery<'a>,
    /// Whether the gang in each slot is a victim of the group that is being filled.
    chosen: Vec<bool>,
    /// Position of each worker in the group that is being filled, or [`NOT_IN_GROUP`].
    position: Vec<usize>,
    /// Accelerators of each worker that are free or held by gangs that may be stopped, within the
    /// limits of the query.
    reclaimable: Vec<u32>,
}

impl<'a> GroupFill<'a> {
    fn new(query: &'a ReclaimQuery<'a>) -> Self {
        let workers = &query.pool.workers;
        let mut reclaimable: Vec<u32> =
            workers.iter().map(|worker| worker.free_after_stops().accelerators).collect();
        for (slot, gang) in query.gangs.iter() {
            if gang.demand.per_member.accelerators > 0 && query.costs[slot].is_finite() {
                for part in &gang.placement {
                    reclaimable[part.worker] += part.members * gang.demand.per_member.accelerators;
                }
            }
        }
        for (count, limit) in reclaimable.iter_mut().zip(query.limits) {
            *count = (*count).min(*limit);
        }
        let position = vec![NOT_IN_GROUP; workers.len()];
        Self { query, chosen: vec![false; query.gangs.slot_count()], position, reclaimable }
    }

    /// Fills one group of workers, `members_per_step` members at a time, and replaces `best` if the
    /// result is cheaper.
    fn try_group(
        &mut self,
        group: &[usize],
        members_per_step: u32,
        best: &mut Option<ReclaimChoice>,
    ) {
        let cost_limit = best.as_ref().map_or(f64::INFINITY, |choice| choice.cost);
        let demand = self.query.demand;
        let fit_count = |worker: &usize| {
            let usable = self.query.pool.workers[*worker].is_usable();
            let available = ResourceAmount::unlimited(self.reclaimable[*worker]);
            if usable { available.fit_count(&demand.per_member, demand.members) } else { 0 }
        };
        if group.iter().map(fit_count).sum::<u32>() < demand.members {
            return;
        }
        for (position, worker) in group.iter().enumerate() {
            self.position[*worker] = position;
        }
        let mut placed = vec![0; group.len()];
        let mut next_steps: Vec<Option<FillStep>> =
            group.iter().map(|worker| self.next_step(*worker, members_per_step)).collect();
        let mut victims: Vec<usize> = Vec::new();
        let mut cost = 0.0;
        let mut missing = demand.members;
        while missing > 0 {
            let cheapest = next_steps
                .iter()
                .enumerate()
                .filter_map(|(index, step)| Some((index, step.as_ref()?.cost)))
                .min_by(|left, right| left.1.total_cmp(&right.1));
            let Some((index, step_cost)) = cheapest else {
                break;
            };
            cost += step_cost;
            if cost >= cost_limit {
                break;
            }
            placed[index] += members_per_step;
            missing -= members_per_step;
            let added = next_steps[index].take().map(|step| step.victims).unwrap_or_default();
            for slot in &added {
                self.chosen[*slot] = true;
            }
            victims.extend_from_slice(&added);
            // A victim frees resources on all its workers, so the next members become cheaper
            // there.
            let mut changed = vec![index];
            for gang in added.iter().filter_map(|slot| self.query.gangs.get(*slot)) {
                let positions = gang.placement.iter().map(|part| self.position[part.worker]);
                changed.extend(positions.filter(|position| *position != NOT_IN_GROUP));
            }
            for position in changed {
                next_steps[position] =
                    self.next_step(group[position], placed[position] + members_per_step);
            }
        }
        if missing == 0 && cost < cost_limit {
            let kept = self.remove_unneeded(&placed, &mut cost, &victims);
            let placement = group
                .iter()
                .zip(&placed)
                .filter(|(_, members)| **members > 0)
                .map(|(worker, members)| PlacementPart { worker: *worker, members: *members })
                .collect();
            *best = Some(ReclaimChoice { cost, placement, victims: kept });
        }
        for slot in victims {
            self.chosen[slot] = false;
        }
        for worker in group {
            self.position[*worker] = NOT_IN_GROUP;
        }
    }

    /// Returns the cost and additional victims of raising a worker to a number of members, or none
    /// if it can't hold them.
    fn next_step(&self, worker: usize, members: u32) -> Option<FillStep> {
        let demand = self.query.demand;
        let required = demand.per_member.times(members);
        let pool_worker = &self.query.pool.workers[worker];
        if !pool_worker.is_usable() || required.accelerators > self.query.limits[worker] {
            return None;
        }
        let total = f64::from(demand.total());
        let slowness = f64::max(1.0 - pool_worker.speed, 0.0);
        let mut step =
            FillStep { cost: total * slowness * SLOW_WORKER_COST_SECONDS, victims: Vec::new() };
        let mut available = pool_worker.free_after_stops();
        for slot in pool_worker.gangs.iter().filter(|slot| self.chosen[**slot]) {
            available.add(self.query.amount_on(*slot, worker));
        }
        if available.contains(&required) {
            if !pool_worker.free().contains(&required) {
                step.cost += f64::from(demand.per_member.accelerators) * STOPPING_WAIT_COST_SECONDS;
            }
            return Some(step);
        }
        // Whether a gang's resources add to one that is still short.
        let helps = |amount: &ResourceAmount, available: &ResourceAmount| {
            (amount.accelerators > 0 && available.accelerators < required.accelerators)
                || (amount.cores > 0 && available.cores < required.cores)
                || (amount.memory_mb > 0 && available.memory_mb < required.memory_mb)
        };
        let mut candidates: Vec<(f64, usize, ResourceAmount)> = pool_worker
            .gangs
            .iter()
            .filter(|slot| !self.chosen[**slot] && self.query.costs[**slot].is_finite())
            .map(|slot| (self.query.costs[*slot], *slot, self.query.amount_on(*slot, worker)))
            .filter(|(_, _, amount)| helps(amount, &available))
            .collect();
        candidates.sort_by(|left, right| left.0.total_cmp(&right.0).then(left.1.cmp(&right.1)));
        let mut selected = Vec::new();
        for candidate in candidates {
            if available.contains(&required) {
                break;
            }
            if helps(&candidate.2, &available) {
                available.add(candidate.2);
                selected.push(candidate);
            }
        }
        if !available.contains(&required) {
            return None;
        }
        // An expensive candidate taken last may make cheaper ones taken before it unnecessary.
        for (cost, slot, amount) in selected.into_iter().rev() {
            let mut remaining = available;
            remaining.subtract(amount);
            if remaining.contains(&required) {
                available = remaining;
            } else {
                step.cost += cost;
                step.victims.push(slot);
            }
        }
        Some(step)
    }

    /// Returns the victims without those whose resources are not needed in addition to the others',
    /// and subtracts their cost. The most expensive victims are tried first.
    fn remove_unneeded(&mut self, placed: &[u32], cost: &mut f64, victims: &[usize]) -> Vec<usize> {
        let mut kept = victims.to_vec();
        if victims.len() < 2 {
            return kept;
        }
        let mut order = victims.to_vec();
        order.sort_by(|left, right| self.query.costs[*right].total_cmp(&self.query.costs[*left]));
        for slot in order {
            self.chosen[slot] = false;
            let placement = self.query.gangs.get(slot).map_or(&[][..], |gang| &gang.placement[..]);
            let needed = placement.iter().any(|part| {
                let position = self.position[part.worker];
                if position == NOT_IN_GROUP {
                    return false;
                }
                let worker = &self.query.pool.workers[part.worker];
                let mut available = worker.free_after_stops();
                for other in worker.gangs.iter().filter(|other| self.chosen[**other]) {
                    available.add(self.query.amount_on(*other, part.worker));
                }
                !available.contains(&self.query.demand.per_member.times(placed[position]))
            });
            if needed {
                self.chosen[slot] = true;
            } else {
                kept.retain(|other| *other != slot);
                *cost -= self.query.costs[slot];
            }
        }
        kept
    }
}

/// Returns all indices below `length`, beginning with `offset` modulo `length` and wrapping around.
fn cyclic_indices(length: usize, offset: usize) -> impl Iterator<Item = usize> {
    let start = if length == 0 { 0 } else { offset % length };
    (start..length).chain(0..start)
}
