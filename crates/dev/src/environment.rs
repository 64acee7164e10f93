//! The systems outside of ours, as stand-ins sized by a settings tree.

use std::collections::BTreeMap;
use std::io;

use lacewingrail_model::DomainName;
use lacewingrail_model::config::ConfigView;
use lacewingrail_model::worker::WorkerSpec;
use lacewingrail_standins::fault_proxy::control::spawn_control;
use lacewingrail_standins::{
    BackendServer, BackendSettings, FaultProxy, FleetSettings, HoldingRecord, InstanceChange,
    InstanceListServer, LinkRule, LinkSelection, LinkSpec, ServerHandle, StoreServer, WorkerFleet,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Backend servers of both users' settings.
const BACKEND_COUNT: usize = 50;
/// Requests that a backend server runs at once.
const BACKEND_SLOTS: usize = 8;
/// Connections that a backend server takes.
const BACKEND_CONNECTIONS: usize = 64;
/// Share by which the speeds of backend servers deviate from nominal.
const BACKEND_SPEED_SPREAD: f64 = 0.5;
/// Share by which the speeds of workers deviate from nominal.
const WORKER_SPEED_SPREAD: f64 = 0.05;
/// Median service time of a request in milliseconds.
const MEDIAN_SERVICE_TIME_MS: f64 = 20.0;
/// Time between a change of the platform and its instance list, in milliseconds.
const LIST_LAG_MS: u64 = 500;
/// One-way time between failure domains in milliseconds.
const DOMAIN_DELAY_MS: u64 = 1;
/// One-way time between callers and the system in milliseconds.
const CALLER_DELAY_MS: u64 = 3;
/// Group of callers and operators in the fault proxy.
pub const CALLERS: &str = "callers";
/// Group of the platform's services in the fault proxy.
pub const PLATFORM: &str = "platform";

/// Runs all stand-ins; dropping it ends them.
#[derive(Debug)]
pub struct StandinEnvironment {
    /// Key-value service.
    pub store: StoreServer,
    /// Instance list.
    pub instance_list: InstanceListServer,
    /// Workers of all failure domains.
    pub workers: WorkerFleet,
    /// Backend servers of all failure domains.
    pub backends: Vec<BackendServer>,
    /// Proxy of the links between our processes, the platform and callers.
    pub proxy: FaultProxy,
    /// Control of the proxy over HTTP.
    pub proxy_control: ServerHandle,
}

/// Holds the addresses of the platform's services as one process reaches them.
#[derive(Clone, Debug)]
pub struct PlatformLinks {
    /// Base address of the key-value service.
    pub store: String,
    /// Base address of the instance list.
    pub instance_list: String,
}

impl StandinEnvironment {
    /// Starts stand-ins with the workers that a settings tree describes.
    ///
    /// # Errors
    /// Reports an address that cannot be listened on.
    pub async fn start(view: &ConfigView, seed: u64) -> io::Result<Self> {
        let store = StoreServer::spawn("127.0.0.1:0", seed).await?;
        let instance_list = InstanceListServer::spawn("127.0.0.1:0").await?;
        let settings =
            FleetSettings { speed_spread: WORKER_SPEED_SPREAD, seed, ..FleetSettings::default() };
        let workers = WorkerFleet::spawn("127.0.0.1:0", worker_specs(view), settings).await?;
        for spec in workers.specs() {
            instance_list.change(InstanceChange::AddWorker(spec));
        }
        let mut backends = Vec::with_capacity(BACKEND_COUNT);
        for settings in backend_settings(view, seed) {
            let backend = BackendServer::spawn("127.0.0.1:0", settings).await?;
            instance_list.change(InstanceChange::AddInstance(backend.entry()));
            backends.push(backend);
        }
        instance_list.set_faults(lacewingrail_standins::instance_server::ListFaults {
            lag_ms: LIST_LAG_MS,
            ..Default::default()
        });
        let proxy = FaultProxy::new(seed);
        let proxy_control = spawn_control("127.0.0.1:0", proxy.clone()).await?;
        Ok(Self { store, instance_list, workers, backends, proxy, proxy_control })
    }

    /// Adds the links of one process to the platform, with the delay between failure domains.
    ///
    /// # Errors
    /// Reports an address that cannot be listened on.
    pub async fn link_platform(&self, process: &str, domain: &str) -> io::Result<PlatformLinks> {
        let store = self.store.handle().address().to_string();
        let instance_list = self.instance_list.handle().address().to_string();
        let rule = LinkRule::delay(DOMAIN_DELAY_MS);
        let store = LinkSpec::new(format!("{process}-store"), domain, PLATFORM, store);
        let instance_list =
            LinkSpec::new(format!("{process}-list"), domain, PLATFORM, instance_list);
        Ok(PlatformLinks {
            store: self.add_link(store, rule).await?,
            instance_list: self.add_link(instance_list, rule).await?,
        })
    }

    /// Adds the link of callers or operators to one process, with their distance.
    ///
    /// # Errors
    /// Reports an address that cannot be listened on.
    pub async fn link_callers(
        &self,
        name: &str,
        domain: &str,
        listen: &str,
        target: std::net::SocketAddr,
    ) -> io::Result<String> {
        let mut spec = LinkSpec::new(name, CALLERS, domain, target.to_string());
        listen.clone_into(&mut spec.listen);
        self.add_link(spec, LinkRule::delay(CALLER_DELAY_MS)).await
    }

    /// Returns the records of all workers.
    pub fn holdings(&self) -> Vec<HoldingRecord> {
        self.workers.journal().entries
    }

    /// Returns the number of workers in each failure domain.
    pub fn worker_counts(&self) -> BTreeMap<DomainName, usize> {
        let mut counts = BTreeMap::new();
        for spec in self.workers.specs() {
            *counts.entry(spec.domain).or_default() += 1;
        }
        counts
    }

    async fn add_link(&self, spec: LinkSpec, rule: LinkRule) -> io::Result<String> {
        let selection = LinkSelection::link(spec.name.clone());
        let address = self.proxy.add_link(spec).await?;
        self.proxy.set_rule(&selection, rule);
        Ok(format!("http://{address}"))
    }
}

/// Describes the workers of the healthy failure domains of a settings tree.
pub fn worker_specs(view: &ConfigView) -> Vec<WorkerSpec> {
    let mut specs = Vec::new();
    for (domain, config) in &view.domains {
        let (cores, memory_mb) = worker_size(&config.region);
        let racks = config.nominal_racks.iter();
        let workers = racks.flat_map(|(rack, sizes)| sizes.iter().map(move |size| (rack, *size)));
        specs.extend(workers.enumerate().map(|(number, (rack, accelerators))| WorkerSpec {
            id: format!("{domain}-w{number:02}"),
            domain: domain.clone(),
            rack: rack.clone(),
            accelerators,
            cores,
            memory_mb,
            address: String::new(),
        }));
    }
    specs
}

/// Returns the cores and the memory in megabytes of one worker.
fn worker_size(region: &str) -> (u32, u64) {
    match region {
        "jawa" => (128, 512_000),
        _ => (64, 128_000),
    }
}

/// Describes backend servers of unequal speed, spread over the failure domains.
fn backend_settings(view: &ConfigView, seed: u64) -> Vec<BackendSettings> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let service = view.services.keys().next().cloned().unwrap_or_default();
    let domains: Vec<&DomainName> = view.domains.keys().collect();
    let settings_of = |number: usize| BackendSettings {
        name: format!("backend-{number:02}"),
        service: service.clone(),
        domain: domains[number % domains.len()].clone(),
        slots: BACKEND_SLOTS,
        connections: BACKEND_CONNECTIONS,
        speed: 1.0 + BACKEND_SPEED_SPREAD * (2.0 * random.random::<f64>() - 1.0),
        median_ms: MEDIAN_SERVICE_TIME_MS,
        seed: seed.wrapping_add(number as u64),
        ..BackendSettings::default()
    };
    (0..BACKEND_COUNT).map(settings_of).collect()
}
