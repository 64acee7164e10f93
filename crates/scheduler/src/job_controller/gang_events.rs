//! Reactions to the start and the end of gangs.

use std::time::{Duration, Instant};

use kameo::message::{Context, Message};
use lacewingrail_model::JobId;
use lacewingrail_model::clock::unix_millis;
use lacewingrail_model::job::JobState;
use lacewingrail_model::worker::WorkerError;

use super::{JobController, JobPhase, StopReason};
use crate::gang::GangEnd;
use crate::gang_controller::{GangEvent, GangSummary};
use crate::history::EndedJob;
use crate::metrics::DomainLabel;
use crate::worker_controller::{GangStarted, RemoveJob, StartsFailed};

/// Run time below which a task failure is treated as a failed start.
const EARLY_FAILURE_RUNTIME: Duration = Duration::from_secs(10);
/// Task failures without a new checkpoint after which a job fails.
const MAX_TASK_FAILURES: u32 = 5;
/// Delay before the next attempt after two failed starts; doubles with each further one.
const INITIAL_START_BACKOFF: Duration = Duration::from_millis(250);
/// Upper bound on the delay after failed starts.
const MAX_START_BACKOFF: Duration = Duration::from_secs(5);
/// Maximum workers that are avoided for each job; the oldest is dropped first.
const MAX_AVOIDED_WORKERS: usize = 8;

/// Reports jobs that are in the history and whose records are deleted.
pub struct JobsArchived(pub Vec<EndedJob>);

/// Reports a job that fails on every worker.
pub struct JobFaulty {
    /// Job that the customer has to correct.
    pub job: JobId,
    /// Reason shown to the customer.
    pub reason: String,
}

impl Message<GangEvent> for JobController {
    type Reply = ();

    async fn handle(&mut self, event: GangEvent, _context: &mut Context<Self, ()>) {
        match event {
            GangEvent::Started { job, attempt } => self.handle_started(&job, attempt),
            GangEvent::Checkpoint { job, attempt, checkpointed_ms } => {
                self.handle_checkpoint(&job, attempt, checkpointed_ms);
            }
            GangEvent::Ended(summary) => self.handle_ended(summary),
            // The leadership routes these to the worker controller and the lease controller.
            GangEvent::WorkerCallEnded { .. }
            | GangEvent::StaleEpoch { .. }
            | GangEvent::RebuildOutdated => {}
        }
    }
}

impl Message<JobsArchived> for JobController {
    type Reply = ();

    async fn handle(&mut self, message: JobsArchived, _context: &mut Context<Self, ()>) {
        for ended in message.0 {
            self.remove_job(&ended.record.id);
        }
    }
}

impl Message<JobFaulty> for JobController {
    type Reply = ();

    async fn handle(&mut self, message: JobFaulty, _context: &mut Context<Self, ()>) {
        let Some(entry) = self.jobs.get(&message.job) else {
            return;
        };
        match entry.phase {
            JobPhase::Active | JobPhase::Stopping(_) => {
                self.stop(&message.job, StopReason::Faulty(message.reason));
            }
            JobPhase::Deferred | JobPhase::Claiming => {
                self.planner.release(&message.job);
                self.refuse(&message.job, message.reason);
            }
            JobPhase::Queued | JobPhase::BackingOff(_) | JobPhase::Unreachable(_) => {
                self.refuse(&message.job, message.reason);
            }
            JobPhase::HandoverIn | JobPhase::HandoverOut(_) | JobPhase::Archiving => {}
        }
        self.request_planning();
    }
}

impl JobController {
    fn handle_started(&mut self, job: &JobId, attempt: u32) {
        let Some(entry) = self.jobs.get_mut(job).filter(|entry| entry.record.attempt == attempt)
        else {
            return;
        };
        self.planner.confirm_start(job);
        entry.failed_starts = 0;
        entry.avoided_workers.clear();
        let Some(gang) = &mut entry.gang else {
            return;
        };
        gang.running = true;
        let workers = gang.members.iter().map(|member| member.worker.clone()).collect();
        let elapsed = gang.decided_at.elapsed();
        self.starts += 1;
        let metrics = &self.settings.context.metrics;
        metrics.start_duration.observe(elapsed.as_secs_f64());
        metrics.starts.get_or_create(&self.label()).inc();
        log::info!("attempt {attempt} of job {job} is running {elapsed:?} after its placement");
        let _ = self.settings.workers.tell(GangStarted { job: job.clone(), workers }).try_send();
    }

    fn handle_checkpoint(&mut self, job: &JobId, attempt: u32, checkpointed_ms: u64) {
        let now = self.settings.context.now();
        let Some(entry) = self.jobs.get_mut(job).filter(|entry| entry.record.attempt == attempt)
        else {
            return;
        };
        self.planner.record_checkpoint(job, now);
        entry.failures = 0;
        // The next tick writes the record: one write for each checkpoint would load the store.
        entry.add_checkpoint(checkpointed_ms);
    }

    fn handle_ended(&mut self, summary: GangSummary) {
        let job = summary.job.clone();
        self.planner.release(&job);
        self.request_planning();
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        entry.add_checkpoint(summary.checkpointed_ms);
        let reason = match &entry.phase {
            JobPhase::Stopping(reason) => Some(reason.clone()),
            _ => None,
        };
        self.record_accelerator_time(&summary);
        if reason == Some(StopReason::Disowned) {
            self.remove_job(&job);
            return;
        }
        if summary.end == GangEnd::Finished {
            self.end_job(&job, JobState::Finished);
            return;
        }
        match reason {
            Some(StopReason::Cancelled) => self.end_job(&job, JobState::Cancelled),
            Some(StopReason::Faulty(reason)) => self.end_job(&job, JobState::Failed { reason }),
            Some(StopReason::Preempted) => {
                if let Some(entry) = self.jobs.get_mut(&job) {
                    entry.record.preemptions += 1;
                    entry.dirty = true;
                }
                self.enqueue(&job);
            }
            Some(StopReason::Remains) => self.resume_job(&job),
            Some(StopReason::DomainOut { .. }) => {
                self.enqueue(&job);
                self.hand_over_jobs();
            }
            Some(StopReason::Disowned) => {}
            None => self.requeue_or_fail(&job, summary),
        }
    }

