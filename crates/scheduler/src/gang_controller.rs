//! Runs the gangs of one failure domain under one epoch.
//!
//! The controller coordinates the gang protocol. It starts gangs, renews the leases of all members
//! with one call for each worker, and stops a whole gang when it loses a member. It reports an
//! attempt as ended only when every member is confirmed stopped or its lease has certainly expired.

mod renewal;
mod teardown;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use lacewingrail_model::worker::{
    MemberId, MemberPhase, TaskReport, WorkerError, WorkerReport, WorkerSpec,
};
use lacewingrail_model::{DomainName, Epoch, JobId, WorkerId};
use tokio::sync::Semaphore;
use tracing::Instrument;

use crate::context::ProcessContext;
use crate::gang::{GangEnd, GangPhase, GangPlan, GangState};
use crate::gang_start::{GangStarter, StartReport};

pub use renewal::RENEW_TICK_INTERVAL;

/// Maximum members that are starting at a time. Without a bound, a burst of gangs would open a
/// connection for each of its members at once.
const MAX_STARTING_MEMBERS: usize = 128;

/// Callback for the events of a controller.
pub type EventSink = Arc<dyn Fn(GangEvent) + Send + Sync>;

/// Event of a gang or of a call to a worker.
#[derive(Clone, Debug)]
pub enum GangEvent {
    /// All members of an attempt run.
    Started {
        /// Job whose gang started.
        job: JobId,
        /// Attempt that runs, counted from 1.
        attempt: u32,
    },
    /// Every member of a running attempt has a newer checkpoint.
    Checkpoint {
        /// Job whose progress was saved.
        job: JobId,
        /// Attempt that wrote the checkpoint, counted from 1.
        attempt: u32,
        /// Checkpointed work of this attempt, in milliseconds.
        checkpointed_ms: u64,
    },
    /// No member of the attempt holds accelerators any longer.
    Ended(GangSummary),
    /// A renewal call to a worker succeeded or failed.
    WorkerCallEnded {
        /// Worker that was called.
        worker: WorkerId,
        /// Report of the worker, or the cause of the failure.
        outcome: Result<WorkerReport, WorkerError>,
    },
    /// A worker rejected a call because it has seen a higher epoch.
    StaleEpoch {
        /// Higher epoch that the worker has seen.
        seen: Epoch,
    },
    /// A worker that missed the rebuild answers and holds members that the rebuild should have
    /// seen.
    RebuildOutdated,
}

/// Summary of an ended attempt.
#[derive(Clone, Debug)]
pub struct GangSummary {
    /// Job whose attempt ended.
    pub job: JobId,
    /// Attempt that ended, counted from 1.
    pub attempt: u32,
    /// Reason for the end.
    pub end: GangEnd,
    /// Checkpointed work of this attempt, in milliseconds.
    pub checkpointed_ms: u64,
    /// Total accelerators of all members.
    pub accelerators: u32,
    /// Time during which all members are known to have run together.
    pub confirmed_runtime: Duration,
}

/// Identity and dependencies of a [`GangController`].
pub struct GangSettings {
    /// State and services shared by the controllers of the process.
    pub context: Arc<ProcessContext>,
    /// Failure domain whose gangs are run.
    pub domain: DomainName,
    /// Client of the workers with the epoch and the start permission.
    pub starter: GangStarter,
    /// Whether gangs are only renewed and stopped, and never started.
    pub renew_only: bool,
    /// Workers that did not answer the rebuild; each is removed with its first report.
    pub missed_rebuild: BTreeSet<WorkerId>,
    /// Receiver of the controller's events.
    pub on_event: EventSink,
}

/// Coordinates the gangs of one failure domain.
pub struct GangController {
    settings: GangSettings,
    actor_ref: ActorRef<Self>,
    workers: BTreeMap<WorkerId, WorkerLink>,
    gangs: BTreeMap<JobId, GangState>,
    /// Slot of workers that the next tick renews.
    renew_slot: usize,
    /// One permit for each member that may be starting at a time.
    start_permits: Arc<Semaphore>,
}

