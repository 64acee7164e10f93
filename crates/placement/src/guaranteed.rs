//! Placement of jobs under their customer's guarantee.
//!
//! The job takes one unused unit of the plan. It may be placed outside the unit's footprint as long
//! as the other unused units still fit elsewhere. The footprint itself is always a valid placement,
//! so a guarantee can be reclaimed at any time.

use std::time::Duration;

use crate::amount::{GangDemand, ResourceAmount};
use crate::gang::GangPhase;
use crate::packing::GangPlacement;
use crate::plan::{UnitState, add_footprint, footprint_of, usable_count};
use crate::reclaim::{ReclaimChoice, ReclaimQuery, preemption_costs};
use crate::state::{DomainState, JobCandidate, PlacementDecision};

/// Maximum number of unused units that may move for one placement, which bounds the time of a
/// search.
const MAX_DISPLACED_UNITS: usize = 32;

/// Returns whether an unused unit of the job's customer covers its shape.
pub fn is_entitled(state: &DomainState, candidate: &JobCandidate) -> bool {
    let unused = |state: &UnitState| *state == UnitState::Unused;
    state.plan.find_covering(&candidate.customer, &candidate.shape, unused).is_some()
}

/// Returns a placement under a guarantee, and moves the unit that it uses there. Returns none if no
/// unused unit covers the job, or if the job needs more cores or memory than its share of a
/// worker's accelerators allows.
pub fn find_placement(
    state: &mut DomainState,
    candidate: &JobCandidate,
    now: Duration,
) -> Option<PlacementDecision> {
    let unused = |state: &UnitState| *state == UnitState::Unused;
    let unit = state.plan.find_covering(&candidate.customer, &candidate.shape, unused)?;
    let nonempty_avoided =
        (!candidate.avoided_workers.is_empty()).then_some(&candidate.avoided_workers[..]);
    // The second attempt avoids no workers, for units that fit nowhere else.
    let attempts = nonempty_avoided.into_iter().chain([&[][..]]);
    let mut found = None;
    let stages: Vec<SearchStage> = search_stages(state, now).collect();
    let searches = attempts
        .flat_map(|avoided_workers| stages.iter().map(move |stage| (avoided_workers, *stage)));
    for (avoided_workers, stage) in searches {
        let search = UnitSearch { candidate, unit, avoided_workers, stage, now };
        found = search.run(state);
        if found.is_some() {
            break;
        }
    }
    let choice = found?;
    let mut victims = choice.victims;
    add_quota_victims(state, candidate, &mut victims, now);
    Some(PlacementDecision {
        placement: choice.placement,
        victims,
        guaranteed: true,
        unit: Some(unit),
        backfill_for: None,
    })
}

/// What a search may use besides free accelerators.
#[derive(Clone, Copy)]
struct SearchStage {
    /// Whether the reserved accelerators of a waiting gang are left out.
    avoids_reservation: bool,
    /// Whether borrowers may be preempted.
    may_preempt: bool,
}

/// Returns the stages of a search in the order in which they are tried.
///
/// A guaranteed job takes precedence over a reservation. But a stream of guaranteed jobs must not
/// keep taking the reserved accelerators if others serve as well, so the first stage leaves them
/// out. Only if the holder of the reservation is overdue may that stage preempt borrowers.
fn search_stages(state: &DomainState, now: Duration) -> impl Iterator<Item = SearchStage> + use<> {
    let holder =
        state.reservation.as_ref().and_then(|reservation| state.queue.find(&reservation.job));
    let holder = holder.and_then(|key| state.queue.get(key));
    let avoiding_stage = holder
        .map(|job| SearchStage { avoids_reservation: true, may_preempt: job.is_overdue(now) });
    avoiding_stage.into_iter().chain([SearchStage { avoids_reservation: false, may_preempt: true }])
}

/// Search for a placement of a job on one unit of the plan.
struct UnitSearch<'a> {
    candidate: &'a JobCandidate,
    unit: usize,
    /// Indices of workers that must not be used.
    avoided_workers: &'a [usize],
    stage: SearchStage,
    now: Duration,
}

