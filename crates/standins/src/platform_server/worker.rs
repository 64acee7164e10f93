//! Stand-in of one worker of the platform, which runs tasks under a lease.

use std::collections::BTreeMap;
use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use axum::{Json, Router};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::Notify;

use crate::server::ServerHandle;

/// Accelerators of a worker; each run takes one.
const ACCELERATORS: u32 = 8;
/// Longest lease that a worker accepts.
const MAX_LEASE: Duration = Duration::from_millis(3000);
/// Run time of a task whose specification names none.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(400);
/// Maximum number of ends in an answer; further ones follow once these are acknowledged.
const MAX_REPORTED_ENDS: usize = 500;
/// Time between checks for completed runs and an expired lease.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Records one run of a task on a worker.
#[derive(Clone, Debug)]
pub struct RunTrace {
    /// Name of the task.
    pub task: String,
    /// Attempt of the task; a later run of a task has a higher number.
    pub run: u32,
    /// Id of the worker that ran it.
    pub worker: String,
    /// Time at which the worker started the run.
    pub started: Instant,
    /// Time of the end; empty while the task runs.
    pub ended: Option<Instant>,
    /// Outcome: `running`, `done`, `stopped`, `lapsed` or `crashed`.
    pub outcome: &'static str,
    /// Whether the end was acknowledged before the worker's lease expired. After an expiry the task
    /// may legitimately have been started on another worker.
    pub acknowledged: bool,
    /// Whether the worker's lease expired before the end was acknowledged.
    pub expired_unacknowledged: bool,
}

/// Runs tasks under a lease.
pub struct PlatformWorker {
    id: String,
    domain: String,
    rack: String,
    address: Mutex<String>,
    state: Mutex<WorkerState>,
    changed: Notify,
    /// Whether calls are held unanswered.
    silent: AtomicBool,
    draining: AtomicBool,
    /// Number of starts of the worker, from 1; `born` on the wire.
    incarnation: AtomicU64,
    server: Mutex<Option<ServerHandle>>,
}

#[derive(Default)]
struct WorkerState {
    /// Highest fencing token seen.
    fencing_token: u64,
    /// Number of ends reported to callers; also the number of the newest one.
    end_count: u64,
    lease_end: Option<Instant>,
    /// Running tasks by name and attempt.
    runs: BTreeMap<(String, u32), RunState>,
    /// Number, task, attempt and outcome of each end that no caller has acknowledged.
    unacknowledged: Vec<(u64, String, u32, &'static str)>,
    /// Highest attempt of each task that has ended or was stopped; starts of attempts up to it are
    /// refused.
    highest_ended_attempt: BTreeMap<String, u32>,
    traces: Vec<RunTrace>,
}

struct RunState {
    ends_at: Instant,
    started: Instant,
    /// Index in `WorkerState::traces`.
    trace_index: usize,
}

#[derive(Deserialize)]
struct StartBody {
    task: String,
    attempt: u32,
    spec: String,
    expires_ms: u64,
    fence_token: u64,
}

#[derive(Deserialize)]
struct StopBody {
    task: String,
    attempt: u32,
    fence_token: u64,
}

#[derive(Deserialize)]
struct HoldBody {
    fence_token: u64,
    last_seen: u64,
    expires_ms: Option<u64>,
    #[serde(default)]
    wait_ms: u64,
}

impl PlatformWorker {
    pub(super) async fn spawn(id: &str, domain: &str, rack: &str) -> io::Result<Arc<Self>> {
        let worker = Arc::new(Self {
            id: id.to_owned(),
            domain: domain.to_owned(),
            rack: rack.to_owned(),
            address: Mutex::new(String::new()),
            state: Mutex::default(),
            changed: Notify::new(),
            silent: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            incarnation: AtomicU64::new(1),
            server: Mutex::new(None),
        });
        let router = Router::new()
            .route("/-/run-start", post(start))
            .route("/-/run-stop", post(stop))
            .route("/-/hold", post(hold))
            .with_state(worker.clone());
        let server = ServerHandle::spawn("127.0.0.1:0", router).await?;
        *lock(&worker.address) = server.address().to_string();
        *lock(&worker.server) = Some(server);
        let weak_worker = Arc::downgrade(&worker);
        tokio::spawn(async move {
            while let Some(worker) = weak_worker.upgrade() {
                worker.end_due_runs();
                drop(worker);
                tokio::time::sleep(CHECK_INTERVAL).await;
            }
        });
        Ok(worker)
    }

    /// Returns the id of the worker in the server list.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns the address in the worker's heartbeats.
    pub fn address(&self) -> String {
        lock(&self.address).clone()
    }

