//! Stand-in of a worker: runs tasks under a lease and returns their ends until they are
//! acknowledged, 500 at a time.
//!
//! A task runs for the time that its job's text names, as `work-ms=N`, and ends as done.

use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use axum::extract::State;
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use axum::{Json, Router};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::Notify;

use crate::record::Record;
use crate::store::Store;

/// Maximum number of ends in one answer.
const ENDS_PER_ANSWER: usize = 500;
/// Time between checks for ends of tasks and of the lease.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Time between writes of the worker's entry in the store.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1500);
/// Reading of the worker's clock at its start.
const CLOCK_START_MS: u64 = 100_000;
/// Longest time for which an answer waits for an end.
const MAX_WAIT_MS: u64 = 2000;

/// Size of a worker and the times that bind it.
#[derive(Clone, Copy)]
pub struct WorkerSize {
    pub millicores: i64,
    pub mem_mb: i64,
    pub gpu_count: i64,
    /// Maximum duration of a lease.
    pub max_lease: Duration,
}

/// What one task of a job takes, as its client declared it.
#[derive(Clone, Copy, Default)]
pub struct TaskDemand {
    pub millicores: i64,
    pub mem_mb: i64,
    pub gpu_count: i64,
}

/// One run of a task, as the worker saw it.
#[derive(Clone)]
pub struct RunTrace {
    pub task: String,
    pub attempt: u32,
    pub worker: String,
    pub started: Instant,
    pub ended: Option<Instant>,
    /// `running`, `done`, `stopped` or `lapsed`.
    pub how: &'static str,
    /// Whether `last_seen` has reached the end, with no lapse of the lease between the two.
    pub noted: bool,
}

struct Run {
    trace: usize,
    ends: Instant,
    demand: TaskDemand,
}

struct End {
    number: u64,
    trace: usize,
    /// Whether the lease lapsed after the end.
    lapsed_since: bool,
}

#[derive(Default)]
struct WorkerState {
    highest_token: u64,
    lease_end: Option<Instant>,
    runs: BTreeMap<(String, u32), Run>,
    ends: VecDeque<End>,
    newest_end: u64,
    /// Highest attempt of each task that was stopped or has ended.
    highest_ended: BTreeMap<String, u32>,
    traces: Vec<RunTrace>,
}

/// A worker; clones share its state.
#[derive(Clone)]
pub struct Worker(Arc<WorkerInner>);

struct WorkerInner {
    id: String,
    zone: String,
    rack: String,
    address: String,
    size: WorkerSize,
    started: Instant,
    born: u64,
    sequence: AtomicU64,
    state: Mutex<WorkerState>,
    ended: Notify,
    record: Record,
    /// Demand of a task by the text of its job.
    demands: Arc<Mutex<BTreeMap<String, TaskDemand>>>,
}

