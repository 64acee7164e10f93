//! Notes whether the key-value service answers.
//!
//! Clients whose jobs can't be stored are refused at once while the service does not answer. Trying
//! would take as long as the call's timeout and leave the outcome unknown.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use lacewingrail_model::store::{
    BatchStore, KeyValueService, LeaseId, Revision, StoreBatch, StoreEntry, StoreError, WatchBatch,
};

use crate::clock;

/// Time without a successful call, the newest one having failed, after which the service counts as
/// out of reach: a single lost answer does not.
const OUTAGE_TIME: Duration = Duration::from_millis(300);

/// Passes calls on and notes how they end.
pub struct WatchedStore {
    inner: Arc<dyn BatchStore>,
    /// Time of the last success in milliseconds.
    answered_ms: AtomicU64,
    /// Time of the last failure in milliseconds; 0 after a success.
    failed_ms: AtomicU64,
}

impl WatchedStore {
    /// Wraps a store.
    pub fn new(inner: Arc<dyn BatchStore>) -> Self {
        Self { inner, answered_ms: AtomicU64::new(now_ms()), failed_ms: AtomicU64::new(0) }
    }

    /// Returns for how long calls have only failed; nothing while the service answers.
    pub fn outage(&self) -> Option<Duration> {
        let failed = self.failed_ms.load(Ordering::Relaxed);
        let answered = self.answered_ms.load(Ordering::Relaxed);
        let age = Duration::from_millis(now_ms().saturating_sub(answered));
        (failed > 0 && age > OUTAGE_TIME).then_some(age)
    }

    fn note<T>(&self, result: Result<T, StoreError>) -> Result<T, StoreError> {
        let failure = match &result {
            Err(StoreError::Unavailable(cause) | StoreError::Unclear(cause)) => Some(cause),
            Ok(_) | Err(_) => None,
        };
        let before = self.failed_ms.load(Ordering::Relaxed);
        match failure {
            Some(cause) => {
                self.failed_ms.store(now_ms(), Ordering::Relaxed);
                if before == 0 {
                    log::warn!(error = cause; "key-value service lost");
                }
            }
            None => {
                self.answered_ms.store(now_ms(), Ordering::Relaxed);
                self.failed_ms.store(0, Ordering::Relaxed);
                if before > 0 {
                    log::info!(
                        failed_ms_ago = now_ms().saturating_sub(before);
                        "key-value service regained"
                    );
                }
            }
        }
        result
    }
}

#[async_trait]
impl KeyValueService for WatchedStore {
    async fn get(&self, key: &str) -> Result<Option<StoreEntry>, StoreError> {
        self.note(self.inner.get(key).await)
    }

    async fn list(&self, prefix: &str) -> Result<Vec<StoreEntry>, StoreError> {
        self.note(self.inner.list(prefix).await)
    }

    async fn put(
        &self,
        key: &str,
        value: String,
        expected: Revision,
        lease: Option<LeaseId>,
    ) -> Result<Revision, StoreError> {
        self.note(self.inner.put(key, value, expected, lease).await)
    }

    async fn delete(&self, key: &str, expected: Revision) -> Result<(), StoreError> {
        self.note(self.inner.delete(key, expected).await)
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchBatch, StoreError> {
        self.note(self.inner.watch(prefix, after, wait).await)
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.note(self.inner.grant_lease(ttl).await)
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.note(self.inner.renew_lease(lease).await)
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.note(self.inner.revoke_lease(lease).await)
    }
}

#[async_trait]
impl BatchStore for WatchedStore {
    async fn commit(&self, batch: StoreBatch) -> Result<Revision, StoreError> {
        self.note(self.inner.commit(batch).await)
    }
}

fn now_ms() -> u64 {
    u64::try_from(clock::now().as_millis()).unwrap_or(u64::MAX)
}
