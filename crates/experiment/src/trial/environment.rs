//! The external systems and scheduler processes of one trial.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use lacewingrail_clients::{HttpInstanceList, HttpStore, MemoryStore};
use lacewingrail_model::ProcessResources;
use lacewingrail_model::config::ConfigView;
use lacewingrail_model::keys;
use lacewingrail_model::store::KeyValueService;
use lacewingrail_model::timer::TimerService;
use lacewingrail_scheduler::SchedulerProcess;
use lacewingrail_settings::{ListenSettings, LogLevel, ProcessSettings};
use lacewingrail_standins::{
    FaultProxy, FleetSettings, InstanceChange, InstanceListServer, LinkRule, LinkSelection,
    LinkSpec, StoreServer, WorkerFaults, WorkerFleet, WorkerSelection,
};

use crate::trial::TrialPlan;
use crate::trial::client::ApiClient;
use crate::trial::real_work::RealWorkClient;
use crate::trial::user;

/// Maximum deviation of a worker's speed from nominal, as a share.
const SPEED_SPREAD: f64 = 0.2;
/// One-way network delay from a scheduler process to the platform's key-value service.
const PLATFORM_DELAY_MS: u64 = 1;
/// Timeout until every failure domain has an active scheduler.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for the processes to read the state of all workers.
const WORKER_DISCOVERY_DELAY: Duration = Duration::from_secs(2);
/// Group of the platform's endpoints in the fault proxy.
const PLATFORM_GROUP: &str = "platform";

/// The running external systems and scheduler processes of one trial.
pub struct TrialEnvironment {
    /// The configuration in force at the start.
    pub view: ConfigView,
    /// The store behind the key-value service.
    pub store: MemoryStore,
    /// The simulated workers.
    pub fleet: WorkerFleet,
    /// The client of all scheduler processes, in the order of `domains`.
    pub client: ApiClient,
    /// The names of the failure domains.
    pub domains: Vec<String>,
    /// The id of the worker on which every start fails.
    pub failing_worker: String,
    processes: Vec<SchedulerProcess>,
    proxy: FaultProxy,
    store_server: StoreServer,
    instance_list: InstanceListServer,
}

impl TrialEnvironment {
    /// Starts the external systems and scheduler processes, and waits until every failure domain
    /// has an active scheduler.
    ///
    /// Fails if the settings tree is invalid, a stand-in or process doesn't start, or the
    /// schedulers aren't ready in time.
    pub async fn start(plan: &TrialPlan) -> Result<Self, String> {
        let to_error = |error: std::io::Error| format!("cannot start a stand-in: {error}");
        let tree = user::settings_tree(plan)?;
        let view = tree.view().map_err(|errors| errors.to_string())?;
        let domains: Vec<String> = view.domains.keys().cloned().collect();
        let store = MemoryStore::seeded(plan.seed);
        let store_server =
            StoreServer::spawn_store("127.0.0.1:0", store.clone()).await.map_err(to_error)?;
        let text = tree.encode().map_err(|errors| errors.to_string())?;
        let put = store.put(keys::CONFIG_TREE, text, 0, None).await;
        put.map_err(|error| error.to_string())?;
        let instance_list = InstanceListServer::spawn("127.0.0.1:0").await.map_err(to_error)?;
        let settings =
            FleetSettings { speed_spread: SPEED_SPREAD, seed: plan.seed, ..Default::default() };
        let specs = user::worker_specs(plan.user, &view);
        let fleet = WorkerFleet::spawn("127.0.0.1:0", specs, settings).await.map_err(to_error)?;
        for spec in fleet.specs() {
            instance_list.change(InstanceChange::AddWorker(spec));
        }
        let failing_worker = format!("{}-w03", domains.last().cloned().unwrap_or_default());
        let faults = WorkerFaults { fail_starts: true, ..WorkerFaults::default() };
        fleet.set_faults(&WorkerSelection::worker(&failing_worker), faults);
        let mut environment = Self {
            view,
            client: ApiClient::new(Vec::new()),
            store,
            fleet,
            domains,
            failing_worker,
            processes: Vec::new(),
            proxy: FaultProxy::new(plan.seed),
            store_server,
            instance_list,
        };
        environment.start_processes(plan).await?;
        environment.wait_ready().await?;
        Ok(environment)
    }

    /// Partitions the processes of a domain from the key-value service, or heals the partition.
    pub fn set_store_partition(&self, domain: &str, partitioned: bool) {
        if partitioned {
            self.proxy.partition(domain, PLATFORM_GROUP);
        } else {
            self.proxy.heal_partition(domain, PLATFORM_GROUP);
        }
    }

    /// Shuts down all scheduler processes.
    pub async fn shut_down(self) {
        let shutdowns = self.processes.into_iter().map(SchedulerProcess::shut_down);
        futures::future::join_all(shutdowns).await;
    }

    /// Starts one scheduler process for each failure domain, connected to the store through the
    /// fault proxy.
    async fn start_processes(&mut self, plan: &TrialPlan) -> Result<(), String> {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let list_url = self.instance_list.url();
        let store_address = self.store_server.handle().address().to_string();
        let timer = TimerService::new();
        let (mut peers, mut base_urls) = (Vec::new(), Vec::new());
        for domain in &self.domains {
            let name = format!("{domain}-store");
            let spec =
                LinkSpec::new(name.clone(), domain.clone(), PLATFORM_GROUP, store_address.clone());
            let address = self.proxy.add_link(spec).await.map_err(|error| error.to_string())?;
            self.proxy.set_rule(&LinkSelection::link(name), LinkRule::delay(PLATFORM_DELAY_MS));
            let store_url = format!("http://{address}");
            let settings = ProcessSettings {
                system: lacewingrail_settings::DEFAULT_SYSTEM.to_owned(),
                file: "experiment".to_owned(),
                name: format!("{domain}-scheduler"),
                region: plan.user.region().to_owned(),
                domain: domain.clone(),
                listen: ListenSettings {
                    callers: None,
                    admin: Some(any_port),
                    peers: any_port,
                    advertise: None,
                },
                peers: peers.clone(),
                store: store_url.clone(),
                instances: list_url.clone(),
                otlp: None,
                log_level: LogLevel::Warn,
                resources: ProcessResources::default(),
            };
            let process = SchedulerProcess::start(
                settings,
                Arc::new(HttpStore::new(&store_url)),
                Arc::new(RealWorkClient::new(self.store.clone())),
                Arc::new(HttpInstanceList::new(&list_url)),
                timer.clone(),
            );
            let process = process.await.map_err(|error| error.to_string())?;
            peers.push(process.peer_address());
            let admin = process.admin_address().ok_or("a process has no administration API")?;
            base_urls.push(format!("http://{admin}"));
            self.processes.push(process);
        }
        self.client = ApiClient::new(base_urls);
        Ok(())
    }

    /// Waits until every process is ready and leads its failure domain, and then for the discovery
    /// of the workers.
    async fn wait_ready(&self) -> Result<(), String> {
        let start = Instant::now();
        loop {
            let ready = self.processes.iter().zip(&self.domains).all(|(process, domain)| {
                process.membership().ready() && process.leaderships().contains_key(domain)
            });
            if ready {
                tokio::time::sleep(WORKER_DISCOVERY_DELAY).await;
                return Ok(());
            }
            if start.elapsed() > READY_TIMEOUT {
                return Err(format!(
                    "some failure domains have no ready scheduler after {READY_TIMEOUT:?}"
                ));
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}
