//! The policy that guarantees whole shapes and lets preemptible borrowers use what is left.
//!
//! A job within its customer's guarantee always gets a placement, by preemption if necessary. Any
//! other job is a borrower: it uses free accelerators, and an urgent one may also preempt other
//! borrowers. The first borrower that does not fit gets a reservation. Later borrowers may backfill
//! the reserved accelerators, but are preempted once the holder of the reservation can start.

use std::time::Duration;

use lacewingrail_model::job::WorkClass;

use crate::amount::{GangDemand, ResourceAmount};
use crate::gang::{GangPhase, PlacedGang};
use crate::guaranteed;
use crate::packing::{GangPlacement, add_placement, contains_placement, subtract_placement};
use crate::plan::usable_count;
use crate::policy::PlacementPolicy;
use crate::queue::QueueCursor;
use crate::reclaim::{ReclaimChoice, ReclaimQuery, preemption_costs};
use crate::state::{DomainState, GangReservation, JobCandidate, PlacementDecision};
use crate::types::PlacementAction;
use crate::wait_reason::WaitReason;

/// Maximum number of jobs placed by one decision, which bounds its time when many wait. The caller
/// decides again until there are no more actions.
const MAX_PLACEMENTS_PER_DECISION: usize = 8;
/// Number of preemptions from which on a job is no longer moved for defragmentation.
const MAX_PREEMPTIONS_FOR_MOVE: u32 = 3;
/// Time after its start in which a gang is not moved, so that it isn't moved repeatedly in a short
/// time.
const MIN_MOVE_INTERVAL: Duration = Duration::from_secs(600);
/// Factor by which waiting for the end of a protected gang costs more than for that of a borrower.
const PROTECTED_WAIT_FACTOR: f64 = 10.0;

/// Guarantees shapes, not only numbers of accelerators.
#[derive(Clone, Copy, Debug)]
pub struct ShapePolicy;

impl PlacementPolicy for ShapePolicy {
    fn decide(&self, state: &mut DomainState, now: Duration) -> Vec<PlacementAction> {
        state.refresh_plan();
        let mut round = DecisionRound {
            now,
            actions: Vec::new(),
            placed: 0,
            reservation_checked: false,
            unplaceable: Vec::new(),
            unplaceable_urgent: Vec::new(),
        };
        state.start_ready_claims(now, &mut round.actions);
        if state.plan_outdated {
            state.refresh_plan();
        }
        let mut cursor = QueueCursor::new(&state.queue, &state.usage, now);
        while round.placed < MAX_PLACEMENTS_PER_DECISION
            && let Some(key) = cursor.next(&state.usage)
        {
            if let Some(candidate) = state.candidate(key, now) {
                round.consider(state, &candidate);
            }
        }
        if !round.reservation_checked && round.placed < MAX_PLACEMENTS_PER_DECISION {
            state.reservation = None;
        }
        round.actions
    }
}

/// One decision over the waiting jobs in fair order.
struct DecisionRound {
    now: Duration,
    actions: Vec<PlacementAction>,
    /// Number of jobs placed so far.
    placed: usize,
    /// Whether the first borrower that does not fit has been considered; only that one may hold the
    /// reservation.
    reservation_checked: bool,
    /// Demands that don't fit into what is free. They stay unplaceable, since a decision only
    /// reduces what is free.
    unplaceable: Vec<(GangDemand, ScarceResource)>,
    /// Demands of urgent jobs that don't fit even with preemption.
    unplaceable_urgent: Vec<GangDemand>,
}

