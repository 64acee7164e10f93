//! Manages the jobs of one failure domain under one epoch.
//!
//! The controller owns the planner and the records of the domain's jobs. It watches the records in
//! the store, reports every event to the planner and applies the planner's decisions: a record is
//! written as running before its gang starts, and as queued or ended once no member holds
//! accelerators any longer. At most one write of a record is in flight; newer content is written
//! once the previous write is confirmed.

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
use lacewingrail_model::store::Revision;
use lacewingrail_model::worker::WorkerSpec;
use lacewingrail_model::write_id::WriteIdGenerator;
use lacewingrail_model::{
    ConfigVersion, CustomerName, DomainName, Epoch, InstanceId, JobId, WorkerId,
};
use lacewingrail_placement::{
    DomainPlanner, MemberPlacement, PendingJob, RunningGang, WorkerCapacity, WorkerHealth,
};
use tokio::sync::mpsc;

use crate::context::ProcessContext;
use crate::gang_controller::{AdoptGang, GangController, StopLeftovers, StopOrphan};
use crate::history::EndedJob;
use crate::metrics::DomainLabel;
use crate::permission::StartPermission;
use crate::rebuild::{AdoptedGang, RebuildPlan, StoredJob};
use crate::tombstones::TombstoneSet;
use crate::worker_controller::WorkerController;

pub use gang_events::{JobFaulty, JobsArchived};
pub use queries::{DomainReply, QueryDomain};
pub use record_sync::StoreChanged;

/// Delay before a job that may still run on an unreachable worker is started again: the task lease
/// of 10 s plus the start permission of 2 s.
pub const UNREACHABLE_DELAY: Duration = Duration::from_secs(12);

/// Ticks without a planning round after which one is run anyway, because priorities change with the
/// waiting time.
const IDLE_PLANNING_TICKS: u32 = 4;
/// Ticks between checks of the planner's invariants.
const INVARIANT_CHECK_TICKS: u32 = 120;

/// Identity and dependencies of a [`JobController`].
pub struct JobSettings {
    /// State and services shared by the controllers of the process.
    pub context: Arc<ProcessContext>,
    /// Failure domain whose jobs are managed.
    pub domain: DomainName,
    /// Epoch under which the domain is scheduled; it does not change while the controller runs.
    pub epoch: Epoch,
    /// Permission that must hold before a task starts.
    pub permission: Arc<StartPermission>,
    /// Controller that starts and stops the gangs of the domain.
    pub gangs: ActorRef<GangController>,
    /// Controller that tracks the workers of the domain.
    pub workers: ActorRef<WorkerController>,
    /// Generator of the write ids in this domain's records.
    pub write_id_generator: Arc<WriteIdGenerator>,
    /// Writer name with which the ids of `write_id_generator` begin.
    pub writer_name: InstanceId,
    /// Channel to the task that moves ended jobs to the history.
    pub ended_jobs: mpsc::UnboundedSender<EndedJob>,
    /// Result of the rebuild; taken when the first capacities arrive.
    pub plan: Option<RebuildPlan>,
}

/// Manages the jobs of one failure domain.
pub struct JobController {
    settings: JobSettings,
    actor_ref: ActorRef<Self>,
    planner: DomainPlanner,
    jobs: BTreeMap<JobId, JobEntry>,
    tombstones: TombstoneSet,
    /// Prefix of the ids of this controller's own writes.
    write_id_prefix: String,
    specs: BTreeMap<WorkerId, Arc<WorkerSpec>>,
    capacities: Vec<WorkerCapacity>,
    /// Accelerators in use in other domains, by customer.
    external_usage: BTreeMap<CustomerName, u32>,
    /// Placed jobs that wait for the rate limit on starts after the domain returns to service.
    deferred: VecDeque<JobId>,
    planning_pending: bool,
    config_version: ConfigVersion,
    /// Whether the domain was out of service when its state was last applied.
    domain_out: bool,
    /// Reason why the last planning round refused starts; `None` if it refused none.
    denial: Option<String>,
    /// Ticks since the last planning round.
    idle_ticks: u32,
    /// Ticks since the controller started; wraps around.
    ticks: u32,
    /// Gangs that have started under this controller.
    starts: u64,
    /// Preemptions that this controller has decided.
    preemptions: u64,
}

