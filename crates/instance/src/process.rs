//! Startup, readiness and shutdown of the instance process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use lacewingrail_listener::{ListenerRole, ListenerSet};
use lacewingrail_model::ProcessResources;
use lacewingrail_model::store::BatchStore;
use lacewingrail_model::timer::TimerService;
use lacewingrail_wire::{PeerClient, PeerServer, WireError};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::client_api::ClientApi;
use crate::leader_client::LeaderClient;
use crate::leadership::{LeadershipController, LeadershipView, WATCH_TIMEOUT};
use crate::metrics::InstanceMetrics;
use crate::peer::InstancePeerHandler;
use crate::platform::{FleetDirectory, OperatorState, WorkerService};
use crate::store_health::MonitoredStore;

/// Delay before reading the operators' settings again after an error.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Time for which an ended job is stored beyond the time in which clients may query it.
const ENDED_RETENTION_MARGIN: Duration = Duration::from_secs(10);

/// Settings of one process, fixed at its start.
#[derive(Clone, Debug)]
pub struct InstanceSettings {
    /// Name of the instance, as logs and the leader record show it.
    pub name: String,
    /// Name of the deployment; calls of peers with another name are refused.
    pub system: String,
    /// Address on which other instances reach this one.
    pub peer_address: SocketAddr,
    /// Resources of the process, which bound what clients and peers may use.
    pub resources: ProcessResources,
    /// Share of a standard core that the process may use; a small one delays its candidacy.
    pub processor_share: f64,
    /// Maximum duration of a lease that workers grant.
    pub max_worker_lease: Duration,
    /// Time after its sending within which a worker carries out an order that it leaves unanswered.
    pub max_order_delay: Duration,
    /// Maximum time for which a worker delays its answer to a renewal until a run ends.
    pub report_poll_timeout: Duration,
    /// Time for which clients may query a job after it has ended.
    pub ended_retention: Duration,
    /// Largest record that the key-value service stores, in bytes.
    pub max_record_bytes: usize,
}

impl InstanceSettings {
    /// Returns the time for which ended jobs, and cancellations without a job, are stored.
    pub fn stored_retention(&self) -> Duration {
        self.ended_retention + ENDED_RETENTION_MARGIN
    }
}

/// State that all tasks of the process share.
pub struct InstanceContext {
    /// Settings of this process.
    pub settings: InstanceSettings,
    /// Client of the key-value service, monitored by `health`.
    pub store: Arc<dyn BatchStore>,
    /// The same client, for the detection of outages.
    pub health: Arc<MonitoredStore>,
    /// Client of workers and adviser.
    pub workers: Arc<dyn WorkerService>,
    /// Reader of the entries of operators and workers.
    pub directory: Arc<dyn FleetDirectory>,
    /// Source of ticks and delays.
    pub timer: TimerService,
    /// Metrics of this process.
    pub metrics: InstanceMetrics,
    /// Newest operator state; the default value until the first read succeeds.
    pub operator_state: watch::Receiver<OperatorState>,
    draining: AtomicBool,
}

impl InstanceContext {
    /// Returns whether the process is shutting down.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }
}

/// A running instance process; dropping it aborts its tasks.
pub struct InstanceProcess {
    context: Arc<InstanceContext>,
    client_api: ClientApi,
    leader: LeaderClient,
    leadership: watch::Receiver<LeadershipView>,
    listeners: ListenerSet,
    _peer_server: PeerServer,
    tasks: Vec<JoinHandle<()>>,
}

