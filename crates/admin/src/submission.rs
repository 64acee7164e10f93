//! Submission of jobs.
//!
//! A submission with an idempotency key first claims the key by compare-and-swap under
//! `submissions/`, which names the job's id and first owner, and then writes the job record. A
//! repeated submission finds the claim. While the claim is not marked as created, the job is searched
//! for before it is written, because the first attempt may have died between the two writes.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use lacewingrail_model::clock::{UnixMillis, unix_millis};
use lacewingrail_model::config::ConfigView;
use lacewingrail_model::hash::digest;
use lacewingrail_model::job::{JobRecord, JobSpec};
use lacewingrail_model::store::{Revision, StoreError};
use lacewingrail_model::write_id::WriteId;
use lacewingrail_model::{DomainName, JobId, keys};
use lacewingrail_settings::capacity;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::failure::ApiFailure;
use crate::survey;
use crate::{SharedState, job_store};
use lacewingrail_model::admin::{DomainAnswer, DomainQuery};

/// Time for which an idempotency key is remembered, as long as claims of requests.
const KEEP_SUBMISSION: Duration = Duration::from_secs(24 * 3_600);
/// Time between two deletions of old submissions by one process.
const PURGE_PERIOD: Duration = Duration::from_secs(3_600);
/// Longest time between the search for a job and the write of its record. A job that was created,
/// finished and forgotten within this time could run twice, so the time is short.
const SEARCH_VALID: Duration = Duration::from_secs(2);
/// Longest idempotency key in bytes.
const MAX_KEY_BYTES: usize = 128;
/// Longest command in bytes, so that records stay small.
const MAX_COMMAND_BYTES: usize = 16 * 1024;
/// Attempts that one submission makes.
const ATTEMPTS: u32 = 8;

/// Claims an idempotency key for one job.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SubmissionRecord {
    /// Idempotency key as sent.
    pub key: String,
    /// Digest of the submitted specification.
    pub spec_digest: u64,
    /// Id of the job.
    pub id: JobId,
    /// Failure domain under which the job is first written.
    pub owner: DomainName,
    /// Whether the job record is known to have been written.
    pub created: bool,
    /// Time of the submission.
    pub at: UnixMillis,
    /// Mark of the newest write.
    pub mark: WriteId,
}

/// Remembers when old submissions were last deleted.
#[derive(Debug, Default)]
pub(crate) struct SubmissionPurge {
    last: Mutex<Option<Instant>>,
}

/// Submits a job and returns its record and whether this call created it.
pub(crate) async fn submit(
    state: &SharedState,
    spec: JobSpec,
) -> Result<(JobRecord, bool), ApiFailure> {
    let config = state.context.config();
    let Some(key) = spec.idempotency_key.clone() else {
        let candidates = check(&config, &spec)?;
        let owner = choose_owner(state, &config, &spec, candidates).await;
        let record = build_record(state, new_id(), owner, spec);
        job_store::create(state, &record).await?;
        return Ok((record, true));
    };
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        return Err(ApiFailure::bad_request(
            "the idempotency key is empty or over 128 bytes",
            "send a random text of 16 to 128 characters",
        ));
    }
    purge(state);
    submit_once(state, &config, spec, &key).await
}

