//! Tracks the workers of one failure domain: list, health, capacity and speed.
//!
//! The worker list of the platform lags, so a worker that does not answer counts as silent even if
//! it is listed. [`HealthTracker`] evaluates failed starts. A quarantined worker is probed with a
//! trial task, because a worker that fails every task still answers all other calls.

mod probe;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use lacewingrail_model::worker::{MemberId, MemberPhase, WorkerError, WorkerReport, WorkerSpec};
use lacewingrail_model::{DomainName, JobId, WorkerId};
use lacewingrail_placement::{FailureOutcome, HealthTracker, WorkerCapacity, WorkerHealth};

use crate::context::ProcessContext;
use crate::gang_controller::{GangController, SetWorkers};
use crate::gang_start::GangStarter;

pub use probe::PROBE_PREFIX;

/// Interval between reads of the worker list.
pub const LIST_INTERVAL: Duration = Duration::from_secs(2);
/// Timeout of a read of the worker list.
const LIST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Consecutive failed calls after which a worker counts as silent.
const SILENT_FAILED_CALLS: u32 = 2;
/// Weight of a new sample in the moving average of a worker's speed.
const SPEED_SMOOTHING: f64 = 0.2;
/// Minimum change of a speed that is reported to the planner.
const MIN_SPEED_CHANGE: f64 = 0.1;
/// Minimum interval between two progress reports for a speed sample.
const MIN_SPEED_INTERVAL: Duration = Duration::from_millis(1_500);

/// Callback for the capacities and descriptions of all workers after a change.
pub type CapacitySink = Arc<dyn Fn(Vec<WorkerCapacity>, Vec<Arc<WorkerSpec>>) + Send + Sync>;
/// Callback for a job that fails on every worker, with the reason.
pub type FaultyJobSink = Arc<dyn Fn(JobId, String) + Send + Sync>;

/// Identity and dependencies of a [`WorkerController`].
pub struct WorkerSettings {
    /// State and services shared by the controllers of the process.
    pub context: Arc<ProcessContext>,
    /// Failure domain whose workers are tracked.
    pub domain: DomainName,
    /// Client of the workers with the epoch and the start permission, for probes.
    pub starter: GangStarter,
    /// Gang controller, which receives changes of the worker list.
    pub gangs: ActorRef<GangController>,
    /// Receiver of changed capacities.
    pub on_capacities: CapacitySink,
    /// Receiver of jobs that fail on every worker.
    pub on_faulty_job: FaultyJobSink,
    /// Workers known from the rebuild, with the report of each that answered.
    pub known_workers: Vec<(Arc<WorkerSpec>, Option<WorkerReport>)>,
}

/// Tracks the workers of one failure domain.
pub struct WorkerController {
    settings: WorkerSettings,
    actor_ref: ActorRef<Self>,
    workers: BTreeMap<WorkerId, TrackedWorker>,
    health: HealthTracker,
    /// Capacities that were reported last; `None` before the first report.
    published: Option<Vec<WorkerCapacity>>,
}

struct TrackedWorker {
    spec: Arc<WorkerSpec>,
    /// Whether the newest worker list contains the worker.
    listed: bool,
    /// Healthy accelerators in the newest report; `None` before the first one.
    healthy_accelerators: Option<u32>,
    /// Consecutive failed calls.
    failed_calls: u32,
    /// Moving average of the work done per unit of time; 1 at nominal speed.
    speed: f64,
    /// Time and progress in milliseconds at the start of the next speed sample, by running member.
    progress: BTreeMap<MemberId, (Instant, u64)>,
}

/// Reads the worker list and starts the probes that are due.
pub struct ListTick;

/// Reports the outcome of a call to a worker.
pub struct WorkerCallEnded {
    /// Worker that was called.
    pub worker: WorkerId,
    /// Report of the worker, or the cause of the failure.
    pub outcome: Result<WorkerReport, WorkerError>,
}

/// Reports the members of a gang that failed to start.
pub struct StartsFailed {
    /// Job that the gang belongs to.
    pub job: JobId,
    /// Worker and cause of each failure.
    pub failures: Vec<(WorkerId, WorkerError)>,
}

/// Reports that a gang started.
pub struct GangStarted {
    /// Job that the gang belongs to.
    pub job: JobId,
    /// Workers of its members.
    pub workers: Vec<WorkerId>,
}

/// Removes the recorded start failures of a job that has ended.
pub struct RemoveJob(pub JobId);

