//! Submission of jobs.
//!
//! A submission with an idempotency key first claims the key by compare-and-swap: it writes a
//! record under `submissions/` with the job's id and initial owner. Then it writes the job record.
//! A repeated submission finds the claim. While the claim is not marked as created, the repeated
//! submission looks up the job before it writes the job record, because the first submission may
//! have failed between the two writes.

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

use crate::domain_query;
use crate::error::RouteError;
use crate::{SharedState, job_store};
use lacewingrail_model::admin::{DomainAnswer, DomainQuery};

/// Time for which an idempotency key is stored, the same as for the claims of requests that entries
/// store.
const SUBMISSION_RETENTION: Duration = Duration::from_secs(24 * 3_600);
/// Minimum time between two deletions of expired submissions by one process.
const PURGE_INTERVAL: Duration = Duration::from_secs(3_600);
/// Maximum time between the lookup of a job and the write of its record. A job that is created,
/// ends and leaves the searched histories within this time could run twice, so the time is short.
const MAX_LOOKUP_AGE: Duration = Duration::from_secs(2);
/// Maximum length of an idempotency key in bytes.
const MAX_KEY_BYTES: usize = 128;
/// Maximum length of a command in bytes, which keeps job records small.
const MAX_COMMAND_BYTES: usize = 16 * 1024;
/// Maximum number of attempts of one submission.
const MAX_ATTEMPTS: u32 = 8;

/// Stored claim of an idempotency key for one job.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SubmissionRecord {
    /// Idempotency key as the caller sent it.
    pub key: String,
    /// Digest of the submitted specification; repeated submissions must have the same.
    pub spec_digest: u64,
    /// Id of the job that the key creates.
    pub id: JobId,
    /// Failure domain that owns the job when it is created.
    pub owner: DomainName,
    /// Whether the job record is known to have been written.
    pub created: bool,
    /// Wall-clock time of the submission in Unix milliseconds.
    pub at: UnixMillis,
    /// Id of the newest write of this record.
    pub mark: WriteId,
}

/// Time at which this process last deleted expired submissions; `None` before the first time.
#[derive(Debug, Default)]
pub(crate) struct SubmissionPurge {
    last_run: Mutex<Option<Instant>>,
}

/// Submits a job and returns its record and whether this call created it.
pub(crate) async fn submit(
    state: &SharedState,
    spec: JobSpec,
) -> Result<(JobRecord, bool), RouteError> {
    let config = state.context.config();
    let Some(key) = spec.idempotency_key.clone() else {
        let candidates = find_candidates(&config, &spec)?;
        let owner = choose_owner(state, &config, &spec, candidates).await;
        let record = build_record(state, generate_job_id(), owner, spec);
        job_store::create(state, &record).await?;
        return Ok((record, true));
    };
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        return Err(RouteError::bad_request(
            "the idempotency key is empty or over 128 bytes",
            "send a random text of 16 to 128 characters",
        ));
    }
    purge_expired(state);
    submit_with_key(state, &config, spec, &key).await
}

