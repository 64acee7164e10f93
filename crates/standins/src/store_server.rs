//! Stand-in of the platform's key-value service: [`MemoryStore`] over HTTP and JSON.

use std::io;
use std::time::Duration;

use axum::extract::{DefaultBodyLimit, Path, Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{delete, get, post};
use axum::{Json, Router};
use lacewingrail_clients::protocol::{
    ConflictAnswer, GetAnswer, LeaseAnswer, LeaseRequest, ListAnswer, WriteAnswer,
};
use lacewingrail_clients::{MemoryStore, StoreFaults, StoreStats};
use lacewingrail_model::store::{KeyValueService, LeaseId, Revision, StoreError};
use serde::{Deserialize, Serialize};

use crate::server::{ServerHandle, broken_answer};

/// Largest request body in bytes; above the value limit, so that the store itself refuses large
/// values.
const MAX_BODY_BYTES: usize = 2_000_000;

/// Serves a [`MemoryStore`] over HTTP.
#[derive(Debug)]
pub struct StoreServer {
    store: MemoryStore,
    handle: ServerHandle,
}

impl StoreServer {
    /// Serves an empty store on an address such as `127.0.0.1:0`; random faults are drawn from the
    /// seed.
    ///
    /// Fails if the address cannot be bound.
    pub async fn spawn(address: &str, seed: u64) -> io::Result<Self> {
        log::info!("key-value server uses seed {seed}");
        Self::spawn_store(address, MemoryStore::seeded(seed)).await
    }

    /// Serves an existing store, for instance to restart a server without losing its keys.
    ///
    /// Fails if the address cannot be bound.
    pub async fn spawn_store(address: &str, store: MemoryStore) -> io::Result<Self> {
        let handle = ServerHandle::spawn(address, router(store.clone())).await?;
        Ok(Self { store, handle })
    }

    /// Returns the store, to inject faults and read it directly.
    pub fn store(&self) -> &MemoryStore {
        &self.store
    }

    /// Returns the handle of the HTTP server.
    pub fn handle(&self) -> &ServerHandle {
        &self.handle
    }

    /// Returns the base URL for clients, without a trailing slash.
    pub fn url(&self) -> String {
        self.handle.url()
    }
}

/// Requests a shift of the clock by which leases expire.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct ClockShift {
    /// Shift in milliseconds; may be negative.
    pub by_ms: i64,
}

#[derive(Deserialize)]
struct PrefixQuery {
    #[serde(default)]
    prefix: String,
}

#[derive(Deserialize)]
struct WriteQuery {
    revision: Revision,
    lease: Option<LeaseId>,
}

#[derive(Deserialize)]
struct WatchQuery {
    #[serde(default)]
    prefix: String,
    after: Revision,
    wait_ms: u64,
}

fn router(store: MemoryStore) -> Router {
    Router::new()
        .route("/v1/kv", get(list))
        .route("/v1/kv/{key}", get(read).put(write).delete(remove))
        .route("/v1/watch", get(watch))
        .route("/v1/leases", post(grant))
        .route("/v1/leases/{lease}", delete(revoke))
        .route("/v1/leases/{lease}/renew", post(renew))
        .route("/v1/stats", get(stats))
        .route("/v1/faults", get(faults).post(set_faults))
        .route("/v1/lease-clock", post(shift_lease_clock))
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(store)
}

async fn read(State(store): State<MemoryStore>, Path(key): Path<String>) -> Response {
    answer(store.get(&key).await.map(|entry| GetAnswer { entry }))
}

async fn list(State(store): State<MemoryStore>, Query(query): Query<PrefixQuery>) -> Response {
    answer(store.list(&query.prefix).await.map(|entries| ListAnswer { entries }))
}

async fn write(
    State(store): State<MemoryStore>,
    Path(key): Path<String>,
    Query(query): Query<WriteQuery>,
    value: String,
) -> Response {
    let outcome = store.put(&key, value, query.revision, query.lease).await;
    answer(outcome.map(|revision| WriteAnswer { revision }))
}

async fn remove(
    State(store): State<MemoryStore>,
    Path(key): Path<String>,
    Query(query): Query<WriteQuery>,
) -> Response {
    answer(store.delete(&key, query.revision).await)
}

async fn watch(State(store): State<MemoryStore>, Query(query): Query<WatchQuery>) -> Response {
    let wait = Duration::from_millis(query.wait_ms);
    answer(store.watch(&query.prefix, query.after, wait).await)
}

async fn grant(State(store): State<MemoryStore>, Json(request): Json<LeaseRequest>) -> Response {
    let outcome = store.grant_lease(Duration::from_millis(request.ttl_ms)).await;
    answer(outcome.map(|lease| LeaseAnswer { lease }))
}

async fn renew(State(store): State<MemoryStore>, Path(lease): Path<LeaseId>) -> Response {
    answer(store.renew_lease(lease).await)
}

async fn revoke(State(store): State<MemoryStore>, Path(lease): Path<LeaseId>) -> Response {
    answer(store.revoke_lease(lease).await)
}

async fn stats(State(store): State<MemoryStore>) -> Json<StoreStats> {
    Json(store.stats())
}

async fn faults(State(store): State<MemoryStore>) -> Json<StoreFaults> {
    Json(store.faults())
}

async fn set_faults(State(store): State<MemoryStore>, Json(faults): Json<StoreFaults>) {
    log::info!("faults of the key-value service set to {faults:?}");
    store.set_faults(faults);
}

async fn shift_lease_clock(State(store): State<MemoryStore>, Json(shift): Json<ClockShift>) {
    store.shift_lease_clock(shift.by_ms);
}

fn answer<T>(outcome: Result<T, StoreError>) -> Response
where
    T: Serialize,
{
    match outcome {
        Ok(value) => Json(value).into_response(),
        Err(StoreError::Conflict { current }) => {
            (StatusCode::CONFLICT, Json(ConflictAnswer { current })).into_response()
        }
        Err(StoreError::Unclear(_)) => broken_answer(),
        Err(error) => (status(&error), error.to_string()).into_response(),
    }
}

fn status(error: &StoreError) -> StatusCode {
    match error {
        StoreError::LeaseLapsed => StatusCode::GONE,
        StoreError::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
        StoreError::Unavailable(_) => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::INTERNAL_SERVER_ERROR,
    }
}
