//! Record of an allocation: the time in which a member occupies resources of a worker.
//!
//! Tests check guarantees against these records rather than against the state of a scheduler.

use lacewingrail_model::clock::UnixMillis;
use lacewingrail_model::worker::MemberId;
use lacewingrail_model::{DomainName, Epoch, RackName, WorkerId};
use serde::{Deserialize, Serialize};

/// Reason for which an allocation ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndReason {
    /// The task completed its work.
    Finished,
    /// The caller stopped the member or released its reservation.
    Stopped,
    /// The reservation was not committed in time.
    ReservationLapsed,
    /// The lease was not renewed in time.
    LeaseLapsed,
    /// The task failed to start.
    StartFailed,
    /// The task failed while running.
    TaskFailed,
    /// An accelerator of the worker failed.
    AcceleratorFailed,
    /// The worker stopped or restarted.
    WorkerLost,
}

/// Allocation of a worker's resources to a member, from reservation to end; times are by the
/// worker's clock.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AllocationRecord {
    /// Id of the worker whose resources are allocated.
    pub worker: WorkerId,
    /// Failure domain of the worker.
    pub domain: DomainName,
    /// Rack of the worker.
    pub rack: RackName,
    /// Member that occupies them, with its job and attempt.
    pub member: MemberId,
    /// Number of members of the gang.
    pub gang_members: u32,
    /// Number of accelerators allocated.
    pub accelerators: u32,
    /// Scheduler epoch under which the reservation was made.
    pub epoch: Epoch,
    /// Time at which the resources were reserved.
    pub reserved_ms: UnixMillis,
    /// Time at which the reservation was committed; empty before that.
    pub committed_ms: Option<UnixMillis>,
    /// Time at which the task started; empty before that.
    pub started_ms: Option<UnixMillis>,
    /// Time at which the allocation ended; empty before that.
    pub ended_ms: Option<UnixMillis>,
    /// Reason for the end; empty before it.
    pub reason: Option<EndReason>,
    /// Work done, in milliseconds at nominal speed.
    pub progress_ms: u64,
    /// Work preserved by the newest checkpoint, in milliseconds at nominal speed.
    pub checkpoint_ms: u64,
}

impl AllocationRecord {
    /// Returns the start and end of the task's run, the end being `now_ms` while it still runs;
    /// nothing if it never started.
    pub fn run_interval(&self, now_ms: UnixMillis) -> Option<(UnixMillis, UnixMillis)> {
        Some((self.started_ms?, self.ended_ms.unwrap_or(now_ms)))
    }
}