/// State of the calls to one worker.
struct WorkerLink {
    spec: Arc<WorkerSpec>,
    call_in_flight: bool,
    /// Send time of the newest answered call.
    last_answered_at: Option<Instant>,
    /// Consecutive failed calls since then.
    failed_calls: u32,
    /// Whether a call before the next regular renewal is scheduled.
    poll_scheduled: bool,
}

/// Replaces the list of the domain's workers.
pub struct SetWorkers(pub Vec<Arc<WorkerSpec>>);

/// Starts a gang; the controller always reports its end.
pub struct StartGang(pub GangPlan);

/// Takes over a gang that was found on the workers.
pub struct AdoptGang {
    /// Plan rebuilt from the workers' reports; its resources and command are empty in renew-only
    /// mode.
    pub plan: GangPlan,
    /// Report of each member and the send time of the call that returned it.
    pub reports: Vec<(TaskReport, Instant)>,
    /// Whether committed members still have to be started.
    pub resume: bool,
}

/// Stops members of earlier attempts of a job; their end is reported like that of a gang.
pub struct StopLeftovers(pub GangPlan);

/// Stops a member that belongs to no gang.
pub struct StopOrphan(pub Arc<WorkerSpec>, pub MemberId);

/// Stops a gang, after a checkpoint if a grace period is given.
pub struct StopGang {
    /// Job whose gang is stopped; unknown jobs are ignored.
    pub job: JobId,
    /// Time that the members have to write a checkpoint; `None` stops them at once.
    pub grace: Option<Duration>,
}

/// Renews the leases of one slot of workers and stops gangs that lost a member.
pub struct RenewTick;

/// Requests the number of workers whose newest call succeeded, and the number of all workers.
pub struct CountReachable;

/// Renews the leases on one worker before its next slot.
pub(crate) struct Poll(WorkerId);

/// Reports the outcome of a renewal call.
pub(crate) struct RenewalEnded {
    worker: WorkerId,
    sent: Instant,
    outcome: Result<WorkerReport, WorkerError>,
}

/// Reports the outcome of the start protocol.
pub(crate) struct StartEnded {
    job: JobId,
    attempt: u32,
    report: StartReport,
}

/// Reports the checkpointed work of each member; `None` for a member that wrote no checkpoint.
pub(crate) struct CheckpointEnded {
    job: JobId,
    attempt: u32,
    checkpoints: Vec<Option<u64>>,
}

/// Reports that every member is confirmed stopped or its lease has expired.
pub(crate) struct TeardownEnded {
    job: JobId,
    attempt: u32,
}

impl Actor for GangController {
    type Args = GangSettings;
    type Error = std::convert::Infallible;

    async fn on_start(
        settings: GangSettings,
        actor_ref: ActorRef<Self>,
    ) -> Result<Self, Self::Error> {
        Ok(Self {
            settings,
            actor_ref,
            workers: BTreeMap::new(),
            gangs: BTreeMap::new(),
            renew_slot: 0,
            start_permits: Arc::new(Semaphore::new(MAX_STARTING_MEMBERS)),
        })
    }
}

impl Message<SetWorkers> for GangController {
    type Reply = ();

    async fn handle(&mut self, message: SetWorkers, _context: &mut Context<Self, ()>) {
        let mut former = std::mem::take(&mut self.workers);
        for spec in message.0 {
            let link = former.remove(&spec.id);
            let link = link.map(|link| WorkerLink { spec: spec.clone(), ..link });
            let link = link.unwrap_or_else(|| WorkerLink::new(spec.clone()));
            self.workers.insert(spec.id.clone(), link);
        }
        // Keep a worker that left the list while it may still run members.
        let used = |worker: &WorkerId| {
            let members = self.gangs.values().flat_map(|gang| &gang.members);
            members.into_iter().any(|member| member.placement.worker.id == *worker)
        };
        let still_used: Vec<_> = former.into_iter().filter(|(worker, _)| used(worker)).collect();
        self.workers.extend(still_used);
    }
}

