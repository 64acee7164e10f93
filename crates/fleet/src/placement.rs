//! Placement of tasks on workers.
//!
//! Each planning pass takes a snapshot of the free resources of all workers and subtracts from it
//! what the pass places. A gang is placed whole: within one rack if it or its data needs that, else
//! within one failure domain, else across domains. Of the possible groups of workers, it prefers
//! one with equal speeds, and then the one that it leaves least free, so that whole workers and
//! racks stay free for work that needs them. Within a group, each task goes where it leaves least
//! free (best fit).

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lacewingrail_model::{DomainName, RackName, ServiceName, WorkerId};

use crate::amount::ResourceAmount;
use crate::spec::{StepKey, StepSpec};
use crate::worker::WorkerEntry;

/// Ratio above which two speeds count as different.
const DISTINCT_SPEED_RATIO: f64 = 1.12;
/// Cost of an accelerator that stays free in a gang's group of workers, where one idle gang member
/// costs 1.
const FREE_ACCELERATOR_COST: f64 = 0.02;
/// Cost of the mean speed of a gang's workers, where one idle gang member costs 1. It is subtracted
/// for gangs that save checkpoints.
const SPEED_COST: f64 = 0.5;

/// Index of a worker in [`PlacementSnapshot::slots`].
pub type SlotIndex = usize;

/// State of one worker during a planning pass, including what the pass has reserved on it.
#[derive(Clone, Debug)]
pub struct WorkerSlot {
    /// Identifier of the worker.
    pub id: WorkerId,
    /// Service whose jobs the worker runs.
    pub service: ServiceName,
    /// Failure domain that the worker is in.
    pub domain: DomainName,
    /// Rack that the worker is in, if it names one.
    pub rack: Option<RackName>,
    /// Labels that a step may require.
    pub labels: Vec<String>,
    /// Total resources, free or taken.
    pub capacity: ResourceAmount,
    /// Resources that are neither taken by a run nor reserved in this pass.
    pub free: ResourceAmount,
    /// Whether tasks may be started on the worker now.
    pub accepts_starts: bool,
    /// Estimated speed, see [`WorkerSpeed::value`](crate::speed::WorkerSpeed::value).
    pub speed: f64,
    /// Speed that may be relied on; below the estimate while little was measured.
    pub speed_lower_bound: f64,
    /// Number of tasks of each step that run on the worker or are reserved there.
    steps: BTreeMap<StepKey, u32>,
}

/// Free resources of all workers at the start of a planning pass, less what the pass has reserved.
#[derive(Clone, Debug)]
pub struct PlacementSnapshot {
    /// Workers in the order of their identifiers.
    pub slots: Vec<WorkerSlot>,
}

/// Limits how far apart the tasks of a step may be placed.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum PlacementScope {
    /// Within the rack that holds the step's data, or else within any one rack.
    Rack,
    /// Within one failure domain.
    Domain,
    /// On any workers of the region.
    Region,
}

/// Tasks of one step that are to be placed, and the constraints on their workers.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Service whose workers run the tasks.
    pub service: &'a str,
    /// Definition of the step.
    pub spec: &'a StepSpec,
    /// Key of the step.
    pub key: StepKey,
    /// Number of tasks to place.
    pub count: usize,
    /// Minimum speed that a worker must have with some certainty; 0 for any.
    pub min_speed: f64,
    /// Workers that the queue's adviser permits; if absent, all may run the step.
    pub permitted_workers: Option<&'a BTreeSet<WorkerId>>,
}

impl PlacementSnapshot {
    /// Takes a snapshot of the current state of the workers. Nothing may start in
    /// `disabled_domains`.
    pub fn new(
        workers: &BTreeMap<WorkerId, WorkerEntry>,
        disabled_domains: &BTreeSet<DomainName>,
        now: Duration,
    ) -> Self {
        let slots = workers.values().map(|worker| WorkerSlot::new(worker, disabled_domains, now));
        Self { slots: slots.collect() }
    }

    /// Returns the index of a worker, or `None` if the worker is not known.
    pub fn index(&self, worker: &str) -> Option<SlotIndex> {
        self.slots.binary_search_by(|slot| slot.id.as_str().cmp(worker)).ok()
    }

