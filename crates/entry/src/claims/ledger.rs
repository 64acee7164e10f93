//! Acquisition and lookup of claims, and records of their outcomes, for all services.

use std::collections::HashMap;
use std::fmt;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use lacewingrail_membership::Membership;
use lacewingrail_model::hash;
use lacewingrail_model::keys;
use lacewingrail_model::message::{PeerRequest, PeerResponse};
use lacewingrail_model::store::StoreError;
use lacewingrail_model::write_id::{WriteId, WriteIdGenerator};
use lacewingrail_wire::WireError;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::claims::record::{
    ClaimChange, ClaimEntry, ClaimReply, ClaimState, MAX_INLINE_BODY_BYTES, MAX_STORED_BODY_BYTES,
    RecordedAnswer, RecordedBody,
};
use crate::claims::response_archive::ResponseArchive;
use crate::claims::shard_writer::{PendingChange, ShardWriter, WriterContext};
use crate::claims::writer_directory::WriterDirectory;
use crate::lock;

/// Maximum time for the response of the process that writes a shard. It covers a full group commit
/// interval and the write after it; a longer timeout would cost a request more than a write
/// conflict.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(600);

/// Service and number of a shard.
type ShardId = (Arc<str>, u64);

/// Acquires claims and records outcomes, through the process that writes the shard.
pub struct ClaimLedger {
    context: WriterContext,
    archive: ResponseArchive,
    generator: WriteIdGenerator,
    peers: Option<ClaimPeers>,
    shard_counts: Mutex<HashMap<Arc<str>, u64>>,
    writers: Mutex<HashMap<ShardId, mpsc::Sender<PendingChange>>>,
}

/// Access of a ledger to the other entry processes, for changes of shards that those write.
pub struct ClaimPeers {
    /// Sends calls to other processes.
    pub membership: Membership,
    /// Selects the process that writes a shard.
    pub directory: Arc<WriterDirectory>,
}

/// Handle of a claim: its shard, its key and the write id of the request that acquires it, which is
/// empty in a read.
#[derive(Clone, Debug)]
pub struct ClaimHandle {
    service: Arc<str>,
    shard: u64,
    key: String,
    write_id: WriteId,
}

/// Cause of a failure to acquire, change or read a claim.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimError {
    /// Another request with the same key holds the claim or has completed.
    Existing(Box<ClaimEntry>),
    /// The shard is full; more shards are needed.
    Full,
    /// The key-value service did not confirm the change.
    Store(StoreError),
    /// Too many changes are queued for the shard.
    Busy,
}

