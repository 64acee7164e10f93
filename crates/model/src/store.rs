//! The border to the platform's key-value service.
//!
//! The service offers compare-and-swap, leases and watches. Each call counts against its rates, and a
//! waiting watch counts as one. An answer may be lost after the write took effect: such a call ends
//! in [`StoreError::Unclear`], and the caller reads again and compares the mark that it wrote.

use std::fmt;
use std::time::Duration;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};

/// Counts writes of the whole service; 0 means that a key does not exist.
pub type Revision = u64;
/// Identifies a lease of the service.
pub type LeaseId = u64;

/// The largest value that the service takes, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Holds one key with its value.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreEntry {
    /// Key.
    pub key: String,
    /// Value, UTF-8 text.
    pub value: String,
    /// Revision of the newest write to this key.
    pub revision: Revision,
}

/// Reports one change seen by a watch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreEvent {
    /// Key.
    pub key: String,
    /// New value, or nothing when the key was deleted.
    pub value: Option<String>,
    /// Revision of the change.
    pub revision: Revision,
}

/// Answers a watch call.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WatchBatch {
    /// Changes after the requested revision in order; empty when the wait ended without one.
    pub events: Vec<StoreEvent>,
    /// Revision to continue after.
    pub revision: Revision,
    /// States that the history no longer reaches back to the requested revision: `events` then holds
    /// every existing key of the prefix, and a key that is not among them does not exist.
    #[serde(default)]
    pub reset: bool,
}

/// States why a call to the service failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreError {
    /// The expected revision is not the current one; nothing was written.
    Conflict {
        /// Current revision of the key; 0 when it does not exist.
        current: Revision,
    },
    /// The lease does not exist or has lapsed; nothing was written.
    LeaseLapsed,
    /// The value is over the size limit; nothing was written.
    TooLarge {
        /// Size of the refused value in bytes.
        bytes: usize,
    },
    /// The call surely did not take effect: the service could not be reached or refused it.
    Unavailable(String),
    /// The call may have taken effect: its answer was lost. Read again and compare the mark.
    Unclear(String),
    /// The stored value could not be read as the expected record.
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

/// Calls the platform's key-value service.
#[async_trait]
pub trait KeyValueService: Send + Sync {
    /// Reads one key.
    async fn get(&self, key: &str) -> Result<Option<StoreEntry>, StoreError>;

    /// Reads all keys with a prefix, in key order.
    async fn list(&self, prefix: &str) -> Result<Vec<StoreEntry>, StoreError>;

    /// Writes a key if its revision is `expected` (0: must not exist), optionally bound to a lease.
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

    /// Creates a lease; keys bound to it vanish when it lapses.
    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError>;

    /// Renews a lease for its full time.
    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError>;

    /// Ends a lease and deletes the keys bound to it.
    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError>;
}

/// Asks for several writes that take effect together or not at all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoreBatch {
    /// Keys that must have a revision; 0 means that the key must not exist.
    pub expected: Vec<KeyExpectation>,
    /// Keys to write.
    pub writes: Vec<KeyWrite>,
    /// Keys to delete.
    pub deletes: Vec<String>,
}

/// Names the revision that a key must have.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyExpectation {
    /// Key.
    pub key: String,
    /// Revision.
    pub revision: Revision,
}

/// Describes the write of one key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyWrite {
    /// Key.
    pub key: String,
    /// Value, UTF-8 text.
    pub value: String,
    /// Lease that the key is bound to, if any.
    pub lease: Option<LeaseId>,
}

/// Calls a key-value service that also writes several keys at once.
#[async_trait]
pub trait BatchStore: KeyValueService {
    /// Writes a batch; on a conflict nothing is written.
    async fn commit(&self, batch: StoreBatch) -> Result<Revision, StoreError>;
}
