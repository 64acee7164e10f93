//! The workers of a failure domain and the resources in use on them.
//!
//! Each worker has three resource accounts: held by starting or running gangs, held by gangs that
//! are being stopped, and claimed by gangs that wait for those stops. A claim usually covers the
//! same resources as the stops that it waits for, so the greater of the two is subtracted from what
//! is free, not their sum.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};

use lacewingrail_model::{RackName, WorkerId};

use crate::amount::{GangDemand, ResourceAmount};
use crate::gang::{GangPhase, PlacedGang};
use crate::health::WorkerHealth;
use crate::packing::RackMap;
use crate::types::WorkerCapacity;

/// Speed, relative to nominal, below which a worker is used only if the gang fits nowhere else. A
/// gang runs at the speed of its slowest member, so one such member costs more than a quarter of
/// the gang's throughput.
const MIN_PREFERRED_SPEED: f64 = 0.75;

/// A worker and its resource accounts.
#[derive(Clone, Debug)]
pub struct PoolWorker {
    pub id: WorkerId,
    pub rack: RackName,
    /// All resources that the worker reported last, used or not.
    pub capacity: ResourceAmount,
    /// Maximum of each resource that the worker ever reported.
    pub max_capacity: ResourceAmount,
    /// Measured speed relative to nominal, 1 for nominal.
    pub speed: f64,
    pub health: WorkerHealth,
    /// Held by gangs that are starting or running.
    pub held: ResourceAmount,
    /// Held by gangs that are being stopped.
    pub stopping: ResourceAmount,
    /// Claimed by gangs that wait for others to stop.
    pub claimed: ResourceAmount,
    /// Slots in the gang table of the gangs in any of these accounts.
    pub gangs: Vec<usize>,
}

impl PoolWorker {
    /// Returns whether new members may be placed on the worker.
    pub fn is_usable(&self) -> bool {
        self.health == WorkerHealth::Healthy
    }

    /// Returns whether the worker is so slow that others are preferred.
    pub fn is_slow(&self) -> bool {
        self.speed < MIN_PREFERRED_SPEED
    }

    /// Returns the capacity, or zero if the worker may not get new members.
    pub fn usable_capacity(&self) -> ResourceAmount {
        if self.is_usable() { self.capacity } else { ResourceAmount::default() }
    }

    /// Returns what a new member could use at once.
    pub fn free(&self) -> ResourceAmount {
        let mut free = self.usable_capacity();
        free.subtract(self.held);
        free.subtract(ResourceAmount {
            accelerators: self.stopping.accelerators.max(self.claimed.accelerators),
            cores: self.stopping.cores.max(self.claimed.cores),
            memory_mb: self.stopping.memory_mb.max(self.claimed.memory_mb),
        });
        free
    }

    /// Returns what will be free once all gangs that are being stopped are torn down.
    pub fn free_after_stops(&self) -> ResourceAmount {
        let mut free = self.usable_capacity();
        free.subtract(self.held);
        free.subtract(self.claimed);
        free
    }

    /// Returns whether a member's share of the cores and memory is no greater than its share of the
    /// accelerators.
    ///
    /// A guaranteed member may take no more, because otherwise too few cores would be left for the
    /// accelerators that are guaranteed to others.
    pub fn is_within_share(&self, demand: &GangDemand) -> bool {
        let worker_accelerators = u64::from(self.capacity.accelerators);
        let member_accelerators = u64::from(demand.per_member.accelerators);
        u64::from(demand.per_member.cores) * worker_accelerators
            <= u64::from(self.capacity.cores) * member_accelerators
            && demand.per_member.memory_mb.saturating_mul(worker_accelerators)
                <= self.capacity.memory_mb.saturating_mul(member_accelerators)
    }

    /// Returns the account that a gang in a phase belongs to.
    fn account_mut(&mut self, phase: GangPhase) -> &mut ResourceAmount {
        match phase {
            GangPhase::Claimed => &mut self.claimed,
            GangPhase::Starting | GangPhase::Running => &mut self.held,
            GangPhase::Stopping => &mut self.stopping,
        }
    }
}

