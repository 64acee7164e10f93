//! Read-modify-write of one record in the key-value service.
//!
//! All attempts of an update store the same write id in the record. After an unclear answer the
//! record is read again, and its write id tells whether the write took effect. A delayed write
//! cannot take effect after a later attempt, because it expects the old revision.

use std::fmt;
use std::time::Duration;

use lacewingrail_model::store::{KeyValueService, LeaseId, Revision, StoreError};
use lacewingrail_model::timer::TimerService;
use lacewingrail_model::write_id::{WriteId, WriteIdGenerator};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Attempts of one update before it fails with the last error.
const MAX_ATTEMPTS: u32 = 12;
/// Backoff unit: the longest wait before retry n is this times 2^n, up to [`MAX_BACKOFF`].
const BASE_BACKOFF: Duration = Duration::from_millis(4);
/// Longest wait between attempts.
const MAX_BACKOFF: Duration = Duration::from_millis(250);

/// Record that stores the id of its newest write.
pub trait WriteIdRecord: DeserializeOwned + Send + Serialize + Sync {
    /// Returns the id of the newest write.
    fn write_id(&self) -> &str;

    /// Sets the write id before a write.
    fn set_write_id(&mut self, write_id: WriteId);

    /// Returns whether the write with this id took effect, or nothing if the record cannot tell.
    ///
    /// A record that keeps the ids of all its writes returns `Some(false)` for a missing one.
    fn took_effect(&self, write_id: &str) -> Option<bool> {
        (self.write_id() == write_id).then_some(true)
    }
}

/// Record after a confirmed write.
#[derive(Clone, Debug, PartialEq)]
pub struct WrittenRecord<R> {
    /// Record as it was written, including its write id.
    pub record: R,
    /// Revision of the record when it was last known to contain this write.
    pub revision: Revision,
}

/// Error of an update.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum UpdateError<E> {
    /// The change rejected the current record; no write of this update took effect.
    Refused(E),
    /// The service failed; `Unclear` means that the write may have taken effect.
    Store(StoreError),
}

impl<E> fmt::Display for UpdateError<E>
where
    E: fmt::Display,
{
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(error) => error.fmt(formatter),
            Self::Store(error) => error.fmt(formatter),
        }
    }
}

impl<E> std::error::Error for UpdateError<E> where E: fmt::Debug + fmt::Display {}

/// Reads and parses a record; returns it with its revision, or nothing if the key does not exist.
pub async fn read<R>(
    store: &dyn KeyValueService,
    key: &str,
) -> Result<Option<(R, Revision)>, StoreError>
where
    R: DeserializeOwned,
{
    let Some(entry) = store.get(key).await? else {
        return Ok(None);
    };
    let record = serde_json::from_str(&entry.value)
        .map_err(|error| StoreError::Malformed(format!("{key}: {error}")))?;
    Ok(Some((record, entry.revision)))
}

/// Changes a record by compare-and-swap and retries until the write is confirmed.
///
/// `change` receives the current record, or nothing if the key does not exist, and returns the
/// record to write or an error of its own. It runs again after each conflict with another writer.
/// If the outcome of a write cannot be determined, the update fails with
/// `UpdateError::Store(StoreError::Unclear)`.
pub async fn update<R, E, F>(
    store: &dyn KeyValueService,
    generator: &WriteIdGenerator,
    key: &str,
    change: F,
) -> Result<WrittenRecord<R>, UpdateError<E>>
where
    R: WriteIdRecord,
    E: Send,
    F: FnMut(Option<R>) -> Result<R, E> + Send,
{
    update_leased(store, generator, key, None, change).await
}

/// Changes a record as [`update()`] does and attaches its key to a lease.
pub async fn update_leased<R, E, F>(
    store: &dyn KeyValueService,
    generator: &WriteIdGenerator,
    key: &str,
    lease: Option<LeaseId>,
    mut change: F,
) -> Result<WrittenRecord<R>, UpdateError<E>>
where
    R: WriteIdRecord,
    E: Send,
    F: FnMut(Option<R>) -> Result<R, E> + Send,
{
    let write_id = generator.generate();
    // Expected revision and cause of the newest unclear write.
    let mut unclear: Option<(Revision, String)> = None;
    let mut last_error = StoreError::Unavailable("no attempt was made".into());
    for attempt in 0..MAX_ATTEMPTS {
        if attempt > 0 {
            back_off(attempt).await;
        }
        let current = match read::<R>(store, key).await {
            Ok(current) => current,
            Err(StoreError::Unavailable(cause)) if unclear.is_some() => {
                last_error = StoreError::Unavailable(cause);
                continue;
            }
            Err(error) => return Err(into_update_error(error, unclear)),
        };
        let (record, expected) =
            current.map_or((None, 0), |(record, revision)| (Some(record), revision));
        if let Some((unclear_revision, cause)) = &unclear {
            match record.as_ref().and_then(|record| record.took_effect(&write_id)) {
                Some(true) => {
                    return record
                        .map(|record| WrittenRecord { record, revision: expected })
                        .ok_or_else(|| UpdateError::Store(StoreError::Unclear(cause.clone())));
                }
                Some(false) => {}
                // The record is unchanged so far, so a further attempt expects the same revision.
                None if *unclear_revision == expected => {}
                None => return Err(UpdateError::Store(StoreError::Unclear(cause.clone()))),
            }
        }
        let mut record = change(record).map_err(|error| match &unclear {
            Some((unclear_revision, cause)) if *unclear_revision == expected => {
                UpdateError::Store(StoreError::Unclear(cause.clone()))
            }
            _ => UpdateError::Refused(error),
        })?;
        record.set_write_id(write_id.clone());
        let value = serde_json::to_string(&record)
            .map_err(|error| UpdateError::Store(StoreError::Malformed(error.to_string())))?;
        match store.put(key, value, expected, lease).await {
            Ok(revision) => return Ok(WrittenRecord { record, revision }),
            Err(StoreError::Conflict { current }) => last_error = StoreError::Conflict { current },
            Err(StoreError::Unclear(cause)) => {
                last_error = StoreError::Unclear(cause.clone());
                unclear = Some((expected, cause));
            }
            Err(error) => return Err(into_update_error(error, unclear)),
        }
    }
    Err(into_update_error(last_error, unclear))
}

/// Converts a failure; it is unclear if an earlier write of the update may have taken effect.
fn into_update_error<E>(error: StoreError, unclear: Option<(Revision, String)>) -> UpdateError<E> {
    UpdateError::Store(match unclear {
        Some((_, cause)) => StoreError::Unclear(cause),
        None => error,
    })
}

/// Waits before a retry for a random time up to the backoff of the attempt.
async fn back_off(attempt: u32) {
    let max_wait = BASE_BACKOFF.saturating_mul(1 << attempt.min(8)).min(MAX_BACKOFF);
    TimerService::new().wait(max_wait.mul_f64(rand::random::<f64>())).await;
}
