//! Start and shutdown of an entry process.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use kameo::actor::ActorRef;
use lacewingrail_listener::{HttpServer, ListenerRole, ListenerSet};
use lacewingrail_membership::{Membership, MembershipSettings};
use lacewingrail_model::config::Policy;
use lacewingrail_model::instance::{InstanceList, InstanceRole};
use lacewingrail_model::invariant::{InvariantName, check};
use lacewingrail_model::store::KeyValueService;
use lacewingrail_model::timer::TimerService;
use lacewingrail_model::write_id::{WriteIdGenerator, generate_instance_id};
use lacewingrail_telemetry::MetricsRegistry;
use lacewingrail_wire::{PeerServer, WireError};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::backend::list_controller::{ListController, ReadList};
use crate::backend::pool::BackendPools;
use crate::chain::{FilterChain, RequestFilter};
use crate::claims::ledger::{ClaimLedger, ClaimPeers};
use crate::claims::shard_writer::WriterContext;
use crate::claims::writer_directory::WriterDirectory;
use crate::drain::DrainTracker;
use crate::filters::at_most_once::AtMostOnceFilter;
use crate::filters::body_limit::BodyLimitFilter;
use crate::filters::customer_limit::CustomerLimitFilter;
use crate::filters::deadline::DeadlineFilter;
use crate::filters::identity::IdentityFilter;
use crate::filters::overload_limit::OverloadLimitFilter;
use crate::filters::readiness::ReadinessFilter;
use crate::filters::route::RouteFilter;
use crate::filters::trace::TraceFilter;
use crate::metrics::EntryMetrics;
use crate::overload::ServiceLimiters;
use crate::peer_handler::EntryPeerHandler;
use crate::routing::router::RequestRouter;
use crate::server::{ServerState, build_router, http_settings, resolve_port};
use crate::settings::EntrySettings;

/// Interval between updates of the gauges from the state of the pools.
const GAUGE_REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum time for which a shutdown waits until callers have closed their idle connections.
const CONNECTION_CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Namespace of [`EntryProcess::start`], which returns the handle of a running process.
pub struct EntryProcess;

/// Handle of a running entry process; dropping it aborts all requests.
pub struct EntryHandle {
    caller_address: SocketAddr,
    peer_address: SocketAddr,
    membership: Membership,
    pools: Arc<BackendPools>,
    metrics: Arc<EntryMetrics>,
    drain_tracker: DrainTracker,
    drain_delay: Duration,
    timer: TimerService,
    stop: watch::Sender<bool>,
    server_task: JoinHandle<()>,
    gauge_task: JoinHandle<()>,
    list_controller: ActorRef<ListController>,
    _listeners: ListenerSet,
    _peer_server: PeerServer,
}

/// Cause of a failed start.
#[derive(Debug)]
pub enum StartError {
    /// The process cannot listen on an address for callers or peers.
    Listen(SocketAddr, std::io::Error),
    /// The peer server cannot listen on its address.
    Peers(WireError),
}

impl fmt::Display for StartError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(address, error) => {
                write!(
                    formatter,
                    "cannot listen on {address} ({error}); free the address or configure another"
                )
            }
            Self::Peers(error) => write!(formatter, "cannot listen for peers: {error}"),
        }
    }
}

impl std::error::Error for StartError {}

impl From<WireError> for StartError {
    fn from(error: WireError) -> Self {
        Self::Peers(error)
    }
}

