//! In-memory key-value service with fault injection.
//!
//! It serves tests in the same process and backs the key-value stand-in. All clones share the same
//! contents. Time is tokio's clock, so that tests can pause it.

pub mod faults;
pub mod meter;

mod state;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use lacewingrail_model::store::{
    BatchStore, KeyValueService, LeaseId, Revision, StoreBatch, StoreEntry, StoreError, WatchBatch,
};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::calls::CallKind;
use crate::memory_store::faults::{FaultInjector, InjectedOutcome, StoreFaults};
use crate::memory_store::meter::{CallMeter, StoreStats};
use crate::memory_store::state::StoreState;

/// Longest wait of a watch; the caller repeats the watch after it.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);
/// Longest time to live of a lease, in milliseconds: one day.
const MAX_LEASE_TTL_MS: i64 = 86_400_000;

/// Serves keys, leases and watches from memory.
#[derive(Clone, Debug)]
pub struct MemoryStore {
    shared: Arc<SharedStore>,
}

#[derive(Debug)]
struct SharedStore {
    inner: Mutex<StoreInner>,
    changed: Notify,
    started: Instant,
}

#[derive(Debug)]
struct StoreInner {
    state: StoreState,
    injector: FaultInjector,
    meter: CallMeter,
    clock_offset_ms: i64,
}

impl Default for MemoryStore {
    fn default() -> Self {
        Self::new()
    }
}

impl MemoryStore {
    /// Creates an empty store that draws random faults from seed 0.
    pub fn new() -> Self {
        Self::seeded(0)
    }