/// Reports the workers of all domains that the list contains.
struct ListRead(Vec<WorkerSpec>);

/// Reports whether a probe succeeded.
struct ProbeEnded {
    worker: WorkerId,
    succeeded: bool,
}

impl Actor for WorkerController {
    type Args = WorkerSettings;
    type Error = std::convert::Infallible;

    async fn on_start(
        mut settings: WorkerSettings,
        actor_ref: ActorRef<Self>,
    ) -> Result<Self, Self::Error> {
        let known_workers = std::mem::take(&mut settings.known_workers);
        let workers = known_workers.into_iter().map(|(spec, report)| {
            let mut worker = TrackedWorker::new(spec);
            match &report {
                Some(report) => worker.apply_report(report, Instant::now()),
                None => worker.failed_calls = SILENT_FAILED_CALLS,
            }
            (worker.spec.id.clone(), worker)
        });
        let workers = workers.collect();
        let health = HealthTracker::new();
        Ok(Self { settings, actor_ref, workers, health, published: None })
    }
}

impl Message<ListTick> for WorkerController {
    type Reply = ();

    async fn handle(&mut self, _tick: ListTick, _context: &mut Context<Self, ()>) {
        let (list, actor_ref) = (self.settings.context.list.clone(), self.actor_ref.clone());
        tokio::spawn(async move {
            match tokio::time::timeout(LIST_TIMEOUT, list.workers()).await {
                Ok(Ok(specs)) => drop(actor_ref.tell(ListRead(specs)).try_send()),
                Ok(Err(error)) => log::warn!("{error}"),
                Err(_) => log::warn!("reading the worker list timed out"),
            }
        });
        let now = self.settings.context.now();
        for worker in self.health.start_due_probes(now) {
            self.probe(&worker);
        }
        self.publish();
    }
}

impl Message<ListRead> for WorkerController {
    type Reply = ();

    async fn handle(&mut self, message: ListRead, _context: &mut Context<Self, ()>) {
        let listed = message.0.into_iter().filter(|spec| spec.domain == self.settings.domain);
        let mut listed: BTreeMap<WorkerId, WorkerSpec> =
            listed.map(|spec| (spec.id.clone(), spec)).collect();
        let mut changed = false;
        for (id, worker) in &mut self.workers {
            let spec = listed.remove(id);
            changed |= worker.listed != spec.is_some();
            worker.listed = spec.is_some();
            if let Some(spec) = spec.filter(|spec| *spec != *worker.spec) {
                worker.spec = Arc::new(spec);
                changed = true;
            }
        }
        // Remove a worker that is neither listed nor answering.
        let before = self.workers.len();
        self.workers.retain(|_, worker| worker.listed || worker.failed_calls < SILENT_FAILED_CALLS);
        changed |= !listed.is_empty() || self.workers.len() < before;
        for (id, spec) in listed {
            self.workers.insert(id, TrackedWorker::new(Arc::new(spec)));
        }
        if !changed {
            return;
        }
        let workers = &self.workers;
        self.health.retain_workers(|worker| workers.contains_key(worker));
        let specs = self.workers.values().map(|worker| worker.spec.clone()).collect();
        let _ = self.settings.gangs.tell(SetWorkers(specs)).try_send();
        self.publish();
    }
}

impl Message<WorkerCallEnded> for WorkerController {
    type Reply = ();

    async fn handle(&mut self, message: WorkerCallEnded, _context: &mut Context<Self, ()>) {
        let Some(worker) = self.workers.get_mut(&message.worker) else {
            return;
        };
        match message.outcome {
            Ok(report) => worker.apply_report(&report, Instant::now()),
            Err(_) => worker.failed_calls += 1,
        }
        // Most reports change nothing, and comparing all workers for each would be expensive.
        let capacity = worker.capacity(&self.health);
        let known = self.published.iter().flatten().find(|known| known.id == capacity.id);
        if known.is_none_or(|known| !is_equivalent(&capacity, known)) {
            self.publish();
        }
    }
}

impl Message<StartsFailed> for WorkerController {
    type Reply = ();

    async fn handle(&mut self, message: StartsFailed, _context: &mut Context<Self, ()>) {
        let now = self.settings.context.now();
        for (worker, error) in message.failures {
            // A failed call does not show whether the worker can run the job.
            if !matches!(error, WorkerError::StartFailed { .. }) {
                continue;
            }
            match self.health.record_start_failure(&worker, &message.job, now) {
                FailureOutcome::Continue => {}
                FailureOutcome::WorkerQuarantined(worker) => {
                    log::warn!(
                        "worker {worker} fails to start tasks; it is quarantined and probed"
                    );
                }
                FailureOutcome::JobFaulty { reason, returned } => {
                    log::warn!(
                        "job {}: {reason}; workers returned to service: {returned:?}",
                        message.job
                    );
                    (self.settings.on_faulty_job)(message.job.clone(), reason);
                }
            }
        }
        self.publish();
    }
}

