//! Liveness of processes, spreading of configuration and evidence of store outages.
//!
//! Each process exchanges heartbeats with two random processes of its failure domain every second;
//! the active scheduler of a domain also with one scheduler of every other domain of the region.
//! A heartbeat carries the version and digest of the sender's settings tree, so that a process whose
//! watch went silent finds out from its peers, and the active schedulers that the sender knows.
//! The cost for a process does not grow with their number.
//!
//! Nothing is agreed on here: the key-value service decides, and heartbeats only carry what it said.

pub mod config;
pub mod config_controller;
pub mod evidence;
pub mod handler;
pub mod heartbeat_controller;
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

use crate::config::{ConfigHolder, TreeDecoder};
use crate::evidence::{OutageEvidence, StoreContact};
use crate::peers::{PeerStatus, PeerTable};

/// Longest time that a call to a peer may take.
pub const PEER_CALL_LIMIT: Duration = Duration::from_millis(800);

/// Describes the own process to its peers.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// Name of the system; requests of processes of another system are refused.
    pub system: String,
    /// Id of the process, new after each restart.
    pub instance: InstanceId,
    /// Role of the process.
    pub role: InstanceRole,
    /// Failure domain of the process.
    pub domain: DomainName,
    /// Address on which peers reach the process, as `ip:port`.
    pub address: String,
    /// Addresses of some peers, for the first contact.
    pub peers: Vec<String>,
}

/// Answers what only a scheduler process can answer.
#[async_trait]
pub trait SchedulerHook: Send + Sync {
    /// Stops starts in a failure domain; returns whether this process is its active scheduler and
    /// no start will follow.
    async fn veto(&self, domain: &DomainName, version: ConfigVersion) -> bool;

    /// Answers a forwarded administration request with an HTTP status and JSON text.
    async fn answer(&self, domain: &DomainName, request: &str) -> (u16, String);
}

/// Gives a process its view of the other processes and of the configuration.
#[derive(Clone)]
pub struct Membership {
    inner: Arc<MembershipState>,
}

pub(crate) struct MembershipState {
    pub(crate) settings: MembershipSettings,
    pub(crate) store: Arc<dyn KeyValueService>,
    pub(crate) list: Option<Arc<dyn InstanceList>>,
    pub(crate) client: PeerClient,
    pub(crate) timer: TimerService,
    pub(crate) config: ConfigHolder,
    pub(crate) peers: Mutex<PeerTable>,
    pub(crate) contact: StoreContact,
    pub(crate) evidence: Mutex<OutageEvidence>,
    pub(crate) hook: OnceLock<Arc<dyn SchedulerHook>>,
    vetoes: watch::Sender<BTreeMap<DomainName, ConfigVersion>>,
    leaving: AtomicBool,
    settled: AtomicBool,
}

