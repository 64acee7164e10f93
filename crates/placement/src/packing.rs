//! Bounded packing of gangs into workers and racks.
//!
//! A single gang is placed by best fit: the worker or rack that has the least left over. Several
//! gangs are placed largest and most adjacent first, then in a second order, and when both fail by a
//! depth-first search with a fixed node budget. An exhausted budget counts as "does not fit", so
//! that the cost of an answer is bounded and the answer "fits" is always right.

use std::collections::BTreeMap;

use lacewingrail_model::shape::AdjacencyLevel;

use crate::amount::{GangDemand, ResourceAmount};

/// Places that the search tries for one gang before it gives up the branch.
const SEARCH_WIDTH: usize = 4;
/// Places that the search tries in total. It bounds one packing to a few milliseconds at 127
/// workers; the admission test and the running scheduler use the same budget, so that what was
/// admitted also packs later.
const SEARCH_BUDGET: u32 = 2_000;

/// Counts members of a gang on one worker, by worker index.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlacementPart {
    /// Index of the worker.
    pub worker: usize,
    /// Members on it.
    pub members: u32,
}

/// Lists the workers of one gang.
pub type GangPlacement = Vec<PlacementPart>;

/// Groups workers, known by index, into racks.
#[derive(Clone, Debug, Default)]
pub struct RackMap {
    /// Worker indices of each rack.
    pub racks: Vec<Vec<usize>>,
    /// Rack index of each worker.
    pub rack_of: Vec<usize>,
}

impl RackMap {
    /// Groups workers by the name of their rack.
    pub fn new<'a, I>(names: I) -> Self
    where
        I: IntoIterator<Item = &'a str>,
    {
        let mut indices = BTreeMap::new();
        let mut map = Self::default();
        for (worker, name) in names.into_iter().enumerate() {
            let rack = *indices.entry(name).or_insert_with(|| {
                map.racks.push(Vec::new());
                map.racks.len() - 1
            });
            map.racks[rack].push(worker);
            map.rack_of.push(rack);
        }
        map
    }

    /// Returns the best place for a gang within the room of each worker.
    ///
    /// Ties go to the first worker or rack from `offset` on, counted cyclically.
    pub fn fit(
        &self,
        available: &[ResourceAmount],
        demand: &GangDemand,
        offset: usize,
    ) -> Option<GangPlacement> {
        match demand.adjacency {
            AdjacencyLevel::Worker => cyclic(available.len(), offset)
                .filter(|worker| {
                    available[*worker].fit_count(&demand.per_member, demand.members)
                        >= demand.members
                })
                .min_by_key(|worker| left_over(&available[*worker], demand))
                .map(|worker| vec![PlacementPart { worker, members: demand.members }]),
            AdjacencyLevel::Rack => cyclic(self.racks.len(), offset)
                .filter_map(|rack| Some((self.rack_left_over(available, rack, demand)?, rack)))
                .min_by_key(|(key, _)| *key)
                .and_then(|(_, rack)| fill(&self.racks[rack], available, demand)),
            AdjacencyLevel::Domain => {
                let workers: Vec<usize> = cyclic(available.len(), offset).collect();
                fill(&workers, available, demand)
            }
        }
    }

    /// Returns whether a gang fits anywhere, without choosing a place.
    pub fn can_fit(&self, available: &[ResourceAmount], demand: &GangDemand) -> bool {
        let fit_count =
            |worker: usize| available[worker].fit_count(&demand.per_member, demand.members);
        match demand.adjacency {
            AdjacencyLevel::Worker => {
                (0..available.len()).any(|worker| fit_count(worker) >= demand.members)
            }
            AdjacencyLevel::Rack => (0..self.racks.len())
                .any(|rack| self.rack_left_over(available, rack, demand).is_some()),
            AdjacencyLevel::Domain => {
                let mut found = 0;
                (0..available.len()).any(|worker| {
                    found += fit_count(worker);
                    found >= demand.members
                })
            }
        }
    }