impl Message<GangStarted> for WorkerController {
    type Reply = ();

    async fn handle(&mut self, message: GangStarted, _context: &mut Context<Self, ()>) {
        self.health.record_gang_start(&message.job);
        message.workers.iter().for_each(|worker| self.health.record_start(worker));
    }
}

impl Message<RemoveJob> for WorkerController {
    type Reply = ();

    async fn handle(&mut self, message: RemoveJob, _context: &mut Context<Self, ()>) {
        self.health.remove_job(&message.0);
    }
}

impl Message<ProbeEnded> for WorkerController {
    type Reply = ();

    async fn handle(&mut self, message: ProbeEnded, _context: &mut Context<Self, ()>) {
        let now = self.settings.context.now();
        if self.health.record_probe_result(&message.worker, message.succeeded, now) {
            log::info!("worker {} is back in service", message.worker);
        }
        self.publish();
    }
}

impl WorkerController {
    /// Reports the capacities if they changed.
    fn publish(&mut self) {
        let capacities: Vec<WorkerCapacity> =
            self.workers.values().map(|worker| worker.capacity(&self.health)).collect();
        if self.published.as_ref().is_some_and(|published| !has_changed(&capacities, published)) {
            return;
        }
        self.published = Some(capacities.clone());
        let specs = self.workers.values().map(|worker| worker.spec.clone()).collect();
        (self.settings.on_capacities)(capacities, specs);
    }
}

impl TrackedWorker {
    fn new(spec: Arc<WorkerSpec>) -> Self {
        Self {
            spec,
            listed: true,
            healthy_accelerators: None,
            failed_calls: 0,
            speed: 1.0,
            progress: BTreeMap::new(),
        }
    }

    fn apply_report(&mut self, report: &WorkerReport, now: Instant) {
        self.failed_calls = 0;
        self.healthy_accelerators = Some(report.healthy_accelerators);
        let running = report.tasks.iter().filter(|task| task.phase == MemberPhase::Running);
        let mut progress = BTreeMap::new();
        for task in running {
            let before = self.progress.get(&task.member).copied();
            let (since, previous_ms) = before.unwrap_or((now, task.progress_ms));
            let elapsed = now.saturating_duration_since(since);
            if elapsed < MIN_SPEED_INTERVAL {
                progress.insert(task.member.clone(), (since, previous_ms));
                continue;
            }
            #[expect(clippy::cast_precision_loss, reason = "progress stays far below 2^52 ms")]
            let progress_made = task.progress_ms.saturating_sub(previous_ms) as f64;
            let speed = progress_made / (elapsed.as_secs_f64() * 1_000.0);
            // Progress reports lag, so an interval without progress is not a sample.
            if speed > 0.0 {
                self.speed += SPEED_SMOOTHING * (speed - self.speed);
            }
            progress.insert(task.member.clone(), (now, task.progress_ms));
        }
        self.progress = progress;
    }

    fn capacity(&self, health: &HealthTracker) -> WorkerCapacity {
        let silent = !self.listed
            || self.failed_calls >= SILENT_FAILED_CALLS
            || self.healthy_accelerators.is_none();
        WorkerCapacity {
            id: self.spec.id.clone(),
            rack: self.spec.rack.clone(),
            accelerators: self.healthy_accelerators.unwrap_or(self.spec.accelerators),
            cores: self.spec.cores,
            memory_mb: self.spec.memory_mb,
            speed: self.speed,
            health: if silent { WorkerHealth::Silent } else { health.health(&self.spec.id) },
        }
    }
}

/// Returns whether the capacities changed enough to matter to the planner.
fn has_changed(new: &[WorkerCapacity], old: &[WorkerCapacity]) -> bool {
    new.len() != old.len() || !new.iter().zip(old).all(|(new, old)| is_equivalent(new, old))
}

fn is_equivalent(new: &WorkerCapacity, old: &WorkerCapacity) -> bool {
    (new.speed - old.speed).abs() < MIN_SPEED_CHANGE
        && WorkerCapacity { speed: old.speed, ..new.clone() } == *old
}
