//! Decides over the jobs of one failure domain under one epoch.
//!
//! The controller holds the job records that the domain owns and the planner. It follows the records
//! by a watch, tells the planner every event, and carries out what the planner decides: it writes a
//! record as running before the gang starts, and as queued or ended after the gang is gone. One write
//! of a record is in progress at a time; a newer content is written when the former is confirmed.

mod decisions;
mod domain_config;
mod gang_events;
mod handovers;
mod queries;
mod record_sync;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use lacewingrail_model::job::{JobRecord, JobState};
use lacewingrail_model::mark::MarkIssuer;
use lacewingrail_model::store::Revision;
use lacewingrail_model::worker::WorkerSpec;
use lacewingrail_model::{
    ConfigVersion, CustomerName, DomainName, Epoch, InstanceId, JobId, WorkerId,
};
use lacewingrail_placement::{
    DomainPlanner, MemberPlace, RunningEntry, WaitingEntry, WorkerCapacity, WorkerHealth,
};
use tokio::sync::mpsc;

use crate::context::ProcessContext;
use crate::gang_controller::{AdoptGang, GangController, StopLeftovers, StopOrphan};
use crate::history::EndedJob;
use crate::metrics::DomainLabel;
use crate::permission::StartPermission;
use crate::rebuild::{AdoptedGang, FoundJob, RebuildPlan};
use crate::tombstones::TombstoneSet;
use crate::worker_controller::WorkerController;

pub use gang_events::{JobFaulty, JobsArchived};
pub use queries::{DomainReply, QueryDomain};
pub use record_sync::StoreChanged;

/// Time for which a job waits that may still run on a worker that did not answer: the task lease and
/// the start permission.
pub const UNREACHABLE_DELAY: Duration = Duration::from_secs(12);

/// Ticks after which the planner is asked although nothing happened, since waiting times matter too.
const IDLE_PLANNING_TICKS: u32 = 4;
/// Ticks between checks of the planner's invariants.
const INVARIANT_CHECK_TICKS: u32 = 120;

/// Holds what a controller works with.
pub struct JobSettings {
    /// Process.
    pub context: Arc<ProcessContext>,
    /// Failure domain.
    pub domain: DomainName,
    /// Epoch.
    pub epoch: Epoch,
    /// Permission to start.
    pub permission: Arc<StartPermission>,
    /// Gang controller.
    pub gangs: ActorRef<GangController>,
    /// Worker controller.
    pub workers: ActorRef<WorkerController>,
    /// Issuer of the marks of this domain's records.
    pub issuer: Arc<MarkIssuer>,
    /// Name with which those marks begin.
    pub issuer_name: InstanceId,
    /// Writer of ends.
    pub ended_jobs: mpsc::UnboundedSender<EndedJob>,
    /// What the rebuild found, until the workers are known.
    pub plan: Option<RebuildPlan>,
}

/// Decides over the jobs of one failure domain.
pub struct JobController {
    settings: JobSettings,
    actor_ref: ActorRef<Self>,
    planner: DomainPlanner,
    jobs: BTreeMap<JobId, JobEntry>,
    tombstones: TombstoneSet,
    mark_prefix: String,
    specs: BTreeMap<WorkerId, Arc<WorkerSpec>>,
    capacities: Vec<WorkerCapacity>,
    /// Accelerators that customers use in other domains.
    external_usage: BTreeMap<CustomerName, u32>,
    /// Gangs that were decided but wait for the rate after a return.
    deferred: VecDeque<JobId>,
    planning_pending: bool,
    config_version: ConfigVersion,
    domain_out: bool,
    denial: Option<String>,
    /// Ticks since the newest decision.
    idle_ticks: u32,
    ticks: u32,
    starts: u64,
    preemptions: u64,
}