impl DecisionRound {
    /// Places or refuses a job, or sets the reason why it waits.
    fn consider(&mut self, state: &mut DomainState, candidate: &JobCandidate) {
        if let Some(slot) = state.gangs.find(&candidate.job) {
            if state.gangs.get(slot).is_some_and(|gang| gang.phase != GangPhase::Claimed) {
                state.set_wait_reason(candidate.key, WaitReason::Teardown);
            }
            return;
        }
        let Some(share) = state.usage.shares.get(&candidate.customer) else {
            let customer = candidate.customer.clone();
            state.set_wait_reason(candidate.key, WaitReason::UnknownCustomer(customer));
            return;
        };
        let quota = share.quota;
        if let Some(reason) = state.find_infeasibility(candidate.key) {
            state.queue.remove(&candidate.job);
            self.actions.push(PlacementAction::Refuse { job: candidate.job.clone(), reason });
            return;
        }
        if let Some(decision) = guaranteed::find_placement(state, candidate, self.now) {
            return self.commit(state, candidate, decision);
        }
        let needed = candidate.demand.total();
        let in_use = state.usage.in_use(&candidate.customer);
        if in_use + needed > quota {
            return state
                .set_wait_reason(candidate.key, WaitReason::Quota { in_use, needed, quota });
        }
        if let Some(decision) = self.find_borrowed_placement(state, candidate) {
            return self.commit(state, candidate, decision);
        }
        if !self.reservation_checked {
            self.reservation_checked = true;
            self.reserve(state, candidate);
            if let Some(choice) = self.find_by_moving_gangs(state, candidate) {
                return self.commit(state, candidate, decision_from(choice));
            }
        }
        let reason = if guaranteed::is_entitled(state, candidate) {
            WaitReason::OverGuaranteedShare(candidate.shape.to_string())
        } else {
            self.find_wait_reason(state, candidate)
        };
        state.set_wait_reason(candidate.key, reason);
    }

    /// Applies a decision and counts it.
    fn commit(
        &mut self,
        state: &mut DomainState,
        candidate: &JobCandidate,
        decision: PlacementDecision,
    ) {
        self.placed += 1;
        state.commit(candidate, decision, self.now, &mut self.actions);
    }

    /// Finds a placement for a borrower on free accelerators, or on those of gangs that it may
    /// preempt: its own backfill, and borrowers if it is urgent.
    fn find_borrowed_placement(
        &mut self,
        state: &DomainState,
        candidate: &JobCandidate,
    ) -> Option<PlacementDecision> {
        let known_unplaceable = candidate.avoided_workers.is_empty()
            && self.unplaceable.iter().any(|(other, _)| candidate.demand.dominates(other));
        if !known_unplaceable {
            if let Some(decision) = find_free(state, candidate) {
                return Some(decision);
            }
            let scarce = scarce_resource(state, candidate);
            if candidate.avoided_workers.is_empty() {
                self.unplaceable.push((candidate.demand, scarce));
            }
        }
        if can_start_without_backfill(state, candidate) {
            let now = self.now;
            let choice = search(state, candidate, |gang| {
                let backfill = gang.backfill_for.as_ref() == Some(&candidate.job);
                let allowed = gang.class != WorkClass::Urgent || candidate.overdue;
                (gang.is_preemptible() && backfill && allowed).then(|| gang.preemption_cost(now))
            });
            if let Some(choice) = choice {
                return Some(decision_from(choice));
            }
        }
        if candidate.class != WorkClass::Urgent
            || self.unplaceable_urgent.iter().any(|other| candidate.demand.dominates(other))
        {
            return None;
        }
        let now = self.now;
        let choice = search(state, candidate, |gang| {
            let allowed = gang.class != WorkClass::Urgent && !gang.exempt_from_urgent;
            (gang.is_preemptible() && allowed).then(|| gang.preemption_cost(now))
        });
        let Some(choice) = choice else {
            self.unplaceable_urgent.push(candidate.demand);
            return None;
        };
        let mut decision = decision_from(choice);
        decision.backfill_for = backfilled_job(state, candidate, &decision.placement);
        Some(decision)
    }

    /// Reserves a placement for the first borrower that does not fit, unless it holds a valid
    /// reservation.
    ///
    /// The placement is the one with the fewest accelerators to wait for, where those of protected
    /// gangs count several times. How long they will be held is unknown, since declared run times
    /// are not trusted.
    fn reserve(&self, state: &mut DomainState, candidate: &JobCandidate) {
        let valid = state.reservation.as_ref().is_some_and(|reservation| {
            let usable = |worker: usize| state.pool.workers[worker].is_usable();
            reservation.job == candidate.job
                && reservation.placement.iter().all(|part| usable(part.worker))
        });
        if valid {
            return;
        }
        let choice = search(state, candidate, |gang| {
            let factor = if gang.is_preemptible() { 1.0 } else { PROTECTED_WAIT_FACTOR };
            Some(gang.cost_weight() * factor)
        });
        state.reservation = choice.map(|choice| GangReservation {
            job: candidate.job.clone(),
            demand: candidate.demand,
            placement: choice.placement,
        });
    }

