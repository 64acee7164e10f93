//! Group commit for the claims of one shard.
//!
//! Changes that arrive during a write, or within [`GROUP_COMMIT_INTERVAL`] of the last one, share
//! the next write. The record is cached between writes; compare-and-swap detects a stale cache.

use std::sync::Arc;
use std::time::Duration;

use lacewingrail_model::clock::unix_millis;
use lacewingrail_model::store::{KeyValueService, Revision, StoreError};
use lacewingrail_model::timer::TimerService;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::claims::record::{
    ClaimChange, ClaimReply, ClaimState, MAX_SHARD_BYTES, RecordedBody, ShardRecord,
};
use crate::metrics::EntryMetrics;

/// Minimum interval between writes of a shard.
pub const GROUP_COMMIT_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum changes queued for one shard; bounds memory.
pub const MAX_QUEUED_CHANGES: usize = 1024;
/// Time without changes after which a writer ends and frees its cached record.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum time for one call to the key-value service; a later response counts as lost.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum attempts to write one batch; with seven instances on one shard, most conflicts are
/// resolved sooner.
const MAX_ATTEMPTS: u32 = 16;
/// Failed reads from the key-value service after which a batch fails. Requests hold a concurrency
/// permit of their service while they wait for a claim, so an outage must fail them soon.
const MAX_OUTAGE_ATTEMPTS: u32 = 3;
/// Maximum random delay after a compare-and-swap conflict.
const MAX_CONFLICT_BACKOFF: Duration = Duration::from_millis(20);
/// Maximum random delay after a failed call, and delay before failed outcomes are retried.
const OUTAGE_BACKOFF: Duration = Duration::from_millis(100);
/// Time for which outcomes are retried while the key-value service is unavailable.
const OUTCOME_RETRY_TIMEOUT: Duration = Duration::from_secs(30);

/// Change queued until its shard is written.
#[derive(Debug)]
pub struct PendingChange {
    /// Customer and idempotency key, as `customer/key`.
    pub key: String,
    /// Change to apply to the claim.
    pub change: ClaimChange,
    /// Time after which a new claim is dropped, and other changes are no longer retried.
    pub deadline: Instant,
    /// Channel for the reply; dropped without a reply if the claim expires first.
    pub reply: oneshot::Sender<Result<ClaimReply, StoreError>>,
}

/// Dependencies and settings shared by the writers of all shards of a process.
#[derive(Clone)]
pub struct WriterContext {
    /// Key-value service that stores the claims.
    pub store: Arc<dyn KeyValueService>,
    /// Metrics in which writes and conflicts are counted.
    pub metrics: Arc<EntryMetrics>,
    /// Timer for group commit and backoff.
    pub timer: TimerService,
    /// Minimum interval between writes of a shard; zero disables group commit.
    pub group_commit_interval: Duration,
}

/// Applies the changes of one shard and writes them in batches.
pub struct ShardWriter {
    context: WriterContext,
    service: Arc<str>,
    store_key: String,
    changes: mpsc::Receiver<PendingChange>,
    cached: Option<(ShardRecord, Revision)>,
    last_write: Option<Instant>,
}

enum BatchResult {
    Applied(Vec<ClaimReply>),
    Failed(StoreError),
}

impl ShardWriter {
    /// Starts a writer and returns the channel to it; the writer ends after `IDLE_TIMEOUT`
    /// without changes.
    pub fn start(
        context: WriterContext,
        service: Arc<str>,
        store_key: String,
    ) -> mpsc::Sender<PendingChange> {
        let (sender, changes) = mpsc::channel(MAX_QUEUED_CHANGES);
        let (cached, last_write) = (None, None);
        tokio::spawn(Self { context, service, store_key, changes, cached, last_write }.run());
        sender
    }

    async fn run(mut self) {
        while let Some(batch) = self.collect_batch().await {
            self.commit_batch(batch).await;
        }
    }

    /// Waits for changes and the group commit interval; `None` if the writer is idle or its channel
    /// has no sender any more.
    async fn collect_batch(&mut self) -> Option<Vec<PendingChange>> {
        let first = match tokio::time::timeout(IDLE_TIMEOUT, self.changes.recv()).await {
            Ok(first) => first?,
            Err(_) => {
                self.changes.close();
                // Changes queued before the channel closed are still written.
                self.changes.recv().await?
            }
        };
        if let Some(last_write) = self.last_write {
            self.context
                .timer
                .wait(self.context.group_commit_interval.saturating_sub(last_write.elapsed()))
                .await;
        }
        let mut batch = vec![first];
        while batch.len() < MAX_QUEUED_CHANGES
            && self.context.group_commit_interval > Duration::ZERO
            && let Ok(pending) = self.changes.try_recv()
        {
            batch.push(pending);
        }
        Some(batch)
    }

