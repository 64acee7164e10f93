//! One planning pass: which waiting steps start now and where.

use std::time::Duration;

use super::FleetPlanner;
use super::reservation::task_places;
use crate::guarantee::covered_jobs;
use crate::job::JobEntry;
use crate::placement::{PlaceBoard, PlaceReach, PlaceRequest, SlotIndex};
use crate::queue::{RankBasis, URGENT, WorkItem, rank_work};
use crate::spec::{StepKey, StepSpec, TaskKey};

/// Time after which a gang that needs no common rack spreads over failure domains.
const SPREAD_WAIT: Duration = Duration::from_millis(500);
/// Time after which work runs away from its rack while the fleet is idle.
const SPILL_WAIT: Duration = Duration::from_millis(1000);
/// Idle share of the fleet's accelerators above which work runs away from its rack.
const SPILL_IDLE_SHARE: f64 = 0.5;

impl FleetPlanner {
    pub(super) fn dispatch(&mut self, now: Duration) {
        if !self.listed_once || !self.starts_allowed {
            return;
        }
        let mut board = PlaceBoard::new(&self.workers, &self.domains_out, now);
        self.use_reservations(&mut board, now);
        self.covered = covered_jobs(&self.jobs, &self.config);
        let items = rank_work(&self.jobs, &self.rank_basis(now));
        for item in items {
            if self.jobs.get(&item.job).is_none_or(|job| self.awaits_workers(job)) {
                continue;
            }
            self.place_item(&mut board, &item, now);
        }
    }

    /// Returns what the order of waiting work depends on.
    pub(super) fn rank_basis(&self, now: Duration) -> RankBasis<'_> {
        let capacities = self.workers.values().map(|worker| worker.listing.capacity);
        RankBasis {
            order: self.order,
            config: &self.config,
            covered: &self.covered,
            means: &self.means,
            capacity: capacities.max_by_key(|capacity| capacity.cpu_milli).unwrap_or_default(),
            now,
        }
    }

    fn place_item(&mut self, board: &mut PlaceBoard, item: &WorkItem, now: Duration) {
        let key = StepKey { job: item.job, occurrence: item.occurrence, step: item.step };
        if self.reservations.iter().any(|reservation| reservation.key == key) {
            return;
        }
        let Some(job) = self.jobs.get(&item.job) else {
            return;
        };
        let (Some(spec), Some(service)) = (self.spec_of(key), self.service_of(job)) else {
            return;
        };
        let waiting = waiting_tasks(job, key, spec.gang);
        if waiting.is_empty() {
            return;
        }
        let waited = self.note_waiting(key, now);
        let urgent = item.priority == URGENT && self.order.preempts();
        let request = PlaceRequest {
            service: &service,
            spec: &spec,
            key,
            count: waiting.len(),
            least_speed: if urgent { self.needed_speed(key, now) } else { 0.0 },
            allowed: None,
        };
        let advised = self.advised_workers(board, &request, now);
        let allowed = advised.as_ref().map(|advised| &advised.usable);
        let request = PlaceRequest { allowed, ..request };
        let reach = board.preferred_reach(&request);
        let wider = wider_reach(board, &request, reach, waited);
        let mut placed = place_step(board, &request, reach);
        if placed.is_empty() && wider > reach {
            placed = place_step(board, &request, wider);
        }
        let places = task_places(board, key, &waiting, &placed);
        let rest = waiting[placed.len()..].to_vec();
        self.start_or_announce(key, places, now);
        if urgent && !rest.is_empty() {
            let request = PlaceRequest { count: rest.len(), ..request };
            self.make_room(board, request, reach, &rest, now);
        }
        if let Some(advised) = &advised {
            self.ask_advice(key, advised, now);
        }
    }

    /// Notes that a step waits for workers and returns for how long it has.
    pub(super) fn note_waiting(&mut self, key: StepKey, now: Duration) -> Duration {
        let step = self.jobs.get_mut(&key.job).and_then(|job| job.step_mut(key));
        step.map_or(Duration::ZERO, |step| {
            now.saturating_sub(*step.waiting_since.get_or_insert(now))
        })
    }

    /// Returns the description of the step that a task belongs to.
    pub(super) fn task_spec(&self, task: TaskKey) -> Option<&StepSpec> {
        self.jobs.get(&task.job)?.step_spec(task.step)
    }

    pub(super) fn spec_of(&self, key: StepKey) -> Option<StepSpec> {
        self.jobs.get(&key.job)?.step_spec(key.step).cloned()
    }

    fn service_of(&self, job: &JobEntry) -> Option<String> {
        Some(self.config.queues.get(&job.submission.queue)?.service.clone())
    }

    pub(super) fn priority_of(&self, task: TaskKey) -> Option<u32> {
        let queue = &self.jobs.get(&task.job)?.submission.queue;
        Some(self.config.queues.get(queue)?.priority)
    }
}

/// Returns the tasks of a step that can start: of a gang, all or none.
fn waiting_tasks(job: &JobEntry, key: StepKey, gang: bool) -> Vec<u32> {
    let Some(step) = job.step(key) else {
        return Vec::new();
    };
    let waiting: Vec<u32> = step.waiting().collect();
    if gang && waiting.len() < step.tasks.len() { Vec::new() } else { waiting }
}

/// Places what fits of a step, of a gang all or nothing, and takes the room.
pub(super) fn place_step(
    board: &mut PlaceBoard,
    request: &PlaceRequest<'_>,
    reach: PlaceReach,
) -> Vec<SlotIndex> {
    if !request.spec.gang {
        return place_each(board, request, reach);
    }
    let placed = board.place_all(request, reach).unwrap_or_default();
    placed.iter().for_each(|slot| board.take(*slot, request.key, &request.spec.demand));
    placed
}

/// Returns how far from each other the tasks may be placed after a wait.
///
/// A gang that needs no common rack spreads over failure domains after a moment. Work that is much
/// slower away from its rack goes there only while most of the fleet is idle.
fn wider_reach(
    board: &PlaceBoard,
    request: &PlaceRequest<'_>,
    reach: PlaceReach,
    waited: Duration,
) -> PlaceReach {
    let idle = waited >= SPILL_WAIT && board.idle_share() > SPILL_IDLE_SHARE;
    let spreads = reach == PlaceReach::Domain && waited >= SPREAD_WAIT && request.spec.gang;
    if idle || spreads { PlaceReach::Region } else { reach }
}

fn place_each(
    board: &mut PlaceBoard,
    request: &PlaceRequest<'_>,
    reach: PlaceReach,
) -> Vec<SlotIndex> {
    let mut placed = Vec::new();
    while placed.len() < request.count {
        let Some(slot) = board.place_one(request, reach) else {
            break;
        };
        board.take(slot, request.key, &request.spec.demand);
        placed.push(slot);
    }
    placed
}
