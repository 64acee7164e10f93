//! Liveness of processes, distribution of configuration and detection of store outages.
//!
//! Each process exchanges heartbeats with two random processes of its failure domain every second;
//! an active scheduler also with up to two schedulers of every other domain of the region. A
//! heartbeat carries the version and digest of the sender's settings tree, so that a process whose
//! watch has stalled notices a newer tree, and the active schedulers that the sender knows. The
//! number of heartbeats that a process sends does not grow with the number of processes in its
//! domain.
//!
//! This is not a consensus protocol: the key-value service is authoritative, and heartbeats only pass
//! on what processes have read from it.

pub mod config;
pub mod config_controller;
pub mod handler;
pub mod heartbeat_controller;
pub mod outage_detector;
pub mod peers;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use async_trait::async_trait;
use lacewingrail_model::config::ConfigView;
use lacewingrail_model::instance::{InstanceList, InstanceRole};
use lacewingrail_model::message::{
    ConfigPayload, Heartbeat, KnownScheduler, PeerRequest, PeerResponse,
};
use lacewingrail_model::store::KeyValueService;
use lacewingrail_model::timer::TimerService;
use lacewingrail_model::{ConfigVersion, DomainName, Epoch, InstanceId};
use lacewingrail_wire::{PeerClient, WireError};
use tokio::sync::watch;

use crate::config::{ActiveConfig, TreeDecoder};
use crate::outage_detector::{OutageDetector, StoreReachability};
use crate::peers::{PeerStatus, PeerTable};

/// Timeout of heartbeats, configuration pushes and reads of the instance list.
pub const PEER_CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Identity and addresses of this process.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// Name of the system; requests from processes of another system are refused.
    pub system: String,
    /// Id of the process, different after each restart.
    pub instance: InstanceId,
    /// Role of the process, sent in its heartbeats; only schedulers watch the settings tree.
    pub role: InstanceRole,
    /// Failure domain of the process, whose peers it exchanges heartbeats with.
    pub domain: DomainName,
    /// Address on which peers reach the process, as `ip:port`.
    pub address: String,
    /// Configured peer addresses as `ip:port`, called until other peers are known.
    pub peers: Vec<String>,
}

/// Handles the peer requests that only a scheduler process can answer.
#[async_trait]
pub trait SchedulerHook: Send + Sync {
    /// Stops task starts in a failure domain that settings `version` takes out of service.
    ///
    /// Returns whether this process is the active scheduler of the domain, so that no start follows.
    async fn veto(&self, domain: &DomainName, version: ConfigVersion) -> bool;

    /// Answers a forwarded administration request, JSON text, with an HTTP status and JSON text.
    async fn handle_admin_request(&self, domain: &DomainName, request: &str) -> (u16, String);
}

/// View of the other processes and of the configuration; clones share the same state.
#[derive(Clone)]
pub struct Membership {
    inner: Arc<MembershipState>,
}

pub(crate) struct MembershipState {
    pub(crate) settings: MembershipSettings,
    pub(crate) store: Arc<dyn KeyValueService>,
    /// The platform's instance list; `None` if peers are only configured or learned from heartbeats.
    pub(crate) list: Option<Arc<dyn InstanceList>>,
    pub(crate) client: PeerClient,
    pub(crate) timer: TimerService,
    pub(crate) config: ActiveConfig,
    pub(crate) peers: Mutex<PeerTable>,
    pub(crate) reachability: StoreReachability,
    pub(crate) outage_detector: Mutex<OutageDetector>,
    /// Handler of scheduler requests; unset in a process that runs no scheduler.
    pub(crate) hook: OnceLock<Arc<dyn SchedulerHook>>,
    /// Highest vetoed settings version of each failure domain.
    vetoes: watch::Sender<BTreeMap<DomainName, ConfigVersion>>,
    leaving: AtomicBool,
    /// Whether a configuration has been in force since the process started.
    synced: AtomicBool,
}