impl Message<StartGang> for GangController {
    type Reply = ();

    async fn handle(&mut self, message: StartGang, _context: &mut Context<Self, ()>) {
        let plan = message.0;
        if self.gangs.contains_key(&plan.job) {
            log::error!("job {} already has an attempt; the new one is ignored", plan.job);
            return;
        }
        let gang = GangState::new(plan, GangPhase::Starting, Instant::now());
        self.spawn_start(&gang, false);
        self.gangs.insert(gang.plan.job.clone(), gang);
    }
}

impl Message<AdoptGang> for GangController {
    type Reply = ();

    async fn handle(&mut self, message: AdoptGang, _context: &mut Context<Self, ()>) {
        let phase = if message.resume { GangPhase::Starting } else { GangPhase::Running };
        let now = Instant::now();
        let mut gang = GangState::new(message.plan, phase, now);
        for (member, (report, sent)) in gang.members.iter_mut().zip(&message.reports) {
            member.confirmed_at = Some(*sent);
            member.finished = report.phase == MemberPhase::Finished;
            member.progress_ms = report.progress_ms;
            member.checkpoint_ms = report.checkpoint_ms;
        }
        if message.resume {
            self.spawn_start(&gang, true);
        }
        let job = gang.plan.job.clone();
        self.gangs.insert(job.clone(), gang);
        if !message.resume {
            self.end_if_finished(&job);
        }
    }
}

impl Message<StopLeftovers> for GangController {
    type Reply = ();

    async fn handle(&mut self, message: StopLeftovers, _context: &mut Context<Self, ()>) {
        let gang = GangState::new(message.0, GangPhase::Starting, Instant::now());
        let job = gang.plan.job.clone();
        self.gangs.insert(job.clone(), gang);
        self.tear_down(&job, GangEnd::Stopped);
    }
}

impl Message<StopOrphan> for GangController {
    type Reply = ();

    async fn handle(&mut self, message: StopOrphan, _context: &mut Context<Self, ()>) {
        self.stop_orphan(&message.0, message.1);
    }
}

impl Message<StopGang> for GangController {
    type Reply = ();

    async fn handle(&mut self, message: StopGang, _context: &mut Context<Self, ()>) {
        let Some(gang) = self.gangs.get_mut(&message.job) else {
            return;
        };
        match (gang.phase, message.grace) {
            (GangPhase::Starting, _) => {
                gang.end.get_or_insert(GangEnd::Stopped);
                gang.cancel.send_replace(true);
            }
            (GangPhase::Running, Some(grace)) => self.checkpoint(&message.job, grace),
            (GangPhase::Running | GangPhase::Checkpointing, None) => {
                self.tear_down(&message.job, GangEnd::Stopped);
            }
            (GangPhase::Checkpointing, Some(_)) | (GangPhase::Stopping, _) => {}
        }
    }
}

impl Message<StartEnded> for GangController {
    type Reply = ();

    async fn handle(&mut self, message: StartEnded, _context: &mut Context<Self, ()>) {
        if let Some(seen) = message.report.higher_epoch {
            self.emit(GangEvent::StaleEpoch { seen });
        }
        let Some(gang) = self.find_attempt(&message.job, message.attempt) else {
            return;
        };
        for (member, confirmed_at) in gang.members.iter_mut().zip(&message.report.confirmed_at) {
            member.confirmed_at = member.confirmed_at.max(*confirmed_at);
        }
        let end = gang.end.clone().or(message.report.failure);
        match end {
            Some(end) => self.tear_down(&message.job, end),
            None => {
                let now = Instant::now();
                (gang.phase, gang.phase_since) = (GangPhase::Running, now);
                gang.running_since = Some(now);
                let workers: Vec<WorkerId> = gang.by_worker().into_keys().cloned().collect();
                workers.iter().for_each(|worker| self.poll_at_expected_end(worker));
                self.emit(GangEvent::Started { job: message.job, attempt: message.attempt });
            }
        }
    }
}

