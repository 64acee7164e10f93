//! Guarantees in shape, with preemptible borrowers.
//!
//! A job within its customer's guarantee always gets a place, by preemption if need be. Any other job
//! is a borrower: it uses free accelerators, urgent work also those of other borrowers. The first
//! borrower that does not fit gets a reservation; later ones may use the reserved place only until
//! the holder of the reservation can start.

use std::time::Duration;

use lacewingrail_model::job::WorkClass;

use crate::amount::{GangDemand, ResourceAmount};
use crate::board::{GangReservation, JobCandidate, PlaceDecision, PlacementBoard};
use crate::gang::{GangPhase, PlacedGang};
use crate::guaranteed;
use crate::packing::{GangPlace, give, is_within, take};
use crate::plan::unsigned;
use crate::policy::PlacementPolicy;
use crate::queue::QueueWalk;
use crate::reason::WaitReason;
use crate::reclaim::{ReclaimChoice, ReclaimQuery, slot_costs};
use crate::types::PlacementAction;

/// Jobs placed by one decision; bounds its time when many wait. Call again until nothing is decided.
const MAX_PLACEMENTS: usize = 8;
/// Preemptions after which a job is not moved any more to make room in a better shape.
const MAX_MOVES: u32 = 3;
/// Time after its start in which a job is not moved, so that moves do not follow each other.
const MOVE_REST: Duration = Duration::from_secs(600);
/// Cost factor of waiting for a guaranteed gang's end, compared to a borrower's.
const PROTECTED_WAIT_FACTOR: f64 = 10.0;

/// Places guarantees in shape.
#[derive(Clone, Copy, Debug)]
pub struct ShapePolicy;

impl PlacementPolicy for ShapePolicy {
    fn decide(&self, board: &mut PlacementBoard, now: Duration) -> Vec<PlacementAction> {
        board.refresh_plan();
        let mut round = DecisionRound {
            now,
            actions: Vec::new(),
            placed: 0,
            holder_seen: false,
            unfit: Vec::new(),
            unfit_urgent: Vec::new(),
        };
        board.start_ready_claims(now, &mut round.actions);
        if board.dirty {
            board.refresh_plan();
        }
        let mut walk = QueueWalk::new(&board.queue, &board.ledger, now);
        while round.placed < MAX_PLACEMENTS
            && let Some(key) = walk.next(&board.ledger)
        {
            if let Some(candidate) = board.candidate(key, now) {
                round.consider(board, &candidate);
            }
        }
        if !round.holder_seen && round.placed < MAX_PLACEMENTS {
            board.reservation = None;
        }
        round.actions
    }
}

struct DecisionRound {
    now: Duration,
    actions: Vec<PlacementAction>,
    placed: usize,
    /// Whether the first borrower that does not fit was met.
    holder_seen: bool,
    /// Demands that found no free place in this round; free places only shrink within it.
    unfit: Vec<(GangDemand, ShortResource)>,
    /// Demands of urgent work that found no place by preemption.
    unfit_urgent: Vec<GangDemand>,
}

impl DecisionRound {
    fn consider(&mut self, board: &mut PlacementBoard, candidate: &JobCandidate) {
        if let Some(slot) = board.gangs.slot(&candidate.job) {
            if board.gangs.get(slot).is_some_and(|gang| gang.phase != GangPhase::Claimed) {
                board.note_reason(candidate.key, WaitReason::Teardown);
            }
            return;
        }
        let Some(share) = board.ledger.shares.get(&candidate.customer) else {
            let customer = candidate.customer.clone();
            board.note_reason(candidate.key, WaitReason::UnknownCustomer(customer));
            return;
        };
        let quota = share.quota;
        if let Some(reason) = board.find_impossible(candidate.key) {
            board.queue.remove(&candidate.job);
            self.actions.push(PlacementAction::Refuse { job: candidate.job.clone(), reason });
            return;
        }
        if let Some(decision) = guaranteed::find_place(board, candidate, self.now) {
            return self.settle(board, candidate, decision);
        }
        let needed = candidate.demand.total();
        let in_use = board.ledger.in_use(&candidate.customer);
        if in_use + needed > quota {
            return board.note_reason(candidate.key, WaitReason::Quota { in_use, needed, quota });
        }
        if let Some(decision) = self.find_borrowed(board, candidate) {
            return self.settle(board, candidate, decision);
        }
        if !self.holder_seen {
            self.holder_seen = true;
            self.reserve(board, candidate);
            if let Some(choice) = self.find_defragmented(board, candidate) {
                return self.settle(board, candidate, decision_of(choice));
            }
        }
        let reason = if guaranteed::is_entitled(board, candidate) {
            WaitReason::OverShare(candidate.shape.to_string())
        } else {
            self.reason_of(board, candidate)
        };
        board.note_reason(candidate.key, reason);
    }

    fn settle(
        &mut self,
        board: &mut PlacementBoard,
        candidate: &JobCandidate,
        decision: PlaceDecision,
    ) {
        self.placed += 1;
        board.settle(candidate, decision, self.now, &mut self.actions);
    }

