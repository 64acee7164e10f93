//! Outage detection while the key-value service stops answering and recovers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use lacewingrail_clients::MemoryStore;
use lacewingrail_instance::store_health::MonitoredStore;
use lacewingrail_model::store::{
    BatchStore, KeyValueService, LeaseId, Revision, StoreBatch, StoreEntry, StoreError, WatchBatch,
};
use lacewingrail_model::timer::TimerService;
use tokio::time::{sleep, timeout};

/// Timeout of a call, as in the platform's client.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Store that can stop answering: calls sent in that state fail after their timeout, even if the
/// store has recovered by then.
struct UnresponsiveStore {
    inner: MemoryStore,
    unresponsive: AtomicBool,
}

impl UnresponsiveStore {
    async fn answer(&self, wait: Duration) -> Result<(), StoreError> {
        if !self.unresponsive.load(Ordering::SeqCst) {
            return Ok(());
        }
        sleep(CALL_TIMEOUT + wait).await;
        Err(StoreError::Unclear("no answer in time".into()))
    }
}

#[async_trait]
impl KeyValueService for UnresponsiveStore {
    async fn get(&self, key: &str) -> Result<Option<StoreEntry>, StoreError> {
        self.answer(Duration::ZERO).await?;
        self.inner.get(key).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<StoreEntry>, StoreError> {
        self.answer(Duration::ZERO).await?;
        self.inner.list(prefix).await
    }

    async fn put(
        &self,
        key: &str,
        value: String,
        expected: Revision,
        lease: Option<LeaseId>,
    ) -> Result<Revision, StoreError> {
        self.answer(Duration::ZERO).await?;
        self.inner.put(key, value, expected, lease).await
    }

    async fn delete(&self, key: &str, expected: Revision) -> Result<(), StoreError> {
        self.answer(Duration::ZERO).await?;
        self.inner.delete(key, expected).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchBatch, StoreError> {
        self.answer(wait).await?;
        self.inner.watch(prefix, after, wait).await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.answer(Duration::ZERO).await?;
        self.inner.grant_lease(ttl).await
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.answer(Duration::ZERO).await?;
        self.inner.renew_lease(lease).await
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.answer(Duration::ZERO).await?;
        self.inner.revoke_lease(lease).await
    }
}

#[async_trait]
impl BatchStore for UnresponsiveStore {
    async fn commit(&self, batch: StoreBatch) -> Result<Revision, StoreError> {
        self.answer(Duration::ZERO).await?;
        self.inner.commit(batch).await
    }
}

fn start() -> (Arc<UnresponsiveStore>, Arc<MonitoredStore>) {
    let inner = MemoryStore::new();
    let store = Arc::new(UnresponsiveStore { inner, unresponsive: AtomicBool::new(false) });
    let monitored = Arc::new(MonitoredStore::new(store.clone()));
    tokio::spawn(monitored.clone().probe(TimerService::new()));
    (store, monitored)
}

/// Guards against clients that wait for the full timeout of a call to an unresponsive service.
#[tokio::test]
async fn unresponsive_service_is_detected_before_a_call_times_out() {
    let (store, monitored) = start();
    monitored.get("key").await.expect("the service answers");
    store.unresponsive.store(true, Ordering::SeqCst);
    let caller = monitored.clone();
    let call = tokio::spawn(async move { caller.get("key").await });
    sleep(Duration::from_millis(100)).await;
    assert_eq!(monitored.outage(), None, "a recent call in flight is no outage");
    sleep(Duration::from_millis(500)).await;
    assert!(!call.is_finished() && monitored.outage().is_some());
}

/// Guards against refusals after a recovery that last until a hanging call times out.
#[tokio::test]
async fn recovery_is_detected_without_client_calls() {
    let (store, monitored) = start();
    store.unresponsive.store(true, Ordering::SeqCst);
    let caller = monitored.clone();
    tokio::spawn(async move { caller.get("key").await });
    sleep(Duration::from_millis(700)).await;
    assert!(monitored.outage().is_some());
    store.unresponsive.store(false, Ordering::SeqCst);
    // The rest of a probe in flight and one interval until the next.
    sleep(Duration::from_millis(450)).await;
    assert_eq!(monitored.outage(), None);
}

/// Guards against a watch that still hangs after an outage, so that a new scheduler is detected
/// late.
#[tokio::test]
async fn watch_ends_when_the_outage_ends() {
    let (store, monitored) = start();
    store.unresponsive.store(true, Ordering::SeqCst);
    let caller = monitored.clone();
    let watch = tokio::spawn(async move { caller.watch("key", 0, Duration::from_secs(60)).await });
    let caller = monitored.clone();
    tokio::spawn(async move { caller.get("key").await });
    sleep(Duration::from_millis(700)).await;
    store.unresponsive.store(false, Ordering::SeqCst);
    let result = timeout(Duration::from_millis(500), watch).await.expect("the watch ends");
    assert!(result.expect("the task runs").is_err());
}

/// Guards against refusals because a single watch failed while the service answers.
#[tokio::test]
async fn single_failure_is_not_an_outage() {
    let (store, monitored) = start();
    store.unresponsive.store(true, Ordering::SeqCst);
    let result = monitored.watch("key", 0, Duration::ZERO).await;
    assert!(result.is_err());
    store.unresponsive.store(false, Ordering::SeqCst);
    assert_eq!(monitored.outage(), None, "the first failure is recent");
    monitored.get("key").await.expect("the service answers");
    assert_eq!(monitored.outage(), None);
}