/// Follows one job.
struct JobEntry {
    record: JobRecord,
    revision: Revision,
    phase: JobPhase,
    /// Planner time since which the job waits.
    since: Duration,
    /// Attempt of a gang that exists or may exist on workers.
    gang: Option<GangPlacement>,
    /// Content that is not written yet.
    dirty: bool,
    write_in_flight: bool,
    /// Starts that failed in a row.
    failed_starts: u32,
    /// Failures while running since the newest checkpoint.
    failures: u32,
    /// Workers on which the job failed lately.
    avoided_workers: Vec<WorkerId>,
    /// Time until which it may run on a worker that did not answer the rebuild.
    unreachable_until: Option<Instant>,
}

struct GangPlacement {
    members: Vec<MemberPlace>,
    guaranteed: bool,
    decided_at: Instant,
    /// Work kept before this attempt.
    prior_checkpoint_ms: u64,
    running: bool,
}

/// States where a job stands.
#[derive(Clone, Debug, PartialEq)]
enum JobPhase {
    /// Arrives from another domain.
    HandoverIn,
    /// Waits a moment after failed attempts.
    BackingOff(Instant),
    /// May still run on a worker that did not answer; waits at least until then.
    Unreachable(Instant),
    /// Waits in the planner's queue.
    Queued,
    /// A start is decided and waits for the rate after a return.
    Deferred,
    /// A start is decided and its record is being written.
    Claiming,
    /// The gang is starting or running.
    Active,
    /// The gang is being stopped.
    Stopping(StopReason),
    /// Goes to another domain.
    HandoverOut(DomainName),
    /// Its end is being recorded.
    Archiving,
}

/// States why a gang is being stopped, which decides over what follows.
#[derive(Clone, Debug, Eq, PartialEq)]
enum StopReason {
    /// Another job takes the place.
    Preempted,
    /// The customer cancelled the job.
    Cancelled,
    /// Operators took the domain out; the job moves if it can, with or without a checkpoint.
    DomainOut {
        /// Whether a checkpoint is written first.
        checkpoint: bool,
    },
    /// The job fails on every worker.
    Faulty(String),
    /// Remains of earlier attempts; the job then waits.
    Remains,
    /// The record is owned by another domain or gone.
    Disowned,
}

/// Takes decisions.
struct RunPlanner;

/// Looks for jobs whose wait is over and writes again what failed.
pub struct JobTick;

/// Tells that the settings or the vetoes changed.
pub struct SettingsChanged;

/// Sets the accelerators that customers use in other domains.
pub struct SetExternalUsage(pub BTreeMap<CustomerName, u32>);

/// Sets the workers.
pub struct SetCapacities(pub Vec<WorkerCapacity>, pub Vec<Arc<WorkerSpec>>);

impl Actor for JobController {
    type Args = JobSettings;
    type Error = std::convert::Infallible;

    async fn on_start(
        settings: JobSettings,
        actor_ref: ActorRef<Self>,
    ) -> Result<Self, Self::Error> {
        let config = settings.context.membership.current();
        let choice = config.policy(&settings.domain, None, None).placement;
        let planner = DomainPlanner::new(settings.domain.clone(), choice, settings.epoch);
        let mark_prefix = format!("{}#", settings.issuer_name);
        let mut controller = Self {
            settings,
            actor_ref,
            planner,
            jobs: BTreeMap::new(),
            tombstones: TombstoneSet::default(),
            mark_prefix,
            specs: BTreeMap::new(),
            capacities: Vec::new(),
            external_usage: BTreeMap::new(),
            deferred: VecDeque::new(),
            planning_pending: false,
            config_version: 0,
            domain_out: false,
            denial: None,
            idle_ticks: 0,
            ticks: 0,
            starts: 0,
            preemptions: 0,
        };
        controller.apply_config();
        Ok(controller)
    }
}

impl Message<SetCapacities> for JobController {
    type Reply = ();

    async fn handle(&mut self, message: SetCapacities, _context: &mut Context<Self, ()>) {
        let SetCapacities(capacities, specs) = message;
        self.planner.set_workers(capacities.clone());
        self.capacities = capacities;
        // A worker that left the list may be in a place that was decided before.
        let mut former = std::mem::take(&mut self.specs);
        let used = self.jobs.values().flat_map(|entry| &entry.gang);
        let used = used.flat_map(|gang| &gang.members).map(|place| &place.worker);
        self.specs = used.filter_map(|worker| former.remove_entry(worker)).collect();
        self.specs.extend(specs.into_iter().map(|spec| (spec.id.clone(), spec)));
        if let Some(plan) = self.settings.plan.take() {
            self.apply_rebuild_plan(plan);
        }
        self.request_planning();
    }
}

