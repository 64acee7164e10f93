//! Processes with a membership over one in-memory store, each with its own link to it.
#![allow(dead_code, missing_docs)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use lacewingrail_clients::MemoryStore;
use lacewingrail_listener::{ListenerRole, ListenerState};
use lacewingrail_membership::{Membership, MembershipSettings};
use lacewingrail_model::DomainName;
use lacewingrail_model::config::{ConfigView, DomainConfig};
use lacewingrail_model::instance::InstanceRole;
use lacewingrail_model::keys::CONFIG_TREE;
use lacewingrail_model::message::{PeerFrame, PeerRequest, PeerResponse};
use lacewingrail_model::store::{
    KeyValueService, LeaseId, Revision, StoreEntry, StoreError, WatchBatch,
};
use lacewingrail_model::timer::TimerService;
use lacewingrail_wire::{PeerHandler, PeerServer};
use serde::{Deserialize, Serialize};

#[derive(Deserialize, Serialize)]
struct TestTree {
    version: u64,
    domains: Vec<String>,
    out: Vec<String>,
}

/// Failure domains in every test tree.
const ALL_DOMAINS: [&str; 3] = ["a", "b", "c"];

/// Returns a stored tree of the test domains, of which `out` are out of service.
pub fn tree_text(version: u64, out: &[&str]) -> String {
    let owned = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect();
    let tree = TestTree { version, domains: owned(&ALL_DOMAINS), out: owned(out) };
    serde_json::to_string(&tree).expect("encode")
}

pub async fn write_tree(store: &dyn KeyValueService, version: u64, out: &[&str]) {
    let revision = store.get(CONFIG_TREE).await.expect("get").map_or(0, |entry| entry.revision);
    store.put(CONFIG_TREE, tree_text(version, out), revision, None).await.expect("put");
}

fn decode(text: &str) -> Result<ConfigView, String> {
    let tree: TestTree = serde_json::from_str(text).map_err(|error| error.to_string())?;
    let mut view = ConfigView { version: tree.version, ..ConfigView::default() };
    for domain in tree.domains {
        let config = DomainConfig {
            region: "r".to_owned(),
            out: tree.out.contains(&domain),
            out_since: 0,
            overlay: Default::default(),
            nominal_racks: Default::default(),
        };
        view.domains.insert(domain, config);
    }
    Ok(view)
}

/// Store client of one process that can be disconnected from the store.
pub struct StoreLink {
    store: Arc<MemoryStore>,
    disconnected: AtomicBool,
}

impl StoreLink {
    pub fn set_disconnected(&self, disconnected: bool) {
        self.disconnected.store(disconnected, Ordering::SeqCst);
    }

    fn connected_store(&self) -> Result<&MemoryStore, StoreError> {
        match self.disconnected.load(Ordering::SeqCst) {
            true => Err(StoreError::Unavailable("the link is disconnected".to_owned())),
            false => Ok(&self.store),
        }
    }
}

