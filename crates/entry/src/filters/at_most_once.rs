//! Claims non-repeatable requests before they are sent and records their outcomes.
//!
//! A claimed request runs in a separate task, so that its outcome is recorded even if its caller
//! disconnects or its deadline passes.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use lacewingrail_model::hash::digest;
use tracing::Instrument;

use crate::chain::{FilterChain, RequestFilter};
use crate::claims::ledger::{ClaimError, ClaimHandle, ClaimLedger};
use crate::claims::record::{ClaimEntry, ClaimState, RecordedAnswer};
use crate::drain::InFlightGuard;
use crate::exchange::{CallerResponse, IDEMPOTENCY_KEY, Refusal, RequestExchange, RequestOutcome};
use crate::filters::identity::{header_text, invalid_header};

/// `true` or `without-body` on a response that was recorded for an earlier request with the same
/// key.
const X_RECORDED: HeaderName = HeaderName::from_static("x-recorded");
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 128;
/// Time past the deadline for which a response is awaited, so that its outcome can be recorded.
const OUTCOME_GRACE_PERIOD: Duration = Duration::from_secs(5);
/// Maximum time for which a "not run" response waits until the claim is released. A retry that
/// arrives before the release gets "unknown".
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time for which a shutdown waits until an outcome is recorded.
const RECORD_TIMEOUT: Duration = Duration::from_secs(5);
/// Retry delay sent to a caller whose claim is not confirmed or whose outcome is unknown.
const CLAIM_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Runs non-repeatable requests at most once for each idempotency key of a customer, and responds
/// to outcome queries.
pub struct AtMostOnceFilter {
    ledger: Arc<ClaimLedger>,
}

impl AtMostOnceFilter {
    /// Creates a filter that acquires claims through `ledger`.
    pub fn new(ledger: Arc<ClaimLedger>) -> Self {
        Self { ledger }
    }
}

#[async_trait]
impl RequestFilter for AtMostOnceFilter {
    async fn apply(&self, exchange: Box<RequestExchange>, next: FilterChain) -> CallerResponse {
        if let Some(key) = exchange.outcome_key() {
            return query_outcome(&self.ledger, &exchange, key).await;
        }
        if exchange.repeatable {
            return next.run(exchange).await;
        }
        let key = match parse_key(&exchange) {
            Ok(key) => key,
            Err(refusal) => return refusal.into(),
        };
        let (ledger, outcome_path) = (self.ledger.clone(), exchange.outcome_path());
        let dispatch = exchange.dispatch.clone();
        let run = run_once(ledger, exchange, key, next).instrument(tracing::Span::current());
        let ended = tokio::spawn(run).await;
        ended.unwrap_or_else(|_| {
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            let message = "the request failed inside the process; report this fault";
            if dispatch.close_if_unsent() {
                return Refusal::not_run(status, "panic", message).into();
            }
            Refusal::unknown(status, "panic", message).outcome_path(outcome_path).into()
        })
    }
}

/// Claims the key, runs the rest of the chain and records the outcome.
async fn run_once(
    ledger: Arc<ClaimLedger>,
    mut exchange: Box<RequestExchange>,
    key: String,
    next: FilterChain,
) -> CallerResponse {
    let guard = exchange.in_flight.clone();
    let digest = digest_request(&exchange);
    let (service, shards) = (exchange.service.clone(), exchange.policy.claim_shards);
    let claim = match ledger.acquire(&service, &key, digest, shards, exchange.deadline).await {
        Ok(claim) => claim,
        Err(ClaimError::Existing(entry)) if entry.digest == digest => {
            return respond_with_claim(&ledger, &exchange, *entry).await;
        }
        Err(ClaimError::Existing(_)) => {
            let message = "the key belongs to another request; use a new idempotency-key";
            let status = StatusCode::UNPROCESSABLE_ENTITY;
            return Refusal::not_run(status, "key-reused", message).into();
        }
        Err(error) => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Refusal::not_run(status, "claim", error.to_string())
                .retry_after(CLAIM_RETRY_DELAY)
                .into();
        }
    };
    exchange.response_deadline = exchange.deadline + OUTCOME_GRACE_PERIOD;
    let dispatch = exchange.dispatch.clone();
    let response = next.run(exchange).await;
    match response.outcome {
        RequestOutcome::Done => record(ledger, claim, &response, guard),
        RequestOutcome::NotRun if dispatch.close_if_unsent() => {
            let release = tokio::spawn(release(ledger, claim, guard));
            let _ = tokio::time::timeout(RELEASE_TIMEOUT, release).await;
        }
        // The claim stays, so that a retry gets "unknown".
        RequestOutcome::NotRun | RequestOutcome::Unknown => {}
    }
    response
}

/// Records a response in a separate task, so that the caller does not wait for it.
fn record(
    ledger: Arc<ClaimLedger>,
    claim: ClaimHandle,
    response: &CallerResponse,
    guard: InFlightGuard,
) {
    let status = response.status.as_u16();
    let content_type = response.headers.get(header::CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    let content_type = content_type.unwrap_or_default().to_owned();
    let body = response.body.clone();
    tokio::spawn(async move {
        let write = ledger.record_response(&claim, status, &content_type, &body);
        match tokio::time::timeout(RECORD_TIMEOUT, write).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => log::warn!("the outcome of a claim is not recorded yet: {error}"),
            Err(_) => log::warn!("the outcome of a claim is not recorded yet: no response in time"),
        }
        drop(guard);
    });
}

