//! Packing of gangs into workers and racks in bounded time.
//!
//! A single gang is placed by best fit, on the worker or rack that has the least left over. Several
//! gangs are placed one after the other. The first order puts large gangs first and gangs that may
//! spread over the domain last; the second one puts first the gangs that need most on a single
//! worker. If both fail, a depth-first search with a fixed budget of nodes follows. An exhausted
//! budget counts as "does not fit", which bounds the time of an answer; the answer "fits" is always
//! right.

use std::collections::BTreeMap;

use lacewingrail_model::shape::AdjacencyLevel;

use crate::amount::{GangDemand, ResourceAmount};

/// Maximum number of placements that the search tries for one gang before it backtracks.
const MAX_SEARCH_WIDTH: usize = 4;
/// Maximum number of placements that the search tries in total, which bounds one packing to a few
/// milliseconds at 127 workers. Admission control and the running scheduler use the same budget, so
/// that guarantees which were admitted can also be packed later.
const MAX_SEARCH_NODES: u32 = 2_000;

/// The members of a gang on one worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlacementPart {
    /// Index of the worker in the pool.
    pub worker: usize,
    pub members: u32,
}

/// The workers of a gang and the number of members on each.
pub type GangPlacement = Vec<PlacementPart>;

/// The racks of a domain and the workers in them, all by index.
#[derive(Clone, Debug, Default)]
pub struct RackMap {
    /// Worker indices of each rack.
    pub racks: Vec<Vec<usize>>,
    /// Rack index of each worker.
    pub rack_of: Vec<usize>,
}

impl RackMap {
    /// Groups workers into racks, given the rack name of each worker by index.
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

    /// Returns the best-fit placement of a gang in the resources available on each worker, or none
    /// if it does not fit.
    ///
    /// Ties go to the first worker or rack from index `offset` on, wrapping around.
    pub fn fit(
        &self,
        available: &[ResourceAmount],
        demand: &GangDemand,
        offset: usize,
    ) -> Option<GangPlacement> {
        match demand.adjacency {
            AdjacencyLevel::Worker => cyclic_indices(available.len(), offset)
                .filter(|worker| {
                    available[*worker].fit_count(&demand.per_member, demand.members)
                        >= demand.members
                })
                .min_by_key(|worker| worker_remainder(&available[*worker], demand))
                .map(|worker| vec![PlacementPart { worker, members: demand.members }]),
            AdjacencyLevel::Rack => cyclic_indices(self.racks.len(), offset)
                .filter_map(|rack| Some((self.rack_fit(available, rack, demand)?, rack)))
                .min_by_key(|(key, _)| *key)
                .and_then(|(_, rack)| fill_workers(&self.racks[rack], available, demand)),
            AdjacencyLevel::Domain => {
                let workers: Vec<usize> = cyclic_indices(available.len(), offset).collect();
                fill_workers(&workers, available, demand)
            }
        }
    }

    /// Returns whether a gang fits anywhere, without choosing a placement.
    pub fn can_fit(&self, available: &[ResourceAmount], demand: &GangDemand) -> bool {
        let fit_count =
            |worker: usize| available[worker].fit_count(&demand.per_member, demand.members);
        match demand.adjacency {
            AdjacencyLevel::Worker => {
                (0..available.len()).any(|worker| fit_count(worker) >= demand.members)
            }
            AdjacencyLevel::Rack => {
                (0..self.racks.len()).any(|rack| self.rack_fit(available, rack, demand).is_some())
            }
            AdjacencyLevel::Domain => {
                let mut found = 0;
                (0..available.len()).any(|worker| {
                    found += fit_count(worker);
                    found >= demand.members
                })
            }
        }
    }

    /// Places all gangs together, or returns none if no packing was found.
    ///
    /// The placements are in the order of `demands`. They are subtracted from `available`, which
    /// has no meaning if no packing was found.
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
        let initial = available.to_vec();
        let adjacent_first = sorted_indices(demands, |demand| {
            let spread = demand.adjacency == AdjacencyLevel::Domain;
            (spread, u32::MAX - demand.total(), demand.adjacency)
        });
        let largest_block_first = sorted_indices(demands, |demand| {
            (false, u32::MAX - largest_block(demand), demand.adjacency)
        });
        for order in [&adjacent_first, &largest_block_first] {
            available.copy_from_slice(&initial);
            if let Some(placements) = self.pack_greedy(available, demands, order) {
                return Some(placements);
            }
        }
        available.copy_from_slice(&initial);
        // A gang that does not fit even alone would make the search use up its budget in vain.
        if demands.iter().any(|demand| self.fit(available, demand, 0).is_none()) {
            return None;
        }
        let mut search = PackSearch {
            map: self,
            demands,
            order: &adjacent_first,
            placements: vec![GangPlacement::new(); demands.len()],
            budget: MAX_SEARCH_NODES,
        };
        search.run(available, 0).then_some(search.placements)
    }

    /// Places gangs by best fit in a given order, without backtracking.
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

    /// Returns how well a gang fits into a rack, lower for a tighter fit, or none if it does not
    /// fit: the members of the same size that would still fit in addition, and the rack's free
    /// accelerators.
    fn rack_fit(
        &self,
        available: &[ResourceAmount],
        rack: usize,
        demand: &GangDemand,
    ) -> Option<(u32, u32)> {
        let mut members = 0;
        let mut accelerators = 0;
        for worker in &self.racks[rack] {
            members += available[*worker].fit_count(&demand.per_member, demand.members);
            accelerators += available[*worker].accelerators;
        }
        (members >= demand.members).then(|| (members - demand.members, accelerators))
    }

    /// Returns up to [`MAX_SEARCH_WIDTH`] different placements of a gang, the best fit first.
    fn candidate_placements(
        &self,
        available: &[ResourceAmount],
        demand: &GangDemand,
    ) -> Vec<GangPlacement> {
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
                        ((worker_remainder(&available[worker], demand).0, free), worker)
                    })
                    .collect();
                workers.sort_unstable();
                // Workers with equal remainders in racks with equally many free accelerators count
                // as interchangeable, so one of them is enough.
                workers.dedup_by_key(|(key, _)| *key);
                let parts = workers.into_iter().take(MAX_SEARCH_WIDTH);
                parts
                    .map(|(_, worker)| vec![PlacementPart { worker, members: demand.members }])
                    .collect()
            }
            AdjacencyLevel::Rack => {
                let mut racks: Vec<((u32, u32), usize)> = (0..self.racks.len())
                    .filter_map(|rack| Some((self.rack_fit(available, rack, demand)?, rack)))
                    .collect();
                racks.sort_unstable();
                racks.dedup_by_key(|(key, _)| *key);
                let racks = racks.into_iter().take(MAX_SEARCH_WIDTH);
                racks
                    .filter_map(|(_, rack)| fill_workers(&self.racks[rack], available, demand))
                    .collect()
            }
            AdjacencyLevel::Domain => self.fit(available, demand, 0).into_iter().collect(),
        }
    }
}