    /// Reserves the resources of one task on a worker.
    pub fn reserve(&mut self, slot: SlotIndex, key: StepKey, demand: &ResourceAmount) {
        self.slots[slot].free -= *demand;
        *self.slots[slot].steps.entry(key).or_default() += 1;
    }

    /// Returns how many tasks of a step run on a worker or are reserved there.
    pub fn task_count(&self, slot: SlotIndex, key: StepKey) -> u32 {
        self.slots[slot].steps.get(&key).copied().unwrap_or_default()
    }

    /// Releases the resources of one task on a worker.
    pub fn release(&mut self, slot: SlotIndex, key: StepKey, demand: &ResourceAmount) {
        self.slots[slot].free += *demand;
        if let Some(count) = self.slots[slot].steps.get_mut(&key) {
            *count = count.saturating_sub(1);
        }
    }

    /// Returns whether a worker accepts starts and could run a task of a request if nothing else
    /// ran there.
    pub fn is_eligible(&self, slot: SlotIndex, request: &PlacementRequest<'_>) -> bool {
        let slot = &self.slots[slot];
        let has_label = request.spec.label.as_ref().is_none_or(|label| slot.labels.contains(label));
        slot.accepts_starts
            && slot.service == request.service
            && request.permitted_workers.is_none_or(|permitted| permitted.contains(&slot.id))
            && slot.speed_lower_bound >= request.min_speed
            && has_label
            && slot.capacity.covers(&request.spec.demand)
    }

    /// Returns whether a worker has room for one more task of a request now.
    pub fn fits(&self, slot: SlotIndex, request: &PlacementRequest<'_>) -> bool {
        let entry = &self.slots[slot];
        let on_worker = entry.steps.get(&request.key).copied().unwrap_or_default();
        let below_limit = request.spec.worker_limit.is_none_or(|limit| on_worker < limit);
        below_limit && entry.free.covers(&request.spec.demand) && self.is_eligible(slot, request)
    }

    /// Returns the eligible workers, grouped by rack or failure domain as the scope requires. The
    /// tasks of a gang must all run within one group.
    pub fn groups(
        &self,
        request: &PlacementRequest<'_>,
        scope: PlacementScope,
    ) -> Vec<Vec<SlotIndex>> {
        let mut groups: BTreeMap<(&str, Option<&str>), Vec<SlotIndex>> = BTreeMap::new();
        for (index, slot) in self.slots.iter().enumerate() {
            if !self.is_eligible(index, request) {
                continue;
            }
            let outside_data_rack =
                request.spec.data_rack.is_some() && request.spec.data_rack != slot.rack;
            let key = match scope {
                PlacementScope::Rack if outside_data_rack => continue,
                PlacementScope::Rack => (slot.domain.as_str(), slot.rack.as_deref()),
                PlacementScope::Domain => (slot.domain.as_str(), None),
                PlacementScope::Region => ("", None),
            };
            groups.entry(key).or_default().push(index);
        }
        groups.into_values().collect()
    }

    /// Returns whether all tasks of a request would fit into one group if nothing else ran there.
    pub fn fits_when_empty(&self, request: &PlacementRequest<'_>, scope: PlacementScope) -> bool {
        let has_room =
            |group: Vec<SlotIndex>| self.empty_room(request, group) >= request.count as i64;
        self.groups(request, scope).into_iter().any(has_room)
    }

    /// Returns how many tasks of a request all eligible workers together could hold if nothing else
    /// ran there.
    pub fn room_when_empty(&self, request: &PlacementRequest<'_>) -> i64 {
        let eligible = (0..self.slots.len()).filter(|slot| self.is_eligible(*slot, request));
        self.empty_room(request, eligible)
    }

