//! An entry process: everything that runs between its start and its shutdown.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use kameo::actor::ActorRef;
use lacewingrail_membership::{Membership, MembershipSettings};
use lacewingrail_model::config::Policy;
use lacewingrail_model::instance::{InstanceList, InstanceRole};
use lacewingrail_model::invariant::{InvariantName, check};
use lacewingrail_model::mark::{MarkIssuer, fresh_instance};
use lacewingrail_model::store::KeyValueService;
use lacewingrail_model::timer::TimerService;
use lacewingrail_telemetry::MetricsRegistry;
use lacewingrail_wire::{PeerServer, WireError};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::backend::list_controller::{ListController, ReadList};
use crate::backend::pool::BackendPools;
use crate::chain::{NextFilter, RequestFilter};
use crate::claims::home::HomeDirectory;
use crate::claims::ledger::{ClaimLedger, ClaimPeers};
use crate::claims::shard_writer::WriterContext;
use crate::drain::DrainGate;
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
use crate::overload::OverloadLimits;
use crate::peer_handler::EntryPeerHandler;
use crate::routing::router::RequestRouter;
use crate::server::{ServerState, build_router, resolve_port, serve};
use crate::settings::EntrySettings;

/// Time between updates of the gauges.
const GAUGE_PERIOD: Duration = Duration::from_secs(1);
/// Longest time for which a shutdown waits for connections of callers that stay open without a
/// request.
const CONNECTION_WAIT: Duration = Duration::from_secs(2);

/// Starts entry processes.
pub struct EntryProcess;

/// Keeps an entry process running; dropping it cuts everything.
pub struct EntryHandle {
    caller_address: SocketAddr,
    peer_address: SocketAddr,
    membership: Membership,
    pools: Arc<BackendPools>,
    metrics: Arc<EntryMetrics>,
    gate: DrainGate,
    drain_lag: Duration,
    timer: TimerService,
    stop: watch::Sender<bool>,
    server: JoinHandle<()>,
    gauges: JoinHandle<()>,
    list: ActorRef<ListController>,
    _peers: PeerServer,
}

/// States why an entry process did not start.
#[derive(Debug)]
pub enum StartError {
    /// An address cannot be listened on.
    Listen(SocketAddr, std::io::Error),
    /// The address for peers cannot be listened on.
    Peers(WireError),
}

impl fmt::Display for StartError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(address, error) => {
                write!(formatter, "cannot listen on {address} ({error}); free it or set another")
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
    /// Starts an entry process; it serves once its membership knows the settings tree.
    pub async fn start(
        settings: EntrySettings,
        store: Arc<dyn KeyValueService>,
        list: Arc<dyn InstanceList>,
        timer: TimerService,
    ) -> Result<EntryHandle, StartError> {
        let listen = |error| StartError::Listen(settings.caller_address, error);
        let listener = TcpListener::bind(settings.caller_address).await.map_err(listen)?;
        let caller_address = listener.local_addr().map_err(listen)?;
        let peer_address = resolve_port(settings.peer_address)
            .map_err(|error| StartError::Listen(settings.peer_address, error))?;
        let instance = fresh_instance(&settings.name);
        let member = MembershipSettings {
            system: settings.system.clone(),
            instance: instance.clone(),
            role: InstanceRole::Entry,
            domain: settings.domain.clone(),
            address: settings.advertise.unwrap_or(peer_address).to_string(),
            peers: settings.peers.clone(),
        };
        let membership = Membership::new(
            member,
            store.clone(),
            Some(list.clone()),
            settings.decoder.clone(),
            timer.clone(),
        );
        let registry = MetricsRegistry::new();
        let metrics = Arc::new(EntryMetrics::new(&registry));
        let limits = OverloadLimits::default();
        let pools = Arc::new(BackendPools::new(settings.domain.clone(), limits));
        let context = WriterContext {
            store,
            metrics: metrics.clone(),
            timer: timer.clone(),
            group: settings.claim_group,
        };
        let homes = Arc::new(HomeDirectory::new(peer_address.to_string()));
        let claim_peers = ClaimPeers { membership: membership.clone(), homes: homes.clone() };
        let issuer = MarkIssuer::new(instance.clone());
        let ledger = Arc::new(ClaimLedger::new(context, issuer, Some(claim_peers)));
        let handler = EntryPeerHandler::new(membership.handler(), ledger.clone());
        let peers = PeerServer::bind(peer_address, Arc::new(handler)).await?;
        let gate = DrainGate::default();
        let state = ServerState {
            instance,
            chain: build_chain(&membership, &pools, &metrics, ledger),
            gate: gate.clone(),
            membership: membership.clone(),
            default_policy: Arc::new(Policy::default()),
            next_id: AtomicU64::new(1),
        };
        let router = build_router(Arc::new(state), &registry);
        membership.start();
        let list = ListController::start(list, pools.clone(), homes, membership.clone(), &timer);
        // The first list is awaited, so that a process that says it is ready knows its backends.
        let _ = list.ask(ReadList).await;
        let (stop, stopped) = watch::channel(false);
        let server = tokio::spawn(serve(listener, router, stopped));
        let gauges = tokio::spawn(refresh_gauges(pools.clone(), metrics.clone(), timer.clone()));
        log::info!("serving callers on {caller_address} and peers on {peer_address}");
        Ok(EntryHandle {
            caller_address,
            peer_address,
            membership,
            pools,
            metrics,
            gate,
            drain_lag: settings.drain_lag,
            timer,
            stop,
            server,
            gauges,
            list,
            _peers: peers,
        })
    }
}

