//! Knows the workers of one failure domain: list, health, capacity and speed.
//!
//! The platform's list lags, so a worker that does not answer counts as silent whatever the list
//! says. Failed starts are judged by [`HealthTracker`]; a quarantined worker is probed with a trial
//! task of its own, because a worker that fails every task still answers all other calls.

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

/// Time between readings of the list.
pub const LIST_PERIOD: Duration = Duration::from_secs(2);
/// Longest time of one reading.
const LIST_LIMIT: Duration = Duration::from_millis(1_500);
/// Failed calls after which a worker counts as silent.
const SILENT_FAILURES: u32 = 2;
/// Weight of a new speed reading.
const SPEED_WEIGHT: f64 = 0.2;
/// Change of a speed that is worth a new plan.
const SPEED_STEP: f64 = 0.1;
/// Shortest time between two readings of progress that gives a useful speed.
const SPEED_SPAN: Duration = Duration::from_millis(1_500);

/// Takes the capacities and descriptions of all workers after each change.
pub type CapacitySink = Arc<dyn Fn(Vec<WorkerCapacity>, Vec<Arc<WorkerSpec>>) + Send + Sync>;
/// Takes a job that fails on every worker, with the reason.
pub type FaultySink = Arc<dyn Fn(JobId, String) + Send + Sync>;

/// Holds what a controller works with.
pub struct WorkerSettings {
    /// Process.
    pub context: Arc<ProcessContext>,
    /// Failure domain.
    pub domain: DomainName,
    /// Starter for probes.
    pub starter: GangStarter,
    /// Gang controller, which follows the list.
    pub gangs: ActorRef<GangController>,
    /// Receiver of capacities.
    pub capacities: CapacitySink,
    /// Receiver of faulty jobs.
    pub faulty: FaultySink,
    /// Workers found at the rebuild, with the report of each that answered.
    pub found: Vec<(Arc<WorkerSpec>, Option<WorkerReport>)>,
}

/// Follows the workers of one failure domain.
pub struct WorkerController {
    settings: WorkerSettings,
    me: ActorRef<Self>,
    workers: BTreeMap<WorkerId, TrackedWorker>,
    health: HealthTracker,
    /// Capacities handed on last; nothing before the first list tick.
    sent: Option<Vec<WorkerCapacity>>,
}

struct TrackedWorker {
    spec: Arc<WorkerSpec>,
    listed: bool,
    accelerators: Option<u32>,
    failures: u32,
    speed: f64,
    progress: BTreeMap<MemberId, (Instant, u64)>,
}

/// Reads the list and sends due probes.
pub struct ListTick;

/// Reports the outcome of a call to a worker.
pub struct WorkerSeen {
    /// Worker.
    pub worker: WorkerId,
    /// Report, or the cause of the failure.
    pub outcome: Result<WorkerReport, WorkerError>,
}

/// Reports the members of a gang that failed to start.
pub struct StartsFailed {
    /// Job.
    pub job: JobId,
    /// Worker and cause of each failure.
    pub failures: Vec<(WorkerId, WorkerError)>,
}

/// Reports that a gang started on these workers.
pub struct GangBegan {
    /// Job.
    pub job: JobId,
    /// Workers of its members.
    pub workers: Vec<WorkerId>,
}

/// Reports that a job ended or left.
pub struct ForgetJob(pub JobId);

struct ListRead(Vec<WorkerSpec>);

struct ProbeEnded {
    worker: WorkerId,
    good: bool,
}

impl Actor for WorkerController {
    type Args = WorkerSettings;
    type Error = std::convert::Infallible;

    async fn on_start(
        mut settings: WorkerSettings,
        me: ActorRef<Self>,
    ) -> Result<Self, Self::Error> {
        let found = std::mem::take(&mut settings.found);
        let workers = found.into_iter().map(|(spec, report)| {
            let mut worker = TrackedWorker::new(spec);
            match &report {
                Some(report) => worker.take_report(report, Instant::now()),
                None => worker.failures = SILENT_FAILURES,
            }
            (worker.spec.id.clone(), worker)
        });
        let workers = workers.collect();
        let health = HealthTracker::new();
        Ok(Self { settings, me, workers, health, sent: None })
    }
}

impl Message<ListTick> for WorkerController {
    type Reply = ();

