//! Keys, leases and change history of the in-memory store.
//!
//! The state reads no clock: the store passes the lease clock in milliseconds and expires due
//! leases before each operation.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use lacewingrail_model::store::{
    KeyWrite, LeaseId, MAX_VALUE_BYTES, Revision, StoreBatch, StoreEntry, StoreError, StoreEvent,
    WatchBatch,
};

/// Changes kept for watches; older ones are evicted.
const MAX_HISTORY_EVENTS: usize = 10_000;
/// Bytes of the keys and values kept for watches.
const MAX_HISTORY_BYTES: usize = 32_000_000;
/// Bytes of all values; bounds the memory of the store.
const MAX_TOTAL_VALUE_BYTES: usize = 512_000_000;
/// Longest key in bytes.
const MAX_KEY_BYTES: usize = 1_024;
/// Leases that exist at once.
const MAX_LEASES: usize = 10_000;

#[derive(Debug)]
struct StoredValue {
    value: String,
    revision: Revision,
    lease: Option<LeaseId>,
}

#[derive(Debug)]
struct LeaseState {
    ttl_ms: i64,
    /// Reading of the lease clock at which the lease expires.
    deadline_ms: i64,
    keys: BTreeSet<String>,
}

/// Keys, leases and change history of a store.
#[derive(Debug, Default)]
pub(super) struct StoreState {
    entries: BTreeMap<String, StoredValue>,
    leases: BTreeMap<LeaseId, LeaseState>,
    history: VecDeque<StoreEvent>,
    history_bytes: usize,
    /// Newest revision that is no longer in the history; 0 while the history is complete.
    compacted_revision: Revision,
    revision: Revision,
    value_bytes: usize,
    last_lease_id: LeaseId,
}

impl StoreState {
    pub fn get(&self, key: &str) -> Option<StoreEntry> {
        let stored = self.entries.get(key)?;
        Some(StoreEntry { key: key.into(), value: stored.value.clone(), revision: stored.revision })
    }

    pub fn list(&self, prefix: &str) -> Vec<StoreEntry> {
        self.entries
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, stored)| StoreEntry {
                key: key.clone(),
                value: stored.value.clone(),
                revision: stored.revision,
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
        if key.is_empty() || key.len() > MAX_KEY_BYTES {
            return Err(StoreError::Unavailable(format!("a key has 1 to {MAX_KEY_BYTES} bytes")));
        }
        self.check_revision(key, expected)?;
        let replaced_bytes = self.entries.get(key).map_or(0, |stored| stored.value.len());
        if self.value_bytes - replaced_bytes + value.len() > MAX_TOTAL_VALUE_BYTES {
            return Err(StoreError::Unavailable(format!(
                "all values are over {MAX_TOTAL_VALUE_BYTES} bytes"
            )));
        }
        if let Some(id) = lease {
            let lease_state = self.leases.get_mut(&id).ok_or(StoreError::LeaseLapsed)?;
            lease_state.keys.insert(key.into());
        }
        self.detach_lease(key, lease);
        self.revision += 1;
        self.value_bytes = self.value_bytes - replaced_bytes + value.len();
        self.record_change(key, Some(value.clone()));
        self.entries.insert(key.into(), StoredValue { value, revision: self.revision, lease });
        Ok(self.revision)
    }

    /// Writes the complete batch under one revision, or nothing if a check fails.
    pub fn commit(&mut self, batch: StoreBatch) -> Result<Revision, StoreError> {
        for expectation in &batch.expected {
            self.check_revision(&expectation.key, expectation.revision)?;
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
            self.detach_lease(&key, lease);
            if let Some(lease_state) = lease.and_then(|id| self.leases.get_mut(&id)) {
                lease_state.keys.insert(key.clone());
            }
            let replaced_bytes = self.entries.get(&key).map_or(0, |stored| stored.value.len());
            self.value_bytes = self.value_bytes - replaced_bytes + value.len();
            self.record_change(&key, Some(value.clone()));
            self.entries.insert(key, StoredValue { value, revision: self.revision, lease });
        }
        for key in batch.deletes {
            self.detach_lease(&key, None);
            if let Some(stored) = self.entries.remove(&key) {
                self.value_bytes -= stored.value.len();
                self.record_change(&key, None);
            }
        }
        Ok(self.revision)
    }

