//! What the planner asks for.

use std::sync::Arc;
use std::time::Duration;

use lacewingrail_model::{RackName, WorkerId};

use crate::advice::{AdviceCandidate, TicketName};
use crate::record::{JobProgress, WorkerRoster};
use crate::spec::{CheckpointName, JobKey, JobSubmission, RunNumber, StepKey, TaskKey};

/// Names one run of a task on a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TaskRun {
    /// Worker.
    pub worker: WorkerId,
    /// Address of the worker, `ip:port`.
    pub address: String,
    /// Task.
    pub task: TaskKey,
    /// Run.
    pub run: RunNumber,
}

/// Asks a worker to start a task.
#[derive(Clone, Debug)]
pub struct StartOrder {
    /// Task, run and worker.
    pub target: TaskRun,
    /// Submission that the task belongs to.
    pub submission: Arc<JobSubmission>,
    /// Checkpoint to resume from.
    pub checkpoint: Option<CheckpointName>,
    /// Ticket of the queue's adviser, if it has one.
    pub ticket: Option<TicketName>,
    /// End of the lease on the worker's clock.
    pub lease_end: Duration,
    /// Why the worker was chosen, for logs.
    pub basis: StartBasis,
}

/// Holds what a choice of a worker was based on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StartBasis {
    /// Rack of the worker.
    pub rack: Option<RackName>,
    /// Estimated speed of the worker.
    pub speed: f64,
    /// Time since the worker's newest report.
    pub report_age: Duration,
    /// Time for which the step had waited.
    pub waited: Duration,
}

/// Asks the adviser of a queue which workers may run a step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdviceRequest {
    /// Step.
    pub key: StepKey,
    /// Workers.
    pub workers: Vec<AdviceCandidate>,
    /// Time that the answer takes at most, beside that of the call.
    pub answer_timeout: Duration,
}

/// Asks a worker for a report and, with `lease_end`, to keep its tasks running.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RenewOrder {
    /// Worker.
    pub worker: WorkerId,
    /// Address of the worker, `ip:port`.
    pub address: String,
    /// End of the lease on the worker's clock; nothing before the clock is known.
    pub lease_end: Option<Duration>,
    /// Number of the newest end that is stored.
    pub acknowledge: u64,
    /// Time for which the worker may wait for an end before it answers.
    pub poll_timeout: Duration,
}

/// Asks for an action whose result comes back as an event.
#[derive(Clone, Debug)]
pub enum FleetOrder {
    /// Start a task.
    Start(StartOrder),
    /// Stop a task.
    Stop(TaskRun),
    /// Renew the lease of a worker and read its report.
    Renew(RenewOrder),
    /// Change the share that a filling task may work.
    LimitCpu {
        /// Run.
        target: TaskRun,
        /// Share, 0 to 100.
        percent: u32,
    },
    /// Ask the adviser of a queue.
    Advise(AdviceRequest),
    /// Write progress to the store.
    StoreProgress {
        /// Job.
        job: JobKey,
        /// Content.
        progress: JobProgress,
    },
    /// Write the list of workers that may hold runs to the store.
    StoreRoster(WorkerRoster),
    /// Delete everything that the store holds of a job that ended long ago.
    RemoveJob(JobKey),
    /// Another scheduler holds the leadership.
    StepDown,
}
