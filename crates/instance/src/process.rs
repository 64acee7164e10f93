//! Starts and ends the parts of the process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use lacewingrail_model::store::BatchStore;
use lacewingrail_model::timer::TimerService;
use lacewingrail_wire::{PeerClient, PeerServer, WireError};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::border::{FleetDirectory, OperatorState, WorkerService};
use crate::front::JobFront;
use crate::leader_link::LeaderLink;
use crate::leadership::{LeadershipController, LeadershipView, WATCH_WAIT};
use crate::metrics::InstanceMetrics;
use crate::peer::FrontHandler;
use crate::store_health::WatchedStore;

/// Pause after a failed reading of the operators' settings.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Holds the settings of one process.
#[derive(Clone, Debug)]
pub struct InstanceSettings {
    /// Name of the instance.
    pub name: String,
    /// Name of the system; peers of another system are refused.
    pub system: String,
    /// Address for peers.
    pub peer_address: SocketAddr,
    /// Share of a core that the process may use.
    pub processor_share: f64,
    /// Longest lease that a worker grants.
    pub worker_lease: Duration,
    /// Time for which a worker waits with an answer when it has no end to report.
    pub report_wait: Duration,
    /// Time for which clients may ask for the state of a job that has ended.
    pub keep_ended: Duration,
}

/// Holds what all parts of the process share.
pub struct InstanceContext {
    /// Settings.
    pub settings: InstanceSettings,
    /// Key-value service.
    pub store: Arc<dyn BatchStore>,
    /// Whether the key-value service answers.
    pub health: Arc<WatchedStore>,
    /// Workers.
    pub workers: Arc<dyn WorkerService>,
    /// What operators and workers have written.
    pub directory: Arc<dyn FleetDirectory>,
    /// Timers.
    pub timer: TimerService,
    /// Metrics.
    pub metrics: InstanceMetrics,
    /// What the operators ask for.
    pub operators: watch::Receiver<OperatorState>,
    draining: AtomicBool,
}

impl InstanceContext {
    /// Returns whether the process shuts down.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }
}

/// Runs the parts of one process; dropping it ends them.
pub struct InstanceProcess {
    context: Arc<InstanceContext>,
    front: JobFront,
    leader: LeaderLink,
    leadership: watch::Receiver<LeadershipView>,
    _peers: PeerServer,
    tasks: Vec<JoinHandle<()>>,
}

impl InstanceProcess {
    /// Starts all parts.
    pub async fn start(
        settings: InstanceSettings,
        store: Arc<dyn BatchStore>,
        workers: Arc<dyn WorkerService>,
        directory: Arc<dyn FleetDirectory>,
        timer: TimerService,
    ) -> Result<Self, WireError> {
        let (operator_sender, operators) = watch::channel(OperatorState::default());
        let health = Arc::new(WatchedStore::new(store));
        let context = Arc::new(InstanceContext {
            settings,
            store: health.clone(),
            health,
            workers,
            directory,
            timer,
            metrics: InstanceMetrics::new(),
            operators,
            draining: AtomicBool::new(false),
        });
        let (view, leadership) = watch::channel(LeadershipView::default());
        let system = context.settings.system.clone();
        let peers = PeerClient::new().with_system(&system);
        let own_address = context.settings.peer_address.to_string();
        let leader = LeaderLink::new(leadership.clone(), own_address, peers, context.timer.clone());
        let front = JobFront::new(context.clone(), leadership.clone(), leader.clone());
        let handler = Arc::new(FrontHandler::new(front.clone(), &system));
        let server = PeerServer::bind(context.settings.peer_address, handler).await?;
        let tasks = vec![
            tokio::spawn(follow_operators(context.clone(), operator_sender)),
            tokio::spawn(LeadershipController::new(context.clone(), view).run()),
            tokio::spawn(context.health.clone().probe(context.timer.clone())),
        ];
        Ok(Self { context, front, leader, leadership, _peers: server, tasks })
    }

    /// Returns the part that answers clients.
    pub fn front(&self) -> &JobFront {
        &self.front
    }

    /// Returns the metrics.
    pub fn metrics(&self) -> &InstanceMetrics {
        &self.context.metrics
    }

    /// Returns a check whether the process can answer clients.
    ///
    /// An instance that reaches neither the key-value service nor the active scheduler can't, and
    /// instances elsewhere may.
    pub fn readiness(&self) -> impl Fn() -> bool + Clone + Send + Sync + 'static + use<> {
        let (context, leader) = (self.context.clone(), self.leader.clone());
        let leadership = self.leadership.clone();
        move || {
            let leads = leadership.borrow().own.is_some();
            let serves = context.health.outage().is_none() || (!leads && leader.is_usable());
            serves && !context.is_draining() && context.operators.borrow().tree.is_some()
        }
    }

    /// Returns whether this process schedules.
    pub fn is_leader(&self) -> bool {
        self.leadership.borrow().own.is_some()
    }

    /// Reports the process as leaving and gives up the leadership.
    pub fn drain(&self) {
        self.context.draining.store(true, Ordering::Relaxed);
    }
}

impl Drop for InstanceProcess {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// Keeps the operators' settings current.
async fn follow_operators(context: Arc<InstanceContext>, sender: watch::Sender<OperatorState>) {
    let mut reached = true;
    loop {
        let known = sender.borrow().clone();
        let newest = context.directory.operators(&known, WATCH_WAIT).await;
        if reached != newest.is_ok() {
            reached = newest.is_ok();
            log::info!(
                reached = reached, revision = known.revision;
                "operators' settings lost or regained"
            );
        }
        match newest {
            Ok(state) => adopt(&context, &sender, &known, state),
            Err(error) => {
                log::debug!(error = error.to_string(); "operators' settings not readable");
                context.timer.wait(RETRY_PAUSE).await;
            }
        }
    }
}

fn adopt(
    context: &InstanceContext,
    sender: &watch::Sender<OperatorState>,
    known: &OperatorState,
    mut state: OperatorState,
) {
    let version = |state: &OperatorState| state.tree.as_ref().map_or(0, |tree| tree.version);
    if version(&state) < version(known) {
        log::error!(
            known = version(known), read = version(&state);
            "an older settings version is ignored"
        );
        state.tree.clone_from(&known.tree);
    }
    if version(&state) != version(known) || state.domains_out != known.domains_out {
        log::info!(
            version = version(&state), revision = state.revision,
            domains_out = format!("{:?}", state.domains_out);
            "settings in force"
        );
        context.metrics.config_version.set(version(&state) as i64);
    }
    sender.send_replace(state);
}
