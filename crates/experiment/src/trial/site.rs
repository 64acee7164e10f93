//! The outside systems and the scheduler processes of one run.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use lacewingrail_clients::{HttpInstanceList, HttpStore, MemoryStore};
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
use crate::trial::user;
use crate::trial::work::RealWorkClient;

/// Share by which the speeds of workers deviate from nominal.
const SPEED_SPREAD: f64 = 0.2;
/// Delay one way to the platform in milliseconds.
const PLATFORM_DELAY_MS: u64 = 1;
/// Longest time until every domain is scheduled.
const READY_LIMIT: Duration = Duration::from_secs(30);
/// Time that the processes get to read all workers.
const SETTLE: Duration = Duration::from_secs(2);
/// Group of the platform in the fault proxy.
const PLATFORM: &str = "platform";

/// Holds the outside systems and the processes.
pub struct TrialSite {
    /// Configuration in force at the start.
    pub view: ConfigView,
    /// Key-value service.
    pub store: MemoryStore,
    /// Workers.
    pub fleet: WorkerFleet,
    /// Client of all processes.
    pub client: ApiClient,
    /// Names of the failure domains.
    pub domains: Vec<String>,
    /// Worker on which every start fails.
    pub failing: String,
    processes: Vec<SchedulerProcess>,
    proxy: FaultProxy,
    _server: StoreServer,
    _list: InstanceListServer,
}

impl TrialSite {
    /// Starts everything and waits until every domain is scheduled.
    pub async fn start(plan: &TrialPlan) -> Result<Self, String> {
        let fail = |error: std::io::Error| format!("a stand-in does not start: {error}");
        let tree = user::stored_tree(plan)?;
        let view = tree.view().map_err(|errors| errors.to_string())?;
        let domains: Vec<String> = view.domains.keys().cloned().collect();
        let store = MemoryStore::seeded(plan.seed);
        let server = StoreServer::spawn_store("127.0.0.1:0", store.clone()).await.map_err(fail)?;
        let text = tree.encode().map_err(|errors| errors.to_string())?;
        let put = store.put(keys::CONFIG_TREE, text, 0, None).await;
        put.map_err(|error| error.to_string())?;
        let list = InstanceListServer::spawn("127.0.0.1:0").await.map_err(fail)?;
        let settings =
            FleetSettings { speed_spread: SPEED_SPREAD, seed: plan.seed, ..Default::default() };
        let specs = user::worker_specs(plan.user, &view);
        let fleet = WorkerFleet::spawn("127.0.0.1:0", specs, settings).await.map_err(fail)?;
        for spec in fleet.specs() {
            list.change(InstanceChange::AddWorker(spec));
        }
        let failing = format!("{}-w03", domains.last().cloned().unwrap_or_default());
        let faults = WorkerFaults { fail_starts: true, ..WorkerFaults::default() };
        fleet.set_faults(&WorkerSelection::worker(&failing), faults);
        let mut site = Self {
            view,
            client: ApiClient::new(Vec::new()),
            store,
            fleet,
            domains,
            failing,
            processes: Vec::new(),
            proxy: FaultProxy::new(plan.seed),
            _server: server,
            _list: list,
        };
        site.start_processes(plan).await?;
        site.wait_ready().await?;
        Ok(site)
    }

    /// Cuts the processes of a domain from the key-value service, or heals the cut.
    pub fn set_cut(&self, domain: &str, cut: bool) {
        if cut {
            self.proxy.cut_between(domain, PLATFORM);
        } else {
            self.proxy.heal_between(domain, PLATFORM);
        }
    }

    /// Ends all processes.
    pub async fn shut_down(self) {
        let ends = self.processes.into_iter().map(SchedulerProcess::shut_down);
        futures::future::join_all(ends).await;
    }

    async fn start_processes(&mut self, plan: &TrialPlan) -> Result<(), String> {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let list = self._list.url();
        let target = self._server.handle().address().to_string();
        let timer = TimerService::new();
        let (mut peers, mut bases) = (Vec::new(), Vec::new());
        for domain in &self.domains {
            let name = format!("{domain}-store");
            let spec = LinkSpec::new(name.clone(), domain.clone(), PLATFORM, target.clone());
            let address = self.proxy.add_link(spec).await.map_err(|error| error.to_string())?;
            self.proxy.set_rule(&LinkSelection::link(name), LinkRule::delay(PLATFORM_DELAY_MS));
            let url = format!("http://{address}");
            let settings = ProcessSettings {
                system: lacewingrail_settings::DEFAULT_SYSTEM.to_owned(),
                file: "experiment".to_owned(),
                name: format!("{domain}-scheduler"),
                region: plan.user.region().to_owned(),
                domain: domain.clone(),
                listen: ListenSettings {
                    callers: None,
                    admin: Some(any),
                    peers: any,
                    advertise: None,
                },
                peers: peers.clone(),
                store: url.clone(),
                instances: list.clone(),
                otlp: None,
                log_level: LogLevel::Warn,
            };
            let process = SchedulerProcess::start(
                settings,
                Arc::new(HttpStore::new(&url)),
                Arc::new(RealWorkClient::new(self.store.clone())),
                Arc::new(HttpInstanceList::new(&list)),
                timer.clone(),
            );
            let process = process.await.map_err(|error| error.to_string())?;
            peers.push(process.peer_address());
            let admin = process.admin_address().ok_or("a process has no administration API")?;
            bases.push(format!("http://{admin}"));
            self.processes.push(process);
        }
        self.client = ApiClient::new(bases);
        Ok(())
    }

    async fn wait_ready(&self) -> Result<(), String> {
        let begun = Instant::now();
        loop {
            let ready = self.processes.iter().zip(&self.domains).all(|(process, domain)| {
                process.membership().ready() && process.leaderships().contains_key(domain)
            });
            if ready {
                tokio::time::sleep(SETTLE).await;
                return Ok(());
            }
            if begun.elapsed() > READY_LIMIT {
                return Err(format!("the schedulers are not ready after {READY_LIMIT:?}"));
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}