    /// Queues a job whose attempt failed, or fails it for good after too many failures.
    fn requeue_or_fail(&mut self, job: &JobId, summary: GangSummary) {
        let Some(entry) = self.jobs.get_mut(job) else {
            return;
        };
        let mut failures = Vec::new();
        match summary.end {
            GangEnd::StartFailed(failed) => {
                let label = DomainLabel { domain: self.settings.domain.clone() };
                self.settings.context.metrics.aborts.get_or_create(&label).inc();
                entry.failed_starts += 1;
                failures = failed;
            }
            GangEnd::MemberFailed { worker, reason } => {
                entry.failures += 1;
                if entry.failures >= MAX_TASK_FAILURES {
                    let reason = format!(
                        "the job failed {MAX_TASK_FAILURES} times without a new checkpoint, at \
                         last on {worker}: {reason}; correct it and submit it again"
                    );
                    self.end_job(job, JobState::Failed { reason });
                    return;
                }
                entry.failed_starts += 1;
                if summary.confirmed_runtime < EARLY_FAILURE_RUNTIME {
                    failures.push((worker, WorkerError::StartFailed { reason }));
                }
            }
            GangEnd::MemberLost { worker, reason } => {
                log::warn!("job {job} lost its member on {worker}: {reason}");
            }
            GangEnd::NotPermitted(reason) => log::info!("job {job} did not start: {reason}"),
            GangEnd::Stopped | GangEnd::Finished => {}
        }
        for (worker, error) in &failures {
            log::info!("job {job} did not start on {worker}: {error}");
            entry.avoid_worker(worker);
        }
        if !failures.is_empty() {
            let failed = StartsFailed { job: job.clone(), failures };
            let _ = self.settings.workers.tell(failed).try_send();
        }
        let doublings = entry.failed_starts.saturating_sub(2).min(8);
        if entry.failed_starts >= 2 {
            let delay = INITIAL_START_BACKOFF.saturating_mul(1 << doublings).min(MAX_START_BACKOFF);
            entry.phase = JobPhase::BackingOff(Instant::now() + delay);
            entry.record.state = JobState::Queued;
            entry.dirty = true;
            self.write_record(job);
        } else {
            self.enqueue(job);
        }
    }

    fn end_job(&mut self, job: &JobId, state: JobState) {
        if let Some(entry) = self.jobs.get_mut(job) {
            entry.record.state = state;
            self.archive(job);
        }
    }

    /// Passes a job in a final state to the task that moves it to the history.
    pub(super) fn archive(&mut self, job: &JobId) {
        let Some(entry) = self.jobs.get_mut(job).filter(|entry| entry.phase != JobPhase::Archiving)
        else {
            return;
        };
        entry.phase = JobPhase::Archiving;
        entry.gang = None;
        entry.record.ended_at.get_or_insert_with(unix_millis);
        let ended = EndedJob { record: entry.record.clone(), revision: entry.revision };
        let _ = self.settings.ended_jobs.send(ended);
        let _ = self.settings.workers.tell(RemoveJob(job.clone())).try_send();
    }

    /// Removes a job that this domain no longer owns and remembers the revision of its record.
    pub(super) fn remove_job(&mut self, job: &JobId) {
        self.planner.remove(job);
        if let Some(entry) = self.jobs.remove(job) {
            self.tombstones.insert(job.clone(), entry.revision);
        }
    }

    /// Adds the accelerator time of an ended attempt to the metrics, as useful or lost.
    fn record_accelerator_time(&self, summary: &GangSummary) {
        let accelerators = u64::from(summary.accelerators);
        let runtime_ms = u64::try_from(summary.confirmed_runtime.as_millis()).unwrap_or(u64::MAX);
        let useful_ms = match summary.end {
            GangEnd::Finished => runtime_ms,
            _ => runtime_ms.min(summary.checkpointed_ms),
        };
        let (label, metrics) = (self.label(), &self.settings.context.metrics);
        metrics.useful_ms.get_or_create(&label).inc_by(accelerators * useful_ms);
        metrics.lost_ms.get_or_create(&label).inc_by(accelerators * (runtime_ms - useful_ms));
    }
}

impl super::JobEntry {
    /// Adds the checkpointed work of the current attempt to that of earlier ones.
    fn add_checkpoint(&mut self, checkpointed_ms: u64) {
        let before =
            self.gang.as_ref().map_or(self.record.checkpoint_ms, |gang| gang.prior_checkpoint_ms);
        let total_ms = before.saturating_add(checkpointed_ms);
        if self.gang.is_some() && total_ms > self.record.checkpoint_ms {
            self.record.checkpoint_ms = total_ms;
            self.dirty = true;
        }
    }

    fn avoid_worker(&mut self, worker: &str) {
        if self.avoided_workers.iter().any(|known| known == worker) {
            return;
        }
        if self.avoided_workers.len() == MAX_AVOIDED_WORKERS {
            self.avoided_workers.remove(0);
        }
        self.avoided_workers.push(worker.to_owned());
    }
}
