//! One planning pass: chooses which waiting steps start now, and where.

use std::time::Duration;

use super::FleetPlanner;
use super::reservation::task_placements;
use crate::guarantee::covered_jobs;
use crate::job::JobEntry;
use crate::placement::{PlacementRequest, PlacementScope, PlacementSnapshot, SlotIndex};
use crate::queue::{RankContext, URGENT_PRIORITY, WorkItem, rank_work};
use crate::spec::{StepKey, StepSpec, TaskKey};

/// Time after which a gang that is limited to one failure domain may spread over several.
const DOMAIN_SPREAD_DELAY: Duration = Duration::from_millis(500);
/// Time after which tasks that prefer a rack may run outside of it while the fleet is idle.
const REMOTE_RACK_DELAY: Duration = Duration::from_millis(1000);
/// Minimum fraction of free accelerators in the fleet for tasks to run outside their preferred
/// rack.
const REMOTE_RACK_IDLE_SHARE: f64 = 0.5;

impl FleetPlanner {
    /// Starts waiting steps in the order of the queue, as far as there is room.
    pub(super) fn dispatch(&mut self, now: Duration) {
        if !self.recovery.knows_workers() || !self.starts_allowed {
            return;
        }
        let mut snapshot = PlacementSnapshot::new(&self.workers, &self.disabled_domains, now);
        self.process_reservations(&mut snapshot, now);
        self.covered_jobs = covered_jobs(&self.jobs, &self.config);
        let items = rank_work(&self.jobs, &self.rank_context(now));
        for item in items {
            if self.jobs.get(&item.job).is_none_or(|job| self.may_hide_runs(job)) {
                continue;
            }
            self.place_work_item(&mut snapshot, &item, now);
        }
    }

    /// Returns what the order of waiting steps depends on at a time.
    pub(super) fn rank_context(&self, now: Duration) -> RankContext<'_> {
        let capacities = self.workers.values().map(|worker| worker.listing.capacity);
        RankContext {
            order: self.order,
            config: &self.config,
            covered: &self.covered_jobs,
            mean_work: &self.mean_work,
            largest_capacity: capacities
                .max_by_key(|capacity| capacity.cpu_milli)
                .unwrap_or_default(),
            now,
        }
    }

    /// Starts the waiting tasks of one step, and preempts other runs for them if they are urgent.
    fn place_work_item(
        &mut self,
        snapshot: &mut PlacementSnapshot,
        item: &WorkItem,
        now: Duration,
    ) {
        let key = StepKey { job: item.job, occurrence: item.occurrence, step: item.step };
        if self.reservations.iter().any(|reservation| reservation.key == key) {
            return;
        }
        let Some(job) = self.jobs.get(&item.job) else {
            return;
        };
        let (Some(spec), Some(service)) = (self.step_spec(key), self.job_service(job)) else {
            return;
        };
        let urgent = item.priority == URGENT_PRIORITY && self.order.preempts();
        let request = PlacementRequest {
            service: &service,
            spec: &spec,
            key,
            count: 0,
            min_speed: if urgent { self.required_speed(key, now) } else { 0.0 },
            permitted_workers: None,
        };
        let waiting = self.startable_tasks(job, &request, snapshot);
        let waited = self.record_waiting(key, now);
        if waiting.is_empty() {
            return;
        }
        let request = PlacementRequest { count: waiting.len(), ..request };
        let advised = self.advised_workers(snapshot, &request, now);
        let permitted_workers = advised.as_ref().map(|advised| &advised.permitted);
        let request = PlacementRequest { permitted_workers, ..request };
        let scope = snapshot.preferred_scope(&request);
        let widened = widened_scope(snapshot, &request, scope, waited);
        let mut placed = place_step(snapshot, &request, scope);
        if placed.is_empty() && widened > scope {
            placed = place_step(snapshot, &request, widened);
        }
        let placements = task_placements(snapshot, key, &waiting, &placed);
        let unplaced = waiting[placed.len()..].to_vec();
        self.start_or_announce(key, placements, now);
        if urgent && !unplaced.is_empty() {
            let request = PlacementRequest { count: unplaced.len(), ..request };
            self.preempt_for(snapshot, request, scope, &unplaced, now);
        }
        if let Some(advised) = &advised {
            self.request_advice(key, advised, now);
        }
    }

    /// Records that a step waits for workers, and returns for how long it has waited.
    pub(super) fn record_waiting(&mut self, key: StepKey, now: Duration) -> Duration {
        let step = self.jobs.get_mut(&key.job).and_then(|job| job.step_mut(key));
        step.map_or(Duration::ZERO, |step| {
            now.saturating_sub(*step.waiting_since.get_or_insert(now))
        })
    }

    /// Returns the definition of the step that a task belongs to.
    pub(super) fn task_spec(&self, task: TaskKey) -> Option<&StepSpec> {
        self.jobs.get(&task.job)?.step_spec(task.step)
    }

    /// Returns the definition of a step.
    pub(super) fn step_spec(&self, key: StepKey) -> Option<StepSpec> {
        self.jobs.get(&key.job)?.step_spec(key.step).cloned()
    }

    /// Returns the indexes of the tasks of a step that may start: for a gang, all or none; otherwise
    /// no more than all workers together could hold. A task that an earlier order may still start
    /// late has to wait.
    fn startable_tasks(
        &self,
        job: &JobEntry,
        request: &PlacementRequest<'_>,
        snapshot: &PlacementSnapshot,
    ) -> Vec<u32> {
        let Some(step) = job.step(request.key) else {
            return Vec::new();
        };
        let any_speed = PlacementRequest { min_speed: 0.0, ..*request };
        let room = usize::try_from(snapshot.room_when_empty(&any_speed)).unwrap_or(usize::MAX);
        let gang_size = step.count() as usize;
        let gang_fits = room >= gang_size && step.waiting_count() == step.count();
        if request.spec.gang && !gang_fits {
            return Vec::new();
        }
        let is_closed = |index: &u32| !self.open_starts.is_open(request.key.task(*index));
        let startable: Vec<u32> = step.waiting().filter(is_closed).take(room).collect();
        if request.spec.gang && startable.len() < gang_size { Vec::new() } else { startable }
    }

    /// Returns the service whose workers run a job, or `None` if its queue has no policy.
    fn job_service(&self, job: &JobEntry) -> Option<String> {
        Some(self.config.queues.get(&job.submission.queue)?.service.clone())
    }

    /// Returns the priority class of a task's queue; 0 is urgent.
    pub(super) fn task_priority(&self, task: TaskKey) -> Option<u32> {
        let queue = &self.jobs.get(&task.job)?.submission.queue;
        Some(self.config.queues.get(queue)?.priority)
    }
}

