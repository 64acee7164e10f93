//! Writes and deletions of job records.
//!
//! All attempts to write the same content carry the same write id. After a lost answer the record
//! is read back; if it carries the id, the write took effect.

use std::time::Duration;

use lacewingrail_clients::read;
use lacewingrail_model::job::JobRecord;
use lacewingrail_model::store::{KeyValueService, Revision, StoreError};
use lacewingrail_model::timer::TimerService;

/// Maximum attempts for one write or deletion.
const MAX_ATTEMPTS: u32 = 5;
/// Delay between attempts.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Timeout of a call to the store.
pub const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// Outcome of a write.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteOutcome {
    /// The record was written; carries its new revision.
    Written(Revision),
    /// Another writer changed the record first; carries the current record, or `None` if it was
    /// deleted.
    Conflict(Option<Box<(JobRecord, Revision)>>),
    /// The write failed or its outcome is unknown; it has to be repeated.
    Failed(StoreError),
}

/// Applies [`STORE_TIMEOUT`] to a call to the store, whose connections can stall.
pub async fn with_timeout<T, F>(call: F) -> Result<T, StoreError>
where
    F: Future<Output = Result<T, StoreError>>,
{
    let result = tokio::time::timeout(STORE_TIMEOUT, call).await;
    result.unwrap_or_else(|_| Err(StoreError::Unclear("no answer in time".to_owned())))
}

/// Writes a record if its stored revision is the expected one; 0 expects that it does not exist.
pub async fn write(
    store: &dyn KeyValueService,
    timer: &TimerService,
    key: &str,
    record: &JobRecord,
    expected: Revision,
) -> WriteOutcome {
    let value = match serde_json::to_string(record) {
        Ok(value) => value,
        Err(error) => return WriteOutcome::Failed(StoreError::Malformed(error.to_string())),
    };
    let mut last_error = StoreError::Unavailable("no attempt was made".to_owned());
    for attempt in 0..MAX_ATTEMPTS {
        if attempt > 0 {
            timer.wait(RETRY_DELAY).await;
        }
        match with_timeout(store.put(key, value.clone(), expected, None)).await {
            Ok(revision) => return WriteOutcome::Written(revision),
            Err(StoreError::Conflict { .. }) => {}
            Err(StoreError::Unclear(cause)) => last_error = StoreError::Unclear(cause),
            // An earlier attempt may have taken effect, so this error is not final.
            Err(error) if matches!(last_error, StoreError::Unclear(_)) => {
                log::debug!("the outcome of the write of {key} is still unknown: {error}");
                continue;
            }
            Err(error) => return WriteOutcome::Failed(error),
        }
        match with_timeout(read::<JobRecord>(store, key)).await {
            Ok(Some((current, revision))) if current.mark == record.mark => {
                return WriteOutcome::Written(revision);
            }
            // The write has not taken effect yet.
            Ok(Some((_, revision))) if revision == expected => {}
            Ok(None) if expected == 0 => {}
            Ok(current) => return WriteOutcome::Conflict(current.map(Box::new)),
            Err(StoreError::Malformed(cause)) => {
                return WriteOutcome::Failed(StoreError::Malformed(cause));
            }
            Err(error) => log::debug!("the outcome of the write of {key} is unknown: {error}"),
        }
    }
    WriteOutcome::Failed(last_error)
}

/// Deletes a record regardless of its revision.
///
/// # Errors
/// Returns an error if the record may still exist.
pub async fn delete(
    store: &dyn KeyValueService,
    key: &str,
    known_revision: Revision,
) -> Result<(), StoreError> {
    let mut expected = known_revision;
    let mut last_error = StoreError::Unavailable("no attempt was made".to_owned());
    for _ in 0..MAX_ATTEMPTS {
        match with_timeout(store.delete(key, expected)).await {
            Ok(()) | Err(StoreError::Conflict { current: 0 }) => return Ok(()),
            Err(StoreError::Conflict { current }) => expected = current,
            Err(StoreError::Unclear(cause)) => last_error = StoreError::Unclear(cause),
            Err(error) => return Err(error),
        }
    }
    Err(last_error)
}
