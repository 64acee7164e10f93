//! Stand-in for the users' platform: its key-value store and its workers.
//!
//! It implements the platform's HTTP interfaces as far as instances use them, so that the adapter
//! and the real processes are tested without the users' test bench. Faults of the store are those
//! of [`MemoryStore`]; each worker has its own. Workers execute nothing: a task ends after the time
//! that its specification names.

pub mod worker;

mod store_routes;

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use lacewingrail_clients::MemoryStore;
use lacewingrail_model::store::{BatchStore, KeyWrite, StoreBatch};
use serde_json::json;
use tokio::task::JoinHandle;

use crate::server::ServerHandle;
use worker::{PlatformWorker, RunTrace};

/// Time between heartbeats of a worker.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Runs a store and workers until it is dropped.
pub struct PlatformServer {
    store: MemoryStore,
    server: ServerHandle,
    workers: BTreeMap<String, Arc<PlatformWorker>>,
    heartbeats: JoinHandle<()>,
}

impl PlatformServer {
    /// Starts a store and `workers_per_domain` workers in each failure domain, which is one rack.
    ///
    /// Fails if a listener cannot be bound on the loopback interface.
    pub async fn spawn(domains: &[&str], workers_per_domain: usize) -> io::Result<Self> {
        let store = MemoryStore::new();
        let server = ServerHandle::spawn("127.0.0.1:0", store_routes::router(&store)).await?;
        let mut workers = BTreeMap::new();
        for domain in domains {
            for index in 0..workers_per_domain {
                let id = format!("i-{domain}-{index}");
                let worker = PlatformWorker::spawn(&id, domain, &format!("rack-{domain}")).await?;
                workers.insert(id, worker);
            }
        }
        let heartbeats =
            tokio::spawn(send_heartbeats(store.clone(), workers.values().cloned().collect()));
        Ok(Self { store, server, workers, heartbeats })
    }

    /// Returns the address of the store as `ip:port`.
    pub fn address(&self) -> String {
        self.server.address().to_string()
    }

    /// Returns the store, to inject faults and read it directly.
    pub fn store(&self) -> &MemoryStore {
        &self.store
    }

    /// Returns the workers by id, such as `i-a-0` for the first one of domain `a`.
    pub fn workers(&self) -> &BTreeMap<String, Arc<PlatformWorker>> {
        &self.workers
    }

    /// Returns the traces of the runs on all workers.
    pub fn traces(&self) -> Vec<RunTrace> {
        self.workers.values().flat_map(|worker| worker.traces()).collect()
    }

    /// Writes an entry unconditionally, as an operator would; fails with the message of the store.
    pub async fn write(&self, key: &str, value: serde_json::Value) -> Result<(), String> {
        let write = KeyWrite { key: key.to_owned(), value: value.to_string(), lease: None };
        let batch = StoreBatch { writes: vec![write], ..StoreBatch::default() };
        self.store.commit(batch).await.map(|_| ()).map_err(|error| error.to_string())
    }

    /// Writes settings with an urgent route under `/urgent/` and a normal one under `/normal/`, and
    /// one customer with the key `api_key`; fails with the message of the store.
    pub async fn write_config(
        &self,
        version: u64,
        host: &str,
        api_key: &str,
    ) -> Result<(), String> {
        let route = |name: &str, priority: u32| {
            json!({
                "name": name, "host": host, "prefix": format!("/{name}/"),
                "route_kind": "non_idempotent", "timeout_ms": 3000, "slo_ms": 1000,
                "priority": priority, "service": "desk", "max_attempts": 3, "stretch": 3.0,
                "public": false
            })
        };
        let config = json!({
            "version": version,
            "routes": [route("urgent", 0), route("normal", 1)],
            "services": [],
            "limits": {},
            "tenants": [{ "name": "school-groups", "api_keys": [api_key],
                          "guaranteed": { "gpu_count": 8 } }],
        });
        self.write("op/config", config).await
    }
}

impl Drop for PlatformServer {
    fn drop(&mut self) {
        self.heartbeats.abort();
    }
}

async fn send_heartbeats(store: MemoryStore, workers: Vec<Arc<PlatformWorker>>) {
    loop {
        for worker in &workers {
            let key = format!("servers/{}", worker.id());
            let write = KeyWrite { key, value: worker.server_entry().to_string(), lease: None };
            let batch = StoreBatch { writes: vec![write], ..StoreBatch::default() };
            // A heartbeat that the store refuses is not retried; the next one follows.
            let _ = store.commit(batch).await;
        }
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}
