//! Stored form of claims and the changes to them.

use std::collections::BTreeMap;
use std::time::Duration;

use lacewingrail_model::clock::UnixMillis;
use lacewingrail_model::write_id::WriteId;
use serde::{Deserialize, Serialize};

/// Time from acquisition for which a claim and its outcome are stored; see [`ClaimEntry::at`].
pub const CLAIM_RETENTION: Duration = Duration::from_secs(24 * 3600);
/// Maximum size of an encoded shard that accepts new claims, in bytes. The key-value service
/// accepts values up to 1 MB; the rest is reserved for the outcomes of existing claims.
pub const MAX_SHARD_BYTES: usize = 900_000;
/// Maximum size of a response body that is stored within its claim, in bytes.
pub const MAX_INLINE_BODY_BYTES: usize = 1 << 10;
/// Maximum size of a response body that is stored under its own key, in bytes; larger ones are
/// dropped.
pub const MAX_STORED_BODY_BYTES: usize = 64 << 10;

/// Claims of one shard, stored as one value in the key-value service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ShardRecord {
    /// Claims by customer and idempotency key, as `customer/key`.
    pub claims: BTreeMap<String, ClaimEntry>,
}

/// Claim of one idempotency key, with the outcome of its request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClaimEntry {
    /// Write id of the request that holds the claim; unique.
    #[serde(rename = "m")]
    pub mark: WriteId,
    /// Time at which the claim was acquired, or released before its write arrived.
    #[serde(rename = "t")]
    pub at: UnixMillis,
    /// Digest of method, path, query and body, which detects reuse of a key for another request.
    #[serde(rename = "d")]
    pub digest: u64,
    /// Whether the request has run, and its response.
    #[serde(rename = "s")]
    pub state: ClaimState,
}

/// Whether a claimed request has run, as far as recorded.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ClaimState {
    /// It may be running or have run.
    #[serde(rename = "c")]
    Claimed,
    /// It did not run, and another request may claim the key.
    #[serde(rename = "n")]
    NotRun,
    /// A backend server responded to it.
    #[serde(rename = "d")]
    Done(RecordedAnswer),
}

/// Response of a backend server, recorded for retries and outcome queries.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RecordedAnswer {
    /// HTTP status code.
    #[serde(rename = "s")]
    pub status: u16,
    /// Content type; empty for none.
    #[serde(default, rename = "k", skip_serializing_if = "String::is_empty")]
    pub content_type: String,
    /// Body, or where it is stored.
    #[serde(rename = "b")]
    pub body: RecordedBody,
}

/// Body of a recorded response, or where it is stored.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RecordedBody {
    /// The body, which is valid UTF-8.
    #[serde(rename = "t")]
    Text(String),
    /// The body in hexadecimal digits; used where it is not valid UTF-8.
    #[serde(rename = "x")]
    Hex(String),
    /// Hash that selects the key under which the body is stored, see
    /// [`lacewingrail_model::keys::archived_response`].
    #[serde(rename = "k")]
    Stored(u64),
    /// Digest and length in bytes of a body that is not stored.
    #[serde(rename = "d")]
    Dropped(u64, u64),
}

/// Change or read of one claim; its JSON form is also sent between entry processes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ClaimChange {
    /// Acquires the claim unless another request holds it.
    Take {
        /// Write id generated for this claim.
        mark: WriteId,
        /// Digest of method, path, query and body of the request.
        digest: u64,
    },
    /// Records the outcome of the request that holds the claim.
    Finish {
        /// Write id with which the request acquired the claim.
        mark: WriteId,
        /// Outcome to record.
        state: ClaimState,
    },
    /// Reads the claim without a change.
    Look,
}

/// Reply to a [`ClaimChange`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ClaimReply {
    /// The request now holds the claim.
    Taken,
    /// Another request with the same key holds the claim or has completed.
    Existing(ClaimEntry),
    /// Whether the outcome is recorded; false if the request does not hold the claim.
    Finished(bool),
    /// The current claim; `None` if the key is not claimed.
    Seen(Option<ClaimEntry>),
    /// The shard is full and accepts no new claims.
    Full,
}

