//! Record of a holding: the time in which a member occupies resources of a worker.
//!
//! Tests check guarantees against these records rather than against what a scheduler believes.

use lacewingrail_model::clock::UnixMillis;
use lacewingrail_model::worker::MemberId;
use lacewingrail_model::{DomainName, Epoch, RackName, WorkerId};
use serde::{Deserialize, Serialize};

/// States why a member released the resources of a worker.
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

/// Records one holding from its reservation to its end; times are of the worker's clock.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AllocationRecord {
    /// Id of the worker whose resources are held.
    pub worker: WorkerId,
    /// Failure domain of the worker.
    pub domain: DomainName,
    /// Rack of the worker.
    pub rack: RackName,
    /// Member that holds them, with its job and attempt.
    pub member: MemberId,
    /// Number of members of the gang.
    pub gang_members: u32,
    /// Number of accelerators held.
    pub accelerators: u32,
    /// Scheduler epoch under which the reservation was made.
    pub epoch: Epoch,
    /// Time at which the resources were reserved.
    pub reserved_ms: UnixMillis,
    /// Time at which the reservation was committed; empty before that.
    pub committed_ms: Option<UnixMillis>,
    /// Time at which the task started; empty before that.
    pub started_ms: Option<UnixMillis>,
    /// Time of the end; empty while the holding lasts.
    pub ended_ms: Option<UnixMillis>,
    /// Reason of the end; empty while the holding lasts.
    pub reason: Option<EndReason>,
    /// Work done, in milliseconds at nominal speed.
    pub progress_ms: u64,
    /// Work preserved by the newest checkpoint, in milliseconds at nominal speed.
    pub checkpoint_ms: u64,
}

impl AllocationRecord {
    /// Returns the time during which the task ran, up to `now_ms` if it still runs.
    pub fn run_interval(&self, now_ms: UnixMillis) -> Option<(UnixMillis, UnixMillis)> {
        Some((self.started_ms?, self.ended_ms.unwrap_or(now_ms)))
    }
}
