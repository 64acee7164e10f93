//! Interface to the workers.
//!
//! Only a worker knows what runs on its accelerators. It accepts a reservation atomically, stores
//! the highest epoch that it has seen for the failure domain, and rejects calls with a lower one. A
//! member runs only after reserve, commit and start, and stops by itself when its lease expires.

use std::fmt;
use std::time::Duration;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};

use crate::{DomainName, Epoch, JobId, RackName, WorkerId};

/// Time after which a worker releases a reservation that was not committed.
pub const RESERVE_TTL: Duration = Duration::from_secs(2);
/// Duration of a task lease: a committed or running member that is not renewed in time stops.
pub const TASK_LEASE_TTL: Duration = Duration::from_secs(10);
/// Interval between renewals of the leases of a worker's tasks; well below [`TASK_LEASE_TTL`].
pub const TASK_RENEWAL_INTERVAL: Duration = Duration::from_secs(2);

/// Worker as listed by the platform.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerSpec {
    /// Id of the worker.
    pub id: WorkerId,
    /// Failure domain of the worker.
    pub domain: DomainName,
    /// Rack of the worker.
    pub rack: RackName,
    /// Number of accelerators; 0 for a CPU-only worker.
    pub accelerators: u32,
    /// Number of processor cores.
    pub cores: u32,
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// Base address of the worker's HTTP interface, such as `http://127.0.0.1:7001`.
    pub address: String,
}

/// Id of one gang member within one attempt of a job.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct MemberId {
    /// Id of the job.
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

/// Request to reserve resources of a worker for one member.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReserveRequest {
    /// Member that the resources are reserved for.
    pub member: MemberId,
    /// Number of members of the gang, stored by the worker so that a scheduler that rebuilds its state
    /// can tell whether a gang is complete.
    pub gang_members: u32,
    /// Number of accelerators to reserve.
    pub accelerators: u32,
    /// Number of processor cores to reserve.
    pub cores: u32,
    /// Memory to reserve, in megabytes.
    pub memory_mb: u64,
    /// Time after which the worker releases the reservation unless committed, in milliseconds.
    pub ttl_ms: u64,
    /// Command to run; the scheduler does not interpret it.
    pub command: String,
    /// Remaining work in milliseconds at nominal speed; used only by simulated workers.
    pub work_ms: u64,
}

/// Phase of a member on its worker.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberPhase {
    /// Accelerators are reserved but not committed.
    Reserved,
    /// Accelerators are held under a lease, but the task has not started.
    Committed,
    /// The task is running.
    Running,
    /// The task ended successfully.
    Finished,
    /// The task failed to start or failed while running.
    Failed,
    /// The task was stopped on request or because its lease expired.
    Stopped,
}

/// State of one member as reported by its worker.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TaskReport {
    /// Id of the member.
    pub member: MemberId,
    /// Number of members of the gang.
    pub gang_members: u32,
    /// Phase at the time of the report.
    pub phase: MemberPhase,
    /// Number of accelerators that the member holds.
    pub accelerators: u32,
    /// Work done in milliseconds at nominal speed; may be outdated.
    pub progress_ms: u64,
    /// Work saved by the newest checkpoint, in the same unit.
    pub checkpoint_ms: u64,
    /// Measured utilisation of the held accelerators from 0 to 1; may be outdated.
    pub usage: f64,
    /// Cause of the failure; `None` if the task has not failed.
    pub failure: Option<String>,
}

/// State of a worker with all its tasks.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WorkerReport {
    /// Id of the worker.
    pub worker: WorkerId,
    /// Highest epoch that the worker has seen.
    pub epoch: Epoch,
    /// Counter that the worker increases at each restart, so that a scheduler detects restarts.
    pub incarnation: u64,
    /// Number of accelerators that are not faulty.
    pub healthy_accelerators: u32,
    /// Tasks held, running, or ended within the last minute.
    pub tasks: Vec<TaskReport>,
}

/// Request to extend the lease of one member.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RenewItem {
    /// Id of the member.
    pub member: MemberId,
    /// Duration of the lease from receipt in milliseconds, at most [`TASK_LEASE_TTL`].
    pub ttl_ms: u64,
}

/// Failure of a call to a worker.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "error")]
pub enum WorkerError {
    /// The worker has seen a higher epoch; the caller is no longer the active scheduler.
    StaleEpoch {
        /// Highest epoch seen by the worker.
        seen: Epoch,
    },
    /// The worker does not have the requested resources free.
    NoCapacity {
        /// Resource of which too little is free.
        reason: String,
    },
    /// The member is unknown or has ended.
    UnknownMember,
    /// The start arrived after its permission had expired.
    PermissionExpired,
    /// The task failed to start.
    StartFailed {
        /// Cause, for logs.
        reason: String,
    },
    /// The worker could not be reached; the call had no effect.
    Unreachable {
        /// Cause, for logs.
        reason: String,
    },
    /// The answer was lost; the call may have taken effect.
    Unclear {
        /// Cause, for logs.
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

/// Client of the workers; each call names the worker that it goes to.
#[async_trait]
pub trait WorkerService: Send + Sync {
    /// Reads the worker's tasks; raises the worker's epoch if the caller's is higher.
    async fn report(&self, worker: &WorkerSpec, epoch: Epoch) -> Result<WorkerReport, WorkerError>;

    /// Reserves resources for a member; idempotent.
    async fn reserve(
        &self,
        worker: &WorkerSpec,
        epoch: Epoch,
        request: ReserveRequest,
    ) -> Result<(), WorkerError>;

    /// Converts a reservation into a lease of length `ttl`; idempotent.
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

    /// Renews the leases of several members and returns the worker's report.
    async fn renew(
        &self,
        worker: &WorkerSpec,
        epoch: Epoch,
        items: Vec<RenewItem>,
    ) -> Result<WorkerReport, WorkerError>;

    /// Writes a checkpoint of a member and returns the saved work in milliseconds at nominal speed.
    async fn checkpoint(
        &self,
        worker: &WorkerSpec,
        epoch: Epoch,
        member: &MemberId,
    ) -> Result<u64, WorkerError>;

    /// Limits a running member to a share of its speed, where 1 is unlimited.
    async fn throttle(
        &self,
        worker: &WorkerSpec,
        epoch: Epoch,
        member: &MemberId,
        share: f64,
    ) -> Result<(), WorkerError>;

    /// Stops a member or releases its reservation; idempotent.
    async fn stop(
        &self,
        worker: &WorkerSpec,
        epoch: Epoch,
        member: &MemberId,
    ) -> Result<(), WorkerError>;
}