    /// Finds a place for a borrower: free, or held by gangs that it may stop.
    fn find_borrowed(
        &mut self,
        board: &PlacementBoard,
        candidate: &JobCandidate,
    ) -> Option<PlaceDecision> {
        let known = candidate.avoid.is_empty()
            && self.unfit.iter().any(|(other, _)| candidate.demand.is_at_least(other));
        if !known {
            if let Some(decision) = find_free(board, candidate) {
                return Some(decision);
            }
            let short = short_resource(board, candidate);
            if candidate.avoid.is_empty() {
                self.unfit.push((candidate.demand, short));
            }
        }
        if may_evict_backfill(board, candidate) {
            let now = self.now;
            let choice = search(board, candidate, |gang| {
                let backfill = gang.backfill_for.as_ref() == Some(&candidate.job);
                let allowed = gang.class != WorkClass::Urgent || candidate.overdue;
                (gang.is_borrower() && backfill && allowed).then(|| gang.preemption_cost(now))
            });
            if let Some(choice) = choice {
                return Some(decision_of(choice));
            }
        }
        if candidate.class != WorkClass::Urgent
            || self.unfit_urgent.iter().any(|other| candidate.demand.is_at_least(other))
        {
            return None;
        }
        let now = self.now;
        let choice = search(board, candidate, |gang| {
            let allowed = gang.class != WorkClass::Urgent && !gang.shielded;
            (gang.is_borrower() && allowed).then(|| gang.preemption_cost(now))
        });
        let Some(choice) = choice else {
            self.unfit_urgent.push(candidate.demand);
            return None;
        };
        let mut decision = decision_of(choice);
        decision.backfill_for = backfilled_job(board, candidate, &decision.place);
        Some(decision)
    }

    /// Reserves a place for the first borrower that does not fit, unless it has one already.
    ///
    /// The place is the one with the fewest accelerators to wait for. Nothing is known about how
    /// long they are held, since declared run times are not trusted.
    fn reserve(&self, board: &mut PlacementBoard, candidate: &JobCandidate) {
        let valid = board.reservation.as_ref().is_some_and(|held| {
            let usable = |worker: usize| board.floor.workers[worker].is_usable();
            held.job == candidate.job && held.place.iter().all(|part| usable(part.worker))
        });
        if valid {
            return;
        }
        let choice = search(board, candidate, |gang| {
            let factor = if gang.is_borrower() { 1.0 } else { PROTECTED_WAIT_FACTOR };
            Some(gang.weight() * factor)
        });
        board.reservation = choice.map(|choice| GangReservation {
            job: candidate.job.clone(),
            demand: candidate.demand,
            place: choice.place,
        });
    }

    /// Finds a place by moving checkpointable borrowers, all of which fit elsewhere at once.
    fn find_defragmented(
        &self,
        board: &PlacementBoard,
        candidate: &JobCandidate,
    ) -> Option<ReclaimChoice> {
        if board.floor.free_total() < candidate.demand.total() {
            return None;
        }
        let mut free = board.floor.free().to_vec();
        let now = self.now;
        let choice = search(board, candidate, |gang| {
            let rested = now.saturating_sub(gang.started_at) >= MOVE_REST;
            let movable = gang.checkpointable && gang.phase == GangPhase::Running;
            let allowed = gang.preemptions < MAX_MOVES;
            (gang.is_borrower() && movable && rested && allowed).then(|| gang.preemption_cost(now))
        })?;
        let movers: Vec<&PlacedGang> =
            choice.victims.iter().filter_map(|slot| board.gangs.get(*slot)).collect();
        let moved: u32 = movers.iter().map(|gang| gang.demand.total()).sum();
        if movers.is_empty() || moved > candidate.demand.total() {
            return None;
        }
        for gang in &movers {
            give(&mut free, &gang.place, &gang.demand.each);
        }
        if !is_within(&free, &choice.place, &candidate.demand.each) {
            return None;
        }
        take(&mut free, &choice.place, &candidate.demand.each);
        for gang in &movers {
            let place = board.floor.map.fit(&free, &gang.demand, 0)?;
            take(&mut free, &place, &gang.demand.each);
        }
        Some(choice)
    }

    fn reason_of(&self, board: &mut PlacementBoard, candidate: &JobCandidate) -> WaitReason {
        if !board.floor.fits_usable(&candidate.demand) {
            return WaitReason::TemporaryLoss(candidate.shape.to_string());
        }
        let free = board.floor.free_total();
        let needed = candidate.demand.total();
        if free < needed {
            return WaitReason::Count { free, needed };
        }
        let shape = candidate.shape.to_string();
        let known = self.unfit.iter().find(|(demand, _)| *demand == candidate.demand);
        match known {
            Some((_, ShortResource::Processors)) => WaitReason::Processors { shape },
            _ => WaitReason::Shape { free, shape },
        }
    }
}

