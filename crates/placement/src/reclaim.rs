//! The search for the place with the least lost work.
//!
//! A place is worth the work that the gangs in it lose. The search fills each worker or rack member by
//! member, each time on the worker where one more member costs least, given the gangs already chosen
//! to stop, and then drops victims that turned out unnecessary. Its cost grows linearly with the
//! workers and the gangs on them.

use lacewingrail_model::shape::AdjacencyLevel;

use crate::amount::{GangDemand, ResourceAmount};
use crate::gang::{GangTable, PlacedGang};
use crate::packing::{GangPlacement, PlacementPart};
use crate::worker_pool::WorkerPool;

/// Cost of a slow worker for each accelerator of the gang, as a share of one hour of work: a gang at
/// half speed is rated like half an hour of lost work.
const SLOW_WORKER_COST_SECONDS: f64 = 3_600.0;
/// Cost of waiting for gangs that are being stopped already, for each accelerator.
const STOPPING_WAIT_COST_SECONDS: f64 = 3.0;

/// Position of a worker outside the group.
const NOT_IN_GROUP: usize = usize::MAX;

/// Asks for a place.
pub struct ReclaimQuery<'a> {
    /// Workers.
    pub pool: &'a WorkerPool,
    /// Gangs.
    pub gangs: &'a GangTable,
    /// What is to be placed.
    pub demand: &'a GangDemand,
    /// Most accelerators that may be used on each worker, whoever holds them now.
    pub limits: &'a [u32],
    /// Cost of stopping the gang in each slot; infinite where it may not be stopped.
    pub costs: &'a [f64],
    /// Worker or rack at which the search begins, so that ties spread over the domain.
    pub offset: usize,
}

/// Answers with a place and the gangs that must leave it.
#[derive(Clone, Debug)]
pub struct ReclaimChoice {
    /// Cost in accelerator-seconds.
    pub cost: f64,
    /// Place.
    pub placement: GangPlacement,
    /// Slots of the gangs to stop.
    pub victims: Vec<usize>,
}

/// Returns the costs of all slots for a [`ReclaimQuery`].
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
    /// Returns the cheapest place, none when no place can be freed.
    pub fn search(&self) -> Option<ReclaimChoice> {
        let workers = self.pool.workers.len();
        let racks = &self.pool.rack_map.racks;
        let mut fill = GroupFill::new(self);
        let mut best: Option<ReclaimChoice> = None;
        match self.demand.adjacency {
            AdjacencyLevel::Worker => {
                for worker in cyclic(workers, self.offset) {
                    fill.try_group(&[worker], self.demand.members, &mut best);
                }
            }
            AdjacencyLevel::Rack => {
                for rack in cyclic(racks.len(), self.offset) {
                    fill.try_group(&racks[rack], 1, &mut best);
                }
            }
            AdjacencyLevel::Domain => {
                let group: Vec<usize> = cyclic(workers, self.offset).collect();
                fill.try_group(&group, 1, &mut best);
            }
        }
        best
    }

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

/// Costs and victims of the next members on one worker.
#[derive(Clone, Default)]
struct FillStep {
    cost: f64,
    victims: Vec<usize>,
}

