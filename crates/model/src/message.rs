//! Messages between the system's own processes.
//!
//! They are sent as bincode frames over h2 streams. New enum variants must be added at the end, because
//! their index is part of the encoding and different releases run side by side during an upgrade.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::instance::InstanceRole;
use crate::{ConfigVersion, DomainName, Epoch, InstanceId};

/// State of one process and the schedulers that it knows, exchanged with a few peers every second.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Process that sends the heartbeat.
    pub from: InstanceId,
    /// Address on which the sender receives messages, as `ip:port`.
    pub address: String,
    /// Failure domain of the sender.
    pub domain: DomainName,
    /// Role of the sender; `None` only in a default value.
    pub role: Option<InstanceRole>,
    /// Version of the settings tree in force at the sender; 0 before the first.
    pub config_version: ConfigVersion,
    /// Digest of the settings tree in force at the sender.
    pub config_hash: u64,
    /// Whether the sender's newest call to the key-value service succeeded; `None` before its first
    /// call has ended, and when the newest call failed too long ago to tell the current state.
    pub store_reached: Option<bool>,
    /// Newest active scheduler of each failure domain that the sender knows.
    pub schedulers: BTreeMap<DomainName, KnownScheduler>,
    /// Whether the sender is shutting down.
    pub leaving: bool,
}

/// Active scheduler of a failure domain as known to one process.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct KnownScheduler {
    /// Epoch of the scheduler; a higher one replaces a lower one.
    pub epoch: Epoch,
    /// Address on which the scheduler receives messages, as `ip:port`.
    pub address: String,
    /// Free accelerators of the domain at the time of the update.
    pub free_accelerators: u32,
    /// Sequence number of the scheduler's updates within its epoch; higher is newer.
    pub update: u64,
}

/// Settings tree in its stored form.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ConfigPayload {
    /// Version of the tree.
    pub version: ConfigVersion,
    /// Value stored under `config/tree`, JSON text.
    pub text: String,
}

/// Request of one process to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerRequest {
    /// Exchanges heartbeats; the receiver answers with its own.
    Heartbeat(Heartbeat),
    /// Sends a settings tree that the receiver may not have yet.
    ConfigPush(ConfigPayload),
    /// Requests the settings tree if it is newer than a version.
    ConfigPull {
        /// Version in force at the sender.
        have: ConfigVersion,
    },
    /// Stops task starts in a failure domain that is taken out of service, before the new settings
    /// tree arrives.
    DomainVeto {
        /// Failure domain that is taken out of service.
        domain: DomainName,
        /// Settings version that took the domain out of service.
        version: ConfigVersion,
    },
    /// Forwards an administration request to the active scheduler of a failure domain.
    AdminForward {
        /// Failure domain whose scheduler must answer.
        domain: DomainName,
        /// Request in JSON.
        request: String,
    },
    /// Forwards a change of a claim, the record of an idempotency key, to the entry process that
    /// writes its shard.
    ClaimForward {
        /// Service that the claim belongs to.
        service: String,
        /// Shard of the claims, see [`crate::keys::claims`].
        shard: u64,
        /// Customer and idempotency key of the claim.
        key: String,
        /// Change in JSON.
        change: String,
        /// Time after which the sender no longer waits for the change, in milliseconds.
        limit_ms: u64,
    },
    /// Forwards a client call to the active scheduler of the region.
    Fleet(FleetCall),
}

/// Client call to the active scheduler of the region.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum FleetCall {
    /// Submits a job.
    Submit {
        /// Id of the job.
        job: u64,
        /// Submission in JSON, as it is stored.
        record: String,
    },
    /// Cancels a job.
    Cancel {
        /// Id of the job.
        job: u64,
    },
    /// Returns the state of a job.
    State {
        /// Id of the job.
        job: u64,
    },
    /// Counts the jobs of a queue of which no task has started.
    Pending {
        /// Name of the queue.
        queue: String,
    },
    /// Checks whether the receiver is the active scheduler and serves calls.
    Probe,
}

/// Reply to a [`FleetCall`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum FleetReply {
    /// The job is accepted and stored.
    Accepted,
    /// The job was not accepted: it has not run and will not run because of this call.
    NotAccepted {
        /// Reason, for the caller.
        reason: String,
        /// Time after which the client should retry, in milliseconds.
        retry_ms: u64,
    },
    /// The job was cancelled before it was stored: it has not run and will not run.
    CancelledBefore {
        /// Time after which the job's id can be used again, in milliseconds.
        retry_ms: u64,
    },
    /// The cancellation is stored.
    Cancelled,
    /// State of the job.
    State(JobStatus),
    /// Number of jobs of which no task has started.
    Pending(u64),
    /// No such job exists.
    Unknown,
    /// The receiver is not the active scheduler or cannot answer now.
    NotActive,
    /// The outcome of a write is unknown; the call may have taken effect.
    Unclear,
    /// The receiver is the active scheduler and serves calls.
    Serving,
}

/// State of a job as reported to its customer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobStatus {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks have finished.
    Completed,
    /// A task has failed too often to be retried.
    Failed,
    /// The customer cancelled the job.
    Cancelled,
}

/// Response to a [`PeerRequest`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerResponse {
    /// The request was handled and has no other result.
    Done,
    /// Heartbeat of the receiver.
    Heartbeat(Heartbeat),
    /// Settings tree of the receiver; `None` when it is not newer than the requested version.
    Config(Option<ConfigPayload>),
    /// The receiver has recorded a veto and stopped its own starts in the failure domain.
    VetoConfirmed {
        /// Whether the receiver is the active scheduler of the domain, so that no start follows.
        active: bool,
    },
    /// Answer to a forwarded administration request.
    Admin {
        /// HTTP status code.
        status: u16,
        /// Answer in JSON.
        body: String,
    },
    /// The receiver refused the request.
    Refused {
        /// Cause and remedy.
        reason: String,
    },
    /// Answer to a forwarded change of a claim.
    Claim {
        /// Answer in JSON.
        reply: String,
    },
    /// Reply to a forwarded client call.
    Fleet(FleetReply),
}

/// Request with its trace context and the system of its sender.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerFrame {
    /// Trace context in the W3C `traceparent` form; empty for none.
    pub traceparent: String,
    /// Name of the sender's system; a peer of another system refuses the request.
    pub system: String,
    /// Request to handle.
    pub request: PeerRequest,
}
