//! The workers of the domain and what is held on them.
//!
//! Each worker has three accounts: held by gangs, held by gangs that are being stopped, and claimed
//! by gangs that wait for those. A claim may lie on top of what is being stopped, so both count once
//! for what is free.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};

use lacewingrail_model::{RackName, WorkerId};

use crate::amount::{GangDemand, ResourceAmount};
use crate::gang::{GangPhase, PlacedGang};
use crate::health::WorkerHealth;
use crate::packing::RackMap;
use crate::types::WorkerCapacity;

/// Speed below which a worker is used only when no place without it exists. A gang goes at the pace
/// of its slowest member, so that one such member costs a quarter of the whole gang.
const SLOW_SPEED: f64 = 0.75;

/// Describes one worker with its accounts.
#[derive(Clone, Debug)]
pub struct FloorWorker {
    /// Id.
    pub id: WorkerId,
    /// Rack.
    pub rack: RackName,
    /// Whole worker.
    pub capacity: ResourceAmount,
    /// Most of each resource that the worker was seen with.
    pub best: ResourceAmount,
    /// Measured speed, 1 for nominal.
    pub speed: f64,
    /// Health.
    pub health: WorkerHealth,
    /// Held by gangs that are starting or running.
    pub held: ResourceAmount,
    /// Held by gangs that are being stopped.
    pub stopping: ResourceAmount,
    /// Claimed by gangs that wait for others to stop.
    pub claimed: ResourceAmount,
    /// Slots of the gangs in any of these accounts.
    pub gangs: Vec<usize>,
}

impl FloorWorker {
    /// Returns whether new members may be placed here.
    pub fn is_usable(&self) -> bool {
        self.health == WorkerHealth::Healthy
    }

    /// Returns whether the worker is slow enough to be avoided.
    pub fn is_slow(&self) -> bool {
        self.speed < SLOW_SPEED
    }

    /// Returns the whole worker, or nothing when it may not be used.
    pub fn usable_capacity(&self) -> ResourceAmount {
        if self.is_usable() { self.capacity } else { ResourceAmount::default() }
    }

    /// Returns what is free at once.
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

    /// Returns what is free once the gangs being stopped have left.
    pub fn free_later(&self) -> ResourceAmount {
        let mut free = self.usable_capacity();
        free.subtract(self.held);
        free.subtract(self.claimed);
        free
    }

    /// Returns whether a member's cores and memory stay within the share of its accelerators.
    ///
    /// A guaranteed member may take no more, because the cores left over would not serve the
    /// accelerators that are guaranteed to others.
    pub fn is_within_share(&self, demand: &GangDemand) -> bool {
        let whole = u64::from(self.capacity.accelerators);
        let part = u64::from(demand.each.accelerators);
        u64::from(demand.each.cores) * whole <= u64::from(self.capacity.cores) * part
            && demand.each.memory_mb.saturating_mul(whole)
                <= self.capacity.memory_mb.saturating_mul(part)
    }

    fn account(&mut self, phase: GangPhase) -> &mut ResourceAmount {
        match phase {
            GangPhase::Claimed => &mut self.claimed,
            GangPhase::Starting | GangPhase::Running => &mut self.held,
            GangPhase::Stopping => &mut self.stopping,
        }
    }
}

/// Holds the workers by index.
#[derive(Clone, Debug, Default)]
pub struct WorkerFloor {
    /// Workers.
    pub workers: Vec<FloorWorker>,
    /// Racks.
    pub map: RackMap,
    nominal: BTreeMap<RackName, Vec<u32>>,
    index: BTreeMap<WorkerId, usize>,
    // Kept beside the workers, since every search reads it and few events change it.
    free: Vec<ResourceAmount>,
    free_total: u32,
    // Answers of `fits_usable` since the workers changed.
    usable_fits: HashMap<GangDemand, bool>,
    whole: Option<(RackMap, Vec<ResourceAmount>)>,
}

impl WorkerFloor {
    /// Takes the list of workers.
    ///
    /// A worker that is not listed any more is remembered as silent, because its loss may be
    /// temporary, until a new worker of its rack takes its index.
    ///
    /// Returns whether anything changed that the plan depends on.
    pub fn set_workers(&mut self, capacities: Vec<WorkerCapacity>) -> bool {
        let before: Vec<(WorkerId, RackName, u32)> = self.workers.iter().map(plan_facts).collect();
        for worker in &mut self.workers {
            worker.health = WorkerHealth::Silent;
        }
        let (known, new): (Vec<_>, Vec<_>) =
            capacities.into_iter().partition(|capacity| self.index.contains_key(&capacity.id));
        let mut listed = vec![false; self.workers.len()];
        for capacity in known {
            let index = self.index[&capacity.id];
            listed[index] = true;
            update(&mut self.workers[index], capacity);
        }
        for capacity in new {
            let vacant = (0..listed.len()).find(|index| {
                let worker = &self.workers[*index];
                !listed[*index] && worker.gangs.is_empty() && worker.rack == capacity.rack
            });
            let worker = new_worker(&capacity);
            let index = match vacant {
                Some(index) => {
                    listed[index] = true;
                    self.index.remove(&self.workers[index].id);
                    self.workers[index] = worker;
                    index
                }
                None => {
                    self.workers.push(worker);
                    self.workers.len() - 1
                }
            };
            self.index.insert(capacity.id, index);
        }
        self.rebuild_tables();
        !before.into_iter().eq(self.workers.iter().map(plan_facts))
    }

