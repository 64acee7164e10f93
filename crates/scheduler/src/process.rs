//! A scheduler process, which can also be embedded in a larger process.
//!
//! There is no global state, so tests and the single-process demonstration can run several
//! schedulers in one process. The binary installs the logger and the span pipeline.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use axum::Router;
use kameo::actor::{ActorRef, Spawn};
use kameo::mailbox;
use lacewingrail_listener::{
    HttpProtocol, HttpServer, HttpSettings, ListenerRole, ListenerSet, PlainFormat,
};
use lacewingrail_membership::config::TreeDecoder;
use lacewingrail_membership::{Membership, MembershipSettings};
use lacewingrail_model::DomainName;
use lacewingrail_model::instance::{InstanceList, InstanceRole};
use lacewingrail_model::keys;
use lacewingrail_model::store::KeyValueService;
use lacewingrail_model::timer::TimerService;
use lacewingrail_model::worker::WorkerService;
use lacewingrail_model::write_id::{WriteIdGenerator, generate_instance_id};
use lacewingrail_settings::{ProcessSettings, StoredTree};
use lacewingrail_telemetry::MetricsRegistry;
use lacewingrail_wire::PeerServer;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinHandle};

use crate::admin_context::ProcessAdmin;
use crate::context::ProcessContext;
use crate::leadership_responder::LeadershipResponder;
use crate::lease_controller::{
    LeadershipTable, LeaseController, LeaseSettings, LeaseTick, ShutDown,
};
use crate::metrics::SchedulerMetrics;

/// Interval between renewals of a held lease and between attempts to acquire a free one.
const LEASE_TICK_INTERVAL: Duration = crate::lease::RENEW_INTERVAL;
/// Duration of one watch of the own domain's lease.
const LEASE_WATCH_DURATION: Duration = Duration::from_secs(5);
/// Delay after a failed watch, and time beyond [`LEASE_WATCH_DURATION`] after which a watch that
/// has not returned is considered stalled.
const WATCH_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Timeout for releasing all leases at shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);

/// A running scheduler process; dropping it stops it without releasing its leases, like a crash.
pub struct SchedulerProcess {
    context: Arc<ProcessContext>,
    responder: Arc<LeadershipResponder>,
    registry: MetricsRegistry,
    lease_controllers: Arc<tokio::sync::Mutex<BTreeMap<DomainName, ActorRef<LeaseController>>>>,
    peer_address: SocketAddr,
    admin_address: Option<SocketAddr>,
    tasks: Vec<AbortHandle>,
    listeners: ListenerSet,
    _server: PeerServer,
}

/// Reason why a process did not start.
#[derive(Debug)]
pub struct StartError(
    /// Cause of the failure and the setting to change.
    pub String,
);

impl std::fmt::Display for StartError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl std::error::Error for StartError {}

impl SchedulerProcess {
    /// Starts a process on the addresses of its settings.
    ///
    /// # Errors
    /// Returns an error if an address cannot be bound.
    pub async fn start(
        settings: ProcessSettings,
        store: Arc<dyn KeyValueService>,
        workers: Arc<dyn WorkerService>,
        list: Arc<dyn InstanceList>,
        timer: TimerService,
    ) -> Result<Self, StartError> {
        // The membership needs the address of the peer server, and the server needs the handler of
        // the membership.
        let relay = Arc::new(HandlerRelay::default());
        let registry = MetricsRegistry::new();
        let listeners = ListenerSet::new(settings.resources, &registry, &timer);
        let peer_listener = listeners.add("peers", ListenerRole::Peers);
        let server = PeerServer::bind(settings.listen.peers, peer_listener, relay.clone()).await;
        let server = server.map_err(|error| {
            StartError(format!("cannot listen for peers: {error}; change listen.peers"))
        })?;
        let address = settings.listen.advertise.unwrap_or(server.address());
        let membership = Membership::new(
            MembershipSettings {
                system: settings.system.clone(),
                instance: generate_instance_id(&settings.name),
                role: InstanceRole::Scheduler,
                domain: settings.domain.clone(),
                address: address.to_string(),
                peers: settings.peers.iter().map(SocketAddr::to_string).collect(),
            },
            store.clone(),
            Some(list.clone()),
            tree_decoder(),
            timer.clone(),
        );
        let _ = relay.0.set(membership.handler());
        let context = Arc::new(ProcessContext {
            membership: membership.clone(),
            store,
            workers,
            list,
            timer,
            metrics: SchedulerMetrics::new(&registry),
            started: Instant::now(),
        });
        let table = LeadershipTable::default();
        let responder = Arc::new(LeadershipResponder { context: context.clone(), table });
        membership.set_hook(responder.clone());
        membership.start();
        let lease_controllers = Arc::default();
        let mut process = Self {
            context,
            responder,
            registry,
            lease_controllers,
            peer_address: server.address(),
            admin_address: None,
            tasks: Vec::new(),
            listeners,
            _server: server,
        };
        process.spawn_lease_controllers();
        if let Some(address) = settings.listen.admin {
            process.serve_admin(address).await?;
        }
        Ok(process)
    }

