//! Stand-in for the platform's metadata store.
//!
//! It keeps items, revisions, leases and the whole history. One fault can be armed: the next write
//! of a key is not answered and takes effect later, if its condition still holds then.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::base64;
use crate::http::{self, Reply, Request};
use crate::json::Json;
use crate::record::Record;

/// Maximum number of items in a page.
const PAGE_ITEMS: usize = 500;
/// Time between checks for leases that have ended.
const LEASE_CHECK: Duration = Duration::from_millis(10);

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Change {
    revision: u64,
    key: String,
    /// Written item; `None` for a deletion.
    item: Option<Item>,
}

struct Lease {
    ttl: Duration,
    ends_at: Instant,
}

/// Write that is not answered and takes effect later.
#[derive(Clone)]
struct LateWrite {
    /// End of the key that selects the write.
    key_end: String,
    delay: Duration,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    changes: Vec<Change>,
    leases: BTreeMap<u64, Lease>,
    late_write: Option<LateWrite>,
    /// When the list of runners was last read.
    list_read: Option<Duration>,
    /// Number of writes, and of writes without an answer.
    writes: u64,
    lost: u64,
}

/// The store; clones share the state.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

impl Store {
    /// Starts the store on a free port and returns it with its address.
    pub fn start(record: &Record) -> std::io::Result<(Self, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let store = Self { state: Arc::default(), record: record.clone() };
        store.lock().revision = 1;
        let served = store.clone();
        http::serve(listener, move |request| served.handle(&request));
        let checked = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(LEASE_CHECK);
                checked.end_leases();
            }
        });
        Ok((store, address))
    }

    /// Writes an item, as the operator and the runners do.
    pub fn put(&self, key: &str, value: &Json) {
        let value = base64::encode(value.to_string().as_bytes());
        let mut state = self.lock();
        state.revision += 1;
        state.write(key, value, 0);
        self.state.1.notify_all();
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        let mut state = self.lock();
        state.revision += 1;
        state.remove(key);
        self.state.1.notify_all();
    }

    /// Returns the text of an item.
    pub fn get(&self, key: &str) -> Option<String> {
        let state = self.lock();
        let item = state.items.get(key)?;
        String::from_utf8(base64::decode(&item.value)).ok()
    }

    /// Arms the fault for the next write of a key with this end.
    pub fn lose_next_write(&self, key_end: &str, delay: Duration) {
        self.lock().late_write = Some(LateWrite { key_end: key_end.to_owned(), delay });
    }

    /// Returns when the list of runners was last read.
    pub fn list_read(&self) -> Option<Duration> {
        self.lock().list_read
    }

    /// Returns the number of writes so far, and of those without an answer.
    pub fn write_counts(&self) -> (u64, u64) {
        let state = self.lock();
        (state.writes, state.lost)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn end_leases(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, lease)| lease.ends_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in ended {
            state.end_lease(lease);
            self.state.1.notify_all();
        }
    }

    fn handle(&self, request: &Request) -> Reply {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/-/kv-key") => self.read_key(&request.parameter("key")),
            ("GET", "/-/kv-range") => {
                self.read_range(&request.parameter("prefix"), &request.parameter("after"))
            }
            ("GET", "/-/kv-watch") => self.watch(request),
            ("POST", "/-/kv-txn") => self.transact(request.json()),
            ("POST", "/-/kv-lease") => self.grant(request.json().get_number("ttl_ms")),
            ("POST", path) if path.starts_with("/-/kv-keep/") => {
                self.keep(path["/-/kv-keep/".len()..].parse().unwrap_or(0))
            }
            ("DELETE", path) if path.starts_with("/-/kv-lease-end/") => {
                let lease = path["/-/kv-lease-end/".len()..].parse().unwrap_or(0);
                let mut state = self.lock();
                state.end_lease(lease);
                self.state.1.notify_all();
                Reply::Answer(200, Json::table(&[]))
            }
            _ => Reply::Answer(400, Json::table(&[])),
        }
    }

    fn read_key(&self, key: &str) -> Reply {
        let state = self.lock();
        match state.items.get(key) {
            Some(item) => {
                let Json::Table(mut fields) = item_json(key, item) else {
                    return Reply::Answer(400, Json::Null);
                };
                fields.insert("at_rev".to_owned(), Json::number(state.revision));
                Reply::Answer(200, Json::Table(fields))
            }
            None => Reply::Answer(404, Json::table(&[("at_rev", Json::number(state.revision))])),
        }
    }

    fn read_range(&self, prefix: &str, after: &str) -> Reply {
        let mut state = self.lock();
        if prefix == "servers/" {
            state.list_read = Some(self.record.now());
        }
        let matching =
            state.items.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let all: Vec<Json> = matching.map(|(key, item)| item_json(key, item)).collect();
        let page: Vec<Json> = all.iter().take(PAGE_ITEMS).cloned().collect();
        let has_more = Json::Bool(page.len() < all.len());
        let at_rev = Json::number(state.revision);
        let fields = [("items", Json::List(page)), ("has_more", has_more), ("at_rev", at_rev)];
        Reply::Answer(200, Json::table(&fields))
    }

    fn watch(&self, request: &Request) -> Reply {
        let prefix = request.parameter("prefix");
        let after: u64 = request.parameter("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(request.parameter("wait_ms").parse().unwrap_or(0));
        let ends_at = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            let newer =
                |change: &&Change| change.revision > after && change.key.starts_with(&prefix);
            let events: Vec<Json> = state.changes.iter().filter(newer).map(change_json).collect();
            let left = ends_at.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at_rev = Json::number(state.revision);
                let fields = [("events", Json::List(events)), ("at_rev", at_rev)];
                return Reply::Answer(200, Json::table(&fields));
            }
            let waited = self.state.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn transact(&self, transaction: Json) -> Reply {
        let mut state = self.lock();
        state.writes += 1;
        let keys: Vec<String> =
            transaction.get_list("writes").iter().map(|write| write.get_text("key")).collect();
        let is_late = |late: &mut LateWrite| keys.iter().any(|key| key.ends_with(&late.key_end));
        if let Some(late) = state.late_write.take_if(is_late) {
            state.lost += 1;
            self.record.note(format!("store: write of {keys:?} is not answered"));
            let store = self.clone();
            std::thread::spawn(move || {
                std::thread::sleep(late.delay);
                let done = store.lock().execute(&transaction).is_ok();
                store.state.1.notify_all();
                store.record.note(format!("store: late write of {keys:?}, carried out: {done}"));
            });
            return Reply::Silence;
        }
        let result = state.execute(&transaction);
        self.state.1.notify_all();
        match result {
            Ok(revision) => {
                Reply::Answer(200, Json::table(&[("revision", Json::number(revision))]))
            }
            Err(Refusal::NoLease) => Reply::Answer(404, Json::table(&[])),
            Err(Refusal::Conflict(items)) => {
                Reply::Answer(412, Json::table(&[("items", Json::List(items))]))
            }
        }
    }

    fn grant(&self, ttl_ms: u64) -> Reply {
        let mut state = self.lock();
        state.revision += 1;
        let id = state.revision;
        let ttl = Duration::from_millis(ttl_ms);
        state.leases.insert(id, Lease { ttl, ends_at: Instant::now() + ttl });
        let fields = [("lease", Json::number(id)), ("ttl_ms", Json::number(ttl_ms))];
        Reply::Answer(200, Json::table(&fields))
    }

    fn keep(&self, lease: u64) -> Reply {
        let mut state = self.lock();
        match state.leases.get_mut(&lease) {
            Some(entry) => {
                entry.ends_at = Instant::now() + entry.ttl;
                Reply::Answer(200, Json::table(&[]))
            }
            None => Reply::Answer(404, Json::table(&[])),
        }
    }
}