/// Stored number of shards of a service. It must not change while claims are stored, or a key would
/// be looked up in another shard than the one with its claim.
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
    /// Creates a ledger; without `peers` it writes every shard itself.
    pub fn new(
        context: WriterContext,
        generator: WriteIdGenerator,
        peers: Option<ClaimPeers>,
    ) -> Self {
        Self {
            archive: ResponseArchive::new(context.store.clone()),
            context,
            generator,
            peers,
            shard_counts: Mutex::default(),
            writers: Mutex::default(),
        }
    }

    /// Acquires the claim of a key; `shards` is the configured number of shards, which takes effect
    /// only with the first claim of a service.
    ///
    /// # Errors
    /// Reports the existing claim, a full shard, or a change that was not confirmed by the
    /// deadline.
    pub async fn acquire(
        &self,
        service: &Arc<str>,
        key: &str,
        digest: u64,
        shards: u32,
        deadline: Instant,
    ) -> Result<ClaimHandle, ClaimError> {
        let started = Instant::now();
        let shard = hash::shard(key, self.shard_count(service, shards).await?);
        let write_id = self.generator.generate();
        let claim = ClaimHandle { service: service.clone(), shard, key: key.to_owned(), write_id };
        let change = ClaimChange::Take { mark: claim.write_id.clone(), digest };
        let (reply, maybe_applied) = self.submit(&claim, change, deadline).await;
        if reply.is_err() && maybe_applied {
            self.release_in_background(claim);
            return Err(reply.err().unwrap_or(ClaimError::Busy));
        }
        match reply? {
            ClaimReply::Taken => {
                self.context.metrics.record_claim_events(service, "taken", 1);
                self.context.metrics.record_claim_latency(started.elapsed());
                Ok(claim)
            }
            ClaimReply::Existing(entry) => Err(ClaimError::Existing(Box::new(entry))),
            _ => Err(ClaimError::Full),
        }
    }

    /// Records that the request of a claim did not run, so that its key can be claimed again.
    ///
    /// # Errors
    /// Reports a change that was not confirmed; failed writes are retried in the background.
    pub async fn release(&self, claim: &ClaimHandle) -> Result<(), ClaimError> {
        self.record_outcome(claim, ClaimState::NotRun).await
    }

    /// Records the response to the request of a claim; its body is stored up to
    /// [`MAX_STORED_BODY_BYTES`].
    ///
    /// # Errors
    /// Reports a change that was not confirmed; failed writes are retried in the background.
    pub async fn record_response(
        &self,
        claim: &ClaimHandle,
        status: u16,
        content_type: &str,
        body: &[u8],
    ) -> Result<(), ClaimError> {
        let body = if body.len() <= MAX_INLINE_BODY_BYTES {
            RecordedBody::inline(body)
        } else if body.len() <= MAX_STORED_BODY_BYTES {
            self.store_body(claim, body).await
        } else {
            RecordedBody::dropped(body)
        };
        let content_type = content_type.to_owned();
        self.record_outcome(claim, ClaimState::Done(RecordedAnswer { status, content_type, body }))
            .await
    }

    /// Reads the claim of a key; `None` if the key is not claimed.
    ///
    /// # Errors
    /// Reports that the claim could not be read by the deadline.
    pub async fn read(
        &self,
        service: &Arc<str>,
        key: &str,
        shards: u32,
        deadline: Instant,
    ) -> Result<Option<ClaimEntry>, ClaimError> {
        let shard = hash::shard(key, self.shard_count(service, shards).await?);
        let (service, key, write_id) = (service.clone(), key.to_owned(), WriteId::new());
        let queried = ClaimHandle { service, shard, key, write_id };
        match self.submit(&queried, ClaimChange::Look, deadline).await.0? {
            ClaimReply::Seen(entry) => Ok(entry),
            _ => Ok(None),
        }
    }

    /// Returns the body of a recorded response; `None` if it is not stored or cannot be read.
    pub async fn read_body(&self, service: &str, response: &RecordedAnswer) -> Option<Vec<u8>> {
        match &response.body {
            RecordedBody::Stored(hash) => self.archive.read(service, *hash).await.ok().flatten(),
            body => body.bytes(),
        }
    }

    /// Writes a body under its own key; if that fails, the outcome is recorded without the body.
    async fn store_body(&self, claim: &ClaimHandle, body: &[u8]) -> RecordedBody {
        let unique = format!("{}\n{}", claim.key, claim.write_id);
        let hash = hash::digest(unique.as_bytes());
        match self.archive.write(&claim.service, hash, body).await {
            Ok(()) => RecordedBody::Stored(hash),
            Err(error) => {
                log::debug!("recording a response without its body: {error}");
                RecordedBody::dropped(body)
            }
        }
    }

    async fn record_outcome(
        &self,
        claim: &ClaimHandle,
        state: ClaimState,
    ) -> Result<(), ClaimError> {
        let change = ClaimChange::Finish { mark: claim.write_id.clone(), state };
        let deadline = PendingChange::outcome_deadline();
        self.submit(claim, change, deadline).await.0.map(|_| ())
    }

    /// Sends a change to the process that writes the shard, or applies it in this process if that
    /// fails; also returns whether the other process may still apply it.
    async fn submit(
        &self,
        claim: &ClaimHandle,
        change: ClaimChange,
        deadline: Instant,
    ) -> (Result<ClaimReply, ClaimError>, bool) {
        let mut maybe_applied = false;
        if let Some(peers) = &self.peers
            && let Some(remote_writer) = peers.directory.remote_writer(&claim.service, claim.shard)
        {
            match self.forward(peers, &remote_writer, claim, &change, deadline).await {
                Ok(reply) => return (Ok(reply), false),
                Err(applied) => maybe_applied = applied,
            }
        }
        let ClaimHandle { service, shard, key, .. } = claim;
        (self.apply(service, *shard, key, change, deadline).await, maybe_applied)
    }

    /// Sends a change to another process; the error states whether that process may still apply it.
    async fn forward(
        &self,
        peers: &ClaimPeers,
        remote_writer: &str,
        claim: &ClaimHandle,
        change: &ClaimChange,
        deadline: Instant,
    ) -> Result<ClaimReply, bool> {
        let remaining = deadline.saturating_duration_since(Instant::now()).min(FORWARD_TIMEOUT);
        let request = PeerRequest::ClaimForward {
            service: claim.service.to_string(),
            shard: claim.shard,
            key: claim.key.clone(),
            change: serde_json::to_string(change).map_err(|_| false)?,
            limit_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
        };
        self.context.metrics.record_claim_events(&claim.service, "forwarded", 1);
        match peers.membership.call(remote_writer, request, remaining).await {
            Ok(PeerResponse::Claim { reply }) => serde_json::from_str(&reply).map_err(|_| true),
            // The process could not write; changes are idempotent, so this process may try as well.
            Ok(_) => Err(true),
            Err(error) => {
                log::debug!("cannot forward a claim change to {remote_writer}: {error}");
                peers.directory.mark_unresponsive(remote_writer);
                Err(!matches!(error, WireError::Connect(_)))
            }
        }
    }

    /// Releases a claim that another process may have written on behalf of a refused request.
    fn release_in_background(&self, claim: ClaimHandle) {
        let change = ClaimChange::Finish { mark: claim.write_id, state: ClaimState::NotRun };
        let deadline = PendingChange::outcome_deadline();
        let pending =
            PendingChange { key: claim.key, change, deadline, reply: oneshot::channel().0 };
        let _ = self.writer(&claim.service, claim.shard).try_send(pending);
    }

    /// Applies a change in this process, also on behalf of other processes.
    ///
    /// # Errors
    /// Reports a full queue, an expired deadline or the failure of the key-value service.
    pub async fn apply(
        &self,
        service: &Arc<str>,
        shard: u64,
        key: &str,
        change: ClaimChange,
        deadline: Instant,
    ) -> Result<ClaimReply, ClaimError> {
        let (reply, receiver) = oneshot::channel();
        let mut pending = PendingChange { key: key.to_owned(), change, deadline, reply };
        loop {
            match self.writer(service, shard).try_send(pending) {
                Ok(()) => break,
                Err(mpsc::error::TrySendError::Full(_)) => return Err(ClaimError::Busy),
                // The idle writer has ended; a new one is started.
                Err(mpsc::error::TrySendError::Closed(unsent)) => pending = unsent,
            }
            lock(&self.writers).remove(&(service.clone(), shard));
        }
        let dropped = || StoreError::Unavailable("the claim expired before it was written".into());
        receiver.await.unwrap_or_else(|_| Err(dropped())).map_err(ClaimError::from)
    }

    /// Returns the channel to the writer of a shard in this process; starts the writer if needed.
    fn writer(&self, service: &Arc<str>, shard: u64) -> mpsc::Sender<PendingChange> {
        let mut writers = lock(&self.writers);
        let writer = writers.entry((service.clone(), shard)).or_insert_with(|| {
            ShardWriter::start(self.context.clone(), service.clone(), keys::claims(service, shard))
        });
        writer.clone()
    }

    /// Returns the number of shards of a service, which its first claim stores.
    async fn shard_count(&self, service: &Arc<str>, configured: u32) -> Result<u64, StoreError> {
        if let Some(shards) = lock(&self.shard_counts).get(service) {
            return Ok(*shards);
        }
        let key = keys::claim_layout(service);
        let stored = match self.context.store.get(&key).await? {
            Some(entry) => entry.value,
            None => {
                let initial = ShardLayout { shards: u64::from(configured.max(1)) };
                let value = serde_json::to_string(&initial)
                    .map_err(|error| StoreError::Malformed(error.to_string()))?;
                match self.context.store.put(&key, value.clone(), 0, None).await {
                    Ok(_) => value,
                    // Another instance stored it first, or this write took effect.
                    Err(StoreError::Conflict { .. } | StoreError::Unclear(_)) => {
                        let missing = || StoreError::Unavailable("the layout is missing".into());
                        self.context.store.get(&key).await?.ok_or_else(missing)?.value
                    }
                    Err(error) => return Err(error),
                }
            }
        };
        let layout: ShardLayout = serde_json::from_str(&stored)
            .map_err(|error| StoreError::Malformed(format!("{key}: {error}")))?;
        if layout.shards == 0 {
            return Err(StoreError::Malformed(format!("{key}: no shards")));
        }
        if layout.shards != u64::from(configured) {
            log::warn!(
                "claims of {service} are in {} shards, not {configured}; see docs/at-most-once.md",
                layout.shards
            );
        }
        lock(&self.shard_counts).insert(service.clone(), layout.shards);
        Ok(layout.shards)
    }
}
