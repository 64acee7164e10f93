//! Inputs and outputs of the planner.

use std::time::Duration;

use lacewingrail_model::job::{JobRecord, JobSpec};
use lacewingrail_model::shape::GangShape;
use lacewingrail_model::{ConfigVersion, CustomerName, JobId, RackName, WorkerId};

use crate::health::WorkerHealth;

/// A worker as reported to the planner.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerCapacity {
    /// Id under which the platform lists the worker.
    pub id: WorkerId,
    /// Rack that holds the worker; gangs with rack adjacency stay within one.
    pub rack: RackName,
    /// Number of working accelerators, in use or not.
    pub accelerators: u32,
    /// Number of CPU cores, in use or not.
    pub cores: u32,
    /// Megabytes of memory, in use or not.
    pub memory_mb: u64,
    /// Measured speed relative to nominal, 1 for nominal.
    pub speed: f64,
    /// Health; only a healthy worker gets new members.
    pub health: WorkerHealth,
}

/// A shape that a customer is guaranteed in this failure domain.
#[derive(Clone, Debug, PartialEq)]
pub struct ShapeGuarantee {
    /// Customer that owns the guarantee.
    pub customer: CustomerName,
    /// Members, accelerators of each member and adjacency that one guaranteed gang may have.
    pub shape: GangShape,
    /// Number of such shapes that the customer may use at the same time.
    pub count: u32,
    /// Precedence when the guarantees no longer fit together; lower values are honoured first.
    pub precedence: u32,
    /// Settings version that introduced the guarantee; at equal precedence, older ones are honoured
    /// first.
    pub since_version: ConfigVersion,
}

/// A customer's quota and its weight in the fair queue order.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerShare {
    /// Weight in the fair queue order, above 0; at weight 2 a customer gets twice the share of its
    /// quota that it gets at weight 1.
    pub weight: f64,
    /// Maximum number of accelerators in use in all failure domains together.
    pub quota: u32,
    /// Number of accelerators in use in the other failure domains.
    pub in_use_elsewhere: u32,
}

/// A job that waits for accelerators.
#[derive(Clone, Debug, PartialEq)]
pub struct PendingJob {
    /// Record of the job. Its `preemptions` raise the cost of preempting it again.
    pub record: JobRecord,
    /// Time at which the job began to wait. A preempted job keeps the time of its first wait.
    pub waiting_since: Duration,
}

/// The worker and accelerators of one member of a gang.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberPlacement {
    /// Index of the member within the gang, from 0.
    pub index: u32,
    /// Worker on which the member runs.
    pub worker: WorkerId,
    /// Number of accelerators that the member holds on the worker.
    pub accelerators: u32,
}

/// A gang that was already running when the scheduler became active.
#[derive(Clone, Debug, PartialEq)]
pub struct RunningGang {
    /// Job that the gang belongs to.
    pub job: JobId,
    /// Specification of the job as submitted.
    pub spec: JobSpec,
    /// Workers of all members.
    pub members: Vec<MemberPlacement>,
    /// Whether the gang uses one of the customer's guaranteed shapes.
    pub guaranteed: bool,
    /// Number of preemptions of the job so far.
    pub preemptions: u32,
    /// Time of the newest checkpoint, or of the start when there is none.
    pub checkpointed_at: Duration,
}

/// An action that the scheduler has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum PlacementAction {
    /// Start a gang. Its accelerators count as held until
    /// [`DomainPlanner::release`](crate::DomainPlanner::release).
    Start {
        /// Job to start.
        job: JobId,
        /// Workers of all members, in the order of their indices.
        members: Vec<MemberPlacement>,
        /// Whether the gang uses one of the customer's guaranteed shapes; otherwise it is a
        /// preemptible borrower.
        guaranteed: bool,
    },
    /// Checkpoint and stop gangs, and queue them again. Each is released with
    /// [`DomainPlanner::release`](crate::DomainPlanner::release) once its teardown is confirmed; a
    /// later decision then starts the job for which they were stopped. A victim may be a gang whose
    /// start is not confirmed yet.
    Preempt {
        /// Gangs to stop.
        victims: Vec<JobId>,
        /// Job that gets their accelerators.
        on_behalf_of: JobId,
    },
    /// Refuse a job permanently. The planner has already removed it from the queue.
    Refuse {
        /// Job to refuse.
        job: JobId,
        /// Cause and remedy in one sentence, for the customer.
        reason: String,
    },
}

/// Counts of a failure domain at one moment, for operators.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DomainCounts {
    /// Known workers, healthy or not.
    pub workers: u32,
    /// Workers that may get new members.
    pub workers_healthy: u32,
    /// Accelerators of healthy workers, in use or not.
    pub accelerators: u32,
    /// Accelerators of healthy workers that no gang holds or claims.
    pub accelerators_free: u32,
    /// Accelerators held by gangs whose guarantee is in force.
    pub accelerators_guaranteed: u32,
    /// Accelerators held by all other gangs, the borrowers.
    pub accelerators_borrowed: u32,
    /// Gangs that hold accelerators: starting, running or being stopped.
    pub gangs_running: u32,
    /// Jobs in the queue, including those that claim a placement.
    pub jobs_waiting: u32,
    /// Starts decided since this planner was created.
    pub starts_total: u64,
    /// Gangs preempted since this planner was created.
    pub preemptions_total: u64,
}

/// Free accelerators and the largest gangs that could start at once without preemption.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FragmentationStats {
    /// Free accelerators of healthy workers.
    pub accelerators_free: u32,
    /// Maximum number of accelerators that are free on one worker.
    pub largest_on_worker: u32,
    /// Maximum number of workers in one rack that have at least 8 free accelerators.
    pub whole_workers_in_rack: u32,
    /// Maximum number of accelerators that are free in one rack.
    pub largest_in_rack: u32,
    /// Share of the free accelerators outside the rack that has the most, from 0 to 1.
    pub scattered_share: f64,
}
