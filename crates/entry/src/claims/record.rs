//! The stored form of claims.

use std::collections::BTreeMap;
use std::time::Duration;

use lacewingrail_model::clock::UnixMillis;
use lacewingrail_model::mark::WriteMark;
use serde::{Deserialize, Serialize};

/// Time for which claims are kept.
pub const RETENTION: Duration = Duration::from_secs(24 * 3600);
/// Size of an encoded shard above which no new claim is taken, in bytes. The service takes values up
/// to 1 MB; the rest is room for the outcomes of claims that were taken before.
pub const FULL_BYTES: usize = 900_000;
/// Largest body that is kept within its claim, in bytes.
pub const INLINE_BYTES: usize = 1 << 10;
/// Largest body that is kept under a key of its own, in bytes.
pub const STORED_BYTES: usize = 64 << 10;

/// Holds the claims of one shard.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ShardRecord {
    /// Claims by customer and key.
    pub claims: BTreeMap<String, ClaimEntry>,
}

/// Holds one claim.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClaimEntry {
    /// Mark of the request that holds the claim.
    #[serde(rename = "m")]
    pub mark: WriteMark,
    /// Time of the claim.
    #[serde(rename = "t")]
    pub at: UnixMillis,
    /// Digest of method, path, query and body.
    #[serde(rename = "d")]
    pub digest: u64,
    /// State.
    #[serde(rename = "s")]
    pub state: ClaimState,
}

/// States what is known of a claimed request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ClaimState {
    /// It may run or have run.
    #[serde(rename = "c")]
    Claimed,
    /// It surely did not run and may be claimed again.
    #[serde(rename = "n")]
    NotRun,
    /// A backend server answered it.
    #[serde(rename = "d")]
    Done(RecordedAnswer),
}

/// Holds a backend's answer for a later question.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RecordedAnswer {
    /// HTTP status.
    #[serde(rename = "s")]
    pub status: u16,
    /// Content type; empty for none.
    #[serde(default, rename = "k", skip_serializing_if = "String::is_empty")]
    pub content_type: String,
    /// Body.
    #[serde(rename = "b")]
    pub body: RecordedBody,
}

/// Holds a body or says where it is.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RecordedBody {
    /// Text.
    #[serde(rename = "t")]
    Text(String),
    /// Bytes that are not text, in hexadecimal digits.
    #[serde(rename = "x")]
    Hex(String),
    /// Under a key of its own, see [`lacewingrail_model::keys::answer`].
    #[serde(rename = "k")]
    Stored(u64),
    /// Not kept; only its digest and length in bytes.
    #[serde(rename = "d")]
    Dropped(u64, u64),
}

/// Describes a change to one claim.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ClaimChange {
    /// Takes the claim unless another request has it.
    Take {
        /// Mark of the request.
        mark: WriteMark,
        /// Digest of the request.
        digest: u64,
    },
    /// Records the outcome of the request that holds the claim.
    Finish {
        /// Mark of the request.
        mark: WriteMark,
        /// Outcome.
        state: ClaimState,
    },
    /// Reads the claim.
    Look,
}

/// Answers a [`ClaimChange`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ClaimReply {
    /// The request holds the claim.
    Taken,
    /// Another request has it.
    Existing(ClaimEntry),
    /// The outcome is recorded; false when the request does not hold the claim.
    Finished(bool),
    /// The claim as it is.
    Seen(Option<ClaimEntry>),
    /// The shard is full.
    Full,
}

impl ClaimEntry {
    /// Returns whether the claim is older than it is kept.
    pub fn is_expired(&self, now: UnixMillis) -> bool {
        let retention = u64::try_from(RETENTION.as_millis()).unwrap_or(u64::MAX);
        self.at.saturating_add(retention) < now
    }
}

impl ShardRecord {
    /// Drops claims that are older than they are kept.
    pub fn prune(&mut self, now: UnixMillis) -> bool {
        let before = self.claims.len();
        self.claims.retain(|_, entry| !entry.is_expired(now));
        self.claims.len() != before
    }

    /// Applies one change; returns its answer and whether the record changed.
    ///
    /// Applied again after its own lost answer, a change finds its effect and answers the same.
    pub fn apply(
        &mut self,
        key: &str,
        change: &ClaimChange,
        now: UnixMillis,
    ) -> (ClaimReply, bool) {
        match change {
            ClaimChange::Take { mark, digest } => self.take(key, mark, *digest, now),
            ClaimChange::Finish { mark, state } => self.finish(key, mark, state, now),
            ClaimChange::Look => (ClaimReply::Seen(self.claims.get(key).cloned()), false),
        }
    }

    fn take(&mut self, key: &str, mark: &str, digest: u64, now: UnixMillis) -> (ClaimReply, bool) {
        if let Some(entry) = self.claims.get(key) {
            if entry.mark == mark && entry.state == ClaimState::Claimed {
                return (ClaimReply::Taken, false);
            }
            // A request that was released never takes its claim again, however late its change comes.
            if entry.state != ClaimState::NotRun || entry.mark == mark {
                return (ClaimReply::Existing(entry.clone()), false);
            }
        }
        let state = ClaimState::Claimed;
        let entry = ClaimEntry { mark: mark.to_owned(), at: now, digest, state };
        self.claims.insert(key.to_owned(), entry);
        (ClaimReply::Taken, true)
    }

    fn finish(
        &mut self,
        key: &str,
        mark: &str,
        state: &ClaimState,
        now: UnixMillis,
    ) -> (ClaimReply, bool) {
        match self.claims.get_mut(key) {
            Some(entry) if entry.mark == mark => {
                let changed = entry.state != *state;
                entry.state = state.clone();
                (ClaimReply::Finished(true), changed)
            }
            // The write of the claim may still be on its way to the service. A write in its place
            // raises the revision, so that it can no longer take effect.
            None if *state == ClaimState::NotRun => {
                let state = state.clone();
                let entry = ClaimEntry { mark: mark.to_owned(), at: now, digest: 0, state };
                self.claims.insert(key.to_owned(), entry);
                (ClaimReply::Finished(true), true)
            }
            _ => (ClaimReply::Finished(false), false),
        }
    }
}

impl RecordedBody {
    /// Encodes a body that is kept within its claim.
    pub fn inline(bytes: &[u8]) -> Self {
        match std::str::from_utf8(bytes) {
            Ok(text) => Self::Text(text.to_owned()),
            Err(_) => Self::Hex(encode_hex(bytes)),
        }
    }

    /// Describes a body that is not kept.
    pub fn dropped(bytes: &[u8]) -> Self {
        Self::Dropped(lacewingrail_model::hash::digest(bytes), bytes.len() as u64)
    }

    /// Returns the bytes of a body that is kept here.
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
