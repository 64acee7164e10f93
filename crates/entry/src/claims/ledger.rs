//! Claims of all services.

use std::collections::HashMap;
use std::fmt;
use std::sync::{Arc, Mutex};

use lacewingrail_model::hash;
use lacewingrail_model::keys;
use lacewingrail_model::mark::{MarkIssuer, WriteMark};
use lacewingrail_model::store::StoreError;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::claims::answers::AnswerArchive;
use crate::claims::record::{
    ClaimChange, ClaimEntry, ClaimReply, ClaimState, INLINE_BYTES, RecordedAnswer, RecordedBody,
    STORED_BYTES,
};
use crate::claims::shard_writer::{ClaimOrder, ShardWriter, WriterContext};
use crate::lock;

/// Service and number of a shard.
type ShardId = (Arc<str>, u64);

/// Takes claims and records outcomes.
pub struct ClaimLedger {
    context: WriterContext,
    archive: AnswerArchive,
    issuer: MarkIssuer,
    layouts: Mutex<HashMap<Arc<str>, u64>>,
    writers: Mutex<HashMap<ShardId, mpsc::Sender<ClaimOrder>>>,
}

/// Identifies a claim that a request holds.
#[derive(Clone, Debug)]
pub struct HeldClaim {
    service: Arc<str>,
    shard: u64,
    key: String,
    mark: WriteMark,
}

/// States why a claim was not taken.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimError {
    /// Another request has the claim.
    Existing(Box<ClaimEntry>),
    /// The shard is full.
    Full,
    /// The key-value service did not confirm the claim.
    Store(StoreError),
    /// Too many claims wait.
    Busy,
}

/// Fixes the number of shards of a service. It never changes while claims are kept, because a key
/// would then be looked up in another shard than the one that holds its claim.
#[derive(Deserialize, Serialize)]
struct ShardLayout {
    shards: u64,
}

impl fmt::Display for ClaimError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Existing(_) => formatter.write_str("another request has the claim"),
            Self::Full => formatter.write_str(
                "the claims of the last 24 h fill their shard; raise claim_shards of the service",
            ),
            Self::Store(error) => write!(formatter, "the claim is not confirmed: {error}"),
            Self::Busy => formatter.write_str("too many claims wait; retry later"),
        }
    }
}

impl From<StoreError> for ClaimError {
    fn from(error: StoreError) -> Self {
        Self::Store(error)
    }
}

impl ClaimLedger {
    /// Creates a ledger.
    pub fn new(context: WriterContext, issuer: MarkIssuer) -> Self {
        Self {
            archive: AnswerArchive::new(context.store.clone()),
            context,
            issuer,
            layouts: Mutex::default(),
            writers: Mutex::default(),
        }
    }

    /// Takes the claim of a key until the deadline; `shards` counts for the first claim of a service.
    pub async fn take(
        &self,
        service: &Arc<str>,
        key: &str,
        digest: u64,
        shards: u32,
        deadline: Instant,
    ) -> Result<HeldClaim, ClaimError> {
        let started = Instant::now();
        let shard = hash::shard(key, self.layout(service, shards).await?);
        let mark = self.issuer.issue();
        let change = ClaimChange::Take { mark: mark.clone(), digest };
        let reply = self.order(service, shard, key, change, deadline).await?;
        match reply {
            ClaimReply::Taken => {
                self.context.metrics.note_claims(service, "taken", 1);
                self.context.metrics.note_claim_latency(started.elapsed());
                Ok(HeldClaim { service: service.clone(), shard, key: key.to_owned(), mark })
            }
            ClaimReply::Existing(entry) => Err(ClaimError::Existing(Box::new(entry))),
            _ => Err(ClaimError::Full),
        }
    }

    /// Records that the request of a claim did not run.
    pub async fn finish_not_run(&self, claim: &HeldClaim) -> Result<(), ClaimError> {
        self.finish(claim, ClaimState::NotRun).await
    }

    /// Records the answer to the request of a claim.
    pub async fn finish_done(
        &self,
        claim: &HeldClaim,
        status: u16,
        content_type: &str,
        body: &[u8],
    ) -> Result<(), ClaimError> {
        let body = if body.len() <= INLINE_BYTES {
            RecordedBody::inline(body)
        } else if body.len() <= STORED_BYTES {
            self.store_body(claim, body).await
        } else {
            RecordedBody::dropped(body)
        };
        let content_type = content_type.to_owned();
        self.finish(claim, ClaimState::Done(RecordedAnswer { status, content_type, body })).await
    }