impl Worker {
    /// Starts a worker and its heartbeats.
    pub async fn start(
        id: &str,
        zone: &str,
        rack: &str,
        size: WorkerSize,
        store: &Store,
        record: &Record,
        demands: &Arc<Mutex<BTreeMap<String, TaskDemand>>>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let worker = Self(Arc::new(WorkerInner {
            id: id.to_owned(),
            zone: zone.to_owned(),
            rack: rack.to_owned(),
            address: listener.local_addr()?.to_string(),
            size,
            started: Instant::now(),
            born: born.as_millis() as u64,
            sequence: AtomicU64::new(0),
            state: Mutex::default(),
            ended: Notify::new(),
            record: record.clone(),
            demands: demands.clone(),
        }));
        let router = Router::new()
            .route("/-/run-start", post(start))
            .route("/-/run-stop", post(stop))
            .route("/-/hold", post(hold))
            .route("/health", axum::routing::get(|| async { StatusCode::OK }))
            .with_state(worker.clone());
        tokio::spawn(async move { axum::serve(listener, router).await });
        let ticking = worker.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(CHECK_INTERVAL).await;
                ticking.end_due_runs();
            }
        });
        let (beating, store) = (worker.clone(), store.clone());
        tokio::spawn(async move {
            loop {
                store.put(&format!("servers/{}", beating.0.id), &beating.entry());
                tokio::time::sleep(HEARTBEAT_INTERVAL).await;
            }
        });
        Ok(worker)
    }

    /// Returns all runs in the order of their starts.
    pub fn traces(&self) -> Vec<RunTrace> {
        self.lock().traces.clone()
    }

    /// Returns the number of accelerators that running tasks take.
    pub fn used_accelerators(&self) -> i64 {
        self.lock().runs.values().map(|run| run.demand.gpu_count).sum()
    }

    /// Returns the number of running tasks.
    pub fn running(&self) -> usize {
        self.lock().runs.len()
    }

    pub fn id(&self) -> &str {
        &self.0.id
    }

    fn entry(&self) -> Value {
        let inner = &self.0;
        json!({
            "service": "desk", "address": inner.address, "zone": inner.zone, "version": "v1",
            "task_slots": 1000, "state": "ready", "cold_left_ms": 0,
            "capacity": { "millicores": inner.size.millicores, "mem_mb": inner.size.mem_mb,
                          "gpu_count": inner.size.gpu_count },
            "labels": ["a", inner.rack], "clock_ms": self.clock_ms(), "born": inner.born,
            "seq": inner.sequence.fetch_add(1, Ordering::Relaxed) + 1,
        })
    }

    fn clock_ms(&self) -> u64 {
        CLOCK_START_MS + self.0.started.elapsed().as_millis() as u64
    }

    fn lock(&self) -> MutexGuard<'_, WorkerState> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn end_due_runs(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        let lapsed = state.lease_end.is_some_and(|end| now > end);
        if lapsed {
            state.lease_end = None;
            state.ends.iter_mut().for_each(|end| end.lapsed_since = true);
        }
        let due = state.runs.iter().filter(|(_, run)| lapsed || now >= run.ends);
        let due: Vec<(String, u32)> = due.map(|(key, _)| key.clone()).collect();
        for key in &due {
            self.end_run(&mut state, key, if lapsed { "lapsed" } else { "done" });
        }
        drop(state);
        if !due.is_empty() {
            self.0.ended.notify_waiters();
        }
    }

    fn end_run(&self, state: &mut WorkerState, key: &(String, u32), how: &'static str) {
        let Some(run) = state.runs.remove(key) else {
            return;
        };
        state.newest_end += 1;
        let number = state.newest_end;
        state.ends.push_back(End { number, trace: run.trace, lapsed_since: false });
        state.traces[run.trace].ended = Some(Instant::now());
        state.traces[run.trace].how = how;
        state.mark_ended(&key.0, key.1);
        self.0.record.line(format!("{} ends {} {} {how} as end {number}", self.id(), key.0, key.1));
    }

    fn extend_lease(&self, state: &mut WorkerState, expires_ms: u64) {
        let now = Instant::now();
        let left = Duration::from_millis(expires_ms.saturating_sub(self.clock_ms()));
        if left.is_zero() {
            return;
        }
        let end = now + left.min(self.0.size.max_lease);
        state.lease_end = Some(state.lease_end.map_or(end, |former| former.max(end)));
    }

    fn has_room(&self, state: &WorkerState, demand: TaskDemand) -> bool {
        let size = self.0.size;
        let mut free = (size.millicores, size.mem_mb, size.gpu_count);
        for run in state.runs.values() {
            free.0 -= run.demand.millicores;
            free.1 -= run.demand.mem_mb;
            free.2 -= run.demand.gpu_count;
        }
        free.0 >= demand.millicores && free.1 >= demand.mem_mb && free.2 >= demand.gpu_count
    }

    fn refusal(&self, reason: &str) -> Response {
        let body = json!({ "clock_ms": self.clock_ms(), "reason": reason });
        (StatusCode::CONFLICT, Json(body)).into_response()
    }

    fn success(&self) -> Response {
        Json(json!({ "clock_ms": self.clock_ms() })).into_response()
    }

    fn is_addressed(&self, headers: &HeaderMap) -> bool {
        let target = headers.get("X-Target-Instance").and_then(|value| value.to_str().ok());
        target.is_none_or(|target| target == self.0.id)
    }
}

impl WorkerState {
    /// Returns whether a token is lower than one seen before, and keeps the highest.
    fn is_stale(&mut self, token: u64) -> bool {
        let stale = token < self.highest_token;
        self.highest_token = self.highest_token.max(token);
        stale
    }

    fn mark_ended(&mut self, task: &str, attempt: u32) {
        let highest = self.highest_ended.entry(task.to_owned()).or_default();
        *highest = (*highest).max(attempt);
    }
}

#[derive(Deserialize)]
struct StartBody {
    task: String,
    attempt: u32,
    #[serde(default)]
    spec: String,
    expires_ms: u64,
    #[serde(default)]
    fence_token: u64,
}

