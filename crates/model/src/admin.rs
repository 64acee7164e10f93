//! Records of the administration API and the questions it puts to the active scheduler of a domain.
//!
//! Any scheduler process answers the API. What only the active scheduler of a failure domain knows
//! is asked with a [`DomainQuery`], forwarded as JSON text between processes.

use serde::{Deserialize, Serialize};

use crate::job::JobRecord;
use crate::shape::GangShape;
use crate::{ConfigVersion, CustomerName, DomainName, Epoch, JobId, RackName, WorkerId};

/// Asks the active scheduler of a failure domain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "query")]
pub enum DomainQuery {
    /// State of the domain.
    Status,
    /// All workers with what runs on them.
    Workers,
    /// Guarantees in the domain.
    Guarantees,
    /// Waiting jobs in queue order, each with its reason.
    Queue,
    /// Why one job is waiting.
    Why {
        /// Job.
        job: JobId,
    },
    /// Effect of a settings tree that is not yet accepted.
    DryRun {
        /// Text of the tree in YAML.
        text: String,
    },
}

/// Answers a [`DomainQuery`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "answer", content = "content")]
pub enum DomainAnswer {
    /// Answers `Status`.
    Status(DomainStatus),
    /// Answers `Workers`.
    Workers(Vec<WorkerStatus>),
    /// Answers `Guarantees`.
    Guarantees(Vec<GuaranteeStatus>),
    /// Answers `Queue`.
    Queue(Vec<WaitingJob>),
    /// Answers `Why`: one sentence.
    Why(String),
    /// Answers `DryRun`: one sentence for each effect, none when nothing changes.
    DryRun(Vec<String>),
    /// The query could not be answered; fault and mend.
    Refused(String),
}

/// Describes a failure domain at one moment.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct DomainStatus {
    /// Failure domain.
    pub domain: DomainName,
    /// Whether operators have taken the domain out.
    pub out: bool,
    /// Epoch of the active scheduler; 0 when none is known.
    pub epoch: Epoch,
    /// Process that is the active scheduler.
    pub scheduler: String,
    /// Settings version that the scheduler follows.
    pub config_version: ConfigVersion,
    /// Whether starts are permitted now, and if not, why.
    pub starts: Option<String>,
    /// Workers known.
    pub workers: u32,
    /// Workers that answer and are not quarantined.
    pub workers_healthy: u32,
    /// Accelerators of healthy workers.
    pub accelerators: u32,
    /// Accelerators free.
    pub accelerators_free: u32,
    /// Accelerators held by guaranteed jobs.
    pub accelerators_guaranteed: u32,
    /// Accelerators held by borrowers.
    pub accelerators_borrowed: u32,
    /// Gangs running.
    pub gangs_running: u32,
    /// Jobs waiting.
    pub jobs_waiting: u32,
    /// Starts since this scheduler became active.
    pub starts_total: u64,
    /// Preemptions since this scheduler became active.
    pub preemptions_total: u64,
}

/// Describes a worker at one moment.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WorkerStatus {
    /// Worker.
    pub worker: WorkerId,
    /// Rack.
    pub rack: RackName,
    /// Failure domain.
    pub domain: DomainName,
    /// Accelerators in working order.
    pub accelerators: u32,
    /// State: `healthy`, `silent`, `quarantined` or `probing`.
    pub health: String,
    /// Measured speed, 1 for nominal.
    pub speed: f64,
    /// Members held, with their job and accelerators.
    pub members: Vec<MemberStatus>,
}

/// Describes one member on a worker.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MemberStatus {
    /// Job.
    pub job: JobId,
    /// Customer.
    pub customer: CustomerName,
    /// Accelerators held.
    pub accelerators: u32,
    /// Whether the job is a borrower.
    pub borrowed: bool,
}

/// Describes a guaranteed shape of a customer in a failure domain.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GuaranteeStatus {
    /// Customer.
    pub customer: CustomerName,
    /// Failure domain.
    pub domain: DomainName,
    /// Shape.
    pub shape: GangShape,
    /// Guaranteed number of shapes.
    pub count: u32,
    /// Shapes held by jobs of the customer.
    pub held: u32,
    /// Unused shapes that can be reclaimed now.
    pub reclaimable: u32,
    /// Reason for shapes that are suspended, if any.
    pub suspended: Option<String>,
}

/// Describes a waiting job.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WaitingJob {
    /// Record.
    pub record: JobRecord,
    /// Position in the queue, from 1.
    pub position: u32,
    /// Limit, shape or guarantee in the way, in one sentence.
    pub reason: String,
}
