//! Counts and rates of the calls that a store serves.

use serde::{Deserialize, Serialize};

use crate::calls::CallKind;

/// Holds the counts of one kind of calls.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KindStats {
    /// Kind.
    pub kind: CallKind,
    /// Calls since the start.
    pub total: u64,
    /// Calls in the last whole second.
    pub last_second: u64,
    /// Calls in the busiest second.
    pub peak_second: u64,
}

/// Holds the counts and sizes of a store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreStats {
    /// Counts by kind.
    pub kinds: Vec<KindStats>,
    /// Watches that wait now; each counts as a call.
    pub waiting_watches: u64,
    /// Largest number of watches that waited at once.
    pub peak_waiting_watches: u64,
    /// Bytes of all calls' keys and values, received and sent.
    pub bytes: u64,
    /// Calls refused by a fault or a rate limit.
    pub refused: u64,
    /// Writes whose outcome was made unclear.
    pub unclear: u64,
    /// Newest revision.
    pub revision: u64,
    /// Existing keys.
    pub keys: u64,
    /// Bytes of all existing values.
    pub value_bytes: u64,
    /// Existing leases.
    pub leases: u64,
}

impl StoreStats {
    /// Returns the counts of one kind.
    pub fn kind(&self, kind: CallKind) -> Option<&KindStats> {
        self.kinds.iter().find(|stats| stats.kind == kind)
    }

    /// Returns the calls since the start over all kinds.
    pub fn total(&self) -> u64 {
        self.kinds.iter().map(|stats| stats.total).sum()
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct KindMeter {
    total: u64,
    second: u64,
    current: u64,
    last: u64,
    peak: u64,
}

impl KindMeter {
    fn roll(&mut self, second: u64) {
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
    kinds: [KindMeter; CallKind::ALL.len()],
    pub waiting: u64,
    pub peak_waiting: u64,
    pub bytes: u64,
    pub refused: u64,
    pub unclear: u64,
}

impl CallMeter {
    pub fn count(&mut self, kind: CallKind, second: u64) {
        let meter = &mut self.kinds[kind as usize];
        meter.roll(second);
        meter.total += 1;
        meter.current += 1;
        meter.peak = meter.peak.max(meter.current);
    }

    pub fn count_waiting(&mut self) {
        self.waiting += 1;
        self.peak_waiting = self.peak_waiting.max(self.waiting);
    }

    /// Returns the writes, or the reads and waiting watches, of the current second.
    pub fn load(&mut self, writes: bool, second: u64) -> u64 {
        let calls: u64 = CallKind::ALL
            .iter()
            .filter(|kind| kind.is_write() == writes)
            .map(|kind| {
                let meter = &mut self.kinds[*kind as usize];
                meter.roll(second);
                meter.current
            })
            .sum();
        if writes { calls } else { calls + self.waiting }
    }

    pub fn kinds(&mut self, second: u64) -> Vec<KindStats> {
        CallKind::ALL
            .iter()
            .map(|kind| {
                let meter = &mut self.kinds[*kind as usize];
                meter.roll(second);
                KindStats {
                    kind: *kind,
                    total: meter.total,
                    last_second: meter.last,
                    peak_second: meter.peak,
                }
            })
            .collect()
    }
}
