//! The baselines that ours is measured against.
//!
//! `fifo` starts jobs strictly in order of arrival at the first place that fits. `count` treats
//! guarantees as numbers of accelerators: it neither keeps shapes free nor keeps members adjacent, and
//! it preempts borrowers until the number is free.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use lacewingrail_model::CustomerName;
use lacewingrail_model::shape::AdjacencyLevel;

use crate::amount::{GangDemand, ResourceAmount};
use crate::board::{JobCandidate, PlaceDecision, PlacementBoard};
use crate::gang::GangPhase;
use crate::packing::{GangPlace, PlacePart};
use crate::policy::PlacementPolicy;
use crate::queue::{QueueKey, QueueWalk};
use crate::reason::WaitReason;
use crate::types::PlacementAction;

/// Places jobs in strict order at the first place that fits.
#[derive(Clone, Copy, Debug)]
pub struct FifoPolicy;

/// Places jobs by counts of accelerators.
#[derive(Clone, Copy, Debug)]
pub struct CountPolicy;

impl PlacementPolicy for FifoPolicy {
    fn decide(&self, board: &mut PlacementBoard, now: Duration) -> Vec<PlacementAction> {
        board.refresh_plan();
        let mut actions = Vec::new();
        board.start_ready_claims(now, &mut actions);
        let mut order: Vec<(Duration, QueueKey)> =
            board.queue.iter().map(|(key, job)| (job.entry.waiting_since, key)).collect();
        order.sort_unstable();
        let mut blocked: Option<String> = None;
        for (_, key) in order {
            let Some(candidate) = board.candidate(key, now) else {
                continue;
            };
            if let Some(first) = &blocked {
                board.note_reason(key, WaitReason::Order(first.clone()));
                continue;
            }
            if refuse_impossible(board, &candidate, &mut actions) || is_limited(board, &candidate) {
                continue;
            }
            match fit_first(board, &candidate) {
                Some(place) => {
                    let decision = PlaceDecision { place, ..PlaceDecision::default() };
                    board.settle(&candidate, decision, now, &mut actions);
                }
                None => {
                    note_count(board, &candidate);
                    blocked = Some(candidate.job.clone());
                }
            }
        }
        actions
    }
}

impl PlacementPolicy for CountPolicy {
    fn decide(&self, board: &mut PlacementBoard, now: Duration) -> Vec<PlacementAction> {
        board.refresh_plan();
        let mut actions = Vec::new();
        board.start_ready_claims(now, &mut actions);
        let mut guaranteed = unused_counts(board);
        let mut walk = QueueWalk::new(&board.queue, &board.ledger, now);
        while let Some(key) = walk.next(&board.ledger) {
            let Some(candidate) = board.candidate(key, now) else {
                continue;
            };
            if refuse_impossible(board, &candidate, &mut actions) || is_limited(board, &candidate) {
                continue;
            }
            let total = candidate.demand.total();
            let left = guaranteed.get(&candidate.customer).copied().unwrap_or(0);
            let entitled = total > 0 && total <= left;
            let anywhere = GangDemand { adjacency: AdjacencyLevel::Domain, ..candidate.demand };
            let free = board.floor.free();
            if let Some(place) = board.floor.map.fit(free, &anywhere, candidate.offset) {
                let decision =
                    PlaceDecision { place, guaranteed: entitled, ..PlaceDecision::default() };
                board.settle(&candidate, decision, now, &mut actions);
                if entitled {
                    guaranteed.insert(candidate.customer.clone(), left - total);
                }
                continue;
            }
            note_count(board, &candidate);
            if entitled {
                preempt_by_count(board, &candidate, &mut actions);
            }
        }
        actions
    }
}

/// Returns each customer's guaranteed accelerators that no guaranteed gang holds.
fn unused_counts(board: &PlacementBoard) -> BTreeMap<CustomerName, u32> {
    let mut counts: BTreeMap<CustomerName, u32> = BTreeMap::new();
    for entry in &board.entries {
        *counts.entry(entry.customer.clone()).or_default() += entry.shape.total() * entry.count;
    }
    for (_, gang) in board.gangs.iter().filter(|(_, gang)| gang.guaranteed) {
        if let Some(count) = counts.get_mut(&gang.customer) {
            *count = count.saturating_sub(gang.demand.total());
        }
    }
    counts
}