impl InstanceProcess {
    /// Starts all tasks; fails if the peer address can't be bound.
    pub async fn start(
        settings: InstanceSettings,
        store: Arc<dyn BatchStore>,
        workers: Arc<dyn WorkerService>,
        directory: Arc<dyn FleetDirectory>,
        timer: TimerService,
    ) -> Result<Self, WireError> {
        let (operator_sender, operator_state) = watch::channel(OperatorState::default());
        let health = Arc::new(MonitoredStore::new(store));
        let context = Arc::new(InstanceContext {
            settings,
            store: health.clone(),
            health,
            workers,
            directory,
            timer,
            metrics: InstanceMetrics::new(),
            operator_state,
            draining: AtomicBool::new(false),
        });
        let (view, leadership) = watch::channel(LeadershipView::default());
        let system = context.settings.system.clone();
        let peers = PeerClient::new().with_system(&system);
        let own_address = context.settings.peer_address.to_string();
        let leader =
            LeaderClient::new(leadership.clone(), own_address, peers, context.timer.clone());
        let client_api = ClientApi::new(context.clone(), leadership.clone(), leader.clone());
        let handler = Arc::new(InstancePeerHandler::new(client_api.clone(), &system));
        let resources = context.settings.resources;
        let listeners = ListenerSet::new(resources, &context.metrics.registry, &context.timer);
        let peer_listener = listeners.add("peers", ListenerRole::Peers);
        let address = context.settings.peer_address;
        let server = PeerServer::bind(address, peer_listener, handler).await?;
        let tasks = vec![
            tokio::spawn(watch_operator_state(context.clone(), operator_sender)),
            tokio::spawn(LeadershipController::new(context.clone(), view).run()),
            tokio::spawn(context.health.clone().probe(context.timer.clone())),
        ];
        Ok(Self { context, client_api, leader, leadership, listeners, _peer_server: server, tasks })
    }

    /// Returns the handler of client calls.
    pub fn client_api(&self) -> &ClientApi {
        &self.client_api
    }

    /// Returns the listeners of this process, to which those for clients are added.
    pub fn listeners(&self) -> &ListenerSet {
        &self.listeners
    }

    /// Returns the metrics of this process.
    pub fn metrics(&self) -> &InstanceMetrics {
        &self.context.metrics
    }

    /// Returns a readiness check.
    ///
    /// The process is ready once it has settings and while it reaches the key-value service or
    /// another instance that is the active scheduler. A process that reaches neither can serve no
    /// client, whereas instances on the other side of a partition may.
    pub fn readiness(&self) -> impl Fn() -> bool + Clone + Send + Sync + 'static + use<> {
        let (context, leader) = (self.context.clone(), self.leader.clone());
        let leadership = self.leadership.clone();
        move || {
            let is_leader = leadership.borrow().local_scheduler.is_some();
            let can_serve =
                context.health.outage().is_none() || (!is_leader && leader.is_available());
            can_serve && !context.is_draining() && context.operator_state.borrow().tree.is_some()
        }
    }

    /// Returns whether this process is the active scheduler.
    pub fn is_leader(&self) -> bool {
        self.leadership.borrow().local_scheduler.is_some()
    }

    /// Makes the readiness check fail and releases the leadership.
    pub fn drain(&self) {
        self.context.draining.store(true, Ordering::Relaxed);
    }
}

impl Drop for InstanceProcess {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// Watches the operator state and publishes every change.
async fn watch_operator_state(context: Arc<InstanceContext>, sender: watch::Sender<OperatorState>) {
    let mut reached = true;
    loop {
        let known = sender.borrow().clone();
        let newest = context.directory.operator_state(&known, WATCH_TIMEOUT).await;
        if reached != newest.is_ok() {
            reached = newest.is_ok();
            log::info!(
                reached = reached, revision = known.revision;
                "operators' settings lost or regained"
            );
        }
        match newest {
            Ok(state) => apply_operator_state(&context, &sender, &known, state),
            Err(error) => {
                log::debug!(error = error.to_string(); "cannot read the operators' settings");
                context.timer.wait(RETRY_DELAY).await;
            }
        }
    }
}

/// Publishes a state, in which settings older than those in force are replaced by the latter.
fn apply_operator_state(
    context: &InstanceContext,
    sender: &watch::Sender<OperatorState>,
    known: &OperatorState,
    mut state: OperatorState,
) {
    let version = |state: &OperatorState| state.tree.as_ref().map_or(0, |tree| tree.version);
    if version(&state) < version(known) {
        log::error!(
            known = version(known), read = version(&state);
            "ignoring settings older than the version in force"
        );
        state.tree.clone_from(&known.tree);
    }
    if version(&state) != version(known) || state.disabled_domains != known.disabled_domains {
        log::info!(
            version = version(&state), revision = state.revision,
            domains_out = format!("{:?}", state.disabled_domains);
            "settings in force"
        );
        context.metrics.config_version.set(version(&state) as i64);
    }
    sender.send_replace(state);
}
