//! Runs the gangs of one failure domain under one epoch.
//!
//! The controller is the coordinator of the gang protocol. It starts gangs, renews the leases of all
//! members with one call for each worker, stops a whole gang when one member is lost, and reports an
//! attempt as ended only when every member is confirmed stopped or its lease has surely lapsed.

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
use crate::gang::{GangEnd, GangPhase, GangPlan, GangTrack};
use crate::gang_start::{GangStarter, StartReport};

pub use renewal::RENEW_TICK_INTERVAL;

/// Members whose starts are in progress at the most. A burst of gangs would otherwise open a
/// connection for each of its members at once.
const MAX_STARTING: usize = 128;

/// Takes the events of a controller.
pub type EventSink = Arc<dyn Fn(GangEvent) + Send + Sync>;

/// Reports what became of gangs and workers.
#[derive(Clone, Debug)]
pub enum GangEvent {
    /// All members run.
    Started {
        /// Job.
        job: JobId,
        /// Attempt.
        attempt: u32,
    },
    /// A newer checkpoint exists.
    Checkpoint {
        /// Job.
        job: JobId,
        /// Attempt.
        attempt: u32,
        /// Work kept in this attempt, in milliseconds.
        checkpointed_ms: u64,
    },
    /// No member of the attempt holds accelerators any more.
    Ended(GangSummary),
    /// A worker answered or failed to answer a call.
    WorkerCallEnded {
        /// Worker.
        worker: WorkerId,
        /// Report, or the cause of the failure.
        outcome: Result<WorkerReport, WorkerError>,
    },
    /// A worker has seen a higher epoch.
    StaleEpoch {
        /// Epoch seen.
        seen: Epoch,
    },
    /// A worker that did not answer the rebuild answers and has members of no gang.
    RebuildOutdated,
}

/// Sums up an ended attempt.
#[derive(Clone, Debug)]
pub struct GangSummary {
    /// Job.
    pub job: JobId,
    /// Attempt.
    pub attempt: u32,
    /// Cause.
    pub end: GangEnd,
    /// Work kept in this attempt, in milliseconds.
    pub checkpointed_ms: u64,
    /// Accelerators of all members.
    pub accelerators: u32,
    /// Time for which all members were known to run together.
    pub confirmed_runtime: Duration,
}

/// Holds what a controller works with.
pub struct GangSettings {
    /// Process.
    pub context: Arc<ProcessContext>,
    /// Failure domain.
    pub domain: DomainName,
    /// Starter with the epoch.
    pub starter: GangStarter,
    /// Whether only renewals and stops are allowed.
    pub renew_only: bool,
    /// Workers that did not answer the rebuild.
    pub missed_rebuild: BTreeSet<WorkerId>,
    /// Receiver of events.
    pub sink: EventSink,
}

/// Coordinates the gangs of one failure domain.
pub struct GangController {
    settings: GangSettings,
    actor_ref: ActorRef<Self>,
    workers: BTreeMap<WorkerId, WorkerLink>,
    gangs: BTreeMap<JobId, GangTrack>,
    renew_slot: usize,
    start_permits: Arc<Semaphore>,
}

/// Follows the contact with one worker.
struct WorkerLink {
    spec: Arc<WorkerSpec>,
    call_in_flight: bool,
    /// When the newest call that was answered was sent.
    last_answered_at: Option<Instant>,
    /// Calls that failed since.
    failures: u32,
    /// Whether a call before the next period is due.
    poll_scheduled: bool,
}

/// Sets the workers of the domain.
pub struct SetWorkers(pub Vec<Arc<WorkerSpec>>);

/// Starts a gang; its end is reported in any case.
pub struct StartGang(pub GangPlan);

/// Takes over a gang found on the workers.
pub struct AdoptGang {
    /// Plan as far as the workers tell.
    pub plan: GangPlan,
    /// Report of each member and the time at which it was asked for.
    pub reports: Vec<(TaskReport, Instant)>,
    /// Whether members that are committed are still to be started.
    pub resume: bool,
}

/// Stops the remains of earlier attempts of a job; their end is reported like that of a gang.
pub struct StopLeftovers(pub GangPlan);

/// Stops a member that belongs to no gang.
pub struct StopOrphan(pub Arc<WorkerSpec>, pub MemberId);

/// Stops a gang, after a checkpoint if a grace is given.
pub struct StopGang {
    /// Job.
    pub job: JobId,
    /// Time for the checkpoint.
    pub grace: Option<Duration>,
}

/// Renews leases and looks for silent workers.
pub struct RenewTick;

/// Asks how many workers answered lately, and how many there are.
pub struct CountReachable;

pub(crate) struct Poll(WorkerId);

pub(crate) struct WorkerAnswered {
    worker: WorkerId,
    sent: Instant,
    outcome: Result<WorkerReport, WorkerError>,
}

pub(crate) struct StartEnded {
    job: JobId,
    attempt: u32,
    report: StartReport,
}

