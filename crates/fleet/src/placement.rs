//! Where tasks run.
//!
//! The board holds what is free on each worker during one planning pass. A gang is placed whole: in
//! one rack if it or its data asks for that, else in one failure domain, else across domains, each
//! time in the group that it leaves least free, so that whole workers and racks stay free for what
//! needs them. Within a group a task goes where it leaves least free.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lacewingrail_model::{DomainName, RackName, ServiceName, WorkerId};

use crate::amount::ResourceAmount;
use crate::spec::{StepKey, StepSpec};
use crate::worker::WorkerEntry;

/// Ratio above which two speeds are told apart.
const DISTINCT_SPEEDS: f64 = 1.12;
/// Cost of an accelerator that stays free in the group of a gang, against one idle member.
const FREE_COST: f64 = 0.02;

/// Cost of the speed of workers for work that a stop sets back, against one idle member.
const EXPOSURE_COST: f64 = 0.5;

/// Index of a worker on the board.
pub type SlotIndex = usize;

/// Holds one worker during a planning pass.
#[derive(Clone, Debug)]
pub struct WorkerSlot {
    /// Worker.
    pub id: WorkerId,
    /// Service.
    pub service: ServiceName,
    /// Failure domain.
    pub domain: DomainName,
    /// Rack.
    pub rack: Option<RackName>,
    /// Labels.
    pub labels: Vec<String>,
    /// Capacity.
    pub capacity: ResourceAmount,
    /// Capacity that nothing takes or has reserved.
    pub free: ResourceAmount,
    /// Whether tasks may be started now.
    pub open: bool,
    /// Estimated speed.
    pub speed: f64,
    /// Speed that may be relied on.
    pub cautious_speed: f64,
    steps: BTreeMap<StepKey, u32>,
}

/// Holds the workers of a planning pass.
#[derive(Clone, Debug)]
pub struct PlaceBoard {
    /// Workers in order of their ids.
    pub slots: Vec<WorkerSlot>,
}

/// Limits where the tasks of a step may be placed in relation to each other.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum PlaceReach {
    /// Within the rack that the step prefers, or any one rack.
    Rack,
    /// Within one failure domain.
    Domain,
    /// Anywhere.
    Region,
}

/// Describes what is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct PlaceRequest<'a> {
    /// Service whose workers run the tasks.
    pub service: &'a str,
    /// Step.
    pub spec: &'a StepSpec,
    /// Step within its job.
    pub key: StepKey,
    /// Number of tasks to place.
    pub count: usize,
    /// Speed that a worker must have at least.
    pub least_speed: f64,
    /// Workers that the queue's adviser allows; nothing if all may run the step.
    pub allowed: Option<&'a BTreeSet<WorkerId>>,
}

impl PlaceBoard {
    /// Creates the board from the present state of the workers.
    pub fn new(
        workers: &BTreeMap<WorkerId, WorkerEntry>,
        domains_out: &BTreeSet<DomainName>,
        now: Duration,
    ) -> Self {
        let slots = workers.values().map(|worker| WorkerSlot::new(worker, domains_out, now));
        Self { slots: slots.collect() }
    }

    /// Returns the index of a worker.
    pub fn index(&self, worker: &str) -> Option<SlotIndex> {
        self.slots.binary_search_by(|slot| slot.id.as_str().cmp(worker)).ok()
    }

    /// Takes what a task needs from a worker.
    pub fn take(&mut self, slot: SlotIndex, key: StepKey, demand: &ResourceAmount) {
        self.slots[slot].free -= *demand;
        *self.slots[slot].steps.entry(key).or_default() += 1;
    }

    /// Returns the number of tasks of a step that a worker holds.
    pub fn tasks_of(&self, slot: SlotIndex, key: StepKey) -> u32 {
        self.slots[slot].steps.get(&key).copied().unwrap_or_default()
    }

    /// Gives back what a task held.
    pub fn give_back(&mut self, slot: SlotIndex, key: StepKey, demand: &ResourceAmount) {
        self.slots[slot].free += *demand;
        if let Some(count) = self.slots[slot].steps.get_mut(&key) {
            *count = count.saturating_sub(1);
        }
    }

    /// Returns whether a worker may ever run a task of a step, whatever is on it.
    pub fn suits(&self, slot: SlotIndex, request: &PlaceRequest<'_>) -> bool {
        let slot = &self.slots[slot];
        let labelled = request.spec.label.as_ref().is_none_or(|label| slot.labels.contains(label));
        slot.open
            && slot.service == request.service
            && request.allowed.is_none_or(|allowed| allowed.contains(&slot.id))
            && slot.cautious_speed >= request.least_speed
            && labelled
            && slot.capacity.covers(&request.spec.demand)
    }

