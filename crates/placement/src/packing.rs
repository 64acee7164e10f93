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
pub struct PlacePart {
    /// Index of the worker.
    pub worker: usize,
    /// Members on it.
    pub members: u32,
}

/// Lists the workers of one gang.
pub type GangPlace = Vec<PlacePart>;

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
        room: &[ResourceAmount],
        demand: &GangDemand,
        offset: usize,
    ) -> Option<GangPlace> {
        match demand.adjacency {
            AdjacencyLevel::Worker => cyclic(room.len(), offset)
                .filter(|worker| {
                    room[*worker].slots(&demand.each, demand.members) >= demand.members
                })
                .min_by_key(|worker| left_over(&room[*worker], demand))
                .map(|worker| vec![PlacePart { worker, members: demand.members }]),
            AdjacencyLevel::Rack => cyclic(self.racks.len(), offset)
                .filter_map(|rack| Some((self.rack_left_over(room, rack, demand)?, rack)))
                .min_by_key(|(key, _)| *key)
                .and_then(|(_, rack)| fill(&self.racks[rack], room, demand)),
            AdjacencyLevel::Domain => {
                let workers: Vec<usize> = cyclic(room.len(), offset).collect();
                fill(&workers, room, demand)
            }
        }
    }

    /// Returns whether a gang fits anywhere, without choosing a place.
    pub fn has_room(&self, room: &[ResourceAmount], demand: &GangDemand) -> bool {
        let slots = |worker: usize| room[worker].slots(&demand.each, demand.members);
        match demand.adjacency {
            AdjacencyLevel::Worker => (0..room.len()).any(|worker| slots(worker) >= demand.members),
            AdjacencyLevel::Rack => {
                (0..self.racks.len()).any(|rack| self.rack_left_over(room, rack, demand).is_some())
            }
            AdjacencyLevel::Domain => {
                let mut found = 0;
                (0..room.len()).any(|worker| {
                    found += slots(worker);
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
        room: &mut [ResourceAmount],
        demands: &[GangDemand],
    ) -> Option<Vec<GangPlace>> {
        let free: u64 = room.iter().map(|amount| u64::from(amount.accelerators)).sum();
        let needed: u64 = demands.iter().map(|demand| u64::from(demand.total())).sum();
        if needed > free {
            return None;
        }
        let start = room.to_vec();
        let adjacent_first = order_by(demands, |demand| {
            let spread = demand.adjacency == AdjacencyLevel::Domain;
            (spread, u32::MAX - demand.total(), demand.adjacency)
        });
        let block_first =
            order_by(demands, |demand| (false, u32::MAX - block(demand), demand.adjacency));
        for order in [&adjacent_first, &block_first] {
            room.copy_from_slice(&start);
            if let Some(places) = self.pack_greedy(room, demands, order) {
                return Some(places);
            }
        }
        room.copy_from_slice(&start);
        // A gang that does not fit alone would use up the search's budget for nothing.
        if demands.iter().any(|demand| self.fit(room, demand, 0).is_none()) {
            return None;
        }
        let mut search = PackSearch {
            map: self,
            demands,
            order: &adjacent_first,
            places: vec![GangPlace::new(); demands.len()],
            budget: SEARCH_BUDGET,
        };
        search.run(room, 0).then_some(search.places)
    }

    fn pack_greedy(
        &self,
        room: &mut [ResourceAmount],
        demands: &[GangDemand],
        order: &[usize],
    ) -> Option<Vec<GangPlace>> {
        let mut places = vec![GangPlace::new(); demands.len()];
        for index in order {
            let place = self.fit(room, &demands[*index], 0)?;
            take(room, &place, &demands[*index].each);
            places[*index] = place;
        }
        Some(places)
    }

    /// Returns slots and accelerators left in a rack after the gang, none if it does not fit.
    fn rack_left_over(
        &self,
        room: &[ResourceAmount],
        rack: usize,
        demand: &GangDemand,
    ) -> Option<(u32, u32)> {
        let mut slots = 0;
        let mut accelerators = 0;
        for worker in &self.racks[rack] {
            slots += room[*worker].slots(&demand.each, demand.members);
            accelerators += room[*worker].accelerators;
        }
        (slots >= demand.members).then(|| (slots - demand.members, accelerators))
    }

    /// Returns several places for a gang, the best first.
    fn candidates(&self, room: &[ResourceAmount], demand: &GangDemand) -> Vec<GangPlace> {
        match demand.adjacency {
            AdjacencyLevel::Worker => {
                let mut workers: Vec<((u32, u32), usize)> = (0..room.len())
                    .filter(|worker| {
                        room[*worker].slots(&demand.each, demand.members) >= demand.members
                    })
                    .map(|worker| {
                        let rack = &self.racks[self.rack_of[worker]];
                        let free = rack.iter().map(|other| room[*other].accelerators).sum();
                        ((left_over(&room[worker], demand).0, free), worker)
                    })
                    .collect();
                workers.sort_unstable();
                // Workers with the same room in racks with the same room are interchangeable.
                workers.dedup_by_key(|(key, _)| *key);
                let parts = workers.into_iter().take(SEARCH_WIDTH);
                parts
                    .map(|(_, worker)| vec![PlacePart { worker, members: demand.members }])
                    .collect()
            }
            AdjacencyLevel::Rack => {
                let mut racks: Vec<((u32, u32), usize)> = (0..self.racks.len())
                    .filter_map(|rack| Some((self.rack_left_over(room, rack, demand)?, rack)))
                    .collect();
                racks.sort_unstable();
                racks.dedup_by_key(|(key, _)| *key);
                let racks = racks.into_iter().take(SEARCH_WIDTH);
                racks.filter_map(|(_, rack)| fill(&self.racks[rack], room, demand)).collect()
            }
            AdjacencyLevel::Domain => self.fit(room, demand, 0).into_iter().collect(),
        }
    }
}

/// Subtracts a gang from the room.
pub fn take(room: &mut [ResourceAmount], place: &[PlacePart], each: &ResourceAmount) {
    for part in place {
        room[part.worker].subtract(each.times(part.members));
    }
}

/// Adds a gang back to the room.
pub fn give(room: &mut [ResourceAmount], place: &[PlacePart], each: &ResourceAmount) {
    for part in place {
        room[part.worker].add(each.times(part.members));
    }
}

/// Returns whether a place lies within the room.
pub fn is_within(room: &[ResourceAmount], place: &[PlacePart], each: &ResourceAmount) -> bool {
    place.iter().all(|part| room[part.worker].contains(&each.times(part.members)))
}

struct PackSearch<'a> {
    map: &'a RackMap,
    demands: &'a [GangDemand],
    order: &'a [usize],
    places: Vec<GangPlace>,
    budget: u32,
}

impl PackSearch<'_> {
    fn run(&mut self, room: &mut [ResourceAmount], depth: usize) -> bool {
        let Some(index) = self.order.get(depth).copied() else {
            return true;
        };
        let demand = self.demands[index];
        for place in self.map.candidates(room, &demand) {
            if self.budget == 0 {
                return false;
            }
            self.budget -= 1;
            take(room, &place, &demand.each);
            if self.run(room, depth + 1) {
                self.places[index] = place;
                return true;
            }
            give(room, &place, &demand.each);
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
        AdjacencyLevel::Rack | AdjacencyLevel::Domain => demand.each.accelerators,
    }
}

fn cyclic(length: usize, offset: usize) -> impl Iterator<Item = usize> {
    let start = if length == 0 { 0 } else { offset % length };
    (start..length).chain(0..start)
}

/// Returns accelerators, then cores, left on a worker after the gang.
fn left_over(room: &ResourceAmount, demand: &GangDemand) -> (u32, u32) {
    let taken = demand.each.times(demand.members);
    (room.accelerators - taken.accelerators, room.cores - taken.cores)
}

/// Fills workers with members, those with the least unusable remainder and the least room first.
fn fill(workers: &[usize], room: &[ResourceAmount], demand: &GangDemand) -> Option<GangPlace> {
    let each = demand.each.accelerators.max(1);
    let mut slots: Vec<(u32, u32, usize, u32)> = workers
        .iter()
        .enumerate()
        .map(|(order, worker)| {
            let free = room[*worker].accelerators;
            let count = room[*worker].slots(&demand.each, demand.members);
            (free % each, free, order, count)
        })
        .filter(|(_, _, _, count)| *count > 0)
        .collect();
    if slots.iter().map(|(_, _, _, count)| count).sum::<u32>() < demand.members {
        return None;
    }
    slots.sort_unstable();
    let mut missing = demand.members;
    let mut place = GangPlace::new();
    for (_, _, order, count) in slots {
        if missing == 0 {
            break;
        }
        let members = count.min(missing);
        missing -= members;
        place.push(PlacePart { worker: workers[order], members });
    }
    (missing == 0).then_some(place)
}
