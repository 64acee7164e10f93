//! Baseline policies to compare the shape policy with.
//!
//! `fifo` starts jobs strictly in the order of arrival, by first fit. `count` treats guarantees as
//! numbers of accelerators: it neither keeps shapes free nor members adjacent, and it preempts
//! borrowers until enough accelerators are free, on any workers.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use lacewingrail_model::CustomerName;
use lacewingrail_model::shape::AdjacencyLevel;

use crate::amount::{GangDemand, ResourceAmount};
use crate::gang::GangPhase;
use crate::packing::{GangPlacement, PlacementPart};
use crate::policy::PlacementPolicy;
use crate::queue::{QueueCursor, QueueKey};
use crate::state::{DomainState, JobCandidate, PlacementDecision};
use crate::types::PlacementAction;
use crate::wait_reason::WaitReason;

/// Places jobs strictly in the order of arrival, by first fit.
#[derive(Clone, Copy, Debug)]
pub struct FifoPolicy;

/// Places jobs in fair order and guarantees numbers of accelerators, not shapes.
#[derive(Clone, Copy, Debug)]
pub struct CountPolicy;

impl PlacementPolicy for FifoPolicy {
    fn decide(&self, state: &mut DomainState, now: Duration) -> Vec<PlacementAction> {
        state.refresh_plan();
        let mut actions = Vec::new();
        state.start_ready_claims(now, &mut actions);
        let mut order: Vec<(Duration, QueueKey)> =
            state.queue.iter().map(|(key, job)| (job.pending.waiting_since, key)).collect();
        order.sort_unstable();
        let mut first_blocked: Option<String> = None;
        for (_, key) in order {
            let Some(candidate) = state.candidate(key, now) else {
                continue;
            };
            if let Some(job) = &first_blocked {
                state.set_wait_reason(key, WaitReason::StrictOrder(job.clone()));
                continue;
            }
            if refuse_infeasible(state, &candidate, &mut actions) || is_held_back(state, &candidate)
            {
                continue;
            }
            match fit_first(state, &candidate) {
                Some(placement) => {
                    let decision = PlacementDecision { placement, ..PlacementDecision::default() };
                    state.commit(&candidate, decision, now, &mut actions);
                }
                None => {
                    set_shortage_reason(state, &candidate);
                    first_blocked = Some(candidate.job.clone());
                }
            }
        }
        actions
    }
}

impl PlacementPolicy for CountPolicy {
    fn decide(&self, state: &mut DomainState, now: Duration) -> Vec<PlacementAction> {
        state.refresh_plan();
        let mut actions = Vec::new();
        state.start_ready_claims(now, &mut actions);
        let mut guaranteed = unused_guaranteed_accelerators(state);
        let mut cursor = QueueCursor::new(&state.queue, &state.usage, now);
        while let Some(key) = cursor.next(&state.usage) {
            let Some(candidate) = state.candidate(key, now) else {
                continue;
            };
            if refuse_infeasible(state, &candidate, &mut actions) || is_held_back(state, &candidate)
            {
                continue;
            }
            let total = candidate.demand.total();
            let unused = guaranteed.get(&candidate.customer).copied().unwrap_or(0);
            let entitled = total > 0 && total <= unused;
            let anywhere = GangDemand { adjacency: AdjacencyLevel::Domain, ..candidate.demand };
            let free = state.pool.free();
            if let Some(placement) = state.pool.rack_map.fit(free, &anywhere, candidate.offset) {
                let decision = PlacementDecision {
                    placement,
                    guaranteed: entitled,
                    ..PlacementDecision::default()
                };
                state.commit(&candidate, decision, now, &mut actions);
                if entitled {
                    guaranteed.insert(candidate.customer.clone(), unused - total);
                }
                continue;
            }
            set_shortage_reason(state, &candidate);
            if entitled {
                preempt_by_count(state, &candidate, &mut actions);
            }
        }
        actions
    }
}

/// Returns the number of guaranteed accelerators of each customer that no guaranteed gang holds.
fn unused_guaranteed_accelerators(state: &DomainState) -> BTreeMap<CustomerName, u32> {
    let mut counts: BTreeMap<CustomerName, u32> = BTreeMap::new();
    for guarantee in &state.guarantees {
        *counts.entry(guarantee.customer.clone()).or_default() +=
            guarantee.shape.total() * guarantee.count;
    }
    for (_, gang) in state.gangs.iter().filter(|(_, gang)| gang.guaranteed) {
        if let Some(count) = counts.get_mut(&gang.customer) {
            *count = count.saturating_sub(gang.demand.total());
        }
    }
    counts
}