enum Refusal {
    NoLease,
    Conflict(Vec<Json>),
}

impl State {
    fn execute(&mut self, transaction: &Json) -> Result<u64, Refusal> {
        let expected = transaction.get_list("expect");
        let revision_of = |key: &str| self.items.get(key).map_or(0, |item| item.revision);
        let holds = |row: &Json| revision_of(&row.get_text("key")) == row.get_number("revision");
        if !expected.iter().all(holds) {
            let current = expected.iter().filter_map(|row| {
                let key = row.get_text("key");
                self.items.get(&key).map(|item| item_json(&key, item))
            });
            return Err(Refusal::Conflict(current.collect()));
        }
        let writes = transaction.get_list("writes");
        let has_lease = |write: &Json| {
            let lease = write.get_number("lease");
            lease == 0 || self.leases.contains_key(&lease)
        };
        if !writes.iter().all(has_lease) {
            return Err(Refusal::NoLease);
        }
        self.revision += 1;
        for write in writes {
            let lease = write.get_number("lease");
            self.write(&write.get_text("key"), write.get_text("value"), lease);
        }
        for key in transaction.get_list("remove") {
            if let Json::Text(key) = key {
                self.remove(&key);
            }
        }
        Ok(self.revision)
    }

    fn write(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.changes.push(Change { revision, key: key.to_owned(), item: Some(item) });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let revision = self.revision;
            self.changes.push(Change { revision, key: key.to_owned(), item: None });
        }
    }

    fn end_lease(&mut self, lease: u64) {
        if self.leases.remove(&lease).is_none() {
            return;
        }
        self.revision += 1;
        let bound = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = bound.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
    }
}

fn item_json(key: &str, item: &Item) -> Json {
    Json::table(&[
        ("key", Json::text(key)),
        ("value", Json::text(&item.value)),
        ("revision", Json::number(item.revision)),
        ("created", Json::number(item.created)),
        ("lease", Json::number(item.lease)),
    ])
}

fn change_json(change: &Change) -> Json {
    match &change.item {
        Some(item) => item_json(&change.key, item),
        None => Json::table(&[
            ("key", Json::text(&change.key)),
            ("revision", Json::number(change.revision)),
            ("compacted", Json::Bool(true)),
        ]),
    }
}