/// State of one job.
struct JobEntry {
    record: JobRecord,
    revision: Revision,
    phase: JobPhase,
    /// Planner time at which the job began to wait.
    waiting_since: Duration,
    /// Placement of the current attempt, if its gang may hold accelerators.
    gang: Option<GangPlacement>,
    /// Whether the record has changes that are not written yet.
    dirty: bool,
    write_in_flight: bool,
    /// Consecutive failed starts.
    failed_starts: u32,
    /// Task failures since the newest checkpoint.
    failures: u32,
    /// Workers on which the job failed recently, oldest first.
    avoided_workers: Vec<WorkerId>,
    /// Time until which the job may run on a worker that did not answer the rebuild.
    unreachable_until: Option<Instant>,
}

/// Placement of an attempt whose gang may hold accelerators.
struct GangPlacement {
    members: Vec<MemberPlacement>,
    /// Whether the accelerators are part of the customer's guarantee, as opposed to borrowed.
    guaranteed: bool,
    decided_at: Instant,
    /// Checkpointed work of earlier attempts, in milliseconds.
    prior_checkpoint_ms: u64,
    /// Whether all members run.
    running: bool,
}

/// Phase of a job within this domain.
#[derive(Clone, Debug, PartialEq)]
enum JobPhase {
    /// Handed over by another domain; the handover is being confirmed.
    HandoverIn,
    /// Waits for the backoff after failed attempts, until the given time.
    BackingOff(Instant),
    /// May still run on an unreachable worker; waits at least until the given time.
    Unreachable(Instant),
    /// Waits in the planner's queue.
    Queued,
    /// Placed; waits for the rate limit on starts after the domain returns to service.
    Deferred,
    /// Placed; the record of the new attempt is being written.
    Claiming,
    /// The gang is starting or running.
    Active,
    /// The gang is being stopped for the given reason.
    Stopping(StopReason),
    /// Is being handed over to the given domain.
    HandoverOut(DomainName),
    /// Has ended and is being moved to the history.
    Archiving,
}

/// Reason why a gang is stopped; it determines what happens to the job afterwards.
#[derive(Clone, Debug, Eq, PartialEq)]
enum StopReason {
    /// Its accelerators are needed by another job.
    Preempted,
    /// The customer cancelled the job.
    Cancelled,
    /// Operators took the domain out; the job is handed over if another domain can take it.
    DomainOut {
        /// Whether a checkpoint is written first.
        checkpoint: bool,
    },
    /// The job fails on every worker; carries the reason for the customer.
    Faulty(String),
    /// Members of earlier attempts were found by the rebuild; the job is queued afterwards.
    Remains,
    /// The record was deleted or belongs to another domain.
    Disowned,
}

/// Runs planning rounds.
struct RunPlanner;

/// Resumes jobs whose delay has passed, repeats failed writes and hands over jobs.
pub struct JobTick;

/// Announces that the settings or the vetoes changed.
pub struct SettingsChanged;

/// Replaces the accelerators in use in other domains, by customer.
pub struct SetExternalUsage(pub BTreeMap<CustomerName, u32>);

