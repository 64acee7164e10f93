//! Stand-in of the platform's store: items, transactions, watches and leases.
//!
//! Every instance has a listener of its own, so that the stand-in knows which instance wrote last
//! under a condition.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use axum::extract::{Path, Query, Request, State};
use axum::http::StatusCode;
use axum::middleware::{self, Next};
use axum::response::{IntoResponse, Response};
use axum::routing::{delete, get, post};
use axum::{Json, Router};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// Time that every answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Age from which changes are no longer available to watches.
const HISTORY: Duration = Duration::from_secs(20);
/// Maximum number of items in one page.
const PAGE_ITEMS: usize = 500;
/// Time between checks for ended leases.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Shortest lease that the store grants.
const MIN_LEASE: Duration = Duration::from_millis(1000);

#[derive(Clone)]
struct Item {
    /// Value in base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Change {
    at: Instant,
    revision: u64,
    key: String,
    /// The item as it was written; `None` for a deletion.
    item: Option<Item>,
}

struct Lease {
    duration: Duration,
    ends: Instant,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: VecDeque<Change>,
    /// Newest revision whose change was discarded from the history.
    discarded: u64,
    leases: HashMap<u64, Lease>,
    newest_lease: u64,
    /// Number of the instance that last wrote under a condition.
    last_writer: Option<usize>,
    /// Since when the store is down, or `None` while it answers.
    down_since: Option<Instant>,
}

/// Store of the platform; clones share the state.
#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<StoreState>>,
    changed: Arc<Notify>,
}

#[derive(Clone)]
struct Listener {
    store: Store,
    instance: usize,
}

