//! Measures configuration propagation and the cost of failure detection by the number of processes.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use lacewingrail_clients::{HttpInstanceList, HttpStore, MemoryStore};
use lacewingrail_listener::{ListenerRole, ListenerState};
use lacewingrail_membership::{Membership, MembershipSettings};
use lacewingrail_model::instance::{InstanceEntry, InstanceList, InstanceRole};
use lacewingrail_model::keys::CONFIG_TREE;
use lacewingrail_model::message::{
    Heartbeat, KnownScheduler, PeerFrame, PeerRequest, PeerResponse,
};
use lacewingrail_model::store::KeyValueService;
use lacewingrail_model::timer::TimerService;
use lacewingrail_settings::StoredTree;
use lacewingrail_standins::instance_server::{InstanceChange, InstanceListServer};
use lacewingrail_standins::store_server::StoreServer;
use lacewingrail_wire::{PeerHandler, PeerServer, codec};

use crate::capacity::{CapacityOptions, CapacityResult};
use crate::harness::fixtures::{domain_names, settings_tree_yaml};
use crate::harness::meter::ProcessMeter;
use crate::linear_fit::MeasuredSeries;

/// Numbers of processes; the target size has about 232 in 7 failure domains.
const PROCESS_COUNTS: [usize; 6] = [28, 56, 84, 112, 168, 232];
const DOMAIN_COUNT: u32 = 7;
const CUSTOMER_COUNT: u32 = 180;
/// Configuration changes whose propagation is timed at each size.
const CHANGE_COUNT: u64 = 5;
/// Timeout until a change is in force in all processes, equal to the bound that the target sets.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(11);

/// Membership instances that run within this process and communicate over real connections.
pub struct MemberGroup {
    /// The server of the key-value service.
    pub store: StoreServer,
    members: Vec<Membership>,
    list: InstanceListServer,
    _servers: Vec<PeerServer>,
}

/// Peer handler that is set after its server is bound, since the member needs the bound address.
struct DeferredHandler(OnceLock<Arc<dyn PeerHandler>>);

#[async_trait::async_trait]
impl PeerHandler for DeferredHandler {
    async fn handle(&self, frame: PeerFrame) -> PeerResponse {
        match self.0.get() {
            Some(handler) => handler.handle(frame).await,
            None => PeerResponse::Refused { reason: "the process is starting".to_owned() },
        }
    }
}

impl MemberGroup {
    /// Starts `count` members, about half of them schedulers, distributed evenly over the failure
    /// domains.
    ///
    /// Fails if a stand-in or member can't bind or the tree can't be stored.
    pub async fn start(count: usize) -> Result<Self, String> {
        let to_error = |error: std::io::Error| format!("cannot start a stand-in: {error}");
        let store =
            StoreServer::spawn_store("127.0.0.1:0", MemoryStore::new()).await.map_err(to_error)?;
        let list = InstanceListServer::spawn("127.0.0.1:0").await.map_err(to_error)?;
        let mut group = Self { store, members: Vec::new(), list, _servers: Vec::new() };
        group.write_tree(1).await?;
        let domains = domain_names(DOMAIN_COUNT);
        for number in 0..count {
            let domain = &domains[number % domains.len()];
            let role = match number / domains.len() % 2 {
                0 => InstanceRole::Scheduler,
                _ => InstanceRole::Entry,
            };
            group.add_member(domain, role, number).await?;
        }
        Ok(group)
    }

    async fn add_member(
        &mut self,
        domain: &str,
        role: InstanceRole,
        number: usize,
    ) -> Result<(), String> {
        let handler = Arc::new(DeferredHandler(OnceLock::new()));
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = PeerServer::bind(
            any_port,
            ListenerState::detached("peers", ListenerRole::Peers),
            handler.clone(),
        )
        .await;
        let server = server.map_err(|error| error.to_string())?;
        let address = server.address().to_string();
        let name = format!("{domain}-{number:03}");
        self.list.change(InstanceChange::AddInstance(InstanceEntry {
            name: name.clone(),
            role,
            service: String::new(),
            domain: domain.to_owned(),
            address: String::new(),
            peer_address: address.clone(),
            leaving: false,
            slots: 0,
            connections: 0,
        }));
        let settings = MembershipSettings {
            system: "test".to_owned(),
            instance: name,
            role,
            domain: domain.to_owned(),
            address,
            peers: Vec::new(),
        };
        let decoder = Arc::new(|text: &str| {
            let tree = StoredTree::decode(text).map_err(|errors| errors.to_string())?;
            tree.view().map_err(|errors| errors.to_string())
        });
        let store: Arc<dyn KeyValueService> = Arc::new(HttpStore::new(self.store.url()));
        let list: Arc<dyn InstanceList> = Arc::new(HttpInstanceList::new(self.list.url()));
        let membership = Membership::new(settings, store, Some(list), decoder, TimerService::new());
        let _ = handler.0.set(membership.handler());
        membership.start();
        self.members.push(membership);
        self._servers.push(server);
        Ok(())
    }