    /// Reads the claim of a key.
    pub async fn look(
        &self,
        service: &Arc<str>,
        key: &str,
        shards: u32,
        deadline: Instant,
    ) -> Result<Option<ClaimEntry>, ClaimError> {
        let shard = hash::shard(key, self.layout(service, shards).await?);
        match self.order(service, shard, key, ClaimChange::Look, deadline).await? {
            ClaimReply::Seen(entry) => Ok(entry),
            _ => Ok(None),
        }
    }

    /// Returns the body of a recorded answer; nothing when it is not kept.
    pub async fn body(&self, service: &str, answer: &RecordedAnswer) -> Option<Vec<u8>> {
        match &answer.body {
            RecordedBody::Stored(hash) => self.archive.read(service, *hash).await.ok().flatten(),
            body => body.bytes(),
        }
    }

    /// Writes a body under its own key; it is dropped where that fails, but its outcome is kept.
    async fn store_body(&self, claim: &HeldClaim, body: &[u8]) -> RecordedBody {
        let unique = format!("{}\n{}", claim.key, claim.mark);
        let hash = hash::digest(unique.as_bytes());
        match self.archive.write(&claim.service, hash, body).await {
            Ok(()) => RecordedBody::Stored(hash),
            Err(error) => {
                log::debug!("an answer is recorded without its body: {error}");
                RecordedBody::dropped(body)
            }
        }
    }

    async fn finish(&self, claim: &HeldClaim, state: ClaimState) -> Result<(), ClaimError> {
        let change = ClaimChange::Finish { mark: claim.mark.clone(), state };
        let deadline = ClaimOrder::finish_deadline();
        self.order(&claim.service, claim.shard, &claim.key, change, deadline).await.map(|_| ())
    }

    async fn order(
        &self,
        service: &Arc<str>,
        shard: u64,
        key: &str,
        change: ClaimChange,
        deadline: Instant,
    ) -> Result<ClaimReply, ClaimError> {
        let (reply, receiver) = oneshot::channel();
        let mut order = ClaimOrder { key: key.to_owned(), change, deadline, reply };
        loop {
            match self.writer(service, shard).try_send(order) {
                Ok(()) => break,
                Err(mpsc::error::TrySendError::Full(_)) => return Err(ClaimError::Busy),
                // The writer ended for lack of work; a new one takes over.
                Err(mpsc::error::TrySendError::Closed(unsent)) => order = unsent,
            }
            lock(&self.writers).remove(&(service.clone(), shard));
        }
        let lost = || StoreError::Unavailable("the claim expired before it was written".into());
        receiver.await.unwrap_or_else(|_| Err(lost())).map_err(ClaimError::from)
    }

    fn writer(&self, service: &Arc<str>, shard: u64) -> mpsc::Sender<ClaimOrder> {
        let mut writers = lock(&self.writers);
        let writer = writers.entry((service.clone(), shard)).or_insert_with(|| {
            ShardWriter::start(self.context.clone(), service.clone(), keys::claims(service, shard))
        });
        writer.clone()
    }

    /// Returns the number of shards of a service, fixed by its first claim.
    async fn layout(&self, service: &Arc<str>, wanted: u32) -> Result<u64, StoreError> {
        if let Some(shards) = lock(&self.layouts).get(service) {
            return Ok(*shards);
        }
        let key = keys::claim_layout(service);
        let entry = match self.context.store.get(&key).await? {
            Some(entry) => entry.value,
            None => {
                let first = ShardLayout { shards: u64::from(wanted.max(1)) };
                let value = serde_json::to_string(&first)
                    .map_err(|error| StoreError::Malformed(error.to_string()))?;
                match self.context.store.put(&key, value.clone(), 0, None).await {
                    Ok(_) => value,
                    // Another instance was first, or the own write took effect.
                    Err(StoreError::Conflict { .. } | StoreError::Unclear(_)) => {
                        let missing = || StoreError::Unavailable("the layout is missing".into());
                        self.context.store.get(&key).await?.ok_or_else(missing)?.value
                    }
                    Err(error) => return Err(error),
                }
            }
        };
        let layout: ShardLayout = serde_json::from_str(&entry)
            .map_err(|error| StoreError::Malformed(format!("{key}: {error}")))?;
        if layout.shards == 0 {
            return Err(StoreError::Malformed(format!("{key}: no shards")));
        }
        if layout.shards != u64::from(wanted) {
            log::warn!(
                "{service} keeps its claims in {} shards, not in {wanted}; see docs/at-most-once.md",
                layout.shards
            );
        }
        lock(&self.layouts).insert(service.clone(), layout.shards);
        Ok(layout.shards)
    }
}
