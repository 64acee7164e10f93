//! What is believed of a key-value service that stops answering and comes back.

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

/// Time for an answer of a call as the platform's client waits for it.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// A store that can fall silent: calls then end after their timeout, also when it is back
/// meanwhile.
struct SilentStore {
    inner: MemoryStore,
    silent: AtomicBool,
}

impl SilentStore {
    async fn answer(&self, wait: Duration) -> Result<(), StoreError> {
        if !self.silent.load(Ordering::SeqCst) {
            return Ok(());
        }
        sleep(CALL_TIMEOUT + wait).await;
        Err(StoreError::Unclear("no answer in time".into()))
    }
}

#[async_trait]
impl KeyValueService for SilentStore {
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
impl BatchStore for SilentStore {
    async fn commit(&self, batch: StoreBatch) -> Result<Revision, StoreError> {
        self.answer(Duration::ZERO).await?;
        self.inner.commit(batch).await
    }
}

fn start() -> (Arc<SilentStore>, Arc<MonitoredStore>) {
    let inner = MemoryStore::new();
    let silent = Arc::new(SilentStore { inner, silent: AtomicBool::new(false) });
    let watched = Arc::new(MonitoredStore::new(silent.clone()));
    tokio::spawn(watched.clone().probe(TimerService::new()));
    (silent, watched)
}

/// Guards against clients that wait for the whole timeout of a call to a silent service.
#[tokio::test]
async fn silent_service_shows_before_a_call_times_out() {
    let (silent, watched) = start();
    watched.get("key").await.expect("the service answers");
    silent.silent.store(true, Ordering::SeqCst);
    let called = watched.clone();
    let call = tokio::spawn(async move { called.get("key").await });
    sleep(Duration::from_millis(100)).await;
    assert_eq!(watched.outage(), None, "a call in flight proves nothing at once");
    sleep(Duration::from_millis(500)).await;
    assert!(!call.is_finished() && watched.outage().is_some());
}

/// Guards against refusals that go on after the service is back, until some call that hung ends.
#[tokio::test]
async fn return_of_the_service_is_noticed_without_a_caller() {
    let (silent, watched) = start();
    silent.silent.store(true, Ordering::SeqCst);
    let called = watched.clone();
    tokio::spawn(async move { called.get("key").await });
    sleep(Duration::from_millis(700)).await;
    assert!(watched.outage().is_some());
    silent.silent.store(false, Ordering::SeqCst);
    // One probe that was in flight and one period until the next.
    sleep(Duration::from_millis(450)).await;
    assert_eq!(watched.outage(), None);
}

/// Guards against a watch that hangs after an outage, so that a new scheduler is seen late.
#[tokio::test]
async fn watch_through_an_outage_ends_with_it() {
    let (silent, watched) = start();
    silent.silent.store(true, Ordering::SeqCst);
    let called = watched.clone();
    let watch = tokio::spawn(async move { called.watch("key", 0, Duration::from_secs(60)).await });
    let called = watched.clone();
    tokio::spawn(async move { called.get("key").await });
    sleep(Duration::from_millis(700)).await;
    silent.silent.store(false, Ordering::SeqCst);
    let ended = timeout(Duration::from_millis(500), watch).await.expect("the watch ends");
    assert!(ended.expect("the task runs").is_err());
}

/// Guards against refusals because one watch was cut while the service answers.
#[tokio::test]
async fn one_failure_is_no_outage() {
    let (silent, watched) = start();
    silent.silent.store(true, Ordering::SeqCst);
    let ended = watched.watch("key", 0, Duration::ZERO).await;
    assert!(ended.is_err());
    silent.silent.store(false, Ordering::SeqCst);
    assert_eq!(watched.outage(), None, "the watch has just failed");
    watched.get("key").await.expect("the service answers");
    assert_eq!(watched.outage(), None);
}