impl UnitSearch<'_> {
    /// Returns the placement of the job and its victims, and moves the unit there, or none if this
    /// stage finds no placement.
    fn run(&self, state: &mut DomainState) -> Option<ReclaimChoice> {
        let shape = state.plan.units[self.unit].shape;
        let unit_demand = GangDemand::from_shape(&shape);
        let exact = shape == self.candidate.shape;
        // The cores and memory of the job count only if it has the shape of the unit.
        let demand = if exact { self.candidate.demand } else { unit_demand };
        if let Some(placement) = self.find_free(state, &demand)
            && exact
        {
            return Some(ReclaimChoice { cost: 0.0, placement, victims: Vec::new() });
        }
        if !self.stage.may_preempt {
            return None;
        }
        if exact {
            let limits = self.restrict(state, usable_counts(&state.plan.unheld));
            let choice = self.reclaim(state, &demand, &limits);
            if let Some(choice) = choice
                && self.move_unit(state, &choice.placement, &unit_demand)
            {
                return Some(choice);
            }
            let limits = self.restrict(state, available_to_unit(state, self.unit));
            let choice = self.reclaim(state, &demand, &limits)?;
            return self.move_unit(state, &choice.placement, &unit_demand).then_some(choice);
        }
        let mut limits = vec![0; state.pool.workers.len()];
        for part in &state.plan.units[self.unit].footprint {
            limits[part.worker] = part.accelerators;
        }
        let limits = self.restrict(state, limits);
        self.reclaim(state, &self.candidate.demand, &limits)
    }

    /// Moves the unit to free accelerators and returns the placement, or none if there is no free
    /// one. Prefers the footprint and accelerators outside the plan to those of other unused units,
    /// and in each case workers that are not slow.
    fn find_free(&self, state: &mut DomainState, demand: &GangDemand) -> Option<GangPlacement> {
        let free = state.pool.free().to_vec();
        let unit_demand = GangDemand::from_shape(&state.plan.units[self.unit].shape);
        for accelerators in [available_to_unit(state, self.unit), usable_counts(&state.plan.unheld)]
        {
            let allowed = self.restrict(state, accelerators);
            let available: Vec<ResourceAmount> = free
                .iter()
                .zip(&allowed)
                .map(|(amount, count)| amount.component_min(&ResourceAmount::unlimited(*count)))
                .collect();
            let mut full_speed = available.clone();
            for (amount, worker) in full_speed.iter_mut().zip(&state.pool.workers) {
                if worker.is_slow() {
                    *amount = ResourceAmount::default();
                }
            }
            let offset = self.candidate.offset;
            let map = &state.pool.rack_map;
            let Some(placement) = map
                .fit(&full_speed, demand, offset)
                .or_else(|| map.fit(&available, demand, offset))
            else {
                continue;
            };
            if self.move_unit(state, &placement, &unit_demand) {
                return Some(placement);
            }
        }
        None
    }

    /// Moves the unit to a placement and returns whether the displaced units fit elsewhere.
    fn move_unit(
        &self,
        state: &mut DomainState,
        placement: &GangPlacement,
        unit_demand: &GangDemand,
    ) -> bool {
        let footprint = footprint_of(placement, unit_demand);
        state.plan.move_unit(self.unit, &footprint, &state.pool.rack_map, MAX_DISPLACED_UNITS)
    }

    /// Returns the placement within the limits whose preemptions lose the least work.
    fn reclaim(
        &self,
        state: &DomainState,
        demand: &GangDemand,
        limits: &[u32],
    ) -> Option<ReclaimChoice> {
        let costs = preemption_costs(&state.gangs, |gang| {
            gang.is_preemptible().then(|| gang.preemption_cost(self.now))
        });
        let query = ReclaimQuery {
            pool: &state.pool,
            gangs: &state.gangs,
            demand,
            limits,
            costs: &costs,
            offset: self.candidate.offset,
        };
        query.search()
    }

    /// Sets the limit to zero for workers that can't be used: those that are not usable, that are
    /// to be avoided, or on which the job's members would exceed their share of the cores or
    /// memory. Subtracts the reservation if this stage avoids it.
    fn restrict(&self, state: &DomainState, mut limits: Vec<u32>) -> Vec<u32> {
        for (index, worker) in state.pool.workers.iter().enumerate() {
            let fits = worker.is_usable() && worker.is_within_share(&self.candidate.demand);
            if !fits || self.avoided_workers.contains(&index) {
                limits[index] = 0;
            }
        }
        if let Some(reservation) =
            state.reservation.as_ref().filter(|_| self.stage.avoids_reservation)
        {
            for part in footprint_of(&reservation.placement, &reservation.demand) {
                limits[part.worker] = limits[part.worker].saturating_sub(part.accelerators);
            }
        }
        limits
    }
}

/// Returns the accelerators of each worker that no other unit reserves.
fn available_to_unit(state: &DomainState, unit: usize) -> Vec<u32> {
    let mut available = state.plan.unplanned.clone();
    add_footprint(&mut available, &state.plan.units[unit].footprint);
    usable_counts(&available)
}

/// Converts the available accelerators of each worker, with zero for negative numbers.
fn usable_counts(available: &[i32]) -> Vec<u32> {
    available.iter().map(|count| usable_count(*count)).collect()
}

/// Adds borrowers of the job's customer to the victims until the job is within the quota.
///
/// A guarantee must not be blocked because the customer's own borrowers use up the quota.
fn add_quota_victims(
    state: &DomainState,
    candidate: &JobCandidate,
    victims: &mut Vec<usize>,
    now: Duration,
) {
    let quota = state.usage.shares.get(&candidate.customer).map_or(u32::MAX, |share| share.quota);
    let own_gang =
        |slot: &usize| state.gangs.get(*slot).filter(|gang| gang.customer == candidate.customer);
    let freed: u32 = victims.iter().filter_map(own_gang).map(|gang| gang.demand.total()).sum();
    let stopping: u32 = state
        .gangs
        .iter()
        .filter(|(_, gang)| gang.customer == candidate.customer)
        .filter(|(_, gang)| gang.phase == GangPhase::Stopping)
        .map(|(_, gang)| gang.demand.total())
        .sum();
    let mut in_use = (state.usage.in_use(&candidate.customer) + candidate.demand.total())
        .saturating_sub(freed + stopping);
    if in_use <= quota {
        return;
    }
    let mut borrowers: Vec<(f64, usize, u32)> = state
        .gangs
        .iter()
        .filter(|(slot, gang)| {
            gang.customer == candidate.customer && gang.is_preemptible() && !victims.contains(slot)
        })
        .map(|(slot, gang)| (gang.preemption_cost(now), slot, gang.demand.total()))
        .filter(|(_, _, total)| *total > 0)
        .collect();
    borrowers.sort_by(|left, right| left.0.total_cmp(&right.0).then(left.1.cmp(&right.1)));
    for (_, slot, total) in borrowers {
        if in_use <= quota {
            break;
        }
        victims.push(slot);
        in_use = in_use.saturating_sub(total);
    }
}
