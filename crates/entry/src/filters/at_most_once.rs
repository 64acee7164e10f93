//! Claims non-repeatable requests before they are sent and records their outcomes.
//!
//! A claimed request runs in a task of its own, so that its outcome is recorded also when its caller
//! has gone or its deadline has passed.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use lacewingrail_model::hash::digest;
use tracing::Instrument;

use crate::chain::{NextFilter, RequestFilter};
use crate::claims::ledger::{ClaimError, ClaimLedger, HeldClaim};
use crate::claims::record::{ClaimEntry, ClaimState, RecordedAnswer};
use crate::drain::InFlightGuard;
use crate::exchange::{CallerAnswer, IDEMPOTENCY_KEY, Refusal, RequestExchange, RequestOutcome};
use crate::filters::identity::{bad_header, text};

/// Marks an answer that was recorded for an earlier request with the same key.
const X_RECORDED: HeaderName = HeaderName::from_static("x-recorded");
/// Longest idempotency key.
const MAX_KEY_BYTES: usize = 128;
/// Time past the deadline for which an answer is awaited, so that its outcome can be recorded.
const OUTCOME_GRACE: Duration = Duration::from_secs(5);
/// Longest time that an answer "not run" waits for its record. A retry that comes before the record
/// is told "unknown".
const RELEASE_WAIT: Duration = Duration::from_millis(500);
/// Longest time that a shutdown waits for an outcome to be recorded.
const RECORD_WAIT: Duration = Duration::from_secs(5);
/// Time after which a caller may find a claim confirmed.
const CLAIM_RETRY: Duration = Duration::from_secs(1);

/// Runs non-repeatable requests at most once.
pub struct AtMostOnceFilter {
    ledger: Arc<ClaimLedger>,
}

impl AtMostOnceFilter {
    /// Creates the filter.
    pub fn new(ledger: Arc<ClaimLedger>) -> Self {
        Self { ledger }
    }
}

#[async_trait]
impl RequestFilter for AtMostOnceFilter {
    async fn apply(&self, exchange: Box<RequestExchange>, next: NextFilter) -> CallerAnswer {
        if let Some(key) = exchange.outcome_key() {
            return look(&self.ledger, &exchange, key).await;
        }
        if exchange.repeatable {
            return next.run(exchange).await;
        }
        let key = match read_key(&exchange) {
            Ok(key) => key,
            Err(refusal) => return refusal.into(),
        };
        let (ledger, ask_at) = (self.ledger.clone(), exchange.ask_path());
        let hand_over = exchange.hand_over.clone();
        let run = run_once(ledger, exchange, key, next).instrument(tracing::Span::current());
        let ended = tokio::spawn(run).await;
        ended.unwrap_or_else(|_| {
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            let reason = "the request failed inside the process; report this fault";
            if hand_over.close() {
                return Refusal::not_run(status, "panic", reason).into();
            }
            Refusal::unknown(status, "panic", reason).ask_at(ask_at).into()
        })
    }
}

async fn run_once(
    ledger: Arc<ClaimLedger>,
    mut exchange: Box<RequestExchange>,
    key: String,
    next: NextFilter,
) -> CallerAnswer {
    let guard = exchange.in_flight.clone();
    let digest = digest_request(&exchange);
    let (service, shards) = (exchange.service.clone(), exchange.policy.claim_shards);
    let claim = match ledger.take(&service, &key, digest, shards, exchange.deadline).await {
        Ok(claim) => claim,
        Err(ClaimError::Existing(entry)) if entry.digest == digest => {
            return answer_existing(&ledger, &exchange, *entry).await;
        }
        Err(ClaimError::Existing(_)) => {
            let reason = "the key belongs to another request; use a new idempotency-key";
            let status = StatusCode::UNPROCESSABLE_ENTITY;
            return Refusal::not_run(status, "key-reused", reason).into();
        }
        Err(error) => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Refusal::not_run(status, "claim", error.to_string())
                .retry_after(CLAIM_RETRY)
                .into();
        }
    };
    exchange.give_up = exchange.deadline + OUTCOME_GRACE;
    let hand_over = exchange.hand_over.clone();
    let answer = next.run(exchange).await;
    match answer.outcome {
        RequestOutcome::Done => record(ledger, claim, &answer, guard),
        RequestOutcome::NotRun if hand_over.close() => {
            let release = tokio::spawn(release(ledger, claim, guard));
            let _ = tokio::time::timeout(RELEASE_WAIT, release).await;
        }
        // The claim stays, and a retry is told "unknown".
        RequestOutcome::NotRun | RequestOutcome::Unknown => {}
    }
    answer
}