async fn submit_with_key(
    state: &SharedState,
    config: &ConfigView,
    spec: JobSpec,
    key: &str,
) -> Result<(JobRecord, bool), RouteError> {
    let store_key = keys::submission(&spec.customer, digest(key.as_bytes()));
    let spec_digest = digest(serde_json::to_string(&spec).unwrap_or_default().as_bytes());
    let store = state.context.store();
    // Claim whose write had an unknown outcome; written again if the key is still free.
    let mut unconfirmed_claim: Option<SubmissionRecord> = None;
    for attempt in 0..MAX_ATTEMPTS {
        let found = match store.get(&store_key).await {
            Ok(found) => found,
            // Returning is safe even if an earlier attempt claimed the key: a repeated submission
            // then writes the job record.
            Err(error) => return Err(error.into()),
        };
        if let Some(entry) = found {
            let claim: SubmissionRecord = serde_json::from_str(&entry.value)
                .map_err(|error| StoreError::Malformed(format!("{store_key}: {error}")))?;
            if claim.key != key || claim.spec_digest != spec_digest {
                return Err(RouteError::unprocessable(
                    "another job was submitted with this idempotency key",
                    "send a new key for a new job",
                ));
            }
            return resume_submission(state, spec, claim, &store_key, entry.revision).await;
        }
        let claim = match unconfirmed_claim.take() {
            Some(claim) => claim,
            None => {
                let candidates = find_candidates(config, &spec)?;
                let owner = choose_owner(state, config, &spec, candidates).await;
                SubmissionRecord {
                    key: key.to_owned(),
                    spec_digest,
                    id: generate_job_id(),
                    owner,
                    created: false,
                    at: unix_millis(),
                    mark: state.context.generate_write_id(),
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
                job_store::back_off(attempt).await;
                unconfirmed_claim = Some(claim);
            }
            Err(error) => return Err(error.into()),
        }
    }
    Err(RouteError::unknown_outcome(
        "it is unknown whether the job was written",
        "submit it again with the same idempotency key",
    ))
}

/// Returns the job of a claim, and whether this call wrote its record because the submission that
/// claimed the key did not.
async fn resume_submission(
    state: &SharedState,
    spec: JobSpec,
    claim: SubmissionRecord,
    store_key: &str,
    revision: Revision,
) -> Result<(JobRecord, bool), RouteError> {
    for _ in 0..MAX_ATTEMPTS {
        let looked_up_at = Instant::now();
        let found = if claim.created {
            job_store::find(state, &claim.id).await?
        } else {
            job_store::find_in_snapshot(state, &claim.id).await?
        };
        if let Some(found) = found {
            if !claim.created {
                mark_created(state, claim, store_key, revision).await;
            }
            return Ok((found.record, false));
        }
        if claim.created {
            return Err(RouteError::new(
                axum::http::StatusCode::GONE,
                format!(
                    "the job of this idempotency key, {}, has ended and is forgotten",
                    claim.id
                ),
                "send a new key to run it again",
            ));
        }
        let record = build_record(state, claim.id.clone(), claim.owner.clone(), spec.clone());
        if looked_up_at.elapsed() > MAX_LOOKUP_AGE {
            // The lookup is too old to rely on, so it is repeated.
            continue;
        }
        job_store::create(state, &record).await?;
        mark_created(state, claim, store_key, revision).await;
        return Ok((record, true));
    }
    Err(RouteError::unknown_outcome(
        format!("it is unknown whether job {} was written", claim.id),
        "submit it again with the same idempotency key",
    ))
}

/// Marks a claim as created. Failures are tolerated because they only cost a repeated submission
/// one lookup.
async fn mark_created(
    state: &SharedState,
    claim: SubmissionRecord,
    store_key: &str,
    revision: Revision,
) {
    let claim =
        SubmissionRecord { created: true, mark: state.context.generate_write_id(), ..claim };
    let Ok(value) = encode(&claim) else { return };
    if let Err(error) = state.context.store().put(store_key, value, revision, None).await {
        log::debug!("the submission of job {} could not be marked as created: {error}", claim.id);
    }
}

/// Returns the failure domains that the job may run in and that are large enough for it when empty.
///
/// Rejects jobs that can never run, for example because they exceed the quota.
fn find_candidates(config: &ConfigView, spec: &JobSpec) -> Result<Vec<DomainName>, RouteError> {
    let Some(customer) = config.customers.get(&spec.customer) else {
        return Err(RouteError::unprocessable(
            format!("customer \"{}\" is not in the settings tree", spec.customer),
            "check the name or let an operator add the customer",
        ));
    };
    let shape = spec.shape;
    if shape.members == 0 || shape.members > lacewingrail_model::shape::MAX_GANG_MEMBERS {
        return Err(RouteError::unprocessable(
            format!("a gang cannot have {} members", shape.members),
            "ask for 1 to 64 members",
        ));
    }
    if shape.accelerators > capacity::MAX_MEMBER_ACCELERATORS {
        return Err(RouteError::unprocessable(
            format!("a member cannot have {} accelerators", shape.accelerators),
            "ask for at most 8 accelerators for each member and for more members",
        ));
    }
    if shape.total() > customer.quota {
        return Err(RouteError::unprocessable(
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
        return Err(RouteError::unprocessable(
            format!("the command has {} bytes, over {MAX_COMMAND_BYTES}", spec.command.len()),
            "put the script where the worker can read it and name it in the command",
        ));
    }
    let unknown = spec.domains.iter().find(|name| !config.domains.contains_key(*name));
    if let Some(name) = unknown {
        return Err(RouteError::unprocessable(
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
        return Err(RouteError::unprocessable(
            format!("no allowed failure domain is large enough for {shape}, even when empty"),
            "ask for fewer or less adjacent members, or allow more failure domains",
        ));
    }
    Ok(candidates)
}

/// Chooses the owner among the candidates: prefers domains that are in service, then domains with a
/// guarantee of the job's shape, then the most free accelerators; ties go to the name that sorts
/// first.
///
/// If all candidates are out of service, the job waits in one of them, because that state is
/// temporary.
async fn choose_owner(
    state: &SharedState,
    config: &ConfigView,
    spec: &JobSpec,
    candidates: Vec<DomainName>,
) -> DomainName {
    let answers = match candidates.as_slice() {
        [candidate] => return candidate.clone(),
        _ => domain_query::query_domains(state, candidates, &DomainQuery::Status).await,
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
        // Among domains in the same service state, those without a scheduler answer come last.
        (in_service, free.is_some() && guaranteed, free, std::cmp::Reverse(name.clone()))
    });
    best.map(|(name, _)| name).unwrap_or_default()
}

fn build_record(state: &SharedState, id: JobId, owner: DomainName, spec: JobSpec) -> JobRecord {
    JobRecord::queued(id, spec, owner, state.context.generate_write_id())
}

fn generate_job_id() -> JobId {
    format!("job-{:016x}", rand::random::<u64>())
}

fn encode(claim: &SubmissionRecord) -> Result<String, RouteError> {
    Ok(serde_json::to_string(claim).map_err(|error| StoreError::Malformed(error.to_string()))?)
}

/// Deletes submissions past their retention in the background, at most once per hour and process.
fn purge_expired(state: &SharedState) {
    let now = Instant::now();
    let mut last_run =
        state.submission_purge.last_run.lock().unwrap_or_else(PoisonError::into_inner);
    if last_run.is_some_and(|last_run| now.duration_since(last_run) < PURGE_INTERVAL) {
        return;
    }
    *last_run = Some(now);
    drop(last_run);
    let store = state.context.store();
    tokio::spawn(async move {
        let retention_ms = u64::try_from(SUBMISSION_RETENTION.as_millis()).unwrap_or(u64::MAX);
        let cutoff = unix_millis().saturating_sub(retention_ms);
        let entries = store.list(keys::SUBMISSIONS).await.unwrap_or_default();
        for entry in entries {
            let claim = serde_json::from_str::<SubmissionRecord>(&entry.value);
            if claim.is_ok_and(|claim| claim.at < cutoff) {
                let _ = store.delete(&entry.key, entry.revision).await;
            }
        }
    });
}