    /// Sets the address in the worker's heartbeats, such as that of a proxy in front of it.
    pub fn set_address(&self, address: String) {
        *lock(&self.address) = address;
    }

    /// Sets whether calls are held unanswered; running tasks continue under the lease.
    pub fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::Relaxed);
    }

    /// Restarts the worker under the same id; its tasks, lease and fencing token are lost.
    pub fn crash(&self) {
        let mut state = lock(&self.state);
        let now = Instant::now();
        let lost: Vec<(String, u32)> = state.runs.keys().cloned().collect();
        for key in lost {
            state.end(&key, "crashed", now, false);
        }
        let traces = std::mem::take(&mut state.traces);
        *state = WorkerState { traces, ..WorkerState::default() };
        self.incarnation.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the traces of all runs, in order of start.
    pub fn traces(&self) -> Vec<RunTrace> {
        lock(&self.state).traces.clone()
    }

    pub(super) fn server_entry(&self) -> Value {
        let draining = self.draining.load(Ordering::Relaxed);
        json!({
            "service": "desk", "address": *lock(&self.address), "zone": self.domain,
            "version": "v1", "task_slots": 8, "cold_left_ms": 0, "seq": 1,
            "state": if draining { "draining" } else { "ready" },
            "capacity": { "millicores": 64_000, "mem_mb": 131_072, "gpu_count": ACCELERATORS },
            "labels": ["a", self.rack], "born": self.incarnation.load(Ordering::Relaxed),
        })
    }

    /// Ends completed runs, and all runs if the lease has expired.
    fn end_due_runs(&self) {
        let now = Instant::now();
        let mut state = lock(&self.state);
        let expired = state.lease_end.is_some_and(|end| now > end);
        if expired {
            let unacknowledged = |trace: &&mut RunTrace| !trace.acknowledged;
            state
                .traces
                .iter_mut()
                .filter(unacknowledged)
                .for_each(|trace| trace.expired_unacknowledged = true);
        }
        let ended: Vec<(String, u32)> = state
            .runs
            .iter()
            .filter(|(_, run)| expired || now >= run.ends_at)
            .map(|(key, _)| key.clone())
            .collect();
        for key in &ended {
            let outcome = if expired { "lapsed" } else { "done" };
            state.end(key, outcome, now, true);
        }
        drop(state);
        if !ended.is_empty() {
            self.changed.notify_waiters();
        }
    }

    fn clock_ms(&self) -> u64 {
        clock_ms(Instant::now())
    }
}

impl WorkerState {
    /// Ends a run; `reported` ends are returned to callers until they are acknowledged.
    fn end(&mut self, key: &(String, u32), outcome: &'static str, now: Instant, reported: bool) {
        let Some(run) = self.runs.remove(key) else {
            return;
        };
        self.traces[run.trace_index].ended = Some(now);
        self.traces[run.trace_index].outcome = outcome;
        self.record_ended(&key.0, key.1);
        if reported {
            self.end_count += 1;
            self.unacknowledged.push((self.end_count, key.0.clone(), key.1, outcome));
        }
    }

    fn record_ended(&mut self, task: &str, run: u32) {
        let highest = self.highest_ended_attempt.entry(task.to_owned()).or_default();
        *highest = (*highest).max(run);
    }

    /// Records the highest fencing token seen and returns whether this one is lower.
    fn is_stale_token(&mut self, token: u64) -> bool {
        let stale = token < self.fencing_token;
        self.fencing_token = self.fencing_token.max(token);
        stale
    }

    /// Extends the lease to a time on this clock, at most [`MAX_LEASE`] from now; never shortens
    /// it.
    fn extend_lease(&mut self, expires_ms: u64) {
        let now = Instant::now();
        let left = Duration::from_millis(expires_ms.saturating_sub(clock_ms(now)));
        let end = now + left.min(MAX_LEASE);
        self.lease_end = Some(self.lease_end.map_or(end, |former| former.max(end)));
    }
}