    async fn handle(&mut self, _tick: ListTick, _context: &mut Context<Self, ()>) {
        let (list, me) = (self.settings.context.list.clone(), self.me.clone());
        tokio::spawn(async move {
            match tokio::time::timeout(LIST_LIMIT, list.workers()).await {
                Ok(Ok(specs)) => drop(me.tell(ListRead(specs)).try_send()),
                Ok(Err(error)) => log::warn!("{error}"),
                Err(_) => log::warn!("the list of workers did not arrive in time"),
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
        // A worker that left the list and does not answer either is gone.
        let before = self.workers.len();
        self.workers.retain(|_, worker| worker.listed || worker.failures < SILENT_FAILURES);
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

impl Message<WorkerSeen> for WorkerController {
    type Reply = ();

    async fn handle(&mut self, message: WorkerSeen, _context: &mut Context<Self, ()>) {
        let Some(worker) = self.workers.get_mut(&message.worker) else {
            return;
        };
        match message.outcome {
            Ok(report) => worker.take_report(&report, Instant::now()),
            Err(_) => worker.failures += 1,
        }
        // Most reports change nothing, and comparing all workers for each would cost more.
        let capacity = worker.capacity(&self.health);
        let known = self.sent.iter().flatten().find(|known| known.id == capacity.id);
        if known.is_none_or(|known| !is_close(&capacity, known)) {
            self.publish();
        }
    }
}

impl Message<StartsFailed> for WorkerController {
    type Reply = ();

    async fn handle(&mut self, message: StartsFailed, _context: &mut Context<Self, ()>) {
        let now = self.settings.context.now();
        for (worker, error) in message.failures {
            // A lost message says nothing about the worker's ability to run the job.
            if !matches!(error, WorkerError::StartFailed { .. }) {
                continue;
            }
            match self.health.record_start_failure(&worker, &message.job, now) {
                FailureOutcome::Continue => {}
                FailureOutcome::WorkerQuarantined(worker) => {
                    log::warn!("worker {worker} fails its starts; it is quarantined and probed");
                }
                FailureOutcome::JobFaulty { reason, returned } => {
                    log::warn!("job {}: {reason}; workers back: {returned:?}", message.job);
                    (self.settings.faulty)(message.job.clone(), reason);
                }
            }
        }
        self.publish();
    }
}

impl Message<GangBegan> for WorkerController {
    type Reply = ();

    async fn handle(&mut self, message: GangBegan, _context: &mut Context<Self, ()>) {
        self.health.record_gang_start(&message.job);
        message.workers.iter().for_each(|worker| self.health.record_start(worker));
    }
}

impl Message<ForgetJob> for WorkerController {
    type Reply = ();

    async fn handle(&mut self, message: ForgetJob, _context: &mut Context<Self, ()>) {
        self.health.remove_job(&message.0);
    }
}

impl Message<ProbeEnded> for WorkerController {
    type Reply = ();

    async fn handle(&mut self, message: ProbeEnded, _context: &mut Context<Self, ()>) {
        let now = self.settings.context.now();
        if self.health.record_probe_result(&message.worker, message.good, now) {
            log::info!("worker {} is back in service", message.worker);
        }
        self.publish();
    }
}

impl WorkerController {
    /// Hands the capacities on if they changed.
    fn publish(&mut self) {
        let capacities: Vec<WorkerCapacity> =
            self.workers.values().map(|worker| worker.capacity(&self.health)).collect();
        if self.sent.as_ref().is_some_and(|sent| !differs(&capacities, sent)) {
            return;
        }
        self.sent = Some(capacities.clone());
        let specs = self.workers.values().map(|worker| worker.spec.clone()).collect();
        (self.settings.capacities)(capacities, specs);
    }
}

impl TrackedWorker {
    fn new(spec: Arc<WorkerSpec>) -> Self {
        Self {
            spec,
            listed: true,
            accelerators: None,
            failures: 0,
            speed: 1.0,
            progress: BTreeMap::new(),
        }
    }

    fn take_report(&mut self, report: &WorkerReport, now: Instant) {
        self.failures = 0;
        self.accelerators = Some(report.healthy_accelerators);
        let running = report.tasks.iter().filter(|task| task.phase == MemberPhase::Running);
        let mut progress = BTreeMap::new();
        for task in running {
            let before = self.progress.get(&task.member).copied();
            let (since, done) = before.unwrap_or((now, task.progress_ms));
            let span = now.saturating_duration_since(since);
            if span < SPEED_SPAN {
                progress.insert(task.member.clone(), (since, done));
                continue;
            }
            #[expect(clippy::cast_precision_loss, reason = "progress stays far below 2^52 ms")]
            let gained = task.progress_ms.saturating_sub(done) as f64;
            let speed = gained / (span.as_secs_f64() * 1_000.0);
            // Reports of progress lag; a reading without any progress says nothing.
            if speed > 0.0 {
                self.speed += SPEED_WEIGHT * (speed - self.speed);
            }
            progress.insert(task.member.clone(), (now, task.progress_ms));
        }
        self.progress = progress;
    }

    fn capacity(&self, health: &HealthTracker) -> WorkerCapacity {
        let silent =
            !self.listed || self.failures >= SILENT_FAILURES || self.accelerators.is_none();
        WorkerCapacity {
            id: self.spec.id.clone(),
            rack: self.spec.rack.clone(),
            accelerators: self.accelerators.unwrap_or(self.spec.accelerators),
            cores: self.spec.cores,
            memory_mb: self.spec.memory_mb,
            speed: self.speed,
            health: if silent { WorkerHealth::Silent } else { health.health(&self.spec.id) },
        }
    }
}

/// Returns whether capacities changed enough to matter to the planner.
fn differs(new: &[WorkerCapacity], old: &[WorkerCapacity]) -> bool {
    new.len() != old.len() || !new.iter().zip(old).all(|(new, old)| is_close(new, old))
}

fn is_close(new: &WorkerCapacity, old: &WorkerCapacity) -> bool {
    (new.speed - old.speed).abs() < SPEED_STEP
        && WorkerCapacity { speed: old.speed, ..new.clone() } == *old
}
