//! Writes the claims of one shard in groups.
//!
//! Changes that arrive while a write is under way, or within [`GROUP_PERIOD`] of the last one, share
//! the next write. The record is cached between writes: compare-and-swap tells when it is stale.

use std::sync::Arc;
use std::time::Duration;

use lacewingrail_model::clock::unix_millis;
use lacewingrail_model::store::{KeyValueService, Revision, StoreError};
use lacewingrail_model::timer::TimerService;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::claims::record::{
    ClaimChange, ClaimReply, ClaimState, FULL_BYTES, RecordedBody, ShardRecord,
};
use crate::metrics::EntryMetrics;

/// Shortest time between writes of a busy shard.
pub const GROUP_PERIOD: Duration = Duration::from_millis(100);
/// Changes that may wait for one shard; bounds memory.
pub const QUEUE_LENGTH: usize = 1024;
/// Time after which an idle writer ends and frees its cached record.
const IDLE_LIMIT: Duration = Duration::from_secs(30);
/// Longest time for one call to the key-value service. A later answer counts as lost.
const CALL_LIMIT: Duration = Duration::from_secs(2);
/// Most attempts of one group; with seven instances on one shard, most races end sooner.
const ATTEMPTS: u32 = 16;
/// Attempts without any contact to the service after which a group fails. Requests wait for their
/// claim with a place of their service's concurrency, so that an outage must be answered soon.
const OUTAGE_ATTEMPTS: u32 = 3;
/// Longest pause after a lost race.
const RACE_PAUSE: Duration = Duration::from_millis(20);
/// Pause after the service could not be reached.
const OUTAGE_PAUSE: Duration = Duration::from_millis(100);
/// Time for which outcomes are written again while the service cannot be reached.
const FINISH_PATIENCE: Duration = Duration::from_secs(30);

/// Carries one change to the writer.
#[derive(Debug)]
pub struct ClaimOrder {
    /// Customer and key.
    pub key: String,
    /// Change.
    pub change: ClaimChange,
    /// Time until which the change is of use.
    pub deadline: Instant,
    /// Channel for the answer.
    pub reply: oneshot::Sender<Result<ClaimReply, StoreError>>,
}

/// Holds what the writers of all shards share.
#[derive(Clone)]
pub struct WriterContext {
    /// Key-value service.
    pub store: Arc<dyn KeyValueService>,
    /// Metrics.
    pub metrics: Arc<EntryMetrics>,
    /// Timer service.
    pub timer: TimerService,
    /// Shortest time between writes of a shard; zero writes each change on its own.
    pub group: Duration,
}

/// Writes one shard.
pub struct ShardWriter {
    context: WriterContext,
    service: Arc<str>,
    path: String,
    orders: mpsc::Receiver<ClaimOrder>,
    cached: Option<(ShardRecord, Revision)>,
    last_write: Option<Instant>,
}

enum CommitEnd {
    Finished(Vec<ClaimReply>),
    Failed(StoreError),
}

impl ShardWriter {
    /// Starts a writer and returns the channel to it; the writer ends when it is idle.
    pub fn start(
        context: WriterContext,
        service: Arc<str>,
        path: String,
    ) -> mpsc::Sender<ClaimOrder> {
        let (sender, orders) = mpsc::channel(QUEUE_LENGTH);
        let (cached, last_write) = (None, None);
        tokio::spawn(Self { context, service, path, orders, cached, last_write }.run());
        sender
    }

    async fn run(mut self) {
        while let Some(orders) = self.collect().await {
            self.commit(orders).await;
        }
    }

    /// Waits for changes; nothing when the writer is idle or no longer used.
    async fn collect(&mut self) -> Option<Vec<ClaimOrder>> {
        let first = match tokio::time::timeout(IDLE_LIMIT, self.orders.recv()).await {
            Ok(first) => first?,
            Err(_) => {
                self.orders.close();
                // What was queued before the channel closed is still served.
                self.orders.recv().await?
            }
        };
        if let Some(last) = self.last_write {
            self.context.timer.wait(self.context.group.saturating_sub(last.elapsed())).await;
        }
        let mut orders = vec![first];
        while orders.len() < QUEUE_LENGTH
            && self.context.group > Duration::ZERO
            && let Ok(order) = self.orders.try_recv()
        {
            orders.push(order);
        }
        Some(orders)
    }

