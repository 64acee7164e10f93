//! Route handlers of jobs.

use axum::Json;
use axum::body::Bytes;
use axum::extract::rejection::{BytesRejection, QueryRejection};
use axum::extract::{Path, Query, State};
use axum::http::{HeaderMap, StatusCode};
use lacewingrail_model::admin::{DomainAnswer, DomainQuery, JobReason};
use lacewingrail_model::job::{JobRecord, JobSpec, JobState, WorkClass};
use lacewingrail_model::{CustomerName, DomainName, JobId};
use serde::Deserialize;

use crate::access::Caller;
use crate::config_routes::read_body;
use crate::error::RouteError;
use crate::job_store::{self, FoundJob};
use crate::{SharedState, domain_query, submission};

/// Header with the idempotency key: a repeated submission with the same key returns the first job.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Maximum number of records in a response if the request has no `limit`.
const DEFAULT_LIST_LIMIT: usize = 200;
/// Maximum number of records in a response, even if the `limit` of the request is higher.
const MAX_LIST_LIMIT: usize = 2_000;

/// Query parameters that filter a list of jobs; an absent one matches every job.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct JobFilter {
    customer: Option<CustomerName>,
    domain: Option<DomainName>,
    /// Name of the job state, such as `queued`.
    state: Option<String>,
    class: Option<WorkClass>,
    /// Whether to include ended jobs from the recent histories.
    history: bool,
    /// Maximum number of records to return; [`DEFAULT_LIST_LIMIT`] if absent.
    limit: Option<usize>,
}

/// Submits a job; the status is 201 for a new job and 200 for a repeated submission.
pub(crate) async fn submit(
    State(state): State<SharedState>,
    caller: Caller,
    headers: HeaderMap,
    body: Result<Bytes, BytesRejection>,
) -> Result<(StatusCode, Json<JobRecord>), RouteError> {
    let body = read_body(body)?;
    let mut spec: JobSpec = serde_json::from_slice(&body).map_err(|error| {
        RouteError::bad_request(
            format!("the body is not a job ({error})"),
            "send a JSON object with customer, shape, class and declared_ms",
        )
    })?;
    caller.require_owner_or_operator(&spec.customer, "submitting jobs for this customer")?;
    if let Some(key) = headers.get(IDEMPOTENCY_KEY_HEADER)
        && spec.idempotency_key.is_none()
    {
        let key = key.to_str().map_err(|_| {
            RouteError::bad_request("the idempotency key is not text", "send ASCII characters")
        })?;
        spec.idempotency_key = Some(key.to_owned());
    }
    let (record, created) = submission::submit(&state, spec).await?;
    if created {
        log::info!("job {} of {} is queued in {}", record.id, record.spec.customer, record.owner);
    }
    let status = if created { StatusCode::CREATED } else { StatusCode::OK };
    Ok((status, Json(record)))
}

/// Lists jobs, newest first; customers receive only their own.
pub(crate) async fn list(
    State(state): State<SharedState>,
    caller: Caller,
    filter: Result<Query<JobFilter>, QueryRejection>,
) -> Result<Json<Vec<JobRecord>>, RouteError> {
    let Query(filter) = filter.map_err(|rejection| {
        RouteError::bad_request(
            format!("the filter cannot be read ({})", rejection.body_text()),
            "use customer, domain, state, class, history and limit",
        )
    })?;
    if let Some(domain) = &filter.domain
        && !state.context.config().domains.contains_key(domain)
    {
        return Err(RouteError::not_found(
            "the failure domain does not exist",
            "list the failure domains",
        ));
    }
    let mut records = job_store::list(&state, filter.domain.as_ref(), filter.history).await?;
    records.retain(|record| caller.can_view(&record.spec.customer) && filter.matches(record));
    records
        .sort_by(|left, right| (right.submitted_at, &right.id).cmp(&(left.submitted_at, &left.id)));
    records.truncate(filter.limit.unwrap_or(DEFAULT_LIST_LIMIT).min(MAX_LIST_LIMIT));
    Ok(Json(records))
}

/// Returns the record of one job.
pub(crate) async fn get(
    State(state): State<SharedState>,
    caller: Caller,
    Path(id): Path<JobId>,
) -> Result<Json<JobRecord>, RouteError> {
    Ok(Json(find_visible(&state, &caller, &id).await?.record))
}

/// Cancels a job; repeating the call has no further effect.
pub(crate) async fn cancel(
    State(state): State<SharedState>,
    caller: Caller,
    Path(id): Path<JobId>,
) -> Result<Json<JobRecord>, RouteError> {
    let found = find_visible(&state, &caller, &id).await?;
    caller.require_owner_or_operator(&found.record.spec.customer, "cancelling this job")?;
    let record = job_store::cancel(&state, found).await?;
    log::info!("job {id} was cancelled");
    Ok(Json(record))
}

/// Returns the reason for the current state of a job.
pub(crate) async fn explain(
    State(state): State<SharedState>,
    caller: Caller,
    Path(id): Path<JobId>,
) -> Result<Json<JobReason>, RouteError> {
    let record = find_visible(&state, &caller, &id).await?.record;
    let reason = match &record.state {
        JobState::Queued => {
            let query = DomainQuery::Why { job: id.clone() };
            match domain_query::query_domain(&state, &record.owner, query).await {
                DomainAnswer::Why(reason) => reason,
                answer => format!(
                    "the job waits in {}; the reason is unknown: {}",
                    record.owner,
                    domain_query::describe_error(&record.owner, answer)
                ),
            }
        }
        JobState::Running => format!("attempt {} runs in {}", record.attempt, record.owner),
        JobState::Finished => "the job ended with success".to_owned(),
        JobState::Failed { reason } => reason.clone(),
        JobState::Cancelled => "the job was cancelled".to_owned(),
    };
    Ok(Json(JobReason { job: id, reason }))
}

/// Finds a job that the caller may view. Jobs of other customers are reported as unknown, so that
/// their existence is not revealed.
async fn find_visible(
    state: &SharedState,
    caller: &Caller,
    id: &JobId,
) -> Result<FoundJob, RouteError> {
    let found = job_store::find(state, id).await?;
    found
        .filter(|found| caller.can_view(&found.record.spec.customer))
        .ok_or_else(|| job_store::job_not_found(id))
}

impl JobFilter {
    fn matches(&self, record: &JobRecord) -> bool {
        let state = match record.state {
            JobState::Queued => "queued",
            JobState::Running => "running",
            JobState::Finished => "finished",
            JobState::Failed { .. } => "failed",
            JobState::Cancelled => "cancelled",
        };
        self.customer.as_ref().is_none_or(|customer| *customer == record.spec.customer)
            && self.domain.as_ref().is_none_or(|domain| *domain == record.owner)
            && self.state.as_ref().is_none_or(|name| name == state)
            && self.class.is_none_or(|class| class == record.spec.class)
    }
}