    /// Places all gangs together, or returns none when no packing was found.
    ///
    /// The places are in the order of `demands`; `room` is what remains afterwards.
    pub fn pack(
        &self,
        available: &mut [ResourceAmount],
        demands: &[GangDemand],
    ) -> Option<Vec<GangPlacement>> {
        let free: u64 = available.iter().map(|amount| u64::from(amount.accelerators)).sum();
        let needed: u64 = demands.iter().map(|demand| u64::from(demand.total())).sum();
        if needed > free {
            return None;
        }
        let start = available.to_vec();
        let adjacent_first = order_by(demands, |demand| {
            let spread = demand.adjacency == AdjacencyLevel::Domain;
            (spread, u32::MAX - demand.total(), demand.adjacency)
        });
        let block_first =
            order_by(demands, |demand| (false, u32::MAX - block(demand), demand.adjacency));
        for order in [&adjacent_first, &block_first] {
            available.copy_from_slice(&start);
            if let Some(placements) = self.pack_greedy(available, demands, order) {
                return Some(placements);
            }
        }
        available.copy_from_slice(&start);
        // A gang that does not fit alone would use up the search's budget for nothing.
        if demands.iter().any(|demand| self.fit(available, demand, 0).is_none()) {
            return None;
        }
        let mut search = PackSearch {
            map: self,
            demands,
            order: &adjacent_first,
            placements: vec![GangPlacement::new(); demands.len()],
            budget: SEARCH_BUDGET,
        };
        search.run(available, 0).then_some(search.placements)
    }

    fn pack_greedy(
        &self,
        available: &mut [ResourceAmount],
        demands: &[GangDemand],
        order: &[usize],
    ) -> Option<Vec<GangPlacement>> {
        let mut placements = vec![GangPlacement::new(); demands.len()];
        for index in order {
            let placement = self.fit(available, &demands[*index], 0)?;
            subtract_placement(available, &placement, &demands[*index].per_member);
            placements[*index] = placement;
        }
        Some(placements)
    }

    /// Returns slots and accelerators left in a rack after the gang, none if it does not fit.
    fn rack_left_over(
        &self,
        available: &[ResourceAmount],
        rack: usize,
        demand: &GangDemand,
    ) -> Option<(u32, u32)> {
        let mut slots = 0;
        let mut accelerators = 0;
        for worker in &self.racks[rack] {
            slots += available[*worker].fit_count(&demand.per_member, demand.members);
            accelerators += available[*worker].accelerators;
        }
        (slots >= demand.members).then(|| (slots - demand.members, accelerators))
    }

    /// Returns several places for a gang, the best first.
    fn candidates(&self, available: &[ResourceAmount], demand: &GangDemand) -> Vec<GangPlacement> {
        match demand.adjacency {
            AdjacencyLevel::Worker => {
                let mut workers: Vec<((u32, u32), usize)> = (0..available.len())
                    .filter(|worker| {
                        available[*worker].fit_count(&demand.per_member, demand.members)
                            >= demand.members
                    })
                    .map(|worker| {
                        let rack = &self.racks[self.rack_of[worker]];
                        let free = rack.iter().map(|other| available[*other].accelerators).sum();
                        ((left_over(&available[worker], demand).0, free), worker)
                    })
                    .collect();
                workers.sort_unstable();
                // Workers with the same room in racks with the same room are interchangeable.
                workers.dedup_by_key(|(key, _)| *key);
                let parts = workers.into_iter().take(SEARCH_WIDTH);
                parts
                    .map(|(_, worker)| vec![PlacementPart { worker, members: demand.members }])
                    .collect()
            }
            AdjacencyLevel::Rack => {
                let mut racks: Vec<((u32, u32), usize)> = (0..self.racks.len())
                    .filter_map(|rack| Some((self.rack_left_over(available, rack, demand)?, rack)))
                    .collect();
                racks.sort_unstable();
                racks.dedup_by_key(|(key, _)| *key);
                let racks = racks.into_iter().take(SEARCH_WIDTH);
                racks.filter_map(|(_, rack)| fill(&self.racks[rack], available, demand)).collect()
            }
            AdjacencyLevel::Domain => self.fit(available, demand, 0).into_iter().collect(),
        }
    }
}

