//! Counts and rates of the calls that the in-memory store serves.

use serde::{Deserialize, Serialize};

use crate::calls::CallKind;

/// Counts of the calls of one kind that a store served.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KindStats {
    /// Kind of call that the counts are for.
    pub kind: CallKind,
    /// Calls since the store was created, refused ones included.
    pub total: u64,
    /// Calls in the last complete second.
    pub last_second: u64,
    /// Calls in the busiest second.
    pub peak_second: u64,
}

/// Counts of the calls that a store served, and its sizes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreStats {
    /// Counts of each kind, in the order of [`CallKind::ALL`].
    pub kinds: Vec<KindStats>,
    /// Watches that are waiting now; each counts as a call under the limit on reads.
    pub waiting_watches: u64,
    /// Largest number of watches that waited concurrently.
    pub peak_waiting_watches: u64,
    /// Bytes of the keys and values received and sent in all calls.
    pub bytes: u64,
    /// Calls refused by a fault or a rate limit.
    pub refused: u64,
    /// Writes whose outcome an injected fault made unclear to the caller.
    pub unclear: u64,
    /// Revision of the newest change; 0 for an empty store.
    pub revision: u64,
    /// Number of keys that exist now.
    pub keys: u64,
    /// Bytes of the values that exist now.
    pub value_bytes: u64,
    /// Number of leases that have neither expired nor been revoked.
    pub leases: u64,
}

impl StoreStats {
    /// Returns the counts of one kind, or nothing if the answer does not list it.
    pub fn kind(&self, kind: CallKind) -> Option<&KindStats> {
        self.kinds.iter().find(|stats| stats.kind == kind)
    }

    /// Returns the calls of all kinds since the store was created.
    pub fn total(&self) -> u64 {
        self.kinds.iter().map(|stats| stats.total).sum()
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct KindCounter {
    total: u64,
    /// Newest second in which the counter was used, counted from the creation of the store.
    second: u64,
    /// Calls in `second`.
    current: u64,
    /// Calls in the second before.
    last: u64,
    /// Largest number of calls in one second.
    peak: u64,
}

impl KindCounter {
    fn advance_to(&mut self, second: u64) {
        if second != self.second {
            self.last = if second == self.second + 1 { self.current } else { 0 };
            self.current = 0;
            self.second = second;
        }
    }
}

/// Counts calls by kind and second.
#[derive(Debug, Default)]
pub(super) struct CallMeter {
    kinds: [KindCounter; CallKind::ALL.len()],
    pub waiting: u64,
    pub peak_waiting: u64,
    pub bytes: u64,
    pub refused: u64,
    pub unclear: u64,
}

impl CallMeter {
    pub fn count(&mut self, kind: CallKind, second: u64) {
        let counter = &mut self.kinds[kind as usize];
        counter.advance_to(second);
        counter.total += 1;
        counter.current += 1;
        counter.peak = counter.peak.max(counter.current);
    }

    pub fn count_waiting_watch(&mut self) {
        self.waiting += 1;
        self.peak_waiting = self.peak_waiting.max(self.waiting);
    }

    /// Returns the writes of the current second, or its reads plus the waiting watches.
    pub fn calls_this_second(&mut self, writes: bool, second: u64) -> u64 {
        let calls: u64 = CallKind::ALL
            .iter()
            .filter(|kind| kind.is_write() == writes)
            .map(|kind| {
                let counter = &mut self.kinds[*kind as usize];
                counter.advance_to(second);
                counter.current
            })
            .sum();
        if writes { calls } else { calls + self.waiting }
    }

    pub fn kinds(&mut self, second: u64) -> Vec<KindStats> {
        CallKind::ALL
            .iter()
            .map(|kind| {
                let counter = &mut self.kinds[*kind as usize];
                counter.advance_to(second);
                KindStats {
                    kind: *kind,
                    total: counter.total,
                    last_second: counter.last,
                    peak_second: counter.peak,
                }
            })
            .collect()
    }
}
