//! Decides over the jobs of one failure domain under one epoch.
//!
//! The controller holds the job records that the domain owns and the planner. It follows the records
//! by a watch, tells the planner every event, and carries out what the planner decides: it writes a
//! record as running before the gang starts, and as queued or ended after the gang is gone. One write
//! of a record is in progress at a time; a newer content is written when the former is confirmed.

mod answers;
mod decisions;
mod ends;
mod leaving;
mod outs;
mod writes;

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
    DomainPlanner, MemberPlacement, PendingJob, RunningGang, WorkerCapacity, WorkerHealth,
};
use tokio::sync::mpsc;

use crate::context::ProcessContext;
use crate::gang_controller::{AdoptGang, GangController, StopOrphan, StopRemains};
use crate::history::EndedJob;
use crate::metrics::DomainLabel;
use crate::permission::StartPermission;
use crate::rebuild::{AdoptedGang, FoundJob, RebuildPlan};
use crate::tombstones::TombstoneSet;
use crate::worker_controller::WorkerController;

pub use answers::{AskDomain, DomainReply};
pub use ends::{EndsRecorded, JobFaulty};
pub use writes::StoreChanged;

/// Time for which a job waits that may still run on a worker that did not answer: the task lease and
/// the start permission.
pub const UNREACHABLE_WAIT: Duration = Duration::from_secs(12);

/// Ticks after which the planner is asked although nothing happened, since waiting times matter too.
const QUIET_TICKS: u32 = 4;
/// Ticks between checks of the planner's invariants.
const AUDIT_TICKS: u32 = 120;

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
    pub ends: mpsc::UnboundedSender<EndedJob>,
    /// What the rebuild found, until the workers are known.
    pub plan: Option<RebuildPlan>,
}

/// Decides over the jobs of one failure domain.
pub struct JobController {
    settings: JobSettings,
    me: ActorRef<Self>,
    planner: DomainPlanner,
    jobs: BTreeMap<JobId, JobEntry>,
    gone: TombstoneSet,
    mark_prefix: String,
    specs: BTreeMap<WorkerId, Arc<WorkerSpec>>,
    capacities: Vec<WorkerCapacity>,
    /// Accelerators that customers use in other domains.
    elsewhere: BTreeMap<CustomerName, u32>,
    /// Gangs that were decided but wait for the rate after a return.
    deferred: VecDeque<JobId>,
    pump_pending: bool,
    config_version: ConfigVersion,
    out_handled: bool,
    denial: Option<String>,
    /// Ticks since the newest decision.
    quiet_ticks: u32,
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
    gang: Option<GangPlaces>,
    /// Content that is not written yet.
    dirty: bool,
    writing: bool,
    /// Starts that failed in a row.
    failed_starts: u32,
    /// Failures while running since the newest checkpoint.
    failures: u32,
    /// Workers on which the job failed lately.
    avoided: Vec<WorkerId>,
    /// Time until which it may run on a worker that did not answer the rebuild.
    unreachable_until: Option<Instant>,
}

struct GangPlaces {
    members: Vec<MemberPlacement>,
    guaranteed: bool,
    decided: Instant,
    /// Work kept before this attempt.
    kept_before: u64,
    running: bool,
}

/// States where a job stands.
#[derive(Clone, Debug, PartialEq)]
enum JobPhase {
    /// Arrives from another domain.
    Arriving,
    /// Waits a moment after failed attempts.
    Blocked(Instant),
    /// May still run on a worker that did not answer; waits at least until then.
    Unreachable(Instant),
    /// Waits in the planner's queue.
    Waiting,
    /// A start is decided and waits for the rate after a return.
    Deferred,
    /// A start is decided and its record is being written.
    Claiming,
    /// The gang is starting or running.
    Active,
    /// The gang is being stopped.
    Stopping(StopReason),
    /// Goes to another domain.
    Leaving(DomainName),
    /// Its end is being recorded.
    Ending,
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
struct Pump;

/// Looks for jobs whose wait is over and writes again what failed.
pub struct JobTick;

/// Tells that the settings or the vetoes changed.
pub struct SettingsChanged;

/// Sets the accelerators that customers use in other domains.
pub struct SetElsewhere(pub BTreeMap<CustomerName, u32>);

/// Sets the workers.
pub struct SetCapacities(pub Vec<WorkerCapacity>, pub Vec<Arc<WorkerSpec>>);

impl Actor for JobController {
    type Args = JobSettings;
    type Error = std::convert::Infallible;

    async fn on_start(settings: JobSettings, me: ActorRef<Self>) -> Result<Self, Self::Error> {
        let config = settings.context.membership.current();
        let choice = config.policy(&settings.domain, None, None).placement;
        let planner = DomainPlanner::new(settings.domain.clone(), choice, settings.epoch);
        let mark_prefix = format!("{}#", settings.issuer_name);
        let mut controller = Self {
            settings,
            me,
            planner,
            jobs: BTreeMap::new(),
            gone: TombstoneSet::default(),
            mark_prefix,
            specs: BTreeMap::new(),
            capacities: Vec::new(),
            elsewhere: BTreeMap::new(),
            deferred: VecDeque::new(),
            pump_pending: false,
            config_version: 0,
            out_handled: false,
            denial: None,
            quiet_ticks: 0,
            ticks: 0,
            starts: 0,
            preemptions: 0,
        };
        controller.follow_settings();
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
            self.take_plan(plan);
        }
        self.request_pump();
    }
}

impl Message<SetElsewhere> for JobController {
    type Reply = ();

    async fn handle(&mut self, message: SetElsewhere, _context: &mut Context<Self, ()>) {
        if self.elsewhere != message.0 {
            self.elsewhere = message.0;
            self.set_customers();
            self.request_pump();
        }
    }
}