/// Says what is short for a demand that found no free place.
#[derive(Clone, Copy, Debug)]
enum ShortResource {
    /// Accelerators, by count or in shape.
    Accelerators,
    /// Cores or memory beside free accelerators.
    Processors,
}

fn short_resource(board: &PlacementBoard, candidate: &JobCandidate) -> ShortResource {
    let accelerators = GangDemand::of_shape(&candidate.shape);
    let enough = board.floor.free_total() >= accelerators.total();
    if enough && board.floor.map.has_room(board.floor.free(), &accelerators) {
        ShortResource::Processors
    } else {
        ShortResource::Accelerators
    }
}

/// Returns whether a job holds the reservation and could start, by count, without its backfill.
fn may_evict_backfill(board: &PlacementBoard, candidate: &JobCandidate) -> bool {
    if board.reservation.as_ref().is_none_or(|held| held.job != candidate.job) {
        return false;
    }
    let backfill = board.gangs.iter().map(|(_, gang)| gang);
    let held: u32 = backfill
        .filter(|gang| gang.backfill_for.as_ref() == Some(&candidate.job))
        .map(|gang| gang.demand.total())
        .sum();
    let stopping: u32 = board.floor.workers.iter().map(|worker| worker.stopping.accelerators).sum();
    board.floor.free_total() + held + stopping >= candidate.demand.total()
}

/// Finds a free place, preferably off reserved workers, slow workers and unused guarantees.
fn find_free(board: &PlacementBoard, candidate: &JobCandidate) -> Option<PlaceDecision> {
    let map = &board.floor.map;
    let demand = &candidate.demand;
    // The widest choice first: most attempts in a busy domain fail here.
    if board.floor.free_total() < demand.total() {
        return None;
    }
    map.fit(board.floor.free(), demand, candidate.offset)?;
    let mut free = board.floor.free().to_vec();
    for worker in &candidate.avoid {
        free[*worker] = ResourceAmount::default();
    }
    let mut unreserved = free.clone();
    if let Some(held) = board.reservation.as_ref().filter(|held| held.job != candidate.job) {
        take(&mut unreserved, &held.place, &held.demand.each);
    }
    for room in [&unreserved, &free] {
        if let Some(place) = find_preferred(board, room, candidate) {
            let backfill_for = if is_within(&unreserved, &place, &demand.each) {
                None
            } else {
                backfilled_job(board, candidate, &place)
            };
            return Some(PlaceDecision { place, backfill_for, ..PlaceDecision::default() });
        }
    }
    None
}

fn find_preferred(
    board: &PlacementBoard,
    room: &[ResourceAmount],
    candidate: &JobCandidate,
) -> Option<GangPlace> {
    let map = &board.floor.map;
    let workers = &board.floor.workers;
    map.fit(room, &candidate.demand, candidate.offset)?;
    let mut fast = room.to_vec();
    for (amount, worker) in fast.iter_mut().zip(workers) {
        if worker.is_slow() {
            *amount = ResourceAmount::default();
        }
    }
    let mut calm = fast.clone();
    for (index, amount) in calm.iter_mut().enumerate() {
        let capacity = workers[index].usable_capacity().accelerators;
        let occupied = capacity - board.floor.free()[index].accelerators.min(capacity);
        let guaranteed = capacity.saturating_sub(unsigned(board.plan.open[index]));
        let borrowed = occupied.saturating_sub(guaranteed);
        let outside = unsigned(board.plan.outside[index]).saturating_sub(borrowed);
        amount.accelerators = amount.accelerators.min(outside);
    }
    [&calm[..], &fast[..], room]
        .into_iter()
        .find_map(|room| map.fit(room, &candidate.demand, candidate.offset))
}

/// Searches a place over the whole domain with the given cost of stopping gangs.
fn search<F>(board: &PlacementBoard, candidate: &JobCandidate, cost: F) -> Option<ReclaimChoice>
where
    F: Fn(&PlacedGang) -> Option<f64>,
{
    let mut room: Vec<u32> =
        board.floor.workers.iter().map(|worker| worker.usable_capacity().accelerators).collect();
    for worker in &candidate.avoid {
        room[*worker] = 0;
    }
    let query = ReclaimQuery {
        floor: &board.floor,
        gangs: &board.gangs,
        demand: &candidate.demand,
        room: &room,
        costs: &slot_costs(&board.gangs, cost),
        offset: candidate.offset,
    };
    query.search()
}

fn decision_of(choice: ReclaimChoice) -> PlaceDecision {
    PlaceDecision { place: choice.place, victims: choice.victims, ..PlaceDecision::default() }
}

/// Returns the holder of the reservation if a place shares workers with it.
fn backfilled_job(
    board: &PlacementBoard,
    candidate: &JobCandidate,
    place: &GangPlace,
) -> Option<String> {
    let held = board.reservation.as_ref().filter(|held| held.job != candidate.job)?;
    let shared = place.iter().any(|part| held.place.iter().any(|own| own.worker == part.worker));
    shared.then(|| held.job.clone())
}
