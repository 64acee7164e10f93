//! Records of the administration API and the questions it puts to the active scheduler of a domain.
//!
//! Any scheduler process answers the API. What only the active scheduler of a failure domain knows
//! is asked with a [`DomainQuery`], forwarded as JSON text between processes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::clock::UnixMillis;
use crate::job::JobRecord;
use crate::shape::GangShape;
use crate::{
    ConfigVersion, CustomerName, DomainName, Epoch, InstanceId, JobId, RackName, RegionName,
    WorkerId,
};

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
    /// Accelerators that each customer uses in the domain, for quotas over all domains.
    Usage,
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
    /// Answers `Usage`.
    Usage(BTreeMap<CustomerName, u32>),
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

/// Reports a refused or failed call of the administration API.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ApiError {
    /// Fault.
    pub reason: String,
    /// Remedy.
    pub mend: String,
    /// Current settings version, where a change lost a race.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current_version: Option<ConfigVersion>,
    /// Faults of a settings tree, each with its place and remedy.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<String>,
}

/// Reports the stored settings tree.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TreeReport {
    /// Version.
    pub version: ConfigVersion,
    /// Who changed the tree.
    pub author: String,
    /// Time of the change.
    pub written_at: UnixMillis,
    /// Text in YAML.
    pub text: String,
    /// Whether the tree was read from the key-value service and not from the memory of the process.
    pub from_store: bool,
}

/// Reports an accepted settings tree.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WriteReport {
    /// Version.
    pub version: ConfigVersion,
}

/// Reports what a settings tree would change.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct DryRunReport {
    /// Version of the tree that it was compared with; 0 for none.
    pub against_version: ConfigVersion,
    /// Changed settings, one line each.
    pub changes: Vec<String>,
    /// Effects in each failure domain.
    pub domains: Vec<DomainEffects>,
}

/// Reports what a settings tree would do in a failure domain.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct DomainEffects {
    /// Failure domain.
    pub domain: DomainName,
    /// Effects, one sentence each.
    pub effects: Vec<String>,
    /// Why the effects are unknown, if they are.
    pub error: Option<String>,
}

/// Reports a failure domain that was taken out or brought back.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct DomainChange {
    /// Failure domain.
    pub domain: DomainName,
    /// Whether the domain is out now.
    pub out: bool,
    /// Settings version that holds the state.
    pub version: ConfigVersion,
    /// Steps in order: `written`, then `confirmed by <scheduler>` or `permission expired`.
    pub steps: Vec<String>,
}

/// Reports a failure domain as settings and its active scheduler describe it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct DomainReport {
    /// Failure domain.
    pub domain: DomainName,
    /// Region.
    pub region: RegionName,
    /// Whether operators have taken the domain out.
    pub out: bool,
    /// Settings version that wrote `out` last.
    pub out_since: ConfigVersion,
    /// State, where the active scheduler answered.
    pub status: Option<DomainStatus>,
    /// Why the state is unknown, if it is.
    pub error: Option<String>,
}

/// Lists records of several failure domains with the domains that did not answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Listing<T> {
    /// Records.
    pub items: Vec<T>,
    /// Failure domains that did not answer, with the cause.
    pub errors: Vec<String>,
}

/// Explains the state of a job.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobReason {
    /// Job.
    pub job: JobId,
    /// Limit, shape or guarantee in the way, in one sentence.
    pub reason: String,
}

/// Describes a process of the system.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ProcessStatus {
    /// Id of the process.
    pub instance: InstanceId,
    /// Role: `entry`, `scheduler`, or empty while unknown.
    pub role: String,
    /// Failure domain.
    pub domain: DomainName,
    /// Address for messages of processes, as `ip:port`.
    pub address: String,
    /// Settings version that the process follows.
    pub config_version: ConfigVersion,
    /// Seconds since it was last heard, if ever.
    pub silent_s: Option<f64>,
    /// Whether it counts as alive.
    pub alive: bool,
    /// Whether it is shutting down.
    pub leaving: bool,
}

/// Reports the whole system as one scheduler process sees it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StatusReport {
    /// Process that answers.
    pub instance: InstanceId,
    /// Wall clock of that process.
    pub time: UnixMillis,
    /// Why the process is not ready, if it is not.
    pub not_ready: Option<String>,
    /// Settings version that the process follows.
    pub config_version: ConfigVersion,
    /// Settings version in the key-value service; 0 when there is no tree or no contact.
    pub stored_version: ConfigVersion,
    /// Why the key-value service could not be read, if it could not.
    pub store_error: Option<String>,
    /// Failure domains.
    pub domains: Vec<DomainReport>,
    /// Workers.
    pub workers: Vec<WorkerStatus>,
    /// Guarantees.
    pub guarantees: Vec<GuaranteeStatus>,
    /// Waiting jobs.
    pub queue: Vec<WaitingJob>,
    /// Processes.
    pub processes: Vec<ProcessStatus>,
    /// Questions that failure domains did not answer.
    pub errors: Vec<String>,
}