/// Subtracts the members of a gang from the resources available on each worker.
pub fn subtract_placement(
    available: &mut [ResourceAmount],
    placement: &[PlacementPart],
    per_member: &ResourceAmount,
) {
    for part in placement {
        available[part.worker].subtract(per_member.times(part.members));
    }
}

/// Adds the members of a gang back to the resources available on each worker.
pub fn add_placement(
    available: &mut [ResourceAmount],
    placement: &[PlacementPart],
    per_member: &ResourceAmount,
) {
    for part in placement {
        available[part.worker].add(per_member.times(part.members));
    }
}

/// Returns whether each worker has the resources of its members available.
pub fn contains_placement(
    available: &[ResourceAmount],
    placement: &[PlacementPart],
    per_member: &ResourceAmount,
) -> bool {
    placement.iter().all(|part| available[part.worker].contains(&per_member.times(part.members)))
}

/// Depth-first search for placements of several gangs.
struct PackSearch<'a> {
    map: &'a RackMap,
    demands: &'a [GangDemand],
    /// Indices of the demands in the order in which they are placed.
    order: &'a [usize],
    /// Placements found, in the order of `demands`.
    placements: Vec<GangPlacement>,
    /// Placements that may still be tried.
    budget: u32,
}

impl PackSearch<'_> {
    /// Places the gangs from position `depth` of the order on, and returns whether all fit.
    fn run(&mut self, available: &mut [ResourceAmount], depth: usize) -> bool {
        let Some(index) = self.order.get(depth).copied() else {
            return true;
        };
        let demand = self.demands[index];
        for placement in self.map.candidate_placements(available, &demand) {
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

/// Returns the indices of the demands, sorted by a key.
fn sorted_indices<F>(demands: &[GangDemand], key: F) -> Vec<usize>
where
    F: Fn(&GangDemand) -> (bool, u32, AdjacencyLevel),
{
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by_key(|index| key(&demands[*index]));
    order
}

/// Returns the number of accelerators that a gang needs on a single worker.
fn largest_block(demand: &GangDemand) -> u32 {
    match demand.adjacency {
        AdjacencyLevel::Worker => demand.total(),
        AdjacencyLevel::Rack | AdjacencyLevel::Domain => demand.per_member.accelerators,
    }
}

/// Returns all indices below `length`, beginning with `offset` modulo `length` and wrapping around.
fn cyclic_indices(length: usize, offset: usize) -> impl Iterator<Item = usize> {
    let start = if length == 0 { 0 } else { offset % length };
    (start..length).chain(0..start)
}

/// Returns the accelerators and cores left on a worker that holds the whole gang.
fn worker_remainder(available: &ResourceAmount, demand: &GangDemand) -> (u32, u32) {
    let required = demand.per_member.times(demand.members);
    (available.accelerators - required.accelerators, available.cores - required.cores)
}

/// Places a gang on the given workers, or returns none if it does not fit. Workers whose free
/// accelerators leave the smallest remainder for members of this size are filled first, among those
/// the ones with the fewest free accelerators.
fn fill_workers(
    workers: &[usize],
    available: &[ResourceAmount],
    demand: &GangDemand,
) -> Option<GangPlacement> {
    let per_member = demand.per_member.accelerators.max(1);
    let mut options: Vec<(u32, u32, usize, u32)> = workers
        .iter()
        .enumerate()
        .map(|(position, worker)| {
            let free = available[*worker].accelerators;
            let count = available[*worker].fit_count(&demand.per_member, demand.members);
            (free % per_member, free, position, count)
        })
        .filter(|(_, _, _, count)| *count > 0)
        .collect();
    if options.iter().map(|(_, _, _, count)| count).sum::<u32>() < demand.members {
        return None;
    }
    options.sort_unstable();
    let mut missing = demand.members;
    let mut placement = GangPlacement::new();
    for (_, _, position, count) in options {
        if missing == 0 {
            break;
        }
        let members = count.min(missing);
        missing -= members;
        placement.push(PlacementPart { worker: workers[position], members });
    }
    (missing == 0).then_some(placement)
}
