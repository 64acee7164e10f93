//! Keys, leases and history of the in-memory store, without time of its own.
//!
//! Every operation gets the lease clock in milliseconds and first ends the leases that have lapsed.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use lacewingrail_model::store::{
    KeyWrite, LeaseId, MAX_VALUE_BYTES, Revision, StoreBatch, StoreEntry, StoreError, StoreEvent,
    WatchBatch,
};

/// Changes kept for watches.
const HISTORY_EVENTS: usize = 10_000;
/// Bytes of the values kept for watches.
const HISTORY_BYTES: usize = 32_000_000;
/// Bytes of all values; bounds the memory of the store.
const TOTAL_BYTES: usize = 512_000_000;
/// Longest key in bytes.
const KEY_BYTES: usize = 1_024;
/// Leases that exist at once.
const LEASES: usize = 10_000;

#[derive(Debug)]
struct HeldValue {
    value: String,
    revision: Revision,
    lease: Option<LeaseId>,
}

#[derive(Debug)]
struct HeldLease {
    ttl_ms: i64,
    deadline_ms: i64,
    keys: BTreeSet<String>,
}

/// Holds the contents of a store.
#[derive(Debug, Default)]
pub(super) struct StoreState {
    entries: BTreeMap<String, HeldValue>,
    leases: BTreeMap<LeaseId, HeldLease>,
    history: VecDeque<StoreEvent>,
    history_bytes: usize,
    /// Changes up to this revision are no longer in the history.
    floor: Revision,
    revision: Revision,
    value_bytes: usize,
    newest_lease: LeaseId,
}

impl StoreState {
    pub fn get(&self, key: &str) -> Option<StoreEntry> {
        let held = self.entries.get(key)?;
        Some(StoreEntry { key: key.into(), value: held.value.clone(), revision: held.revision })
    }

