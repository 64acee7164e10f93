//! Request handling and control endpoints of a backend server.

use std::sync::Arc;
use std::time::Duration;

use axum::body::{Body, Bytes};
use axum::extract::{DefaultBodyLimit, State};
use axum::http::{HeaderMap, HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use futures::{StreamExt, future, stream};
use lacewingrail_model::hash::digest;
use serde::Deserialize;

use crate::backend_server::faults::{AnswerFault, BackendFaults};
use crate::backend_server::runs::{BackendCounts, RunCounts, RunRecord};
use crate::backend_server::{SharedBackend, draw_fault};
use crate::journal::JournalPage;
use crate::server::broken_answer;

/// Largest request body in bytes.
const MAX_BODY_BYTES: usize = 8_000_000;
/// Largest answer body in bytes.
const MAX_ANSWER_BYTES: usize = 8_000_000;
/// Longest service time, which bounds the memory of runs whose caller has disconnected.
const MAX_RUN_MS: f64 = 600_000.0;
/// Time for which a hanging request is held.
const HANG_DURATION: Duration = Duration::from_secs(300);
/// Header with the service time at nominal speed that a request asks for, in milliseconds.
const WORK_MS_HEADER: &str = "x-work-ms";
/// Header with the size of the answer that a request asks for, in bytes.
const ANSWER_BYTES_HEADER: &str = "x-answer-bytes";
/// Delay between the sent part of a truncated answer and the break; an immediate reset would
/// discard the part that HTTP/2 has not sent yet.
const TRUNCATION_DELAY: Duration = Duration::from_millis(20);
/// Header with the id of a request, repeated in its answer.
const REQUEST_ID_HEADER: &str = "x-request-id";

type Backend = State<Arc<SharedBackend>>;

#[derive(Deserialize)]
struct LeavingBody {
    leaving: bool,
}

pub(super) fn router(backend: Arc<SharedBackend>) -> Router {
    Router::new()
        .route("/health", get(health))
        .route("/v1/journal", get(journal))
        .route("/v1/runs", get(runs))
        .route("/v1/counts", get(counts))
        .route("/v1/faults", get(faults).post(set_faults))
        .route("/v1/leaving", post(set_leaving))
        .fallback(serve)
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(backend)
}

async fn health(State(backend): Backend) -> Response {
    mark_leaving(&backend, "ok".into_response())
}

async fn journal(State(backend): Backend) -> Json<JournalPage<RunRecord>> {
    Json(backend.lock().journal.page())
}

async fn runs(State(backend): Backend) -> Json<RunCounts> {
    Json(backend.lock().journal.counts().clone())
}

async fn counts(State(backend): Backend) -> Json<BackendCounts> {
    Json(backend.counts())
}

async fn faults(State(backend): Backend) -> Json<BackendFaults> {
    Json(backend.lock().faults)
}

async fn set_faults(State(backend): Backend, Json(faults): Json<BackendFaults>) {
    backend.set_faults(faults);
}

async fn set_leaving(State(backend): Backend, Json(body): Json<LeavingBody>) {
    backend.set_leaving(body.leaving);
}

/// Serves any other path as a request for work.
async fn serve(State(backend): Backend, headers: HeaderMap, body: Bytes) -> Response {
    let arrived_ms = backend.clock.now_ms();
    let (fault, leaving_ms) = {
        let mut state = backend.lock();
        state.counts.requests += 1;
        (draw_fault(&mut state), state.leaving_since.map(|since| arrived_ms.saturating_sub(since)))
    };
    if fault == Some(AnswerFault::Refused) {
        return refuse(&backend, "refused by a fault");
    }
    let Some(queued) = QueuedRequest::enter(&backend) else {
        return refuse(&backend, "the queue is full");
    };
    let Ok(slot) = Arc::clone(&backend.slots).acquire_owned().await else {
        return refuse(&backend, "the server ends");
    };
    drop(queued);

    let record = RunRecord {
        run: 0,
        request_id: header_text(&headers, REQUEST_ID_HEADER).unwrap_or_default(),
        idempotency_key: header_text(&headers, "idempotency-key"),
        non_repeatable: header_text(&headers, "x-non-repeatable").as_deref() == Some("true"),
        customer: header_text(&headers, "x-customer").unwrap_or_default(),
        body_digest: digest(&body),
        arrived_ms,
        started_ms: backend.clock.now_ms(),
        ended_ms: None,
        leaving_ms,
        fault,
    };
    let request_id = record.request_id.clone();
    let size = header_number(&headers, ANSWER_BYTES_HEADER)
        .map_or(0, |size| size as usize)
        .min(MAX_ANSWER_BYTES);
    let (run, service_time) = start_run(&backend, record, header_number(&headers, WORK_MS_HEADER));
    // The run continues when the caller disconnects and this future is dropped.
    let task_backend = Arc::clone(&backend);
    let work = tokio::spawn(async move {
        tokio::time::sleep(service_time).await;
        end_run(&task_backend, run);
        drop(slot);
    });
    if work.await.is_err() {
        return broken_answer();
    }
    let answer = answer_body(&backend, run, &request_id, digest(&body), size);
    let response = respond(&backend, fault, request_id, answer).await;
    mark_leaving(&backend, response)
}

/// Builds the answer to a run that has ended, under the fault of its request.
async fn respond(
    backend: &SharedBackend,
    fault: Option<AnswerFault>,
    request_id: String,
    answer: Bytes,
) -> Response {
    match fault {
        Some(AnswerFault::Error) => {
            return (StatusCode::INTERNAL_SERVER_ERROR, "error by a fault").into_response();
        }
        Some(AnswerFault::Dropped) => return broken_answer(),
        Some(AnswerFault::Hang) => {
            tokio::time::sleep(HANG_DURATION).await;
            return broken_answer();
        }
        Some(AnswerFault::Truncated) => return truncated_answer(&request_id, answer),
        Some(AnswerFault::Late) => {
            let late = Duration::from_millis(backend.lock().faults.late_ms);
            tokio::time::sleep(late).await;
        }
        Some(AnswerFault::Crossed) => {
            let other = backend.lock().last_answer.clone().filter(|(id, _)| *id != request_id);
            let (other_id, other_body) = other
                .unwrap_or_else(|| ("another-request".into(), Bytes::from_static(b"another body")));
            return complete_answer(&other_id, other_body);
        }
        Some(AnswerFault::Refused) | None => {}
    }
    backend.lock().last_answer = Some((request_id.clone(), answer.clone()));
    complete_answer(&request_id, answer)
}

/// Records the start of a run and draws its service time.
fn start_run(
    backend: &SharedBackend,
    mut record: RunRecord,
    requested_ms: Option<f64>,
) -> (u64, Duration) {
    let mut state = backend.lock();
    state.counts.runs += 1;
    record.run = state.counts.runs;
    let run = record.run;
    state.journal.start(record);
    state.counts.peak_running = state.counts.peak_running.max(state.journal.running());
    let time_ms = backend.draw_service_time_ms(&mut state, requested_ms).clamp(0.0, MAX_RUN_MS);
    (run, Duration::from_secs_f64(time_ms / 1_000.0))
}

fn end_run(backend: &SharedBackend, run: u64) {
    let now_ms = backend.clock.now_ms();
    let mut state = backend.lock();
    state.counts.ended += 1;
    state.counts.busy_ms += state.journal.end(run, now_ms);
}

/// Builds the answer, padded to a size; it names the request so that a caller can check it.
fn answer_body(
    backend: &SharedBackend,
    run: u64,
    request_id: &str,
    body_digest: u64,
    size: usize,
) -> Bytes {
    let answer = serde_json::json!({
        "backend": backend.settings.name,
        "body_digest": body_digest,
        "request_id": request_id,
        "run": run,
    });
    let mut bytes = answer.to_string().into_bytes();
    if bytes.len() < size {
        bytes.resize(size, b' ');
    }
    bytes.into()
}

fn complete_answer(request_id: &str, body: Bytes) -> Response {
    with_request_id(request_id, Response::new(Body::from(body)))
}

/// Declares the full length and breaks off after half of it.
fn truncated_answer(request_id: &str, body: Bytes) -> Response {
    let length = body.len();
    let half = stream::once(future::ready(Ok(body.slice(..length / 2))));
    let break_off = stream::once(async {
        tokio::time::sleep(TRUNCATION_DELAY).await;
        Err(std::io::Error::other("the answer is truncated by a fault"))
    });
    let mut response = Response::new(Body::from_stream(half.chain(break_off)));
    response.headers_mut().insert(header::CONTENT_LENGTH, HeaderValue::from(length));
    with_request_id(request_id, response)
}

fn with_request_id(request_id: &str, mut response: Response) -> Response {
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Ok(value) = HeaderValue::from_str(request_id) {
        headers.insert(REQUEST_ID_HEADER, value);
    }
    response
}

fn refuse(backend: &SharedBackend, reason: &'static str) -> Response {
    backend.lock().counts.refused += 1;
    mark_leaving(backend, (StatusCode::SERVICE_UNAVAILABLE, reason).into_response())
}

fn mark_leaving(backend: &SharedBackend, mut response: Response) -> Response {
    if backend.lock().leaving_since.is_some() {
        response.headers_mut().insert("x-leaving", HeaderValue::from_static("true"));
    }
    response
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
}

/// Returns the value of a header as a finite number of at least 0; nothing for any other value.
fn header_number(headers: &HeaderMap, name: &str) -> Option<f64> {
    header_text(headers, name)?
        .parse()
        .ok()
        .filter(|number: &f64| number.is_finite() && *number >= 0.0)
}

/// Counts a waiting request until the value is dropped.
struct QueuedRequest<'a>(&'a SharedBackend);

impl<'a> QueuedRequest<'a> {
    /// Enters the queue unless it is full; requests for which a slot is free do not count as
    /// waiting.
    fn enter(backend: &'a SharedBackend) -> Option<Self> {
        let mut state = backend.lock();
        let free = backend.slots.available_permits() as u64;
        if state.queued >= free + backend.settings.queue as u64 {
            return None;
        }
        state.queued += 1;
        state.counts.peak_queue = state.counts.peak_queue.max(state.queued.saturating_sub(free));
        Some(Self(backend))
    }
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        self.0.lock().queued -= 1;
    }
}