#[async_trait]
impl KeyValueService for StoreLink {
    async fn get(&self, key: &str) -> Result<Option<StoreEntry>, StoreError> {
        self.connected_store()?.get(key).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<StoreEntry>, StoreError> {
        self.connected_store()?.list(prefix).await
    }

    async fn put(
        &self,
        key: &str,
        value: String,
        expected: Revision,
        lease: Option<LeaseId>,
    ) -> Result<Revision, StoreError> {
        self.connected_store()?.put(key, value, expected, lease).await
    }

    async fn delete(&self, key: &str, expected: Revision) -> Result<(), StoreError> {
        self.connected_store()?.delete(key, expected).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchBatch, StoreError> {
        let batch = self.connected_store()?.watch(prefix, after, wait).await;
        // A watch that was pending when the link was disconnected never returns.
        if self.connected_store().is_err() {
            std::future::pending::<()>().await;
        }
        batch
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.connected_store()?.grant_lease(ttl).await
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.connected_store()?.renew_lease(lease).await
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.connected_store()?.revoke_lease(lease).await
    }
}

/// Handler that is set after the server is bound, because the membership needs its address.
struct DeferredHandler(std::sync::OnceLock<Arc<dyn PeerHandler>>);

#[async_trait]
impl PeerHandler for DeferredHandler {
    async fn handle(&self, frame: PeerFrame) -> PeerResponse {
        match self.0.get() {
            Some(handler) => handler.handle(frame).await,
            None => PeerResponse::Refused { reason: "starting".to_owned() },
        }
    }
}

/// Process with a membership and a peer server that does not run a scheduler.
pub struct TestProcess {
    pub domain: DomainName,
    pub membership: Membership,
    pub link: Arc<StoreLink>,
    server: PeerServer,
    probe: std::sync::Mutex<Option<tokio::task::JoinHandle<()>>>,
}

impl TestProcess {
    pub async fn start(
        domain: &str,
        name: &str,
        peers: &[String],
        store: &Arc<MemoryStore>,
    ) -> Self {
        let handler = Arc::new(DeferredHandler(std::sync::OnceLock::new()));
        let any: SocketAddr = "127.0.0.1:0".parse().expect("address");
        let server = PeerServer::bind(
            any,
            ListenerState::detached("peers", ListenerRole::Peers),
            handler.clone(),
        )
        .await
        .expect("bind");
        let link =
            Arc::new(StoreLink { store: store.clone(), disconnected: AtomicBool::new(false) });
        let settings = MembershipSettings {
            system: "test".to_owned(),
            instance: name.to_owned(),
            role: InstanceRole::Scheduler,
            domain: domain.to_owned(),
            address: server.address().to_string(),
            peers: peers.to_vec(),
        };
        let decoder = Arc::new(decode);
        let membership =
            Membership::new(settings, link.clone(), None, decoder, TimerService::new());
        let _ = handler.0.set(membership.handler());
        membership.start();
        Self { domain: domain.to_owned(), membership, link, server, probe: Default::default() }
    }

    pub fn address(&self) -> String {
        self.server.address().to_string()
    }

    /// Calls the store every 500 ms, like an active scheduler, and records the outcomes.
    pub fn probe_store(&self) {
        let (link, membership) = (self.link.clone(), self.membership.clone());
        let task = tokio::spawn(async move {
            loop {
                let sent = Instant::now();
                let reached = link.get("epoch/x").await.is_ok();
                membership.record_store_call(sent, reached);
                tokio::time::sleep(Duration::from_millis(500)).await;
            }
        });
        *self.probe.lock().expect("lock") = Some(task);
    }
}

/// Processes of several failure domains on one store.
pub struct Cluster {
    pub store: Arc<MemoryStore>,
    pub processes: Vec<TestProcess>,
}

impl Cluster {
    pub async fn start(domains: &[&str], per_domain: usize) -> Self {
        let store = Arc::new(MemoryStore::new());
        write_tree(&*store, 1, &[]).await;
        let mut processes: Vec<TestProcess> = Vec::new();
        for domain in domains {
            for index in 0..per_domain {
                let peers: Vec<String> = processes.iter().map(TestProcess::address).collect();
                let name = format!("{domain}-{index}");
                processes.push(TestProcess::start(domain, &name, &peers, &store).await);
            }
        }
        // Every process knows every other, as if from the platform's instance list.
        for process in &processes {
            for other in &processes {
                let heartbeat = PeerRequest::Heartbeat(own_heartbeat(other));
                let frame = PeerFrame {
                    traceparent: String::new(),
                    system: "test".to_owned(),
                    request: heartbeat,
                };
                process.membership.handler().handle(frame).await;
            }
        }
        Self { store, processes }
    }

    pub async fn wait_ready(&self) {
        let ready = || self.processes.iter().all(|process| process.membership.ready());
        assert!(eventually(Duration::from_secs(10), ready).await, "not every process is ready");
    }

    pub fn all_have_version(&self, version: u64) -> bool {
        self.processes.iter().all(|process| process.membership.current().version == version)
    }

    pub fn addresses(&self) -> Vec<String> {
        self.processes.iter().map(TestProcess::address).collect()
    }

    pub fn set_all_disconnected(&self, disconnected: bool) {
        for process in &self.processes {
            process.link.set_disconnected(disconnected);
        }
    }
}

fn own_heartbeat(process: &TestProcess) -> lacewingrail_model::message::Heartbeat {
    lacewingrail_model::message::Heartbeat {
        from: process.membership.settings().instance.clone(),
        address: process.address(),
        domain: process.domain.clone(),
        role: Some(InstanceRole::Scheduler),
        ..Default::default()
    }
}

/// Polls a condition until it holds or the timeout has passed; returns whether it holds.
pub async fn eventually<F>(timeout: Duration, mut condition: F) -> bool
where
    F: FnMut() -> bool,
{
    let deadline = Instant::now() + timeout;
    while Instant::now() < deadline {
        if condition() {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    condition()
}