async fn submit_once(
    state: &SharedState,
    config: &ConfigView,
    spec: JobSpec,
    key: &str,
) -> Result<(JobRecord, bool), ApiFailure> {
    let store_key = keys::submission(&spec.customer, digest(key.as_bytes()));
    let spec_digest = digest(serde_json::to_string(&spec).unwrap_or_default().as_bytes());
    let store = state.context.store();
    let mut offered: Option<SubmissionRecord> = None;
    for attempt in 0..ATTEMPTS {
        let found = match store.get(&store_key).await {
            Ok(found) => found,
            // A claim that was left without its job is harmless: a repetition writes the job.
            Err(error) => return Err(error.into()),
        };
        if let Some(entry) = found {
            let claim: SubmissionRecord = serde_json::from_str(&entry.value)
                .map_err(|error| StoreError::Malformed(format!("{store_key}: {error}")))?;
            if claim.key != key || claim.spec_digest != spec_digest {
                return Err(ApiFailure::refused(
                    "another job was submitted with this idempotency key",
                    "send a new key for a new job",
                ));
            }
            return resume(state, spec, claim, &store_key, entry.revision).await;
        }
        let claim = match offered.take() {
            Some(claim) => claim,
            None => {
                let candidates = check(config, &spec)?;
                let owner = choose_owner(state, config, &spec, candidates).await;
                SubmissionRecord {
                    key: key.to_owned(),
                    spec_digest,
                    id: new_id(),
                    owner,
                    created: false,
                    at: unix_millis(),
                    mark: state.context.issue_mark(),
                }
            }
        };
        match store.put(&store_key, encode(&claim)?, 0, None).await {
            Ok(revision) => {
                let record =
                    build_record(state, claim.id.clone(), claim.owner.clone(), spec.clone());
                job_store::create(state, &record).await?;
                mark_created(state, claim, &store_key, revision).await;
                return Ok((record, true));
            }
            Err(StoreError::Conflict { .. }) => {}
            Err(StoreError::Unclear(_)) => {
                job_store::wait(attempt).await;
                offered = Some(claim);
            }
            Err(error) => return Err(error.into()),
        }
    }
    Err(ApiFailure::unclear(
        "it is unknown whether the job was written",
        "submit it again with the same idempotency key",
    ))
}

/// Returns the job of a claim, and writes it if the claim's writer did not.
async fn resume(
    state: &SharedState,
    spec: JobSpec,
    claim: SubmissionRecord,
    store_key: &str,
    revision: Revision,
) -> Result<(JobRecord, bool), ApiFailure> {
    for _ in 0..ATTEMPTS {
        let searched_at = Instant::now();
        let found = if claim.created {
            job_store::find(state, &claim.id).await?
        } else {
            job_store::find_moving(state, &claim.id).await?
        };
        if let Some(found) = found {
            if !claim.created {
                mark_created(state, claim, store_key, revision).await;
            }
            return Ok((found.record, false));
        }
        if claim.created {
            return Err(ApiFailure::new(
                axum::http::StatusCode::GONE,
                format!(
                    "the job of this idempotency key, {}, has ended and is forgotten",
                    claim.id
                ),
                "send a new key to run it again",
            ));
        }
        let record = build_record(state, claim.id.clone(), claim.owner.clone(), spec.clone());
        if searched_at.elapsed() > SEARCH_VALID {
            continue;
        }
        job_store::create(state, &record).await?;
        mark_created(state, claim, store_key, revision).await;
        return Ok((record, true));
    }
    Err(ApiFailure::unclear(
        format!("it is unknown whether job {} was written", claim.id),
        "submit it again with the same idempotency key",
    ))
}

/// A claim that stays unmarked costs a repeated submission one search, so a failure is harmless.
async fn mark_created(
    state: &SharedState,
    claim: SubmissionRecord,
    store_key: &str,
    revision: Revision,
) {
    let claim = SubmissionRecord { created: true, mark: state.context.issue_mark(), ..claim };
    let Ok(value) = encode(&claim) else { return };
    if let Err(error) = state.context.store().put(store_key, value, revision, None).await {
        log::debug!("the submission of job {} is not marked as created: {error}", claim.id);
    }
}