    /// Returns how many tasks of a request some workers could hold if nothing else ran there.
    fn empty_room<I>(&self, request: &PlacementRequest<'_>, slots: I) -> i64
    where
        I: IntoIterator<Item = SlotIndex>,
    {
        let limit = request.spec.worker_limit.map_or(i64::MAX, i64::from);
        let room =
            |slot: SlotIndex| self.slots[slot].capacity.multiples(&request.spec.demand).min(limit);
        slots.into_iter().map(room).fold(0, i64::saturating_add)
    }

    /// Returns the scope in which a step should be placed: the narrowest that it asks for and that
    /// could hold it.
    pub fn preferred_scope(&self, request: &PlacementRequest<'_>) -> PlacementScope {
        let spec = request.spec;
        let rack = spec.one_rack || spec.data_rack.is_some();
        let scopes = if rack && spec.gang {
            &[PlacementScope::Rack, PlacementScope::Domain][..]
        } else if rack {
            &[PlacementScope::Rack][..]
        } else if spec.gang {
            &[PlacementScope::Domain][..]
        } else {
            &[][..]
        };
        let is_possible = |scope: &&PlacementScope| {
            if spec.gang {
                self.fits_when_empty(request, **scope)
            } else {
                !self.groups(request, **scope).is_empty()
            }
        };
        scopes.iter().find(is_possible).copied().unwrap_or(PlacementScope::Region)
    }

    /// Returns the fraction of all accelerators that is free, 0 to 1.
    pub fn idle_share(&self) -> f64 {
        let free: i64 = self.slots.iter().map(|slot| slot.free.accelerators.max(0)).sum();
        let all: i64 = self.slots.iter().map(|slot| slot.capacity.accelerators).sum();
        free as f64 / all.max(1) as f64
    }

    /// Chooses workers for all tasks of a request within one group, or `None` if they do not all
    /// fit. Nothing is reserved yet.
    pub fn place_all(
        &self,
        request: &PlacementRequest<'_>,
        scope: PlacementScope,
    ) -> Option<Vec<SlotIndex>> {
        let mut best: Option<(f64, Vec<SlotIndex>)> = None;
        for group in self.groups(request, scope) {
            if !self.has_accelerators(request, &group) {
                continue;
            }
            for min_speed in self.candidate_min_speeds(&group) {
                let Some(chosen) = self.fill_group(request, &group, min_speed) else {
                    break;
                };
                let cost = self.gang_cost(request, &group, &chosen);
                if best.as_ref().is_none_or(|(lowest, _)| cost < *lowest) {
                    best = Some((cost, chosen));
                }
            }
        }
        best.map(|(_, chosen)| chosen)
    }

    /// Returns the minimum speeds to try when a group is filled, slowest first and starting with
    /// none.
    fn candidate_min_speeds(&self, group: &[SlotIndex]) -> Vec<f64> {
        let mut min_speeds: Vec<f64> = vec![0.0];
        let mut speeds: Vec<f64> = group.iter().map(|index| self.slots[*index].speed).collect();
        speeds.sort_by(f64::total_cmp);
        for speed in speeds {
            if min_speeds.last().is_some_and(|last| speed > last * DISTINCT_SPEED_RATIO) {
                min_speeds.push(speed);
            }
        }
        min_speeds
    }

    /// Returns whether a group has enough free accelerators in total for all tasks: a cheap check
    /// before the group is filled.
    fn has_accelerators(&self, request: &PlacementRequest<'_>, group: &[SlotIndex]) -> bool {
        let free: i64 = group.iter().map(|index| self.slots[*index].free.accelerators.max(0)).sum();
        free >= request.spec.demand.accelerators * request.count as i64
    }

    /// Returns the cost of a gang's placement: the capacity that stays idle because all members run
    /// at the speed of the slowest one, and small terms for the accelerators that stay free in the
    /// group and for the mean speed of the workers.
    fn gang_cost(
        &self,
        request: &PlacementRequest<'_>,
        group: &[SlotIndex],
        chosen: &[SlotIndex],
    ) -> f64 {
        let speed = |index: &SlotIndex| self.slots[*index].speed;
        let slowest = chosen.iter().map(speed).fold(f64::INFINITY, f64::min);
        let total_speed: f64 = chosen.iter().map(speed).sum();
        let free: i64 = group.iter().map(|index| self.slots[*index].free.accelerators).sum();
        let mean = total_speed / chosen.len().max(1) as f64;
        // Urgent work preempts others on fast workers, where work that saves checkpoints loses
        // least.
        let speed_cost = if request.spec.checkpoints { -mean } else { mean };
        total_speed / slowest.max(f64::MIN_POSITIVE)
            + FREE_ACCELERATOR_COST * free as f64
            + SPEED_COST * speed_cost
    }

    /// Returns the best worker for one more task, or `None` if it fits nowhere. Nothing is reserved
    /// yet.
    pub fn place_one(
        &self,
        request: &PlacementRequest<'_>,
        scope: PlacementScope,
    ) -> Option<SlotIndex> {
        let candidates = self.groups(request, scope).into_iter().flatten();
        self.best_fit(request, candidates)
    }

    /// Chooses workers with at least `min_speed` in a group for all tasks, or returns `None` if
    /// they do not all fit.
    fn fill_group(
        &self,
        request: &PlacementRequest<'_>,
        group: &[SlotIndex],
        min_speed: f64,
    ) -> Option<Vec<SlotIndex>> {
        let fast_enough: Vec<SlotIndex> =
            group.iter().copied().filter(|index| self.slots[*index].speed >= min_speed).collect();
        let mut snapshot = TrialSnapshot::new(self, &fast_enough);
        let mut chosen = Vec::with_capacity(request.count);
        for _ in 0..request.count {
            chosen.push(snapshot.reserve_best_fit(request)?);
        }
        Some(chosen)
    }

    /// Returns the candidate with the lowest cost on which one more task fits, or `None` if it fits
    /// on none.
    fn best_fit<I>(&self, request: &PlacementRequest<'_>, candidates: I) -> Option<SlotIndex>
    where
        I: Iterator<Item = SlotIndex>,
    {
        let fitting = candidates.filter(|index| self.fits(*index, request));
        fitting.min_by(|left, right| {
            self.slot_cost(request, *left).total_cmp(&self.slot_cost(request, *right))
        })
    }

    /// Returns the cost of one more task on a worker: what it leaves free there plus the speed of
    /// the worker, which is subtracted instead for tasks that save checkpoints.
    fn slot_cost(&self, request: &PlacementRequest<'_>, index: SlotIndex) -> f64 {
        let slot = &self.slots[index];
        let left = slot.free - request.spec.demand;
        let leftover = left.accelerators as f64
            + left.cpu_milli as f64 / slot.capacity.cpu_milli.max(1) as f64;
        let speed_bonus = if request.spec.checkpoints { slot.speed } else { -slot.speed };
        leftover - speed_bonus
    }
}

/// Free resources of a group of workers while the placement of a gang is tried.
struct TrialSnapshot<'a> {
    snapshot: &'a PlacementSnapshot,
    /// Workers, each with its free resources and the number of tasks placed there in the trial.
    entries: Vec<(SlotIndex, ResourceAmount, u32)>,
}

impl<'a> TrialSnapshot<'a> {
    fn new(snapshot: &'a PlacementSnapshot, group: &[SlotIndex]) -> Self {
        let entry = |index: &SlotIndex| (*index, snapshot.slots[*index].free, 0);
        Self { snapshot, entries: group.iter().map(entry).collect() }
    }