impl Message<SettingsChanged> for JobController {
    type Reply = ();

    async fn handle(&mut self, _message: SettingsChanged, _context: &mut Context<Self, ()>) {
        self.follow_settings();
        self.follow_out();
        self.request_pump();
    }
}

impl Message<JobTick> for JobController {
    type Reply = ();

    async fn handle(&mut self, _tick: JobTick, _context: &mut Context<Self, ()>) {
        self.follow_out();
        let now = Instant::now();
        let fenced = self.out_handled || self.is_fenced();
        let due = |entry: &JobEntry| match entry.phase {
            JobPhase::Blocked(until) => until <= now,
            JobPhase::Unreachable(until) => until <= now && fenced,
            _ => false,
        };
        let free: Vec<JobId> =
            self.jobs.iter().filter(|(_, entry)| due(entry)).map(|(job, _)| job.clone()).collect();
        for job in free {
            self.admit(&job);
        }
        self.retry_writes();
        self.hand_over();
        let free = self.planner.counts().accelerators_free;
        let settings = &self.settings;
        settings.context.membership.set_scheduling(&settings.domain, settings.epoch, free);
        self.quiet_ticks += 1;
        self.ticks = self.ticks.wrapping_add(1);
        if self.ticks.is_multiple_of(AUDIT_TICKS) {
            // Violations are logged and counted by the planner.
            let _ = self.planner.check_invariants();
        }
        if self.denial.is_some() || !self.deferred.is_empty() || self.quiet_ticks >= QUIET_TICKS {
            self.request_pump();
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
    fn take_plan(&mut self, plan: RebuildPlan) {
        for gang in plan.adopted {
            self.adopt(gang);
        }
        for (found, remains) in plan.waiting {
            let job = found.record.id.clone();
            let until = found.blocked.then(|| Instant::now() + UNREACHABLE_WAIT);
            let mut entry = JobEntry::new(found, self.settings.context.now());
            entry.unreachable_until = until;
            if let Some(remains) = remains {
                entry.phase = JobPhase::Stopping(StopReason::Remains);
                self.jobs.insert(job, entry);
                let _ = self.settings.gangs.tell(StopRemains(remains)).try_send();
            } else {
                self.jobs.insert(job.clone(), entry);
                self.admit(&job);
            }
        }
        for found in plan.ended {
            let job = found.record.id.clone();
            self.jobs.insert(job.clone(), JobEntry::new(found, Duration::ZERO));
            self.admit(&job);
        }
        for found in plan.foreign {
            let job = found.record.id.clone();
            let owner = found.record.owner.clone();
            let mut entry = JobEntry::new(found, Duration::ZERO);
            entry.phase = JobPhase::Leaving(owner);
            self.jobs.insert(job.clone(), entry);
            self.send_away(&job);
        }
        for (worker, member) in plan.orphans {
            let _ = self.settings.gangs.tell(StopOrphan(worker, member)).try_send();
        }
        // What was adopted in a domain that is out is to follow the policy too.
        self.out_handled = false;
        self.follow_out();
    }

    fn adopt(&mut self, gang: AdoptedGang) {
        let AdoptedGang { found, plan, reports, resume } = gang;
        let Some(found) = found else {
            return;
        };
        let now = self.settings.context.now();
        let members: Vec<MemberPlacement> = plan
            .members
            .iter()
            .map(|member| MemberPlacement {
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
        self.planner.adopt(RunningGang {
            job: record.id.clone(),
            spec: record.spec.clone(),
            members: members.clone(),
            guaranteed: record.guaranteed,
            preemptions: record.preemptions,
            checkpointed_at: now,
        });
        entry.gang = Some(GangPlaces {
            members,
            guaranteed: record.guaranteed,
            decided: Instant::now(),
            kept_before: record.checkpoint_ms,
            running: !resume,
        });
        // The record names the epoch that is responsible for the attempt now.
        record.epoch = self.settings.epoch;
        entry.phase = JobPhase::Active;
        entry.dirty = true;
        let job = entry.record.id.clone();
        self.jobs.insert(job.clone(), entry);
        self.flush(&job);
        let _ = self.settings.gangs.tell(AdoptGang { plan, reports, resume }).try_send();
    }

    /// Takes a job that is to wait, after its arrival is confirmed.
    fn admit(&mut self, job: &JobId) {
        let Some(entry) = self.jobs.get_mut(job) else {
            return;
        };
        if entry.record.arrival.is_some() {
            entry.phase = JobPhase::Arriving;
            self.receive(job);
        } else if entry.record.state.is_final() {
            self.end(job);
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
        entry.phase = JobPhase::Waiting;
        entry.gang = None;
        if entry.record.state != JobState::Queued {
            entry.record.state = JobState::Queued;
            entry.dirty = true;
        }
        self.planner
            .enqueue(PendingJob { record: entry.record.clone(), waiting_since: entry.since });
        entry.avoided.iter().for_each(|worker| self.planner.avoid_worker(job, worker));
        self.flush(job);
        self.request_pump();
    }

    /// Asks for decisions once the messages that wait already are handled.
    fn request_pump(&mut self) {
        if !self.pump_pending {
            self.pump_pending = true;
            let _ = self.me.tell(Pump).try_send();
        }
    }
}

impl JobEntry {
    fn new(found: FoundJob, since: Duration) -> Self {
        Self {
            record: found.record,
            revision: found.revision,
            phase: JobPhase::Waiting,
            since,
            gang: None,
            dirty: false,
            writing: false,
            failed_starts: 0,
            failures: 0,
            avoided: Vec::new(),
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
