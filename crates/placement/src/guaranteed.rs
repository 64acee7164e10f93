//! Places for jobs within their customer's guarantee.
//!
//! The job takes one unused unit of the plan. Its place may differ from the unit's footprint as long
//! as the other unused units still find places; the footprint itself is always a valid place, which
//! is why a guarantee can be reclaimed at any time.

use std::time::Duration;

use crate::amount::{GangDemand, ResourceAmount};
use crate::board::{JobCandidate, PlaceDecision, PlacementBoard};
use crate::gang::GangPhase;
use crate::packing::GangPlace;
use crate::plan::{UnitState, add, footprint_of, unsigned};
use crate::reclaim::{ReclaimChoice, ReclaimQuery, slot_costs};

/// Unused units that may move for one placement; bounds the time of the test.
const MAX_DISPLACED: usize = 32;

/// Returns whether an unused unit covers the job.
pub fn is_entitled(board: &PlacementBoard, candidate: &JobCandidate) -> bool {
    let unused = |state: &UnitState| *state == UnitState::Unused;
    board.plan.find_covering(&candidate.customer, &candidate.shape, unused).is_some()
}

/// Finds a place under a guarantee, or none when no unused unit covers the job or its cores and
/// memory go beyond the unit's share.
pub fn find_place(
    board: &mut PlacementBoard,
    candidate: &JobCandidate,
    now: Duration,
) -> Option<PlaceDecision> {
    let unused = |state: &UnitState| *state == UnitState::Unused;
    let unit = board.plan.find_covering(&candidate.customer, &candidate.shape, unused)?;
    let avoiding = (!candidate.avoid.is_empty()).then_some(&candidate.avoid[..]);
    // A unit whose only place is a worker to avoid is used all the same.
    let attempts = avoiding.into_iter().chain([&[][..]]);
    let mut found = None;
    let stages: Vec<SearchStage> = stages(board, now).collect();
    let searches = attempts.flat_map(|avoid| stages.iter().map(move |stage| (avoid, *stage)));
    for (avoid, stage) in searches {
        let search = UnitSearch { candidate, unit, avoid, stage, now };
        found = search.run(board);
        if found.is_some() {
            break;
        }
    }
    let choice = found?;
    let mut victims = choice.victims;
    add_quota_victims(board, candidate, &mut victims, now);
    Some(PlaceDecision {
        place: choice.place,
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
    spares: bool,
    /// Whether borrowers may be stopped.
    stops: bool,
}

/// Returns the stages of a search in order.
///
/// A guaranteed job goes before a reservation, but a stream of them must not take the reserved
/// place while another serves as well: it is spared where it costs no work, and where it does as
/// soon as its holder is overdue.
fn stages(board: &PlacementBoard, now: Duration) -> impl Iterator<Item = SearchStage> + use<> {
    let holder = board.reservation.as_ref().and_then(|held| board.queue.find(&held.job));
    let holder = holder.and_then(|key| board.queue.get(key));
    let sparing = holder.map(|job| SearchStage { spares: true, stops: job.is_overdue(now) });
    sparing.into_iter().chain([SearchStage { spares: false, stops: true }])
}

struct UnitSearch<'a> {
    candidate: &'a JobCandidate,
    unit: usize,
    avoid: &'a [usize],
    stage: SearchStage,
    now: Duration,
}

impl UnitSearch<'_> {
    fn run(&self, board: &mut PlacementBoard) -> Option<ReclaimChoice> {
        let shape = board.plan.units[self.unit].shape;
        let whole = GangDemand::of_shape(&shape);
        let exact = shape == self.candidate.shape;
        // The cores and memory of the job count only where it takes the whole unit.
        let demand = if exact { self.candidate.demand } else { whole };
        if let Some(place) = self.find_free(board, &demand)
            && exact
        {
            return Some(ReclaimChoice { cost: 0.0, place, victims: Vec::new() });
        }
        if !self.stage.stops {
            return None;
        }
        if exact {
            let open = self.mask(board, usable_room(&board.plan.open));
            let choice = self.reclaim(board, &demand, &open);
            if let Some(choice) = choice
                && self.shift(board, &choice.place, &whole)
            {
                return Some(choice);
            }
            let own = self.mask(board, own_room(board, self.unit));
            let choice = self.reclaim(board, &demand, &own)?;
            return self.shift(board, &choice.place, &whole).then_some(choice);
        }
        let mut room = vec![0; board.floor.workers.len()];
        for part in &board.plan.units[self.unit].footprint {
            room[part.worker] = part.accelerators;
        }
        let room = self.mask(board, room);
        self.reclaim(board, &self.candidate.demand, &room)
    }

    /// Moves the unit to a free place, if there is one, and returns the place.
    fn find_free(&self, board: &mut PlacementBoard, demand: &GangDemand) -> Option<GangPlace> {
        let free = board.floor.free().to_vec();
        let whole = GangDemand::of_shape(&board.plan.units[self.unit].shape);
        for accelerators in [own_room(board, self.unit), usable_room(&board.plan.open)] {
            let allowed = self.mask(board, accelerators);
            let room: Vec<ResourceAmount> = free
                .iter()
                .zip(&allowed)
                .map(|(amount, count)| amount.lesser(&ResourceAmount::unlimited(*count)))
                .collect();
            let mut fast = room.clone();
            for (amount, worker) in fast.iter_mut().zip(&board.floor.workers) {
                if worker.is_slow() {
                    *amount = ResourceAmount::default();
                }
            }
            let offset = self.candidate.offset;
            let map = &board.floor.map;
            let Some(place) =
                map.fit(&fast, demand, offset).or_else(|| map.fit(&room, demand, offset))
            else {
                continue;
            };
            if self.shift(board, &place, &whole) {
                return Some(place);
            }
        }
        None
    }

    fn shift(&self, board: &mut PlacementBoard, place: &GangPlace, whole: &GangDemand) -> bool {
        let footprint = footprint_of(place, whole);
        board.plan.shift(self.unit, &footprint, &board.floor.map, MAX_DISPLACED)
    }

    fn reclaim(
        &self,
        board: &PlacementBoard,
        demand: &GangDemand,
        room: &[u32],
    ) -> Option<ReclaimChoice> {
        let costs = slot_costs(&board.gangs, |gang| {
            gang.is_borrower().then(|| gang.preemption_cost(self.now))
        });
        let query = ReclaimQuery {
            floor: &board.floor,
            gangs: &board.gangs,
            demand,
            room,
            costs: &costs,
            offset: self.candidate.offset,
        };
        query.search()
    }

    /// Leaves only workers that may be used and whose share of cores and memory suffices.
    fn mask(&self, board: &PlacementBoard, mut room: Vec<u32>) -> Vec<u32> {
        for (index, worker) in board.floor.workers.iter().enumerate() {
            let fits = worker.is_usable() && worker.is_within_share(&self.candidate.demand);
            if !fits || self.avoid.contains(&index) {
                room[index] = 0;
            }
        }
        if let Some(held) = board.reservation.as_ref().filter(|_| self.stage.spares) {
            for part in footprint_of(&held.place, &held.demand) {
                room[part.worker] = room[part.worker].saturating_sub(part.accelerators);
            }
        }
        room
    }
}

