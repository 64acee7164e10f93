//! Writes progress to the key-value service in batches.
//!
//! Only the newest progress of each job waits, so a backlog after an outage is bounded by the number
//! of jobs. Every batch requires that this process still holds the leadership, so that a write that
//! is carried out late can't undo what a later scheduler wrote.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use lacewingrail_fleet::{FleetEvent, JobKey, JobProgress};
use lacewingrail_model::store::{
    BatchStore, KeyExpectation, KeyWrite, Revision, StoreBatch, StoreError,
};
use tokio::sync::mpsc;

use crate::records::{HOLDER_KEY, progress_key};
use crate::schedule_controller::ScheduleSender;

/// Most writes in a batch: the service takes 32 entries, one of which is the leadership.
const BATCH_WRITES: usize = 30;
/// Pause after a failed write.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Takes progress to write.
pub type ProgressSender = mpsc::UnboundedSender<(JobKey, JobProgress)>;

/// Writes progress under one leadership.
pub struct ProgressWriter {
    /// Store.
    pub store: Arc<dyn BatchStore>,
    /// Revision of the leadership's key.
    pub holder: tokio::sync::watch::Receiver<Revision>,
    /// Scheduler to tell of the outcome.
    pub schedule: ScheduleSender,
}

impl ProgressWriter {
    /// Runs until the sender is gone.
    pub async fn run(self, mut receiver: mpsc::UnboundedReceiver<(JobKey, JobProgress)>) {
        let mut waiting: BTreeMap<JobKey, JobProgress> = BTreeMap::new();
        loop {
            if waiting.is_empty() {
                let Some((job, progress)) = receiver.recv().await else {
                    return;
                };
                waiting.insert(job, progress);
            }
            while let Ok((job, progress)) = receiver.try_recv() {
                waiting.insert(job, progress);
            }
            let batch: Vec<(JobKey, JobProgress)> = waiting
                .iter()
                .take(BATCH_WRITES)
                .map(|(job, progress)| (*job, progress.clone()))
                .collect();
            match self.write(&batch).await {
                Ok(_) => {
                    for (job, progress) in batch {
                        let sequence = progress.sequence;
                        if waiting.get(&job).is_some_and(|newest| newest.sequence == sequence) {
                            waiting.remove(&job);
                        }
                        self.schedule.tell(FleetEvent::ProgressStored { job, sequence }).await;
                    }
                }
                Err(error) => {
                    log::warn!(jobs = batch.len(), error = error.to_string(); "progress not stored, it is written again");
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    async fn write(&self, batch: &[(JobKey, JobProgress)]) -> Result<Revision, StoreError> {
        let mut writes = Vec::with_capacity(batch.len());
        for (job, progress) in batch {
            let value = serde_json::to_string(progress)
                .map_err(|error| StoreError::Malformed(error.to_string()))?;
            writes.push(KeyWrite { key: progress_key(*job), value, lease: None });
        }
        let revision = *self.holder.borrow();
        let expected = vec![KeyExpectation { key: HOLDER_KEY.to_owned(), revision }];
        self.store.commit(StoreBatch { expected, writes, deletes: Vec::new() }).await
    }
}