/// All known workers of a failure domain; the other tables refer to them by index.
#[derive(Clone, Debug, Default)]
pub struct WorkerPool {
    pub workers: Vec<PoolWorker>,
    pub rack_map: RackMap,
    /// Accelerators of each worker of each rack when the domain is healthy, from settings.
    nominal_racks: BTreeMap<RackName, Vec<u32>>,
    indices: BTreeMap<WorkerId, usize>,
    /// What is free on each worker, cached because every search reads it and few events change it.
    free: Vec<ResourceAmount>,
    /// Sum of the free accelerators.
    free_accelerators: u32,
    /// Results of [`Self::fits_usable`] since the workers last changed.
    usable_fit_cache: HashMap<GangDemand, bool>,
    /// Result of [`Self::build_nominal_layout`], until the workers or nominal racks change.
    nominal_layout: Option<(RackMap, Vec<ResourceAmount>)>,
}

impl WorkerPool {
    /// Replaces the list of workers.
    ///
    /// A worker that is no longer listed stays in the pool as silent, because its loss may be
    /// temporary, until a new worker of the same rack takes its index.
    ///
    /// Returns whether anything changed that the plan of guarantees depends on.
    pub fn set_workers(&mut self, capacities: Vec<WorkerCapacity>) -> bool {
        let before: Vec<(WorkerId, RackName, u32)> = self.workers.iter().map(plan_inputs).collect();
        for worker in &mut self.workers {
            worker.health = WorkerHealth::Silent;
        }
        let (known, new): (Vec<_>, Vec<_>) =
            capacities.into_iter().partition(|capacity| self.indices.contains_key(&capacity.id));
        let mut listed = vec![false; self.workers.len()];
        for capacity in known {
            let index = self.indices[&capacity.id];
            listed[index] = true;
            update_worker(&mut self.workers[index], capacity);
        }
        for capacity in new {
            let reusable = (0..listed.len()).find(|index| {
                let worker = &self.workers[*index];
                !listed[*index] && worker.gangs.is_empty() && worker.rack == capacity.rack
            });
            let worker = new_worker(&capacity);
            let index = match reusable {
                Some(index) => {
                    listed[index] = true;
                    self.indices.remove(&self.workers[index].id);
                    self.workers[index] = worker;
                    index
                }
                None => {
                    self.workers.push(worker);
                    self.workers.len() - 1
                }
            };
            self.indices.insert(capacity.id, index);
        }
        self.rebuild_caches();
        !before.into_iter().eq(self.workers.iter().map(plan_inputs))
    }

    /// Sets the accelerators of each worker of each rack in the healthy domain.
    pub fn set_nominal_racks(&mut self, racks: BTreeMap<RackName, Vec<u32>>) {
        self.nominal_racks = racks;
        self.nominal_layout = None;
    }

    /// Sets the health of a worker and returns whether it changed.
    pub fn set_health(&mut self, worker: usize, health: WorkerHealth) -> bool {
        let changed = self.workers[worker].health != health;
        self.workers[worker].health = health;
        self.refresh_free(worker);
        self.usable_fit_cache.clear();
        changed
    }

    /// Returns whether neither workers nor nominal racks are known.
    pub fn is_layout_unknown(&self) -> bool {
        self.workers.is_empty() && self.nominal_racks.is_empty()
    }

    /// Returns the index of a worker, or none if it is unknown.
    pub fn find(&self, worker: &WorkerId) -> Option<usize> {
        self.indices.get(worker).copied()
    }

    /// Returns the index of a worker, and adds it as silent and without resources if it is unknown.
    ///
    /// Gangs found running after a failover may be on workers that are not listed yet.
    pub fn find_or_add(&mut self, worker: &WorkerId) -> usize {
        if let Some(index) = self.find(worker) {
            return index;
        }
        self.workers.push(new_worker(&WorkerCapacity {
            id: worker.clone(),
            rack: format!("unlisted/{worker}"),
            accelerators: 0,
            cores: 0,
            memory_mb: 0,
            speed: 1.0,
            health: WorkerHealth::Silent,
        }));
        self.indices.insert(worker.clone(), self.workers.len() - 1);
        self.rebuild_caches();
        self.workers.len() - 1
    }

    /// Adds a gang to the account of its phase on each of its workers.
    pub fn add_gang(&mut self, slot: usize, gang: &PlacedGang) {
        for part in &gang.placement {
            let worker = &mut self.workers[part.worker];
            worker.account_mut(gang.phase).add(gang.demand.per_member.times(part.members));
            worker.gangs.push(slot);
            self.refresh_free(part.worker);
        }
    }

    /// Removes a gang from the account of its phase on each of its workers.
    pub fn remove_gang(&mut self, slot: usize, gang: &PlacedGang) {
        for part in &gang.placement {
            let worker = &mut self.workers[part.worker];
            worker.account_mut(gang.phase).subtract(gang.demand.per_member.times(part.members));
            worker.gangs.retain(|other| *other != slot);
            self.refresh_free(part.worker);
        }
    }