    /// Writes a batch and replies to its changes.
    async fn commit_batch(&mut self, mut batch: Vec<PendingChange>) {
        let now = Instant::now();
        // The request of an expired claim has been refused already, so the claim needs no write.
        batch.retain(|pending| pending.deadline > now || !pending.acquires_claim());
        if batch.is_empty() {
            return;
        }
        let (result, maybe_written) = self.write_batch(&batch).await;
        match result {
            BatchResult::Applied(replies) => {
                for (pending, reply) in batch.into_iter().zip(replies) {
                    let _ = pending.reply.send(Ok(reply));
                }
            }
            BatchResult::Failed(error) => self.fail_batch(batch, &error, maybe_written),
        }
    }

    /// Writes the changes by compare-and-swap; also returns whether a write may have taken effect
    /// although the batch failed.
    async fn write_batch(&mut self, batch: &[PendingChange]) -> (BatchResult, bool) {
        let mut maybe_written = false;
        let mut failed_reads = 0;
        let mut last_error = StoreError::Unavailable("no attempt was made".into());
        for attempt in 0..MAX_ATTEMPTS {
            if attempt > 0 {
                self.back_off(&last_error).await;
                if !batch.iter().any(|pending| pending.deadline > Instant::now()) {
                    break;
                }
            }
            let (mut record, revision, from_store) = match self.load_record().await {
                Ok(loaded) => loaded,
                Err(error) => {
                    last_error = error;
                    failed_reads += 1;
                    if failed_reads >= MAX_OUTAGE_ATTEMPTS {
                        break;
                    }
                    continue;
                }
            };
            let (replies, changed) = apply_batch(&mut record, batch);
            // Another instance may have recorded an outcome since the cached record was read.
            if !from_store && replies.iter().any(may_be_stale) {
                self.cached = None;
                last_error = StoreError::Conflict { current: revision };
                continue;
            }
            if !changed {
                self.cached = Some((record, revision));
                return (BatchResult::Applied(replies), maybe_written);
            }
            let (value, replies, record) = match encode_record(record, replies, batch) {
                Ok(encoded) => encoded,
                Err(error) => return (BatchResult::Failed(error), maybe_written),
            };
            match self.write_record(value, revision).await {
                Ok(revision) => {
                    self.cached = Some((record, revision));
                    self.context.metrics.record_claim_events(&self.service, "commits", 1);
                    self.context.metrics.record_claim_events(
                        &self.service,
                        "changes",
                        batch.len() as u64,
                    );
                    return (BatchResult::Applied(replies), maybe_written);
                }
                Err(error) => {
                    self.cached = None;
                    match &error {
                        StoreError::Conflict { .. } => {
                            self.context.metrics.record_claim_events(&self.service, "conflicts", 1);
                        }
                        StoreError::Unclear(_) => {
                            maybe_written = true;
                            self.context.metrics.record_claim_events(&self.service, "unclear", 1);
                        }
                        _ => {}
                    }
                    last_error = error;
                }
            }
        }
        (BatchResult::Failed(last_error), maybe_written)
    }

    /// Returns the record, its revision, and whether it was read from the store instead of the
    /// cache.
    async fn load_record(&mut self) -> Result<(ShardRecord, Revision, bool), StoreError> {
        if let Some((record, revision)) = self.cached.take() {
            return Ok((record, revision, false));
        }
        let read =
            tokio::time::timeout(CALL_TIMEOUT, self.context.store.get(&self.store_key)).await;
        let timed_out = || StoreError::Unavailable("no answer in time".into());
        let Some(entry) = read.unwrap_or_else(|_| Err(timed_out()))? else {
            return Ok((ShardRecord::default(), 0, true));
        };
        let record = serde_json::from_str(&entry.value)
            .map_err(|error| StoreError::Malformed(format!("{}: {error}", self.store_key)))?;
        Ok((record, entry.revision, true))
    }

    async fn write_record(
        &mut self,
        value: String,
        expected: Revision,
    ) -> Result<Revision, StoreError> {
        self.last_write = Some(Instant::now());
        let put = self.context.store.put(&self.store_key, value, expected, None);
        let timed_out = || StoreError::Unclear("no answer in time".into());
        tokio::time::timeout(CALL_TIMEOUT, put).await.unwrap_or_else(|_| Err(timed_out()))
    }

