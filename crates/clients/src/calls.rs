//! Counters of the calls to the key-value service, by kind.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};

/// Kind of call to the key-value service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallKind {
    /// Read of one key.
    Get,
    /// Read of all keys with a prefix.
    List,
    /// Write of one key.
    Put,
    /// Deletion of one key.
    Delete,
    /// Wait for changes of keys with a prefix.
    Watch,
    /// Creation of a lease.
    GrantLease,
    /// Renewal of a lease.
    RenewLease,
    /// Removal of a lease before it expires.
    RevokeLease,
}

impl CallKind {
    /// Every kind, in the order of the counters.
    pub const ALL: [Self; 8] = [
        Self::Get,
        Self::List,
        Self::Put,
        Self::Delete,
        Self::Watch,
        Self::GrantLease,
        Self::RenewLease,
        Self::RevokeLease,
    ];

    /// Returns the value of the metric label for this kind.
    pub fn name(self) -> &'static str {
        match self {
            Self::Get => "get",
            Self::List => "list",
            Self::Put => "put",
            Self::Delete => "delete",
            Self::Watch => "watch",
            Self::GrantLease => "grant-lease",
            Self::RenewLease => "renew-lease",
            Self::RevokeLease => "revoke-lease",
        }
    }

    /// Returns whether a call of this kind changes keys or leases.
    pub fn is_write(self) -> bool {
        !matches!(self, Self::Get | Self::List | Self::Watch)
    }
}

/// Counts calls and failures by kind.
#[derive(Debug, Default)]
pub struct CallCounter {
    calls: [AtomicU64; CallKind::ALL.len()],
    failures: [AtomicU64; CallKind::ALL.len()],
    unclear: AtomicU64,
}

/// Counts of the calls of one kind since the counter was created.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallCounts {
    /// Kind of call that the counts are for.
    pub kind: CallKind,
    /// Calls made, failed ones included.
    pub calls: u64,
    /// Calls that failed as unavailable or unclear; conflicts and expired leases are not counted.
    pub failures: u64,
}

impl CallCounter {
    /// Counts a call when it is made.
    pub fn count(&self, kind: CallKind) {
        self.calls[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a failed call; `unclear` marks a write that may have taken effect.
    pub fn count_failure(&self, kind: CallKind, unclear: bool) {
        self.failures[kind as usize].fetch_add(1, Ordering::Relaxed);
        if unclear {
            self.unclear.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the counts of every kind.
    pub fn counts(&self) -> Vec<CallCounts> {
        CallKind::ALL
            .iter()
            .map(|kind| CallCounts {
                kind: *kind,
                calls: self.calls[*kind as usize].load(Ordering::Relaxed),
                failures: self.failures[*kind as usize].load(Ordering::Relaxed),
            })
            .collect()
    }

    /// Returns the number of writes whose outcome was unknown.
    pub fn unclear(&self) -> u64 {
        self.unclear.load(Ordering::Relaxed)
    }
}
