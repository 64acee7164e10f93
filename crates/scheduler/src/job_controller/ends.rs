//! What follows the start and the end of a gang.

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
use crate::worker_controller::{ForgetJob, GangBegan, StartsFailed};

/// Run time below which a failure is counted like a failed start.
const EARLY_FAILURE: Duration = Duration::from_secs(10);
/// Failures of a job without a new checkpoint in between after which it is given up.
const MAX_FAILURES: u32 = 5;
/// Pause before the attempt after a second failed start; it doubles with each further one.
const START_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause before the attempt after a failed start.
const MAX_START_PAUSE: Duration = Duration::from_secs(5);
/// Workers remembered that a job is not to be placed on.
const MAX_AVOIDED: usize = 8;

/// Reports jobs whose end is recorded and whose record is gone.
pub struct EndsRecorded(pub Vec<EndedJob>);

/// Reports a job that fails on every worker.
pub struct JobFaulty {
    /// Job.
    pub job: JobId,
    /// Reason for the customer.
    pub reason: String,
}

impl Message<GangEvent> for JobController {
    type Reply = ();

    async fn handle(&mut self, event: GangEvent, _context: &mut Context<Self, ()>) {
        match event {
            GangEvent::Started { job, attempt } => self.note_started(&job, attempt),
            GangEvent::Checkpoint { job, attempt, kept_ms } => {
                self.note_checkpoint(&job, attempt, kept_ms);
            }
            GangEvent::Ended(summary) => self.note_ended(summary),
            // The leadership hands these to the worker controller and the lease controller.
            GangEvent::WorkerSeen { .. } | GangEvent::Stale { .. } | GangEvent::Unsettled => {}
        }
    }
}

impl Message<EndsRecorded> for JobController {
    type Reply = ();

    async fn handle(&mut self, message: EndsRecorded, _context: &mut Context<Self, ()>) {
        for ended in message.0 {
            self.forget(&ended.record.id);
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
            JobPhase::Waiting | JobPhase::Blocked(_) | JobPhase::Unreachable(_) => {
                self.refuse(&message.job, message.reason);
            }
            JobPhase::Arriving | JobPhase::Leaving(_) | JobPhase::Ending => {}
        }
        self.request_pump();
    }
}

impl JobController {
    fn note_started(&mut self, job: &JobId, attempt: u32) {
        let Some(entry) = self.jobs.get_mut(job).filter(|entry| entry.record.attempt == attempt)
        else {
            return;
        };
        self.planner.confirm_start(job);
        entry.failed_starts = 0;
        entry.avoided.clear();
        let Some(gang) = &mut entry.gang else {
            return;
        };
        gang.running = true;
        let workers = gang.members.iter().map(|member| member.worker.clone()).collect();
        let elapsed = gang.decided.elapsed();
        self.starts += 1;
        let metrics = &self.settings.context.metrics;
        metrics.start_time.observe(elapsed.as_secs_f64());
        metrics.starts.get_or_create(&self.label()).inc();
        log::info!("attempt {attempt} of job {job} runs, {elapsed:?} after its decision");
        let _ = self.settings.workers.tell(GangBegan { job: job.clone(), workers }).try_send();
    }

    fn note_checkpoint(&mut self, job: &JobId, attempt: u32, kept_ms: u64) {
        let now = self.settings.context.now();
        let Some(entry) = self.jobs.get_mut(job).filter(|entry| entry.record.attempt == attempt)
        else {
            return;
        };
        self.planner.record_checkpoint(job, now);
        entry.failures = 0;
        // Written by the next tick, since every task of a busy domain may write checkpoints.
        entry.keep(kept_ms);
    }

