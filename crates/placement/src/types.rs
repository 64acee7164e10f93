//! The records that go into and come out of the planner.

use std::time::Duration;

use lacewingrail_model::job::{JobRecord, JobSpec};
use lacewingrail_model::shape::GangShape;
use lacewingrail_model::{ConfigVersion, CustomerName, JobId, RackName, WorkerId};

use crate::health::WorkerHealth;

/// Describes a worker as the planner sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerCapacity {
    /// Id of the worker.
    pub id: WorkerId,
    /// Rack of the worker.
    pub rack: RackName,
    /// Accelerators in working order.
    pub accelerators: u32,
    /// Processor cores.
    pub cores: u32,
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// Measured speed, 1 for nominal.
    pub speed: f64,
    /// Health; only a healthy worker gets new members.
    pub health: WorkerHealth,
}

/// Describes a guaranteed shape of a customer in this failure domain.
#[derive(Clone, Debug, PartialEq)]
pub struct ShapeGuarantee {
    /// Customer.
    pub customer: CustomerName,
    /// Shape.
    pub shape: GangShape,
    /// Number of such shapes.
    pub count: u32,
    /// Order in which guarantees are honoured when they no longer fit; lower goes first.
    pub precedence: u32,
    /// Settings version in which the guarantee first appeared; lower is older and goes first.
    pub since_version: ConfigVersion,
}

/// Describes a customer's share of the accelerators.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerShare {
    /// Weight in the fair order; above 0.
    pub weight: f64,
    /// Most accelerators in use over all failure domains.
    pub quota: u32,
    /// Accelerators in use in other failure domains.
    pub in_use_elsewhere: u32,
}

/// Describes a job that waits for accelerators.
#[derive(Clone, Debug, PartialEq)]
pub struct PendingJob {
    /// Record; its `preemptions` protect the job from being preempted again and again.
    pub record: JobRecord,
    /// Time since which the job waits. A job that was preempted keeps its first time.
    pub waiting_since: Duration,
}

/// Says where one member of a gang runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberPlacement {
    /// Index of the member within the gang, from 0.
    pub index: u32,
    /// Worker.
    pub worker: WorkerId,
    /// Accelerators held on the worker.
    pub accelerators: u32,
}

/// Describes a gang found running when a scheduler becomes active.
#[derive(Clone, Debug, PartialEq)]
pub struct RunningGang {
    /// Job.
    pub job: JobId,
    /// Submission.
    pub spec: JobSpec,
    /// Places of all members.
    pub members: Vec<MemberPlacement>,
    /// Whether the attempt consumes one of the customer's guaranteed shapes.
    pub guaranteed: bool,
    /// Times the job was preempted.
    pub preemptions: u32,
    /// Time of the newest checkpoint, or of the start when there is none.
    pub checkpointed_at: Duration,
}

/// Tells the scheduler what to do.
#[derive(Clone, Debug, PartialEq)]
pub enum PlacementAction {
    /// Starts a gang. The planner holds the accelerators until `release`.
    Start {
        /// Job.
        job: JobId,
        /// Places of all members, by index.
        members: Vec<MemberPlacement>,
        /// Whether the gang consumes one of the customer's guaranteed shapes; otherwise it is a
        /// preemptible borrower.
        guaranteed: bool,
    },
    /// Checkpoints and stops gangs, which then wait again. Call `release` for each once its
    /// teardown is confirmed; the job on whose behalf they stop is started by a later decision. A
    /// victim may be a gang whose start is not confirmed yet.
    Preempt {
        /// Gangs to stop.
        victims: Vec<JobId>,
        /// Job that takes the place.
        on_behalf_of: JobId,
    },
    /// Refuses a job for good; it has left the queue.
    Refuse {
        /// Job.
        job: JobId,
        /// Fault and remedy in one sentence.
        reason: String,
    },
}

/// Counts of a failure domain at one moment.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DomainCounts {
    /// Workers known.
    pub workers: u32,
    /// Healthy workers.
    pub workers_healthy: u32,
    /// Accelerators of healthy workers.
    pub accelerators: u32,
    /// Accelerators of healthy workers that nothing holds or claims.
    pub accelerators_free: u32,
    /// Accelerators held by guaranteed gangs.
    pub accelerators_guaranteed: u32,
    /// Accelerators held by borrowers.
    pub accelerators_borrowed: u32,
    /// Gangs that hold accelerators.
    pub gangs_running: u32,
    /// Jobs waiting.
    pub jobs_waiting: u32,
    /// Starts decided so far.
    pub starts_total: u64,
    /// Gangs preempted so far.
    pub preemptions_total: u64,
}

/// Says what could be placed at once without preemption.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FragmentationStats {
    /// Free accelerators of healthy workers.
    pub accelerators_free: u32,
    /// Most accelerators free on one worker.
    pub largest_on_worker: u32,
    /// Most members of 8 accelerators that one rack can take.
    pub whole_workers_in_rack: u32,
    /// Largest gang, in accelerators, whose members share one rack and use whole free workers or
    /// any free part of them.
    pub largest_in_rack: u32,
    /// Share of the free accelerators that lie outside the largest free rack, from 0 to 1.
    pub scattered_share: f64,
}
