//! Interface to the platform's key-value service.
//!
//! The service offers compare-and-swap, leases and watches. Each call counts against its rate limits,
//! and a waiting watch counts as one call. The answer to a write may be lost after the write took
//! effect: the call then returns [`StoreError::Unclear`], and the caller must read the value again and
//! compare the write id, see [`crate::write_id`].

use std::fmt;
use std::time::Duration;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};

/// Revision of the whole service, increased by each write; 0 means that a key does not exist.
pub type Revision = u64;
/// Id of a lease, issued by the service.
pub type LeaseId = u64;

/// Maximum size of a value that the service accepts, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// A key with its current value.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreEntry {
    /// Key, including the prefix that it was listed by.
    pub key: String,
    /// Value, UTF-8 text.
    pub value: String,
    /// Revision of the newest write to this key.
    pub revision: Revision,
}

/// A change of one key, reported by a watch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreEvent {
    /// Key that changed.
    pub key: String,
    /// New value; `None` when the key was deleted.
    pub value: Option<String>,
    /// Revision that the change created.
    pub revision: Revision,
}

/// Result of a watch call.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WatchBatch {
    /// Changes after the requested revision in order; empty when the call timed out without one.
    pub events: Vec<StoreEvent>,
    /// Revision to pass to the next watch call.
    pub revision: Revision,
    /// Whether the service has discarded the changes after the requested revision. If so, `events`
    /// contains every existing key of the prefix, and any other key does not exist.
    #[serde(default)]
    pub reset: bool,
}

/// Failure of a call to the service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreError {
    /// The expected revision is not the current one; nothing was written.
    Conflict {
        /// Current revision of the key; 0 when it does not exist.
        current: Revision,
    },
    /// The lease does not exist or has expired; nothing was written.
    LeaseLapsed,
    /// The value is over the size limit; nothing was written.
    TooLarge {
        /// Size of the rejected value in bytes.
        bytes: usize,
    },
    /// The call had no effect: the service could not be reached or rejected it, for the given cause.
    Unavailable(String),
    /// The call may have taken effect, but its response was lost, for the given cause.
    Unclear(String),
    /// The stored value could not be decoded as the expected record, for the given cause.
    Malformed(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict { current } => {
                write!(formatter, "the key changed to revision {current}; read it and try again")
            }
            Self::LeaseLapsed => formatter.write_str("the lease has lapsed; acquire a new one"),
            Self::TooLarge { bytes } => {
                write!(formatter, "the value has {bytes} bytes, over {MAX_VALUE_BYTES}; split it")
            }
            Self::Unavailable(cause) => {
                write!(formatter, "the key-value service is unavailable ({cause}); retry later")
            }
            Self::Unclear(cause) => {
                write!(formatter, "the outcome of the write is unknown ({cause}); read it again")
            }
            Self::Malformed(cause) => {
                write!(formatter, "the stored value is malformed ({cause}); restore it")
            }
        }
    }
}

impl std::error::Error for StoreError {}

/// Client of the platform's key-value service.
#[async_trait]
pub trait KeyValueService: Send + Sync {
    /// Reads one key; `None` when it does not exist.
    async fn get(&self, key: &str) -> Result<Option<StoreEntry>, StoreError>;

    /// Reads all keys with a prefix, in key order.
    async fn list(&self, prefix: &str) -> Result<Vec<StoreEntry>, StoreError>;

    /// Writes a key if its revision is `expected` (0: must not exist), optionally bound to a lease.
    ///
    /// Returns the new revision of the key.
    async fn put(
        &self,
        key: &str,
        value: String,
        expected: Revision,
        lease: Option<LeaseId>,
    ) -> Result<Revision, StoreError>;

    /// Deletes a key if its revision is `expected`.
    async fn delete(&self, key: &str, expected: Revision) -> Result<(), StoreError>;

    /// Waits up to `wait` for changes of keys with a prefix after a revision.
    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchBatch, StoreError>;

    /// Creates a lease; the keys bound to it are deleted when it expires.
    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError>;

    /// Renews a lease for its full TTL.
    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError>;

    /// Ends a lease and deletes the keys bound to it.
    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError>;
}

/// Several writes and deletes that take effect atomically.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoreBatch {
    /// Keys that must be at a revision when the batch is committed.
    pub expected: Vec<KeyExpectation>,
    /// Keys to write.
    pub writes: Vec<KeyWrite>,
    /// Keys to delete.
    pub deletes: Vec<String>,
}

/// Revision that a key must have for a batch to be committed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyExpectation {
    /// Key whose revision is checked.
    pub key: String,
    /// Required revision; 0 means that the key must not exist.
    pub revision: Revision,
}

/// Write of one key within a batch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyWrite {
    /// Key to write.
    pub key: String,
    /// Value, UTF-8 text.
    pub value: String,
    /// Lease that the key is bound to; `None` for a key that does not expire.
    pub lease: Option<LeaseId>,
}

/// Client of a key-value service that can also write several keys atomically.
#[async_trait]
pub trait BatchStore: KeyValueService {
    /// Commits a batch and returns its revision; on a conflict nothing is written.
    async fn commit(&self, batch: StoreBatch) -> Result<Revision, StoreError>;
}
