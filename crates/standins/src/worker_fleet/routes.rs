//! HTTP routes of a fleet: the protocol of each worker and the control of the fleet.

use std::sync::Arc;
use std::time::Duration;

use axum::extract::{Path, Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use lacewingrail_clients::protocol::{
    CheckpointAnswer, CommitBody, MemberBody, RenewBody, ReserveBody, StartBody, ThrottleBody,
    WORKER_CLOCK_HEADER,
};
use lacewingrail_model::Epoch;
use lacewingrail_model::worker::{WorkerError, WorkerSpec};
use serde::{Deserialize, Serialize};

use crate::journal::JournalPage;
use crate::server::broken_answer;
use crate::worker_fleet::SharedFleet;
use crate::worker_fleet::allocation::AllocationRecord;
use crate::worker_fleet::faults::{WorkerFaults, WorkerSelection};
use crate::worker_fleet::simulated_worker::SimulatedWorker;

/// Time for which a dead or silent worker holds a call; callers time out much earlier.
const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_secs(60);

type Fleet = State<Arc<SharedFleet>>;

/// Requests new faults for the selected workers.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct FaultsBody {
    #[serde(default)]
    selection: WorkerSelection,
    faults: WorkerFaults,
}

/// Requests a restart of the selected workers.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct RestartBody {
    #[serde(default)]
    selection: WorkerSelection,
    #[serde(default)]
    forget_epoch: bool,
}

#[derive(Deserialize)]
struct EpochQuery {
    epoch: Epoch,
}

#[derive(Deserialize)]
struct ForgetBody {
    #[serde(default)]
    forget_epoch: bool,
}

pub(super) fn router(fleet: Arc<SharedFleet>) -> Router {
    let worker = Router::new()
        .route("/v1/tasks", get(tasks))
        .route("/v1/reserve", post(reserve))
        .route("/v1/commit", post(commit))
        .route("/v1/start", post(start))
        .route("/v1/renew", post(renew))
        .route("/v1/checkpoint", post(checkpoint))
        .route("/v1/throttle", post(throttle))
        .route("/v1/stop", post(stop))
        .route("/v1/release", post(stop))
        .route("/v1/faults", post(set_worker_faults))
        .route("/v1/restart", post(restart_worker))
        .route("/v1/counts", get(counts))
        .route("/v1/journal", get(worker_journal));
    Router::new()
        .nest("/w/{worker}", worker)
        .route("/v1/workers", get(workers))
        .route("/v1/journal", get(journal))
        .route("/v1/faults", post(set_faults))
        .route("/v1/restart", post(restart))
        .with_state(fleet)
}

async fn tasks(
    State(fleet): Fleet,
    Path(id): Path<String>,
    Query(query): Query<EpochQuery>,
) -> Response {
    serve(&fleet, &id, |worker, now_ms| worker.report(query.epoch, now_ms)).await
}

async fn reserve(
    State(fleet): Fleet,
    Path(id): Path<String>,
    Json(body): Json<ReserveBody>,
) -> Response {
    serve(&fleet, &id, |worker, now_ms| worker.reserve(body.epoch, body.request, now_ms)).await
}

async fn commit(
    State(fleet): Fleet,
    Path(id): Path<String>,
    Json(body): Json<CommitBody>,
) -> Response {
    serve(&fleet, &id, |worker, now_ms| {
        worker.commit(body.epoch, &body.member, body.ttl_ms, now_ms)
    })
    .await
}

async fn start(
    State(fleet): Fleet,
    Path(id): Path<String>,
    Json(body): Json<StartBody>,
) -> Response {
    let not_after = (body.not_after_ms, body.not_after_clock_ms);
    serve(&fleet, &id, |worker, now_ms| worker.start(body.epoch, &body.member, not_after, now_ms))
        .await
}

async fn renew(
    State(fleet): Fleet,
    Path(id): Path<String>,
    Json(body): Json<RenewBody>,
) -> Response {
    serve(&fleet, &id, |worker, now_ms| worker.renew(body.epoch, &body.items, now_ms)).await
}

async fn checkpoint(
    State(fleet): Fleet,
    Path(id): Path<String>,
    Json(body): Json<MemberBody>,
) -> Response {
    serve(&fleet, &id, |worker, now_ms| {
        let checkpoint = worker.checkpoint(body.epoch, &body.member, now_ms);
        checkpoint.map(|checkpoint_ms| CheckpointAnswer { checkpoint_ms })
    })
    .await
}

async fn throttle(
    State(fleet): Fleet,
    Path(id): Path<String>,
    Json(body): Json<ThrottleBody>,
) -> Response {
    serve(&fleet, &id, |worker, now_ms| {
        worker.throttle(body.epoch, &body.member, body.share, now_ms)
    })
    .await
}