    /// Finds a placement by defragmentation: it preempts checkpointable borrowers that all fit
    /// elsewhere at once and together use no more accelerators than the job.
    fn find_by_moving_gangs(
        &self,
        state: &DomainState,
        candidate: &JobCandidate,
    ) -> Option<ReclaimChoice> {
        if state.pool.free_accelerators() < candidate.demand.total() {
            return None;
        }
        let mut free = state.pool.free().to_vec();
        let now = self.now;
        let choice = search(state, candidate, |gang| {
            let ran_long_enough = now.saturating_sub(gang.started_at) >= MIN_MOVE_INTERVAL;
            let movable = gang.checkpointable && gang.phase == GangPhase::Running;
            let allowed = gang.preemptions < MAX_PREEMPTIONS_FOR_MOVE;
            (gang.is_preemptible() && movable && ran_long_enough && allowed)
                .then(|| gang.preemption_cost(now))
        })?;
        let moving: Vec<&PlacedGang> =
            choice.victims.iter().filter_map(|slot| state.gangs.get(*slot)).collect();
        let moved_accelerators: u32 = moving.iter().map(|gang| gang.demand.total()).sum();
        if moving.is_empty() || moved_accelerators > candidate.demand.total() {
            return None;
        }
        for gang in &moving {
            add_placement(&mut free, &gang.placement, &gang.demand.per_member);
        }
        if !contains_placement(&free, &choice.placement, &candidate.demand.per_member) {
            return None;
        }
        subtract_placement(&mut free, &choice.placement, &candidate.demand.per_member);
        for gang in &moving {
            let placement = state.pool.rack_map.fit(&free, &gang.demand, 0)?;
            subtract_placement(&mut free, &placement, &gang.demand.per_member);
        }
        Some(choice)
    }

    /// Returns why a borrower waits.
    fn find_wait_reason(&self, state: &mut DomainState, candidate: &JobCandidate) -> WaitReason {
        if !state.pool.fits_usable(&candidate.demand) {
            return WaitReason::WorkersLost(candidate.shape.to_string());
        }
        let free = state.pool.free_accelerators();
        let needed = candidate.demand.total();
        if free < needed {
            return WaitReason::TooFewFree { free, needed };
        }
        let shape = candidate.shape.to_string();
        let known = self.unplaceable.iter().find(|(demand, _)| *demand == candidate.demand);
        match known {
            Some((_, ScarceResource::HostResources)) => WaitReason::HostResources { shape },
            _ => WaitReason::ShapeNotFree { free, shape },
        }
    }
}

/// The resource that is missing for a demand that does not fit into what is free.
#[derive(Clone, Copy, Debug)]
enum ScarceResource {
    /// Accelerators, in number or in the right shape.
    Accelerators,
    /// Cores or memory on the workers with free accelerators.
    HostResources,
}

/// Returns which resource is missing for a job that does not fit into what is free.
fn scarce_resource(state: &DomainState, candidate: &JobCandidate) -> ScarceResource {
    let accelerators = GangDemand::from_shape(&candidate.shape);
    let enough = state.pool.free_accelerators() >= accelerators.total();
    if enough && state.pool.rack_map.can_fit(state.pool.free(), &accelerators) {
        ScarceResource::HostResources
    } else {
        ScarceResource::Accelerators
    }
}

/// Returns whether a job holds the reservation and enough accelerators, counted without regard to
/// their shape, would be free if the gangs that backfill its reservation were preempted.
fn can_start_without_backfill(state: &DomainState, candidate: &JobCandidate) -> bool {
    if state.reservation.as_ref().is_none_or(|reservation| reservation.job != candidate.job) {
        return false;
    }
    let gangs = state.gangs.iter().map(|(_, gang)| gang);
    let backfilled: u32 = gangs
        .filter(|gang| gang.backfill_for.as_ref() == Some(&candidate.job))
        .map(|gang| gang.demand.total())
        .sum();
    let stopping: u32 = state.pool.workers.iter().map(|worker| worker.stopping.accelerators).sum();
    state.pool.free_accelerators() + backfilled + stopping >= candidate.demand.total()
}