/// Reserves workers in the snapshot for as many tasks as fit, or for a gang for all or none, and
/// returns the workers.
pub(super) fn place_step(
    snapshot: &mut PlacementSnapshot,
    request: &PlacementRequest<'_>,
    scope: PlacementScope,
) -> Vec<SlotIndex> {
    if !request.spec.gang {
        return place_separately(snapshot, request, scope);
    }
    let placed = snapshot.place_all(request, scope).unwrap_or_default();
    placed.iter().for_each(|slot| snapshot.reserve(*slot, request.key, &request.spec.demand));
    placed
}

/// Returns the scope in which the tasks may be placed after a wait.
///
/// A gang that is limited to one failure domain may spread over several after a short wait. Tasks
/// that are much slower outside their rack may run there only while most of the fleet is idle.
fn widened_scope(
    snapshot: &PlacementSnapshot,
    request: &PlacementRequest<'_>,
    scope: PlacementScope,
    waited: Duration,
) -> PlacementScope {
    let may_leave_rack =
        waited >= REMOTE_RACK_DELAY && snapshot.idle_share() > REMOTE_RACK_IDLE_SHARE;
    let may_spread =
        scope == PlacementScope::Domain && waited >= DOMAIN_SPREAD_DELAY && request.spec.gang;
    if may_leave_rack || may_spread { PlacementScope::Region } else { scope }
}

/// Reserves workers in the snapshot for separate tasks, as far as they fit.
fn place_separately(
    snapshot: &mut PlacementSnapshot,
    request: &PlacementRequest<'_>,
    scope: PlacementScope,
) -> Vec<SlotIndex> {
    let mut placed = Vec::new();
    while placed.len() < request.count {
        let Some(slot) = snapshot.place_one(request, scope) else {
            break;
        };
        snapshot.reserve(slot, request.key, &request.spec.demand);
        placed.push(slot);
    }
    placed
}
