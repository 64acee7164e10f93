//! Claims of all services.

use std::collections::HashMap;
use std::fmt;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use lacewingrail_membership::Membership;
use lacewingrail_model::hash;
use lacewingrail_model::keys;
use lacewingrail_model::mark::{MarkIssuer, WriteMark};
use lacewingrail_model::message::{PeerRequest, PeerResponse};
use lacewingrail_model::store::StoreError;
use lacewingrail_wire::WireError;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::claims::answers::AnswerArchive;
use crate::claims::home::HomeDirectory;
use crate::claims::record::{
    ClaimChange, ClaimEntry, ClaimReply, ClaimState, INLINE_BYTES, RecordedAnswer, RecordedBody,
    STORED_BYTES,
};
use crate::claims::shard_writer::{ClaimOrder, ShardWriter, WriterContext};
use crate::lock;

/// Longest time for which a change waits for the process that writes its shard. It covers a group
/// commit after an unlucky wait; a longer silence costs the request more than a race would.
const FORWARD_LIMIT: Duration = Duration::from_millis(600);

/// Service and number of a shard.
type ShardId = (Arc<str>, u64);

/// Takes claims and records outcomes.
pub struct ClaimLedger {
    context: WriterContext,
    archive: AnswerArchive,
    issuer: MarkIssuer,
    peers: Option<ClaimPeers>,
    layouts: Mutex<HashMap<Arc<str>, u64>>,
    writers: Mutex<HashMap<ShardId, mpsc::Sender<ClaimOrder>>>,
}

/// Reaches the other entry processes.
pub struct ClaimPeers {
    /// Calls other processes.
    pub membership: Membership,
    /// Knows which process writes which shard.
    pub homes: Arc<HomeDirectory>,
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
    /// Creates a ledger; without `peers` it writes every shard itself.
    pub fn new(context: WriterContext, issuer: MarkIssuer, peers: Option<ClaimPeers>) -> Self {
        Self {
            archive: AnswerArchive::new(context.store.clone()),
            context,
            issuer,
            peers,
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
        let claim = HeldClaim { service: service.clone(), shard, key: key.to_owned(), mark };
        let change = ClaimChange::Take { mark: claim.mark.clone(), digest };
        let (reply, unclear) = self.change(&claim, change, deadline).await;
        if reply.is_err() && unclear {
            self.release_later(claim);
            return Err(reply.err().unwrap_or(ClaimError::Busy));
        }
        match reply? {
            ClaimReply::Taken => {
                self.context.metrics.note_claims(service, "taken", 1);
                self.context.metrics.note_claim_latency(started.elapsed());
                Ok(claim)
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
        let (service, key, mark) = (service.clone(), key.to_owned(), WriteMark::new());
        let asked = HeldClaim { service, shard, key, mark };
        match self.change(&asked, ClaimChange::Look, deadline).await.0? {
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
        self.change(claim, change, deadline).await.0.map(|_| ())
    }

    /// Changes a claim through the process that writes its shard, or else directly; also returns
    /// whether another process may still make the change after a failure.
    async fn change(
        &self,
        claim: &HeldClaim,
        change: ClaimChange,
        deadline: Instant,
    ) -> (Result<ClaimReply, ClaimError>, bool) {
        let mut unclear = false;
        if let Some(peers) = &self.peers
            && let Some(home) = peers.homes.home(&claim.service, claim.shard)
        {
            match self.forward(peers, &home, claim, &change, deadline).await {
                Ok(reply) => return (Ok(reply), false),
                Err(lost) => unclear = lost,
            }
        }
        let HeldClaim { service, shard, key, .. } = claim;
        (self.apply(service, *shard, key, change, deadline).await, unclear)
    }

    /// Hands a change to another process; fails with whether that process may still make it.
    async fn forward(
        &self,
        peers: &ClaimPeers,
        home: &str,
        claim: &HeldClaim,
        change: &ClaimChange,
        deadline: Instant,
    ) -> Result<ClaimReply, bool> {
        let remaining = deadline.saturating_duration_since(Instant::now()).min(FORWARD_LIMIT);
        let request = PeerRequest::ClaimForward {
            service: claim.service.to_string(),
            shard: claim.shard,
            key: claim.key.clone(),
            change: serde_json::to_string(change).map_err(|_| false)?,
            limit_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
        };
        self.context.metrics.note_claims(&claim.service, "forwarded", 1);
        match peers.membership.call(home, request, remaining).await {
            Ok(PeerResponse::Claim { reply }) => serde_json::from_str(&reply).map_err(|_| true),
            // The process could not write; trying here as well does no harm.
            Ok(_) => Err(true),
            Err(error) => {
                log::debug!("cannot forward a claim to {home}: {error}");
                peers.homes.suspect(home);
                Err(!matches!(error, WireError::Connect(_)))
            }
        }
    }

    /// Releases a claim that another process may have taken for a request that was refused.
    fn release_later(&self, claim: HeldClaim) {
        let change = ClaimChange::Finish { mark: claim.mark, state: ClaimState::NotRun };
        let deadline = ClaimOrder::finish_deadline();
        let order = ClaimOrder { key: claim.key, change, deadline, reply: oneshot::channel().0 };
        let _ = self.writer(&claim.service, claim.shard).try_send(order);
    }

    /// Changes a claim in this process, also on behalf of others.
    pub async fn apply(
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
