//! What becomes of a submission before it is stored.

use std::sync::Arc;
use std::time::Duration;

use super::FleetPlanner;
use crate::admission::{self, AdmissionRefusal};
use crate::backlog::ResourceSeconds;
use crate::config::QueuePolicy;
use crate::guarantee::covers_next;
use crate::job::JobEntry;
use crate::queue::{LAPSED_MULTIPLE, URGENT, WorkItem, objective, rank_job, rank_work};
use crate::spec::{JobSubmission, StepKey, StepSpec};
use crate::worker::WorkerEntry;

/// Shortest time after which a customer is asked to come back.
const SHORTEST_RETRY: Duration = Duration::from_secs(1);

impl FleetPlanner {
    /// Returns why a submission can't be served by the fleet, or not in time, if so.
    pub fn check_submission(
        &self,
        submission: &JobSubmission,
        now: Duration,
    ) -> Result<(), AdmissionRefusal> {
        let Some(policy) = self.config.queues.get(&submission.queue) else {
            return Ok(());
        };
        let serves = |worker: &&WorkerEntry| worker.listing.service == policy.service;
        if !self.recovered || !self.workers.values().any(|worker| serves(&worker)) {
            return Ok(());
        }
        admission::check_fleet(&submission.spec, self.workers.values().filter(serves))?;
        self.check_backlog(submission, policy, now)
    }

    /// Refuses work that ends so late, whatever happens, that its customer has likely given up.
    ///
    /// Work that a guarantee covers takes the room of others, and what has times of its own or no end
    /// does not wait. The baselines of the lab accept everything.
    fn check_backlog(
        &self,
        submission: &JobSubmission,
        policy: &QueuePolicy,
        now: Duration,
    ) -> Result<(), AdmissionRefusal> {
        let spec = &submission.spec;
        let lasts = spec.schedule.is_some() || spec.steps.iter().any(|step| step.continuous);
        let entry = JobEntry::new(Arc::new(submission.clone()), None, now);
        let urgent = policy.priority == URGENT;
        let covered = urgent && covers_next(&entry, &self.jobs, &self.config);
        if lasts || covered || !self.order.preempts() {
            return Ok(());
        }
        let limit = objective(&entry, policy).mul_f64(LAPSED_MULTIPLE);
        let latest_start = now + limit.saturating_sub(spec.critical_path());
        // Without a worker there is no time to tell, which says nothing of later.
        let Some(wait) = self.least_wait(&entry, policy, now, latest_start) else {
            return Ok(());
        };
        let end = wait + spec.critical_path();
        if end <= limit {
            return Ok(());
        }
        Err(AdmissionRefusal::Backlog { retry_after: (end - limit).max(SHORTEST_RETRY) })
    }

    /// Returns the least time until all waiting work is done that comes before a new job from now until
    /// its latest start; nothing while the service has no worker.
    ///
    /// Ranks fall when work gets late. So what ranks first at the latest start, against the rank that
    /// the job has now, ranks first all the time. Work that finds no room does not keep others from
    /// theirs, so only what fits wherever the job fits counts.
    fn least_wait(
        &self,
        entry: &JobEntry,
        policy: &QueuePolicy,
        now: Duration,
        latest_start: Duration,
    ) -> Option<Duration> {
        let own = entry.step_spec(0)?;
        let mut fleet = ResourceSeconds::default();
        let serves = |worker: &&WorkerEntry| worker.listing.service == policy.service;
        let workers = self.workers.values().filter(serves).filter(|worker| worker.listed);
        workers.for_each(|worker| fleet.add(&worker.listing.capacity, worker.speed.value()));
        let urgent = policy.priority == URGENT;
        let (at, later) = (self.rank_basis(now), self.rank_basis(latest_start));
        // The time to the objective orders urgent work, so that its order never changes.
        let rank = rank_job(entry, policy, if urgent { &later } else { &at });
        let first = |item: &&WorkItem| {
            let before = item.rank >= rank;
            let in_class = item.priority == URGENT;
            item.covered || if urgent { in_class && before } else { in_class || before }
        };
        let mut work = ResourceSeconds::default();
        for item in rank_work(&self.jobs, &later).iter().filter(first) {
            let key = StepKey { job: item.job, occurrence: item.occurrence, step: item.step };
            let job = self.jobs.get(&item.job)?;
            let queue = self.config.queues.get(&job.submission.queue)?;
            if queue.service == policy.service
                && let (Some(spec), Some(step)) = (job.step_spec(item.step), job.step(key))
                && fits_wherever(spec, own)
            {
                work.add_tasks(spec, step.waiting().count());
            }
        }
        work.least_time(&fleet)
    }
}

/// Returns whether a waiting step finds room wherever another one does.
fn fits_wherever(waiting: &StepSpec, other: &StepSpec) -> bool {
    let width = |spec: &StepSpec| if spec.gang { spec.count } else { 1 };
    let free = |own: bool, other: bool| !own || other;
    other.demand.covers(&waiting.demand)
        && width(waiting) <= width(other)
        && free(waiting.one_rack, other.one_rack)
        && (waiting.label.is_none() || waiting.label == other.label)
        && (waiting.data_rack.is_none() || waiting.data_rack == other.data_rack)
        && waiting.worker_limit.is_none()
}