impl Membership {
    /// Creates the membership of a process; it sends nothing before [`Membership::start`].
    ///
    /// Without a `list` the process learns of peers only from its settings and from heartbeats.
    pub fn new(
        settings: MembershipSettings,
        store: Arc<dyn KeyValueService>,
        list: Option<Arc<dyn InstanceList>>,
        decoder: TreeDecoder,
        timer: TimerService,
    ) -> Self {
        let peers = PeerTable::new(&settings.address, &settings.peers);
        let client = PeerClient::new().with_system(&settings.system);
        let inner = MembershipState {
            settings,
            store,
            list,
            client,
            timer,
            config: ActiveConfig::new(decoder),
            peers: Mutex::new(peers),
            reachability: StoreReachability::default(),
            outage_detector: Mutex::default(),
            hook: OnceLock::new(),
            vetoes: watch::Sender::new(BTreeMap::new()),
            leaving: AtomicBool::new(false),
            synced: AtomicBool::new(false),
        };
        Self { inner: Arc::new(inner) }
    }

    /// Spawns the heartbeat and configuration controllers, which run until the process ends.
    pub fn start(&self) {
        heartbeat_controller::start(self.inner.clone());
        config_controller::start(self.inner.clone());
    }

    /// Sets the handler of scheduler requests; a second call is ignored.
    pub fn set_hook(&self, hook: Arc<dyn SchedulerHook>) {
        let _ = self.inner.hook.set(hook);
    }

    /// Returns the handler of peer requests, to be passed to the peer server.
    pub fn handler(&self) -> Arc<dyn lacewingrail_wire::PeerHandler> {
        Arc::new(handler::MembershipHandler::new(self.inner.clone()))
    }

    /// Returns the identity and addresses that the membership was created with.
    pub fn settings(&self) -> &MembershipSettings {
        &self.inner.settings
    }

    /// Returns a receiver of the configuration, version 0 before the first, and of its changes.
    pub fn config(&self) -> watch::Receiver<Arc<ConfigView>> {
        self.inner.config.subscribe()
    }

    /// Returns the configuration in force; version 0 before the first.
    pub fn current(&self) -> Arc<ConfigView> {
        self.inner.config.current()
    }

    /// Returns the stored form of the settings tree in force, or `None` before the first.
    pub fn payload(&self) -> Option<ConfigPayload> {
        self.inner.config.payload()
    }

    /// Puts a settings tree in force if it is newer, and pushes it to the processes of the domain.
    pub async fn publish(&self, payload: ConfigPayload) {
        config_controller::publish(&self.inner, payload).await;
    }

    /// Returns whether the process has received a configuration since its start and is not shutting
    /// down.
    pub fn ready(&self) -> bool {
        self.inner.synced.load(Ordering::Acquire) && !self.inner.leaving.load(Ordering::Acquire)
    }

    /// Returns the key-value service that the membership reads the settings tree from.
    pub fn store(&self) -> Arc<dyn KeyValueService> {
        self.inner.store.clone()
    }

    /// Records the outcome of a call to the key-value service that was sent at `sent`.
    pub fn record_store_call(&self, sent: Instant, reached: bool) {
        self.inner.reachability.record(sent, reached);
    }

    /// Returns the send time of the newest successful call to the store, or `None` before the first.
    pub fn last_store_success(&self) -> Option<Instant> {
        self.inner.reachability.last_success()
    }

    /// Returns the time of the oldest report needed to conclude that the store is down.
    ///
    /// Reports come from schedulers of all other failure domains of the region that are in service.
    /// Returns `None` while a scheduler reaches the store, a report is missing, or there is no other
    /// domain.
    pub fn oldest_outage_report(&self) -> Option<Instant> {
        let own = &self.inner.settings.domain;
        let config = self.current();
        let region = &config.domains.get(own)?.region;
        let others = config
            .domains
            .iter()
            .filter(|(name, domain)| *name != own && domain.region == *region && !domain.out)
            .map(|(name, _)| name);
        lock(&self.inner.outage_detector).oldest_outage_report(others, Instant::now())
    }

    /// Returns whether the settings tree or a veto of a newer version takes a failure domain out of
    /// service.
    ///
    /// A domain that is not in the tree counts as out of service.
    pub fn is_out(&self, domain: &str) -> bool {
        let config = self.current();
        let vetoed =
            self.inner.vetoes.borrow().get(domain).is_some_and(|version| *version > config.version);
        vetoed || config.domains.get(domain).is_none_or(|domain| domain.out)
    }

