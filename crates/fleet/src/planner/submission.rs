//! Checks of a submission before it is accepted and stored.

use std::sync::Arc;
use std::time::Duration;

use super::FleetPlanner;
use crate::admission::{self, AdmissionRefusal};
use crate::backlog::ResourceSeconds;
use crate::config::QueuePolicy;
use crate::guarantee::would_cover;
use crate::job::JobEntry;
use crate::queue::{
    ABANDONED_OBJECTIVE_MULTIPLE, URGENT_PRIORITY, WorkItem, objective, rank_job, rank_work,
};
use crate::spec::{JobSubmission, StepKey, StepSpec};
use crate::worker::WorkerEntry;

/// Minimum time after which a customer is told to retry.
const MIN_RETRY_DELAY: Duration = Duration::from_secs(1);

impl FleetPlanner {
    /// Checks whether the fleet could run a submission, and end it in time.
    ///
    /// While this is not known, because the queue has no policy, recovery is not over or its
    /// service has no worker, every submission passes.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the submission must be refused.
    pub fn check_submission(
        &self,
        submission: &JobSubmission,
        now: Duration,
    ) -> Result<(), AdmissionRefusal> {
        let Some(policy) = self.config.queues.get(&submission.queue) else {
            return Ok(());
        };
        let serves = |worker: &&WorkerEntry| worker.listing.service == policy.service;
        if !self.is_recovered() || !self.workers.values().any(|worker| serves(&worker)) {
            return Ok(());
        }
        admission::check_fleet(&submission.spec, self.workers.values().filter(serves))?;
        self.check_backlog(submission, policy, now)
    }

    /// Refuses work that would certainly end so late that its customer would likely have abandoned
    /// it.
    ///
    /// Work that a guarantee covers is accepted because it may preempt others. Recurring work and
    /// work without an end are accepted because no single wait applies to them. Under the orders
    /// that serve as baselines, everything is accepted.
    fn check_backlog(
        &self,
        submission: &JobSubmission,
        policy: &QueuePolicy,
        now: Duration,
    ) -> Result<(), AdmissionRefusal> {
        let spec = &submission.spec;
        let is_exempt = spec.schedule.is_some() || spec.steps.iter().any(|step| step.continuous);
        let entry = JobEntry::new(Arc::new(submission.clone()), None, now);
        let urgent = policy.priority == URGENT_PRIORITY;
        let covered = urgent && would_cover(&entry, &self.jobs, &self.config);
        if is_exempt || covered || !self.order.preempts() {
            return Ok(());
        }
        let limit = objective(&entry, policy).mul_f64(ABANDONED_OBJECTIVE_MULTIPLE);
        let latest_start = now + limit.saturating_sub(spec.critical_path());
        // Without workers no wait can be computed, which says nothing about later.
        let Some(wait) = self.min_wait(&entry, policy, now, latest_start) else {
            return Ok(());
        };
        let end = wait + spec.critical_path();
        if end <= limit {
            return Ok(());
        }
        Err(AdmissionRefusal::Backlog { retry_after: (end - limit).max(MIN_RETRY_DELAY) })
    }

    /// Returns the minimum time until all waiting work is done that comes before a new job from now
    /// until its latest start, or `None` while the service has no worker.
    ///
    /// The rank of a job falls once it is late. So a step that, at the latest start, ranks before
    /// the new job's present rank, ranks before it throughout. A step that finds no room does not
    /// block others, so only steps count that fit wherever the new job's first step fits.
    fn min_wait(
        &self,
        entry: &JobEntry,
        policy: &QueuePolicy,
        now: Duration,
        latest_start: Duration,
    ) -> Option<Duration> {
        let first_step = entry.step_spec(0)?;
        let mut fleet = ResourceSeconds::default();
        let serves = |worker: &&WorkerEntry| worker.listing.service == policy.service;
        let workers = self.workers.values().filter(serves).filter(|worker| worker.listed);
        workers.for_each(|worker| fleet.add(&worker.listing.capacity, worker.speed.value()));
        let urgent = policy.priority == URGENT_PRIORITY;
        let (at_now, at_latest_start) = (self.rank_context(now), self.rank_context(latest_start));
        // Urgent work is ordered by the end of its objective, so its relative order never changes.
        let rank = rank_job(entry, policy, if urgent { &at_latest_start } else { &at_now });
        let comes_first = |item: &&WorkItem| {
            let ranks_before = item.rank >= rank;
            let is_urgent = item.priority == URGENT_PRIORITY;
            item.covered
                || if urgent { is_urgent && ranks_before } else { is_urgent || ranks_before }
        };
        let mut work = ResourceSeconds::default();
        for item in rank_work(&self.jobs, &at_latest_start).iter().filter(comes_first) {
            let key = StepKey { job: item.job, occurrence: item.occurrence, step: item.step };
            let job = self.jobs.get(&item.job)?;
            let queue = self.config.queues.get(&job.submission.queue)?;
            if queue.service == policy.service
                && let (Some(spec), Some(step)) = (job.step_spec(item.step), job.step(key))
                && fits_wherever_other_fits(spec, first_step)
            {
                work.add_tasks(spec, step.waiting_count());
            }
        }
        work.min_duration(&fleet)
    }
}

/// Returns whether a waiting step finds room wherever another step does.
fn fits_wherever_other_fits(waiting: &StepSpec, other: &StepSpec) -> bool {
    let width = |spec: &StepSpec| if spec.gang { spec.count } else { 1 };
    let implies = |waiting: bool, other: bool| !waiting || other;
    other.demand.covers(&waiting.demand)
        && width(waiting) <= width(other)
        && implies(waiting.one_rack, other.one_rack)
        && (waiting.label.is_none() || waiting.label == other.label)
        && (waiting.data_rack.is_none() || waiting.data_rack == other.data_rack)
        && waiting.worker_limit.is_none()
}
