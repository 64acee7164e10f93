//! The border to the workers.
//!
//! A worker is the only party that knows what runs on its accelerators. It accepts a reservation
//! atomically, remembers the highest epoch it has seen for the failure domain, and refuses lower
//! ones. A member runs only after reserve, commit and start, and stops by itself when its lease lapses.

use std::fmt;
use std::time::Duration;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};

use crate::{DomainName, Epoch, JobId, RackName, WorkerId};

/// Time after which a reservation that was not committed frees itself.
pub const RESERVE_TTL: Duration = Duration::from_secs(2);
/// Time after which a committed or running member stops unless renewed.
pub const TASK_LEASE_TTL: Duration = Duration::from_secs(10);
/// Time between renewals of a worker's tasks.
pub const TASK_RENEWAL_INTERVAL: Duration = Duration::from_secs(2);

/// Describes a worker as the platform lists it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerSpec {
    /// Id of the worker.
    pub id: WorkerId,
    /// Failure domain of the worker.
    pub domain: DomainName,
    /// Rack of the worker.
    pub rack: RackName,
    /// Number of accelerators; 0 for a worker with processors only.
    pub accelerators: u32,
    /// Processor cores.
    pub cores: u32,
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// Base address of the worker's HTTP interface, such as `http://127.0.0.1:7001`.
    pub address: String,
}

/// Identifies one member of one attempt of a job.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct MemberId {
    /// Job.
    pub job: JobId,
    /// Attempt number of the job.
    pub attempt: u32,
    /// Index of the member within the gang, from 0.
    pub index: u32,
}

impl fmt::Display for MemberId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}/{}", self.job, self.attempt, self.index)
    }
}

/// Asks a worker to hold accelerators for one member.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReserveRequest {
    /// Member that the accelerators are for.
    pub member: MemberId,
    /// Number of members of the gang, kept by the worker so that a rebuild can tell a whole gang.
    pub gang_members: u32,
    /// Accelerators to hold.
    pub accelerators: u32,
    /// Processor cores to hold.
    pub cores: u32,
    /// Memory to hold, in megabytes.
    pub memory_mb: u64,
    /// Time after which the reservation frees itself, in milliseconds.
    pub ttl_ms: u64,
    /// Command to run, opaque to the scheduler.
    pub command: String,
    /// Work still to do, in milliseconds at nominal speed; used by stand-ins that run no real work.
    pub work_ms: u64,
}

/// States how far a member has come on its worker.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberPhase {
    /// Accelerators are held, not committed.
    Reserved,
    /// Accelerators are held under a lease, nothing runs.
    Committed,
    /// The task runs.
    Running,
    /// The task ended with success.
    Finished,
    /// The task failed to start or failed while running.
    Failed,
    /// The task was stopped, by request or because its lease lapsed.
    Stopped,
}

/// Reports one member as its worker sees it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TaskReport {
    /// Member.
    pub member: MemberId,
    /// Number of members of the gang.
    pub gang_members: u32,
    /// Phase.
    pub phase: MemberPhase,
    /// Accelerators held.
    pub accelerators: u32,
    /// Work done in milliseconds at nominal speed; may lag.
    pub progress_ms: u64,
    /// Work kept by the newest checkpoint, in the same unit.
    pub checkpoint_ms: u64,
    /// Measured use of the held accelerators from 0 to 1; may lag.
    pub usage: f64,
    /// Cause of a failure, if any.
    pub failure: Option<String>,
}

/// Reports a worker with all its tasks.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WorkerReport {
    /// Id of the worker.
    pub worker: WorkerId,
    /// Highest epoch that the worker has seen.
    pub epoch: Epoch,
    /// Number of starts since the worker came up, for detection of restarts.
    pub incarnation: u64,
    /// Accelerators in working order.
    pub healthy_accelerators: u32,
    /// Tasks held, running, or ended within the last minute.
    pub tasks: Vec<TaskReport>,
}

