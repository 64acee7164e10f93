//! Counts for metrics and events for logs, as the planner produces them.

use std::time::Duration;

use lacewingrail_model::WorkerId;

use crate::event::EndReason;
use crate::job::JobPhase;
use crate::spec::{JobKey, RunNumber, TaskKey};

/// Counts what the planner has done under one leadership, for metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PlannerCounts {
    /// Start orders, one for each task.
    pub starts: u64,
    /// Runs, or whole gangs, that were stopped for urgent work.
    pub preemptions: u64,
    /// Start orders that were refused or not answered.
    pub failed_starts: u64,
    /// Jobs that were completed.
    pub completed: u64,
    /// Jobs that failed.
    pub failed: u64,
}

/// Decision of the planner, or a change of a job, run or worker, for logs.
#[derive(Clone, Debug, PartialEq)]
pub enum PlannerLogEvent {
    /// A job has ended.
    JobEnded {
        /// Job that ended.
        job: JobKey,
        /// Queue that the job was submitted to.
        queue: String,
        /// Phase in which the job ended.
        phase: JobPhase,
        /// Time since the job's acceptance.
        age: Duration,
        /// Time from its acceptance within which the job was on time.
        objective: Duration,
    },
    /// A worker has reported the end of a run.
    RunEnded {
        /// Worker that the run was on.
        worker: WorkerId,
        /// Task that was run.
        task: TaskKey,
        /// Number of the run.
        run: RunNumber,
        /// Why the run ended.
        reason: EndReason,
    },
    /// Runs were preempted for an urgent job.
    RunsPreempted {
        /// Urgent job that the runs were preempted for.
        job: JobKey,
        /// Time for which the job's step had waited.
        waited: Duration,
        /// Jobs that the preempted runs belong to, each once.
        preempted_jobs: Vec<JobKey>,
        /// Cost of the stops in core-seconds: mostly the work that is lost.
        loss: f64,
    },
    /// Nothing is started on a worker for some time, because a run failed or stalled there.
    WorkerBackoff {
        /// Worker in backoff.
        worker: WorkerId,
        /// Number of failed and stalled runs in a row.
        failures: u32,
    },
    /// All runs on a worker count as ended, because it does not answer and its lease has expired.
    LeaseLapsed {
        /// Worker whose lease expired.
        worker: WorkerId,
        /// Number of runs that were on the worker.
        runs: usize,
    },
    /// A worker has started again. What its former incarnation ran has ended.
    WorkerRestarted {
        /// Worker that has started again.
        worker: WorkerId,
        /// Present incarnation.
        incarnation: u64,
        /// Number of runs that were, or may have been, on the worker.
        runs: usize,
    },
    /// A worker has ended more runs than its report names. Runs that the report leaves out are kept
    /// until all ends are reported.
    EndsOmitted {
        /// Worker that has further ends.
        worker: WorkerId,
        /// Number of ends that the report names.
        reported: usize,
    },
}