    pub fn list(&self, prefix: &str) -> Vec<StoreEntry> {
        self.entries
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, held)| StoreEntry {
                key: key.clone(),
                value: held.value.clone(),
                revision: held.revision,
            })
            .collect()
    }

    pub fn put(
        &mut self,
        key: &str,
        value: String,
        expected: Revision,
        lease: Option<LeaseId>,
    ) -> Result<Revision, StoreError> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(StoreError::TooLarge { bytes: value.len() });
        }
        if key.is_empty() || key.len() > KEY_BYTES {
            return Err(StoreError::Unavailable(format!("a key has 1 to {KEY_BYTES} bytes")));
        }
        self.expect(key, expected)?;
        let replaced = self.entries.get(key).map_or(0, |held| held.value.len());
        if self.value_bytes - replaced + value.len() > TOTAL_BYTES {
            return Err(StoreError::Unavailable(format!(
                "all values are over {TOTAL_BYTES} bytes"
            )));
        }
        if let Some(id) = lease {
            let held = self.leases.get_mut(&id).ok_or(StoreError::LeaseLapsed)?;
            held.keys.insert(key.into());
        }
        self.unbind(key, lease);
        self.revision += 1;
        self.value_bytes = self.value_bytes - replaced + value.len();
        self.record(key, Some(value.clone()));
        self.entries.insert(key.into(), HeldValue { value, revision: self.revision, lease });
        Ok(self.revision)
    }

    /// Writes a batch under one revision, or nothing.
    pub fn commit(&mut self, batch: StoreBatch) -> Result<Revision, StoreError> {
        for row in &batch.expected {
            self.expect(&row.key, row.revision)?;
        }
        for write in &batch.writes {
            if write.value.len() > MAX_VALUE_BYTES {
                return Err(StoreError::TooLarge { bytes: write.value.len() });
            }
            if write.lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
                return Err(StoreError::LeaseLapsed);
            }
        }
        self.revision += 1;
        for KeyWrite { key, value, lease } in batch.writes {
            self.unbind(&key, lease);
            if let Some(held) = lease.and_then(|id| self.leases.get_mut(&id)) {
                held.keys.insert(key.clone());
            }
            let replaced = self.entries.get(&key).map_or(0, |held| held.value.len());
            self.value_bytes = self.value_bytes - replaced + value.len();
            self.record(&key, Some(value.clone()));
            self.entries.insert(key, HeldValue { value, revision: self.revision, lease });
        }
        for key in batch.deletes {
            self.unbind(&key, None);
            if let Some(held) = self.entries.remove(&key) {
                self.value_bytes -= held.value.len();
                self.record(&key, None);
            }
        }
        Ok(self.revision)
    }

    pub fn delete(&mut self, key: &str, expected: Revision) -> Result<(), StoreError> {
        self.expect(key, expected)?;
        self.unbind(key, None);
        self.remove(key);
        Ok(())
    }

    /// Returns the changes after a revision.
    pub fn changes(&self, prefix: &str, after: Revision) -> WatchBatch {
        if after < self.floor || after > self.revision {
            let events = self
                .list(prefix)
                .into_iter()
                .map(|entry| StoreEvent {
                    key: entry.key,
                    value: Some(entry.value),
                    revision: entry.revision,
                })
                .collect();
            return WatchBatch { events, revision: self.revision, reset: true };
        }
        let first = self.history.partition_point(|event| event.revision <= after);
        let events = self
            .history
            .range(first..)
            .filter(|event| event.key.starts_with(prefix))
            .cloned()
            .collect();
        WatchBatch { events, revision: self.revision, reset: false }
    }

    pub fn grant(&mut self, ttl_ms: i64, now_ms: i64) -> Result<LeaseId, StoreError> {
        if self.leases.len() >= LEASES {
            return Err(StoreError::Unavailable(format!("{LEASES} leases exist already")));
        }
        self.newest_lease += 1;
        let deadline_ms = now_ms.saturating_add(ttl_ms);
        self.leases
            .insert(self.newest_lease, HeldLease { ttl_ms, deadline_ms, keys: BTreeSet::new() });
        Ok(self.newest_lease)
    }

    pub fn renew(&mut self, lease: LeaseId, now_ms: i64) -> Result<(), StoreError> {
        let held = self.leases.get_mut(&lease).ok_or(StoreError::LeaseLapsed)?;
        held.deadline_ms = now_ms.saturating_add(held.ttl_ms);
        Ok(())
    }

    pub fn revoke(&mut self, lease: LeaseId) -> Result<(), StoreError> {
        let held = self.leases.remove(&lease).ok_or(StoreError::LeaseLapsed)?;
        held.keys.iter().for_each(|key| self.remove(key));
        Ok(())
    }

    /// Ends the leases that have lapsed and returns whether there was one.
    pub fn lapse(&mut self, now_ms: i64) -> bool {
        let lapsed: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|(_, held)| held.deadline_ms <= now_ms)
            .map(|(id, _)| *id)
            .collect();
        for id in &lapsed {
            log::debug!("lease {id} lapsed");
            let _ = self.revoke(*id);
        }
        !lapsed.is_empty()
    }

    /// Returns the lease clock at which the next lease lapses.
    pub fn next_lapse(&self) -> Option<i64> {
        self.leases.values().map(|held| held.deadline_ms).min()
    }

    pub fn revision(&self) -> Revision {
        self.revision
    }

    pub fn keys(&self) -> u64 {
        self.entries.len() as u64
    }

    pub fn value_bytes(&self) -> u64 {
        self.value_bytes as u64
    }

    pub fn leases(&self) -> u64 {
        self.leases.len() as u64
    }

    fn expect(&self, key: &str, expected: Revision) -> Result<(), StoreError> {
        let current = self.entries.get(key).map_or(0, |held| held.revision);
        if current == expected { Ok(()) } else { Err(StoreError::Conflict { current }) }
    }

    /// Removes a key from the lease it is bound to, unless it stays bound to `kept`.
    fn unbind(&mut self, key: &str, kept: Option<LeaseId>) {
        let bound = self.entries.get(key).and_then(|held| held.lease);
        let Some(id) = bound.filter(|_| bound != kept) else {
            return;
        };
        if let Some(held) = self.leases.get_mut(&id) {
            held.keys.remove(key);
        }
    }

    fn remove(&mut self, key: &str) {
        if let Some(held) = self.entries.remove(key) {
            self.value_bytes -= held.value.len();
            self.revision += 1;
            self.record(key, None);
        }
    }

    fn record(&mut self, key: &str, value: Option<String>) {
        self.history_bytes += event_bytes(key, value.as_deref());
        self.history.push_back(StoreEvent { key: key.into(), value, revision: self.revision });
        while self.history.len() > HISTORY_EVENTS || self.history_bytes > HISTORY_BYTES {
            let Some(dropped) = self.history.pop_front() else {
                return;
            };
            self.history_bytes -= event_bytes(&dropped.key, dropped.value.as_deref());
            self.floor = dropped.revision;
        }
    }
}

fn event_bytes(key: &str, value: Option<&str>) -> usize {
    key.len() + value.map_or(0, str::len)
}
