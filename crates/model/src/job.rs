//! Job records as stored in the key-value service.
//!
//! The record is the only durable state of a job. Its attempt number increases with every start, so
//! that a worker can tell a stale start from a new one. The record does not say where the job runs;
//! only the workers know that.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::{UnixMillis, unix_millis};
use crate::shape::GangShape;
use crate::write_id::WriteId;
use crate::{CustomerName, DomainName, Epoch, JobId};

/// Priority class of work, by how soon it must start.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkClass {
    /// Must start within seconds.
    Urgent,
    /// Starts in fair-share order.
    Normal,
    /// Starts when no other work is waiting.
    Slow,
}

/// Job as submitted by its customer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Customer whose quota and guarantees the job uses.
    pub customer: CustomerName,
    /// Members and accelerators that the job needs at once.
    pub shape: GangShape,
    /// Priority class of the job.
    pub class: WorkClass,
    /// Declared run time in milliseconds; only a hint, because it is often off by a factor of ten.
    pub declared_ms: u64,
    /// Processor cores of each member.
    #[serde(default)]
    pub cores: u32,
    /// Memory of each member in megabytes.
    #[serde(default)]
    pub memory_mb: u64,
    /// Whether the job can be checkpointed and continued elsewhere.
    #[serde(default)]
    pub checkpointable: bool,
    /// Failure domains the job may run in; empty for any.
    #[serde(default)]
    pub domains: Vec<DomainName>,
    /// Command that the worker runs; the scheduler does not interpret it.
    #[serde(default)]
    pub command: String,
    /// Idempotency key: a later submission with the same key returns the first job.
    #[serde(default)]
    pub idempotency_key: Option<String>,
}

impl JobSpec {
    /// Returns [`JobSpec::declared_ms`] as a duration.
    pub fn declared(&self) -> Duration {
        Duration::from_millis(self.declared_ms)
    }
}

/// State of a job in its stored record.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum JobState {
    /// The job is waiting for accelerators.
    Queued,
    /// An attempt holds or is acquiring accelerators.
    Running,
    /// The job ended successfully.
    Finished,
    /// The job was rejected, or failed and is not retried.
    Failed {
        /// Cause and remedy, in one sentence.
        reason: String,
    },
    /// The customer cancelled the job.
    Cancelled,
}

impl JobState {
    /// Returns whether the job has ended, so that its state never changes again.
    pub fn is_final(&self) -> bool {
        matches!(self, Self::Finished | Self::Failed { .. } | Self::Cancelled)
    }
}

/// Durable state of one job.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JobRecord {
    /// Id of the job, assigned at submission.
    pub id: JobId,
    /// Job as submitted; never changes.
    pub spec: JobSpec,
    /// State as last written by the scheduler of the owner.
    pub state: JobState,
    /// Failure domain whose scheduler owns the job.
    pub owner: DomainName,
    /// Number of the newest attempt; 0 before the first.
    pub attempt: u32,
    /// Epoch of the scheduler that wrote the newest attempt.
    pub epoch: Epoch,
    /// Progress saved by the newest checkpoint, in milliseconds of work of the whole gang.
    pub checkpoint_ms: u64,
    /// Number of times that the job was preempted.
    pub preemptions: u32,
    /// Whether the newest attempt uses one of the customer's guaranteed shapes.
    #[serde(default)]
    pub guaranteed: bool,
    /// Time of submission.
    pub submitted_at: UnixMillis,
    /// Time of the newest start; `None` before the first.
    pub started_at: Option<UnixMillis>,
    /// Time at which the job ended; `None` before that.
    pub ended_at: Option<UnixMillis>,
    /// Change of owner; removed with the first attempt under the new owner.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub arrival: Option<OwnerChange>,
    /// Id of the newest write, see [`crate::write_id`].
    pub mark: WriteId,
}

impl JobRecord {
    /// Creates the record of a queued job without attempts, submitted at the current time.
    pub fn queued(id: JobId, spec: JobSpec, owner: DomainName, mark: WriteId) -> Self {
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

/// A change of the failure domain that owns a job.
///
/// The former owner's record names the new owner until the latter has confirmed the change; only a
/// confirmed job may start, so that a delayed write of the former owner cannot run it again.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnerChange {
    /// Failure domain that owned the job before.
    pub from: DomainName,
    /// Whether the new owner has confirmed the change.
    pub confirmed: bool,
}

/// Jobs of one failure domain that ended on the same day, see [`crate::keys::history`].
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct HistoryPage {
    /// Records in the order in which the jobs ended.
    pub jobs: Vec<JobRecord>,
    /// Id of the newest write, see [`crate::write_id`].
    pub mark: WriteId,
}
