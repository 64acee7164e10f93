//! Job records in the key-value service.
//!
//! A record is stored under the failure domain that owns the job. While the owner changes, records
//! can exist under both domains; the one whose key matches its `owner` field is authoritative. A
//! lookup searches all domains and then the recent histories of ended jobs.

use std::collections::BTreeMap;
use std::time::Duration;

use lacewingrail_model::clock::unix_millis;
use lacewingrail_model::job::{HistoryPage, JobRecord, JobState};
use lacewingrail_model::store::{Revision, StoreEntry, StoreError};
use lacewingrail_model::timer::TimerService;
use lacewingrail_model::{DomainName, JobId, keys};

use crate::SharedState;
use crate::error::RouteError;

/// Maximum number of attempts of one write.
const MAX_ATTEMPTS: u32 = 8;
/// Initial delay before a retry after an unknown outcome or a conflict; doubles with each attempt,
/// up to 16 times the initial value.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(20);

const MS_PER_DAY: u64 = 86_400_000;

/// Job record with its key and the revision of the key; the key is empty if the record comes from a
/// history.
pub(crate) struct FoundJob {
    pub(crate) record: JobRecord,
    key: String,
    revision: Revision,
}

impl FoundJob {
    /// Returns whether the key of the record matches its `owner` field.
    fn is_under_owner(&self) -> bool {
        self.key == keys::job(&self.record.owner, &self.record.id)
    }
}

/// Looks up a job by its id; the result is `None` if it does not exist or the id is invalid.
pub(crate) async fn find(state: &SharedState, id: &JobId) -> Result<Option<FoundJob>, RouteError> {
    if !is_valid_job_id(id) {
        return Ok(None);
    }
    let store = state.context.store();
    // Record under a domain that is not its owner; returned if no authoritative record is found.
    let mut other_copy = None;
    for domain in state.context.config().domains.keys() {
        if let Some(entry) = store.get(&keys::job(domain, id)).await? {
            let found = parse_entry(&entry)?;
            if found.is_under_owner() {
                return Ok(Some(found));
            }
            other_copy = Some(found);
        }
    }
    match other_copy {
        Some(found) => Ok(Some(found)),
        None => find_in_snapshot(state, id).await,
    }
}

/// Looks up a job in all domains at a single store revision, and then in the histories.
///
/// A read at one revision cannot miss a job whose owner changes concurrently. The histories are
/// read last because a job is added to its history before its record is deleted.
pub(crate) async fn find_in_snapshot(
    state: &SharedState,
    id: &JobId,
) -> Result<Option<FoundJob>, RouteError> {
    let suffix = format!("/{id}");
    let entries = state.context.store().list(keys::JOBS).await?;
    let mut other_copy = None;
    for entry in entries.iter().filter(|entry| entry.key.ends_with(&suffix)) {
        let found = parse_entry(entry)?;
        if found.is_under_owner() {
            return Ok(Some(found));
        }
        other_copy = Some(found);
    }
    if other_copy.is_some() {
        return Ok(other_copy);
    }
    let config = state.context.config();
    let ended = list_histories(state, config.domains.keys()).await?;
    let record = ended.into_iter().find(|record| record.id == *id);
    Ok(record.map(|record| FoundJob { record, key: String::new(), revision: 0 }))
}

/// Lists the job records of one failure domain, or of all; each job appears once.
pub(crate) async fn list(
    state: &SharedState,
    domain: Option<&DomainName>,
    include_history: bool,
) -> Result<Vec<JobRecord>, RouteError> {
    let prefix = domain.map_or_else(|| keys::JOBS.to_owned(), keys::domain_jobs);
    let entries = state.context.store().list(&prefix).await?;
    let mut records = BTreeMap::new();
    for entry in &entries {
        match parse_entry(entry) {
            Ok(found) if found.is_under_owner() => {
                records.insert(found.record.id.clone(), found.record);
            }
            Ok(found) => {
                records.entry(found.record.id.clone()).or_insert(found.record);
            }
            // One malformed record must not hide the others.
            Err(error) => log::error!("{}", error.body().reason),
        }
    }
    if include_history {
        let config = state.context.config();
        let domains =
            config.domains.keys().filter(|name| domain.is_none_or(|selected| selected == *name));
        for record in list_histories(state, domains).await? {
            records.entry(record.id.clone()).or_insert(record);
        }
    }
    Ok(records.into_values().collect())
}

