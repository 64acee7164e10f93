//! What the planner is told.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use lacewingrail_model::{DomainName, RackName, ServiceName, WorkerId};

use crate::advice::WorkerTicket;
use crate::amount::ResourceAmount;
use crate::config::FleetConfig;
use crate::order::{AdviceRequest, TaskRun};
use crate::record::{JobProgress, WorkerRoster};
use crate::spec::{CheckpointName, JobKey, JobSubmission, RunNumber, TaskKey};

/// Describes a worker as the platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerListing {
    /// Worker.
    pub id: WorkerId,
    /// Address of the worker's interface, `ip:port`.
    pub address: String,
    /// Service that the worker serves.
    pub service: ServiceName,
    /// Failure domain.
    pub domain: DomainName,
    /// Rack, if the worker names one.
    pub rack: Option<RackName>,
    /// All labels.
    pub labels: Vec<String>,
    /// Capacity.
    pub capacity: ResourceAmount,
    /// Whether the worker is about to leave.
    pub draining: bool,
    /// Least time until a draining worker leaves.
    pub remaining: Option<Duration>,
    /// Start of the worker's present life, in milliseconds since the Unix epoch.
    pub incarnation: u64,
}

impl WorkerListing {
    /// Names a run on the worker for an order.
    pub fn target(&self, task: TaskKey, run: RunNumber) -> TaskRun {
        TaskRun { worker: self.id.clone(), address: self.address.clone(), task, run }
    }
}

/// Reports a task that runs on a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ActiveRun {
    /// Task.
    pub task: TaskKey,
    /// Run.
    pub run: RunNumber,
    /// Newest checkpoint.
    pub checkpoint: Option<CheckpointName>,
    /// Share of the work done, 0 to 100; of a continuous task, 100 once it is at work.
    pub percent: u32,
    /// Of a serving task, its tail latency in milliseconds over the last half second; of others, the
    /// thousandths of a core in use.
    pub usage: u32,
}

/// States how a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndReason {
    /// The work is done.
    Done,
    /// The task failed through its own or its worker's fault.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The lease lapsed.
    Lapsed,
    /// Another member of the gang ended.
    GangBroken,
    /// The other members of the gang did not come in time.
    GangIncomplete,
}

/// Reports a run that has ended on a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndedRun {
    /// Number of the end within the life of the worker, from 1.
    pub number: u64,
    /// Task.
    pub task: TaskKey,
    /// Run.
    pub run: RunNumber,
    /// Reason.
    pub reason: EndReason,
    /// Newest checkpoint.
    pub checkpoint: Option<CheckpointName>,
}

/// Holds the answer of a worker to a renewal.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LeaseReport {
    /// Start of the worker's present life, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// The worker's steady clock when it answered.
    pub clock: Duration,
    /// Runs in progress.
    pub running: Vec<ActiveRun>,
    /// Ends that have not been acknowledged.
    pub ended: Vec<EndedRun>,
}

/// States why a worker did not start a task. In every case nothing was started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartRefusal {
    /// The worker has seen a higher fencing token.
    StaleToken,
    /// The worker has seen this run or a later one end.
    StaleRun,
    /// The lease of the order was over when it arrived.
    LeaseOver,
    /// The worker lacks capacity.
    NoCapacity,
    /// The order carried no valid ticket of the queue's adviser.
    NoTicket,
    /// The worker is unhealthy, has another identity, or found the order invalid.
    Unhealthy,
}

/// States what became of a start order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartOutcome {
    /// The task runs.
    Started,
    /// Nothing was started.
    Refused(StartRefusal),
    /// No answer came: the order may have been carried out, or may be later.
    Unclear,
}

/// Tells the planner what happened.
#[derive(Clone, Debug)]
pub enum FleetEvent {
    /// A new version of the settings is in force.
    ConfigChanged(Arc<FleetConfig>),
    /// The failure domains in which nothing may start.
    DomainsOut(BTreeSet<DomainName>),
    /// The whole list of workers.
    WorkersListed(Vec<WorkerListing>),
    /// The workers that an earlier scheduler used, as it stored them.
    RosterLoaded(WorkerRoster),
    /// A job was accepted and stored; `progress` is what an earlier scheduler stored, if any.
    JobAccepted {
        /// Submission as stored.
        submission: Arc<JobSubmission>,
        /// Stored progress.
        progress: Option<JobProgress>,
        /// Time since the acceptance.
        age: Duration,
    },
    /// A job's cancellation was stored.
    JobCancelled(JobKey),
    /// A worker answered a renewal.
    LeaseAnswered {
        /// Worker.
        worker: WorkerId,
        /// When the renewal was sent.
        sent: Duration,
        /// Answer.
        report: LeaseReport,
    },
    /// A worker did not answer a renewal.
    LeaseUnanswered {
        /// Worker.
        worker: WorkerId,
        /// Whether the worker refused because of a higher fencing token.
        stale_token: bool,
    },
    /// A start order was answered, or not in time.
    StartAnswered {
        /// Worker.
        worker: WorkerId,
        /// Task.
        task: TaskKey,
        /// Run.
        run: RunNumber,
        /// Outcome.
        outcome: StartOutcome,
    },
    /// The adviser of a queue answered a question, or not in time.
    AdviceAnswered {
        /// Question.
        request: AdviceRequest,
        /// Workers that may run the step; nothing if no answer came.
        allowed: Option<Vec<WorkerTicket>>,
    },
    /// A stop order was answered, or not in time.
    StopAnswered {
        /// Worker.
        worker: WorkerId,
        /// Task.
        task: TaskKey,
        /// Run.
        run: RunNumber,
        /// Whether the worker has confirmed the stop.
        confirmed: bool,
    },
    /// A worker did not confirm a change of the share of a filling task.
    CpuLimitUnconfirmed {
        /// Worker.
        worker: WorkerId,
        /// Task.
        task: TaskKey,
        /// Run.
        run: RunNumber,
    },
    /// Progress was written to the store.
    ProgressStored {
        /// Job.
        job: JobKey,
        /// Sequence number of the stored progress.
        sequence: u64,
    },
    /// Progress could not be written; it is offered again.
    ProgressNotStored {
        /// Job.
        job: JobKey,
    },
}
