//! Recorded answers that are too large for their claim.
//!
//! Each is kept under a key of its own, bound to a lease, so that the service forgets it with the
//! claim. All answers of an hour share a lease.

use std::sync::Arc;
use std::time::Duration;

use lacewingrail_model::keys;
use lacewingrail_model::store::{KeyValueService, LeaseId, StoreError};
use tokio::sync::Mutex;
use tokio::time::Instant;

use crate::claims::record::{RETENTION, RecordedBody};

/// Time for which new answers use one lease.
const LEASE_USE: Duration = Duration::from_secs(3600);

/// Writes and reads answers.
pub struct AnswerArchive {
    store: Arc<dyn KeyValueService>,
    lease: Mutex<Option<(LeaseId, Instant)>>,
}

impl AnswerArchive {
    /// Creates an archive.
    pub fn new(store: Arc<dyn KeyValueService>) -> Self {
        Self { store, lease: Mutex::new(None) }
    }

    /// Writes an answer; `hash` must be unique to the request.
    pub async fn write(&self, service: &str, hash: u64, body: &[u8]) -> Result<(), StoreError> {
        let value = serde_json::to_string(&RecordedBody::inline(body))
            .map_err(|error| StoreError::Malformed(error.to_string()))?;
        let lease = self.lease().await?;
        match self.store.put(&keys::answer(service, hash), value, 0, Some(lease)).await {
            // The key is unique to this request, so that an existing value is its own.
            Ok(_) | Err(StoreError::Conflict { .. }) => Ok(()),
            Err(error) => {
                *self.lease.lock().await = None;
                Err(error)
            }
        }
    }

    /// Reads an answer; nothing when it is no longer kept.
    pub async fn read(&self, service: &str, hash: u64) -> Result<Option<Vec<u8>>, StoreError> {
        let Some(entry) = self.store.get(&keys::answer(service, hash)).await? else {
            return Ok(None);
        };
        let body: RecordedBody = serde_json::from_str(&entry.value)
            .map_err(|error| StoreError::Malformed(error.to_string()))?;
        Ok(body.bytes())
    }

    async fn lease(&self) -> Result<LeaseId, StoreError> {
        let mut current = self.lease.lock().await;
        if let Some((lease, since)) = *current {
            if since.elapsed() < LEASE_USE {
                return Ok(lease);
            }
            // Its newest answer is to be kept for the full time.
            let _ = self.store.renew_lease(lease).await;
        }
        let lease = self.store.grant_lease(RETENTION).await?;
        *current = Some((lease, Instant::now()));
        Ok(lease)
    }
}