    /// Returns whether a worker can take one more task of a step now.
    pub fn fits(&self, slot: SlotIndex, request: &PlaceRequest<'_>) -> bool {
        let entry = &self.slots[slot];
        let on_worker = entry.steps.get(&request.key).copied().unwrap_or_default();
        let below_limit = request.spec.worker_limit.is_none_or(|limit| on_worker < limit);
        below_limit && entry.free.covers(&request.spec.demand) && self.suits(slot, request)
    }

    /// Returns the groups of workers that a step may be placed in, most preferred reach only.
    pub fn groups(&self, request: &PlaceRequest<'_>, reach: PlaceReach) -> Vec<Vec<SlotIndex>> {
        let mut groups: BTreeMap<(&str, Option<&str>), Vec<SlotIndex>> = BTreeMap::new();
        for (index, slot) in self.slots.iter().enumerate() {
            if !self.suits(index, request) {
                continue;
            }
            let wrong_rack =
                request.spec.data_rack.is_some() && request.spec.data_rack != slot.rack;
            let key = match reach {
                PlaceReach::Rack if wrong_rack => continue,
                PlaceReach::Rack => (slot.domain.as_str(), slot.rack.as_deref()),
                PlaceReach::Domain => (slot.domain.as_str(), None),
                PlaceReach::Region => ("", None),
            };
            groups.entry(key).or_default().push(index);
        }
        groups.into_values().collect()
    }

    /// Returns whether a step would fit into one of its groups if nothing ran there.
    pub fn could_fit(&self, request: &PlaceRequest<'_>, reach: PlaceReach) -> bool {
        let limit = request.spec.worker_limit.map_or(i64::MAX, i64::from);
        let room = |index: &SlotIndex| {
            self.slots[*index].capacity.multiples(&request.spec.demand).min(limit)
        };
        self.groups(request, reach).iter().any(|group| {
            group.iter().map(room).fold(0i64, i64::saturating_add) >= request.count as i64
        })
    }

    /// Returns the narrowest reach within which a step should be placed.
    pub fn preferred_reach(&self, request: &PlaceRequest<'_>) -> PlaceReach {
        let spec = request.spec;
        let rack = spec.one_rack || spec.data_rack.is_some();
        let reaches = if rack && spec.gang {
            &[PlaceReach::Rack, PlaceReach::Domain][..]
        } else if rack {
            &[PlaceReach::Rack][..]
        } else if spec.gang {
            &[PlaceReach::Domain][..]
        } else {
            &[][..]
        };
        let whole = |reach: &&PlaceReach| {
            if spec.gang {
                self.could_fit(request, **reach)
            } else {
                !self.groups(request, **reach).is_empty()
            }
        };
        reaches.iter().find(whole).copied().unwrap_or(PlaceReach::Region)
    }

    /// Returns the share of all accelerators that nothing takes.
    pub fn idle_share(&self) -> f64 {
        let free: i64 = self.slots.iter().map(|slot| slot.free.accelerators.max(0)).sum();
        let all: i64 = self.slots.iter().map(|slot| slot.capacity.accelerators).sum();
        free as f64 / all.max(1) as f64
    }