    async fn commit(&mut self, mut orders: Vec<ClaimOrder>) {
        let now = Instant::now();
        // A claim that nobody waits for any more is not worth a write.
        orders.retain(|order| order.deadline > now || !order.is_take());
        if orders.is_empty() {
            return;
        }
        let (end, unclear) = self.write(&orders).await;
        match end {
            CommitEnd::Finished(replies) => {
                for (order, reply) in orders.into_iter().zip(replies) {
                    let _ = order.reply.send(Ok(reply));
                }
            }
            CommitEnd::Failed(error) => self.fail(orders, &error, unclear),
        }
    }

    /// Applies the changes by compare-and-swap; also returns whether a write may have taken effect
    /// although the group failed.
    async fn write(&mut self, orders: &[ClaimOrder]) -> (CommitEnd, bool) {
        let mut unclear = false;
        let mut outages = 0;
        let mut last = StoreError::Unavailable("no attempt was made".into());
        for attempt in 0..ATTEMPTS {
            if attempt > 0 {
                self.pause(&last).await;
                if !orders.iter().any(|order| order.deadline > Instant::now()) {
                    break;
                }
            }
            let (mut record, revision, fresh) = match self.load().await {
                Ok(loaded) => loaded,
                Err(error) => {
                    last = error;
                    outages += 1;
                    if outages >= OUTAGE_ATTEMPTS {
                        break;
                    }
                    continue;
                }
            };
            let (replies, changed) = apply(&mut record, orders);
            // Another instance may have finished a claim since the cached copy was read.
            if !fresh && replies.iter().any(is_open) {
                self.cached = None;
                last = StoreError::Conflict { current: revision };
                continue;
            }
            if !changed {
                self.cached = Some((record, revision));
                return (CommitEnd::Finished(replies), unclear);
            }
            let (value, replies, record) = match encode(record, replies, orders) {
                Ok(encoded) => encoded,
                Err(error) => return (CommitEnd::Failed(error), unclear),
            };
            match self.put(value, revision).await {
                Ok(revision) => {
                    self.cached = Some((record, revision));
                    self.context.metrics.note_claims(&self.service, "commits", 1);
                    self.context.metrics.note_claims(&self.service, "changes", orders.len() as u64);
                    return (CommitEnd::Finished(replies), unclear);
                }
                Err(error) => {
                    self.cached = None;
                    match &error {
                        StoreError::Conflict { .. } => {
                            self.context.metrics.note_claims(&self.service, "conflicts", 1);
                        }
                        StoreError::Unclear(_) => {
                            unclear = true;
                            self.context.metrics.note_claims(&self.service, "unclear", 1);
                        }
                        _ => {}
                    }
                    last = error;
                }
            }
        }
        (CommitEnd::Failed(last), unclear)
    }

    async fn load(&mut self) -> Result<(ShardRecord, Revision, bool), StoreError> {
        if let Some((record, revision)) = self.cached.take() {
            return Ok((record, revision, false));
        }
        let read = tokio::time::timeout(CALL_LIMIT, self.context.store.get(&self.path)).await;
        let late = || StoreError::Unavailable("no answer in time".into());
        let Some(entry) = read.unwrap_or_else(|_| Err(late()))? else {
            return Ok((ShardRecord::default(), 0, true));
        };
        let record = serde_json::from_str(&entry.value)
            .map_err(|error| StoreError::Malformed(format!("{}: {error}", self.path)))?;
        Ok((record, entry.revision, true))
    }

    async fn put(&mut self, value: String, expected: Revision) -> Result<Revision, StoreError> {
        self.last_write = Some(Instant::now());
        let put = self.context.store.put(&self.path, value, expected, None);
        let late = || StoreError::Unclear("no answer in time".into());
        tokio::time::timeout(CALL_LIMIT, put).await.unwrap_or_else(|_| Err(late()))
    }

