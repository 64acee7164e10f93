//! A store, a worker fleet and scheduler processes within one test process.
//!
//! Each scheduler runs in its own runtime, so that shutting down the runtime ends it like a crash.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod faults;

use std::net::{IpAddr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use lacewingrail_admin::AdminContext;
use lacewingrail_clients::{HttpWorkerClient, MemoryStore};
use lacewingrail_model::ProcessResources;
use lacewingrail_model::instance::{InstanceEntry, InstanceError, InstanceList};
use lacewingrail_model::job::{HistoryPage, JobRecord, JobSpec, JobState, WorkClass};
use lacewingrail_model::keys;
use lacewingrail_model::message::ConfigPayload;
use lacewingrail_model::shape::{AdjacencyLevel, GangShape};
use lacewingrail_model::store::{KeyValueService, StoreError};
use lacewingrail_model::timer::TimerService;
use lacewingrail_model::worker::WorkerSpec;
use lacewingrail_scheduler::SchedulerProcess;
use lacewingrail_settings::{
    ListenSettings, LogLevel, ProcessSettings, StoredTree, set_domain_out,
};
use lacewingrail_standins::worker_fleet::allocation::AllocationRecord;
use lacewingrail_standins::worker_fleet::audit;
use lacewingrail_standins::worker_fleet::{FleetLayout, FleetSettings, WorkerFleet};
use tokio::runtime::Runtime;

use faults::{FaultyStore, FaultyWorkers};

/// Maximum time for which a gang may run without all members; a limit of the design.
pub const MAX_PARTIAL_RUNTIME: Duration = Duration::from_millis(10_400);
/// Maximum time after a domain was taken out at which a task may still start; a limit of the
/// design.
pub const MAX_LATE_START: Duration = Duration::from_secs(3);

/// Stand-ins for the outside systems, and the peer addresses of the schedulers.
pub struct TestCluster {
    pub store: MemoryStore,
    pub fleet: WorkerFleet,
    pub list: Arc<StaticWorkerList>,
    pub peers: Vec<SocketAddr>,
}

/// One scheduler process with its runtime and its connections to the outside systems.
pub struct SchedulerHost {
    pub process: Option<SchedulerProcess>,
    pub store: Arc<FaultyStore>,
    pub workers: Arc<FaultyWorkers>,
    runtime: Option<Runtime>,
}

/// Instance list with the workers of a fleet and no other instances.
pub struct StaticWorkerList(pub std::sync::Mutex<Vec<WorkerSpec>>);

#[async_trait]
impl InstanceList for StaticWorkerList {
    async fn read(&self) -> Result<Vec<InstanceEntry>, InstanceError> {
        Ok(Vec::new())
    }

    async fn workers(&self) -> Result<Vec<WorkerSpec>, InstanceError> {
        Ok(self.0.lock().expect("the list is readable").clone())
    }
}

impl TestCluster {
    /// Starts domains `a`, `b`, ... with equal workers of 8 accelerators, 3 to a rack.
    pub async fn new(domains: u32, workers: u32) -> Self {
        Self::with_tree(domains, workers, "").await
    }

    /// Starts domains with additional lines in the settings tree.
    pub async fn with_tree(domains: u32, workers: u32, extra: &str) -> Self {
        let names: Vec<String> = (0..domains).map(domain_name).collect();
        let layouts = names.iter().map(|domain| FleetLayout {
            domain: domain.clone(),
            workers,
            per_rack: 3,
            accelerators: 8,
            cores: 64,
            memory_mb: 128_000,
        });
        let specs = layouts.flat_map(|layout| layout.specs()).collect();
        let settings = FleetSettings { lag_ms: 0, ..FleetSettings::default() };
        let fleet = WorkerFleet::spawn("127.0.0.1:0", specs, settings).await.expect("a fleet");
        let list = Arc::new(StaticWorkerList(std::sync::Mutex::new(fleet.specs())));
        let store = MemoryStore::new();
        let cluster = Self { store, fleet, list, peers: reserve_addresses(8) };
        let tree = tree_text(&names, workers, extra);
        let tree = StoredTree::first(&tree, "test", "test#1".to_owned()).expect("a valid tree");
        cluster.write_tree(&tree, 0).await;
        cluster
    }

    async fn write_tree(&self, tree: &StoredTree, revision: u64) {
        let value = tree.encode().expect("an encoded tree");
        self.store.put(keys::CONFIG_TREE, value, revision, None).await.expect("a stored tree");
    }

    /// Takes a domain out or returns it by a write to the store; returns the fleet's time of the
    /// write.
    pub async fn set_out_of_service(&self, domain: &str, out: bool) -> u64 {
        let entry = self.store.get(keys::CONFIG_TREE).await.expect("a tree").expect("a tree");
        let stored = StoredTree::decode(&entry.value).expect("a tree");
        let text = set_domain_out(&stored.text, domain, out).expect("a changed tree");
        let next = stored.next(&text, "test", format!("test#{}", stored.version + 1));
        let next = next.expect("a valid tree");
        self.write_tree(&next, entry.revision).await;
        self.fleet.now_ms()
    }

    /// Takes a domain out or returns it as the administration API of a process does; returns the
    /// fleet's time of the write.
    pub async fn set_out_of_service_through(
        &self,
        host: &SchedulerHost,
        domain: &str,
        out: bool,
    ) -> u64 {
        let at_ms = self.set_out_of_service(domain, out).await;
        let entry = self.store.get(keys::CONFIG_TREE).await.expect("a tree").expect("a tree");
        let version = StoredTree::decode(&entry.value).expect("a tree").version;
        let admin = host.process().admin();
        admin.publish(ConfigPayload { version, text: entry.value }).await;
        let domain = domain.to_owned();
        if out {
            tokio::spawn(async move { admin.veto(&domain, version).await });
        }
        at_ms
    }

    /// Starts a process in a domain, on the peer address with the given index.
    pub async fn start(&self, domain: &str, index: usize) -> SchedulerHost {
        let store = Arc::new(FaultyStore::new(Arc::new(self.store.clone())));
        let workers = Arc::new(FaultyWorkers::new(Arc::new(HttpWorkerClient::new())));
        self.start_with(domain, index, store, workers).await
    }

    pub async fn start_with(
        &self,
        domain: &str,
        index: usize,
        store: Arc<FaultyStore>,
        workers: Arc<FaultyWorkers>,
    ) -> SchedulerHost {
        let settings = ProcessSettings {
            system: lacewingrail_settings::DEFAULT_SYSTEM.to_owned(),
            file: "test".to_owned(),
            name: format!("{domain}{index}"),
            region: "north".to_owned(),
            domain: domain.to_owned(),
            listen: ListenSettings {
                callers: None,
                admin: None,
                peers: self.peers[index],
                advertise: None,
            },
            peers: self.peers.clone(),
            store: String::new(),
            instances: String::new(),
            otlp: None,
            log_level: LogLevel::Info,
            resources: ProcessResources::default(),
        };
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .expect("a runtime");
        let start = SchedulerProcess::start(
            settings,
            store.clone(),
            workers.clone(),
            self.list.clone(),
            TimerService::new(),
        );
        let process = runtime.spawn(start).await.expect("a start").expect("a process");
        SchedulerHost { process: Some(process), store, workers, runtime: Some(runtime) }
    }

    /// Submits a job to a domain.
    pub async fn submit(&self, domain: &str, id: &str, spec: JobSpec) {
        let record =
            JobRecord::queued(id.to_owned(), spec, domain.to_owned(), format!("client#{id}"));
        let value = serde_json::to_string(&record).expect("a record");
        let key = keys::job(&domain.to_owned(), &id.to_owned());
        self.store.put(&key, value, 0, None).await.expect("a submission");
    }

    /// Creates a record under a domain.
    pub async fn create(&self, domain: &str, record: &JobRecord) {
        let value = serde_json::to_string(record).expect("a record");
        let key = keys::job(&domain.to_owned(), &record.id);
        self.store.put(&key, value, 0, None).await.expect("a new record");
    }

    /// Replaces the record of a job under a domain.
    pub async fn overwrite(&self, domain: &str, record: &JobRecord) {
        let value = serde_json::to_string(record).expect("a record");
        let key = keys::job(&domain.to_owned(), &record.id);
        let entry = self.store.get(&key).await.expect("a read").expect("a record");
        self.store.put(&key, value, entry.revision, None).await.expect("a changed record");
    }

    /// Cancels a job as the administration API does.
    pub async fn cancel(&self, id: &str) {
        loop {
            let (record, entry) = match self.find_record(id).await {
                Some(found) => found,
                None => return,
            };
            let record = JobRecord {
                state: JobState::Cancelled,
                mark: format!("client#cancel-{id}"),
                ..record
            };
            let value = serde_json::to_string(&record).expect("a record");
            match self.store.put(&entry.0, value, entry.1, None).await {
                Ok(_) => return,
                Err(StoreError::Conflict { .. }) => {}
                Err(error) => panic!("the cancellation failed: {error}"),
            }
        }
    }

    async fn find_record(&self, id: &str) -> Option<(JobRecord, (String, u64))> {
        let entries = self.store.list(keys::JOBS).await.expect("records");
        let entry = entries.into_iter().find(|entry| entry.key.ends_with(&format!("/{id}")))?;
        let record = serde_json::from_str(&entry.value).expect("a record");
        Some((record, (entry.key, entry.revision)))
    }

    /// Returns the record of a job that has not ended.
    pub async fn record(&self, id: &str) -> Option<JobRecord> {
        self.find_record(id).await.map(|(record, _)| record)
    }

    /// Returns the number of jobs of a domain that have not ended.
    pub async fn stored_jobs(&self, domain: &str) -> usize {
        self.store.list(&format!("jobs/{domain}/")).await.expect("records").len()
    }

    /// Returns the records of all ended jobs.
    pub async fn history(&self) -> Vec<JobRecord> {
        let pages = self.store.list("history/").await.expect("pages");
        let pages = pages
            .iter()
            .map(|entry| serde_json::from_str::<HistoryPage>(&entry.value).expect("a page").jobs);
        pages.flatten().collect()
    }

    /// Returns the record of an ended job.
    pub async fn ended_record(&self, id: &str) -> Option<JobRecord> {
        self.history().await.into_iter().find(|record| record.id == id)
    }

    /// Waits until a job has ended.
    pub async fn wait_ended(&self, id: &str, timeout: Duration) -> JobRecord {
        let started_at = Instant::now();
        loop {
            if let Some(record) = self.ended_record(id).await {
                return record;
            }
            assert!(
                started_at.elapsed() < timeout,
                "{id} has not ended: {:?}",
                self.record(id).await
            );
            tokio::time::sleep(Duration::from_millis(25)).await;
        }
    }

    /// Waits until a number of members of a job run on the workers; returns the waiting time.
    pub async fn wait_running(&self, id: &str, members: usize, timeout: Duration) -> Duration {
        let started_at = Instant::now();
        while self.running(id).len() != members {
            assert!(
                started_at.elapsed() < timeout,
                "{id} has {} members running, not {members}: {:?}",
                self.running(id).len(),
                self.record(id).await
            );
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        started_at.elapsed()
    }

    /// Returns the members of a job that currently run, from the workers' ground truth.
    pub fn running(&self, id: &str) -> Vec<AllocationRecord> {
        let records = self.fleet.journal().entries;
        let running = records.into_iter().filter(|record| {
            record.member.job == id && record.started_ms.is_some() && record.ended_ms.is_none()
        });
        running.collect()
    }

    /// Returns the number of members that currently run.
    pub fn running_members(&self) -> usize {
        let records = self.fleet.journal().entries;
        let running =
            |record: &&AllocationRecord| record.started_ms.is_some() && record.ended_ms.is_none();
        records.iter().filter(running).count()
    }

    /// Asserts from the workers' ground truth that no gang ran partially for too long, nothing ran
    /// twice and no worker was overcommitted.
    pub fn assert_invariants(&self) {
        let journal = self.fleet.journal();
        assert_eq!(journal.dropped, 0, "the journal is complete");
        let (records, now) = (journal.entries, self.fleet.now_ms());
        let none: Vec<String> = Vec::new();
        assert_eq!(audit::find_overlapping_runs(&records, now), none);
        assert_eq!(audit::find_partial_gangs(&records, now, MAX_PARTIAL_RUNTIME), none);
        assert_eq!(audit::find_overcommits(&records, &self.fleet.specs(), now), none);
    }

    /// Asserts that no member started in a domain between the allowed delay after it was taken out
    /// and its return.
    pub fn assert_no_late_start(&self, domain: &str, out_ms: u64, returned_ms: u64) {
        let records = self.fleet.journal().entries;
        let late = audit::find_late_starts(&records, domain, out_ms, MAX_LATE_START, returned_ms);
        assert_eq!(late, Vec::<String>::new());
    }
}

impl SchedulerHost {
    pub fn process(&self) -> &SchedulerProcess {
        self.process.as_ref().expect("a running process")
    }

    /// Returns whether the process schedules a domain.
    pub fn schedules(&self, domain: &str) -> bool {
        self.process().leaderships().contains_key(domain)
    }

    /// Returns the epoch under which the process schedules a domain; 0 if it does not.
    pub fn epoch(&self, domain: &str) -> u64 {
        self.process().leaderships().get(domain).copied().unwrap_or(0)
    }

    /// Waits until the process schedules a domain.
    pub async fn wait_schedules(&self, domain: &str, timeout: Duration) {
        let started_at = Instant::now();
        while !self.schedules(domain) {
            assert!(started_at.elapsed() < timeout, "the process does not schedule {domain}");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Ends the process without a shutdown.
    pub fn crash(&mut self) {
        std::mem::forget(self.process.take());
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Shuts the process down gracefully.
    pub async fn shut_down(mut self) {
        if let Some(process) = self.process.take() {
            let runtime = self.runtime.as_ref().expect("a runtime");
            runtime.spawn(process.shut_down()).await.expect("a shutdown");
        }
    }
}

impl Drop for SchedulerHost {
    fn drop(&mut self) {
        self.crash();
    }
}

/// Returns a job of the customer `bank` whose members take `accelerators` each.
pub fn gang(members: u32, accelerators: u32, work_ms: u64) -> JobSpec {
    JobSpec {
        customer: "bank".to_owned(),
        shape: GangShape { members, accelerators, adjacency: AdjacencyLevel::Domain },
        class: WorkClass::Normal,
        declared_ms: work_ms,
        cores: 1,
        memory_mb: 100,
        checkpointable: true,
        domains: Vec::new(),
        command: "run".to_owned(),
        idempotency_key: None,
    }
}

fn domain_name(index: u32) -> String {
    char::from_u32(u32::from(b'a') + index).expect("a letter").to_string()
}

fn tree_text(domains: &[String], workers: u32, extra: &str) -> String {
    let mut text = String::from("regions:\n  north:\n    domains:\n");
    for domain in domains {
        text.push_str(&format!("      {domain}:\n        racks:\n"));
        for rack in 0..workers.div_ceil(3) {
            let count = (workers - rack * 3).min(3);
            text.push_str(&format!(
                "          {domain}-r{rack:02}: {{ workers: {count}, accelerators: 8 }}\n"
            ));
        }
    }
    if !extra.contains("customers:") {
        text.push_str("customers:\n  bank: { quota: 4000 }\n  shop: { quota: 4000 }\n");
    }
    text.push_str(extra);
    text
}

/// Returns peer addresses that no other test uses, even after the process that listened there has
/// ended.
///
/// Each cluster has its own address of the loopback network. With a shared one, the port of a
/// crashed process could be assigned to a process of another cluster, and the two would exchange
/// heartbeats.
fn reserve_addresses(count: usize) -> Vec<SocketAddr> {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let process = std::process::id().to_le_bytes();
    let host = NEXT.fetch_add(1, Ordering::Relaxed);
    let address = IpAddr::from([127, process[1] | 0x80, process[0], host]);
    let listeners: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind((address, 0)).expect("a port")).collect();
    listeners.iter().map(|listener| listener.local_addr().expect("an address")).collect()
}
