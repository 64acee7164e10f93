//! Test system in one process: key-value store, instance list, settings, entry processes and
//! backend servers.

#![allow(dead_code, unreachable_pub)]

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use lacewingrail_clients::MemoryStore;
use lacewingrail_entry::{EntryHandle, EntryProcess, EntrySettings};
use lacewingrail_model::config::{
    ConfigView, CustomerConfig, DomainConfig, PolicyOverlay, ServiceConfig,
};
use lacewingrail_model::instance::{InstanceEntry, InstanceError, InstanceList, InstanceRole};
use lacewingrail_model::keys::CONFIG_TREE;
use lacewingrail_model::store::{
    KeyValueService, LeaseId, Revision, StoreEntry, StoreError, WatchBatch,
};
use lacewingrail_model::timer::TimerService;
use lacewingrail_model::worker::WorkerSpec;
use lacewingrail_standins::{BackendServer, BackendSettings};

/// Service that the settings of the test system define.
pub const SERVICE: &str = "desk";
/// Customer that the settings of the test system define.
pub const CUSTOMER: &str = "north";
/// Failure domain of the entry processes.
pub const DOMAIN: &str = "domain-1";

/// Instance list whose entries a test sets.
#[derive(Clone, Default)]
pub struct TestList {
    entries: Arc<Mutex<Vec<InstanceEntry>>>,
    down: Arc<Mutex<bool>>,
}

impl TestList {
    pub fn set(&self, entries: Vec<InstanceEntry>) {
        *self.entries.lock().unwrap() = entries;
    }

    pub fn change(&self, change: impl FnOnce(&mut Vec<InstanceEntry>)) {
        change(&mut self.entries.lock().unwrap());
    }

    pub fn set_down(&self, down: bool) {
        *self.down.lock().unwrap() = down;
    }
}

#[async_trait]
impl InstanceList for TestList {
    async fn read(&self) -> Result<Vec<InstanceEntry>, InstanceError> {
        if *self.down.lock().unwrap() {
            return Err(InstanceError("down".into()));
        }
        Ok(self.entries.lock().unwrap().clone())
    }

    async fn workers(&self) -> Result<Vec<WorkerSpec>, InstanceError> {
        Ok(Vec::new())
    }
}

/// Store, instance list and policy shared by the entry processes of a test.
#[derive(Clone)]
pub struct TestSystem {
    pub store: MemoryStore,
    pub list: TestList,
    pub overlay: PolicyOverlay,
}

impl TestSystem {
    pub async fn new(overlay: PolicyOverlay) -> Self {
        let store = MemoryStore::new();
        store.put(CONFIG_TREE, "{\"version\":1}".into(), 0, None).await.unwrap();
        Self { store, list: TestList::default(), overlay }
    }

    /// Starts an entry process and waits until it is ready.
    pub async fn start(&self, change: impl FnOnce(&mut EntrySettings)) -> EntryHandle {
        self.start_with(Arc::new(self.store.clone()), change).await
    }

