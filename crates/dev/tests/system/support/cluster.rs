//! A cluster of three failure domains with real processes, and stand-ins for all external systems.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use lacewingrail_clients::read;
use lacewingrail_dev::api::AdminClient;
use lacewingrail_dev::demonstration::checks::is_finished;
use lacewingrail_model::clock::UnixMillis;
use lacewingrail_model::instance::{InstanceEntry, InstanceRole};
use lacewingrail_model::job::{JobRecord, JobSpec, JobState, WorkClass};
use lacewingrail_model::keys;
use lacewingrail_model::shape::{AdjacencyLevel, GangShape};
use lacewingrail_model::store::KeyValueService;
use lacewingrail_scheduler::lease::LeaseRecord;
use lacewingrail_standins::{
    AllocationRecord, BackendServer, BackendSettings, FaultProxy, FleetLayout, FleetSettings,
    InstanceChange, InstanceListServer, LinkSpec, RunCounts, StoreServer, WorkerFleet, audit,
    find_repeated_runs,
};
use tokio::sync::{Semaphore, SemaphorePermit};

use super::load::LoadTargets;
use super::peer_forwarder::{PeerForwarder, ProcessDomains};
use super::process::{ProcessKind, TestProcess};
use super::{eventually, eventually_async};

/// Names of the failure domains.
pub const DOMAINS: [&str; 3] = ["a", "b", "c"];
/// Name of the service that requests call.
pub const SERVICE: &str = "desk";
/// Number of workers in each failure domain, two to a rack with 8 accelerators each.
pub const WORKERS_PER_DOMAIN: u32 = 4;
/// Timeout until the processes of a new cluster are ready and each domain has an active scheduler.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum time for which only some members of a gang may run.
const MAX_PARTIAL_RUN: Duration = Duration::from_millis(10_400);
/// Permits for concurrent test clusters, limited so that their processes do not starve each other.
static CLUSTER_PERMITS: Semaphore = Semaphore::const_new(3);
/// Number of the next test cluster, part of its directory name and loopback address.
static NEXT_CLUSTER: AtomicU32 = AtomicU32::new(0);

/// Environment variable with the log level of the processes; `info` if unset.
const LOG_LEVEL_VARIABLE: &str = "LACEWINGRAIL_TEST_LOG";

/// Name of the fault proxy group of callers and operators.
pub const CALLERS_GROUP: &str = "callers";
/// Name of the fault proxy group of the key-value service and the instance lists.
pub const PLATFORM_GROUP: &str = "platform";

/// A running system with its stand-ins; dropping it kills every process that it started.
pub struct TestCluster {
    /// Processes by name: `s-` for a scheduler or `e-` for an entry process, the failure domain and
    /// a number, such as `s-a1`.
    pub processes: BTreeMap<String, TestProcess>,
    pub store: StoreServer,
    /// Workers of each failure domain.
    pub fleets: BTreeMap<String, WorkerFleet>,
    pub backends: Vec<BackendServer>,
    pub proxy: FaultProxy,
    /// Instance list of each failure domain, with the addresses of that domain's links.
    instance_lists: BTreeMap<String, InstanceListServer>,
    /// Forwarder of the peer connections to each process.
    forwarders: BTreeMap<String, PeerForwarder>,
    process_domains: ProcessDomains,
    /// Base URL of each process for callers or operators, through the fault proxy.
    urls: BTreeMap<String, String>,
    directory: PathBuf,
    host: Ipv4Addr,
    _permit: SemaphorePermit<'static>,
}