/// Finds a placement on free accelerators, preferably without reserved accelerators, slow workers
/// and unused guarantees.
fn find_free(state: &DomainState, candidate: &JobCandidate) -> Option<PlacementDecision> {
    let map = &state.pool.rack_map;
    let demand = &candidate.demand;
    // The least restricted checks come first, since most attempts in a busy domain fail in them.
    if state.pool.free_accelerators() < demand.total() {
        return None;
    }
    map.fit(state.pool.free(), demand, candidate.offset)?;
    let mut free = state.pool.free().to_vec();
    for worker in &candidate.avoided_workers {
        free[*worker] = ResourceAmount::default();
    }
    let mut unreserved = free.clone();
    if let Some(reservation) =
        state.reservation.as_ref().filter(|reservation| reservation.job != candidate.job)
    {
        subtract_placement(&mut unreserved, &reservation.placement, &reservation.demand.per_member);
    }
    for available in [&unreserved, &free] {
        if let Some(placement) = find_preferred(state, available, candidate) {
            let backfill_for = if contains_placement(&unreserved, &placement, &demand.per_member) {
                None
            } else {
                backfilled_job(state, candidate, &placement)
            };
            return Some(PlacementDecision {
                placement,
                backfill_for,
                ..PlacementDecision::default()
            });
        }
    }
    None
}

/// Finds a placement in the available resources: outside unused guarantees and on workers that are
/// not slow, then on any workers that are not slow, then anywhere.
fn find_preferred(
    state: &DomainState,
    available: &[ResourceAmount],
    candidate: &JobCandidate,
) -> Option<GangPlacement> {
    let map = &state.pool.rack_map;
    let workers = &state.pool.workers;
    map.fit(available, &candidate.demand, candidate.offset)?;
    let mut full_speed = available.to_vec();
    for (amount, worker) in full_speed.iter_mut().zip(workers) {
        if worker.is_slow() {
            *amount = ResourceAmount::default();
        }
    }
    let mut unguaranteed = full_speed.clone();
    for (index, amount) in unguaranteed.iter_mut().enumerate() {
        let capacity = workers[index].usable_capacity().accelerators;
        let occupied = capacity - state.pool.free()[index].accelerators.min(capacity);
        let guaranteed = capacity.saturating_sub(usable_count(state.plan.unheld[index]));
        let borrowed = occupied.saturating_sub(guaranteed);
        let unplanned = usable_count(state.plan.unplanned[index]).saturating_sub(borrowed);
        amount.accelerators = amount.accelerators.min(unplanned);
    }
    [&unguaranteed[..], &full_speed[..], available]
        .into_iter()
        .find_map(|available| map.fit(available, &candidate.demand, candidate.offset))
}

/// Searches the whole domain for the placement with the lowest cost. `cost` is that of stopping a
/// gang, or none if the gang may not be stopped.
fn search<F>(state: &DomainState, candidate: &JobCandidate, cost: F) -> Option<ReclaimChoice>
where
    F: Fn(&PlacedGang) -> Option<f64>,
{
    let mut limits: Vec<u32> =
        state.pool.workers.iter().map(|worker| worker.usable_capacity().accelerators).collect();
    for worker in &candidate.avoided_workers {
        limits[*worker] = 0;
    }
    let query = ReclaimQuery {
        pool: &state.pool,
        gangs: &state.gangs,
        demand: &candidate.demand,
        limits: &limits,
        costs: &preemption_costs(&state.gangs, cost),
        offset: candidate.offset,
    };
    query.search()
}

fn decision_from(choice: ReclaimChoice) -> PlacementDecision {
    PlacementDecision {
        placement: choice.placement,
        victims: choice.victims,
        ..PlacementDecision::default()
    }
}

/// Returns the job that holds the reservation if a placement uses any of the reserved workers.
fn backfilled_job(
    state: &DomainState,
    candidate: &JobCandidate,
    placement: &GangPlacement,
) -> Option<String> {
    let reservation =
        state.reservation.as_ref().filter(|reservation| reservation.job != candidate.job)?;
    let shared = placement
        .iter()
        .any(|part| reservation.placement.iter().any(|reserved| reserved.worker == part.worker));
    shared.then(|| reservation.job.clone())
}