/// Records an answer in a task of its own; the caller does not wait for it.
fn record(ledger: Arc<ClaimLedger>, claim: HeldClaim, answer: &CallerAnswer, guard: InFlightGuard) {
    let status = answer.status.as_u16();
    let content_type = answer.headers.get(header::CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    let content_type = content_type.unwrap_or_default().to_owned();
    let body = answer.body.clone();
    tokio::spawn(async move {
        let write = ledger.finish_done(&claim, status, &content_type, &body);
        match tokio::time::timeout(RECORD_WAIT, write).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => log::warn!("the outcome of a claim is not recorded yet: {error}"),
            Err(_) => log::warn!("the outcome of a claim is not recorded yet: no answer in time"),
        }
        drop(guard);
    });
}

async fn release(ledger: Arc<ClaimLedger>, claim: HeldClaim, guard: InFlightGuard) {
    if let Err(error) = ledger.finish_not_run(&claim).await {
        log::warn!("a claim is not released yet: {error}");
    }
    drop(guard);
}

/// Answers a question for a recorded outcome.
async fn look(ledger: &ClaimLedger, exchange: &RequestExchange, key: &str) -> CallerAnswer {
    if !is_valid_key(key) {
        return bad_header("the key in the path is invalid; send it as in idempotency-key").into();
    }
    let key = scoped_key(exchange, key);
    let shards = exchange.policy.claim_shards;
    match ledger.look(&exchange.service, &key, shards, exchange.deadline).await {
        Ok(Some(entry)) => answer_existing(ledger, exchange, entry).await,
        Ok(None) => {
            let reason = "no request with this key is known in the last 24 h";
            Refusal::not_run(StatusCode::NOT_FOUND, "no-claim", reason).into()
        }
        Err(error) => {
            let reason = format!("the outcome cannot be read now: {error}");
            Refusal::unknown(StatusCode::SERVICE_UNAVAILABLE, "claim", reason)
                .retry_after(CLAIM_RETRY)
                .into()
        }
    }
}

async fn answer_existing(
    ledger: &ClaimLedger,
    exchange: &RequestExchange,
    entry: ClaimEntry,
) -> CallerAnswer {
    match entry.state {
        ClaimState::Done(answer) => replay(ledger, exchange, &answer).await,
        ClaimState::NotRun => {
            let reason = "the request did not run; it may be sent again with the same key";
            Refusal::not_run(StatusCode::OK, "released", reason).into()
        }
        ClaimState::Claimed => {
            let reason = "a request with this key is running or its outcome is lost; ask again";
            Refusal::unknown(StatusCode::CONFLICT, "claimed", reason)
                .retry_after(CLAIM_RETRY)
                .ask_at(Some(ask_path(exchange)))
                .into()
        }
    }
}

/// Returns a recorded answer, with its body as far as it was kept.
async fn replay(
    ledger: &ClaimLedger,
    exchange: &RequestExchange,
    answer: &RecordedAnswer,
) -> CallerAnswer {
    let mut headers = HeaderMap::new();
    let Some(body) = ledger.body(&exchange.service, answer).await else {
        headers.insert(X_RECORDED, HeaderValue::from_static("without-body"));
        let (status, outcome) = (StatusCode::NO_CONTENT, RequestOutcome::Done);
        return CallerAnswer { status, outcome, headers, body: Bytes::new(), reason: "recorded" };
    };
    headers.insert(X_RECORDED, HeaderValue::from_static("true"));
    if let Ok(value) = HeaderValue::from_str(&answer.content_type)
        && !value.is_empty()
    {
        headers.insert(header::CONTENT_TYPE, value);
    }
    CallerAnswer {
        status: StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK),
        outcome: RequestOutcome::Done,
        headers,
        body: body.into(),
        reason: "recorded",
    }
}

fn read_key(exchange: &RequestExchange) -> Result<String, Refusal> {
    let key = text(&exchange.headers, &IDEMPOTENCY_KEY)?.ok_or_else(|| {
        bad_header("a non-repeatable request needs the header idempotency-key; send a unique one")
    })?;
    if !is_valid_key(key) {
        return Err(bad_header(
            "idempotency-key is invalid; use up to 128 letters, digits and the signs . _ ~ : -",
        ));
    }
    Ok(scoped_key(exchange, key))
}

/// Keeps the keys of customers apart.
fn scoped_key(exchange: &RequestExchange, key: &str) -> String {
    format!("{}/{key}", exchange.customer)
}

fn ask_path(exchange: &RequestExchange) -> String {
    let asked = || format!("/{}{}", exchange.service, exchange.target);
    exchange.ask_path().unwrap_or_else(asked)
}

/// Returns whether a key needs no escaping in a path.
fn is_valid_key(key: &str) -> bool {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"._~:-".contains(&byte);
    !key.is_empty() && key.len() <= MAX_KEY_BYTES && key.bytes().all(plain)
}

fn digest_request(exchange: &RequestExchange) -> u64 {
    let head = format!("{} {}\n", exchange.method, exchange.target);
    let mut bytes = Vec::with_capacity(head.len() + exchange.body.len());
    bytes.extend_from_slice(head.as_bytes());
    bytes.extend_from_slice(&exchange.body);
    digest(&bytes)
}
