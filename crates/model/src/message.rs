//! Messages between the system's own processes.
//!
//! They travel as bincode frames over h2 streams. Enum variants are only ever added at the end,
//! because their index is part of the encoding and versions run side by side during an upgrade.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::instance::InstanceRole;
use crate::{ConfigVersion, DomainName, Epoch, InstanceId};

/// Tells peers that a process is alive and what it knows; sent every second.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Sender.
    pub from: InstanceId,
    /// Address on which the sender takes messages, as `ip:port`.
    pub address: String,
    /// Failure domain of the sender.
    pub domain: DomainName,
    /// Role of the sender; none only in a default value.
    pub role: Option<InstanceRole>,
    /// Version of the sender's settings tree; 0 before the first.
    pub config_version: ConfigVersion,
    /// Digest of the sender's settings tree.
    pub config_hash: u64,
    /// Whether the sender's newest calls to the key-value service succeeded; nothing before its
    /// first call ended.
    pub store_reached: Option<bool>,
    /// Active schedulers that the sender knows of.
    pub schedulers: BTreeMap<DomainName, KnownScheduler>,
    /// Whether the sender is shutting down.
    pub leaving: bool,
}

/// Describes the active scheduler of a failure domain as one process knows it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct KnownScheduler {
    /// Epoch of the scheduler.
    pub epoch: Epoch,
    /// Address on which it takes messages, as `ip:port`.
    pub address: String,
    /// Free accelerators of the domain.
    pub free_accelerators: u32,
    /// Counts the scheduler's own updates within its epoch; higher is newer.
    pub update: u64,
}

/// Carries one settings tree.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ConfigPayload {
    /// Version.
    pub version: ConfigVersion,
    /// Stored value of `config/tree`, JSON text.
    pub text: String,
}

/// Asks a peer for something.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerRequest {
    /// Exchanges liveness and digests.
    Heartbeat(Heartbeat),
    /// Hands over a newer settings tree.
    ConfigPush(ConfigPayload),
    /// Asks for the settings tree if it is newer than a version.
    ConfigPull {
        /// Version that the sender has.
        have: ConfigVersion,
    },
    /// Stops starts in a failure domain at once.
    DomainVeto {
        /// Failure domain.
        domain: DomainName,
        /// Settings version that took the domain out.
        version: ConfigVersion,
    },
    /// Forwards an administration request to the active scheduler of a failure domain.
    AdminForward {
        /// Failure domain.
        domain: DomainName,
        /// Request as JSON text.
        request: String,
    },
    /// Hands a change of a claim to the entry process that writes its shard.
    ClaimForward {
        /// Service.
        service: String,
        /// Shard.
        shard: u64,
        /// Customer and key.
        key: String,
        /// Change as JSON text.
        change: String,
        /// Time for which the change is of use, in milliseconds.
        limit_ms: u64,
    },
    /// Hands a call of a client to the active scheduler of the region.
    Fleet(FleetCall),
}

/// Names what a client asks the active scheduler of the region.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum FleetCall {
    /// Accept a job.
    Submit {
        /// Job.
        job: u64,
        /// Submission as JSON text, as it is stored.
        record: String,
    },
    /// Cancel a job.
    Cancel {
        /// Job.
        job: u64,
    },
    /// Tell how far a job has come.
    State {
        /// Job.
        job: u64,
    },
    /// Count the jobs of a queue of which no task has started.
    Pending {
        /// Queue.
        queue: String,
    },
    /// Tell whether the receiver serves calls.
    Probe,
}

/// Answers a [`FleetCall`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum FleetReply {
    /// The job is accepted and stored.
    Accepted,
    /// The job was not accepted, has not run and never will by this call.
    NotAccepted {
        /// Reason.
        reason: String,
        /// Time after which the client should come back, in milliseconds.
        retry_ms: u64,
    },
    /// The cancellation is stored.
    Cancelled,
    /// How far the job has come.
    State(JobStanding),
    /// Number of jobs of which no task has started.
    Pending(u64),
    /// No such job exists.
    Unknown,
    /// The receiver is not the active scheduler, or can't answer now.
    NotActive,
    /// The outcome of a write is unknown.
    Unclear,
    /// The receiver is the active scheduler and serves calls.
    Serving,
}

/// States how far a job has come, as its customer sees it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobStanding {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task has failed too often.
    Failed,
    /// The customer has cancelled the job.
    Cancelled,
}

/// Answers a [`PeerRequest`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerResponse {
    /// The request was taken.
    Done,
    /// Answers a heartbeat with the receiver's own.
    Heartbeat(Heartbeat),
    /// Answers a pull; nothing when the receiver has no newer tree.
    Config(Option<ConfigPayload>),
    /// Confirms that no start will follow in the failure domain.
    VetoConfirmed {
        /// Whether the receiver is the active scheduler of the domain.
        active: bool,
    },
    /// Answers a forwarded administration request.
    Admin {
        /// HTTP status.
        status: u16,
        /// Answer as JSON text.
        body: String,
    },
    /// The request was refused.
    Refused {
        /// Fault and mend.
        reason: String,
    },
    /// Answers a forwarded change of a claim.
    Claim {
        /// Answer as JSON text.
        reply: String,
    },
    /// Answers a call of a client that was handed on.
    Fleet(FleetReply),
}

/// Wraps a request with the context of its trace.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerFrame {
    /// Trace context in the W3C `traceparent` form; empty for none.
    pub traceparent: String,
    /// Name of the sender's system; a peer of another system refuses the request.
    pub system: String,
    /// Request.
    pub request: PeerRequest,
}
