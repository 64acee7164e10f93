//! The platform's store interface, served from an in-memory store.

use std::time::Duration;

use axum::extract::{Path, Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{delete, get, post};
use axum::{Json, Router};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use lacewingrail_clients::MemoryStore;
use lacewingrail_model::store::{
    BatchStore, KeyExpectation, KeyValueService, KeyWrite, StoreBatch, StoreEntry, StoreError,
};
use serde::Deserialize;
use serde_json::{Value, json};

/// Returns the routes of the store.
pub(super) fn router(store: &MemoryStore) -> Router {
    Router::new()
        .route("/-/kv-key", get(read_key))
        .route("/-/kv-range", get(read_range))
        .route("/-/kv-watch", get(watch))
        .route("/-/kv-txn", post(commit))
        .route("/-/kv-lease", post(grant))
        .route("/-/kv-keep/{lease}", post(renew))
        .route("/-/kv-lease-end/{lease}", delete(end_lease))
        .with_state(store.clone())
}

#[derive(Deserialize)]
struct KeyQuery {
    key: String,
}

#[derive(Deserialize)]
struct RangeQuery {
    prefix: String,
}

#[derive(Deserialize)]
struct WatchQuery {
    prefix: String,
    after: u64,
    wait_ms: u64,
}

#[derive(Deserialize)]
struct LeaseBody {
    ttl_ms: u64,
}

#[derive(Deserialize)]
struct Transaction {
    #[serde(default)]
    expect: Vec<Expectation>,
    #[serde(default)]
    writes: Vec<Write>,
    #[serde(default)]
    remove: Vec<String>,
}

#[derive(Deserialize)]
struct Expectation {
    key: String,
    revision: u64,
}

#[derive(Deserialize)]
struct Write {
    key: String,
    value: String,
    #[serde(default)]
    lease: u64,
}

async fn read_key(State(store): State<MemoryStore>, Query(query): Query<KeyQuery>) -> Response {
    match store.get(&query.key).await {
        Ok(Some(entry)) => Json(entry_json(&entry)).into_response(),
        Ok(None) => StatusCode::NOT_FOUND.into_response(),
        Err(error) => answer_error(&error),
    }
}

async fn read_range(State(store): State<MemoryStore>, Query(query): Query<RangeQuery>) -> Response {
    let revision = store.stats().revision;
    match store.list(&query.prefix).await {
        Ok(entries) => {
            let items: Vec<Value> = entries.iter().map(entry_json).collect();
            Json(json!({ "items": items, "has_more": false, "at_rev": revision })).into_response()
        }
        Err(error) => answer_error(&error),
    }
}

async fn watch(State(store): State<MemoryStore>, Query(query): Query<WatchQuery>) -> Response {
    let wait = Duration::from_millis(query.wait_ms);
    match store.watch(&query.prefix, query.after, wait).await {
        Ok(batch) if batch.reset => StatusCode::GONE.into_response(),
        Ok(batch) => {
            let events: Vec<Value> = batch
                .events
                .into_iter()
                .map(|event| match event.value {
                    Some(value) => {
                        entry_json(&StoreEntry { key: event.key, value, revision: event.revision })
                    }
                    None => {
                        json!({ "key": event.key, "revision": event.revision, "compacted": true })
                    }
                })
                .collect();
            Json(json!({ "events": events, "at_rev": batch.revision })).into_response()
        }
        Err(error) => answer_error(&error),
    }
}

async fn commit(State(store): State<MemoryStore>, Json(body): Json<Transaction>) -> Response {
    let mut writes = Vec::new();
    for write in body.writes {
        let decoded =
            STANDARD.decode(&write.value).ok().and_then(|bytes| String::from_utf8(bytes).ok());
        let Some(value) = decoded else {
            return StatusCode::BAD_REQUEST.into_response();
        };
        let lease = (write.lease > 0).then_some(write.lease);
        writes.push(KeyWrite { key: write.key, value, lease });
    }
    let to_expectation = |expectation: Expectation| KeyExpectation {
        key: expectation.key,
        revision: expectation.revision,
    };
    let expected = body.expect.into_iter().map(to_expectation).collect();
    match store.commit(StoreBatch { expected, writes, deletes: body.remove }).await {
        Ok(revision) => Json(json!({ "revision": revision })).into_response(),
        Err(error) => answer_error(&error),
    }
}

async fn grant(State(store): State<MemoryStore>, Json(body): Json<LeaseBody>) -> Response {
    match store.grant_lease(Duration::from_millis(body.ttl_ms)).await {
        Ok(lease) => Json(json!({ "lease": lease, "ttl_ms": body.ttl_ms })).into_response(),
        Err(error) => answer_error(&error),
    }
}

async fn renew(State(store): State<MemoryStore>, Path(lease): Path<u64>) -> Response {
    match store.renew_lease(lease).await {
        Ok(()) => Json(json!({})).into_response(),
        Err(error) => answer_error(&error),
    }
}

async fn end_lease(State(store): State<MemoryStore>, Path(lease): Path<u64>) -> Response {
    match store.revoke_lease(lease).await {
        Ok(()) => Json(json!({})).into_response(),
        Err(error) => answer_error(&error),
    }
}

fn entry_json(entry: &StoreEntry) -> Value {
    let value = STANDARD.encode(&entry.value);
    json!({ "key": entry.key, "value": value, "revision": entry.revision })
}

/// Answers an error as the platform does; an unclear outcome breaks the connection.
fn answer_error(error: &StoreError) -> Response {
    match error {
        StoreError::Conflict { current } => {
            let items = json!({ "items": [{ "key": "", "revision": current }] });
            (StatusCode::PRECONDITION_FAILED, Json(items)).into_response()
        }
        StoreError::LeaseLapsed => StatusCode::NOT_FOUND.into_response(),
        StoreError::Unclear(_) => crate::server::broken_answer(),
        StoreError::TooLarge { .. } | StoreError::Malformed(_) => {
            StatusCode::BAD_REQUEST.into_response()
        }
        StoreError::Unavailable(_) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}
