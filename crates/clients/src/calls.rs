//! Counters of calls to an outside system, by kind.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};

/// Names the kinds of calls of the key-value service.
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
    /// Wait for changes.
    Watch,
    /// Creation of a lease.
    GrantLease,
    /// Renewal of a lease.
    RenewLease,
    /// End of a lease.
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

    /// Returns the kind's name for metric labels.
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

    /// Returns whether a call of this kind changes the service.
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

/// Holds the counts of one kind at one instant.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallCounts {
    /// Kind.
    pub kind: CallKind,
    /// Calls made.
    pub calls: u64,
    /// Calls that failed to reach the service or whose answer was lost.
    pub failures: u64,
}

impl CallCounter {
    /// Counts one call.
    pub fn count(&self, kind: CallKind) {
        self.calls[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Counts one failure of a call.
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