/// Refuses jobs that can never run and returns the failure domains that can hold the job.
fn check(config: &ConfigView, spec: &JobSpec) -> Result<Vec<DomainName>, ApiFailure> {
    let Some(customer) = config.customers.get(&spec.customer) else {
        return Err(ApiFailure::refused(
            format!("customer \"{}\" is not in the settings tree", spec.customer),
            "check the name or let an operator add the customer",
        ));
    };
    let shape = spec.shape;
    if shape.members == 0 || shape.members > lacewingrail_model::shape::MAX_GANG_MEMBERS {
        return Err(ApiFailure::refused(
            format!("a gang cannot have {} members", shape.members),
            "ask for 1 to 64 members",
        ));
    }
    if shape.accelerators > capacity::MAX_MEMBER_ACCELERATORS {
        return Err(ApiFailure::refused(
            format!("a member cannot have {} accelerators", shape.accelerators),
            "ask for at most 8 accelerators for each member and for more members",
        ));
    }
    if shape.total() > customer.quota {
        return Err(ApiFailure::refused(
            format!(
                "the job needs {} accelerators, over the quota of {} of customer {}",
                shape.total(),
                customer.quota,
                spec.customer
            ),
            "ask for fewer accelerators or let an operator raise the quota",
        ));
    }
    if spec.command.len() > MAX_COMMAND_BYTES {
        return Err(ApiFailure::refused(
            format!("the command has {} bytes, over {MAX_COMMAND_BYTES}", spec.command.len()),
            "put the script where the worker can read it and name it in the command",
        ));
    }
    let unknown = spec.domains.iter().find(|name| !config.domains.contains_key(*name));
    if let Some(name) = unknown {
        return Err(ApiFailure::refused(
            format!("failure domain \"{}\" does not exist", name.escape_debug()),
            "name failure domains of the settings tree, or none for any",
        ));
    }
    let candidates: Vec<DomainName> = config
        .domains
        .iter()
        .filter(|(name, _)| spec.domains.is_empty() || spec.domains.contains(name))
        .filter(|(_, domain)| capacity::fits(domain, shape))
        .map(|(name, _)| name.clone())
        .collect();
    if candidates.is_empty() {
        return Err(ApiFailure::refused(
            format!("no allowed failure domain is large enough for {shape}, even when empty"),
            "ask for fewer or less adjacent members, or allow more failure domains",
        ));
    }
    Ok(candidates)
}

/// Chooses the owner: in service, with a guarantee of the shape, most accelerators free.
///
/// A job whose failure domains are all out waits in one of them, because the loss is temporary.
async fn choose_owner(
    state: &SharedState,
    config: &ConfigView,
    spec: &JobSpec,
    candidates: Vec<DomainName>,
) -> DomainName {
    let answers = match candidates.as_slice() {
        [only] => return only.clone(),
        _ => survey::ask_all(state, candidates, &DomainQuery::Status).await,
    };
    let guarantees = config.customers.get(&spec.customer).map(|customer| &customer.guarantees);
    let best = answers.into_iter().max_by_key(|(name, answer)| {
        let in_service = config.domains.get(name).is_some_and(|domain| !domain.out);
        let guaranteed = guarantees.is_some_and(|guarantees| {
            guarantees.iter().any(|entry| entry.domain == *name && entry.shape == spec.shape)
        });
        let free = match answer {
            DomainAnswer::Status(status) => Some(status.accelerators_free),
            _ => None,
        };
        // A domain without an answer comes after those that have one.
        (in_service, free.is_some() && guaranteed, free, std::cmp::Reverse(name.clone()))
    });
    best.map(|(name, _)| name).unwrap_or_default()
}

fn build_record(state: &SharedState, id: JobId, owner: DomainName, spec: JobSpec) -> JobRecord {
    JobRecord::queued(id, spec, owner, state.context.issue_mark())
}

fn new_id() -> JobId {
    format!("job-{:016x}", rand::random::<u64>())
}

fn encode(claim: &SubmissionRecord) -> Result<String, ApiFailure> {
    Ok(serde_json::to_string(claim).map_err(|error| StoreError::Malformed(error.to_string()))?)
}

/// Deletes submissions that are no longer remembered, at most once an hour.
fn purge(state: &SharedState) {
    let now = Instant::now();
    let mut last = state.purge.last.lock().unwrap_or_else(PoisonError::into_inner);
    if last.is_some_and(|last| now.duration_since(last) < PURGE_PERIOD) {
        return;
    }
    *last = Some(now);
    drop(last);
    let store = state.context.store();
    tokio::spawn(async move {
        let keep_ms = u64::try_from(KEEP_SUBMISSION.as_millis()).unwrap_or(u64::MAX);
        let oldest = unix_millis().saturating_sub(keep_ms);
        let entries = store.list(keys::SUBMISSIONS).await.unwrap_or_default();
        for entry in entries {
            let claim = serde_json::from_str::<SubmissionRecord>(&entry.value);
            if claim.is_ok_and(|claim| claim.at < oldest) {
                let _ = store.delete(&entry.key, entry.revision).await;
            }
        }
    });
}
