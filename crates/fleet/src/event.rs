//! The events that the planner receives.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use lacewingrail_model::{DomainName, RackName, ServiceName, WorkerId};

use crate::advice::WorkerTicket;
use crate::amount::ResourceAmount;
use crate::config::FleetConfig;
use crate::fencing::FencingToken;
use crate::order::{AdviceRequest, TaskRun};
use crate::record::{JobProgress, WorkerRoster};
use crate::spec::{CheckpointName, JobKey, JobSubmission, RunNumber, TaskKey};

/// Entry of a worker in the platform's directory.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerListing {
    /// Identifier of the worker.
    pub id: WorkerId,
    /// Address at which the worker accepts orders, `ip:port`.
    pub address: String,
    /// Service whose jobs the worker runs.
    pub service: ServiceName,
    /// Failure domain that the worker is in.
    pub domain: DomainName,
    /// Rack that the worker is in, if it names one.
    pub rack: Option<RackName>,
    /// Labels that a step may require.
    pub labels: Vec<String>,
    /// Total resources, free or taken.
    pub capacity: ResourceAmount,
    /// Whether the worker is about to leave and must get no further tasks.
    pub draining: bool,
    /// Minimum time until a draining worker leaves.
    pub remaining: Option<Duration>,
    /// When the worker was last started, in milliseconds since the Unix epoch; identifies its
    /// incarnation. Higher after every restart.
    pub incarnation: u64,
}

impl WorkerListing {
    /// Identifies a run on the worker, for an order with a fencing token.
    pub fn task_run(&self, task: TaskKey, run: RunNumber, token: FencingToken) -> TaskRun {
        TaskRun { worker: self.id.clone(), address: self.address.clone(), task, run, token }
    }
}

/// Run in progress, as its worker reports it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ActiveRun {
    /// Task that is run.
    pub task: TaskKey,
    /// Number of the run.
    pub run: RunNumber,
    /// Newest checkpoint, if the task has saved any.
    pub checkpoint: Option<CheckpointName>,
    /// Share of the work that is done, 0 to 100; for a continuous task, 100 once it is working.
    pub percent: u32,
    /// Tail latency of a serving task over the last half second, in milliseconds; for other tasks,
    /// the processor time in use, in thousandths of a core.
    pub usage: u32,
}

/// Reason why a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndReason {
    /// The work is done.
    Done,
    /// The task failed, through its own fault or its worker's.
    Failed,
    /// A stop order ended the run.
    Stopped,
    /// The worker's lease expired.
    Lapsed,
    /// Another member of the gang ended.
    GangBroken,
    /// The other members of the gang did not start in time.
    GangIncomplete,
}

/// Run that has ended, as its worker reports it until the end is acknowledged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndedRun {
    /// Number of the end within the worker's incarnation, from 1.
    pub number: u64,
    /// Task that was run.
    pub task: TaskKey,
    /// Number of the run.
    pub run: RunNumber,
    /// Why the run ended.
    pub reason: EndReason,
    /// Newest checkpoint, if the task saved any.
    pub checkpoint: Option<CheckpointName>,
}

/// Answer of a worker to a lease renewal.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LeaseReport {
    /// Incarnation that answered, see [`WorkerListing::incarnation`].
    pub incarnation: u64,
    /// Monotonic clock of the worker when it answered.
    pub clock: Duration,
    /// All runs in progress.
    pub running: Vec<ActiveRun>,
    /// Ends that have not been acknowledged, the first of them if there are many.
    pub ended: Vec<EndedRun>,
    /// Whether the worker may have ended further runs, which it reports once the first ends are
    /// acknowledged.
    pub ends_omitted: bool,
}

/// Reason why a worker refused to start a task. Nothing was started in any case.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartRefusal {
    /// The worker has seen a higher fencing token.
    StaleToken,
    /// This run or a later one of the task has ended on the worker.
    StaleRun,
    /// The lease in the order had expired when the order arrived.
    LeaseOver,
    /// The worker has too little free capacity.
    NoCapacity,
    /// The order carried no valid ticket of the queue's adviser.
    NoTicket,
    /// The worker is unhealthy, has another identity, or found the order invalid.
    Unhealthy,
}

/// Outcome of a start order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartOutcome {
    /// The worker has started the task.
    Started,
    /// The worker has started nothing.
    Refused(StartRefusal),
    /// No answer came. The worker may have started the task or may still start it.
    Unclear,
}

/// Change, or result of an order, that the planner has to apply.
#[derive(Clone, Debug)]
pub enum FleetEvent {
    /// A new version of the settings is in force.
    ConfigChanged(Arc<FleetConfig>),
    /// The failure domains that operators have disabled were read; nothing may start there.
    DomainsDisabled(BTreeSet<DomainName>),
    /// The directory was read; the list holds all workers.
    WorkersListed(Vec<WorkerListing>),
    /// The roster that an earlier scheduler stored was read.
    RosterLoaded(WorkerRoster),
    /// A job was accepted and stored.
    JobAccepted {
        /// Submission as stored.
        submission: Arc<JobSubmission>,
        /// Progress that an earlier scheduler stored, if any.
        progress: Option<JobProgress>,
        /// Time since the acceptance.
        age: Duration,
    },
    /// The cancellation of a job was stored.
    JobCancelled(JobKey),
    /// The submission of a job was deleted from the store.
    JobDeleted(JobKey),
    /// All stored submissions were read anew, and every job that the planner does not know was
    /// accepted before this event. Other jobs are no longer stored.
    JobsListed(BTreeSet<JobKey>),
    /// A worker answered a lease renewal.
    RenewalAnswered {
        /// Worker that answered.
        worker: WorkerId,
        /// When the renewal was sent.
        sent: Duration,
        /// Report in the answer.
        report: LeaseReport,
    },
    /// A worker refused a lease renewal, or its answer did not come in time.
    RenewalUnanswered {
        /// Worker that the renewal was sent to.
        worker: WorkerId,
        /// Whether the worker refused because it has seen a higher fencing token.
        stale_token: bool,
    },
    /// A start order was answered, or its answer did not come in time.
    StartAnswered {
        /// Worker that the order was sent to.
        worker: WorkerId,
        /// Task to start.
        task: TaskKey,
        /// Number of the run.
        run: RunNumber,
        /// Outcome of the order.
        outcome: StartOutcome,
    },
    /// The adviser of a queue answered a request, or its answer did not come in time.
    AdviceAnswered {
        /// Request that was sent.
        request: AdviceRequest,
        /// Tickets for the workers that may run the step, or `None` if no answer came.
        allowed: Option<Vec<WorkerTicket>>,
    },
    /// A stop order was answered, or its answer did not come in time.
    StopAnswered {
        /// Worker that the order was sent to.
        worker: WorkerId,
        /// Task to stop.
        task: TaskKey,
        /// Number of the run.
        run: RunNumber,
        /// Whether the worker confirmed the stop.
        confirmed: bool,
    },
    /// A worker did not confirm a new CPU limit of a best-effort task.
    CpuLimitUnconfirmed {
        /// Worker that the order was sent to.
        worker: WorkerId,
        /// Task that the limit is for.
        task: TaskKey,
        /// Number of the run.
        run: RunNumber,
    },
    /// The progress of a job was written to the store.
    ProgressStored {
        /// Job that the progress belongs to.
        job: JobKey,
        /// Sequence number of the stored progress.
        sequence: u64,
    },
    /// The progress of a job could not be written. The planner orders the write again.
    ProgressNotStored {
        /// Job that the progress belongs to.
        job: JobKey,
    },
}