    /// Creates an empty store that draws random faults from `seed`.
    pub fn seeded(seed: u64) -> Self {
        let inner = StoreInner {
            state: StoreState::default(),
            injector: FaultInjector::new(seed),
            meter: CallMeter::default(),
            clock_offset_ms: 0,
        };
        let shared = SharedStore {
            inner: Mutex::new(inner),
            changed: Notify::new(),
            started: Instant::now(),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Replaces the faults in effect; an outage ends waiting watches at once.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.lock().injector.faults = faults;
        self.shared.changed.notify_waiters();
    }

    /// Returns the faults in effect; its numbers of coming writes are those that remain.
    pub fn faults(&self) -> StoreFaults {
        self.lock().injector.faults.clone()
    }

    /// Shifts the clock by which leases expire by a number of milliseconds, which may be negative.
    pub fn shift_lease_clock(&self, by_ms: i64) {
        let mut inner = self.lock();
        inner.clock_offset_ms = inner.clock_offset_ms.saturating_add(by_ms);
        drop(inner);
        self.shared.changed.notify_waiters();
    }

    /// Discards the history of changes; the next answer to each watch is a list of all keys.
    pub fn discard_history(&self) {
        self.lock().state.discard_history();
        self.shared.changed.notify_waiters();
    }

    /// Returns the counts, rates and sizes since the store was created.
    pub fn stats(&self) -> StoreStats {
        let second = self.shared.started.elapsed().as_secs();
        let mut inner = self.lock();
        StoreStats {
            kinds: inner.meter.kinds(second),
            waiting_watches: inner.meter.waiting,
            peak_waiting_watches: inner.meter.peak_waiting,
            bytes: inner.meter.bytes,
            refused: inner.meter.refused,
            unclear: inner.meter.unclear,
            revision: inner.state.revision(),
            keys: inner.state.keys(),
            value_bytes: inner.state.value_bytes(),
            leases: inner.state.leases(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, StoreInner> {
        self.shared.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the store and expires due leases; also returns the lease clock in milliseconds.
    fn lock_and_expire(&self) -> (MutexGuard<'_, StoreInner>, i64) {
        let mut inner = self.lock();
        let elapsed = i64::try_from(self.shared.started.elapsed().as_millis()).unwrap_or(i64::MAX);
        let now_ms = elapsed.saturating_add(inner.clock_offset_ms);
        if inner.state.expire_leases(now_ms) {
            self.shared.changed.notify_waiters();
        }
        (inner, now_ms)
    }

    /// Counts a call, applies outage and rate limits, and waits for half of the injected delay.
    ///
    /// Returns that half; the caller waits for the other half after the call has taken effect.
    async fn admit(&self, kind: CallKind, bytes: usize) -> Result<Duration, StoreError> {
        let second = self.shared.started.elapsed().as_secs();
        let half_delay = {
            let mut inner = self.lock();
            let calls_this_second = inner.meter.calls_this_second(kind.is_write(), second);
            inner.meter.count(kind, second);
            inner.meter.bytes += bytes as u64;
            let faults = &inner.injector.faults;
            let limit =
                if kind.is_write() { faults.writes_per_second } else { faults.reads_per_second };
            if faults.unavailable || (limit > 0 && calls_this_second >= limit) {
                inner.meter.refused += 1;
                let cause = if inner.injector.faults.unavailable { "outage" } else { "rate limit" };
                return Err(StoreError::Unavailable(cause.into()));
            }
            inner.injector.half_delay()
        };
        sleep_unless_zero(half_delay).await;
        Ok(half_delay)
    }

    /// Serves a read; `operate` returns the value and its size in bytes.
    async fn read<T, F>(&self, kind: CallKind, key: &str, operate: F) -> Result<T, StoreError>
    where
        F: FnOnce(&StoreState) -> (T, usize) + Send,
        T: Send,
    {
        let half_delay = self.admit(kind, key.len()).await?;
        let value = {
            let (mut inner, _) = self.lock_and_expire();
            let (value, bytes) = operate(&inner.state);
            inner.meter.bytes += bytes as u64;
            value
        };
        sleep_unless_zero(half_delay).await;
        Ok(value)
    }

    /// Serves a write under the injected faults; `operate` receives the lease clock in
    /// milliseconds.
    async fn write<T, F>(&self, kind: CallKind, bytes: usize, operate: F) -> Result<T, StoreError>
    where
        F: FnOnce(&mut StoreState, i64) -> Result<T, StoreError> + Send + 'static,
        T: Send,
    {
        let half_delay = self.admit(kind, bytes).await?;
        let outcome = {
            let (mut inner, now_ms) = self.lock_and_expire();
            let injected = inner.injector.next_outcome();
            if injected != InjectedOutcome::Answered {
                inner.meter.unclear += 1;
            }
            if injected == InjectedOutcome::RequestLost {
                return Err(StoreError::Unclear("the request was lost".into()));
            }
            if let InjectedOutcome::Late(after) = injected {
                drop(inner);
                self.write_later(after, operate);
                return Err(StoreError::Unclear("the write is late".into()));
            }
            let outcome = operate(&mut inner.state, now_ms);
            if injected == InjectedOutcome::AnswerLost {
                Err(StoreError::Unclear("the answer was lost".into()))
            } else {
                outcome
            }
        };
        self.shared.changed.notify_waiters();
        sleep_unless_zero(half_delay).await;
        outcome
    }

    /// Applies a write after a delay and discards its outcome.
    fn write_later<T, F>(&self, after: Duration, operate: F)
    where
        F: FnOnce(&mut StoreState, i64) -> Result<T, StoreError> + Send + 'static,
    {
        let store = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(after).await;
            let (mut inner, now_ms) = store.lock_and_expire();
            let _ = operate(&mut inner.state, now_ms);
            drop(inner);
            store.shared.changed.notify_waiters();
        });
    }

    /// Returns the changes after a revision and the time until the next lease expires.
    fn poll_changes(
        &self,
        prefix: &str,
        after: Revision,
    ) -> Result<(WatchBatch, Option<Duration>), StoreError> {
        let (mut inner, now_ms) = self.lock_and_expire();
        if inner.injector.faults.unavailable {
            inner.meter.refused += 1;
            return Err(StoreError::Unavailable("outage".into()));
        }
        let batch = inner.state.changes(prefix, after);
        let bytes: usize = batch
            .events
            .iter()
            .map(|event| event.key.len() + event.value.as_deref().map_or(0, str::len))
            .sum();
        inner.meter.bytes += bytes as u64;
        let until_expiry = inner.state.next_expiry_ms().map(|at_ms| {
            let left = at_ms.saturating_sub(now_ms).max(1);
            Duration::from_millis(u64::try_from(left).unwrap_or(1))
        });
        Ok((batch, until_expiry))
    }
}

#[async_trait]
impl KeyValueService for MemoryStore {
    async fn get(&self, key: &str) -> Result<Option<StoreEntry>, StoreError> {
        self.read(CallKind::Get, key, |state| {
            let entry = state.get(key);
            let bytes = entry.as_ref().map_or(0, |entry| entry.value.len());
            (entry, bytes)
        })
        .await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<StoreEntry>, StoreError> {
        self.read(CallKind::List, prefix, |state| {
            let entries = state.list(prefix);
            let bytes = entries.iter().map(|entry| entry.key.len() + entry.value.len()).sum();
            (entries, bytes)
        })
        .await
    }

    async fn put(
        &self,
        key: &str,
        value: String,
        expected: Revision,
        lease: Option<LeaseId>,
    ) -> Result<Revision, StoreError> {
        let key = key.to_owned();
        self.write(CallKind::Put, key.len() + value.len(), move |state, _| {
            state.put(&key, value, expected, lease)
        })
        .await
    }

    async fn delete(&self, key: &str, expected: Revision) -> Result<(), StoreError> {
        let key = key.to_owned();
        self.write(CallKind::Delete, key.len(), move |state, _| state.delete(&key, expected)).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchBatch, StoreError> {
        let half_delay = self.admit(CallKind::Watch, prefix.len()).await?;
        let deadline = Instant::now() + wait.min(MAX_WATCH_WAIT);
        let _waiting = WaitingWatch::enter(self);
        loop {
            // Registered before the check, so that a change between the two is not missed.
            let change = self.shared.changed.notified();
            tokio::pin!(change);
            change.as_mut().enable();
            let (batch, until_expiry) = self.poll_changes(prefix, after)?;
            let now = Instant::now();
            if batch.reset || !batch.events.is_empty() || now >= deadline {
                sleep_unless_zero(half_delay).await;
                return Ok(batch);
            }
            let wake_at =
                until_expiry.map_or(deadline, |until_expiry| deadline.min(now + until_expiry));
            let _ = tokio::time::timeout_at(wake_at, change).await;
        }
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let ttl_ms = i64::try_from(ttl.as_millis()).unwrap_or(i64::MAX).clamp(1, MAX_LEASE_TTL_MS);
        self.write(CallKind::GrantLease, 0, move |state, now_ms| state.grant(ttl_ms, now_ms)).await
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.write(CallKind::RenewLease, 0, move |state, now_ms| state.renew(lease, now_ms)).await
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.write(CallKind::RevokeLease, 0, move |state, _| state.revoke(lease)).await
    }
}

#[async_trait]
impl BatchStore for MemoryStore {
    async fn commit(&self, batch: StoreBatch) -> Result<Revision, StoreError> {
        let bytes = batch.writes.iter().map(|write| write.key.len() + write.value.len()).sum();
        self.write(CallKind::Put, bytes, move |state, _| state.commit(batch)).await
    }
}

/// Counts a waiting watch until the value is dropped.
struct WaitingWatch<'a>(&'a MemoryStore);

impl<'a> WaitingWatch<'a> {
    fn enter(store: &'a MemoryStore) -> Self {
        store.lock().meter.count_waiting_watch();
        Self(store)
    }
}

impl Drop for WaitingWatch<'_> {
    fn drop(&mut self) {
        self.0.lock().meter.waiting -= 1;
    }
}

async fn sleep_unless_zero(duration: Duration) {
    if !duration.is_zero() {
        tokio::time::sleep(duration).await;
    }
}