    pub fn delete(&mut self, key: &str, expected: Revision) -> Result<(), StoreError> {
        self.check_revision(key, expected)?;
        self.detach_lease(key, None);
        self.remove(key);
        Ok(())
    }

    /// Returns the changes after a revision, or all keys with `reset` set if the history does not
    /// reach back to it or the revision is in the future.
    pub fn changes(&self, prefix: &str, after: Revision) -> WatchBatch {
        if after < self.compacted_revision || after > self.revision {
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

    /// Discards the history, so that every watch has to start anew.
    pub fn discard_history(&mut self) {
        self.revision += 1;
        self.compacted_revision = self.revision;
        self.history.clear();
        self.history_bytes = 0;
    }

    pub fn grant(&mut self, ttl_ms: i64, now_ms: i64) -> Result<LeaseId, StoreError> {
        if self.leases.len() >= MAX_LEASES {
            return Err(StoreError::Unavailable(format!("{MAX_LEASES} leases exist already")));
        }
        self.last_lease_id += 1;
        let deadline_ms = now_ms.saturating_add(ttl_ms);
        self.leases
            .insert(self.last_lease_id, LeaseState { ttl_ms, deadline_ms, keys: BTreeSet::new() });
        Ok(self.last_lease_id)
    }

    pub fn renew(&mut self, lease: LeaseId, now_ms: i64) -> Result<(), StoreError> {
        let lease_state = self.leases.get_mut(&lease).ok_or(StoreError::LeaseLapsed)?;
        lease_state.deadline_ms = now_ms.saturating_add(lease_state.ttl_ms);
        Ok(())
    }

    pub fn revoke(&mut self, lease: LeaseId) -> Result<(), StoreError> {
        let lease_state = self.leases.remove(&lease).ok_or(StoreError::LeaseLapsed)?;
        lease_state.keys.iter().for_each(|key| self.remove(key));
        Ok(())
    }

    /// Removes the expired leases with their keys and returns whether there were any.
    pub fn expire_leases(&mut self, now_ms: i64) -> bool {
        let expired: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|(_, lease_state)| lease_state.deadline_ms <= now_ms)
            .map(|(id, _)| *id)
            .collect();
        for id in &expired {
            log::debug!("lease {id} lapsed");
            let _ = self.revoke(*id);
        }
        !expired.is_empty()
    }

    /// Returns the reading of the lease clock at which the next lease expires.
    pub fn next_expiry_ms(&self) -> Option<i64> {
        self.leases.values().map(|lease_state| lease_state.deadline_ms).min()
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

    fn check_revision(&self, key: &str, expected: Revision) -> Result<(), StoreError> {
        let current = self.entries.get(key).map_or(0, |stored| stored.revision);
        if current == expected { Ok(()) } else { Err(StoreError::Conflict { current }) }
    }

    /// Detaches a key from its lease, unless it stays attached to the same lease, `new_lease`.
    fn detach_lease(&mut self, key: &str, new_lease: Option<LeaseId>) {
        let attached = self.entries.get(key).and_then(|stored| stored.lease);
        let Some(id) = attached.filter(|_| attached != new_lease) else {
            return;
        };
        if let Some(lease_state) = self.leases.get_mut(&id) {
            lease_state.keys.remove(key);
        }
    }

    /// Deletes a key under a new revision; a missing key is no change.
    fn remove(&mut self, key: &str) {
        if let Some(stored) = self.entries.remove(key) {
            self.value_bytes -= stored.value.len();
            self.revision += 1;
            self.record_change(key, None);
        }
    }

    /// Appends a change to the history and evicts the oldest ones beyond its limits.
    fn record_change(&mut self, key: &str, value: Option<String>) {
        self.history_bytes += event_bytes(key, value.as_deref());
        self.history.push_back(StoreEvent { key: key.into(), value, revision: self.revision });
        while self.history.len() > MAX_HISTORY_EVENTS || self.history_bytes > MAX_HISTORY_BYTES {
            let Some(evicted) = self.history.pop_front() else {
                return;
            };
            self.history_bytes -= event_bytes(&evicted.key, evicted.value.as_deref());
            self.compacted_revision = evicted.revision;
        }
    }
}

fn event_bytes(key: &str, value: Option<&str>) -> usize {
    key.len() + value.map_or(0, str::len)
}
