//! Stand-in of the platform's store: keys with revisions, watches, transactions and leases.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, Response};
use crate::json::{Json, encode_base64, int, map, text};

/// Maximum number of items on a page.
const PAGE_ITEMS: usize = 500;
/// Largest value in bytes.
const VALUE_BYTES: usize = 1_048_576;
/// Interval at which expired leases are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(10);

#[derive(Clone)]
struct Item {
    /// Value in base64.
    value: String,
    revision: i64,
    created: i64,
    lease: i64,
}

#[derive(Default)]
struct State {
    revision: i64,
    items: BTreeMap<String, Item>,
    /// All changes: revision, key and the item, or none if the key was removed.
    history: Vec<(i64, String, Option<Item>)>,
    /// Time to live and end of each lease.
    leases: BTreeMap<i64, (Duration, Instant)>,
    next_lease: i64,
}

/// Store; clones share it.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let state = State { revision: 100, next_lease: 1000, ..State::default() };
        let store = Self { shared: Arc::new((Mutex::new(state), Condvar::new())) };
        let expiring = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(EXPIRY_INTERVAL);
                expiring.expire_leases();
            }
        });
        store
    }

    /// Writes a key as the operator or a runner would.
    pub fn write(&self, key: &str, value: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.revision += 1;
        state.put(key, encode_base64(value.as_bytes()), 0);
        self.shared.1.notify_all();
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.revision += 1;
        state.delete(key);
        self.shared.1.notify_all();
    }

    /// Returns the value of a key in base64.
    pub fn value(&self, key: &str) -> Option<String> {
        self.shared.0.lock().unwrap().items.get(key).map(|item| item.value.clone())
    }

    fn expire_leases(&self) {
        let now = Instant::now();
        let mut state = self.shared.0.lock().unwrap();
        let expired: Vec<i64> =
            state.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(id, _)| *id).collect();
        for lease in expired {
            state.end_lease(lease);
            self.shared.1.notify_all();
        }
    }

    /// Answers a call of the system.
    pub fn handle(&self, request: Request) -> Response {
        self.expire_leases();
        let query = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/-/kv-key") => self.read_key(&query("key")),
            ("GET", "/-/kv-range") => self.read_range(&query("prefix"), &query("after")),
            ("GET", "/-/kv-watch") => self.watch(
                &query("prefix"),
                query("after").parse().unwrap_or(0),
                query("wait_ms").parse().unwrap_or(0),
            ),
            ("POST", "/-/kv-txn") => self.commit(&request.body),
            ("POST", "/-/kv-lease") => self.grant(&request.body),
            ("POST", path) if path.starts_with("/-/kv-keep/") => {
                let lease = path["/-/kv-keep/".len()..].parse().unwrap_or(0);
                let mut state = self.shared.0.lock().unwrap();
                match state.leases.get_mut(&lease) {
                    Some((ttl, end)) => {
                        *end = Instant::now() + *ttl;
                        answer(200, map([("ttl_ms", int(ttl.as_millis() as i64))]))
                    }
                    None => answer(404, map([])),
                }
            }
            ("DELETE", path) if path.starts_with("/-/kv-lease-end/") => {
                let lease = path["/-/kv-lease-end/".len()..].parse().unwrap_or(0);
                let mut state = self.shared.0.lock().unwrap();
                let known = state.leases.contains_key(&lease);
                state.end_lease(lease);
                self.shared.1.notify_all();
                answer(if known { 200 } else { 404 }, map([]))
            }
            _ => answer(400, map([])),
        }
    }

    fn read_key(&self, key: &str) -> Response {
        let state = self.shared.0.lock().unwrap();
        match state.items.get(key) {
            Some(item) => {
                let mut json = item_json(key, item);
                if let Json::Map(members) = &mut json {
                    members.insert("at_rev".to_owned(), int(state.revision));
                }
                answer(200, json)
            }
            None => answer(404, map([("at_rev", int(state.revision))])),
        }
    }

    fn read_range(&self, prefix: &str, after: &str) -> Response {
        let state = self.shared.0.lock().unwrap();
        let matching: Vec<(&String, &Item)> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .take(PAGE_ITEMS + 1)
            .collect();
        let items = matching.iter().take(PAGE_ITEMS).map(|(key, item)| item_json(key, item));
        answer(
            200,
            map([
                ("items", Json::List(items.collect())),
                ("has_more", Json::Bool(matching.len() > PAGE_ITEMS)),
                ("at_rev", int(state.revision)),
            ]),
        )
    }

    fn watch(&self, prefix: &str, after: i64, wait_ms: u64) -> Response {
        let deadline = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.shared.0.lock().unwrap();
        loop {
            let is_new = |change: &&(i64, String, Option<Item>)| {
                change.0 > after && change.1.starts_with(prefix)
            };
            let events: Vec<Json> = state
                .history
                .iter()
                .filter(is_new)
                .map(|(revision, key, item)| match item {
                    Some(item) => item_json(key, item),
                    None => map([
                        ("key", text(key.clone())),
                        ("revision", int(*revision)),
                        ("compacted", Json::Bool(true)),
                    ]),
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at_rev = state.revision.max(after);
                return answer(200, map([("events", Json::List(events)), ("at_rev", int(at_rev))]));
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn commit(&self, body: &str) -> Response {
        let Some(body) = Json::parse(body) else {
            return answer(400, map([]));
        };
        let list = |name: &str| body.get(name).map(Json::list).unwrap_or_default().to_vec();
        let mut state = self.shared.0.lock().unwrap();
        for write in list("writes") {
            if write.text_or_empty("value").len() / 4 * 3 > VALUE_BYTES {
                return answer(400, map([]));
            }
            let lease = write.int_or("lease", 0);
            if lease != 0 && !state.leases.contains_key(&lease) {
                return answer(404, map([]));
            }
        }
        let holds = |row: &Json| {
            let key = row.text_or_empty("key");
            state.items.get(&key).map_or(0, |item| item.revision) == row.int_or("revision", 0)
        };
        if !list("expect").iter().all(holds) {
            let items = list("expect").into_iter().filter_map(|row| {
                let key = row.text_or_empty("key");
                state.items.get(&key).map(|item| item_json(&key, item))
            });
            return answer(412, map([("items", Json::List(items.collect()))]));
        }
        state.revision += 1;
        for write in list("writes") {
            let lease = write.int_or("lease", 0);
            state.put(&write.text_or_empty("key"), write.text_or_empty("value"), lease);
        }
        for key in list("remove") {
            state.delete(key.text().unwrap_or_default());
        }
        let revision = state.revision;
        self.shared.1.notify_all();
        answer(200, map([("revision", int(revision))]))
    }

    fn grant(&self, body: &str) -> Response {
        let ttl = Json::parse(body).map_or(0, |body| body.int_or("ttl_ms", 0));
        if !(1000..=600_000).contains(&ttl) {
            return answer(400, map([]));
        }
        let mut state = self.shared.0.lock().unwrap();
        state.next_lease += 1;
        let lease = state.next_lease;
        let ttl_time = Duration::from_millis(ttl as u64);
        state.leases.insert(lease, (ttl_time, Instant::now() + ttl_time));
        answer(200, map([("lease", int(lease)), ("ttl_ms", int(ttl))]))
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: i64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.history.push((self.revision, key.to_owned(), Some(item.clone())));
        self.items.insert(key.to_owned(), item);
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: i64) {
        if self.leases.remove(&lease).is_none() {
            return;
        }
        let bound: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        self.revision += 1;
        bound.iter().for_each(|key| self.delete(key));
    }
}

fn item_json(key: &str, item: &Item) -> Json {
    map([
        ("key", text(key)),
        ("value", text(item.value.clone())),
        ("revision", int(item.revision)),
        ("created", int(item.created)),
        ("lease", int(item.lease)),
    ])
}

fn answer(status: u16, body: Json) -> Response {
    Response { status, body: body.to_string() }
}
