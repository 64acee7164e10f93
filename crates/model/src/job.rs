//! Job records as kept in the key-value service.
//!
//! The record is the only durable state of a job. Its attempt number rises with every start, so that
//! a worker can tell a stale start from a new one. What runs where is known to the workers.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::{UnixMillis, unix_millis};
use crate::mark::WriteMark;
use crate::shape::GangShape;
use crate::{CustomerName, DomainName, Epoch, JobId};

/// Orders work by how soon it must start.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkClass {
    /// Starts within seconds.
    Urgent,
    /// Starts in order of fair share.
    Normal,
    /// Starts when nothing else waits.
    Slow,
}

/// Describes a job as its customer submits it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Customer that owns the job.
    pub customer: CustomerName,
    /// Accelerators needed.
    pub shape: GangShape,
    /// Class of the job.
    pub class: WorkClass,
    /// Declared run time in milliseconds; only a hint, since it is often wrong by ten times.
    pub declared_ms: u64,
    /// Processor cores of each member.
    #[serde(default)]
    pub cores: u32,
    /// Memory of each member in megabytes.
    #[serde(default)]
    pub memory_mb: u64,
    /// States whether the job can be checkpointed and moved.
    #[serde(default)]
    pub checkpointable: bool,
    /// Failure domains the job may run in; empty for any.
    #[serde(default)]
    pub domains: Vec<DomainName>,
    /// Command for the worker, opaque to the scheduler.
    #[serde(default)]
    pub command: String,
    /// Key that makes a repeated submission return the first job.
    #[serde(default)]
    pub idempotency_key: Option<String>,
}

impl JobSpec {
    /// Returns the declared run time.
    pub fn declared(&self) -> Duration {
        Duration::from_millis(self.declared_ms)
    }
}

/// States how far a job has come.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum JobState {
    /// Waits for accelerators.
    Queued,
    /// An attempt holds or is acquiring accelerators.
    Running,
    /// Ended with success.
    Finished,
    /// Refused or ended for good.
    Failed {
        /// Fault and mend in one sentence.
        reason: String,
    },
    /// Stopped at the customer's request.
    Cancelled,
}

impl JobState {
    /// Returns whether the state is final.
    pub fn is_final(&self) -> bool {
        matches!(self, Self::Finished | Self::Failed { .. } | Self::Cancelled)
    }
}

/// Holds the durable state of one job.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JobRecord {
    /// Id of the job.
    pub id: JobId,
    /// Submission.
    pub spec: JobSpec,
    /// State.
    pub state: JobState,
    /// Failure domain whose scheduler owns the job.
    pub owner: DomainName,
    /// Number of the newest attempt; 0 before the first.
    pub attempt: u32,
    /// Epoch of the scheduler that wrote the newest attempt.
    pub epoch: Epoch,
    /// Progress kept by the newest checkpoint, in milliseconds of work of the whole gang.
    pub checkpoint_ms: u64,
    /// Times the job was preempted.
    pub preemptions: u32,
    /// States whether the newest attempt consumes one of the customer's guaranteed shapes.
    #[serde(default)]
    pub guaranteed: bool,
    /// Time of submission.
    pub submitted_at: UnixMillis,
    /// Time of the newest start, if any.
    pub started_at: Option<UnixMillis>,
    /// Time of the end, if any.
    pub ended_at: Option<UnixMillis>,
    /// Where the job came from, until its first attempt under the new owner.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub arrival: Option<JobArrival>,
    /// Mark of the newest write.
    pub mark: WriteMark,
}

impl JobRecord {
    /// Creates the record of a job that waits for its first attempt, submitted now.
    pub fn queued(id: JobId, spec: JobSpec, owner: DomainName, mark: WriteMark) -> Self {
        Self {
            id,
            spec,
            state: JobState::Queued,
            owner,
            attempt: 0,
            epoch: 0,
            checkpoint_ms: 0,
            preemptions: 0,
            guaranteed: false,
            submitted_at: unix_millis(),
            started_at: None,
            ended_at: None,
            arrival: None,
            mark,
        }
    }
}

/// Describes a change of owner that is in progress.
///
/// The former owner's record names the new owner until the latter has confirmed the change; only a
/// confirmed job may start, so that a delayed write of the former owner cannot run it again.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobArrival {
    /// Former owner.
    pub from: DomainName,
    /// Whether the new owner has confirmed the change.
    pub confirmed: bool,
}

/// Holds the ended jobs of one failure domain and day, see [`crate::keys::history`].
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct HistoryPage {
    /// Records in the order in which the jobs ended.
    pub jobs: Vec<JobRecord>,
    /// Mark of the newest write.
    pub mark: WriteMark,
}