impl ClaimEntry {
    /// Returns whether the claim is older than [`CLAIM_RETENTION`].
    pub fn is_expired(&self, now: UnixMillis) -> bool {
        let retention = u64::try_from(CLAIM_RETENTION.as_millis()).unwrap_or(u64::MAX);
        self.at.saturating_add(retention) < now
    }
}

impl ShardRecord {
    /// Removes expired claims; returns whether there were any.
    pub fn remove_expired(&mut self, now: UnixMillis) -> bool {
        let before = self.claims.len();
        self.claims.retain(|_, entry| !entry.is_expired(now));
        self.claims.len() != before
    }

    /// Applies one change; returns its reply and whether the record changed.
    ///
    /// Changes are idempotent: a change applied again after its reply was lost returns the same
    /// reply.
    pub fn apply(
        &mut self,
        key: &str,
        change: &ClaimChange,
        now: UnixMillis,
    ) -> (ClaimReply, bool) {
        match change {
            ClaimChange::Take { mark, digest } => self.acquire_claim(key, mark, *digest, now),
            ClaimChange::Finish { mark, state } => self.record_outcome(key, mark, state, now),
            ClaimChange::Look => (ClaimReply::Seen(self.claims.get(key).cloned()), false),
        }
    }

    fn acquire_claim(
        &mut self,
        key: &str,
        write_id: &str,
        digest: u64,
        now: UnixMillis,
    ) -> (ClaimReply, bool) {
        if let Some(entry) = self.claims.get(key) {
            if entry.mark == write_id && entry.state == ClaimState::Claimed {
                return (ClaimReply::Taken, false);
            }
            // A released request must not reacquire its claim, however late its change arrives.
            if entry.state != ClaimState::NotRun || entry.mark == write_id {
                return (ClaimReply::Existing(entry.clone()), false);
            }
        }
        let state = ClaimState::Claimed;
        let entry = ClaimEntry { mark: write_id.to_owned(), at: now, digest, state };
        self.claims.insert(key.to_owned(), entry);
        (ClaimReply::Taken, true)
    }

    fn record_outcome(
        &mut self,
        key: &str,
        write_id: &str,
        state: &ClaimState,
        now: UnixMillis,
    ) -> (ClaimReply, bool) {
        match self.claims.get_mut(key) {
            Some(entry) if entry.mark == write_id => {
                let changed = entry.state != *state;
                entry.state = state.clone();
                (ClaimReply::Finished(true), changed)
            }
            // The write that acquires the claim may still be in transit. Writing an entry in its
            // place raises the revision, so that the late write fails.
            None if *state == ClaimState::NotRun => {
                let state = state.clone();
                let entry = ClaimEntry { mark: write_id.to_owned(), at: now, digest: 0, state };
                self.claims.insert(key.to_owned(), entry);
                (ClaimReply::Finished(true), true)
            }
            _ => (ClaimReply::Finished(false), false),
        }
    }
}

impl RecordedBody {
    /// Encodes a body, as text if it is valid UTF-8.
    pub fn inline(bytes: &[u8]) -> Self {
        match std::str::from_utf8(bytes) {
            Ok(text) => Self::Text(text.to_owned()),
            Err(_) => Self::Hex(encode_hex(bytes)),
        }
    }

    /// Returns the record of a body that is not stored: its digest and length.
    pub fn dropped(bytes: &[u8]) -> Self {
        Self::Dropped(lacewingrail_model::hash::digest(bytes), bytes.len() as u64)
    }

    /// Returns the bytes of an inline body; `None` if it is stored elsewhere or dropped.
    pub fn bytes(&self) -> Option<Vec<u8>> {
        match self {
            Self::Text(text) => Some(text.clone().into_bytes()),
            Self::Hex(digits) => decode_hex(digits),
            Self::Stored(_) | Self::Dropped(..) => None,
        }
    }
}

fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn decode_hex(digits: &str) -> Option<Vec<u8>> {
    if !digits.is_ascii() || !digits.len().is_multiple_of(2) {
        return None;
    }
    let pairs = (0..digits.len()).step_by(2);
    pairs.map(|start| u8::from_str_radix(&digits[start..start + 2], 16).ok()).collect()
}
