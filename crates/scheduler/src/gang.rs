//! State of one gang in the gang controller, which coordinates it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use lacewingrail_model::worker::{MemberId, TASK_LEASE_TTL, WorkerError, WorkerSpec};
use lacewingrail_model::{JobId, WorkerId};

/// Maximum fraction by which a worker's clock runs slower than that of the scheduler.
const MAX_CLOCK_DRIFT: f64 = 0.01;
/// Maximum time after its timeout at which a call can still reach the worker.
const MAX_MESSAGE_DELAY: Duration = Duration::from_millis(100);

/// What a gang runs, and on which workers.
#[derive(Clone, Debug)]
pub struct GangPlan {
    /// Job that the gang runs.
    pub job: JobId,
    /// Attempt of the job, counted from 1.
    pub attempt: u32,
    /// Members in the order of their index.
    pub members: Vec<PlannedMember>,
    /// Processor cores of each member.
    pub cores: u32,
    /// Memory of each member in megabytes.
    pub memory_mb: u64,
    /// Command that each member runs.
    pub command: String,
    /// Remaining work in milliseconds at nominal speed.
    pub work_ms: u64,
}

/// Placement of one member.
#[derive(Clone, Debug)]
pub struct PlannedMember {
    /// Identity of the member: job, attempt and index.
    pub id: MemberId,
    /// Worker that runs the member.
    pub worker: Arc<WorkerSpec>,
    /// Accelerators that the member holds on that worker.
    pub accelerators: u32,
}

/// Phase of a gang in the gang controller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GangPhase {
    /// The calls to reserve, commit and start the members are in progress.
    Starting,
    /// All members run.
    Running,
    /// All members run and write a last checkpoint.
    Checkpointing,
    /// The members are being stopped.
    Stopping,
}

/// State of one member.
#[derive(Clone, Debug)]
pub struct MemberState {
    /// Identity and placement of the member.
    pub placement: PlannedMember,
    /// Send time of the newest call that confirmed the member alive; `None` before the first one.
    pub confirmed_at: Option<Instant>,
    /// Time after which the member certainly no longer holds its accelerators.
    pub lease_expires_at: Instant,
    /// Whether the member ended successfully.
    pub finished: bool,
    /// Progress of this attempt, in milliseconds of work.
    pub progress_ms: u64,
    /// Work saved by the newest checkpoint of this attempt, in milliseconds.
    pub checkpoint_ms: u64,
}

/// State of one gang.
#[derive(Debug)]
pub struct GangState {
    /// What the gang runs, and where.
    pub plan: GangPlan,
    /// Current phase, which began at `phase_since`.
    pub phase: GangPhase,
    /// Members in the order of their index.
    pub members: Vec<MemberState>,
    /// Time at which the current phase began.
    pub phase_since: Instant,
    /// Time at which all members ran; `None` if that has not happened.
    pub running_since: Option<Instant>,
    /// Reason for the end; `None` until it is known.
    pub end: Option<GangEnd>,
    /// Set to `true` to make the start task give up the attempt.
    pub cancel: tokio::sync::watch::Sender<bool>,
}

/// Reason for the end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum GangEnd {
    /// All members ended successfully.
    Finished,
    /// Members failed to start; carries the worker and cause of each failure.
    StartFailed(Vec<(WorkerId, WorkerError)>),
    /// The start was not permitted; carries the reason.
    NotPermitted(String),
    /// A member failed while running.
    MemberFailed {
        /// Worker of the member.
        worker: WorkerId,
        /// Cause that the worker reported.
        reason: String,
    },
    /// A member was lost, because its worker does not answer or no longer runs it.
    MemberLost {
        /// Worker of the member.
        worker: WorkerId,
        /// Observation that led to this conclusion.
        reason: String,
    },
    /// The scheduler stopped the gang.
    Stopped,
}

impl MemberState {
    /// Creates the state of a member that may hold accelerators from `now` on.
    pub fn new(placement: PlannedMember, now: Instant) -> Self {
        Self {
            placement,
            confirmed_at: None,
            lease_expires_at: lease_expiry(now, TASK_LEASE_TTL),
            finished: false,
            progress_ms: 0,
            checkpoint_ms: 0,
        }
    }
}

impl GangState {
    /// Creates the state of a gang whose phase begins at `now`.
    pub fn new(plan: GangPlan, phase: GangPhase, now: Instant) -> Self {
        let members =
            plan.members.iter().map(|member| MemberState::new(member.clone(), now)).collect();
        Self {
            plan,
            phase,
            members,
            phase_since: now,
            running_since: (phase == GangPhase::Running).then_some(now),
            end: None,
            cancel: tokio::sync::watch::Sender::new(false),
        }
    }

    /// Returns whether the leases of the members are renewed in this phase.
    pub fn is_renewed(&self) -> bool {
        matches!(self.phase, GangPhase::Running | GangPhase::Checkpointing)
    }

    /// Returns the oldest confirmation among the members that have not finished.
    ///
    /// Returns `None` if a member was never confirmed or all have finished. A finished member needs
    /// no lease and does not limit the leases of the others.
    pub fn oldest_confirmation(&self) -> Option<Instant> {
        let running = self.members.iter().filter(|member| !member.finished);
        running.map(|member| member.confirmed_at).min().flatten()
    }

    /// Returns the lease time to grant to the members at `now`, or `None` if none is left.
    ///
    /// No member may outlive the oldest confirmation of another by more than one lease time.
    pub fn renewal_ttl(&self, now: Instant) -> Option<Duration> {
        let expires_at = self.oldest_confirmation()? + TASK_LEASE_TTL;
        expires_at
            .checked_duration_since(now)
            .map(|left| left.min(TASK_LEASE_TTL))
            .filter(|left| !left.is_zero())
    }

    /// Returns whether all members ended successfully.
    pub fn is_finished(&self) -> bool {
        self.members.iter().all(|member| member.finished)
    }

    /// Returns the total accelerators of all members.
    pub fn accelerators(&self) -> u32 {
        self.members.iter().map(|member| member.placement.accelerators).sum()
    }

    /// Returns the work that the newest checkpoints of all members have saved, in milliseconds.
    pub fn checkpointed_ms(&self) -> u64 {
        self.members.iter().map(|member| member.checkpoint_ms).min().unwrap_or(0)
    }

    /// Returns the time during which all members are known to have run together.
    pub fn confirmed_runtime(&self) -> Duration {
        let last = self.members.iter().filter_map(|member| member.confirmed_at).min();
        match (self.running_since, last) {
            (Some(since), Some(last)) => last.saturating_duration_since(since),
            _ => Duration::ZERO,
        }
    }

    /// Groups the members by worker.
    pub fn by_worker(&self) -> BTreeMap<&WorkerId, Vec<&MemberState>> {
        let mut workers: BTreeMap<&WorkerId, Vec<&MemberState>> = BTreeMap::new();
        for member in &self.members {
            workers.entry(&member.placement.worker.id).or_default().push(member);
        }
        workers
    }
}

/// Returns the time by which a lease of `ttl` has certainly expired on the worker, if the call that
/// granted it ended or timed out no later than `call_deadline`.
pub fn lease_expiry(call_deadline: Instant, ttl: Duration) -> Instant {
    call_deadline + ttl.mul_f64(1.0 + MAX_CLOCK_DRIFT) + MAX_MESSAGE_DELAY
}