/// Asks a worker to extend the lease of one member.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RenewItem {
    /// Member.
    pub member: MemberId,
    /// Remaining lease from receipt, in milliseconds; at most the task lease TTL.
    pub ttl_ms: u64,
}

/// States why a worker call failed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "error")]
pub enum WorkerError {
    /// A higher epoch was seen; the caller is no longer the active scheduler.
    StaleEpoch {
        /// Highest epoch seen by the worker.
        seen: Epoch,
    },
    /// The worker cannot hold what was asked for.
    NoCapacity {
        /// Resource that is short.
        reason: String,
    },
    /// The member is unknown or has ended.
    UnknownMember,
    /// The start's permission ran out before it arrived.
    PermissionExpired,
    /// The task failed to start.
    StartFailed {
        /// Cause.
        reason: String,
    },
    /// The worker surely did not act: it could not be reached.
    Unreachable {
        /// Cause.
        reason: String,
    },
    /// The worker may have acted: its answer was lost.
    Unclear {
        /// Cause.
        reason: String,
    },
}

impl fmt::Display for WorkerError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::StaleEpoch { seen } => {
                write!(formatter, "the worker has seen epoch {seen}; give up the domain")
            }
            Self::NoCapacity { reason } => {
                write!(formatter, "no capacity: {reason}; choose another worker")
            }
            Self::UnknownMember => formatter.write_str("the member is unknown; reserve it again"),
            Self::PermissionExpired => {
                formatter.write_str("the start permission ran out; renew it and start again")
            }
            Self::StartFailed { reason } => {
                write!(formatter, "the task failed to start: {reason}; try another worker")
            }
            Self::Unreachable { reason } => {
                write!(formatter, "the worker is unreachable ({reason}); check its network")
            }
            Self::Unclear { reason } => {
                write!(formatter, "the answer was lost ({reason}); list the worker's tasks")
            }
        }
    }
}

impl std::error::Error for WorkerError {}

/// Calls one worker.
#[async_trait]
pub trait WorkerService: Send + Sync {
    /// Reads the worker's tasks and raises its epoch to the caller's.
    async fn report(&self, worker: &WorkerSpec, epoch: Epoch) -> Result<WorkerReport, WorkerError>;

    /// Holds resources for a member; repeating the call is harmless.
    async fn reserve(
        &self,
        worker: &WorkerSpec,
        epoch: Epoch,
        request: ReserveRequest,
    ) -> Result<(), WorkerError>;

    /// Turns a reservation into a lease; repeating the call is harmless.
    async fn commit(
        &self,
        worker: &WorkerSpec,
        epoch: Epoch,
        member: &MemberId,
        ttl: Duration,
    ) -> Result<(), WorkerError>;

    /// Starts a committed member unless `not_after` has passed since the call was sent.
    async fn start(
        &self,
        worker: &WorkerSpec,
        epoch: Epoch,
        member: &MemberId,
        not_after: Duration,
    ) -> Result<(), WorkerError>;

    /// Renews leases of several members and returns the worker's report.
    async fn renew(
        &self,
        worker: &WorkerSpec,
        epoch: Epoch,
        items: Vec<RenewItem>,
    ) -> Result<WorkerReport, WorkerError>;

    /// Writes a checkpoint and returns the kept work in milliseconds.
    async fn checkpoint(
        &self,
        worker: &WorkerSpec,
        epoch: Epoch,
        member: &MemberId,
    ) -> Result<u64, WorkerError>;

    /// Limits a running member to a share of its speed, from 0 to 1.
    async fn throttle(
        &self,
        worker: &WorkerSpec,
        epoch: Epoch,
        member: &MemberId,
        share: f64,
    ) -> Result<(), WorkerError>;

    /// Stops a member or frees its reservation; repeating the call is harmless.
    async fn stop(
        &self,
        worker: &WorkerSpec,
        epoch: Epoch,
        member: &MemberId,
    ) -> Result<(), WorkerError>;
}
