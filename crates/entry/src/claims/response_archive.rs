//! Bodies of recorded responses that are too large for their claim.
//!
//! Each is stored under its own key and bound to a lease, so that the key-value service deletes it
//! when its claim expires. All bodies written within an hour share a lease.

use std::sync::Arc;
use std::time::Duration;

use lacewingrail_model::keys;
use lacewingrail_model::store::{KeyValueService, LeaseId, StoreError};
use tokio::sync::Mutex;
use tokio::time::Instant;

use crate::claims::record::{CLAIM_RETENTION, RecordedBody};

/// Time for which new bodies are bound to the same lease.
const LEASE_REUSE_TIME: Duration = Duration::from_secs(3600);

/// Stores and reads response bodies under their own keys.
pub struct ResponseArchive {
    store: Arc<dyn KeyValueService>,
    lease: Mutex<Option<(LeaseId, Instant)>>,
}

impl ResponseArchive {
    /// Creates an archive; the first lease is granted with the first write.
    pub fn new(store: Arc<dyn KeyValueService>) -> Self {
        Self { store, lease: Mutex::new(None) }
    }

    /// Writes a body; `hash` must be unique to the request.
    ///
    /// # Errors
    /// Reports a failure of the key-value service; the next write uses a new lease.
    pub async fn write(&self, service: &str, hash: u64, body: &[u8]) -> Result<(), StoreError> {
        let value = serde_json::to_string(&RecordedBody::inline(body))
            .map_err(|error| StoreError::Malformed(error.to_string()))?;
        let lease = self.lease().await?;
        match self.store.put(&keys::archived_response(service, hash), value, 0, Some(lease)).await {
            // The key is unique to this request, so an existing value stems from an earlier
            // attempt.
            Ok(_) | Err(StoreError::Conflict { .. }) => Ok(()),
            Err(error) => {
                *self.lease.lock().await = None;
                Err(error)
            }
        }
    }

    /// Reads a body; `None` once it has expired.
    ///
    /// # Errors
    /// Reports a failure of the key-value service or a malformed value.
    pub async fn read(&self, service: &str, hash: u64) -> Result<Option<Vec<u8>>, StoreError> {
        let Some(entry) = self.store.get(&keys::archived_response(service, hash)).await? else {
            return Ok(None);
        };
        let body: RecordedBody = serde_json::from_str(&entry.value)
            .map_err(|error| StoreError::Malformed(error.to_string()))?;
        Ok(body.bytes())
    }

    /// Returns the current lease, or grants a new one after [`LEASE_REUSE_TIME`].
    async fn lease(&self) -> Result<LeaseId, StoreError> {
        let mut current = self.lease.lock().await;
        if let Some((lease, since)) = *current {
            if since.elapsed() < LEASE_REUSE_TIME {
                return Ok(lease);
            }
            // Renewed so that the newest body bound to it is stored for the full retention.
            let _ = self.store.renew_lease(lease).await;
        }
        let lease = self.store.grant_lease(CLAIM_RETENTION).await?;
        *current = Some((lease, Instant::now()));
        Ok(lease)
    }
}