async fn start(State(worker): State<Arc<PlatformWorker>>, Json(body): Json<StartBody>) -> Response {
    wait_while_silent(&worker).await;
    let clock = worker.clock_ms();
    let refuse = |reason: &str| {
        let answer = json!({ "clock_ms": clock, "reason": reason });
        (StatusCode::CONFLICT, Json(answer)).into_response()
    };
    let mut state = lock(&worker.state);
    if state.is_stale_token(body.fence_token) {
        return refuse("fence");
    }
    let key = (body.task.clone(), body.attempt);
    if state.runs.contains_key(&key) {
        return Json(json!({ "clock_ms": clock })).into_response();
    }
    if state.highest_ended_attempt.get(&body.task).is_some_and(|ended| *ended >= body.attempt) {
        return refuse("old");
    }
    if body.expires_ms <= clock {
        return refuse("late");
    }
    if state.runs.len() >= ACCELERATORS as usize {
        return refuse("room");
    }
    state.extend_lease(body.expires_ms);
    let now = Instant::now();
    let work = body.spec.strip_prefix("work-ms=").and_then(|text| text.parse().ok());
    let work = work.map_or(DEFAULT_RUN_TIME, Duration::from_millis);
    let trace_index = state.traces.len();
    state.traces.push(RunTrace {
        task: body.task,
        run: body.attempt,
        worker: worker.id.clone(),
        started: now,
        ended: None,
        outcome: "running",
        acknowledged: false,
        expired_unacknowledged: false,
    });
    state.runs.insert(key, RunState { ends_at: now + work, started: now, trace_index });
    Json(json!({ "clock_ms": clock })).into_response()
}

async fn stop(State(worker): State<Arc<PlatformWorker>>, Json(body): Json<StopBody>) -> Response {
    wait_while_silent(&worker).await;
    let mut state = lock(&worker.state);
    if state.is_stale_token(body.fence_token) {
        return StatusCode::CONFLICT.into_response();
    }
    state.end(&(body.task.clone(), body.attempt), "stopped", Instant::now(), true);
    state.record_ended(&body.task, body.attempt);
    Json(json!({ "clock_ms": worker.clock_ms() })).into_response()
}

/// Renews the lease, records acknowledged ends and reports running and ended tasks.
///
/// Waits for an end if there is none to report.
async fn hold(State(worker): State<Arc<PlatformWorker>>, Json(body): Json<HoldBody>) -> Response {
    wait_while_silent(&worker).await;
    let wait_for_end = {
        let mut state = lock(&worker.state);
        if state.is_stale_token(body.fence_token) {
            let answer = json!({ "clock_ms": worker.clock_ms(), "reason": "fence" });
            return (StatusCode::CONFLICT, Json(answer)).into_response();
        }
        if let Some(expires_ms) = body.expires_ms {
            state.extend_lease(expires_ms);
        }
        acknowledge(&mut state, body.last_seen);
        state.unacknowledged.is_empty()
    };
    if wait_for_end && body.wait_ms > 0 {
        let wait = Duration::from_millis(body.wait_ms);
        // The answer is built the same way whether a task ended or the wait timed out.
        let _ = tokio::time::timeout(wait, worker.changed.notified()).await;
    }
    let state = lock(&worker.state);
    let running: Vec<Value> = state.runs.iter().map(|(key, run)| running_entry(key, run)).collect();
    let finished: Vec<Value> = state
        .unacknowledged
        .iter()
        .take(MAX_REPORTED_ENDS)
        .map(|(end_number, task, run, outcome)| json!([end_number, task, run, outcome, ""]))
        .collect();
    Json(json!({
        "clock_ms": worker.clock_ms(), "born": worker.incarnation.load(Ordering::Relaxed),
        "running": running, "finished": finished,
    }))
    .into_response()
}

fn acknowledge(state: &mut WorkerState, last_seen: u64) {
    let seen: Vec<(String, u32)> = state
        .unacknowledged
        .iter()
        .filter(|(end_number, ..)| *end_number <= last_seen)
        .map(|(_, task, run, _)| (task.clone(), *run))
        .collect();
    state.unacknowledged.retain(|(end_number, ..)| *end_number > last_seen);
    for trace in &mut state.traces {
        if seen.iter().any(|(task, run)| *task == trace.task && *run == trace.run) {
            trace.acknowledged = !trace.expired_unacknowledged;
        }
    }
}

fn running_entry(key: &(String, u32), run: &RunState) -> Value {
    let total = (run.ends_at - run.started).as_secs_f64().max(0.001);
    let percent = (run.started.elapsed().as_secs_f64() / total * 100.0).min(99.0) as u32;
    json!([key.0, key.1, "", percent, 1000])
}

/// Waits while the worker is set to hold calls unanswered.
async fn wait_while_silent(worker: &PlatformWorker) {
    while worker.silent.load(Ordering::Relaxed) {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Returns the worker's monotonic clock: milliseconds since its first reading in this process, plus
/// an offset.
fn clock_ms(now: Instant) -> u64 {
    static ORIGIN: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    const START_MS: u128 = 100_000;
    let origin = *ORIGIN.get_or_init(Instant::now);
    u64::try_from(now.saturating_duration_since(origin).as_millis() + START_MS).unwrap_or(u64::MAX)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
