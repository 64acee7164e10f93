//! The external systems of a measurement, each behind a proxy link that counts its bytes.

use std::time::{Duration, Instant};

use lacewingrail_clients::MemoryStore;
use lacewingrail_model::job::{JobRecord, JobState};
use lacewingrail_model::keys;
use lacewingrail_model::store::KeyValueService;
use lacewingrail_settings::StoredTree;
use lacewingrail_standins::fault_proxy::FaultProxy;
use lacewingrail_standins::fault_proxy::rules::LinkSpec;
use lacewingrail_standins::instance_server::{InstanceChange, InstanceListServer};
use lacewingrail_standins::store_server::StoreServer;
use lacewingrail_standins::worker_fleet::{FleetLayout, FleetSettings, WorkerFleet};

use crate::harness::fixtures::{ACCELERATORS_PER_WORKER, WORKERS_PER_RACK};
use crate::harness::process::{MeasuredProcess, ProcessSpec, free_loopback_address};

/// The external systems of a measurement; dropping it stops them.
pub struct BenchEnvironment {
    /// The server of the key-value service.
    pub store: StoreServer,
    /// The server of the instance list.
    pub list: InstanceListServer,
    /// The simulated workers.
    pub fleet: WorkerFleet,
    proxy: FaultProxy,
    store_url: String,
    list_url: String,
}

/// The bytes carried by each link since the start, in both directions.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkBytes {
    /// The bytes to and from the key-value service.
    pub store: f64,
    /// The bytes to and from the instance list.
    pub list: f64,
    /// The bytes to and from all workers.
    pub workers: f64,
}

impl BenchEnvironment {
    /// Starts the external systems with `workers` workers in each failure domain and stores the
    /// settings tree.
    ///
    /// Fails if a stand-in can't bind or the tree is invalid.
    pub async fn start(domains: &[String], workers: u32, tree: &str) -> Result<Self, String> {
        let to_error = |error: std::io::Error| format!("cannot start a stand-in: {error}");
        let store =
            StoreServer::spawn_store("127.0.0.1:0", MemoryStore::new()).await.map_err(to_error)?;
        let list = InstanceListServer::spawn("127.0.0.1:0").await.map_err(to_error)?;
        let layouts = domains.iter().map(|domain| FleetLayout {
            domain: domain.clone(),
            workers,
            per_rack: WORKERS_PER_RACK,
            accelerators: ACCELERATORS_PER_WORKER,
            cores: 64,
            memory_mb: 512_000,
        });
        let specs = layouts.flat_map(|layout| layout.specs()).collect();
        let settings = FleetSettings::default();
        let fleet = WorkerFleet::spawn("127.0.0.1:0", specs, settings).await.map_err(to_error)?;
        let proxy = FaultProxy::new(1);
        let store_url = add_link(&proxy, "store", &store.url()).await?;
        let list_url = add_link(&proxy, "list", &list.url()).await?;
        let fleet_url = add_link(&proxy, "workers", &fleet.url()).await?;
        let mut specs = fleet.specs();
        for spec in &mut specs {
            spec.address = spec.address.replace(&fleet.url(), &fleet_url);
        }
        for spec in specs {
            list.change(InstanceChange::AddWorker(spec));
        }
        let text = StoredTree::first(tree, "experiment", "experiment#tree".to_owned())
            .and_then(|tree| tree.encode())
            .map_err(|errors| errors.to_string())?;
        let put = store.store().put(keys::CONFIG_TREE, text, 0, None).await;
        put.map_err(|error| error.to_string())?;
        Ok(Self { store, list, fleet, proxy, store_url, list_url })
    }

    /// Returns the spec of a scheduler process of a failure domain, on unused ports.
    ///
    /// Fails if no port is free.
    pub fn scheduler_spec(&self, domain: &str, name: &str) -> Result<ProcessSpec, String> {
        Ok(ProcessSpec {
            binary: "lacewingrail-scheduler",
            name: name.to_owned(),
            domain: domain.to_owned(),
            callers: None,
            admin: Some(free_loopback_address()?),
            peer: free_loopback_address()?,
            peers: Vec::new(),
            store: self.store_url.clone(),
            instances: self.list_url.clone(),
        })
    }

    /// Returns the spec of an entry process of a failure domain, on unused ports.
    ///
    /// Fails if no port is free.
    pub fn entry_spec(&self, domain: &str, name: &str) -> Result<ProcessSpec, String> {
        Ok(ProcessSpec {
            binary: "lacewingrail-entry",
            callers: Some(free_loopback_address()?),
            admin: None,
            ..self.scheduler_spec(domain, name)?
        })
    }

    /// Returns the bytes that each link has carried since the start.
    pub fn bytes(&self) -> LinkBytes {
        let links = self.proxy.links();
        let link_bytes = |name: &str| {
            let link = links.iter().find(|link| link.spec.name == name);
            link.map_or(0.0, |link| (link.bytes_forward + link.bytes_backward) as f64)
        };
        LinkBytes {
            store: link_bytes("store"),
            list: link_bytes("list"),
            workers: link_bytes("workers"),
        }
    }

    /// Returns the number of stored jobs whose state satisfies the predicate; 0 while the store is
    /// unavailable.
    pub async fn count_jobs<F>(&self, matches: F) -> usize
    where
        F: Fn(&JobState) -> bool,
    {
        let entries = self.store.store().list(keys::JOBS).await.unwrap_or_default();
        let records =
            entries.iter().filter_map(|entry| serde_json::from_str::<JobRecord>(&entry.value).ok());
        records.filter(|record| matches(&record.state)).count()
    }

    /// Waits until at least `jobs` jobs are running; returns the time it took.
    ///
    /// Fails if fewer jobs are running when the timeout has passed.
    pub async fn wait_running(&self, jobs: u32, timeout: Duration) -> Result<Duration, String> {
        let start = Instant::now();
        loop {
            let running = self.count_jobs(|state| *state == JobState::Running).await;
            if running >= jobs as usize {
                return Ok(start.elapsed());
            }
            if start.elapsed() > timeout {
                return Err(format!("only {running} of {jobs} jobs are running after {timeout:?}"));
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Returns the number of store calls since the start, without watches that are still waiting.
    pub fn store_calls(&self) -> u64 {
        self.store.store().stats().total()
    }
}

/// Starts a process and waits 500 ms; fails if it can't be started or has exited by then.
pub async fn start_process(spec: &ProcessSpec) -> Result<MeasuredProcess, String> {
    let mut process = MeasuredProcess::start(spec)?;
    tokio::time::sleep(Duration::from_millis(500)).await;
    if process.is_alive() {
        Ok(process)
    } else {
        Err(format!("{} exited during startup", spec.binary))
    }
}

async fn add_link(proxy: &FaultProxy, name: &str, url: &str) -> Result<String, String> {
    let target = url.trim_start_matches("http://").trim_end_matches('/');
    let address = proxy.add_link(LinkSpec::new(name, "control", name, target)).await;
    address
        .map(|address| format!("http://{address}"))
        .map_err(|error| format!("cannot start the proxy link {name}: {error}"))
}