    /// Records a veto: settings `version` takes the failure domain out of service, so no task may
    /// start there.
    ///
    /// The veto holds until a tree of that version or a newer one is in force here.
    pub fn record_veto(&self, domain: &str, version: ConfigVersion) {
        self.inner.record_veto(domain, version);
    }

    /// Returns a receiver of the highest vetoed settings version of each failure domain.
    pub fn vetoes(&self) -> watch::Receiver<BTreeMap<DomainName, ConfigVersion>> {
        self.inner.vetoes.subscribe()
    }

    /// Announces this process in heartbeats as the active scheduler of a failure domain.
    pub fn set_own_scheduler(&self, domain: &DomainName, epoch: Epoch, free_accelerators: u32) {
        let address = self.inner.settings.address.clone();
        lock(&self.inner.peers).set_own_scheduler(domain, epoch, address, free_accelerators);
    }

    /// Stops announcing this process in heartbeats as the active scheduler of a failure domain.
    pub fn clear_own_scheduler(&self, domain: &DomainName) {
        lock(&self.inner.peers).clear_own_scheduler(domain);
    }

    /// Returns the newest known active scheduler of a failure domain.
    pub fn scheduler_of(&self, domain: &str) -> Option<KnownScheduler> {
        lock(&self.inner.peers).schedulers().get(domain).cloned()
    }

    /// Returns the newest known active scheduler of each failure domain.
    pub fn schedulers(&self) -> BTreeMap<DomainName, KnownScheduler> {
        lock(&self.inner.peers).schedulers().clone()
    }

    /// Returns the state of all known peers, for the administration API.
    pub fn peers(&self) -> Vec<PeerStatus> {
        lock(&self.inner.peers).status(Instant::now())
    }

    /// Announces in heartbeats that the process is shutting down; [`Membership::ready`] then returns
    /// false.
    pub fn set_leaving(&self) {
        self.inner.leaving.store(true, Ordering::Release);
    }

    /// Sends a request to the peer at `ip:port` within the trace of the current span.
    ///
    /// Fails when the complete response does not arrive within `timeout`; see [`PeerClient::call`].
    pub async fn call(
        &self,
        address: &str,
        request: PeerRequest,
        timeout: Duration,
    ) -> Result<PeerResponse, WireError> {
        let traceparent = lacewingrail_telemetry::spans::traceparent(&tracing::Span::current());
        self.inner.client.call(address, traceparent, request, timeout).await
    }
}

impl MembershipState {
    /// Builds the heartbeat of this process from its current state.
    pub(crate) fn heartbeat(&self) -> Heartbeat {
        let config = self.config.current();
        Heartbeat {
            from: self.settings.instance.clone(),
            address: self.settings.address.clone(),
            domain: self.settings.domain.clone(),
            role: Some(self.settings.role),
            config_version: config.version,
            config_hash: config.hash,
            store_reached: self.reachability.reached(Instant::now()),
            schedulers: lock(&self.peers).schedulers().clone(),
            leaving: self.leaving.load(Ordering::Acquire),
        }
    }

    /// Records the heartbeat of a peer that was requested at `sent`.
    pub(crate) fn record_heartbeat(&self, heartbeat: &Heartbeat, sent: Instant) {
        lock(&self.peers).record_heartbeat(heartbeat, Instant::now());
        if heartbeat.role == Some(InstanceRole::Scheduler) {
            lock(&self.outage_detector).record(heartbeat, sent);
        }
    }

    pub(crate) fn record_veto(&self, domain: &str, version: ConfigVersion) {
        self.vetoes.send_if_modified(|vetoes| {
            let known = vetoes.entry(domain.to_owned()).or_insert(0);
            let raised = version > *known;
            *known = version.max(*known);
            raised
        });
    }

    pub(crate) fn mark_synced(&self) {
        if !self.synced.swap(true, Ordering::AcqRel) {
            log::info!(
                "the first configuration is in force, version {}",
                self.config.current().version
            );
        }
    }

    pub(crate) fn is_synced(&self) -> bool {
        self.synced.load(Ordering::Acquire)
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
