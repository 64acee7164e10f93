//! Submissions and cancellations in the key-value service.
//!
//! A write without an answer may take effect seconds later, when its client has long left or turned
//! to another instance. Two rules make such a late write harmless. A submission takes effect only
//! while neither it nor a cancellation of its job is stored. A cancellation is stored before it is
//! acknowledged, also for a job that is not, and stays for as long as an ended job does. So once a
//! cancellation is acknowledged, the submission is either stored, and the scheduler finds both, or
//! it never will be.

use std::sync::Arc;

use lacewingrail_fleet::{JobKey, JobPhase, JobProgress, JobSubmission};
use lacewingrail_model::message::JobStatus;
use lacewingrail_model::store::{
    BatchStore, KeyExpectation, KeyValueService, KeyWrite, StoreBatch, StoreError,
};

use crate::records::{cancel_key, job_key, progress_key};
use crate::store_health::MonitoredStore;

/// Maximum number of repetitions of a write whose answer was lost.
const MAX_SUBMISSION_RETRIES: u32 = 3;

/// Outcome of storing a submission.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SubmissionOutcome {
    /// The job was not stored before.
    Created,
    /// The job was stored already.
    Existing,
    /// The job was cancelled before it was stored, and will not be stored.
    Cancelled,
    /// The job was not stored by this call, for the given cause.
    NotStored(String),
    /// The job may be stored, or may be stored later.
    Unclear,
}

/// Stores clients' inputs, and reads the status of jobs.
#[derive(Clone)]
pub struct InputStore {
    store: Arc<MonitoredStore>,
}

impl InputStore {
    /// Creates a client of a store.
    pub fn new(store: Arc<MonitoredStore>) -> Self {
        Self { store }
    }

    /// Stores a submission, unless it or its cancellation is stored already.
    ///
    /// The write is repeated after its answer was lost, until an answer shows what is stored.
    pub async fn submit(&self, submission: &JobSubmission) -> SubmissionOutcome {
        let job = submission.key;
        let value = match serde_json::to_string(submission) {
            Ok(value) => value,
            Err(error) => return SubmissionOutcome::NotStored(error.to_string()),
        };
        if self.store.outage().is_some() {
            let cause = "the key-value service is out of reach".to_owned();
            return SubmissionOutcome::NotStored(cause);
        }
        let batch = submission_batch(job, value);
        match self.store.commit(batch.clone()).await {
            Ok(_) => SubmissionOutcome::Created,
            Err(StoreError::Conflict { .. }) => self.read_conflict(job).await,
            Err(StoreError::Unclear(_)) => self.repeat_submission(job, batch).await,
            Err(error) => SubmissionOutcome::NotStored(error.to_string()),
        }
    }

    /// Repeats the write of a submission after its answer was lost.
    ///
    /// Without an answer to any of them the outcome stays unknown, since each may take effect later.
    async fn repeat_submission(&self, job: JobKey, batch: StoreBatch) -> SubmissionOutcome {
        for _ in 0..MAX_SUBMISSION_RETRIES {
            if self.store.outage().is_some() {
                break;
            }
            match self.store.commit(batch.clone()).await {
                // The first write may have taken effect, so the job may already have progress.
                Ok(_) => return SubmissionOutcome::Existing,
                Err(StoreError::Conflict { .. }) => return self.read_conflict(job).await,
                Err(error) => log::warn!(
                    job = format!("{job:016x}"), error = error.to_string();
                    "cannot confirm submission"
                ),
            }
        }
        SubmissionOutcome::Unclear
    }

    /// Reads which of the keys that a submission requires to be absent exists.
    async fn read_conflict(&self, job: JobKey) -> SubmissionOutcome {
        match self.store.get(&job_key(job)).await {
            Ok(Some(_)) => return SubmissionOutcome::Existing,
            Ok(None) => {}
            Err(_) => return SubmissionOutcome::Unclear,
        }
        match self.store.get(&cancel_key(job)).await {
            Ok(Some(_)) => SubmissionOutcome::Cancelled,
            // Whichever it was has been deleted in between.
            Ok(None) | Err(_) => SubmissionOutcome::Unclear,
        }
    }

    /// Stores the cancellation of a job, whether or not the job is stored.
    ///
    /// # Errors
    /// Reports a failure of the key-value service. After [`StoreError::Unclear`], the cancellation
    /// may be stored, or may be stored later.
    pub async fn cancel(&self, job: JobKey) -> Result<(), StoreError> {
        let write = KeyWrite { key: cancel_key(job), value: String::new(), lease: None };
        let batch = StoreBatch { writes: vec![write], ..StoreBatch::default() };
        self.store.commit(batch).await.map(|_| ())
    }

    /// Returns whether a job is stored.
    ///
    /// # Errors
    /// Reports a failure of the key-value service.
    pub async fn contains(&self, job: JobKey) -> Result<bool, StoreError> {
        Ok(self.store.get(&job_key(job)).await?.is_some())
    }

    /// Derives a job's status from what is stored; `None` if the job is not stored.
    ///
    /// # Errors
    /// Reports a failure of the key-value service, or malformed progress.
    pub async fn job_status(&self, job: JobKey) -> Result<Option<JobStatus>, StoreError> {
        if !self.contains(job).await? {
            return Ok(None);
        }
        let progress = match self.store.get(&progress_key(job)).await? {
            Some(entry) => Some(
                serde_json::from_str::<JobProgress>(&entry.value)
                    .map_err(|error| StoreError::Malformed(error.to_string()))?,
            ),
            None => None,
        };
        let phase = progress.as_ref().map_or(JobPhase::Active, |progress| progress.phase);
        if phase == JobPhase::Active && self.store.get(&cancel_key(job)).await?.is_some() {
            return Ok(Some(JobStatus::Cancelled));
        }
        let begun = progress.is_some_and(|progress| progress.begun);
        Ok(Some(match phase {
            JobPhase::Completed => JobStatus::Completed,
            JobPhase::Failed => JobStatus::Failed,
            JobPhase::Cancelled => JobStatus::Cancelled,
            JobPhase::Active if begun => JobStatus::Running,
            JobPhase::Active => JobStatus::Queued,
        }))
    }
}

/// Returns the batch that stores a submission.
fn submission_batch(job: JobKey, value: String) -> StoreBatch {
    let absent = |key: String| KeyExpectation { key, revision: 0 };
    StoreBatch {
        expected: vec![absent(job_key(job)), absent(cancel_key(job))],
        writes: vec![KeyWrite { key: job_key(job), value, lease: None }],
        deletes: Vec::new(),
    }
}
