//! The actor that owns the planner during one leadership.
//!
//! Events are applied on receipt. A planning pass follows a few milliseconds later, so that events
//! that arrive together are planned together.

use std::time::Duration;

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use lacewingrail_fleet::admission::AdmissionRefusal;
use lacewingrail_fleet::job::JobEntry;
use lacewingrail_fleet::{
    FleetEvent, FleetOrder, FleetPlanner, JobKey, JobPhase, JobSubmission, PlannerLogEvent,
};
use lacewingrail_model::Epoch;
use lacewingrail_model::clock::millis;
use lacewingrail_model::message::JobStatus;

use crate::clock;
use crate::executor::OrderExecutor;
use crate::metrics::InstanceMetrics;

/// Minimum delay from an event to the planning pass, in which further events are collected.
const COLLECT_DELAY: Duration = Duration::from_millis(3);

/// Ratio of the delay before a planning pass to the duration of the previous one: planning takes at
/// most a fifth of the processor.
const PLAN_DELAY_FACTOR: u32 = 4;

/// Actor that plans the region while this process is the active scheduler.
#[derive(Actor)]
pub struct ScheduleController {
    planner: FleetPlanner,
    executor: Option<OrderExecutor>,
    metrics: InstanceMetrics,
    plan_scheduled: bool,
    last_plan_duration: Duration,
    inputs_loaded: bool,
}

/// Handle to the actor of the active scheduler in this process; messages to a stopped one are
/// dropped.
#[derive(Clone)]
pub struct SchedulerHandle(pub ActorRef<ScheduleController>);

impl SchedulerHandle {
    /// Sends an event and waits only while the mailbox is full.
    pub async fn tell(&self, event: FleetEvent) {
        // Fails only if the scheduler has stopped; the next one rebuilds its state from the store
        // and the workers.
        let _ = self.0.tell(event).await;
    }
}

/// Sets the executor, which can be created only after the controller, since it refers to it.
pub struct SetExecutor(pub OrderExecutor);

/// Sets the epoch after this process has reacquired the leadership.
pub struct SetEpoch(pub Epoch);

/// Reports that all stored jobs, cancellations and progress have been sent; planning may begin.
pub struct InputsLoaded;

/// Runs a planning pass.
pub struct PlanNow;

/// Queries whether a submission can be accepted, before it is stored.
pub struct CheckAdmission(pub JobSubmission);

/// Reply to [`CheckAdmission`].
#[derive(Debug, kameo::Reply)]
pub enum AdmissionReply {
    /// The job has been accepted before.
    Known,
    /// The job may be accepted once it is stored.
    Acceptable,
    /// The fleet can't run the job, or not in time.
    Refused(AdmissionRefusal),
}

/// Queries the status of a job.
pub struct GetStatus(pub JobKey);

/// Reply to [`GetStatus`].
#[derive(Debug, kameo::Reply)]
pub enum StatusReply {
    /// Status that clients may see.
    Known(JobStatus),
    /// The scheduler has no such job; it may still be stored.
    Unknown,
    /// The scheduler has not loaded the stored jobs yet.
    Loading,
}

/// Counts the jobs of a queue of which no task has started; no reply before the stored jobs are
/// loaded.
pub struct CountPending(pub String);

impl ScheduleController {
    /// Creates a controller that plans nothing before [`SetExecutor`] and [`InputsLoaded`].
    pub fn new(planner: FleetPlanner, metrics: InstanceMetrics) -> Self {
        Self {
            planner,
            executor: None,
            metrics,
            plan_scheduled: false,
            last_plan_duration: Duration::ZERO,
            inputs_loaded: false,
        }
    }

    fn schedule_plan(&mut self, controller: ActorRef<Self>) {
        if self.plan_scheduled {
            return;
        }
        self.plan_scheduled = true;
        let delay = COLLECT_DELAY.max(self.last_plan_duration * PLAN_DELAY_FACTOR);
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let _ = controller.tell(PlanNow).await;
        });
    }

    fn plan(&mut self, controller: &ActorRef<Self>) {
        self.plan_scheduled = false;
        let Some(executor) = self.executor.clone() else {
            return;
        };
        if !self.inputs_loaded {
            return;
        }
        self.planner.set_leadership_overdue(executor.permit.borrow().expired_for());
        let recovering = !self.planner.is_recovered();
        let started_at = clock::now();
        let orders = self.planner.plan(started_at);
        self.last_plan_duration = clock::now().saturating_sub(started_at);
        if recovering && self.planner.is_recovered() {
            let workers = self.planner.workers().count();
            let runs: usize = self.planner.workers().map(|worker| worker.runs.len()).sum();
            log::info!(
                epoch = executor.permit.borrow().epoch, workers = workers, runs = runs;
                "workers heard"
            );
        }
        let epoch = executor.permit.borrow().epoch;
        self.planner
            .drain_log_events()
            .into_iter()
            .for_each(|event| log_planner_event(epoch, event));
        let mut step_down = false;
        for order in orders {
            step_down |= matches!(order, FleetOrder::StepDown);
            executor.execute(order);
        }
        let counts = self.planner.counts();
        self.metrics.starts.set(counts.starts as i64);
        self.metrics.failed_starts.set(counts.failed_starts as i64);
        self.metrics.unclear_starts.set(self.planner.unclear_starts() as i64);
        self.metrics.preemptions.set(counts.preemptions as i64);
        if step_down {
            log::warn!(
                epoch = executor.permit.borrow().epoch;
                "a worker has seen a higher epoch; stepping down"
            );
            controller.kill();
        }
    }
}

