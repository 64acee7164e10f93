//! Stand-ins for the external systems, sized by a settings tree.

use std::collections::BTreeMap;
use std::io;

use lacewingrail_model::DomainName;
use lacewingrail_model::config::ConfigView;
use lacewingrail_model::worker::WorkerSpec;
use lacewingrail_standins::fault_proxy::control::spawn_control;
use lacewingrail_standins::{
    AllocationRecord, BackendServer, BackendSettings, FaultProxy, FleetSettings, InstanceChange,
    InstanceListServer, LinkRule, LinkSelection, LinkSpec, ServerHandle, StoreServer, WorkerFleet,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Number of backend servers, as in both deployments whose settings trees are in `examples/`.
const BACKEND_COUNT: usize = 50;
/// Requests that a backend server processes concurrently.
const BACKEND_SLOTS: usize = 8;
/// Connections that a backend server accepts concurrently.
const BACKEND_CONNECTIONS: usize = 64;
/// Maximum deviation of a backend server's speed from nominal, as a fraction of it.
const BACKEND_SPEED_SPREAD: f64 = 0.5;
/// Maximum deviation of a worker's speed from nominal, as a fraction of it.
const WORKER_SPEED_SPREAD: f64 = 0.05;
/// Median service time of a request at nominal speed, in milliseconds.
const MEDIAN_SERVICE_TIME_MS: f64 = 20.0;
/// Delay after which a platform change appears in the instance list, in milliseconds.
const LIST_LAG_MS: u64 = 500;
/// One-way network delay between failure domains, in milliseconds.
const DOMAIN_DELAY_MS: u64 = 1;
/// One-way network delay between callers and the system, in milliseconds.
const CALLER_DELAY_MS: u64 = 3;
/// Name of the fault proxy group of callers and operators.
pub const CALLERS_GROUP: &str = "callers";
/// Name of the fault proxy group of the platform's services.
pub const PLATFORM_GROUP: &str = "platform";

/// All running stand-ins; dropping it stops them.
#[derive(Debug)]
pub struct StandinEnvironment {
    /// Key-value service, in which the system stores its state.
    pub store: StoreServer,
    /// Instance list of the platform, which names workers, backend servers and processes.
    pub instance_list: InstanceListServer,
    /// Workers of all failure domains.
    pub workers: WorkerFleet,
    /// Backend servers of all failure domains.
    pub backends: Vec<BackendServer>,
    /// Fault proxy of the links from the system's processes to the platform, and from callers to
    /// them.
    pub proxy: FaultProxy,
    /// HTTP control interface of the fault proxy.
    pub proxy_control: ServerHandle,
}

/// URLs of the platform's services for one process, each served by a link of the fault proxy.
#[derive(Clone, Debug)]
pub struct PlatformLinks {
    /// Base URL of the key-value service.
    pub store: String,
    /// Base URL of the instance list.
    pub instance_list: String,
}

impl StandinEnvironment {
    /// Starts all stand-ins, with the workers that a settings tree describes.
    ///
    /// # Errors
    /// Returns an error if an address cannot be bound.
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

    /// Adds the links from one process to the platform, with the delay between failure domains.
    ///
    /// # Errors
    /// Returns an error if an address cannot be bound.
    pub async fn link_platform(&self, process: &str, domain: &str) -> io::Result<PlatformLinks> {
        let store = self.store.handle().address().to_string();
        let instance_list = self.instance_list.handle().address().to_string();
        let rule = LinkRule::delay(DOMAIN_DELAY_MS);
        let store = LinkSpec::new(format!("{process}-store"), domain, PLATFORM_GROUP, store);
        let instance_list =
            LinkSpec::new(format!("{process}-list"), domain, PLATFORM_GROUP, instance_list);
        Ok(PlatformLinks {
            store: self.add_link(store, rule).await?,
            instance_list: self.add_link(instance_list, rule).await?,
        })
    }

    /// Adds the link from callers or operators to one process, with their network delay.
    ///
    /// Returns the base URL of the link.
    ///
    /// # Errors
    /// Returns an error if the address `listen` cannot be bound.
    pub async fn link_callers(
        &self,
        name: &str,
        domain: &str,
        listen: &str,
        target: std::net::SocketAddr,
    ) -> io::Result<String> {
        let mut spec = LinkSpec::new(name, CALLERS_GROUP, domain, target.to_string());
        listen.clone_into(&mut spec.listen);
        self.add_link(spec, LinkRule::delay(CALLER_DELAY_MS)).await
    }

    /// Returns the allocation records of all workers, one for each reservation.
    pub fn allocations(&self) -> Vec<AllocationRecord> {
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

    /// Adds a link with a rule to the fault proxy and returns its base URL.
    async fn add_link(&self, spec: LinkSpec, rule: LinkRule) -> io::Result<String> {
        let selection = LinkSelection::link(spec.name.clone());
        let address = self.proxy.add_link(spec).await?;
        self.proxy.set_rule(&selection, rule);
        Ok(format!("http://{address}"))
    }
}

/// Returns the workers of all failure domains of a settings tree, with the racks and accelerators
/// that it lists for a healthy domain.
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

/// Returns the cores and the memory in megabytes of a worker in a region, which a settings tree
/// does not contain.
fn worker_size(region: &str) -> (u32, u64) {
    match region {
        "jawa" => (128, 512_000),
        _ => (64, 128_000),
    }
}

/// Returns the settings of backend servers with random speeds, spread evenly over the failure
/// domains.
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