impl Message<CheckpointEnded> for GangController {
    type Reply = ();

    async fn handle(&mut self, message: CheckpointEnded, _context: &mut Context<Self, ()>) {
        let Some(gang) = self.find_attempt(&message.job, message.attempt) else {
            return;
        };
        for (member, checkpoint) in gang.members.iter_mut().zip(message.checkpoints) {
            member.checkpoint_ms = member.checkpoint_ms.max(checkpoint.unwrap_or(0));
        }
        self.tear_down(&message.job, GangEnd::Stopped);
    }
}

impl Message<TeardownEnded> for GangController {
    type Reply = ();

    async fn handle(&mut self, message: TeardownEnded, _context: &mut Context<Self, ()>) {
        if self.find_attempt(&message.job, message.attempt).is_none() {
            return;
        }
        let Some(gang) = self.gangs.remove(&message.job) else {
            return;
        };
        self.emit(GangEvent::Ended(summarize(&gang)));
    }
}

impl Message<CountReachable> for GangController {
    type Reply = (usize, usize);

    async fn handle(
        &mut self,
        _message: CountReachable,
        _context: &mut Context<Self, (usize, usize)>,
    ) -> (usize, usize) {
        let reached = self
            .workers
            .values()
            .filter(|link| link.failed_calls == 0 && link.last_answered_at.is_some());
        (reached.count(), self.workers.len())
    }
}

impl GangController {
    /// Returns the gang of a job if it runs the given attempt.
    fn find_attempt(&mut self, job: &JobId, attempt: u32) -> Option<&mut GangState> {
        self.gangs.get_mut(job).filter(|gang| gang.plan.attempt == attempt)
    }

    fn emit(&self, event: GangEvent) {
        (self.settings.on_event)(event);
    }

    fn spawn_start(&self, gang: &GangState, resume: bool) {
        let (starter, actor_ref) = (self.settings.starter.clone(), self.actor_ref.clone());
        let (plan, cancel) = (gang.plan.clone(), gang.cancel.subscribe());
        let span = tracing::info_span!("gang_start", job = %plan.job, attempt = plan.attempt);
        let members = u32::try_from(plan.members.len().min(MAX_STARTING_MEMBERS)).unwrap_or(1);
        let start_permits = self.start_permits.clone();
        let start = async move {
            // The semaphore is never closed, so this cannot fail.
            let _permit = start_permits.acquire_many_owned(members).await;
            let report = match resume {
                true => starter.resume(&plan, cancel).await,
                false => starter.start(&plan, cancel).await,
            };
            let (job, attempt) = (plan.job, plan.attempt);
            let _ = actor_ref.tell(StartEnded { job, attempt, report }).try_send();
        };
        tokio::spawn(start.instrument(span));
    }

    /// Ends a gang whose members have all finished successfully.
    fn end_if_finished(&mut self, job: &JobId) {
        let Some(gang) = self.gangs.get(job).filter(|gang| gang.is_finished()) else {
            return;
        };
        let summary = GangSummary { end: GangEnd::Finished, ..summarize(gang) };
        self.gangs.remove(job);
        self.emit(GangEvent::Ended(summary));
    }
}

impl WorkerLink {
    fn new(spec: Arc<WorkerSpec>) -> Self {
        Self {
            spec,
            call_in_flight: false,
            last_answered_at: None,
            failed_calls: 0,
            poll_scheduled: false,
        }
    }
}

fn summarize(gang: &GangState) -> GangSummary {
    GangSummary {
        job: gang.plan.job.clone(),
        attempt: gang.plan.attempt,
        end: gang.end.clone().unwrap_or(GangEnd::Stopped),
        checkpointed_ms: gang.checkpointed_ms(),
        accelerators: gang.accelerators(),
        confirmed_runtime: gang.confirmed_runtime(),
    }
}

/// Returns whether a member is a probe of the worker controller.
pub(crate) fn is_probe(member: &MemberId) -> bool {
    member.job.starts_with(crate::worker_controller::PROBE_PREFIX)
}
