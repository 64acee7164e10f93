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
    /// Revision that the write created.
    pub revision: Revision,
}

/// Answers a write whose expected revision was not the current one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConflictAnswer {
    /// Current revision of the key; 0 when it does not exist.
    pub current: Revision,
}

/// Answers a read of one key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GetAnswer {
    /// Key with value and revision; empty if the key does not exist.
    pub entry: Option<StoreEntry>,
}

/// Answers a read of all keys with a prefix.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListAnswer {
    /// Entries in key order.
    pub entries: Vec<StoreEntry>,
}

/// Requests a lease.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRequest {
    /// Time to live in milliseconds.
    pub ttl_ms: u64,
}

/// Answers a request for a lease.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseAnswer {
    /// Id to renew and revoke the lease and to attach keys to it.
    pub lease: LeaseId,
}

/// Requests a reservation from a worker.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReserveBody {
    /// Epoch of the calling scheduler; a worker refuses one lower than it has seen.
    pub epoch: Epoch,
    /// Member with the resources and work that it needs.
    pub request: ReserveRequest,
}

/// Requests that a worker convert a reservation into a lease.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CommitBody {
    /// Epoch of the calling scheduler; a worker refuses one lower than it has seen.
    pub epoch: Epoch,
    /// Member that the call applies to.
    pub member: MemberId,
    /// Time to live of the lease from receipt, in milliseconds.
    pub ttl_ms: u64,
}

/// Requests that a worker start a committed member.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StartBody {
    /// Epoch of the calling scheduler; a worker refuses one lower than it has seen.
    pub epoch: Epoch,
    /// Member that the call applies to.
    pub member: MemberId,
    /// Time left to start when the call was sent, in milliseconds.
    pub not_after_ms: u64,
    /// Latest start on the worker's own clock, in milliseconds. It also bounds a start that the
    /// network delays, which the relative time cannot. Absent until the clock is known.
    #[serde(default)]
    pub not_after_clock_ms: Option<u64>,
}

/// Requests that a worker renew leases.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RenewBody {
    /// Epoch of the calling scheduler; a worker refuses one lower than it has seen.
    pub epoch: Epoch,
    /// Members whose leases are renewed, each with its time to live.
    pub items: Vec<RenewItem>,
}

/// Requests a checkpoint, stop or release from a worker.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MemberBody {
    /// Epoch of the calling scheduler; a worker refuses one lower than it has seen.
    pub epoch: Epoch,
    /// Member that the call applies to.
    pub member: MemberId,
}

/// Requests that a worker limit the speed of a member.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ThrottleBody {
    /// Epoch of the calling scheduler; a worker refuses one lower than it has seen.
    pub epoch: Epoch,
    /// Member that the call applies to.
    pub member: MemberId,
    /// Share of the full speed, from 0 to 1.
    pub share: f64,
}

/// Answers a checkpoint.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CheckpointAnswer {
    /// Work that the checkpoint preserves, in milliseconds at nominal speed.
    pub checkpoint_ms: u64,
}