/// Preempts the newest borrowers until enough accelerators are free, on any workers. Does nothing
/// if there are not enough borrowers.
fn preempt_by_count(
    state: &mut DomainState,
    candidate: &JobCandidate,
    actions: &mut Vec<PlacementAction>,
) {
    let mut free: u32 = state
        .pool
        .workers
        .iter()
        .filter(|worker| worker.is_usable())
        .map(|worker| worker.capacity.accelerators.saturating_sub(worker.held.accelerators))
        .sum();
    let needed = candidate.demand.total();
    let mut borrowers: Vec<(Reverse<u64>, usize, u32)> = state
        .gangs
        .iter()
        .filter(|(_, gang)| gang.is_preemptible() && gang.demand.total() > 0)
        .map(|(slot, gang)| (Reverse(gang.sequence), slot, gang.demand.total()))
        .collect();
    borrowers.sort_unstable();
    let mut victims = Vec::new();
    for (_, slot, total) in borrowers {
        if free >= needed {
            break;
        }
        victims.push(slot);
        free += total;
    }
    if free < needed || victims.is_empty() {
        return;
    }
    let victims = state.preempt(&victims);
    actions.push(PlacementAction::Preempt { victims, on_behalf_of: candidate.job.clone() });
}

/// Refuses a job that can never run in this domain and returns whether it did.
fn refuse_infeasible(
    state: &mut DomainState,
    candidate: &JobCandidate,
    actions: &mut Vec<PlacementAction>,
) -> bool {
    let Some(reason) = state.find_infeasibility(candidate.key) else {
        return false;
    };
    state.queue.remove(&candidate.job);
    actions.push(PlacementAction::Refuse { job: candidate.job.clone(), reason });
    true
}

/// Returns whether a job must wait for a claim, a teardown, its customer's settings or its quota,
/// and sets the reason.
fn is_held_back(state: &mut DomainState, candidate: &JobCandidate) -> bool {
    let placed_gang = state.gangs.find(&candidate.job).and_then(|slot| state.gangs.get(slot));
    let reason = match (placed_gang, state.usage.shares.get(&candidate.customer)) {
        (Some(gang), _) if gang.phase == GangPhase::Claimed => return true,
        (Some(_), _) => WaitReason::Teardown,
        (None, None) => WaitReason::UnknownCustomer(candidate.customer.clone()),
        (None, Some(share)) => {
            let in_use = state.usage.in_use(&candidate.customer);
            let needed = candidate.demand.total();
            if in_use + needed <= share.quota {
                return false;
            }
            WaitReason::Quota { in_use, needed, quota: share.quota }
        }
    };
    state.set_wait_reason(candidate.key, reason);
    true
}

/// Sets the reason of a job that does not fit: too few accelerators are free, or not in its shape.
fn set_shortage_reason(state: &mut DomainState, candidate: &JobCandidate) {
    let free = state.pool.free().iter().map(|amount| amount.accelerators).sum();
    let needed = candidate.demand.total();
    let reason = if free < needed {
        WaitReason::TooFewFree { free, needed }
    } else {
        WaitReason::ShapeNotFree { free, shape: candidate.shape.to_string() }
    };
    state.set_wait_reason(candidate.key, reason);
}

/// Returns the first-fit placement of a job: on the first worker or in the first rack that holds
/// it, or for domain adjacency on the first workers with anything free.
fn fit_first(state: &DomainState, candidate: &JobCandidate) -> Option<GangPlacement> {
    let free = state.pool.free();
    let demand = &candidate.demand;
    let fit_count = |worker: usize| free[worker].fit_count(&demand.per_member, demand.members);
    match demand.adjacency {
        AdjacencyLevel::Worker => (0..free.len())
            .find(|worker| fit_count(*worker) >= demand.members)
            .map(|worker| vec![PlacementPart { worker, members: demand.members }]),
        AdjacencyLevel::Rack => {
            state.pool.rack_map.racks.iter().find_map(|rack| fill_first(rack, demand, free))
        }
        AdjacencyLevel::Domain => {
            let workers: Vec<usize> = (0..free.len()).collect();
            fill_first(&workers, demand, free)
        }
    }
}

/// Places members on workers in the given order, or returns none if they don't all fit.
fn fill_first(
    workers: &[usize],
    demand: &GangDemand,
    free: &[ResourceAmount],
) -> Option<GangPlacement> {
    let mut missing = demand.members;
    let mut placement = GangPlacement::new();
    for worker in workers {
        let members = free[*worker].fit_count(&demand.per_member, missing);
        if members > 0 {
            placement.push(PlacementPart { worker: *worker, members });
            missing -= members;
        }
    }
    (missing == 0).then_some(placement)
}
