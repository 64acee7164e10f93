//! Submissions whose outcome this process could not learn.
//!
//! A write without an answer may take effect later. A client that comes back with the same job while
//! the key-value service is away must not be told that the job will never run, as it would be
//! otherwise; it is told again that the outcome is unknown.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use lacewingrail_fleet::JobKey;

use crate::client_api::ClientAnswer;
use crate::clock;

/// Time for which a submission is remembered: far beyond the time that clients go on asking, and that
/// a late write takes.
const RETENTION: Duration = Duration::from_secs(60);
/// Submissions remembered at once; bounds the memory.
const MAX_JOBS: usize = 1024;

/// Remembers jobs whose submission ended with an unknown outcome, with the time of the newest.
#[derive(Debug, Default)]
pub struct UnclearJobs {
    jobs: Mutex<BTreeMap<JobKey, Duration>>,
}

impl UnclearJobs {
    /// Returns the answer that is true in the light of earlier submissions of the same job.
    pub fn reconcile(&self, job: JobKey, answer: ClientAnswer) -> ClientAnswer {
        let now = clock::now();
        let mut jobs = self.jobs.lock().unwrap_or_else(PoisonError::into_inner);
        jobs.retain(|_, recorded_at| now.saturating_sub(*recorded_at) < RETENTION);
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