impl EntryHandle {
    /// Returns the address for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the address for peers.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Returns the view of the other processes.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the backend servers.
    pub fn pools(&self) -> &Arc<BackendPools> {
        &self.pools
    }

    /// Returns the metrics.
    pub fn metrics(&self) -> &EntryMetrics {
        &self.metrics
    }

    /// Returns whether the process serves and is not leaving.
    pub fn is_ready(&self) -> bool {
        self.membership.ready() && !self.gate.is_leaving()
    }

    /// Ends the process without interrupting a request in progress.
    ///
    /// Readiness fails at once. New requests are served until the load balancer has noticed; then
    /// the process waits for the requests and records in progress.
    pub async fn shut_down(mut self) {
        log::info!("leaving; new requests are served for {} ms", self.drain_lag.as_millis());
        self.gate.leave();
        self.membership.set_leaving();
        self.timer.wait(self.drain_lag).await;
        let _ = self.stop.send(true);
        self.gate.wait_idle().await;
        // Connections without a request end by themselves; a caller that keeps one open is cut.
        let _ = tokio::time::timeout(CONNECTION_WAIT, &mut self.server).await;
        self.gate.wait_idle().await;
        let count = self.gate.count();
        check(InvariantName::DrainCutsNone, count == 0, || format!("{count} requests are cut"));
        log::info!("all requests have ended");
    }
}

impl Drop for EntryHandle {
    fn drop(&mut self) {
        self.server.abort();
        self.gauges.abort();
        self.list.kill();
    }
}

fn build_chain(
    membership: &Membership,
    pools: &Arc<BackendPools>,
    metrics: &Arc<EntryMetrics>,
    ledger: Arc<ClaimLedger>,
) -> NextFilter {
    let filters: Vec<Arc<dyn RequestFilter>> = vec![
        Arc::new(TraceFilter::new(metrics.clone())),
        Arc::new(IdentityFilter::new(membership.clone(), pools.clone())),
        Arc::new(ReadinessFilter::new(membership.clone())),
        Arc::new(BodyLimitFilter::new()),
        Arc::new(DeadlineFilter),
        Arc::new(CustomerLimitFilter::default()),
        Arc::new(OverloadLimitFilter::new(pools.clone())),
        Arc::new(AtMostOnceFilter::new(ledger)),
        Arc::new(RouteFilter::new(pools.clone(), RequestRouter::new(metrics.clone()))),
    ];
    NextFilter::chain(filters)
}

async fn refresh_gauges(pools: Arc<BackendPools>, metrics: Arc<EntryMetrics>, timer: TimerService) {
    let mut ticks = timer.subscribe(GAUGE_PERIOD);
    loop {
        ticks.tick().await;
        for pool in pools.all() {
            metrics.refresh(&pool);
        }
    }
}