/// Subtracts a gang from the room.
pub fn subtract_placement(
    available: &mut [ResourceAmount],
    placement: &[PlacementPart],
    per_member: &ResourceAmount,
) {
    for part in placement {
        available[part.worker].subtract(per_member.times(part.members));
    }
}

/// Adds a gang back to the room.
pub fn add_placement(
    available: &mut [ResourceAmount],
    placement: &[PlacementPart],
    per_member: &ResourceAmount,
) {
    for part in placement {
        available[part.worker].add(per_member.times(part.members));
    }
}

/// Returns whether a place lies within the room.
pub fn contains_placement(
    available: &[ResourceAmount],
    placement: &[PlacementPart],
    per_member: &ResourceAmount,
) -> bool {
    placement.iter().all(|part| available[part.worker].contains(&per_member.times(part.members)))
}

struct PackSearch<'a> {
    map: &'a RackMap,
    demands: &'a [GangDemand],
    order: &'a [usize],
    placements: Vec<GangPlacement>,
    budget: u32,
}

impl PackSearch<'_> {
    fn run(&mut self, available: &mut [ResourceAmount], depth: usize) -> bool {
        let Some(index) = self.order.get(depth).copied() else {
            return true;
        };
        let demand = self.demands[index];
        for placement in self.map.candidates(available, &demand) {
            if self.budget == 0 {
                return false;
            }
            self.budget -= 1;
            subtract_placement(available, &placement, &demand.per_member);
            if self.run(available, depth + 1) {
                self.placements[index] = placement;
                return true;
            }
            add_placement(available, &placement, &demand.per_member);
        }
        false
    }
}

fn order_by<F>(demands: &[GangDemand], key: F) -> Vec<usize>
where
    F: Fn(&GangDemand) -> (bool, u32, AdjacencyLevel),
{
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by_key(|index| key(&demands[*index]));
    order
}

/// Returns the accelerators that must be free on a single worker.
fn block(demand: &GangDemand) -> u32 {
    match demand.adjacency {
        AdjacencyLevel::Worker => demand.total(),
        AdjacencyLevel::Rack | AdjacencyLevel::Domain => demand.per_member.accelerators,
    }
}

fn cyclic(length: usize, offset: usize) -> impl Iterator<Item = usize> {
    let start = if length == 0 { 0 } else { offset % length };
    (start..length).chain(0..start)
}

/// Returns accelerators, then cores, left on a worker after the gang.
fn left_over(available: &ResourceAmount, demand: &GangDemand) -> (u32, u32) {
    let taken = demand.per_member.times(demand.members);
    (available.accelerators - taken.accelerators, available.cores - taken.cores)
}

/// Fills workers with members, those with the least unusable remainder and the least room first.
fn fill(
    workers: &[usize],
    available: &[ResourceAmount],
    demand: &GangDemand,
) -> Option<GangPlacement> {
    let per_member = demand.per_member.accelerators.max(1);
    let mut slots: Vec<(u32, u32, usize, u32)> = workers
        .iter()
        .enumerate()
        .map(|(order, worker)| {
            let free = available[*worker].accelerators;
            let count = available[*worker].fit_count(&demand.per_member, demand.members);
            (free % per_member, free, order, count)
        })
        .filter(|(_, _, _, count)| *count > 0)
        .collect();
    if slots.iter().map(|(_, _, _, count)| count).sum::<u32>() < demand.members {
        return None;
    }
    slots.sort_unstable();
    let mut missing = demand.members;
    let mut placement = GangPlacement::new();
    for (_, _, order, count) in slots {
        if missing == 0 {
            break;
        }
        let members = count.min(missing);
        missing -= members;
        placement.push(PlacementPart { worker: workers[order], members });
    }
    (missing == 0).then_some(placement)
}
