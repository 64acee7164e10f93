//! One gang as its coordinator sees it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use lacewingrail_model::worker::{MemberId, TASK_LEASE_TTL, WorkerError, WorkerSpec};
use lacewingrail_model::{JobId, WorkerId};

/// Share by which the clock of a worker may run slower than the coordinator's.
const MAX_CLOCK_DRIFT: f64 = 0.01;
/// Longest time that a call may spend on its way after the coordinator gave up waiting for it.
const MAX_MESSAGE_DELAY: Duration = Duration::from_millis(100);

/// Says what to run, where.
#[derive(Clone, Debug)]
pub struct GangPlan {
    /// Job.
    pub job: JobId,
    /// Attempt number.
    pub attempt: u32,
    /// Members by index.
    pub members: Vec<PlannedMember>,
    /// Processor cores of each member.
    pub cores: u32,
    /// Memory of each member in megabytes.
    pub memory_mb: u64,
    /// Command.
    pub command: String,
    /// Work still to do in milliseconds at nominal speed.
    pub work_ms: u64,
}

/// Places one member.
#[derive(Clone, Debug)]
pub struct PlannedMember {
    /// Id of the member.
    pub id: MemberId,
    /// Worker.
    pub worker: Arc<WorkerSpec>,
    /// Accelerators.
    pub accelerators: u32,
}

/// States how far a gang has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GangPhase {
    /// Reserve, commit and start are in progress.
    Starting,
    /// All members run.
    Running,
    /// All members run and write a checkpoint before they are stopped.
    Checkpointing,
    /// Members are being stopped.
    Stopping,
}

/// Follows one member.
#[derive(Clone, Debug)]
pub struct MemberTrack {
    /// Place.
    pub place: PlannedMember,
    /// When the newest call that showed the member alive was sent.
    pub confirmed_at: Option<Instant>,
    /// Time after which the member surely no longer holds its accelerators.
    pub lease_expires_at: Instant,
    /// Whether the member ended with success.
    pub finished: bool,
    /// Progress in this attempt, in milliseconds of work.
    pub progress_ms: u64,
    /// Work kept by the newest checkpoint of this attempt.
    pub checkpoint_ms: u64,
}

/// Follows one gang.
#[derive(Debug)]
pub struct GangTrack {
    /// Plan.
    pub plan: GangPlan,
    /// Phase.
    pub phase: GangPhase,
    /// Members by index.
    pub members: Vec<MemberTrack>,
    /// When the newest phase began.
    pub since: Instant,
    /// When the gang began to run.
    pub running_since: Option<Instant>,
    /// Why the gang ends, once known.
    pub end: Option<GangEnd>,
    /// Tells the start task that the attempt was given up.
    pub cancel: tokio::sync::watch::Sender<bool>,
}

/// States why an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum GangEnd {
    /// All members ended with success.
    Finished,
    /// Members failed to start, with the worker and cause of each.
    StartFailed(Vec<(WorkerId, WorkerError)>),
    /// The start permission ran out.
    NotPermitted(String),
    /// A member failed while running.
    MemberFailed {
        /// Worker of the member.
        worker: WorkerId,
        /// Cause.
        reason: String,
    },
    /// A member was lost with its worker or its lease.
    MemberLost {
        /// Worker of the member.
        worker: WorkerId,
        /// Cause.
        reason: String,
    },
    /// The scheduler stopped the gang.
    Stopped,
}

impl MemberTrack {
    /// Creates the track of a member that may hold accelerators from now on.
    pub fn new(place: PlannedMember, now: Instant) -> Self {
        Self {
            place,
            confirmed_at: None,
            lease_expires_at: lease_expiry(now, TASK_LEASE_TTL),
            finished: false,
            progress_ms: 0,
            checkpoint_ms: 0,
        }
    }
}

impl GangTrack {
    /// Creates the track of a gang.
    pub fn new(plan: GangPlan, phase: GangPhase, now: Instant) -> Self {
        let members =
            plan.members.iter().map(|place| MemberTrack::new(place.clone(), now)).collect();
        Self {
            plan,
            phase,
            members,
            since: now,
            running_since: (phase == GangPhase::Running).then_some(now),
            end: None,
            cancel: tokio::sync::watch::Sender::new(false),
        }
    }

    /// Returns whether the members' leases are to be renewed.
    pub fn is_renewed(&self) -> bool {
        matches!(self.phase, GangPhase::Running | GangPhase::Checkpointing)
    }

    /// Returns the oldest evidence of life among the members that have not finished.
    ///
    /// A finished member needs no lease, so it limits no other.
    pub fn oldest_confirmation(&self) -> Option<Instant> {
        let running = self.members.iter().filter(|member| !member.finished);
        running.map(|member| member.confirmed_at).min().flatten()
    }

    /// Returns the lease that a member may get now: no member may outlive any other by more than
    /// the lease time.
    pub fn renewal(&self, now: Instant) -> Option<Duration> {
        let limit = self.oldest_confirmation()? + TASK_LEASE_TTL;
        limit
            .checked_duration_since(now)
            .map(|left| left.min(TASK_LEASE_TTL))
            .filter(|left| !left.is_zero())
    }

    /// Returns whether all members ended with success.
    pub fn is_finished(&self) -> bool {
        self.members.iter().all(|member| member.finished)
    }

    /// Returns the accelerators of all members.
    pub fn accelerators(&self) -> u32 {
        self.members.iter().map(|member| member.place.accelerators).sum()
    }

    /// Returns the work that every member's newest checkpoint keeps.
    pub fn checkpointed_ms(&self) -> u64 {
        self.members.iter().map(|member| member.checkpoint_ms).min().unwrap_or(0)
    }

    /// Returns the time for which all members were known to run together.
    pub fn confirmed_runtime(&self) -> Duration {
        let last = self.members.iter().filter_map(|member| member.confirmed_at).min();
        match (self.running_since, last) {
            (Some(since), Some(last)) => last.saturating_duration_since(since),
            _ => Duration::ZERO,
        }
    }

    /// Returns the members by worker.
    pub fn by_worker(&self) -> BTreeMap<&WorkerId, Vec<&MemberTrack>> {
        let mut workers: BTreeMap<&WorkerId, Vec<&MemberTrack>> = BTreeMap::new();
        for member in &self.members {
            workers.entry(&member.place.worker.id).or_default().push(member);
        }
        workers
    }
}

/// Returns when a lease of `ttl`, granted by a call that is given up at `given_up`, has lapsed.
pub fn lease_expiry(given_up: Instant, ttl: Duration) -> Instant {
    given_up + ttl.mul_f64(1.0 + MAX_CLOCK_DRIFT) + MAX_MESSAGE_DELAY
}