    /// Reserves one more task on the worker with the lowest cost and returns the worker, or `None`
    /// if the task fits on none.
    fn reserve_best_fit(&mut self, request: &PlacementRequest<'_>) -> Option<SlotIndex> {
        let mut best: Option<(f64, usize)> = None;
        for (position, (index, free, taken)) in self.entries.iter().enumerate() {
            let slot = &self.snapshot.slots[*index];
            let on_worker = slot.steps.get(&request.key).copied().unwrap_or_default() + taken;
            let full = request.spec.worker_limit.is_some_and(|limit| on_worker >= limit);
            if full || !free.covers(&request.spec.demand) {
                continue;
            }
            let left = *free - request.spec.demand;
            // Of workers that are fast enough, slow ones come first so that fast ones stay free for
            // others.
            let cost = left.accelerators as f64 + slot.speed;
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, position));
            }
        }
        let (_, position) = best?;
        let (index, free, taken) = &mut self.entries[position];
        *free -= request.spec.demand;
        *taken += 1;
        Some(*index)
    }
}

impl WorkerSlot {
    fn new(worker: &WorkerEntry, disabled_domains: &BTreeSet<DomainName>, now: Duration) -> Self {
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
            accepts_starts: worker.accepts_starts(now)
                && !disabled_domains.contains(&listing.domain),
            speed: worker.speed.value(),
            speed_lower_bound: worker.speed.lower_bound(),
            steps,
        }
    }
}
