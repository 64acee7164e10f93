//! The orders that the planner returns.

use std::sync::Arc;
use std::time::Duration;

use lacewingrail_model::{RackName, WorkerId};

use crate::advice::{AdviceCandidate, TicketName};
use crate::fencing::FencingToken;
use crate::record::{JobProgress, WorkerRoster};
use crate::spec::{CheckpointName, JobKey, JobSubmission, RunNumber, StepKey, TaskKey};

/// One run of a task, and the worker that an order for it is sent to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TaskRun {
    /// Worker that the run is on.
    pub worker: WorkerId,
    /// Address of the worker, `ip:port`.
    pub address: String,
    /// Task that is run.
    pub task: TaskKey,
    /// Number of the run.
    pub run: RunNumber,
    /// Fencing token of the order.
    pub token: FencingToken,
}

/// Orders a worker to start a task.
#[derive(Clone, Debug)]
pub struct StartOrder {
    /// Run to start, and the worker to start it on.
    pub target: TaskRun,
    /// Submission that the task belongs to.
    pub submission: Arc<JobSubmission>,
    /// Checkpoint to resume from; the task starts from the beginning if absent.
    pub checkpoint: Option<CheckpointName>,
    /// Ticket that permits the start, if the queue has an adviser.
    pub ticket: Option<TicketName>,
    /// End of the lease on the worker's monotonic clock.
    pub lease_end: Duration,
    /// What the choice of the worker was based on, for logs.
    pub basis: StartBasis,
}

/// Data on which the choice of a worker was based, for logs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StartBasis {
    /// Rack of the worker, if it names one.
    pub rack: Option<RackName>,
    /// Estimated speed of the worker; 1 is one on which declared run times hold.
    pub speed: f64,
    /// Time since the worker's newest report.
    pub report_age: Duration,
    /// Time that the step had waited for workers.
    pub waited: Duration,
}

/// Asks the adviser of a queue which workers may run a step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdviceRequest {
    /// Step that is to run.
    pub key: StepKey,
    /// Workers that the adviser is asked about.
    pub workers: Vec<AdviceCandidate>,
    /// Time for which an answer is awaited, in addition to the timeout of the call itself.
    pub answer_timeout: Duration,
}

/// Asks a worker for a report and, if `lease_end` is set, extends its lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RenewOrder {
    /// Worker whose lease is renewed.
    pub worker: WorkerId,
    /// Address of the worker, `ip:port`.
    pub address: String,
    /// New end of the lease on the worker's monotonic clock; absent while no run is known on the
    /// worker.
    pub lease_end: Option<Duration>,
    /// Number of the newest end whose effects are stored, up to which the worker may discard ends; 0
    /// if there is nothing to acknowledge.
    pub acknowledge: u64,
    /// Time for which the worker may hold the answer back until it has an end to report.
    pub poll_timeout: Duration,
    /// Fencing token of the order.
    pub token: FencingToken,
}

/// Orders an action. Its result comes back as a [`FleetEvent`](crate::event::FleetEvent).
#[derive(Clone, Debug)]
pub enum FleetOrder {
    /// Start a task.
    Start(StartOrder),
    /// Stop a run.
    Stop(TaskRun),
    /// Renew the lease of a worker and read its report.
    Renew(RenewOrder),
    /// Change the CPU limit of a best-effort task.
    LimitCpu {
        /// Run that the limit is for.
        target: TaskRun,
        /// Share of its processor time that the task may use, 0 to 100.
        percent: u32,
    },
    /// Ask the adviser of a queue which workers may run a step.
    Advise(AdviceRequest),
    /// Write the progress of a job to the store.
    StoreProgress {
        /// Job that the progress belongs to.
        job: JobKey,
        /// Progress to write.
        progress: JobProgress,
    },
    /// Write the list of workers that may hold runs to the store.
    StoreRoster(WorkerRoster),
    /// Delete everything that the store holds of a job that ended, or was cancelled without being
    /// accepted, long ago. The deletion of a submission comes back as
    /// [`FleetEvent::JobDeleted`](crate::event::FleetEvent::JobDeleted).
    RemoveJob(JobKey),
    /// Give up the leadership, because a worker has seen a higher fencing token.
    StepDown,
}