impl EntryProcess {
    /// Starts an entry process and returns after the first read of the instance list. Requests are
    /// refused until the settings tree is received.
    ///
    /// # Errors
    /// Reports an address that cannot be listened on.
    pub async fn start(
        settings: EntrySettings,
        store: Arc<dyn KeyValueService>,
        list: Arc<dyn InstanceList>,
        timer: TimerService,
    ) -> Result<EntryHandle, StartError> {
        let listen_error = |error| StartError::Listen(settings.caller_address, error);
        let listener = TcpListener::bind(settings.caller_address).await.map_err(listen_error)?;
        let caller_address = listener.local_addr().map_err(listen_error)?;
        let peer_address = resolve_port(settings.peer_address)
            .map_err(|error| StartError::Listen(settings.peer_address, error))?;
        let instance = generate_instance_id(&settings.name);
        let membership_settings = MembershipSettings {
            system: settings.system.clone(),
            instance: instance.clone(),
            role: InstanceRole::Entry,
            domain: settings.domain.clone(),
            address: settings.advertised_peer_address.unwrap_or(peer_address).to_string(),
            peers: settings.peers.clone(),
        };
        let membership = Membership::new(
            membership_settings,
            store.clone(),
            Some(list.clone()),
            settings.decoder.clone(),
            timer.clone(),
        );
        let registry = MetricsRegistry::new();
        let metrics = Arc::new(EntryMetrics::new(&registry));
        let limiters = ServiceLimiters::default();
        let pools = Arc::new(BackendPools::new(settings.domain.clone(), limiters));
        let context = WriterContext {
            store,
            metrics: metrics.clone(),
            timer: timer.clone(),
            group_commit_interval: settings.group_commit_interval,
        };
        let directory = Arc::new(WriterDirectory::new(peer_address.to_string()));
        let claim_peers =
            ClaimPeers { membership: membership.clone(), directory: directory.clone() };
        let generator = WriteIdGenerator::new(instance.clone());
        let ledger = Arc::new(ClaimLedger::new(context, generator, Some(claim_peers)));
        let handler = EntryPeerHandler::new(membership.handler(), ledger.clone());
        let listeners = ListenerSet::new(settings.resources, &registry, &timer);
        let peer_listener = listeners.add("peers", ListenerRole::Peers);
        let peer_server = PeerServer::bind(peer_address, peer_listener, Arc::new(handler)).await?;
        let drain_tracker = DrainTracker::default();
        let state = ServerState {
            instance,
            chain: build_chain(&membership, &pools, &metrics, ledger),
            drain_tracker: drain_tracker.clone(),
            membership: membership.clone(),
            default_policy: Arc::new(Policy::default()),
            next_id: AtomicU64::new(1),
        };
        let router = build_router(Arc::new(state), &registry);
        membership.start();
        let list_controller =
            ListController::start(list, pools.clone(), directory, membership.clone(), &timer);
        // Waits for the first list, so that a ready process has read its backend servers.
        let _ = list_controller.ask(ReadList).await;
        let (stop, stopped) = watch::channel(false);
        let caller_listener = listeners.add("callers", ListenerRole::Clients);
        let server =
            HttpServer::new(listener, caller_listener, timer.clone(), router, http_settings());
        let server_task = tokio::spawn(server.serve(stopped));
        let gauge_task =
            tokio::spawn(refresh_gauges(pools.clone(), metrics.clone(), timer.clone()));
        log::info!("serving callers on {caller_address} and peers on {peer_address}");
        Ok(EntryHandle {
            caller_address,
            peer_address,
            membership,
            pools,
            metrics,
            drain_tracker,
            drain_delay: settings.drain_delay,
            timer,
            stop,
            server_task,
            gauge_task,
            list_controller,
            _listeners: listeners,
            _peer_server: peer_server,
        })
    }
}

impl EntryHandle {
    /// Returns the bound address for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the bound address for peers.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Returns the membership, which gives access to the peers and the settings tree.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the pools of backend servers by service.
    pub fn pools(&self) -> &Arc<BackendPools> {
        &self.pools
    }

    /// Returns the metrics that the process exports.
    pub fn metrics(&self) -> &EntryMetrics {
        &self.metrics
    }

    /// Returns whether the settings are received and the process is not leaving.
    pub fn is_ready(&self) -> bool {
        self.membership.ready() && !self.drain_tracker.is_leaving()
    }

    /// Shuts the process down gracefully, without interrupting requests.
    ///
    /// The readiness probe fails at once. New requests are served for the drain delay, until the
    /// load balancer has noticed; then the process waits for requests and outcome records in
    /// progress.
    pub async fn shut_down(mut self) {
        log::info!("draining; still serving new requests for {} ms", self.drain_delay.as_millis());
        self.drain_tracker.set_leaving();
        self.membership.set_leaving();
        self.timer.wait(self.drain_delay).await;
        let _ = self.stop.send(true);
        self.drain_tracker.wait_idle().await;
        // Idle connections are closed gracefully; those that callers keep open until the timeout
        // are aborted.
        let _ = tokio::time::timeout(CONNECTION_CLOSE_TIMEOUT, &mut self.server_task).await;
        self.drain_tracker.wait_idle().await;
        let count = self.drain_tracker.count();
        check(InvariantName::DrainCutsNone, count == 0, || format!("{count} requests are aborted"));
        log::info!("all requests have ended; shutting down");
    }
}

impl Drop for EntryHandle {
    fn drop(&mut self) {
        self.server_task.abort();
        self.gauge_task.abort();
        self.list_controller.kill();
    }
}

/// Builds the filter chain in the order that the crate documentation gives.
fn build_chain(
    membership: &Membership,
    pools: &Arc<BackendPools>,
    metrics: &Arc<EntryMetrics>,
    ledger: Arc<ClaimLedger>,
) -> FilterChain {
    let filters: Vec<Arc<dyn RequestFilter>> = vec![
        Arc::new(TraceFilter::new(metrics.clone())),
        Arc::new(IdentityFilter::new(membership.clone(), pools.clone())),
        Arc::new(ReadinessFilter::new(membership.clone())),
        Arc::new(BodyLimitFilter),
        Arc::new(DeadlineFilter),
        Arc::new(CustomerLimitFilter::default()),
        Arc::new(OverloadLimitFilter::new(pools.clone())),
        Arc::new(AtMostOnceFilter::new(ledger)),
        Arc::new(RouteFilter::new(pools.clone(), RequestRouter::new(metrics.clone()))),
    ];
    FilterChain::new(filters)
}

/// Updates the gauges of all services until the task is aborted.
async fn refresh_gauges(pools: Arc<BackendPools>, metrics: Arc<EntryMetrics>, timer: TimerService) {
    let mut ticks = timer.subscribe(GAUGE_REFRESH_INTERVAL);
    loop {
        ticks.tick().await;
        for pool in pools.all() {
            metrics.refresh(&pool);
        }
    }
}