    /// Writes the settings tree with a version number.
    ///
    /// Fails if the store is unavailable or the tree changes concurrently.
    pub async fn write_tree(&self, version: u64) -> Result<(), String> {
        let text = settings_tree_yaml(&domain_names(DOMAIN_COUNT), 127, CUSTOMER_COUNT);
        let operation_id = format!("experiment#{version}");
        let tree = StoredTree::first(&text, "experiment", operation_id)
            .map_err(|errors| errors.to_string())?;
        let value = StoredTree { version, ..tree }.encode().map_err(|errors| errors.to_string())?;
        let store = self.store.store();
        let entry = store.get(CONFIG_TREE).await.map_err(|error| error.to_string())?;
        let revision = entry.map_or(0, |entry| entry.revision);
        let put = store.put(CONFIG_TREE, value, revision, None).await;
        put.map(drop).map_err(|error| error.to_string())
    }

    /// Waits until all members apply at least a version; returns the time it took.
    ///
    /// Fails if a member hasn't applied it when the timeout has passed.
    pub async fn wait_version(&self, version: u64, timeout: Duration) -> Result<Duration, String> {
        let start = Instant::now();
        loop {
            let outdated = self.members.iter().filter(|member| member.current().version < version);
            let outdated = outdated.count();
            if outdated == 0 {
                return Ok(start.elapsed());
            }
            if start.elapsed() > timeout {
                return Err(format!(
                    "{outdated} processes have not applied configuration version {version}"
                ));
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }
}

/// Measures propagation time, store calls, waiting watches, processor time and heartbeat size.
///
/// Fails if a stand-in doesn't start, or a change isn't in force everywhere within the timeout.
pub async fn measure(options: &CapacityOptions) -> Result<CapacityResult, String> {
    let mut propagation = MeasuredSeries::new(
        "configuration: change in force everywhere, slowest of 5",
        "processes",
        "ms",
    );
    let mut calls =
        MeasuredSeries::new("configuration: store calls without changes", "processes", "calls/s");
    let mut watches = MeasuredSeries::new("configuration: waiting watches", "processes", "watches");
    let mut cpu = MeasuredSeries::new(
        "membership: processor time of one process",
        "processes",
        "% of a core",
    );
    for count in PROCESS_COUNTS {
        let group = MemberGroup::start(count).await?;
        group.wait_version(1, Duration::from_secs(30)).await?;
        // Waits until every member knows the schedulers of its domain, and until the watches that
        // members started before that have ended.
        tokio::time::sleep(Duration::from_secs(20)).await;
        let (meter, size) = (ProcessMeter::current_process(), count as f64);
        let (cpu_before, calls_before) = (meter.cpu_seconds(), group.store.store().stats().total());
        let start = Instant::now();
        tokio::time::sleep(options.point_duration()).await;
        let elapsed = start.elapsed().as_secs_f64();
        let cores_used = (meter.cpu_seconds() - cpu_before) / elapsed;
        cpu.push(size, cores_used * 100.0 / size);
        let call_count = group.store.store().stats().total() - calls_before;
        calls.push(size, call_count as f64 / elapsed);
        watches.push(size, group.store.store().stats().waiting_watches as f64);
        let mut slowest = Duration::ZERO;
        for version in 2..2 + CHANGE_COUNT {
            group.write_tree(version).await?;
            slowest = slowest.max(group.wait_version(version, PROPAGATION_TIMEOUT).await?);
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
        propagation.push(size, slowest.as_secs_f64() * 1e3);
        println!("  {count} processes: {slowest:?} for the slowest change");
    }
    let bytes = heartbeat_bytes()?;
    Ok(CapacityResult {
        series: vec![propagation, calls, watches, cpu, bytes],
        figures: Vec::new(),
    })
}

/// Measures the size of an encoded heartbeat by the number of failure domains.
fn heartbeat_bytes() -> Result<MeasuredSeries, String> {
    let mut bytes = MeasuredSeries::new("membership: heartbeat", "failure domains", "bytes");
    for count in [1, 2, 4, 5, 7, 14] {
        let known_scheduler = |domain: String| {
            let address = "10.101.102.103:40000".to_owned();
            (
                domain,
                KnownScheduler { epoch: 1_000, address, free_accelerators: 200, update: 100_000 },
            )
        };
        let heartbeat = Heartbeat {
            from: "om-north-a-entry-1~0123abcd".to_owned(),
            address: "10.101.102.103:40000".to_owned(),
            domain: "domain-1".to_owned(),
            role: Some(InstanceRole::Scheduler),
            config_version: 100_000,
            config_hash: u64::MAX,
            store_reached: Some(true),
            schedulers: domain_names(count).into_iter().map(known_scheduler).collect(),
            leaving: false,
        };
        let request = PeerRequest::Heartbeat(heartbeat);
        let frame = PeerFrame { traceparent: String::new(), system: "test".to_owned(), request };
        let encoded = codec::encode(&frame).map_err(|error| error.to_string())?;
        bytes.push(f64::from(count), encoded.len() as f64);
    }
    Ok(bytes)
}