impl TestCluster {
    /// Starts two entry and two scheduler processes in domain `a` and one of each in the others,
    /// and waits until all are ready and each domain has an active scheduler.
    pub async fn start() -> Self {
        let permit = CLUSTER_PERMITS.acquire().await.expect("the semaphore stays open");
        let number = NEXT_CLUSTER.fetch_add(1, Ordering::Relaxed);
        let name = format!("lacewingrail-system-{}-{number}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory).expect("create the cluster directory");
        let host = loopback_address(number);
        let any_port = format!("{host}:0");
        let mut cluster = Self {
            processes: BTreeMap::new(),
            store: StoreServer::spawn(&any_port, 1).await.expect("start the store"),
            fleets: BTreeMap::new(),
            backends: Vec::new(),
            proxy: FaultProxy::new(1),
            instance_lists: BTreeMap::new(),
            forwarders: BTreeMap::new(),
            process_domains: Arc::default(),
            urls: BTreeMap::new(),
            directory,
            host,
            _permit: permit,
        };
        cluster.start_standins().await;
        let names = ["a1", "a2", "b1", "c1"];
        for name in names {
            for prefix in ["s", "e"] {
                let forwarder =
                    PeerForwarder::bind(&any_port, cluster.process_domains.clone()).await;
                cluster.forwarders.insert(format!("{prefix}-{name}"), forwarder);
            }
        }
        for name in names {
            cluster.start_process(ProcessKind::Scheduler, &format!("s-{name}")).await;
            cluster.start_process(ProcessKind::Entry, &format!("e-{name}")).await;
        }
        for name in names {
            cluster.connect_process(&format!("s-{name}")).await;
            cluster.connect_process(&format!("e-{name}")).await;
        }
        cluster
            .admin("s-a1")
            .put_tree(&settings_tree(&[]), 0)
            .await
            .expect("write the settings tree");
        for name in names {
            let (scheduler, entry) = (format!("s-{name}"), format!("e-{name}"));
            eventually_async("the processes are ready", READY_TIMEOUT, || async {
                cluster.is_ready(&scheduler).await && cluster.is_ready(&entry).await
            })
            .await;
        }
        for domain in DOMAINS {
            eventually_async("the domain has an active scheduler", READY_TIMEOUT, || async {
                cluster.read_lease(domain).await.is_some_and(|lease| lease.epoch > 0)
            })
            .await;
        }
        cluster
    }

    /// Starts workers, backend servers and instance lists, and links every domain to them.
    async fn start_standins(&mut self) {
        let any_port = format!("{}:0", self.host);
        for domain in DOMAINS {
            let layout = FleetLayout {
                domain: domain.to_owned(),
                workers: WORKERS_PER_DOMAIN,
                per_rack: 2,
                accelerators: 8,
                cores: 64,
                memory_mb: 128_000,
            };
            let settings = FleetSettings { lag_ms: 500, ..FleetSettings::default() };
            let fleet = WorkerFleet::spawn(&any_port, layout.specs(), settings).await;
            self.fleets.insert(domain.to_owned(), fleet.expect("start workers"));
            for number in 0..3 {
                let settings = BackendSettings {
                    name: format!("{domain}-backend-{number}"),
                    service: SERVICE.to_owned(),
                    domain: domain.to_owned(),
                    median_ms: 10.0,
                    seed: number,
                    ..BackendSettings::default()
                };
                let backend = BackendServer::spawn(&any_port, settings).await;
                self.backends.push(backend.expect("start a backend server"));
            }
            let list = InstanceListServer::spawn(&any_port).await.expect("start an instance list");
            self.instance_lists.insert(domain.to_owned(), list);
        }
        // Each domain reaches workers and backend servers over its own links, so that a partition
        // cuts just these.
        for from in DOMAINS {
            for to in DOMAINS {
                let fleet = &self.fleets[to];
                let link = format!("workers-{from}-{to}");
                let address = self.add_link(&link, from, to, fleet.handle().address()).await;
                for mut spec in fleet.specs() {
                    spec.address = format!("http://{address}/w/{}", spec.id);
                    self.instance_lists[from].change(InstanceChange::AddWorker(spec));
                }
            }
            for backend in &self.backends {
                let mut entry = backend.entry();
                let link = format!("backend-{from}-{}", entry.name);
                let target = backend.handle().address();
                entry.address =
                    format!("http://{}", self.add_link(&link, from, &entry.domain, target).await);
                self.instance_lists[from].change(InstanceChange::AddInstance(entry));
            }
        }
    }

    /// Starts a process in the domain that its name contains, such as `a` for `s-a1`.
    async fn start_process(&mut self, kind: ProcessKind, name: &str) {
        let domain = domain_of(name);
        let store = self.store.handle().address();
        let store = self.add_link(&format!("store-{name}"), domain, PLATFORM_GROUP, store).await;
        let list = self.instance_lists[domain].handle().address();
        let list = self.add_link(&format!("list-{name}"), domain, PLATFORM_GROUP, list).await;
        let (listen_key, peers) = match kind {
            ProcessKind::Scheduler => ("admin", self.peers_of(name)),
            ProcessKind::Entry => ("callers", self.peers_of(name)),
        };
        let level = std::env::var(LOG_LEVEL_VARIABLE).unwrap_or_else(|_| "info".to_owned());
        let (forwarder, host) = (self.forwarders[name].address, self.host);
        let text = format!(
            "name: {name}\nregion: north\ndomain: {domain}\n\
             listen: {{ {listen_key}: {host}:0, peers: {host}:0, advertise: {forwarder} }}\n\
             peers: [{peers}]\nstore: http://{store}\ninstances: http://{list}\n\
             log_level: {level}\n"
        );
        let process = TestProcess::spawn(kind, name, &self.directory, &text);
        let mut process_domains = self.process_domains.lock().expect("the mutex is not poisoned");
        process_domains.insert(process.id(), domain.to_owned());
        drop(process_domains);
        self.processes.insert(name.to_owned(), process);
    }

    /// Links peers, operators and callers to a started process and adds it to the instance lists.
    async fn connect_process(&mut self, name: &str) {
        let domain = domain_of(name);
        let process = &self.processes[name];
        let (peer_address, http_address) = process.addresses().await;
        let mut targets = BTreeMap::new();
        for from in DOMAINS {
            let link =
                self.add_link(&format!("peer-{from}-{name}"), from, domain, peer_address).await;
            targets.insert(from.to_owned(), link);
        }
        self.forwarders[name].set_targets(targets);
        let address =
            self.add_link(&format!("outer-{name}"), CALLERS_GROUP, domain, http_address).await;
        self.urls.insert(name.to_owned(), format!("http://{address}"));
        let role = match process.kind {
            ProcessKind::Scheduler => InstanceRole::Scheduler,
            ProcessKind::Entry => InstanceRole::Entry,
        };
        for list in self.instance_lists.values() {
            list.change(InstanceChange::AddInstance(InstanceEntry {
                name: name.to_owned(),
                role,
                service: String::new(),
                domain: domain.to_owned(),
                address: self.urls[name].clone(),
                peer_address: self.forwarders[name].address.to_string(),
                leaving: false,
                slots: 0,
                connections: 0,
            }));
        }
    }

    /// Returns the peer addresses of the other processes in the same domain, separated by commas.
    fn peers_of(&self, name: &str) -> String {
        let others = self
            .forwarders
            .iter()
            .filter(|(other, _)| *other != name && domain_of(other) == domain_of(name));
        others.map(|(_, forwarder)| forwarder.address.to_string()).collect::<Vec<_>>().join(", ")
    }

    /// Adds a link to the fault proxy and returns the address on which it listens.
    async fn add_link(&self, name: &str, from: &str, to: &str, target: SocketAddr) -> SocketAddr {
        let mut spec = LinkSpec::new(name, from, to, target.to_string());
        spec.listen = format!("{}:0", self.host);
        self.proxy.add_link(spec).await.expect("add a link")
    }

    /// Returns the base URL of a process for callers or operators, through the fault proxy.
    pub fn url(&self, name: &str) -> String {
        self.urls[name].clone()
    }

    /// Returns a client of the administration API of a scheduler process.
    pub fn admin(&self, name: &str) -> AdminClient {
        AdminClient::new(self.url(name))
    }

    /// Returns the URLs of entry processes as targets of a request load.
    pub fn load_targets(&self, names: &[&str]) -> LoadTargets {
        Arc::new(Mutex::new(names.iter().map(|name| self.url(name)).collect()))
    }

    /// Returns whether the readiness probe of a process succeeds within a second.
    pub async fn is_ready(&self, name: &str) -> bool {
        let client = reqwest::Client::builder().no_proxy().timeout(Duration::from_secs(1));
        let client = client.build().expect("build an HTTP client");
        let response = client.get(format!("{}/readyz", self.url(name))).send().await;
        response.is_ok_and(|response| response.status().is_success())
    }

    /// Returns a process of the cluster by its name, such as `s-a1`.
    pub fn process(&mut self, name: &str) -> &mut TestProcess {
        self.processes.get_mut(name).expect("a process of the test cluster")
    }

    /// Partitions a failure domain from the platform and from all other domains.
    pub fn partition(&self, domain: &str) {
        for other in DOMAINS.into_iter().chain([PLATFORM_GROUP]).filter(|other| *other != domain) {
            assert!(self.proxy.partition(domain, other) > 0, "no link from {domain} to {other}");
        }
    }

    /// Heals the partition of a failure domain.
    pub fn heal(&self, domain: &str) {
        for other in DOMAINS.into_iter().chain([PLATFORM_GROUP]).filter(|other| *other != domain) {
            self.proxy.heal_partition(domain, other);
        }
    }

    /// Returns the scheduler lease of a domain, read directly from the store and not over a link;
    /// `None` if the store has no lease record.
    pub async fn read_lease(&self, domain: &str) -> Option<LeaseRecord> {
        // With an outage injected, the read would fail although the store has the lease.
        let faults = self.store.store().faults();
        assert!(!faults.unavailable, "the lease cannot be read during a store outage");
        let key = keys::scheduler_lease(domain);
        let entry = read(self.store.store() as &dyn KeyValueService, &key).await;
        entry.expect("read the lease").map(|(record, _)| record)
    }

    /// Returns the name of the process that holds a lease.
    pub fn holder_name(&self, lease: &LeaseRecord) -> String {
        let name = self.processes.keys().find(|name| lease.holder.starts_with(&format!("{name}~")));
        name.unwrap_or_else(|| panic!("{} is not a process of the test cluster", lease.holder))
            .clone()
    }

    /// Waits until the lease of a domain is held under a higher epoch than `epoch`.
    pub async fn wait_takeover(&self, domain: &str, epoch: u64, timeout: Duration) -> LeaseRecord {
        let took = eventually_async("another process takes the lease over", timeout, || async {
            self.read_lease(domain).await.is_some_and(|lease| lease.epoch > epoch)
        })
        .await;
        println!("takeover of {domain} after {took:?}");
        self.read_lease(domain).await.expect("the lease has a holder")
    }

    /// Submits a job through a scheduler process.
    pub async fn submit(&self, scheduler: &str, spec: &JobSpec) -> JobRecord {
        let outcome = self.admin(scheduler).submit(spec).await;
        outcome.unwrap_or_else(|error| panic!("the submission failed: {error}"))
    }

    /// Returns the allocation records of all workers, one for each reservation.
    pub fn allocations(&self) -> Vec<AllocationRecord> {
        self.fleets.values().flat_map(|fleet| fleet.journal().entries).collect()
    }

    /// Returns the current time of the clock that the workers' records use.
    pub fn now_ms(&self) -> UnixMillis {
        self.fleets[DOMAINS[0]].now_ms()
    }

    /// Returns the records of the members of a job that have started, in all attempts.
    pub fn started_members(&self, job: &str) -> Vec<AllocationRecord> {
        let mut allocations = self.allocations();
        allocations.retain(|run| run.member.job == job && run.started_ms.is_some());
        allocations
    }

    /// Returns the number of running members of a job.
    pub fn count_running_members(&self, job: &str) -> usize {
        self.started_members(job).iter().filter(|run| run.ended_ms.is_none()).count()
    }

    /// Waits until all members of a job run.
    pub async fn wait_running(&self, job: &JobRecord, timeout: Duration) {
        let members = job.spec.shape.members as usize;
        let description = format!("{members} members of {} run", job.id);
        eventually(&description, timeout, || self.count_running_members(&job.id) == members).await;
    }

    /// Waits until all members of a job have finished on the workers.
    pub async fn wait_finished(&self, job: &JobRecord, timeout: Duration) {
        let description = format!("{} finishes", job.id);
        eventually(&description, timeout, || is_finished(&self.started_members(&job.id))).await;
    }

    /// Waits until the administration API reports a job as finished.
    pub async fn wait_recorded(&self, scheduler: &str, job: &JobRecord, timeout: Duration) {
        let admin = self.admin(scheduler);
        eventually_async(&format!("{} is recorded as finished", job.id), timeout, || async {
            admin.job(&job.id).await.is_ok_and(|record| record.state == JobState::Finished)
        })
        .await;
    }

    /// Asserts the invariants of the system.
    ///
    /// Panics if the stand-ins' records show a double run, a gang that was partial for too long, an
    /// overcommitted worker or a repeated request, if records were dropped, or if a log shows an
    /// invariant violation or a panic.
    pub fn assert_invariants(&mut self) {
        let now_ms = self.now_ms();
        let (records, mut specs) = (self.allocations(), Vec::new());
        for fleet in self.fleets.values() {
            assert_eq!(fleet.journal().dropped, 0, "records of workers were dropped");
            specs.extend(fleet.specs());
        }
        let no_violations: Vec<String> = Vec::new();
        assert_eq!(audit::find_overlapping_runs(&records, now_ms), no_violations);
        assert_eq!(audit::find_partial_gangs(&records, now_ms, MAX_PARTIAL_RUN), no_violations);
        assert_eq!(audit::find_overcommits(&records, &specs, now_ms), no_violations);
        let runs: Vec<RunCounts> = self.backends.iter().map(BackendServer::runs).collect();
        assert_eq!(find_repeated_runs(&runs), no_violations);
        for process in self.processes.values_mut() {
            let log = process.log();
            assert!(!log.contains("is violated"), "{}: {}", process.name, process.log_tail());
            assert!(!log.contains("panicked"), "{}: {}", process.name, process.log_tail());
        }
    }

    /// Returns how often all backend servers together ran the request with an idempotency key.
    pub fn count_runs_of_key(&self, key: &str) -> u32 {
        let runs = self.backends.iter().map(BackendServer::runs);
        runs.filter_map(|counts| counts.by_key.get(key).copied()).sum()
    }
}

impl Drop for TestCluster {
    fn drop(&mut self) {
        if std::thread::panicking() {
            for process in self.processes.values() {
                eprintln!("--- end of the log of {}\n{}", process.name, process.log_tail());
            }
        }
        self.processes.clear();
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Returns a loopback address that no other test cluster uses.
///
/// Processes call their last known peers for up to a minute. If all clusters shared one address, a
/// process could reach another cluster on a port that its own cluster has released.
fn loopback_address(number: u32) -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let [_, _, _, cluster] = number.to_be_bytes();
    Ipv4Addr::new(127, high.max(1), low, cluster.max(1) + 1)
}

/// Returns the failure domain that the name of a process contains.
pub fn domain_of(name: &str) -> &str {
    name.get(2..3).expect("a name such as s-a1")
}

/// Returns the specification of a checkpointable gang of members with 8 accelerators each.
///
/// Gangs of up to two members must share a rack. The gang may run in any of the domains, or
/// anywhere if there are none.
pub fn gang_spec(members: u32, domains: &[&str], run_time: Duration) -> JobSpec {
    let adjacency = if members > 2 { AdjacencyLevel::Domain } else { AdjacencyLevel::Rack };
    JobSpec {
        customer: "north".to_owned(),
        shape: GangShape { members, accelerators: 8, adjacency },
        class: WorkClass::Normal,
        declared_ms: u64::try_from(run_time.as_millis())
            .expect("the duration fits in milliseconds"),
        cores: 1,
        memory_mb: 1_000,
        checkpointable: true,
        domains: domains.iter().map(|domain| (*domain).to_owned()).collect(),
        command: String::new(),
        idempotency_key: None,
    }
}

/// Returns the text of a settings tree with the customers `north`, `south` and `extra_customers`.
pub fn settings_tree(extra_customers: &[&str]) -> String {
    let mut text = String::from(
        "policy: { default_deadline: 5s }\n\
         regions:\n  north:\n    domains:\n",
    );
    for domain in DOMAINS {
        text.push_str(&format!(
            "      {domain}:\n        racks:\n\
             \x20         r0: {{ workers: 2, accelerators: 8 }}\n\
             \x20         r1: {{ workers: 2, accelerators: 8 }}\n"
        ));
    }
    text.push_str("customers:\n");
    for customer in ["north", "south"].iter().chain(extra_customers) {
        text.push_str(&format!("  {customer}: {{ quota: 200 }}\n"));
    }
    text.push_str(&format!(
        "services:\n  {SERVICE}: {{}}\naccess:\n  operators:\n    - \
         {OPERATOR_TOKEN_DIGEST}\n"
    ));
    text
}

/// Digest of the operators' token; see [`lacewingrail_dev::api::OPERATOR_TOKEN`].
const OPERATOR_TOKEN_DIGEST: &str =
    "c15de198d781469a78760f52482bac96c651dec77512c11657dcb336fa480ca0";