/// Creates the record of a job, whose id must be unique.
pub(crate) async fn create(state: &SharedState, record: &JobRecord) -> Result<(), RouteError> {
    let key = keys::job(&record.owner, &record.id);
    let value = encode(record)?;
    let store = state.context.store();
    let mut outcome_unknown = false;
    for attempt in 0..MAX_ATTEMPTS {
        match store.put(&key, value.clone(), 0, None).await {
            Ok(_) => return Ok(()),
            // The id is unique, so an existing key was written by an earlier attempt.
            Err(StoreError::Conflict { .. }) => return Ok(()),
            Err(StoreError::Unclear(_)) => outcome_unknown = true,
            Err(StoreError::Unavailable(_)) if outcome_unknown => {}
            Err(error) => return Err(error.into()),
        }
        back_off(attempt).await;
        // The scheduler may already have updated or moved the record, so its write id may differ.
        if let Ok(Some(_)) = find(state, &record.id).await {
            return Ok(());
        }
    }
    Err(RouteError::unknown_outcome(
        format!("it is unknown whether job {} was written", record.id),
        "submit it again with the same idempotency key",
    ))
}

/// Marks a job as cancelled by compare-and-swap; its scheduler then stops its tasks.
pub(crate) async fn cancel(state: &SharedState, found: FoundJob) -> Result<JobRecord, RouteError> {
    let id = found.record.id.clone();
    let store = state.context.store();
    let write_id = state.context.generate_write_id();
    let mut current = Some(found);
    let mut outcome_unknown = false;
    for attempt in 0..MAX_ATTEMPTS {
        let found = match current.take() {
            Some(found) => found,
            None => match find(state, &id).await {
                Ok(Some(found)) => found,
                Ok(None) => return Err(job_not_found(&id)),
                Err(_) if outcome_unknown => {
                    back_off(attempt).await;
                    continue;
                }
                Err(error) => return Err(error),
            },
        };
        let FoundJob { mut record, key, revision } = found;
        if record.state == JobState::Cancelled {
            return Ok(record);
        }
        if record.state.is_final() {
            return Err(RouteError::new(
                axum::http::StatusCode::CONFLICT,
                format!("job {id} has already ended"),
                "nothing is left to cancel",
            ));
        }
        record.state = JobState::Cancelled;
        record.ended_at = Some(unix_millis());
        record.mark.clone_from(&write_id);
        match store.put(&key, encode(&record)?, revision, None).await {
            Ok(_) => return Ok(record),
            Err(StoreError::Conflict { .. }) => {}
            Err(StoreError::Unclear(_)) => outcome_unknown = true,
            Err(StoreError::Unavailable(_)) if outcome_unknown => {}
            Err(error) => return Err(error.into()),
        }
        back_off(attempt).await;
    }
    Err(RouteError::unknown_outcome(
        format!("it is unknown whether job {id} was cancelled"),
        "show the job and cancel it again",
    ))
}

/// Creates the error for a job that does not exist or that the caller may not view.
pub(crate) fn job_not_found(id: &str) -> RouteError {
    RouteError::not_found(
        format!("job \"{}\" does not exist", sanitize_id(id)),
        "list the jobs; a job that ended long ago is forgotten",
    )
}

/// Returns whether a text can be used as a job id in a store key: 1 to 64 ASCII letters, digits and
/// hyphens.
pub(crate) fn is_valid_job_id(text: &str) -> bool {
    const MAX_ID_BYTES: usize = 64;
    !text.is_empty()
        && text.len() <= MAX_ID_BYTES
        && text.bytes().all(|byte| byte.is_ascii_alphanumeric() || byte == b'-')
}

/// Reads the histories of yesterday, today and tomorrow, in UTC days. If clocks differ, a job that
/// has just ended can be in the history of tomorrow.
///
/// Older histories are not searched because their total size is unbounded.
async fn list_histories<'a, I>(
    state: &SharedState,
    domains: I,
) -> Result<Vec<JobRecord>, RouteError>
where
    I: Iterator<Item = &'a DomainName>,
{
    let store = state.context.store();
    let today = unix_millis() / MS_PER_DAY;
    let mut records = Vec::new();
    for domain in domains {
        for day in today.saturating_sub(1)..=today + 1 {
            for entry in store.list(&keys::history(domain, day)).await? {
                match serde_json::from_str::<HistoryPage>(&entry.value) {
                    Ok(page) => records.extend(page.jobs),
                    Err(error) => {
                        log::error!("job history {} is malformed ({error}); restore it", entry.key)
                    }
                }
            }
        }
    }
    Ok(records)
}

fn parse_entry(entry: &StoreEntry) -> Result<FoundJob, RouteError> {
    let record = serde_json::from_str(&entry.value)
        .map_err(|error| StoreError::Malformed(format!("{}: {error}", entry.key)))?;
    Ok(FoundJob { record, key: entry.key.clone(), revision: entry.revision })
}

fn encode(record: &JobRecord) -> Result<String, RouteError> {
    Ok(serde_json::to_string(record).map_err(|error| StoreError::Malformed(error.to_string()))?)
}

/// Removes control characters from an id of a request and truncates it for use in an error message.
fn sanitize_id(text: &str) -> String {
    text.chars().filter(|character| !character.is_control()).take(64).collect()
}

/// Waits before a retry, with exponential backoff; the first attempt has number 0.
pub(crate) async fn back_off(attempt: u32) {
    TimerService::new().wait(INITIAL_RETRY_DELAY * (1 << attempt.min(4))).await;
}