impl Store {
    /// Creates a store and starts to end its leases.
    pub fn start() -> Self {
        let state = StoreState { revision: 1, ..StoreState::default() };
        let store = Self { state: Arc::new(Mutex::new(state)), changed: Arc::default() };
        let leases = store.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(LEASE_CHECK_INTERVAL).await;
                leases.end_leases();
            }
        });
        store
    }

    /// Starts a listener for an instance and returns its address.
    pub async fn listen(&self, instance: usize) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Listener { store: self.clone(), instance };
        let router = Router::new()
            .route("/-/kv-key", get(read_key))
            .route("/-/kv-range", get(read_range))
            .route("/-/kv-watch", get(watch))
            .route("/-/kv-txn", post(commit))
            .route("/-/kv-lease", post(grant_lease))
            .route("/-/kv-keep/{lease}", post(renew_lease))
            .route("/-/kv-lease-end/{lease}", delete(end_lease))
            .layer(middleware::from_fn_with_state(state.clone(), keep_silent_while_down))
            .with_state(state);
        tokio::spawn(async move { axum::serve(listener, router).await });
        Ok(address)
    }

    /// Returns the instance that last wrote under a condition.
    pub fn last_conditional_writer(&self) -> Option<usize> {
        self.lock().last_writer
    }

    /// Writes a JSON value unconditionally, as operators and workers do.
    pub fn put(&self, key: &str, value: &Value) {
        let mut state = self.lock();
        if state.down_since.is_some() {
            return;
        }
        state.revision += 1;
        state.write(key, STANDARD.encode(value.to_string()), 0);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Begins an outage: no call is answered, waiting watches neither, and leases pause.
    pub fn go_down(&self) {
        self.lock().down_since = Some(Instant::now());
        self.changed.notify_waiters();
    }

    /// Ends the outage.
    pub fn come_back(&self) {
        let mut state = self.lock();
        let Some(since) = state.down_since.take() else {
            return;
        };
        let paused = since.elapsed();
        state.leases.values_mut().for_each(|lease| lease.ends += paused);
    }

    fn is_down(&self) -> bool {
        self.lock().down_since.is_some()
    }

    /// Discards the history; a watch that needs it is answered with 410.
    pub fn compact(&self) {
        let mut state = self.lock();
        state.discarded = state.revision;
        state.history.clear();
        drop(state);
        self.changed.notify_waiters();
    }

    fn end_leases(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        if state.down_since.is_some() {
            return;
        }
        let ended: Vec<u64> =
            state.leases.iter().filter(|(_, lease)| lease.ends <= now).map(|(id, _)| *id).collect();
        for lease in &ended {
            state.end_lease(*lease);
        }
        drop(state);
        if !ended.is_empty() {
            self.changed.notify_waiters();
        }
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StoreState {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.record(key, Some(item));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.record(key, None);
        }
    }

    fn record(&mut self, key: &str, item: Option<Item>) {
        let now = Instant::now();
        let change = Change { at: now, revision: self.revision, key: key.to_owned(), item };
        self.history.push_back(change);
        while let Some(oldest) = self.history.front()
            && now.duration_since(oldest.at) > HISTORY
        {
            self.discarded = oldest.revision;
            self.history.pop_front();
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        if self.leases.remove(&lease).is_none() {
            return false;
        }
        let bound = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = bound.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        keys.iter().for_each(|key| self.remove(key));
        true
    }

    /// Returns the changes of keys with a prefix after a revision; `None` if they are discarded.
    fn changes(&self, prefix: &str, after: u64) -> Option<Vec<Value>> {
        if after < self.discarded {
            return None;
        }
        let newer = self
            .history
            .iter()
            .filter(|change| change.revision > after && change.key.starts_with(prefix));
        Some(newer.map(change_json).collect())
    }
}

fn change_json(change: &Change) -> Value {
    match &change.item {
        Some(item) => item_json(&change.key, item),
        None => json!({ "key": change.key, "revision": change.revision, "compacted": true }),
    }
}

fn item_json(key: &str, item: &Item) -> Value {
    json!({ "key": key, "value": item.value, "revision": item.revision,
            "created": item.created, "lease": item.lease })
}

/// Serves a request, or never answers it if the store is down when it arrives or would be answered.
async fn keep_silent_while_down(
    State(listener): State<Listener>,
    request: Request,
    next: Next,
) -> Response {
    if listener.store.is_down() {
        return std::future::pending().await;
    }
    let response = next.run(request).await;
    if listener.store.is_down() {
        return std::future::pending().await;
    }
    response
}

#[derive(Deserialize)]
struct KeyQuery {
    key: String,
}

async fn read_key(State(listener): State<Listener>, Query(query): Query<KeyQuery>) -> Response {
    tokio::time::sleep(ANSWER_TIME).await;
    let state = listener.store.lock();
    let Some(item) = state.items.get(&query.key) else {
        return StatusCode::NOT_FOUND.into_response();
    };
    let mut body = item_json(&query.key, item);
    body["at_rev"] = json!(state.revision);
    Json(body).into_response()
}

#[derive(Deserialize)]
struct RangeQuery {
    prefix: String,
    #[serde(default)]
    after: String,
}

async fn read_range(State(listener): State<Listener>, Query(query): Query<RangeQuery>) -> Response {
    tokio::time::sleep(ANSWER_TIME).await;
    let state = listener.store.lock();
    let matching =
        state.items.iter().filter(|(key, _)| key.starts_with(&query.prefix) && **key > query.after);
    let mut items: Vec<Value> =
        matching.take(PAGE_ITEMS + 1).map(|(key, item)| item_json(key, item)).collect();
    let has_more = items.len() > PAGE_ITEMS;
    items.truncate(PAGE_ITEMS);
    Json(json!({ "items": items, "has_more": has_more, "at_rev": state.revision })).into_response()
}

#[derive(Deserialize)]
struct WatchQuery {
    prefix: String,
    after: u64,
    #[serde(default)]
    wait_ms: u64,
}

async fn watch(State(listener): State<Listener>, Query(query): Query<WatchQuery>) -> Response {
    tokio::time::sleep(ANSWER_TIME).await;
    let deadline = Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        let changed = listener.store.changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        if listener.store.is_down() {
            return std::future::pending().await;
        }
        {
            let state = listener.store.lock();
            let Some(events) = state.changes(&query.prefix, query.after) else {
                return StatusCode::GONE.into_response();
            };
            if !events.is_empty() || Instant::now() >= deadline {
                let body = json!({ "events": events, "at_rev": state.revision });
                return Json(body).into_response();
            }
        }
        let left = deadline.saturating_duration_since(Instant::now());
        // The state is read again in both cases.
        let _ = tokio::time::timeout(left, changed).await;
    }
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

async fn commit(State(listener): State<Listener>, Json(body): Json<Transaction>) -> Response {
    tokio::time::sleep(ANSWER_TIME).await;
    let reserved = |key: &String| key.starts_with("op/") || key.starts_with("servers/");
    if body.writes.iter().any(|write| reserved(&write.key)) || body.remove.iter().any(reserved) {
        return StatusCode::FORBIDDEN.into_response();
    }
    if body.expect.len() + body.writes.len() + body.remove.len() > 32 {
        return StatusCode::BAD_REQUEST.into_response();
    }
    let mut state = listener.store.lock();
    let current = |key: &String| state.items.get(key).map_or(0, |item| item.revision);
    if body.expect.iter().any(|row| current(&row.key) != row.revision) {
        let items = body.expect.iter().map(|row| match state.items.get(&row.key) {
            Some(item) => item_json(&row.key, item),
            None => json!({ "key": row.key, "revision": 0 }),
        });
        let items: Vec<Value> = items.collect();
        return (StatusCode::PRECONDITION_FAILED, Json(json!({ "items": items }))).into_response();
    }
    if body.writes.iter().any(|write| write.lease > 0 && !state.leases.contains_key(&write.lease)) {
        return StatusCode::NOT_FOUND.into_response();
    }
    if !body.expect.is_empty() {
        state.last_writer = Some(listener.instance);
    }
    state.revision += 1;
    for write in body.writes {
        state.write(&write.key, write.value, write.lease);
    }
    body.remove.iter().for_each(|key| state.remove(key));
    let revision = state.revision;
    drop(state);
    listener.store.changed.notify_waiters();
    Json(json!({ "revision": revision })).into_response()
}

#[derive(Deserialize)]
struct LeaseBody {
    ttl_ms: u64,
}

async fn grant_lease(State(listener): State<Listener>, Json(body): Json<LeaseBody>) -> Response {
    let duration = Duration::from_millis(body.ttl_ms);
    if duration < MIN_LEASE {
        return StatusCode::BAD_REQUEST.into_response();
    }
    tokio::time::sleep(ANSWER_TIME).await;
    let lease = {
        let mut state = listener.store.lock();
        state.newest_lease += 1;
        let id = state.newest_lease;
        state.leases.insert(id, Lease { duration, ends: Instant::now() + duration });
        id
    };
    Json(json!({ "lease": lease, "ttl_ms": body.ttl_ms })).into_response()
}

async fn renew_lease(State(listener): State<Listener>, Path(id): Path<u64>) -> Response {
    tokio::time::sleep(ANSWER_TIME).await;
    let answer = {
        let mut state = listener.store.lock();
        state.leases.get_mut(&id).map(|lease| {
            lease.ends = Instant::now() + lease.duration;
            lease.duration.as_millis() as u64
        })
    };
    match answer {
        Some(ttl_ms) => Json(json!({ "ttl_ms": ttl_ms })).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn end_lease(State(listener): State<Listener>, Path(id): Path<u64>) -> Response {
    tokio::time::sleep(ANSWER_TIME).await;
    let ended = listener.store.lock().end_lease(id);
    listener.store.changed.notify_waiters();
    if ended { Json(json!({})).into_response() } else { StatusCode::NOT_FOUND.into_response() }
}