    /// Takes the accelerators of each worker of the healthy domain.
    pub fn set_nominal_racks(&mut self, racks: BTreeMap<RackName, Vec<u32>>) {
        self.nominal = racks;
        self.whole = None;
    }

    /// Changes the health of a worker and returns whether it differed.
    pub fn set_health(&mut self, worker: usize, health: WorkerHealth) -> bool {
        let changed = self.workers[worker].health != health;
        self.workers[worker].health = health;
        self.refresh_free(worker);
        self.usable_fits.clear();
        changed
    }

    /// Returns whether neither workers nor nominal racks are known.
    pub fn is_unknown(&self) -> bool {
        self.workers.is_empty() && self.nominal.is_empty()
    }

    /// Returns the index of a worker.
    pub fn find(&self, worker: &WorkerId) -> Option<usize> {
        self.index.get(worker).copied()
    }

    /// Adds a worker that running gangs name and the list does not have yet.
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
        self.index.insert(worker.clone(), self.workers.len() - 1);
        self.rebuild_tables();
        self.workers.len() - 1
    }

    /// Enters a gang into the account of its phase.
    pub fn enter(&mut self, slot: usize, gang: &PlacedGang) {
        for part in &gang.place {
            let worker = &mut self.workers[part.worker];
            worker.account(gang.phase).add(gang.demand.each.times(part.members));
            worker.gangs.push(slot);
            self.refresh_free(part.worker);
        }
    }

    /// Removes a gang from the account of its phase.
    pub fn leave(&mut self, slot: usize, gang: &PlacedGang) {
        for part in &gang.place {
            let worker = &mut self.workers[part.worker];
            worker.account(gang.phase).subtract(gang.demand.each.times(part.members));
            worker.gangs.retain(|other| *other != slot);
            self.refresh_free(part.worker);
        }
    }

    /// Returns what is free at once on each worker.
    pub fn free(&self) -> &[ResourceAmount] {
        &self.free
    }

    /// Returns the accelerators that are free at once.
    pub fn free_total(&self) -> u32 {
        self.free_total
    }

    /// Returns whether a demand fits into the usable workers, whatever runs on them.
    pub fn fits_usable(&mut self, demand: &GangDemand) -> bool {
        if let Some(fits) = self.usable_fits.get(demand) {
            return *fits;
        }
        let usable: Vec<ResourceAmount> =
            self.workers.iter().map(FloorWorker::usable_capacity).collect();
        let fits = self.map.has_room(&usable, demand);
        self.usable_fits.insert(*demand, fits);
        fits
    }

    /// Returns whether a demand fits into the whole domain with every worker known or nominal.
    pub fn may_ever_fit(&mut self, demand: &GangDemand) -> bool {
        let (map, room) = match self.whole.take() {
            Some(whole) => whole,
            None => self.nominal_room(),
        };
        let fits = map.has_room(&room, demand);
        self.whole = Some((map, room));
        fits
    }

    fn refresh_free(&mut self, worker: usize) {
        let free = self.workers[worker].free();
        let old = std::mem::replace(&mut self.free[worker], free);
        self.free_total = self.free_total - old.accelerators + free.accelerators;
    }

    fn rebuild_tables(&mut self) {
        self.map = RackMap::new(self.workers.iter().map(|worker| worker.rack.as_str()));
        self.free = self.workers.iter().map(FloorWorker::free).collect();
        self.free_total = self.free.iter().map(|amount| amount.accelerators).sum();
        self.usable_fits.clear();
        self.whole = None;
    }

    /// Returns the whole domain with every worker that is known or nominal, and its racks.
    ///
    /// Accelerators count as in the best state that was seen or configured, because a loss may be
    /// temporary.
    fn nominal_room(&self) -> (RackMap, Vec<ResourceAmount>) {
        let mut racks: BTreeMap<&str, Vec<ResourceAmount>> = BTreeMap::new();
        for worker in &self.workers {
            racks.entry(&worker.rack).or_default().push(worker.best);
        }
        for (rack, nominal) in &self.nominal {
            let known = racks.entry(rack).or_default();
            known.sort_by_key(|amount| Reverse(amount.accelerators));
            let mut nominal = nominal.clone();
            nominal.sort_by_key(|count| Reverse(*count));
            for (position, count) in nominal.into_iter().enumerate() {
                match known.get_mut(position) {
                    Some(amount) => amount.accelerators = amount.accelerators.max(count),
                    // Cores and memory of a worker that was never seen rule nothing out.
                    None => known.push(ResourceAmount::unlimited(count)),
                }
            }
        }
        let names = racks.iter().flat_map(|(rack, amounts)| amounts.iter().map(|_| *rack));
        let map = RackMap::new(names);
        (map, racks.into_values().flatten().collect())
    }
}

/// Returns what the plan of guarantees knows of a worker.
fn plan_facts(worker: &FloorWorker) -> (WorkerId, RackName, u32) {
    (worker.id.clone(), worker.rack.clone(), worker.usable_capacity().accelerators)
}

fn new_worker(capacity: &WorkerCapacity) -> FloorWorker {
    FloorWorker {
        id: capacity.id.clone(),
        rack: capacity.rack.clone(),
        capacity: amount_of(capacity),
        best: amount_of(capacity),
        speed: capacity.speed,
        health: capacity.health,
        held: ResourceAmount::default(),
        stopping: ResourceAmount::default(),
        claimed: ResourceAmount::default(),
        gangs: Vec::new(),
    }
}

fn update(worker: &mut FloorWorker, capacity: WorkerCapacity) {
    worker.capacity = amount_of(&capacity);
    worker.best = worker.best.greater(&worker.capacity);
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