    /// Places all tasks of a request, or none.
    pub fn place_all(
        &self,
        request: &PlaceRequest<'_>,
        reach: PlaceReach,
    ) -> Option<Vec<SlotIndex>> {
        let mut best: Option<(f64, Vec<SlotIndex>)> = None;
        for group in self.groups(request, reach) {
            if !self.has_accelerators(request, &group) {
                continue;
            }
            for floor in self.speed_floors(&group) {
                let Some(places) = self.fill(request, &group, floor) else {
                    break;
                };
                let cost = self.gang_cost(request, &group, &places);
                if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                    best = Some((cost, places));
                }
            }
        }
        best.map(|(_, places)| places)
    }

    /// Returns the speeds above which a group may be filled, slowest first.
    fn speed_floors(&self, group: &[SlotIndex]) -> Vec<f64> {
        let mut floors: Vec<f64> = vec![0.0];
        let mut speeds: Vec<f64> = group.iter().map(|index| self.slots[*index].speed).collect();
        speeds.sort_by(f64::total_cmp);
        for speed in speeds {
            if floors.last().is_some_and(|last| speed > last * DISTINCT_SPEEDS) {
                floors.push(speed);
            }
        }
        floors
    }

    fn has_accelerators(&self, request: &PlaceRequest<'_>, group: &[SlotIndex]) -> bool {
        let free: i64 = group.iter().map(|index| self.slots[*index].free.accelerators.max(0)).sum();
        free >= request.spec.demand.accelerators * request.count as i64
    }

    /// Returns the cost of a gang: the capacity of its workers that idles because the slowest member
    /// sets the pace, and a little for what stays free in the group.
    fn gang_cost(
        &self,
        request: &PlaceRequest<'_>,
        group: &[SlotIndex],
        places: &[SlotIndex],
    ) -> f64 {
        let speed = |index: &SlotIndex| self.slots[*index].speed;
        let slowest = places.iter().map(speed).fold(f64::INFINITY, f64::min);
        let held: f64 = places.iter().map(speed).sum();
        let free: i64 = group.iter().map(|index| self.slots[*index].free.accelerators).sum();
        let mean = held / places.len().max(1) as f64;
        // Urgent work displaces others from fast workers: there, what checkpoints loses least.
        let exposure = if request.spec.checkpoints { -mean } else { mean };
        held / slowest.max(f64::MIN_POSITIVE) + FREE_COST * free as f64 + EXPOSURE_COST * exposure
    }

    /// Returns the worker for one more task.
    pub fn place_one(&self, request: &PlaceRequest<'_>, reach: PlaceReach) -> Option<SlotIndex> {
        let candidates = self.groups(request, reach).into_iter().flatten();
        self.tightest(request, candidates)
    }

    /// Fills the workers of a group that are fast enough with all tasks, if they fit.
    fn fill(
        &self,
        request: &PlaceRequest<'_>,
        group: &[SlotIndex],
        floor: f64,
    ) -> Option<Vec<SlotIndex>> {
        let fast: Vec<SlotIndex> =
            group.iter().copied().filter(|index| self.slots[*index].speed >= floor).collect();
        let mut board = SubBoard::new(self, &fast);
        let mut places = Vec::with_capacity(request.count);
        for _ in 0..request.count {
            places.push(board.take_tightest(request)?);
        }
        Some(places)
    }

    fn tightest<I>(&self, request: &PlaceRequest<'_>, candidates: I) -> Option<SlotIndex>
    where
        I: Iterator<Item = SlotIndex>,
    {
        let fitting = candidates.filter(|index| self.fits(*index, request));
        fitting.min_by(|left, right| {
            self.slot_cost(request, *left).total_cmp(&self.slot_cost(request, *right))
        })
    }

    fn slot_cost(&self, request: &PlaceRequest<'_>, index: SlotIndex) -> f64 {
        let slot = &self.slots[index];
        let left = slot.free - request.spec.demand;
        let tightness = left.accelerators as f64
            + left.cpu_milli as f64 / slot.capacity.cpu_milli.max(1) as f64;
        let favoured = if request.spec.checkpoints { slot.speed } else { -slot.speed };
        tightness - favoured
    }
}

/// Holds the free amounts of a group while a gang is tried on it.
struct SubBoard<'a> {
    board: &'a PlaceBoard,
    rows: Vec<(SlotIndex, ResourceAmount, u32)>,
}

impl<'a> SubBoard<'a> {
    fn new(board: &'a PlaceBoard, group: &[SlotIndex]) -> Self {
        let row = |index: &SlotIndex| (*index, board.slots[*index].free, 0);
        Self { board, rows: group.iter().map(row).collect() }
    }

    fn take_tightest(&mut self, request: &PlaceRequest<'_>) -> Option<SlotIndex> {
        let mut best: Option<(f64, usize)> = None;
        for (position, (index, free, taken)) in self.rows.iter().enumerate() {
            let slot = &self.board.slots[*index];
            let on_worker = slot.steps.get(&request.key).copied().unwrap_or_default() + taken;
            let full = request.spec.worker_limit.is_some_and(|limit| on_worker >= limit);
            if full || !free.covers(&request.spec.demand) {
                continue;
            }
            let left = *free - request.spec.demand;
            // The slowest that is fast enough first, so that fast workers stay for others.
            let cost = left.accelerators as f64 + slot.speed;
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, position));
            }
        }
        let (_, position) = best?;
        let (index, free, taken) = &mut self.rows[position];
        *free -= request.spec.demand;
        *taken += 1;
        Some(*index)
    }
}

impl WorkerSlot {
    fn new(worker: &WorkerEntry, domains_out: &BTreeSet<DomainName>, now: Duration) -> Self {
        let listing = &worker.listing;
        let mut steps: BTreeMap<StepKey, u32> = BTreeMap::new();
        for (task, _) in worker.runs.keys() {
            *steps.entry(task.step_key()).or_default() += 1;
        }
        Self {
            id: listing.id.clone(),
            service: listing.service.clone(),
            domain: listing.domain.clone(),
            rack: listing.rack.clone(),
            labels: listing.labels.clone(),
            capacity: listing.capacity,
            free: worker.free(),
            open: worker.accepts(now) && !domains_out.contains(&listing.domain),
            speed: worker.speed.value(),
            cautious_speed: worker.speed.cautious(),
            steps,
        }
    }
}