/// Returns the accelerators outside all units but one.
fn own_room(board: &PlacementBoard, unit: usize) -> Vec<u32> {
    let mut room = board.plan.outside.clone();
    add(&mut room, &board.plan.units[unit].footprint);
    usable_room(&room)
}

fn usable_room(room: &[i32]) -> Vec<u32> {
    room.iter().map(|count| unsigned(*count)).collect()
}

/// Adds borrowers of the same customer until the guaranteed job is within the quota.
///
/// A guarantee is not refused because its customer's own borrowers use up the quota.
fn add_quota_victims(
    board: &PlacementBoard,
    candidate: &JobCandidate,
    victims: &mut Vec<usize>,
    now: Duration,
) {
    let quota = board.ledger.shares.get(&candidate.customer).map_or(u32::MAX, |share| share.quota);
    let own =
        |slot: &usize| board.gangs.get(*slot).filter(|gang| gang.customer == candidate.customer);
    let freed: u32 = victims.iter().filter_map(own).map(|gang| gang.demand.total()).sum();
    let stopping: u32 = board
        .gangs
        .iter()
        .filter(|(_, gang)| gang.customer == candidate.customer)
        .filter(|(_, gang)| gang.phase == GangPhase::Stopping)
        .map(|(_, gang)| gang.demand.total())
        .sum();
    let mut in_use = (board.ledger.in_use(&candidate.customer) + candidate.demand.total())
        .saturating_sub(freed + stopping);
    if in_use <= quota {
        return;
    }
    let mut borrowers: Vec<(f64, usize, u32)> = board
        .gangs
        .iter()
        .filter(|(slot, gang)| {
            gang.customer == candidate.customer && gang.is_borrower() && !victims.contains(slot)
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