    /// Returns the address on which peers reach the process.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Returns the address of the administration API; `None` if the settings disable it.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.admin_address
    }

    /// Returns this process's view of its peers and of the configuration.
    pub fn membership(&self) -> &Membership {
        &self.context.membership
    }

    /// Returns the registry with all metrics of the process.
    pub fn registry(&self) -> &MetricsRegistry {
        &self.registry
    }

    /// Returns the metrics that the controllers update.
    pub fn metrics(&self) -> &SchedulerMetrics {
        &self.context.metrics
    }

    /// Returns the domains that this process schedules, with their epochs.
    pub fn leaderships(&self) -> BTreeMap<DomainName, u64> {
        let table = self.responder.table.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        table.iter().map(|(domain, entry)| (domain.clone(), entry.epoch)).collect()
    }

    /// Returns the administration API's context of this process.
    pub fn admin(&self) -> Arc<ProcessAdmin> {
        let instance = &self.context.membership.settings().instance;
        Arc::new(ProcessAdmin {
            context: self.context.clone(),
            responder: self.responder.clone(),
            write_id_generator: WriteIdGenerator::new(format!(
                "{instance}/admin-{:08x}",
                rand::random::<u32>()
            )),
        })
    }

    /// Releases all leases, so that successors do not wait for their expiry, and stops the process.
    pub async fn shut_down(self) {
        self.context.membership.set_leaving();
        let lease_controllers: Vec<_> =
            self.lease_controllers.lock().await.values().cloned().collect();
        let shutdowns =
            lease_controllers.iter().map(|controller| async { controller.ask(ShutDown).await });
        let _ = tokio::time::timeout(SHUTDOWN_TIMEOUT, futures::future::join_all(shutdowns)).await;
    }

    /// Runs one lease controller for each domain of the process's region, including domains added
    /// later.
    fn spawn_lease_controllers(&mut self) {
        let (context, table) = (self.context.clone(), self.responder.table.clone());
        let lease_controllers = self.lease_controllers.clone();
        let generator =
            Arc::new(WriteIdGenerator::new(context.membership.settings().instance.clone()));
        let mut config = context.membership.config();
        self.track_task(tokio::spawn(async move {
            loop {
                let view = config.borrow_and_update().clone();
                let own_domain = &context.membership.settings().domain;
                let region = view.domains.get(own_domain).map(|domain| domain.region.clone());
                let domains = view
                    .domains
                    .iter()
                    .filter(|(_, domain)| Some(&domain.region) == region.as_ref());
                for (domain, _) in domains {
                    let mut lease_controllers = lease_controllers.lock().await;
                    if lease_controllers.contains_key(domain) {
                        continue;
                    }
                    let settings = LeaseSettings {
                        context: context.clone(),
                        domain: domain.clone(),
                        write_id_generator: generator.clone(),
                        table: table.clone(),
                    };
                    let controller =
                        LeaseController::spawn_with_mailbox(settings, mailbox::unbounded());
                    lease_controllers.insert(domain.clone(), controller.clone());
                    tokio::spawn(send_lease_ticks(context.clone(), controller.clone()));
                    if domain == own_domain {
                        tokio::spawn(watch_lease(context.clone(), domain.clone(), controller));
                    }
                }
                if config.changed().await.is_err() {
                    return;
                }
            }
        }));
    }

    async fn serve_admin(&mut self, address: SocketAddr) -> Result<(), StartError> {
        let failed = |error: std::io::Error| {
            StartError(format!("cannot listen on {address}: {error}; change listen.admin"))
        };
        let listener = TcpListener::bind(address).await.map_err(failed)?;
        self.admin_address = Some(listener.local_addr().map_err(failed)?);
        let router: Router = lacewingrail_admin::router(self.admin(), self.registry.router());
        let state = self.listeners.add("administration", ListenerRole::Clients);
        let settings = HttpSettings {
            protocol: HttpProtocol::Http1,
            max_body_bytes: Some(lacewingrail_admin::MAX_TREE_BODY_BYTES),
            format: Arc::new(PlainFormat),
        };
        let timer = self.context.timer.clone();
        let server = HttpServer::new(listener, state, timer, router, settings);
        let (stop, stopped) = watch::channel(false);
        self.track_task(tokio::spawn(async move {
            // The server runs until the process is dropped.
            let _stop = stop;
            server.serve(stopped).await;
        }));
        Ok(())
    }

    fn track_task(&mut self, task: JoinHandle<()>) {
        self.tasks.push(task.abort_handle());
    }
}