    async fn pause(&self, error: &StoreError) {
        let longest = match error {
            StoreError::Conflict { .. } => RACE_PAUSE,
            _ => OUTAGE_PAUSE,
        };
        self.context.timer.wait(longest.mul_f64(rand::random::<f64>())).await;
    }

    /// Answers the changes of a failed group, and keeps trying to write what must not be lost.
    fn fail(&self, orders: Vec<ClaimOrder>, error: &StoreError, unclear: bool) {
        log::warn!("cannot write {} claims of {}: {error}", orders.len(), self.path);
        let mut later = Vec::new();
        for order in orders {
            match &order.change {
                // The request is refused as "not run", which must not leave a claim behind.
                ClaimChange::Take { mark, .. } if unclear => {
                    let change =
                        ClaimChange::Finish { mark: mark.clone(), state: ClaimState::NotRun };
                    later.push((order.key.clone(), change, Instant::now() + FINISH_PATIENCE));
                }
                ClaimChange::Finish { .. } if order.deadline > Instant::now() => {
                    later.push((order.key.clone(), order.change.clone(), order.deadline));
                }
                _ => {}
            }
            let _ = order.reply.send(Err(error.clone()));
        }
        if later.is_empty() {
            return;
        }
        let context = self.context.clone();
        let (service, path) = (self.service.clone(), self.path.clone());
        tokio::spawn(async move {
            context.timer.wait(OUTAGE_PAUSE).await;
            let writer = Self::start(context, service, path);
            for (key, change, deadline) in later {
                let order = ClaimOrder { key, change, deadline, reply: oneshot::channel().0 };
                let _ = writer.send(order).await;
            }
        });
    }
}

impl ClaimOrder {
    /// Creates the change that records an outcome, with the time for which it is tried.
    pub fn finish_deadline() -> Instant {
        Instant::now() + FINISH_PATIENCE
    }

    fn is_take(&self) -> bool {
        matches!(self.change, ClaimChange::Take { .. })
    }
}

fn apply(record: &mut ShardRecord, orders: &[ClaimOrder]) -> (Vec<ClaimReply>, bool) {
    let now = unix_millis();
    record.prune(now);
    let mut changed = false;
    let replies = orders
        .iter()
        .map(|order| {
            let (reply, effect) = record.apply(&order.key, &order.change, now);
            changed |= effect;
            reply
        })
        .collect();
    (replies, changed)
}

/// Returns whether an answer rests on a claim that may have been finished since.
fn is_open(reply: &ClaimReply) -> bool {
    match reply {
        ClaimReply::Existing(entry) => entry.state == ClaimState::Claimed,
        ClaimReply::Seen(entry) => {
            entry.as_ref().is_none_or(|entry| entry.state == ClaimState::Claimed)
        }
        _ => false,
    }
}

/// Encodes the record. One that is over its limit loses the new claims of this group, which are
/// refused, and the bodies of the outcomes that it records.
fn encode(
    mut record: ShardRecord,
    mut replies: Vec<ClaimReply>,
    orders: &[ClaimOrder],
) -> Result<(String, Vec<ClaimReply>, ShardRecord), StoreError> {
    let text = |record: &ShardRecord| {
        serde_json::to_string(record).map_err(|error| StoreError::Malformed(error.to_string()))
    };
    let value = text(&record)?;
    if value.len() <= FULL_BYTES {
        return Ok((value, replies, record));
    }
    for (order, reply) in orders.iter().zip(&mut replies) {
        match &order.change {
            ClaimChange::Take { mark, .. } if *reply == ClaimReply::Taken => {
                record.claims.retain(|_, entry| entry.mark != *mark);
                *reply = ClaimReply::Full;
            }
            ClaimChange::Finish { mark, .. } => drop_body(&mut record, &order.key, mark),
            _ => {}
        }
    }
    Ok((text(&record)?, replies, record))
}

fn drop_body(record: &mut ShardRecord, key: &str, mark: &str) {
    if let Some(entry) = record.claims.get_mut(key)
        && entry.mark == mark
        && let ClaimState::Done(answer) = &mut entry.state
        && let Some(bytes) = answer.body.bytes()
    {
        answer.body = RecordedBody::dropped(&bytes);
    }
}