impl Message<SetExternalUsage> for JobController {
    type Reply = ();

    async fn handle(&mut self, message: SetExternalUsage, _context: &mut Context<Self, ()>) {
        if self.external_usage != message.0 {
            self.external_usage = message.0;
            self.set_customers();
            self.request_planning();
        }
    }
}

impl Message<SettingsChanged> for JobController {
    type Reply = ();

    async fn handle(&mut self, _message: SettingsChanged, _context: &mut Context<Self, ()>) {
        self.apply_config();
        self.apply_domain_state();
        self.request_planning();
    }
}

impl Message<JobTick> for JobController {
    type Reply = ();

    async fn handle(&mut self, _tick: JobTick, _context: &mut Context<Self, ()>) {
        self.apply_domain_state();
        let now = Instant::now();
        let fenced = self.domain_out || self.is_fenced();
        let due = |entry: &JobEntry| match entry.phase {
            JobPhase::BackingOff(until) => until <= now,
            JobPhase::Unreachable(until) => until <= now && fenced,
            _ => false,
        };
        let free: Vec<JobId> =
            self.jobs.iter().filter(|(_, entry)| due(entry)).map(|(job, _)| job.clone()).collect();
        for job in free {
            self.resume_job(&job);
        }
        self.retry_failed_writes();
        self.hand_over_jobs();
        let free = self.planner.counts().accelerators_free;
        let settings = &self.settings;
        settings.context.membership.set_scheduling(&settings.domain, settings.epoch, free);
        self.idle_ticks += 1;
        self.ticks = self.ticks.wrapping_add(1);
        if self.ticks.is_multiple_of(INVARIANT_CHECK_TICKS) {
            // Violations are logged and counted by the planner.
            let _ = self.planner.check_invariants();
        }
        if self.denial.is_some()
            || !self.deferred.is_empty()
            || self.idle_ticks >= IDLE_PLANNING_TICKS
        {
            self.request_planning();
        }
    }
}

impl JobController {
    fn label(&self) -> DomainLabel {
        DomainLabel { domain: self.settings.domain.clone() }
    }

    /// Returns whether more than half of the workers follow this scheduler.
    ///
    /// A former holder that still reaches at least half of them has then met a worker that refused
    /// its epoch, and renews nothing any more.
    fn is_fenced(&self) -> bool {
        let silent = |capacity: &&WorkerCapacity| capacity.health == WorkerHealth::Silent;
        self.capacities.iter().filter(silent).count() * 2 < self.capacities.len()
    }

    /// Takes over what the rebuild found.
    fn apply_rebuild_plan(&mut self, plan: RebuildPlan) {
        for gang in plan.adopted {
            self.adopt(gang);
        }
        for (found, remains) in plan.waiting {
            let job = found.record.id.clone();
            let until = found.may_be_running.then(|| Instant::now() + UNREACHABLE_DELAY);
            let mut entry = JobEntry::new(found, self.settings.context.now());
            entry.unreachable_until = until;
            if let Some(remains) = remains {
                entry.phase = JobPhase::Stopping(StopReason::Remains);
                self.jobs.insert(job, entry);
                let _ = self.settings.gangs.tell(StopLeftovers(remains)).try_send();
            } else {
                self.jobs.insert(job.clone(), entry);
                self.resume_job(&job);
            }
        }
        for found in plan.ended {
            let job = found.record.id.clone();
            self.jobs.insert(job.clone(), JobEntry::new(found, Duration::ZERO));
            self.resume_job(&job);
        }
        for found in plan.foreign {
            let job = found.record.id.clone();
            let owner = found.record.owner.clone();
            let mut entry = JobEntry::new(found, Duration::ZERO);
            entry.phase = JobPhase::HandoverOut(owner);
            self.jobs.insert(job.clone(), entry);
            self.send_handover(&job);
        }
        for (worker, member) in plan.orphans {
            let _ = self.settings.gangs.tell(StopOrphan(worker, member)).try_send();
        }
        // What was adopted in a domain that is out is to follow the policy too.
        self.domain_out = false;
        self.apply_domain_state();
    }