/// Stops the newest borrowers until enough accelerators are free by count, wherever they are.
fn preempt_by_count(
    board: &mut PlacementBoard,
    candidate: &JobCandidate,
    actions: &mut Vec<PlacementAction>,
) {
    let mut free: u32 = board
        .floor
        .workers
        .iter()
        .filter(|worker| worker.is_usable())
        .map(|worker| worker.capacity.accelerators.saturating_sub(worker.held.accelerators))
        .sum();
    let needed = candidate.demand.total();
    let mut borrowers: Vec<(Reverse<u64>, usize, u32)> = board
        .gangs
        .iter()
        .filter(|(_, gang)| gang.is_borrower() && gang.demand.total() > 0)
        .map(|(slot, gang)| (Reverse(gang.order), slot, gang.demand.total()))
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
    let victims = board.preempt(&victims);
    actions.push(PlacementAction::Preempt { victims, on_behalf_of: candidate.job.clone() });
}

fn refuse_impossible(
    board: &mut PlacementBoard,
    candidate: &JobCandidate,
    actions: &mut Vec<PlacementAction>,
) -> bool {
    let Some(reason) = board.find_impossible(candidate.key) else {
        return false;
    };
    board.queue.remove(&candidate.job);
    actions.push(PlacementAction::Refuse { job: candidate.job.clone(), reason });
    true
}

/// Returns whether teardown, missing settings or quota keep a job back, and notes the reason.
fn is_limited(board: &mut PlacementBoard, candidate: &JobCandidate) -> bool {
    let held = board.gangs.slot(&candidate.job).and_then(|slot| board.gangs.get(slot));
    let reason = match (held, board.ledger.shares.get(&candidate.customer)) {
        (Some(gang), _) if gang.phase == GangPhase::Claimed => return true,
        (Some(_), _) => WaitReason::Teardown,
        (None, None) => WaitReason::UnknownCustomer(candidate.customer.clone()),
        (None, Some(share)) => {
            let in_use = board.ledger.in_use(&candidate.customer);
            let needed = candidate.demand.total();
            if in_use + needed <= share.quota {
                return false;
            }
            WaitReason::Quota { in_use, needed, quota: share.quota }
        }
    };
    board.note_reason(candidate.key, reason);
    true
}

fn note_count(board: &mut PlacementBoard, candidate: &JobCandidate) {
    let free = board.floor.free().iter().map(|amount| amount.accelerators).sum();
    let needed = candidate.demand.total();
    let reason = if free < needed {
        WaitReason::Count { free, needed }
    } else {
        WaitReason::Shape { free, shape: candidate.shape.to_string() }
    };
    board.note_reason(candidate.key, reason);
}

/// Fills the first workers, or the first rack, that have room.
fn fit_first(board: &PlacementBoard, candidate: &JobCandidate) -> Option<GangPlace> {
    let free = board.floor.free();
    let demand = &candidate.demand;
    let slots = |worker: usize| free[worker].slots(&demand.each, demand.members);
    match demand.adjacency {
        AdjacencyLevel::Worker => (0..free.len())
            .find(|worker| slots(*worker) >= demand.members)
            .map(|worker| vec![PlacePart { worker, members: demand.members }]),
        AdjacencyLevel::Rack => {
            board.floor.map.racks.iter().find_map(|rack| fill_first(rack, demand, free))
        }
        AdjacencyLevel::Domain => {
            let workers: Vec<usize> = (0..free.len()).collect();
            fill_first(&workers, demand, free)
        }
    }
}

fn fill_first(
    workers: &[usize],
    demand: &GangDemand,
    free: &[ResourceAmount],
) -> Option<GangPlace> {
    let mut missing = demand.members;
    let mut place = GangPlace::new();
    for worker in workers {
        let members = free[*worker].slots(&demand.each, missing);
        if members > 0 {
            place.push(PlacePart { worker: *worker, members });
            missing -= members;
        }
    }
    (missing == 0).then_some(place)
}
