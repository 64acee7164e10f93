//! Notes whether the key-value service answers.
//!
//! Clients whose jobs can't be stored are refused at once while the service does not answer. Trying
//! would take as long as the call's timeout and leave the outcome unknown. A service that says nothing
//! shows by the age of the calls in flight, before the first of them times out. While the service is
//! out of reach, short probes find its return sooner than calls that hang would.

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

/// Time for which all calls have failed after which the service counts as out of reach: two pauses
/// after a failed call, so that a single lost answer or a watch that was cut does not count.
const OUTAGE_TIME: Duration = Duration::from_millis(300);
/// Age of a call in flight, without a successful call since, after which the service counts as out of
/// reach: above the answer time of a service that is a hundred times slower than usual.
const HANG_TIME: Duration = Duration::from_millis(500);
/// Time between probes of a service that is out of reach.
const PROBE_PERIOD: Duration = Duration::from_millis(200);
/// Time for the answer to a probe, over ten times that of an ordinary call.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// Passes calls on and notes how they end.
pub struct WatchedStore {
    inner: Arc<dyn BatchStore>,
    /// Time of the last success in milliseconds.
    answered_ms: AtomicU64,
    /// Since when calls have only failed, in milliseconds; 0 after a success.
    failing_ms: AtomicU64,
    /// Start times of the calls in flight in milliseconds, by number; watches are left out.
    in_flight: Mutex<BTreeMap<u64, u64>>,
    newest_call: AtomicU64,
    regained: Notify,
}

impl WatchedStore {
    /// Wraps a store.
    pub fn new(inner: Arc<dyn BatchStore>) -> Self {
        Self {
            inner,
            answered_ms: AtomicU64::new(now_ms()),
            failing_ms: AtomicU64::new(0),
            in_flight: Mutex::default(),
            newest_call: AtomicU64::new(0),
            regained: Notify::new(),
        }
    }

    /// Returns for how long no call has succeeded; nothing while the service answers.
    pub fn outage(&self) -> Option<Duration> {
        let now = now_ms();
        let age = |since: u64| Duration::from_millis(now.saturating_sub(since));
        let answered = self.answered_ms.load(Ordering::Relaxed);
        let failing = self.failing_ms.load(Ordering::Relaxed);
        let fails = failing > 0 && age(failing) > OUTAGE_TIME;
        let oldest = self.calls().values().next().copied();
        let hangs = oldest.is_some_and(|sent| answered <= sent && age(sent) > HANG_TIME);
        (fails || hangs).then_some(age(answered))
    }

    /// Probes the service while it is out of reach, until the process ends.
    pub async fn probe(self: Arc<Self>, timer: TimerService) {
        let mut ticks = timer.subscribe(PROBE_PERIOD);
        loop {
            ticks.tick().await;
            if self.outage().is_none() {
                continue;
            }
            let answer = tokio::time::timeout(PROBE_TIMEOUT, self.inner.get(EPOCH_KEY)).await;
            if let Ok(Ok(_)) = answer {
                self.note_success();
            }
        }
    }

    /// Carries out a call and notes how it ends.
    async fn call<T, F>(&self, call: F) -> Result<T, StoreError>
    where
        F: Future<Output = Result<T, StoreError>>,
    {
        let flight = CallFlight::begin(self);
        let result = call.await;
        self.note(result, flight.sent_ms)
    }

    /// Notes the result of a call that may have failed since a time.
    fn note<T>(&self, result: Result<T, StoreError>, since_ms: u64) -> Result<T, StoreError> {
        match &result {
            Err(StoreError::Unavailable(cause) | StoreError::Unclear(cause)) => {
                self.note_failure(cause, since_ms);
            }
            Ok(_) | Err(_) => self.note_success(),
        }
        result
    }

    fn note_failure(&self, cause: &str, since_ms: u64) {
        if since_ms < self.answered_ms.load(Ordering::Relaxed) {
            // The service has answered a later call.
            return;
        }
        let first =
            self.failing_ms.compare_exchange(0, since_ms, Ordering::Relaxed, Ordering::Relaxed);
        if first.is_ok() {
            log::warn!(error = cause; "key-value service lost");
        }
    }

    fn note_success(&self) {
        let outage = self.outage();
        self.answered_ms.store(now_ms(), Ordering::Relaxed);
        let failing = self.failing_ms.swap(0, Ordering::Relaxed);
        if failing > 0 || outage.is_some() {
            log::info!(
                outage_ms = millis(outage.unwrap_or_default());
                "key-value service regained"
            );
        }
        if outage.is_some() {
            self.regained.notify_waiters();
        }
    }

    fn calls(&self) -> MutexGuard<'_, BTreeMap<u64, u64>> {
        self.in_flight.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts a call as in flight while it exists.
struct CallFlight<'a> {
    store: &'a WatchedStore,
    number: u64,
    sent_ms: u64,
}

impl<'a> CallFlight<'a> {
    fn begin(store: &'a WatchedStore) -> Self {
        let number = store.newest_call.fetch_add(1, Ordering::Relaxed);
        let sent_ms = now_ms();
        store.calls().insert(number, sent_ms);
        Self { store, number, sent_ms }
    }
}

impl Drop for CallFlight<'_> {
    fn drop(&mut self) {
        self.store.calls().remove(&self.number);
    }
}

#[async_trait]
impl KeyValueService for WatchedStore {
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
        // A watch that waited through an outage may never be answered; its caller asks again.
        tokio::select! {
            result = self.inner.watch(prefix, after, wait) => self.note(result, now_ms()),
            () = self.regained.notified() => {
                Err(StoreError::Unavailable("the service was away during the watch".to_owned()))
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
impl BatchStore for WatchedStore {
    async fn commit(&self, batch: StoreBatch) -> Result<Revision, StoreError> {
        self.call(self.inner.commit(batch)).await
    }
}

fn now_ms() -> u64 {
    millis(clock::now())
}