async fn start(
    State(worker): State<Worker>,
    headers: HeaderMap,
    Json(body): Json<StartBody>,
) -> Response {
    if !worker.is_addressed(&headers) {
        return StatusCode::MISDIRECTED_REQUEST.into_response();
    }
    let name = format!("{} start {} {}", worker.id(), body.task, body.attempt);
    let refuse = |reason: &str| {
        worker.0.record.line(format!("{name} token {}: 409 {reason}", body.fence_token));
        worker.refusal(reason)
    };
    let mut state = worker.lock();
    if state.is_stale(body.fence_token) {
        return refuse("fence");
    }
    let key = (body.task.clone(), body.attempt);
    if state.runs.contains_key(&key) {
        return worker.success();
    }
    if state.highest_ended.get(&body.task).is_some_and(|ended| *ended >= body.attempt) {
        worker.extend_lease(&mut state, body.expires_ms);
        return refuse("old");
    }
    if body.expires_ms <= worker.clock_ms() {
        return refuse("late");
    }
    worker.extend_lease(&mut state, body.expires_ms);
    let demands = worker.0.demands.lock().unwrap_or_else(PoisonError::into_inner);
    let demand = demands.get(&body.spec).copied().unwrap_or_default();
    drop(demands);
    if !worker.has_room(&state, demand) {
        return refuse("room");
    }
    let work = body.spec.split_whitespace().find_map(|word| word.strip_prefix("work-ms="));
    let work = work.and_then(|text| text.parse().ok()).unwrap_or(1000);
    let now = Instant::now();
    let trace = state.traces.len();
    state.traces.push(RunTrace {
        task: body.task,
        attempt: body.attempt,
        worker: worker.0.id.clone(),
        started: now,
        ended: None,
        how: "running",
        noted: false,
    });
    state.runs.insert(key, Run { trace, ends: now + Duration::from_millis(work), demand });
    worker.0.record.line(format!("{name} token {}: 200", body.fence_token));
    worker.success()
}

#[derive(Deserialize)]
struct StopBody {
    task: String,
    attempt: u32,
    #[serde(default)]
    fence_token: u64,
}

async fn stop(
    State(worker): State<Worker>,
    headers: HeaderMap,
    Json(body): Json<StopBody>,
) -> Response {
    if !worker.is_addressed(&headers) {
        return StatusCode::MISDIRECTED_REQUEST.into_response();
    }
    let mut state = worker.lock();
    if state.is_stale(body.fence_token) {
        return worker.refusal("fence");
    }
    let line = format!("{} stop {} {}: 200", worker.id(), body.task, body.attempt);
    worker.0.record.line(line);
    worker.end_run(&mut state, &(body.task.clone(), body.attempt), "stopped");
    state.mark_ended(&body.task, body.attempt);
    drop(state);
    worker.0.ended.notify_waiters();
    worker.success()
}

#[derive(Deserialize)]
struct HoldBody {
    #[serde(default)]
    fence_token: u64,
    #[serde(default)]
    last_seen: u64,
    expires_ms: Option<u64>,
    #[serde(default)]
    wait_ms: u64,
}

async fn hold(
    State(worker): State<Worker>,
    headers: HeaderMap,
    Json(body): Json<HoldBody>,
) -> Response {
    if !worker.is_addressed(&headers) {
        return StatusCode::MISDIRECTED_REQUEST.into_response();
    }
    let ended = worker.0.ended.notified();
    tokio::pin!(ended);
    ended.as_mut().enable();
    let waits = {
        let mut state = worker.lock();
        if state.is_stale(body.fence_token) {
            return worker.refusal("fence");
        }
        if let Some(expires_ms) = body.expires_ms {
            worker.extend_lease(&mut state, expires_ms);
        }
        let state = &mut *state;
        while let Some(end) = state.ends.front()
            && end.number <= body.last_seen
        {
            state.traces[end.trace].noted |= !end.lapsed_since;
            state.ends.pop_front();
        }
        state.ends.is_empty()
    };
    if waits && body.wait_ms > 0 {
        let wait = Duration::from_millis(body.wait_ms.min(MAX_WAIT_MS));
        // The answer is the same whether a task has ended or the time is over.
        let _ = tokio::time::timeout(wait, ended).await;
    }
    let state = worker.lock();
    let now = Instant::now();
    let running = state.runs.iter().map(|((task, attempt), run)| {
        let trace = &state.traces[run.trace];
        let total = run.ends.duration_since(trace.started).as_secs_f64().max(0.001);
        let percent = now.duration_since(trace.started).as_secs_f64() / total * 100.0;
        json!([task, attempt, "", percent.min(99.0) as u64, run.demand.millicores])
    });
    let running: Vec<Value> = running.collect();
    let finished = state.ends.iter().take(ENDS_PER_ANSWER).map(|end| {
        let trace = &state.traces[end.trace];
        json!([end.number, trace.task, trace.attempt, trace.how, ""])
    });
    let finished: Vec<Value> = finished.collect();
    worker.0.record.line(format!(
        "{} look token {} last_seen {}: {} running, {} of {} ends",
        worker.id(),
        body.fence_token,
        body.last_seen,
        running.len(),
        finished.len(),
        state.ends.len()
    ));
    let body = json!({ "clock_ms": worker.clock_ms(), "born": worker.0.born,
                       "running": running, "finished": finished });
    Json(body).into_response()
}