    fn adopt(&mut self, gang: AdoptedGang) {
        let AdoptedGang { found, plan, reports, resume } = gang;
        let Some(found) = found else {
            return;
        };
        let now = self.settings.context.now();
        let members: Vec<MemberPlace> = plan
            .members
            .iter()
            .map(|member| MemberPlace {
                index: member.id.index,
                worker: member.worker.id.clone(),
                accelerators: member.accelerators,
            })
            .collect();
        for member in &plan.members {
            self.specs.entry(member.worker.id.clone()).or_insert_with(|| member.worker.clone());
        }
        let mut entry = JobEntry::new(found, now);
        let record = &mut entry.record;
        self.planner.adopt(RunningEntry {
            job: record.id.clone(),
            spec: record.spec.clone(),
            members: members.clone(),
            guaranteed: record.guaranteed,
            preemptions: record.preemptions,
            checkpointed: now,
        });
        entry.gang = Some(GangPlacement {
            members,
            guaranteed: record.guaranteed,
            decided_at: Instant::now(),
            prior_checkpoint_ms: record.checkpoint_ms,
            running: !resume,
        });
        // The record names the epoch that is responsible for the attempt now.
        record.epoch = self.settings.epoch;
        entry.phase = JobPhase::Active;
        entry.dirty = true;
        let job = entry.record.id.clone();
        self.jobs.insert(job.clone(), entry);
        self.write_record(&job);
        let _ = self.settings.gangs.tell(AdoptGang { plan, reports, resume }).try_send();
    }

    /// Takes a job that is to wait, after its arrival is confirmed.
    fn resume_job(&mut self, job: &JobId) {
        let Some(entry) = self.jobs.get_mut(job) else {
            return;
        };
        if entry.record.arrival.is_some() {
            entry.phase = JobPhase::HandoverIn;
            self.receive_handover(job);
        } else if entry.record.state.is_final() {
            self.archive(job);
        } else if let Some(until) = entry.unreachable_until.take() {
            entry.phase = JobPhase::Unreachable(until);
        } else {
            self.enqueue(job);
        }
    }

    /// Puts a job into the planner's queue.
    fn enqueue(&mut self, job: &JobId) {
        let Some(entry) = self.jobs.get_mut(job) else {
            return;
        };
        entry.phase = JobPhase::Queued;
        entry.gang = None;
        if entry.record.state != JobState::Queued {
            entry.record.state = JobState::Queued;
            entry.dirty = true;
        }
        self.planner.enqueue(WaitingEntry { record: entry.record.clone(), since: entry.since });
        entry.avoided_workers.iter().for_each(|worker| self.planner.avoid(job, worker));
        self.write_record(job);
        self.request_planning();
    }

    /// Asks for decisions once the messages that wait already are handled.
    fn request_planning(&mut self) {
        if !self.planning_pending {
            self.planning_pending = true;
            let _ = self.actor_ref.tell(RunPlanner).try_send();
        }
    }
}

impl JobEntry {
    fn new(found: FoundJob, since: Duration) -> Self {
        Self {
            record: found.record,
            revision: found.revision,
            phase: JobPhase::Queued,
            since,
            gang: None,
            dirty: false,
            write_in_flight: false,
            failed_starts: 0,
            failures: 0,
            avoided_workers: Vec::new(),
            unreachable_until: None,
        }
    }
}

/// Returns a new name under which one leadership marks its writes of job records.
///
/// A rebuild may be repeated under the same epoch, and writes of the former leadership may still be on
/// their way, so the epoch alone does not tell the two apart.
pub fn fresh_issuer_name(instance: &InstanceId, domain: &DomainName, epoch: Epoch) -> InstanceId {
    format!("{instance}/{domain}/{epoch}-{:08x}", rand::random::<u32>())
}