async fn stop(
    State(fleet): Fleet,
    Path(id): Path<String>,
    Json(body): Json<MemberBody>,
) -> Response {
    serve(&fleet, &id, |worker, now_ms| worker.stop(body.epoch, &body.member, now_ms)).await
}

async fn set_worker_faults(
    State(fleet): Fleet,
    Path(id): Path<String>,
    Json(faults): Json<WorkerFaults>,
) -> Response {
    answer_worker_count(fleet.set_faults(&WorkerSelection::worker(id), faults))
}

async fn restart_worker(
    State(fleet): Fleet,
    Path(id): Path<String>,
    Json(body): Json<ForgetBody>,
) -> Response {
    answer_worker_count(fleet.restart(&WorkerSelection::worker(id), body.forget_epoch))
}

async fn counts(State(fleet): Fleet, Path(id): Path<String>) -> Response {
    let Some(worker) = fleet.lock(&id) else {
        return StatusCode::NOT_FOUND.into_response();
    };
    Json(worker.counts()).into_response()
}

async fn worker_journal(
    State(fleet): Fleet,
    Path(id): Path<String>,
) -> Json<JournalPage<AllocationRecord>> {
    Json(fleet.journal(&WorkerSelection::worker(id)))
}

async fn workers(State(fleet): Fleet) -> Json<Vec<WorkerSpec>> {
    Json(fleet.specs())
}

async fn journal(
    State(fleet): Fleet,
    Query(selection): Query<WorkerSelection>,
) -> Json<JournalPage<AllocationRecord>> {
    Json(fleet.journal(&selection))
}

async fn set_faults(State(fleet): Fleet, Json(body): Json<FaultsBody>) -> Response {
    answer_worker_count(fleet.set_faults(&body.selection, body.faults))
}

async fn restart(State(fleet): Fleet, Json(body): Json<RestartBody>) -> Response {
    answer_worker_count(fleet.restart(&body.selection, body.forget_epoch))
}

/// Answers a change with the number of workers affected, or 404 for none.
fn answer_worker_count(workers: usize) -> Response {
    let status = if workers == 0 { StatusCode::NOT_FOUND } else { StatusCode::OK };
    (status, Json(serde_json::json!({ "workers": workers }))).into_response()
}

/// Serves one call of the worker protocol under the faults of the worker.
async fn serve<T, F>(fleet: &SharedFleet, id: &str, operate: F) -> Response
where
    F: FnOnce(&mut SimulatedWorker, u64) -> Result<T, WorkerError>,
    T: Serialize,
{
    let Some(faults) = fleet.lock(id).map(|worker| *worker.faults()) else {
        return StatusCode::NOT_FOUND.into_response();
    };
    let half_delay = Duration::from_millis(faults.delay_ms) / 2;
    if !half_delay.is_zero() {
        tokio::time::sleep(half_delay).await;
    }
    let Some((outcome, clock_ms)) = run(fleet, id, operate) else {
        // The worker is dead or silent, or the answer is to be lost.
        if fleet.lock(id).is_some_and(|worker| is_unresponsive(worker.faults())) {
            tokio::time::sleep(UNRESPONSIVE_TIMEOUT).await;
        }
        return broken_answer();
    };
    if !half_delay.is_zero() {
        tokio::time::sleep(half_delay).await;
    }
    let clock = [(WORKER_CLOCK_HEADER, clock_ms.to_string())];
    match outcome {
        Ok(value) => (clock, Json(value)).into_response(),
        Err(error) => (status(&error), clock, Json(error)).into_response(),
    }
}

/// Applies an operation; returns its outcome and the worker's clock, or nothing for a lost answer.
fn run<T, F>(fleet: &SharedFleet, id: &str, operate: F) -> Option<(Result<T, WorkerError>, u64)>
where
    F: FnOnce(&mut SimulatedWorker, u64) -> Result<T, WorkerError>,
{
    let mut worker = fleet.lock(id)?;
    if is_unresponsive(worker.faults()) {
        return None;
    }
    let now_ms = fleet.clock.now_ms();
    let outcome = operate(&mut worker, now_ms);
    (!worker.consume_lost_answer()).then_some((outcome, now_ms))
}

fn is_unresponsive(faults: &WorkerFaults) -> bool {
    faults.dead || faults.silent
}

fn status(error: &WorkerError) -> StatusCode {
    match error {
        WorkerError::UnknownMember => StatusCode::NOT_FOUND,
        WorkerError::StartFailed { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        WorkerError::Unreachable { .. } | WorkerError::Unclear { .. } => {
            StatusCode::INTERNAL_SERVER_ERROR
        }
        _ => StatusCode::CONFLICT,
    }
}
