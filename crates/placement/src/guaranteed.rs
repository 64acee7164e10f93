//! Places for jobs within their customer's guarantee.
//!
//! The job takes one unused unit of the plan. Its place may differ from the unit's footprint as long
//! as the other unused units still find places; the footprint itself is always a valid place, which
//! is why a guarantee can be reclaimed at any time.

use std::time::Duration;

use crate::amount::{GangDemand, ResourceAmount};
use crate::gang::GangPhase;
use crate::packing::GangPlacement;
use crate::plan::{UnitState, add_footprint, footprint_of, usable_count};
use crate::reclaim::{ReclaimChoice, ReclaimQuery, preemption_costs};
use crate::state::{DomainState, JobCandidate, PlacementDecision};

/// Unused units that may move for one placement; bounds the time of the test.
const MAX_DISPLACED_UNITS: usize = 32;

/// Returns whether an unused unit covers the job.
pub fn is_entitled(state: &DomainState, candidate: &JobCandidate) -> bool {
    let unused = |state: &UnitState| *state == UnitState::Unused;
    state.plan.find_covering(&candidate.customer, &candidate.shape, unused).is_some()
}

/// Finds a place under a guarantee, or none when no unused unit covers the job or its cores and
/// memory go beyond the unit's share.
pub fn find_placement(
    state: &mut DomainState,
    candidate: &JobCandidate,
    now: Duration,
) -> Option<PlacementDecision> {
    let unused = |state: &UnitState| *state == UnitState::Unused;
    let unit = state.plan.find_covering(&candidate.customer, &candidate.shape, unused)?;
    let avoiding = (!candidate.avoid.is_empty()).then_some(&candidate.avoid[..]);
    // A unit whose only place is a worker to avoid is used all the same.
    let attempts = avoiding.into_iter().chain([&[][..]]);
    let mut found = None;
    let search_stages: Vec<SearchStage> = search_stages(state, now).collect();
    let searches =
        attempts.flat_map(|avoid| search_stages.iter().map(move |stage| (avoid, *stage)));
    for (avoid, stage) in searches {
        let search = UnitSearch { candidate, unit, avoid, stage, now };
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

/// Says how far a search may go.
#[derive(Clone, Copy)]
struct SearchStage {
    /// Whether the reserved place of a waiting gang is left alone.
    spares_reservation: bool,
    /// Whether borrowers may be stopped.
    may_preempt: bool,
}

/// Returns the stages of a search in order.
///
/// A guaranteed job goes before a reservation, but a stream of them must not take the reserved
/// place while another serves as well: it is spared where it costs no work, and where it does as
/// soon as its holder is overdue.
fn search_stages(state: &DomainState, now: Duration) -> impl Iterator<Item = SearchStage> + use<> {
    let holder = state.reservation.as_ref().and_then(|held| state.queue.find(&held.job));
    let holder = holder.and_then(|key| state.queue.get(key));
    let sparing = holder
        .map(|job| SearchStage { spares_reservation: true, may_preempt: job.is_overdue(now) });
    sparing.into_iter().chain([SearchStage { spares_reservation: false, may_preempt: true }])
}

struct UnitSearch<'a> {
    candidate: &'a JobCandidate,
    unit: usize,
    avoid: &'a [usize],
    stage: SearchStage,
    now: Duration,
}

impl UnitSearch<'_> {
    fn run(&self, state: &mut DomainState) -> Option<ReclaimChoice> {
        let shape = state.plan.units[self.unit].shape;
        let whole = GangDemand::from_shape(&shape);
        let exact = shape == self.candidate.shape;
        // The cores and memory of the job count only where it takes the whole unit.
        let demand = if exact { self.candidate.demand } else { whole };
        if let Some(placement) = self.find_free(state, &demand)
            && exact
        {
            return Some(ReclaimChoice { cost: 0.0, placement, victims: Vec::new() });
        }
        if !self.stage.may_preempt {
            return None;
        }
        if exact {
            let unheld = self.restrict(state, usable_counts(&state.plan.unheld));
            let choice = self.reclaim(state, &demand, &unheld);
            if let Some(choice) = choice
                && self.move_unit(state, &choice.placement, &whole)
            {
                return Some(choice);
            }
            let own = self.restrict(state, available_to_unit(state, self.unit));
            let choice = self.reclaim(state, &demand, &own)?;
            return self.move_unit(state, &choice.placement, &whole).then_some(choice);
        }
        let mut available = vec![0; state.pool.workers.len()];
        for part in &state.plan.units[self.unit].footprint {
            available[part.worker] = part.accelerators;
        }
        let available = self.restrict(state, available);
        self.reclaim(state, &self.candidate.demand, &available)
    }

    /// Moves the unit to a free place, if there is one, and returns the place.
    fn find_free(&self, state: &mut DomainState, demand: &GangDemand) -> Option<GangPlacement> {
        let free = state.pool.free().to_vec();
        let whole = GangDemand::from_shape(&state.plan.units[self.unit].shape);
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
            if self.move_unit(state, &placement, &whole) {
                return Some(placement);
            }
        }
        None
    }

    fn move_unit(
        &self,
        state: &mut DomainState,
        placement: &GangPlacement,
        whole: &GangDemand,
    ) -> bool {
        let footprint = footprint_of(placement, whole);
        state.plan.move_unit(self.unit, &footprint, &state.pool.rack_map, MAX_DISPLACED_UNITS)
    }

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

    /// Leaves only workers that may be used and whose share of cores and memory suffices.
    fn restrict(&self, state: &DomainState, mut available: Vec<u32>) -> Vec<u32> {
        for (index, worker) in state.pool.workers.iter().enumerate() {
            let fits = worker.is_usable() && worker.is_within_share(&self.candidate.demand);
            if !fits || self.avoid.contains(&index) {
                available[index] = 0;
            }
        }
        if let Some(held) = state.reservation.as_ref().filter(|_| self.stage.spares_reservation) {
            for part in footprint_of(&held.placement, &held.demand) {
                available[part.worker] = available[part.worker].saturating_sub(part.accelerators);
            }
        }
        available
    }
}

/// Returns the accelerators outside all units but one.
fn available_to_unit(state: &DomainState, unit: usize) -> Vec<u32> {
    let mut available = state.plan.unplanned.clone();
    add_footprint(&mut available, &state.plan.units[unit].footprint);
    usable_counts(&available)
}

fn usable_counts(available: &[i32]) -> Vec<u32> {
    available.iter().map(|count| usable_count(*count)).collect()
}

/// Adds borrowers of the same customer until the guaranteed job is within the quota.
///
/// A guarantee is not refused because its customer's own borrowers use up the quota.
fn add_quota_victims(
    state: &DomainState,
    candidate: &JobCandidate,
    victims: &mut Vec<usize>,
    now: Duration,
) {
    let quota = state.usage.shares.get(&candidate.customer).map_or(u32::MAX, |share| share.quota);
    let own =
        |slot: &usize| state.gangs.get(*slot).filter(|gang| gang.customer == candidate.customer);
    let freed: u32 = victims.iter().filter_map(own).map(|gang| gang.demand.total()).sum();
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