struct GroupFill<'a> {
    query: &'a ReclaimQuery<'a>,
    chosen: Vec<bool>,
    /// Position of each worker in the group that is being filled.
    position: Vec<usize>,
    /// Accelerators of each worker that are free or held by gangs that may be stopped.
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

    /// Fills one group of workers in steps of some members, and keeps the result if it is cheaper.
    fn try_group(&mut self, group: &[usize], step: u32, best: &mut Option<ReclaimChoice>) {
        let limit = best.as_ref().map_or(f64::INFINITY, |choice| choice.cost);
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
        let mut taken = vec![0; group.len()];
        let mut next: Vec<Option<FillStep>> =
            group.iter().map(|worker| self.next_step(*worker, step)).collect();
        let mut victims: Vec<usize> = Vec::new();
        let mut cost = 0.0;
        let mut missing = demand.members;
        while missing > 0 {
            let cheapest = next
                .iter()
                .enumerate()
                .filter_map(|(index, next)| Some((index, next.as_ref()?.cost)))
                .min_by(|left, right| left.1.total_cmp(&right.1));
            let Some((index, step_cost)) = cheapest else {
                break;
            };
            cost += step_cost;
            if cost >= limit {
                break;
            }
            taken[index] += step;
            missing -= step;
            let added = next[index].take().map(|next| next.victims).unwrap_or_default();
            for slot in &added {
                self.chosen[*slot] = true;
            }
            victims.extend_from_slice(&added);
            // A victim frees accelerators on all its workers, so their next members become cheaper.
            let mut touched = vec![index];
            for gang in added.iter().filter_map(|slot| self.query.gangs.get(*slot)) {
                let positions = gang.placement.iter().map(|part| self.position[part.worker]);
                touched.extend(positions.filter(|position| *position != NOT_IN_GROUP));
            }
            for position in touched {
                next[position] = self.next_step(group[position], taken[position] + step);
            }
        }
        if missing == 0 && cost < limit {
            let kept = self.drop_unneeded(&taken, &mut cost, &victims);
            let placement = group
                .iter()
                .zip(&taken)
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

    /// Returns what it takes to bring a worker to a number of members.
    fn next_step(&self, worker: usize, members: u32) -> Option<FillStep> {
        let demand = self.query.demand;
        let need = demand.per_member.times(members);
        let pool_worker = &self.query.pool.workers[worker];
        if !pool_worker.is_usable() || need.accelerators > self.query.limits[worker] {
            return None;
        }
        let total = f64::from(demand.total());
        let slowness = f64::max(1.0 - pool_worker.speed, 0.0);
        let mut step =
            FillStep { cost: total * slowness * SLOW_WORKER_COST_SECONDS, victims: Vec::new() };
        let mut have = pool_worker.free_after_stops();
        for slot in pool_worker.gangs.iter().filter(|slot| self.chosen[**slot]) {
            have.add(self.query.amount_on(*slot, worker));
        }
        if have.contains(&need) {
            if !pool_worker.free().contains(&need) {
                step.cost += f64::from(demand.per_member.accelerators) * STOPPING_WAIT_COST_SECONDS;
            }
            return Some(step);
        }
        let lacks = |amount: &ResourceAmount, have: &ResourceAmount| {
            (amount.accelerators > 0 && have.accelerators < need.accelerators)
                || (amount.cores > 0 && have.cores < need.cores)
                || (amount.memory_mb > 0 && have.memory_mb < need.memory_mb)
        };
        let mut candidates: Vec<(f64, usize, ResourceAmount)> = pool_worker
            .gangs
            .iter()
            .filter(|slot| !self.chosen[**slot] && self.query.costs[**slot].is_finite())
            .map(|slot| (self.query.costs[*slot], *slot, self.query.amount_on(*slot, worker)))
            .filter(|(_, _, amount)| lacks(amount, &have))
            .collect();
        candidates.sort_by(|left, right| left.0.total_cmp(&right.0).then(left.1.cmp(&right.1)));
        let mut used = Vec::new();
        for candidate in candidates {
            if have.contains(&need) {
                break;
            }
            if lacks(&candidate.2, &have) {
                have.add(candidate.2);
                used.push(candidate);
            }
        }
        if !have.contains(&need) {
            return None;
        }
        // The cheap ones taken first may be unnecessary beside an expensive one taken last.
        for (cost, slot, amount) in used.into_iter().rev() {
            let mut without = have;
            without.subtract(amount);
            if without.contains(&need) {
                have = without;
            } else {
                step.cost += cost;
                step.victims.push(slot);
            }
        }
        Some(step)
    }

    /// Drops victims whose accelerators are not needed beside the others', the costliest first.
    fn drop_unneeded(&mut self, taken: &[u32], cost: &mut f64, victims: &[usize]) -> Vec<usize> {
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
                let mut have = worker.free_after_stops();
                for other in worker.gangs.iter().filter(|other| self.chosen[**other]) {
                    have.add(self.query.amount_on(*other, part.worker));
                }
                !have.contains(&self.query.demand.per_member.times(taken[position]))
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

fn cyclic(length: usize, offset: usize) -> impl Iterator<Item = usize> {
    let start = if length == 0 { 0 } else { offset % length };
    (start..length).chain(0..start)
}
