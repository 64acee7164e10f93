//! JSON bodies of the platform's HTTP protocols, shared by the clients and the stand-ins.

use lacewingrail_model::Epoch;
use lacewingrail_model::store::{LeaseId, Revision, StoreEntry};
use lacewingrail_model::worker::{MemberId, RenewItem, ReserveRequest};
use serde::{Deserialize, Serialize};

/// Header in which a worker states its monotonic clock in milliseconds.
pub const WORKER_CLOCK_HEADER: &str = "x-worker-clock-ms";

/// Answers an accepted write.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WriteAnswer {
    /// Revision of the write.
    pub revision: Revision,
}

/// Answers a write that lost a race.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConflictAnswer {
    /// Current revision of the key; 0 when it does not exist.
    pub current: Revision,
}

/// Answers a read of one key; `entry` is empty when the key does not exist.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GetAnswer {
    /// Entry.
    pub entry: Option<StoreEntry>,
}

/// Answers a read of a prefix.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListAnswer {
    /// Entries in key order.
    pub entries: Vec<StoreEntry>,
}

/// Asks for a lease.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRequest {
    /// Time to live in milliseconds.
    pub ttl_ms: u64,
}

/// Answers a request for a lease.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseAnswer {
    /// Id of the lease.
    pub lease: LeaseId,
}

/// Carries a reservation to a worker.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReserveBody {
    /// Epoch of the caller.
    pub epoch: Epoch,
    /// Reservation.
    pub request: ReserveRequest,
}

/// Carries a commit to a worker.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CommitBody {
    /// Epoch of the caller.
    pub epoch: Epoch,
    /// Member.
    pub member: MemberId,
    /// Lease from receipt, in milliseconds.
    pub ttl_ms: u64,
}

/// Carries a start to a worker.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StartBody {
    /// Epoch of the caller.
    pub epoch: Epoch,
    /// Member.
    pub member: MemberId,
    /// Remaining permission when the call was sent, in milliseconds.
    pub not_after_ms: u64,
    /// End of the permission on the worker's own clock, in milliseconds. It bounds a start that the
    /// network delays, which the relative time cannot.
    #[serde(default)]
    pub not_after_clock_ms: Option<u64>,
}

/// Carries renewals to a worker.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RenewBody {
    /// Epoch of the caller.
    pub epoch: Epoch,
    /// Members to renew.
    pub items: Vec<RenewItem>,
}

/// Carries a checkpoint, stop or release to a worker.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MemberBody {
    /// Epoch of the caller.
    pub epoch: Epoch,
    /// Member.
    pub member: MemberId,
}

/// Carries a speed limit to a worker.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ThrottleBody {
    /// Epoch of the caller.
    pub epoch: Epoch,
    /// Member.
    pub member: MemberId,
    /// Share of the full speed, from 0 to 1.
    pub share: f64,
}

/// Answers a checkpoint.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CheckpointAnswer {
    /// Work kept, in milliseconds at nominal speed.
    pub checkpoint_ms: u64,
}