pub(crate) struct CheckpointEnded {
    job: JobId,
    attempt: u32,
    kept: Vec<Option<u64>>,
}

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
            start_permits: Arc::new(Semaphore::new(MAX_STARTING)),
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
        // A worker that left the list may still run members; it is kept while it does.
        let used = |worker: &WorkerId| {
            let members = self.gangs.values().flat_map(|gang| &gang.members);
            members.into_iter().any(|member| member.place.worker.id == *worker)
        };
        let kept: Vec<_> = former.into_iter().filter(|(worker, _)| used(worker)).collect();
        self.workers.extend(kept);
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
        let track = GangTrack::new(plan, GangPhase::Starting, Instant::now());
        self.spawn_start(&track, false);
        self.gangs.insert(track.plan.job.clone(), track);
    }
}

impl Message<AdoptGang> for GangController {
    type Reply = ();

    async fn handle(&mut self, message: AdoptGang, _context: &mut Context<Self, ()>) {
        let phase = if message.resume { GangPhase::Starting } else { GangPhase::Running };
        let now = Instant::now();
        let mut track = GangTrack::new(message.plan, phase, now);
        for (member, (report, sent)) in track.members.iter_mut().zip(&message.reports) {
            member.confirmed_at = Some(*sent);
            member.finished = report.phase == MemberPhase::Finished;
            member.progress_ms = report.progress_ms;
            member.checkpoint_ms = report.checkpoint_ms;
        }
        if message.resume {
            self.spawn_start(&track, true);
        }
        let job = track.plan.job.clone();
        self.gangs.insert(job.clone(), track);
        if !message.resume {
            self.finish_if_done(&job);
        }
    }
}

impl Message<StopLeftovers> for GangController {
    type Reply = ();

    async fn handle(&mut self, message: StopLeftovers, _context: &mut Context<Self, ()>) {
        let track = GangTrack::new(message.0, GangPhase::Starting, Instant::now());
        let job = track.plan.job.clone();
        self.gangs.insert(job.clone(), track);
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
        let Some(track) = self.gangs.get_mut(&message.job) else {
            return;
        };
        match (track.phase, message.grace) {
            (GangPhase::Starting, _) => {
                track.end.get_or_insert(GangEnd::Stopped);
                track.cancel.send_replace(true);
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
        let Some(track) = self.find_attempt(&message.job, message.attempt) else {
            return;
        };
        for (member, confirmed_at) in track.members.iter_mut().zip(&message.report.confirmed_at) {
            member.confirmed_at = member.confirmed_at.max(*confirmed_at);
        }
        let end = track.end.clone().or(message.report.failure);
        match end {
            Some(end) => self.tear_down(&message.job, end),
            None => {
                let now = Instant::now();
                (track.phase, track.since) = (GangPhase::Running, now);
                track.running_since = Some(now);
                let workers: Vec<WorkerId> = track.by_worker().into_keys().cloned().collect();
                workers.iter().for_each(|worker| self.poll_at_expected_end(worker));
                self.emit(GangEvent::Started { job: message.job, attempt: message.attempt });
            }
        }
    }
}

impl Message<CheckpointEnded> for GangController {
    type Reply = ();

    async fn handle(&mut self, message: CheckpointEnded, _context: &mut Context<Self, ()>) {
        let Some(track) = self.find_attempt(&message.job, message.attempt) else {
            return;
        };
        for (member, kept) in track.members.iter_mut().zip(message.kept) {
            member.checkpoint_ms = member.checkpoint_ms.max(kept.unwrap_or(0));
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
        let Some(track) = self.gangs.remove(&message.job) else {
            return;
        };
        self.emit(GangEvent::Ended(summarize(&track)));
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
            .filter(|link| link.failures == 0 && link.last_answered_at.is_some());
        (reached.count(), self.workers.len())
    }
}

impl GangController {
    /// Returns the gang of a job if its attempt is the given one.
    fn find_attempt(&mut self, job: &JobId, attempt: u32) -> Option<&mut GangTrack> {
        self.gangs.get_mut(job).filter(|track| track.plan.attempt == attempt)
    }

    fn emit(&self, event: GangEvent) {
        (self.settings.sink)(event);
    }

    fn spawn_start(&self, track: &GangTrack, resume: bool) {
        let (starter, actor_ref) = (self.settings.starter.clone(), self.actor_ref.clone());
        let (plan, cancel) = (track.plan.clone(), track.cancel.subscribe());
        let span = tracing::info_span!("gang_start", job = %plan.job, attempt = plan.attempt);
        let members = u32::try_from(plan.members.len().min(MAX_STARTING)).unwrap_or(1);
        let start_permits = self.start_permits.clone();
        let start = async move {
            // The semaphore is never closed, so the wait cannot fail.
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

    /// Ends a gang whose members have all ended with success.
    fn finish_if_done(&mut self, job: &JobId) {
        let Some(track) = self.gangs.get(job).filter(|track| track.is_finished()) else {
            return;
        };
        let summary = GangSummary { end: GangEnd::Finished, ..summarize(track) };
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
            failures: 0,
            poll_scheduled: false,
        }
    }
}

fn summarize(track: &GangTrack) -> GangSummary {
    GangSummary {
        job: track.plan.job.clone(),
        attempt: track.plan.attempt,
        end: track.end.clone().unwrap_or(GangEnd::Stopped),
        checkpointed_ms: track.checkpointed_ms(),
        accelerators: track.accelerators(),
        confirmed_runtime: track.confirmed_runtime(),
    }
}

/// Returns whether a task is one of a probe, see the worker controller.
pub(crate) fn is_probe(member: &MemberId) -> bool {
    member.job.starts_with(crate::worker_controller::PROBE_PREFIX)
}
