//! Submissions whose outcome is unknown to this process.
//!
//! A write whose answer was lost may take effect later. If the client submits the job again while
//! the key-value service is unreachable, a refusal would be wrong, since it promises that the job
//! never runs; the answer is again that the outcome is unknown. The outcome of a submission is also
//! unknown when its client leaves before the answer.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use lacewingrail_fleet::JobKey;

use crate::client_api::ClientAnswer;
use crate::clock;

/// Time for which an unknown outcome is recorded: far longer than the time for which clients retry
/// or a write can be delayed.
const OUTCOME_RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of recorded jobs, which bounds the memory; further ones are not recorded.
const MAX_JOBS: usize = 1024;

/// Jobs with an unknown outcome, with the time of the newest such submission.
#[derive(Debug, Default)]
pub struct UnclearJobs {
    jobs: Mutex<BTreeMap<JobKey, Duration>>,
}

impl UnclearJobs {
    /// Begins a submission; its outcome is unknown if it is dropped before it is finished.
    pub fn begin(self: &Arc<Self>, job: JobKey) -> SubmissionAttempt {
        SubmissionAttempt { unclear: self.clone(), job, is_finished: false }
    }

    /// Returns whether an earlier submission of a job may still take effect.
    pub fn contains(&self, job: JobKey) -> bool {
        let jobs = self.jobs.lock().unwrap_or_else(PoisonError::into_inner);
        let recorded_at = jobs.get(&job).copied();
        recorded_at.is_some_and(|at| clock::now().saturating_sub(at) < OUTCOME_RETENTION)
    }

    /// Corrects the answer to a submission in view of earlier ones of the same job, and records it.
    ///
    /// A refusal becomes [`ClientAnswer::Unclear`] while an earlier outcome is unknown.
    fn reconcile(&self, job: JobKey, answer: ClientAnswer) -> ClientAnswer {
        let now = clock::now();
        let mut jobs = self.jobs.lock().unwrap_or_else(PoisonError::into_inner);
        jobs.retain(|_, recorded_at| now.saturating_sub(*recorded_at) < OUTCOME_RETENTION);
        match answer {
            ClientAnswer::Accepted => {
                jobs.remove(&job);
                ClientAnswer::Accepted
            }
            ClientAnswer::Unclear => {
                if jobs.len() < MAX_JOBS {
                    jobs.insert(job, now);
                }
                ClientAnswer::Unclear
            }
            ClientAnswer::NotAccepted { .. } if jobs.contains_key(&job) => ClientAnswer::Unclear,
            other => other,
        }
    }
}

/// Submission in progress.
#[derive(Debug)]
pub struct SubmissionAttempt {
    unclear: Arc<UnclearJobs>,
    job: JobKey,
    is_finished: bool,
}

impl SubmissionAttempt {
    /// Returns the answer for the client, in view of earlier submissions of the same job.
    pub fn finish(mut self, answer: ClientAnswer) -> ClientAnswer {
        self.is_finished = true;
        self.unclear.reconcile(self.job, answer)
    }
}

impl Drop for SubmissionAttempt {
    fn drop(&mut self) {
        if !self.is_finished {
            self.unclear.reconcile(self.job, ClientAnswer::Unclear);
        }
    }
}