/// Replaces the capacities and descriptions of the workers.
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
        let write_id_prefix = format!("{}#", settings.writer_name);
        let mut controller = Self {
            settings,
            actor_ref,
            planner,
            jobs: BTreeMap::new(),
            tombstones: TombstoneSet::default(),
            write_id_prefix,
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
        // Keep the description of a worker that left the list while a placement refers to it.
        let mut former = std::mem::take(&mut self.specs);
        let used = self.jobs.values().flat_map(|entry| &entry.gang);
        let used = used.flat_map(|gang| &gang.members).map(|placement| &placement.worker);
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
        let restart_allowed = self.domain_out || self.has_worker_majority();
        let due = |entry: &JobEntry| match entry.phase {
            JobPhase::BackingOff(until) => until <= now,
            JobPhase::Unreachable(until) => until <= now && restart_allowed,
            _ => false,
        };
        let due_jobs: Vec<JobId> =
            self.jobs.iter().filter(|(_, entry)| due(entry)).map(|(job, _)| job.clone()).collect();
        for job in due_jobs {
            self.resume_job(&job);
        }
        self.retry_failed_writes();
        self.hand_over_jobs();
        let free = self.planner.counts().accelerators_free;
        let settings = &self.settings;
        settings.context.membership.set_own_scheduler(&settings.domain, settings.epoch, free);
        self.idle_ticks += 1;
        self.ticks = self.ticks.wrapping_add(1);
        if self.ticks.is_multiple_of(INVARIANT_CHECK_TICKS) {
            // The planner logs and counts violations itself.
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

    /// Returns whether more than half of the workers answer under this epoch.
    ///
    /// A former lease holder that still reaches at least half of the workers has then met one that
    /// rejected its epoch, so it has stopped renewing its gangs.
    fn has_worker_majority(&self) -> bool {
        let silent = |capacity: &&WorkerCapacity| capacity.health == WorkerHealth::Silent;
        self.capacities.iter().filter(silent).count() * 2 < self.capacities.len()
    }

    /// Applies the result of the rebuild.
    fn apply_rebuild_plan(&mut self, plan: RebuildPlan) {
        for gang in plan.adopted {
            self.adopt(gang);
        }
        for (stored_job, leftovers) in plan.waiting {
            let job = stored_job.record.id.clone();
            let until = stored_job.may_be_running.then(|| Instant::now() + UNREACHABLE_DELAY);
            let mut entry = JobEntry::new(stored_job, self.settings.context.now());
            entry.unreachable_until = until;
            if let Some(leftovers) = leftovers {
                entry.phase = JobPhase::Stopping(StopReason::Remains);
                self.jobs.insert(job, entry);
                let _ = self.settings.gangs.tell(StopLeftovers(leftovers)).try_send();
            } else {
                self.jobs.insert(job.clone(), entry);
                self.resume_job(&job);
            }
        }
        for stored_job in plan.ended {
            let job = stored_job.record.id.clone();
            self.jobs.insert(job.clone(), JobEntry::new(stored_job, Duration::ZERO));
            self.resume_job(&job);
        }
        for stored_job in plan.foreign {
            let job = stored_job.record.id.clone();
            let owner = stored_job.record.owner.clone();
            let mut entry = JobEntry::new(stored_job, Duration::ZERO);
            entry.phase = JobPhase::HandoverOut(owner);
            self.jobs.insert(job.clone(), entry);
            self.send_handover(&job);
        }
        for (worker, member) in plan.orphans {
            let _ = self.settings.gangs.tell(StopOrphan(worker, member)).try_send();
        }
        // If the domain is out of service, its policy applies to the adopted gangs too.
        self.domain_out = false;
        self.apply_domain_state();
    }

    fn adopt(&mut self, gang: AdoptedGang) {
        let AdoptedGang { stored_job, plan, reports, resume } = gang;
        let Some(stored_job) = stored_job else {
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
        let mut entry = JobEntry::new(stored_job, now);
        let record = &mut entry.record;
        self.planner.adopt(RunningGang {
            job: record.id.clone(),
            spec: record.spec.clone(),
            members: members.clone(),
            guaranteed: record.guaranteed,
            preemptions: record.preemptions,
            checkpointed_at: now,
        });
        entry.gang = Some(GangPlacement {
            members,
            guaranteed: record.guaranteed,
            decided_at: Instant::now(),
            prior_checkpoint_ms: record.checkpoint_ms,
            running: !resume,
        });
        // The attempt continues under the epoch of this scheduler.
        record.epoch = self.settings.epoch;
        entry.phase = JobPhase::Active;
        entry.dirty = true;
        let job = entry.record.id.clone();
        self.jobs.insert(job.clone(), entry);
        self.write_record(&job);
        let _ = self.settings.gangs.tell(AdoptGang { plan, reports, resume }).try_send();
    }

    /// Moves a job without a gang to the phase that follows from its record.
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

    /// Queues a job in the planner.
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
        self.planner.enqueue(PendingJob {
            record: entry.record.clone(),
            waiting_since: entry.waiting_since,
        });
        entry.avoided_workers.iter().for_each(|worker| self.planner.avoid_worker(job, worker));
        self.write_record(job);
        self.request_planning();
    }

    /// Schedules a planning round after the messages that are already in the mailbox.
    fn request_planning(&mut self) {
        if !self.planning_pending {
            self.planning_pending = true;
            let _ = self.actor_ref.tell(RunPlanner).try_send();
        }
    }
}

impl JobEntry {
    fn new(stored_job: StoredJob, waiting_since: Duration) -> Self {
        Self {
            record: stored_job.record,
            revision: stored_job.revision,
            phase: JobPhase::Queued,
            waiting_since,
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

/// Returns a unique writer name for the writes of one leadership.
///
/// A rebuild can be repeated under the same epoch while writes of the previous leadership are still
/// in flight, so the epoch alone does not distinguish the two.
pub fn unique_writer_name(instance: &InstanceId, domain: &DomainName, epoch: Epoch) -> InstanceId {
    format!("{instance}/{domain}/{epoch}-{:08x}", rand::random::<u32>())
}
