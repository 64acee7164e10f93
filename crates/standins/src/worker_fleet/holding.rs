//! Record of one holding of a worker's resources, as ground truth for tests.

use lacewingrail_model::clock::UnixMillis;
use lacewingrail_model::worker::MemberId;
use lacewingrail_model::{DomainName, Epoch, RackName, WorkerId};
use serde::{Deserialize, Serialize};

/// States why a holding ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndReason {
    /// The work was done.
    Finished,
    /// The caller stopped the member or freed its reservation.
    Stopped,
    /// The reservation was not committed in time.
    ReservationLapsed,
    /// The lease was not renewed in time.
    LeaseLapsed,
    /// The task failed to start.
    StartFailed,
    /// The task failed while running.
    TaskFailed,
    /// An accelerator went out of order.
    AcceleratorFailed,
    /// The worker died or restarted.
    WorkerLost,
}

/// Records one holding from its reservation to its end; times are the worker's clock.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HoldingRecord {
    /// Worker.
    pub worker: WorkerId,
    /// Failure domain of the worker.
    pub domain: DomainName,
    /// Rack of the worker.
    pub rack: RackName,
    /// Member with job and attempt.
    pub member: MemberId,
    /// Number of members of the gang.
    pub gang_members: u32,
    /// Accelerators held.
    pub accelerators: u32,
    /// Epoch of the reservation.
    pub epoch: Epoch,
    /// Time of the reservation.
    pub reserved_ms: UnixMillis,
    /// Time of the commit, if any.
    pub committed_ms: Option<UnixMillis>,
    /// Time of the start, if any.
    pub started_ms: Option<UnixMillis>,
    /// Time of the end; empty while the holding lasts.
    pub ended_ms: Option<UnixMillis>,
    /// Reason of the end.
    pub reason: Option<EndReason>,
    /// Work done, in milliseconds at nominal speed.
    pub progress_ms: u64,
    /// Work kept by the newest checkpoint.
    pub checkpoint_ms: u64,
}

impl HoldingRecord {
    /// Returns the time during which the task ran, up to `now_ms` if it still runs.
    pub fn run(&self, now_ms: UnixMillis) -> Option<(UnixMillis, UnixMillis)> {
        Some((self.started_ms?, self.ended_ms.unwrap_or(now_ms)))
    }
}