impl Message<SetExecutor> for ScheduleController {
    type Reply = ();

    async fn handle(&mut self, message: SetExecutor, _context: &mut Context<Self, ()>) {
        self.executor = Some(message.0);
    }
}

impl Message<SetEpoch> for ScheduleController {
    type Reply = ();

    async fn handle(&mut self, message: SetEpoch, _context: &mut Context<Self, ()>) {
        self.planner.set_epoch(message.0);
    }
}

impl Message<InputsLoaded> for ScheduleController {
    type Reply = ();

    async fn handle(&mut self, _message: InputsLoaded, context: &mut Context<Self, ()>) {
        self.inputs_loaded = true;
        self.schedule_plan(context.actor_ref().clone());
    }
}

impl Message<PlanNow> for ScheduleController {
    type Reply = ();

    async fn handle(&mut self, _message: PlanNow, context: &mut Context<Self, ()>) {
        let controller = context.actor_ref().clone();
        self.plan(&controller);
    }
}

impl Message<FleetEvent> for ScheduleController {
    type Reply = ();

    async fn handle(&mut self, event: FleetEvent, context: &mut Context<Self, ()>) {
        self.planner.apply_event(clock::now(), event);
        self.schedule_plan(context.actor_ref().clone());
    }
}

impl Message<CheckAdmission> for ScheduleController {
    type Reply = AdmissionReply;

    async fn handle(
        &mut self,
        message: CheckAdmission,
        _context: &mut Context<Self, AdmissionReply>,
    ) -> AdmissionReply {
        let submission = message.0;
        if self.planner.job(submission.key).is_some() {
            return AdmissionReply::Known;
        }
        match self.planner.check_submission(&submission, clock::now()) {
            Ok(()) => AdmissionReply::Acceptable,
            Err(refusal) => AdmissionReply::Refused(refusal),
        }
    }
}

impl Message<GetStatus> for ScheduleController {
    type Reply = StatusReply;

    async fn handle(
        &mut self,
        message: GetStatus,
        _context: &mut Context<Self, StatusReply>,
    ) -> StatusReply {
        match self.planner.job(message.0) {
            Some(entry) if self.inputs_loaded => StatusReply::Known(visible_status(entry)),
            _ if !self.inputs_loaded => StatusReply::Loading,
            _ => StatusReply::Unknown,
        }
    }
}

impl Message<CountPending> for ScheduleController {
    type Reply = Option<usize>;

    async fn handle(
        &mut self,
        message: CountPending,
        _context: &mut Context<Self, Option<usize>>,
    ) -> Option<usize> {
        self.inputs_loaded.then(|| self.planner.pending_jobs(&message.0))
    }
}

/// Returns the status that clients may see: a completion or failure only once it is stored.
fn visible_status(entry: &JobEntry) -> JobStatus {
    match entry.phase {
        JobPhase::Cancelled => JobStatus::Cancelled,
        JobPhase::Completed if entry.stored_phase == JobPhase::Completed => JobStatus::Completed,
        JobPhase::Failed if entry.stored_phase == JobPhase::Failed => JobStatus::Failed,
        _ if entry.begun => JobStatus::Running,
        _ => JobStatus::Queued,
    }
}

fn log_planner_event(epoch: Epoch, event: PlannerLogEvent) {
    match event {
        PlannerLogEvent::JobEnded { job, queue, phase, age, objective } => log::info!(
            epoch = epoch, job = format!("{job:016x}"), queue = queue, phase = format!("{phase:?}"),
            age_ms = millis(age), objective_ms = millis(objective);
            "job ended"
        ),
        PlannerLogEvent::RunEnded { worker, task, run, reason } => log::info!(
            epoch = epoch, job = format!("{:016x}", task.job), occurrence = task.occurrence,
            step = task.step, task = task.index, run = run, worker = worker,
            reason = format!("{reason:?}");
            "run ended"
        ),
        PlannerLogEvent::RunsPreempted { job, waited, preempted_jobs, loss } => log::info!(
            epoch = epoch, job = format!("{job:016x}"), waited_ms = millis(waited),
            borrowers = format!("{preempted_jobs:016x?}"), lost_core_seconds = loss.round() as u64;
            "borrowers stopped"
        ),
        PlannerLogEvent::WorkerBackoff { worker, failures } => log::info!(
            epoch = epoch, worker = worker, failures = failures;
            "worker set aside"
        ),
        PlannerLogEvent::LeaseLapsed { worker, runs } => log::info!(
            epoch = epoch, worker = worker, runs = runs;
            "lease lapsed"
        ),
        PlannerLogEvent::WorkerRestarted { worker, incarnation, runs } => log::info!(
            epoch = epoch, worker = worker, incarnation = incarnation, runs = runs;
            "worker restarted"
        ),
        PlannerLogEvent::EndsOmitted { worker, reported } => log::info!(
            epoch = epoch, worker = worker, reported = reported;
            "report without all ends"
        ),
    }
}