    /// Returns what a new member could use at once on each worker, by index.
    pub fn free(&self) -> &[ResourceAmount] {
        &self.free
    }

    /// Returns the number of accelerators that are free at once on all workers.
    pub fn free_accelerators(&self) -> u32 {
        self.free_accelerators
    }

    /// Returns whether a demand would fit into the usable workers if nothing ran on them.
    pub fn fits_usable(&mut self, demand: &GangDemand) -> bool {
        if let Some(fits) = self.usable_fit_cache.get(demand) {
            return *fits;
        }
        let usable: Vec<ResourceAmount> =
            self.workers.iter().map(PoolWorker::usable_capacity).collect();
        let fits = self.rack_map.can_fit(&usable, demand);
        self.usable_fit_cache.insert(*demand, fits);
        fits
    }

    /// Returns whether a demand would fit into the healthy domain if nothing ran in it.
    pub fn fits_nominal(&mut self, demand: &GangDemand) -> bool {
        let (map, available) = match self.nominal_layout.take() {
            Some(layout) => layout,
            None => self.build_nominal_layout(),
        };
        let fits = map.can_fit(&available, demand);
        self.nominal_layout = Some((map, available));
        fits
    }

    fn refresh_free(&mut self, worker: usize) {
        let free = self.workers[worker].free();
        let old = std::mem::replace(&mut self.free[worker], free);
        self.free_accelerators = self.free_accelerators - old.accelerators + free.accelerators;
    }

    fn rebuild_caches(&mut self) {
        self.rack_map = RackMap::new(self.workers.iter().map(|worker| worker.rack.as_str()));
        self.free = self.workers.iter().map(PoolWorker::free).collect();
        self.free_accelerators = self.free.iter().map(|amount| amount.accelerators).sum();
        self.usable_fit_cache.clear();
        self.nominal_layout = None;
    }

    /// Returns the racks of the healthy domain and the capacity of each worker in them.
    ///
    /// Each worker counts with the maximum of each resource that it ever reported, and each rack
    /// with at least its nominal accelerators, because a loss may be temporary.
    fn build_nominal_layout(&self) -> (RackMap, Vec<ResourceAmount>) {
        let mut racks: BTreeMap<&str, Vec<ResourceAmount>> = BTreeMap::new();
        for worker in &self.workers {
            racks.entry(&worker.rack).or_default().push(worker.max_capacity);
        }
        for (rack, nominal) in &self.nominal_racks {
            let known = racks.entry(rack).or_default();
            known.sort_by_key(|amount| Reverse(amount.accelerators));
            let mut nominal = nominal.clone();
            nominal.sort_by_key(|count| Reverse(*count));
            for (position, count) in nominal.into_iter().enumerate() {
                match known.get_mut(position) {
                    Some(amount) => amount.accelerators = amount.accelerators.max(count),
                    // The cores and memory of a worker that never reported are unknown, so they
                    // don't limit.
                    None => known.push(ResourceAmount::unlimited(count)),
                }
            }
        }
        let names = racks.iter().flat_map(|(rack, amounts)| amounts.iter().map(|_| *rack));
        let map = RackMap::new(names);
        (map, racks.into_values().flatten().collect())
    }
}

/// Returns the properties of a worker that the plan of guarantees depends on.
fn plan_inputs(worker: &PoolWorker) -> (WorkerId, RackName, u32) {
    (worker.id.clone(), worker.rack.clone(), worker.usable_capacity().accelerators)
}

fn new_worker(capacity: &WorkerCapacity) -> PoolWorker {
    PoolWorker {
        id: capacity.id.clone(),
        rack: capacity.rack.clone(),
        capacity: amount_of(capacity),
        max_capacity: amount_of(capacity),
        speed: capacity.speed,
        health: capacity.health,
        held: ResourceAmount::default(),
        stopping: ResourceAmount::default(),
        claimed: ResourceAmount::default(),
        gangs: Vec::new(),
    }
}

fn update_worker(worker: &mut PoolWorker, capacity: WorkerCapacity) {
    worker.capacity = amount_of(&capacity);
    worker.max_capacity = worker.max_capacity.component_max(&worker.capacity);
    worker.rack = capacity.rack;
    worker.speed = capacity.speed;
    worker.health = capacity.health;
}

fn amount_of(capacity: &WorkerCapacity) -> ResourceAmount {
    ResourceAmount {
        accelerators: capacity.accelerators,
        cores: capacity.cores,
        memory_mb: capacity.memory_mb,
    }
}
