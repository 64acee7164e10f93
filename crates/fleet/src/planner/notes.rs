//! What the planner tells of its work: counts for metrics, notes for logs.

use std::time::Duration;

use lacewingrail_model::WorkerId;

use crate::event::EndReason;
use crate::job::JobPhase;
use crate::spec::{JobKey, RunNumber, TaskKey};

/// Counts what the planner did, for metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PlannerCounts {
    /// Start orders.
    pub starts: u64,
    /// Stops of borrowers.
    pub preemptions: u64,
    /// Start orders that were refused or not answered.
    pub failed_starts: u64,
    /// Jobs completed.
    pub completed: u64,
    /// Jobs failed.
    pub failed: u64,
}

/// Reports a decision or a change of what the planner believes, for logs.
#[derive(Clone, Debug, PartialEq)]
pub enum PlannerNote {
    /// A job has ended.
    JobEnded {
        /// Job.
        job: JobKey,
        /// Queue.
        queue: String,
        /// Final phase.
        phase: JobPhase,
        /// Time since its acceptance.
        age: Duration,
        /// Time within which it is on time.
        objective: Duration,
    },
    /// A run has ended, as its worker reports.
    RunEnded {
        /// Worker.
        worker: WorkerId,
        /// Task.
        task: TaskKey,
        /// Run.
        run: RunNumber,
        /// Reason.
        reason: EndReason,
    },
    /// Borrowers were stopped for an urgent job.
    Reclaimed {
        /// Urgent job.
        job: JobKey,
        /// Time for which it had waited.
        waited: Duration,
        /// Jobs of the borrowers.
        borrowers: Vec<JobKey>,
        /// Work lost, in core-seconds.
        loss: f64,
    },
    /// A worker gets no work for some time because runs failed or stalled on it.
    WorkerBackoff {
        /// Worker.
        worker: WorkerId,
        /// Failures in a row.
        failures: u32,
    },
    /// All runs of a worker that does not answer count as ended, because its lease is over.
    LeaseLapsed {
        /// Worker.
        worker: WorkerId,
        /// Number of runs.
        runs: usize,
    },
}