    pub async fn start_with(
        &self,
        store: Arc<dyn KeyValueService>,
        change: impl FnOnce(&mut EntrySettings),
    ) -> EntryHandle {
        let mut settings = self.settings();
        change(&mut settings);
        let list = Arc::new(self.list.clone());
        let handle = EntryProcess::start(settings, store, list, TimerService::new()).await.unwrap();
        for _ in 0..500 {
            if handle.is_ready() {
                return handle;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("the entry process did not become ready");
    }

    /// Adds an entry process to the instance list, as the platform does.
    pub fn list_entry(&self, entry: &EntryHandle) {
        let mut listed =
            backend_entry("entry", DOMAIN, &format!("http://{}", entry.caller_address()));
        listed.name = entry.peer_address().to_string();
        listed.peer_address = entry.peer_address().to_string();
        (listed.role, listed.service) = (InstanceRole::Entry, String::new());
        self.list.change(|entries| entries.push(listed));
    }

    pub fn settings(&self) -> EntrySettings {
        let any_port = "127.0.0.1:0".parse().unwrap();
        let mut settings = EntrySettings::new("entry", DOMAIN, any_port, any_port);
        settings.drain_delay = Duration::from_millis(200);
        let view = config_view(self.overlay.clone());
        settings.decoder = Arc::new(move |_| Ok(view.clone()));
        settings
    }
}

fn config_view(overlay: PolicyOverlay) -> ConfigView {
    let domain = DomainConfig {
        region: "region".into(),
        out: false,
        out_since: 1,
        overlay: PolicyOverlay::default(),
        nominal_racks: BTreeMap::new(),
    };
    let customer = CustomerConfig {
        precedence: 1,
        weight: 1.0,
        quota: 0,
        guarantees: Vec::new(),
        overlay: PolicyOverlay::default(),
    };
    let service = ServiceConfig { overlay };
    ConfigView {
        version: 1,
        domains: ["domain-1", "domain-2"].map(|name| (name.into(), domain.clone())).into(),
        customers: [(CUSTOMER.into(), customer)].into(),
        services: [(SERVICE.into(), service)].into(),
        ..ConfigView::default()
    }
}

impl TestSystem {
    /// Starts a backend server and adds it to the instance list.
    pub async fn backend(
        &self,
        name: &str,
        change: impl FnOnce(&mut BackendSettings),
    ) -> BackendServer {
        let mut settings = BackendSettings {
            name: name.into(),
            service: SERVICE.into(),
            domain: DOMAIN.into(),
            median_ms: 2.0,
            sigma: 0.0,
            ..BackendSettings::default()
        };
        change(&mut settings);
        let server = BackendServer::spawn("127.0.0.1:0", settings).await.unwrap();
        self.list.change(|entries| entries.push(server.entry()));
        server
    }
}

/// Returns how often the request with an idempotency key ran on all servers.
pub fn runs_of(servers: &[&BackendServer], key: &str) -> u32 {
    servers.iter().filter_map(|server| server.runs().by_key.get(key).copied()).sum()
}

/// Returns whether a response of the backend stand-in has the digest of the request body.
pub fn matches_request(body: &serde_json::Value, request_body: &[u8]) -> bool {
    body["body_digest"] == lacewingrail_model::hash::digest(request_body)
}

pub fn backend_entry(name: &str, domain: &str, address: &str) -> InstanceEntry {
    InstanceEntry {
        name: name.into(),
        role: InstanceRole::Backend,
        service: SERVICE.into(),
        domain: domain.into(),
        address: address.into(),
        peer_address: String::new(),
        leaving: false,
        slots: 8,
        connections: 64,
    }
}

/// Builds a request of [`CUSTOMER`] to [`SERVICE`] through an entry process.
pub fn request(
    client: &reqwest::Client,
    entry: &EntryHandle,
    path: &str,
) -> reqwest::RequestBuilder {
    let url = format!("http://{}/{SERVICE}{path}", entry.caller_address());
    client.post(url).header("x-customer", CUSTOMER)
}

pub fn outcome(response: &reqwest::Response) -> String {
    response.headers()["x-outcome"].to_str().unwrap().to_owned()
}

pub async fn wait_for(condition: impl Fn() -> bool) {
    for _ in 0..1_000 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("the condition did not become true within 5 s");
}

/// Spawns a future on a runtime that a test can shut down, and awaits it from the current one.
pub async fn run_in<T>(
    runtime: &tokio::runtime::Runtime,
    future: impl Future<Output = T> + Send + 'static,
) -> T
where
    T: Send + 'static,
{
    runtime.spawn(future).await.unwrap()
}

/// Store that can withhold the responses to writes that took effect.
pub struct StallingStore {
    inner: MemoryStore,
    stalling: AtomicBool,
    stalled: AtomicUsize,
}

impl StallingStore {
    pub fn new(inner: MemoryStore) -> Self {
        Self { inner, stalling: AtomicBool::new(false), stalled: AtomicUsize::new(0) }
    }

    pub fn stall_writes(&self) {
        self.stalling.store(true, Ordering::SeqCst);
    }

    /// Returns the number of writes that took effect and whose responses are withheld.
    pub fn stalled_writes(&self) -> usize {
        self.stalled.load(Ordering::SeqCst)
    }
}

#[async_trait]
impl KeyValueService for StallingStore {
    async fn get(&self, key: &str) -> Result<Option<StoreEntry>, StoreError> {
        self.inner.get(key).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<StoreEntry>, StoreError> {
        self.inner.list(prefix).await
    }

    async fn put(
        &self,
        key: &str,
        value: String,
        expected: Revision,
        lease: Option<LeaseId>,
    ) -> Result<Revision, StoreError> {
        let result = self.inner.put(key, value, expected, lease).await;
        if self.stalling.load(Ordering::SeqCst) {
            self.stalled.fetch_add(1, Ordering::SeqCst);
            std::future::pending::<()>().await;
        }
        result
    }

    async fn delete(&self, key: &str, expected: Revision) -> Result<(), StoreError> {
        self.inner.delete(key, expected).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchBatch, StoreError> {
        self.inner.watch(prefix, after, wait).await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.inner.grant_lease(ttl).await
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.inner.renew_lease(lease).await
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.inner.revoke_lease(lease).await
    }
}

/// Result of one request of a load.
#[derive(Clone, Debug)]
pub struct LoadSample {
    pub class: String,
    pub outcome: String,
    pub elapsed: Duration,
    /// Time from the start of the load to the end of the request.
    pub ended: Duration,
}

/// Open-loop load: sends requests at a fixed rate, even if earlier ones have not ended.
pub async fn send_at_rate(
    client: &reqwest::Client,
    entry: &EntryHandle,
    rate: f64,
    time: Duration,
    change: impl Fn(reqwest::RequestBuilder, usize) -> reqwest::RequestBuilder,
) -> Vec<LoadSample> {
    let started = tokio::time::Instant::now();
    let mut calls = Vec::new();
    for number in 0..(rate * time.as_secs_f64()) as usize {
        tokio::time::sleep_until(started + Duration::from_secs_f64(number as f64 / rate)).await;
        let built = change(request(client, entry, "/x"), number).build().unwrap();
        let client = client.clone();
        calls.push(tokio::spawn(async move {
            let class = built.headers().get("x-class");
            let class = class.map_or("normal", |class| class.to_str().unwrap()).to_owned();
            let sent = tokio::time::Instant::now();
            let outcome = call(&client, built).await;
            LoadSample { class, outcome, elapsed: sent.elapsed(), ended: started.elapsed() }
        }));
    }
    let mut samples = Vec::new();
    for call in calls {
        samples.push(call.await.unwrap());
    }
    samples
}

/// Closed-loop load: sends requests one after another from each caller until `until` returns true
/// for the number of requests sent, and returns their outcomes. Unlike [`send_at_rate`] it cannot
/// overload a slow machine.
pub async fn send_from_callers(
    client: &reqwest::Client,
    entry: &EntryHandle,
    callers: usize,
    until: impl Fn(usize) -> bool,
) -> Vec<String> {
    let sent = AtomicUsize::new(0);
    let caller = || async {
        let mut outcomes = Vec::new();
        while !until(sent.fetch_add(1, Ordering::Relaxed)) {
            outcomes.push(call(client, request(client, entry, "/x").build().unwrap()).await);
        }
        outcomes
    };
    futures::future::join_all((0..callers).map(|_| caller())).await.concat()
}

/// Sends a request and returns its outcome, or the transport error.
async fn call(client: &reqwest::Client, request: reqwest::Request) -> String {
    match client.execute(request).await {
        Ok(response) => {
            let outcome = outcome(&response);
            response.bytes().await.map_or_else(|error| error.to_string(), |_| outcome)
        }
        Err(error) => error.to_string(),
    }
}

/// Simulates the platform's load balancer: sends each request to the next entry process, on a new
/// connection.
#[derive(Clone, Default)]
pub struct LoadBalancer {
    targets: Arc<Mutex<Vec<std::net::SocketAddr>>>,
    next: Arc<AtomicUsize>,
}

impl LoadBalancer {
    pub fn add(&self, address: std::net::SocketAddr) {
        self.targets.lock().unwrap().push(address);
    }

    pub fn remove(&self, address: std::net::SocketAddr) {
        self.targets.lock().unwrap().retain(|target| *target != address);
    }

    pub async fn call(self) -> String {
        let target = {
            let targets = self.targets.lock().unwrap();
            targets[self.next.fetch_add(1, Ordering::Relaxed) % targets.len()]
        };
        let client = reqwest::Client::builder().pool_max_idle_per_host(0).build().unwrap();
        let request = client.post(format!("http://{target}/{SERVICE}/x"));
        call(&client, request.header("x-customer", CUSTOMER).build().unwrap()).await
    }
}
