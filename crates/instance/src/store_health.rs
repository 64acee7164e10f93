//! Outage detection for the key-value service.
//!
//! While the service is unreachable, submissions are refused at once: a write would block until its
//! timeout and leave the outcome unknown. A service that accepts connections but does not answer is
//! recognised by the age of the calls in flight, before the first of them times out. During an
//! outage, probes with a short timeout detect the recovery sooner than the calls that hang.

use std::collections::BTreeMap;
use std::future::Future;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use lacewingrail_model::clock::millis;
use lacewingrail_model::store::{
    BatchStore, KeyValueService, LeaseId, Revision, StoreBatch, StoreEntry, StoreError, WatchBatch,
};
use lacewingrail_model::timer::TimerService;
use tokio::sync::Notify;

use crate::clock;
use crate::records::EPOCH_KEY;

/// Time of continuous failures after which the service counts as unreachable: two retry delays, so
/// that a single lost answer or broken watch does not count.
const FAILURE_TIMEOUT: Duration = Duration::from_millis(300);
/// Age of a call in flight, without a success since it was sent, after which the service counts as
/// unreachable: above the latency of a service that is a hundred times slower than usual.
const HANG_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between probes of an unreachable service.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of a probe: over ten times the latency of an ordinary call.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// Wrapper of a store that records whether its calls succeed.
pub struct MonitoredStore {
    inner: Arc<dyn BatchStore>,
    /// Time of the last answered call on [`clock`], in milliseconds.
    last_success_ms: AtomicU64,
    /// Start of the current series of failures on [`clock`], in milliseconds; 0 after a success.
    failing_since_ms: AtomicU64,
    /// Start times in milliseconds of the calls in flight, by call id. Watches are excluded, since
    /// they wait for changes by design.
    in_flight: Mutex<BTreeMap<u64, u64>>,
    next_call_id: AtomicU64,
    recovered: Notify,
}

impl MonitoredStore {
    /// Wraps a store and assumes that it is reachable.
    pub fn new(inner: Arc<dyn BatchStore>) -> Self {
        Self {
            inner,
            last_success_ms: AtomicU64::new(now_ms()),
            failing_since_ms: AtomicU64::new(0),
            in_flight: Mutex::default(),
            next_call_id: AtomicU64::new(0),
            recovered: Notify::new(),
        }
    }

    /// Returns the time since the last success during an outage; `None` while the service answers.
    pub fn outage(&self) -> Option<Duration> {
        let now = now_ms();
        let age = |since: u64| Duration::from_millis(now.saturating_sub(since));
        let last_success = self.last_success_ms.load(Ordering::Relaxed);
        let failing_since = self.failing_since_ms.load(Ordering::Relaxed);
        let is_failing = failing_since > 0 && age(failing_since) > FAILURE_TIMEOUT;
        let oldest = self.lock_in_flight().values().next().copied();
        let is_hanging =
            oldest.is_some_and(|sent| last_success <= sent && age(sent) > HANG_TIMEOUT);
        (is_failing || is_hanging).then_some(age(last_success))
    }

    /// Probes the service during outages; never returns.
    pub async fn probe(self: Arc<Self>, timer: TimerService) {
        let mut ticks = timer.subscribe(PROBE_INTERVAL);
        loop {
            ticks.tick().await;
            if self.outage().is_none() {
                continue;
            }
            let answer = tokio::time::timeout(PROBE_TIMEOUT, self.inner.get(EPOCH_KEY)).await;
            if let Ok(Ok(_)) = answer {
                self.record_success();
            }
        }
    }

    /// Tracks a call while it is in flight and records its result.
    async fn call<T, F>(&self, call: F) -> Result<T, StoreError>
    where
        F: Future<Output = Result<T, StoreError>>,
    {
        let in_flight = InFlightCall::begin(self);
        let result = call.await;
        self.record_result(result, in_flight.sent_ms)
    }

    /// Records the result of a call; `since_ms` is when its failure may have begun.
    ///
    /// An error by which the service answers the call, such as a conflict, counts as a success.
    fn record_result<T>(
        &self,
        result: Result<T, StoreError>,
        since_ms: u64,
    ) -> Result<T, StoreError> {
        match &result {
            Err(StoreError::Unavailable(cause) | StoreError::Unclear(cause)) => {
                self.record_failure(cause, since_ms);
            }
            Ok(_) | Err(_) => self.record_success(),
        }
        result
    }

    fn record_failure(&self, cause: &str, since_ms: u64) {
        if since_ms < self.last_success_ms.load(Ordering::Relaxed) {
            // The service has answered another call since this one was sent.
            return;
        }
        let previous = self.failing_since_ms.compare_exchange(
            0,
            since_ms,
            Ordering::Relaxed,
            Ordering::Relaxed,
        );
        if previous.is_ok() {
            log::warn!(error = cause; "key-value service lost");
        }
    }

    fn record_success(&self) {
        let outage = self.outage();
        self.last_success_ms.store(now_ms(), Ordering::Relaxed);
        let failing_since = self.failing_since_ms.swap(0, Ordering::Relaxed);
        if failing_since > 0 || outage.is_some() {
            log::info!(
                outage_ms = millis(outage.unwrap_or_default());
                "key-value service regained"
            );
        }
        if outage.is_some() {
            self.recovered.notify_waiters();
        }
    }

    fn lock_in_flight(&self) -> MutexGuard<'_, BTreeMap<u64, u64>> {
        self.in_flight.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Guard that registers a call as in flight until it is dropped, also with a cancelled future.
struct InFlightCall<'a> {
    store: &'a MonitoredStore,
    id: u64,
    sent_ms: u64,
}

impl<'a> InFlightCall<'a> {
    fn begin(store: &'a MonitoredStore) -> Self {
        let id = store.next_call_id.fetch_add(1, Ordering::Relaxed);
        let sent_ms = now_ms();
        store.lock_in_flight().insert(id, sent_ms);
        Self { store, id, sent_ms }
    }
}

impl Drop for InFlightCall<'_> {
    fn drop(&mut self) {
        self.store.lock_in_flight().remove(&self.id);
    }
}

#[async_trait]
impl KeyValueService for MonitoredStore {
    async fn get(&self, key: &str) -> Result<Option<StoreEntry>, StoreError> {
        self.call(self.inner.get(key)).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<StoreEntry>, StoreError> {
        self.call(self.inner.list(prefix)).await
    }

    async fn put(
        &self,
        key: &str,
        value: String,
        expected: Revision,
        lease: Option<LeaseId>,
    ) -> Result<Revision, StoreError> {
        self.call(self.inner.put(key, value, expected, lease)).await
    }

    async fn delete(&self, key: &str, expected: Revision) -> Result<(), StoreError> {
        self.call(self.inner.delete(key, expected)).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchBatch, StoreError> {
        // A watch that was open during an outage may never be answered, so it ends with the outage
        // and the caller watches again.
        tokio::select! {
            result = self.inner.watch(prefix, after, wait) => self.record_result(result, now_ms()),
            () = self.recovered.notified() => {
                Err(StoreError::Unavailable("the service was down during the watch".to_owned()))
            }
        }
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.call(self.inner.grant_lease(ttl)).await
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.call(self.inner.renew_lease(lease)).await
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.call(self.inner.revoke_lease(lease)).await
    }
}

#[async_trait]
impl BatchStore for MonitoredStore {
    async fn commit(&self, batch: StoreBatch) -> Result<Revision, StoreError> {
        self.call(self.inner.commit(batch)).await
    }
}

fn now_ms() -> u64 {
    millis(clock::now())
}