    fn note_ended(&mut self, summary: GangSummary) {
        let job = summary.job.clone();
        self.planner.release(&job);
        self.request_pump();
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        entry.keep(summary.kept_ms);
        let reason = match &entry.phase {
            JobPhase::Stopping(reason) => Some(reason.clone()),
            _ => None,
        };
        self.account(&summary);
        if reason == Some(StopReason::Disowned) {
            self.forget(&job);
            return;
        }
        if summary.end == GangEnd::Finished {
            self.finish(&job, JobState::Finished);
            return;
        }
        match reason {
            Some(StopReason::Cancelled) => self.finish(&job, JobState::Cancelled),
            Some(StopReason::Faulty(reason)) => self.finish(&job, JobState::Failed { reason }),
            Some(StopReason::Preempted) => {
                if let Some(entry) = self.jobs.get_mut(&job) {
                    entry.record.preemptions += 1;
                    entry.dirty = true;
                }
                self.enqueue(&job);
            }
            Some(StopReason::Remains) => self.admit(&job),
            Some(StopReason::DomainOut { .. }) => {
                self.enqueue(&job);
                self.hand_over();
            }
            Some(StopReason::Disowned) => {}
            None => self.retry(&job, summary),
        }
    }

    /// Puts a job whose attempt failed back into the queue, or gives it up.
    fn retry(&mut self, job: &JobId, summary: GangSummary) {
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
                if entry.failures >= MAX_FAILURES {
                    let reason = format!(
                        "the job failed {MAX_FAILURES} times without a new checkpoint, at last on \
                         {worker}: {reason}; correct it and submit it again"
                    );
                    self.finish(job, JobState::Failed { reason });
                    return;
                }
                entry.failed_starts += 1;
                if summary.known_run < EARLY_FAILURE {
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
            entry.avoid(worker);
        }
        if !failures.is_empty() {
            let failed = StartsFailed { job: job.clone(), failures };
            let _ = self.settings.workers.tell(failed).try_send();
        }
        let doublings = entry.failed_starts.saturating_sub(2).min(8);
        if entry.failed_starts >= 2 {
            let pause = START_PAUSE.saturating_mul(1 << doublings).min(MAX_START_PAUSE);
            entry.phase = JobPhase::Blocked(Instant::now() + pause);
            entry.record.state = JobState::Queued;
            entry.dirty = true;
            self.flush(job);
        } else {
            self.enqueue(job);
        }
    }

    fn finish(&mut self, job: &JobId, state: JobState) {
        if let Some(entry) = self.jobs.get_mut(job) {
            entry.record.state = state;
            self.end(job);
        }
    }

    /// Records the end of a job that is in a final state.
    pub(super) fn end(&mut self, job: &JobId) {
        let Some(entry) = self.jobs.get_mut(job).filter(|entry| entry.phase != JobPhase::Ending)
        else {
            return;
        };
        entry.phase = JobPhase::Ending;
        entry.gang = None;
        entry.record.ended_at.get_or_insert_with(unix_millis);
        let ended = EndedJob { record: entry.record.clone(), revision: entry.revision };
        let _ = self.settings.ends.send(ended);
        let _ = self.settings.workers.tell(ForgetJob(job.clone())).try_send();
    }

    /// Removes a job that is not this domain's business any more.
    pub(super) fn forget(&mut self, job: &JobId) {
        self.planner.remove(job);
        if let Some(entry) = self.jobs.remove(job) {
            self.gone.note(job.clone(), entry.revision);
        }
    }

    /// Counts the accelerator time of an attempt as useful or lost.
    fn account(&self, summary: &GangSummary) {
        let accelerators = u64::from(summary.accelerators);
        let run = u64::try_from(summary.known_run.as_millis()).unwrap_or(u64::MAX);
        let kept = match summary.end {
            GangEnd::Finished => run,
            _ => run.min(summary.kept_ms),
        };
        let (label, metrics) = (self.label(), &self.settings.context.metrics);
        metrics.useful.get_or_create(&label).inc_by(accelerators * kept);
        metrics.lost.get_or_create(&label).inc_by(accelerators * (run - kept));
    }
}

impl super::JobEntry {
    /// Takes over work kept by the current attempt.
    fn keep(&mut self, kept_ms: u64) {
        let before = self.gang.as_ref().map_or(self.record.checkpoint_ms, |gang| gang.kept_before);
        let kept = before.saturating_add(kept_ms);
        if self.gang.is_some() && kept > self.record.checkpoint_ms {
            self.record.checkpoint_ms = kept;
            self.dirty = true;
        }
    }

    fn avoid(&mut self, worker: &str) {
        if self.avoided.iter().any(|known| known == worker) {
            return;
        }
        if self.avoided.len() == MAX_AVOIDED {
            self.avoided.remove(0);
        }
        self.avoided.push(worker.to_owned());
    }
}