impl Membership {
    /// Creates the view of a process that knows nothing yet; [`Membership::start`] makes it live.
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
            config: ConfigHolder::new(decoder),
            peers: Mutex::new(peers),
            contact: StoreContact::default(),
            evidence: Mutex::default(),
            hook: OnceLock::new(),
            vetoes: watch::Sender::new(BTreeMap::new()),
            leaving: AtomicBool::new(false),
            settled: AtomicBool::new(false),
        };
        Self { inner: Arc::new(inner) }
    }

    /// Starts the controllers; they run until the process ends.
    pub fn start(&self) {
        heartbeat_controller::start(self.inner.clone());
        config_controller::start(self.inner.clone());
    }

    /// Sets what answers scheduler requests; a second call is ignored.
    pub fn set_hook(&self, hook: Arc<dyn SchedulerHook>) {
        let _ = self.inner.hook.set(hook);
    }

    /// Returns the handler for the peer server.
    pub fn handler(&self) -> Arc<dyn lacewingrail_wire::PeerHandler> {
        Arc::new(handler::MembershipHandler::new(self.inner.clone()))
    }

    /// Returns the settings of the own process.
    pub fn settings(&self) -> &MembershipSettings {
        &self.inner.settings
    }

    /// Returns the configuration, version 0 before the first, and its changes.
    pub fn config(&self) -> watch::Receiver<Arc<ConfigView>> {
        self.inner.config.subscribe()
    }

    /// Returns the newest configuration.
    pub fn current(&self) -> Arc<ConfigView> {
        self.inner.config.current()
    }

    /// Returns the stored settings tree as received, if any.
    pub fn payload(&self) -> Option<ConfigPayload> {
        self.inner.config.payload()
    }

    /// Takes a settings tree that this process wrote or read, and hands it to its domain.
    pub async fn publish(&self, payload: ConfigPayload) {
        config_controller::publish(&self.inner, payload).await;
    }

    /// Returns whether the process has the newest configuration it could learn of.
    pub fn ready(&self) -> bool {
        self.inner.settled.load(Ordering::Acquire) && !self.inner.leaving.load(Ordering::Acquire)
    }

    /// Returns the key-value service with which the process was made.
    pub fn store(&self) -> Arc<dyn KeyValueService> {
        self.inner.store.clone()
    }

    /// Records the outcome of a call to the key-value service that was sent at `sent`.
    pub fn record_store_call(&self, sent: Instant, reached: bool) {
        self.inner.contact.note(sent, reached);
    }

    /// Returns the time at which the newest successful call to the store was sent.
    pub fn store_contact(&self) -> Option<Instant> {
        self.inner.contact.last_success()
    }

    /// Returns the time up to which peers of all other failure domains of the region in service
    /// are known to be without the store, when none is known to reach it.
    pub fn outage_evidence(&self) -> Option<Instant> {
        let own = &self.inner.settings.domain;
        let config = self.current();
        let region = &config.domains.get(own)?.region;
        let others = config
            .domains
            .iter()
            .filter(|(name, domain)| *name != own && domain.region == *region && !domain.out)
            .map(|(name, _)| name);
        lock(&self.inner.evidence).common(others, Instant::now())
    }

    /// Returns whether operators have taken a failure domain out, as far as this process knows.
    pub fn is_out(&self, domain: &str) -> bool {
        let config = self.current();
        let vetoed =
            self.inner.vetoes.borrow().get(domain).is_some_and(|version| *version > config.version);
        vetoed || config.domains.get(domain).is_none_or(|domain| domain.out)
    }

    /// Records a direct order to stop starts in a failure domain.
    pub fn record_veto(&self, domain: &str, version: ConfigVersion) {
        self.inner.record_veto(domain, version);
    }

    /// Returns the vetoes and their changes.
    pub fn vetoes(&self) -> watch::Receiver<BTreeMap<DomainName, ConfigVersion>> {
        self.inner.vetoes.subscribe()
    }

    /// Tells peers that this process is the active scheduler of a failure domain.
    pub fn set_scheduling(&self, domain: &DomainName, epoch: Epoch, free_accelerators: u32) {
        let address = self.inner.settings.address.clone();
        lock(&self.inner.peers).set_own(domain, epoch, address, free_accelerators);
    }

    /// Tells peers that this process no longer is the active scheduler of a failure domain.
    pub fn clear_scheduling(&self, domain: &DomainName) {
        lock(&self.inner.peers).clear_own(domain);
    }

    /// Returns the active scheduler of a failure domain as far as known.
    pub fn scheduler_of(&self, domain: &str) -> Option<KnownScheduler> {
        lock(&self.inner.peers).schedulers().get(domain).cloned()
    }

    /// Returns the active schedulers of all failure domains as far as known.
    pub fn schedulers(&self) -> BTreeMap<DomainName, KnownScheduler> {
        lock(&self.inner.peers).schedulers().clone()
    }

    /// Returns the known peers.
    pub fn peers(&self) -> Vec<PeerStatus> {
        lock(&self.inner.peers).status(Instant::now())
    }

    /// Tells peers that the process is shutting down.
    pub fn set_leaving(&self) {
        self.inner.leaving.store(true, Ordering::Release);
    }

    /// Calls a peer.
    pub async fn call(
        &self,
        address: &str,
        request: PeerRequest,
        limit: Duration,
    ) -> Result<PeerResponse, WireError> {
        let traceparent = lacewingrail_telemetry::spans::traceparent(&tracing::Span::current());
        self.inner.client.call(address, traceparent, request, limit).await
    }
}

impl MembershipState {
    /// Builds the heartbeat of the own process.
    pub(crate) fn heartbeat(&self) -> Heartbeat {
        let config = self.config.current();
        Heartbeat {
            from: self.settings.instance.clone(),
            address: self.settings.address.clone(),
            domain: self.settings.domain.clone(),
            role: Some(self.settings.role),
            config_version: config.version,
            config_hash: config.hash,
            store_reached: self.contact.reached(Instant::now()),
            schedulers: lock(&self.peers).schedulers().clone(),
            leaving: self.leaving.load(Ordering::Acquire),
        }
    }

    /// Records the heartbeat of a peer; `sent` is when the evidence in it was asked for.
    pub(crate) fn learn(&self, heartbeat: &Heartbeat, sent: Instant) {
        lock(&self.peers).learn(heartbeat, Instant::now());
        if heartbeat.role == Some(InstanceRole::Scheduler) {
            lock(&self.evidence).note(heartbeat, sent);
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

    pub(crate) fn settle(&self) {
        if !self.settled.swap(true, Ordering::AcqRel) {
            log::info!("the configuration is known, version {}", self.config.current().version);
        }
    }

    pub(crate) fn is_settled(&self) -> bool {
        self.settled.load(Ordering::Acquire)
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