/// Records that the request of a claim did not run; on failure the ledger retries in the
/// background.
async fn release(ledger: Arc<ClaimLedger>, claim: ClaimHandle, guard: InFlightGuard) {
    if let Err(error) = ledger.release(&claim).await {
        log::warn!("a claim is not released yet: {error}");
    }
    drop(guard);
}

/// Responds to a query for a recorded outcome.
async fn query_outcome(
    ledger: &ClaimLedger,
    exchange: &RequestExchange,
    key: &str,
) -> CallerResponse {
    if !is_valid_key(key) {
        return invalid_header("the key in the path is invalid; send it as in idempotency-key")
            .into();
    }
    let key = scoped_key(exchange, key);
    let shards = exchange.policy.claim_shards;
    match ledger.read(&exchange.service, &key, shards, exchange.deadline).await {
        Ok(Some(entry)) => respond_with_claim(ledger, exchange, entry).await,
        Ok(None) => {
            let message = "no request with this key is known in the last 24 h";
            Refusal::not_run(StatusCode::NOT_FOUND, "no-claim", message).into()
        }
        Err(error) => {
            let message = format!("the outcome cannot be read now: {error}");
            Refusal::unknown(StatusCode::SERVICE_UNAVAILABLE, "claim", message)
                .retry_after(CLAIM_RETRY_DELAY)
                .into()
        }
    }
}

/// Builds the response to a request whose key is already claimed, from the state of that claim.
async fn respond_with_claim(
    ledger: &ClaimLedger,
    exchange: &RequestExchange,
    entry: ClaimEntry,
) -> CallerResponse {
    match entry.state {
        ClaimState::Done(response) => replay(ledger, exchange, &response).await,
        ClaimState::NotRun => {
            let message = "the request did not run; it may be sent again with the same key";
            Refusal::not_run(StatusCode::OK, "released", message).into()
        }
        ClaimState::Claimed => {
            let message = "a request with this key is running or its outcome is lost; ask again";
            Refusal::unknown(StatusCode::CONFLICT, "claimed", message)
                .retry_after(CLAIM_RETRY_DELAY)
                .outcome_path(Some(outcome_path(exchange)))
                .into()
        }
    }
}

/// Builds the response from a recorded one; without its body if that was not stored.
async fn replay(
    ledger: &ClaimLedger,
    exchange: &RequestExchange,
    response: &RecordedAnswer,
) -> CallerResponse {
    let mut headers = HeaderMap::new();
    let Some(body) = ledger.read_body(&exchange.service, response).await else {
        headers.insert(X_RECORDED, HeaderValue::from_static("without-body"));
        let (status, outcome) = (StatusCode::NO_CONTENT, RequestOutcome::Done);
        return CallerResponse {
            status,
            outcome,
            headers,
            body: Bytes::new(),
            reason_code: "recorded",
        };
    };
    headers.insert(X_RECORDED, HeaderValue::from_static("true"));
    if let Ok(value) = HeaderValue::from_str(&response.content_type)
        && !value.is_empty()
    {
        headers.insert(header::CONTENT_TYPE, value);
    }
    CallerResponse {
        status: StatusCode::from_u16(response.status).unwrap_or(StatusCode::OK),
        outcome: RequestOutcome::Done,
        headers,
        body: body.into(),
        reason_code: "recorded",
    }
}

fn parse_key(exchange: &RequestExchange) -> Result<String, Refusal> {
    let key = header_text(&exchange.headers, &IDEMPOTENCY_KEY)?.ok_or_else(|| {
        invalid_header(
            "a non-repeatable request needs the header idempotency-key; send a unique one",
        )
    })?;
    if !is_valid_key(key) {
        return Err(invalid_header(
            "idempotency-key is invalid; use up to 128 letters, digits and the signs . _ ~ : -",
        ));
    }
    Ok(scoped_key(exchange, key))
}

/// Scopes a key to the customer, so that equal keys of two customers do not conflict.
fn scoped_key(exchange: &RequestExchange, key: &str) -> String {
    format!("{}/{key}", exchange.customer)
}

/// Returns the path of the outcome query for a request, or of the request itself if it is one.
fn outcome_path(exchange: &RequestExchange) -> String {
    let queried = || format!("/{}{}", exchange.service, exchange.target);
    exchange.outcome_path().unwrap_or_else(queried)
}

/// Returns whether a key is short enough and needs no escaping in a URL path.
fn is_valid_key(key: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._~:-".contains(&byte);
    !key.is_empty() && key.len() <= MAX_KEY_BYTES && key.bytes().all(is_allowed)
}

/// Returns the digest of method, path, query and body, which identifies retries of a request.
fn digest_request(exchange: &RequestExchange) -> u64 {
    let head = format!("{} {}\n", exchange.method, exchange.target);
    let mut bytes = Vec::with_capacity(head.len() + exchange.body.len());
    bytes.extend_from_slice(head.as_bytes());
    bytes.extend_from_slice(&exchange.body);
    digest(&bytes)
}