impl Drop for SchedulerProcess {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
        if let Ok(lease_controllers) = self.lease_controllers.try_lock() {
            lease_controllers.values().for_each(ActorRef::kill);
        }
    }
}

/// Forwards peer requests to the membership's handler once it exists.
#[derive(Default)]
struct HandlerRelay(std::sync::OnceLock<Arc<dyn lacewingrail_wire::PeerHandler>>);

#[async_trait::async_trait]
impl lacewingrail_wire::PeerHandler for HandlerRelay {
    async fn handle(
        &self,
        frame: lacewingrail_model::message::PeerFrame,
    ) -> lacewingrail_model::message::PeerResponse {
        match self.0.get() {
            Some(handler) => handler.handle(frame).await,
            None => lacewingrail_model::message::PeerResponse::Refused {
                reason: "the process is starting; try again".to_owned(),
            },
        }
    }
}

/// Returns the decoder of stored settings trees.
pub fn tree_decoder() -> TreeDecoder {
    Arc::new(|text| {
        let stored = StoredTree::decode(text).map_err(|error| error.to_string())?;
        stored.view().map_err(|error| error.to_string())
    })
}

async fn send_lease_ticks(context: Arc<ProcessContext>, controller: ActorRef<LeaseController>) {
    let mut ticks = context.timer.subscribe_jittered(LEASE_TICK_INTERVAL);
    loop {
        ticks.tick().await;
        if controller.tell(LeaseTick).try_send().is_err() {
            return;
        }
    }
}

/// Triggers the lease controller as soon as the lease of its domain is released.
async fn watch_lease(
    context: Arc<ProcessContext>,
    domain: DomainName,
    controller: ActorRef<LeaseController>,
) {
    let key = keys::scheduler_lease(&domain);
    let mut revision = 0;
    while controller.is_alive() {
        let call = context.store.watch(&key, revision, LEASE_WATCH_DURATION);
        match tokio::time::timeout(LEASE_WATCH_DURATION + WATCH_RETRY_DELAY, call).await {
            Ok(Ok(batch)) => {
                revision = batch.revision;
                let released = batch.events.iter().any(|event| event.value.is_none());
                if released && controller.tell(LeaseTick).try_send().is_err() {
                    return;
                }
            }
            Ok(Err(_)) => context.timer.wait(WATCH_RETRY_DELAY).await,
            Err(_) => log::warn!("the watch of {key} stalled; starting a new one"),
        }
    }
}