    /// Waits for a random delay that depends on the error of the last attempt.
    async fn back_off(&self, error: &StoreError) {
        let max_delay = match error {
            StoreError::Conflict { .. } => MAX_CONFLICT_BACKOFF,
            _ => OUTAGE_BACKOFF,
        };
        self.context.timer.wait(max_delay.mul_f64(rand::random::<f64>())).await;
    }

    /// Replies to all changes of a batch with the error, and retries in the background those that
    /// must not be lost.
    fn fail_batch(&self, batch: Vec<PendingChange>, error: &StoreError, maybe_written: bool) {
        log::warn!("cannot write {} claim changes of {}: {error}", batch.len(), self.store_key);
        let mut retries = Vec::new();
        for pending in batch {
            match &pending.change {
                // The request is refused as "not run", so its claim must be released if it was
                // written.
                ClaimChange::Take { mark, .. } if maybe_written => {
                    let change =
                        ClaimChange::Finish { mark: mark.clone(), state: ClaimState::NotRun };
                    retries.push((
                        pending.key.clone(),
                        change,
                        Instant::now() + OUTCOME_RETRY_TIMEOUT,
                    ));
                }
                ClaimChange::Finish { .. } if pending.deadline > Instant::now() => {
                    retries.push((pending.key.clone(), pending.change.clone(), pending.deadline));
                }
                _ => {}
            }
            let _ = pending.reply.send(Err(error.clone()));
        }
        if retries.is_empty() {
            return;
        }
        let context = self.context.clone();
        let (service, store_key) = (self.service.clone(), self.store_key.clone());
        tokio::spawn(async move {
            context.timer.wait(OUTAGE_BACKOFF).await;
            let writer = Self::start(context, service, store_key);
            for (key, change, deadline) in retries {
                let pending = PendingChange { key, change, deadline, reply: oneshot::channel().0 };
                let _ = writer.send(pending).await;
            }
        });
    }
}

impl PendingChange {
    /// Returns the deadline for a change that records an outcome, `OUTCOME_RETRY_TIMEOUT`
    /// from now.
    pub fn outcome_deadline() -> Instant {
        Instant::now() + OUTCOME_RETRY_TIMEOUT
    }

    fn acquires_claim(&self) -> bool {
        matches!(self.change, ClaimChange::Take { .. })
    }
}

/// Applies the changes to the record; returns their replies and whether the record changed.
fn apply_batch(record: &mut ShardRecord, batch: &[PendingChange]) -> (Vec<ClaimReply>, bool) {
    let now = unix_millis();
    record.remove_expired(now);
    let mut changed = false;
    let replies = batch
        .iter()
        .map(|pending| {
            let (reply, record_changed) = record.apply(&pending.key, &pending.change, now);
            changed |= record_changed;
            reply
        })
        .collect();
    (replies, changed)
}

/// Returns whether a reply depends on a claim whose outcome may have been recorded since.
fn may_be_stale(reply: &ClaimReply) -> bool {
    match reply {
        ClaimReply::Existing(entry) => entry.state == ClaimState::Claimed,
        ClaimReply::Seen(entry) => {
            entry.as_ref().is_none_or(|entry| entry.state == ClaimState::Claimed)
        }
        _ => false,
    }
}

/// Encodes the record. If it exceeds [`MAX_SHARD_BYTES`], the new claims of this batch are refused
/// and the response bodies of its outcomes are dropped.
fn encode_record(
    mut record: ShardRecord,
    mut replies: Vec<ClaimReply>,
    batch: &[PendingChange],
) -> Result<(String, Vec<ClaimReply>, ShardRecord), StoreError> {
    let encode = |record: &ShardRecord| {
        serde_json::to_string(record).map_err(|error| StoreError::Malformed(error.to_string()))
    };
    let value = encode(&record)?;
    if value.len() <= MAX_SHARD_BYTES {
        return Ok((value, replies, record));
    }
    for (pending, reply) in batch.iter().zip(&mut replies) {
        match &pending.change {
            ClaimChange::Take { mark, .. } if *reply == ClaimReply::Taken => {
                record.claims.retain(|_, entry| entry.mark != *mark);
                *reply = ClaimReply::Full;
            }
            ClaimChange::Finish { mark, .. } => drop_body(&mut record, &pending.key, mark),
            _ => {}
        }
    }
    Ok((encode(&record)?, replies, record))
}

fn drop_body(record: &mut ShardRecord, key: &str, write_id: &str) {
    if let Some(entry) = record.claims.get_mut(key)
        && entry.mark == write_id
        && let ClaimState::Done(response) = &mut entry.state
        && let Some(bytes) = response.body.bytes()
    {
        response.body = RecordedBody::dropped(&bytes);
    }
}
