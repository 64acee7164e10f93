//! Batched writes of job progress to the key-value service.
//!
//! Only the newest progress of each job is queued, so the backlog after an outage is bounded by the
//! number of jobs. A write whose answer was lost may still take effect later. Two conditions keep
//! such a write from overwriting newer data: every batch requires the revision of the leadership's
//! key, so it fails once another process has acquired the leadership, and it compares and replaces
//! [`MARK_KEY`], so it fails once a later batch of the same leadership has been written.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use lacewingrail_fleet::record::WorkerRoster;
use lacewingrail_fleet::{FleetEvent, JobKey, JobProgress};
use lacewingrail_model::store::{
    BatchStore, KeyExpectation, KeyWrite, Revision, StoreBatch, StoreError,
};
use serde::Serialize;
use tokio::sync::mpsc;

use crate::records::{HOLDER_KEY, MARK_KEY, ROSTER_KEY, cancel_key, job_key, progress_key};
use crate::schedule_controller::SchedulerHandle;

/// Maximum number of jobs in a batch: the service accepts 32 entries, of which [`MARK_KEY`] needs
/// two and the leadership's key and the worker roster one each.
const MAX_BATCH_JOBS: usize = 28;
/// Number of keys that the deletion of a job takes in a batch.
const KEYS_PER_DELETION: usize = 3;
/// Delay before a failed batch is written again.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Write that the planner orders.
#[derive(Clone, Debug)]
pub enum ProgressWrite {
    /// Replaces the progress of a job.
    Job(JobKey, JobProgress),
    /// Replaces the list of workers that may have active runs.
    Roster(WorkerRoster),
    /// Deletes the keys of a job whose retention has expired.
    RemoveJob(JobKey),
}

/// Queue of the writer: unbounded, since the writer merges queued writes of the same job.
pub type ProgressSender = mpsc::UnboundedSender<ProgressWrite>;

/// Writes the progress of all jobs during one leadership.
pub struct ProgressWriter {
    /// Client of the key-value service.
    pub store: Arc<dyn BatchStore>,
    /// Revision of the leadership's key, which changes when the leadership is reacquired.
    pub holder_revision: tokio::sync::watch::Receiver<Revision>,
    /// Scheduler that receives an event for each stored progress.
    pub scheduler: SchedulerHandle,
}

impl ProgressWriter {
    /// Writes batches until the sender is dropped; a failed batch is retried without limit.
    pub async fn run(self, mut receiver: mpsc::UnboundedReceiver<ProgressWrite>) {
        let mut backlog = ProgressBacklog::default();
        let mut mark_revision = None;
        loop {
            if backlog.is_empty() {
                let Some(write) = receiver.recv().await else {
                    return;
                };
                backlog.add(write);
            }
            while let Ok(write) = receiver.try_recv() {
                backlog.add(write);
            }
            let batch = backlog.next_batch();
            let roster = backlog.roster.clone();
            let deletions = backlog.next_deletions(batch.len());
            let written = self.write(&batch, roster.as_ref(), &deletions, mark_revision).await;
            mark_revision = written.as_ref().ok().copied();
            match written {
                Ok(_) => {
                    backlog.remove_written(&batch, roster.as_ref());
                    backlog.deletions.retain(|job| !deletions.contains(job));
                    for (job, progress) in batch {
                        let sequence = progress.sequence;
                        self.scheduler.tell(FleetEvent::ProgressStored { job, sequence }).await;
                    }
                }
                Err(error) => {
                    log::warn!(
                        jobs = batch.len(), error = error.to_string();
                        "failed to store progress; retrying"
                    );
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Writes a batch and returns its revision, which is the next `mark_revision`.
    ///
    /// If `mark_revision` is `None`, as after a failure, it is read from the service first.
    async fn write(
        &self,
        batch: &[(JobKey, JobProgress)],
        roster: Option<&WorkerRoster>,
        deletions: &[JobKey],
        mark_revision: Option<Revision>,
    ) -> Result<Revision, StoreError> {
        let mark_revision = match mark_revision {
            Some(mark_revision) => mark_revision,
            None => self.store.get(MARK_KEY).await?.map_or(0, |entry| entry.revision),
        };
        let mut writes = Vec::with_capacity(batch.len() + 2);
        writes.push(KeyWrite {
            key: MARK_KEY.to_owned(),
            value: mark_revision.to_string(),
            lease: None,
        });
        for (job, progress) in batch {
            writes.push(KeyWrite {
                key: progress_key(*job),
                value: encode(progress)?,
                lease: None,
            });
        }
        if let Some(roster) = roster {
            let value = encode(roster)?;
            writes.push(KeyWrite { key: ROSTER_KEY.to_owned(), value, lease: None });
        }
        let revision = *self.holder_revision.borrow();
        let expected = vec![
            KeyExpectation { key: HOLDER_KEY.to_owned(), revision },
            KeyExpectation { key: MARK_KEY.to_owned(), revision: mark_revision },
        ];
        let keys_of = |job: &JobKey| -> [String; KEYS_PER_DELETION] {
            [job_key(*job), cancel_key(*job), progress_key(*job)]
        };
        let deletes = deletions.iter().flat_map(keys_of).collect();
        self.store.commit(StoreBatch { expected, writes, deletes }).await
    }
}

/// Pending writes, merged to the newest of each kind.
#[derive(Default)]
struct ProgressBacklog {
    jobs: BTreeMap<JobKey, JobProgress>,
    roster: Option<WorkerRoster>,
    deletions: BTreeSet<JobKey>,
}

impl ProgressBacklog {
    fn is_empty(&self) -> bool {
        self.jobs.is_empty() && self.roster.is_none() && self.deletions.is_empty()
    }

    /// Returns the jobs to delete with a batch that writes the progress of a number of jobs, as far
    /// as it leaves room. Deletions wait only while all batches are full, so that they keep up with
    /// a steady flow of progress.
    fn next_deletions(&self, written_jobs: usize) -> Vec<JobKey> {
        let count = (MAX_BATCH_JOBS - written_jobs) / KEYS_PER_DELETION;
        self.deletions.iter().take(count).copied().collect()
    }

    fn add(&mut self, write: ProgressWrite) {
        match write {
            ProgressWrite::Job(job, progress) => {
                self.jobs.insert(job, progress);
            }
            ProgressWrite::Roster(roster) => self.roster = Some(roster),
            ProgressWrite::RemoveJob(job) => {
                self.deletions.insert(job);
            }
        }
    }

    fn next_batch(&self) -> Vec<(JobKey, JobProgress)> {
        let first = self.jobs.iter().take(MAX_BATCH_JOBS);
        first.map(|(job, progress)| (*job, progress.clone())).collect()
    }

    /// Removes the written entries, except those for which a newer write was queued meanwhile.
    fn remove_written(&mut self, batch: &[(JobKey, JobProgress)], roster: Option<&WorkerRoster>) {
        for (job, written) in batch {
            if self.jobs.get(job).is_some_and(|newest| newest.sequence == written.sequence) {
                self.jobs.remove(job);
            }
        }
        if self.roster.as_ref() == roster {
            self.roster = None;
        }
    }
}

fn encode<T>(value: &T) -> Result<String, StoreError>
where
    T: Serialize,
{
    serde_json::to_string(value).map_err(|error| StoreError::Malformed(error.to_string()))
}
