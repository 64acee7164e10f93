//! Stand-in of the platform's instance list, whose changes become visible after a configurable lag.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::extract::{Path, State};
use axum::http::header::{CONTENT_TYPE, ETAG, IF_NONE_MATCH};
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{delete, get, post};
use axum::{Json, Router};
use lacewingrail_model::WorkerId;
use lacewingrail_model::hash::digest;
use lacewingrail_model::instance::InstanceEntry;
use lacewingrail_model::worker::WorkerSpec;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::server::ServerHandle;

/// Changes that wait for the lag to pass; beyond this number the oldest are applied early.
const MAX_PENDING_CHANGES: usize = 100_000;

/// Change of the instance list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceChange {
    /// Adds or replaces an instance.
    AddInstance(InstanceEntry),
    /// Removes an instance by name.
    RemoveInstance(String),
    /// Sets whether an instance is leaving.
    SetLeaving {
        /// Name of the instance.
        name: String,
        /// Whether the instance is leaving from now on.
        leaving: bool,
    },
    /// Adds or replaces a worker.
    AddWorker(WorkerSpec),
    /// Removes a worker by id.
    RemoveWorker(WorkerId),
}

/// Faults of the instance list; the default is none.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ListFaults {
    /// Whether every read is refused with 503.
    pub unavailable: bool,
    /// Time added to every read in milliseconds.
    pub delay_ms: u64,
    /// Time after which a change is visible in the list, in milliseconds.
    pub lag_ms: u64,
}

/// Serves the instance list over HTTP.
#[derive(Debug)]
pub struct InstanceListServer {
    state: SharedList,
    handle: ServerHandle,
}

impl InstanceListServer {
    /// Serves an empty list on an address such as `127.0.0.1:0`; fails if it cannot be bound.
    pub async fn spawn(address: &str) -> io::Result<Self> {
        let state = SharedList::default();
        let handle = ServerHandle::spawn(address, router(state.clone())).await?;
        Ok(Self { state, handle })
    }

    /// Returns the handle of the HTTP server.
    pub fn handle(&self) -> &ServerHandle {
        &self.handle
    }

    /// Returns the base URL for clients, without a trailing slash.
    pub fn url(&self) -> String {
        self.handle.url()
    }

    /// Changes the list; the change is visible after the lag.
    pub fn change(&self, change: InstanceChange) {
        self.state.lock().change(change);
    }

    /// Replaces the faults and the lag; pending changes keep the time at which they become
    /// visible.
    pub fn set_faults(&self, faults: ListFaults) {
        self.state.lock().faults = faults;
    }
}

#[derive(Clone, Debug, Default)]
struct SharedList(Arc<Mutex<ListState>>);

impl SharedList {
    fn lock(&self) -> MutexGuard<'_, ListState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Debug, Default)]
struct ListState {
    instances: BTreeMap<String, InstanceEntry>,
    workers: BTreeMap<WorkerId, WorkerSpec>,
    pending: VecDeque<(Instant, InstanceChange)>,
    faults: ListFaults,
}

impl ListState {
    fn change(&mut self, change: InstanceChange) {
        let due = Instant::now() + Duration::from_millis(self.faults.lag_ms);
        let due = self.pending.back().map_or(due, |(last, _)| due.max(*last));
        self.pending.push_back((due, change));
        self.apply_due();
    }

    /// Applies the changes whose lag has passed.
    fn apply_due(&mut self) {
        let now = Instant::now();
        while let Some((due, _)) = self.pending.front() {
            if *due > now && self.pending.len() <= MAX_PENDING_CHANGES {
                return;
            }
            if let Some((_, change)) = self.pending.pop_front() {
                self.apply(change);
            }
        }
    }

    fn apply(&mut self, change: InstanceChange) {
        match change {
            InstanceChange::AddInstance(entry) => {
                self.instances.insert(entry.name.clone(), entry);
            }
            InstanceChange::RemoveInstance(name) => {
                self.instances.remove(&name);
            }
            InstanceChange::SetLeaving { name, leaving } => {
                if let Some(entry) = self.instances.get_mut(&name) {
                    entry.leaving = leaving;
                }
            }
            InstanceChange::AddWorker(spec) => {
                self.workers.insert(spec.id.clone(), spec);
            }
            InstanceChange::RemoveWorker(id) => {
                self.workers.remove(&id);
            }
        }
    }
}

#[derive(Deserialize)]
struct LeavingBody {
    leaving: bool,
}

fn router(state: SharedList) -> Router {
    Router::new()
        .route("/v1/instances", get(instances).post(add_instances))
        .route("/v1/instances/{name}", delete(remove_instance))
        .route("/v1/instances/{name}/leaving", post(set_leaving))
        .route("/v1/workers", get(workers).post(add_workers))
        .route("/v1/workers/{id}", delete(remove_worker))
        .route("/v1/faults", get(faults).post(set_faults))
        .with_state(state)
}

async fn instances(State(state): State<SharedList>, headers: HeaderMap) -> Response {
    read(&state, &headers, |list| list.instances.values().cloned().collect::<Vec<_>>()).await
}

async fn workers(State(state): State<SharedList>, headers: HeaderMap) -> Response {
    read(&state, &headers, |list| list.workers.values().cloned().collect::<Vec<_>>()).await
}

async fn add_instances(State(state): State<SharedList>, Json(entries): Json<Vec<InstanceEntry>>) {
    let mut list = state.lock();
    entries.into_iter().for_each(|entry| list.change(InstanceChange::AddInstance(entry)));
}

async fn remove_instance(State(state): State<SharedList>, Path(name): Path<String>) {
    state.lock().change(InstanceChange::RemoveInstance(name));
}

async fn set_leaving(
    State(state): State<SharedList>,
    Path(name): Path<String>,
    Json(body): Json<LeavingBody>,
) {
    state.lock().change(InstanceChange::SetLeaving { name, leaving: body.leaving });
}

async fn add_workers(State(state): State<SharedList>, Json(specs): Json<Vec<WorkerSpec>>) {
    let mut list = state.lock();
    specs.into_iter().for_each(|spec| list.change(InstanceChange::AddWorker(spec)));
}

async fn remove_worker(State(state): State<SharedList>, Path(id): Path<String>) {
    state.lock().change(InstanceChange::RemoveWorker(id));
}

async fn faults(State(state): State<SharedList>) -> Json<ListFaults> {
    Json(state.lock().faults)
}

async fn set_faults(State(state): State<SharedList>, Json(faults): Json<ListFaults>) {
    state.lock().faults = faults;
}

/// Answers a read under the faults of the list; 304 if the caller has the current entity tag.
async fn read<T, F>(state: &SharedList, headers: &HeaderMap, select: F) -> Response
where
    F: FnOnce(&ListState) -> T,
    T: Serialize,
{
    let faults = state.lock().faults;
    if faults.delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    }
    if faults.unavailable {
        return (StatusCode::SERVICE_UNAVAILABLE, "outage").into_response();
    }
    let mut list = state.lock();
    list.apply_due();
    let Ok(body) = serde_json::to_vec(&select(&list)) else {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    };
    let tag = format!("\"{:016x}\"", digest(&body));
    if headers.get(IF_NONE_MATCH).is_some_and(|known| known.as_bytes() == tag.as_bytes()) {
        return StatusCode::NOT_MODIFIED.into_response();
    }
    ([(ETAG, tag), (CONTENT_TYPE, "application/json".to_owned())], body).into_response()
}
