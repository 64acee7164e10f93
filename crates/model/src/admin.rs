//! Records of the administration API and its queries to the active scheduler of a failure domain.
//!
//! Any scheduler process serves the API. If an answer needs the state of the active scheduler of a
//! failure domain, the process forwards a [`DomainQuery`] to it as JSON text.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::clock::UnixMillis;
use crate::job::JobRecord;
use crate::shape::GangShape;
use crate::{
    ConfigVersion, CustomerName, DomainName, Epoch, InstanceId, JobId, RackName, RegionName,
    WorkerId,
};

/// Query to the active scheduler of a failure domain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "query")]
pub enum DomainQuery {
    /// Returns the state of the domain.
    Status,
    /// Returns all workers with the members that they hold.
    Workers,
    /// Returns the guarantees in the domain and how far they are used.
    Guarantees,
    /// Returns the waiting jobs in queue order, each with the reason why it waits.
    Queue,
    /// Returns the reason why one job is waiting.
    Why {
        /// Id of the job.
        job: JobId,
    },
    /// Returns the effects that a settings tree would have if it were accepted.
    DryRun {
        /// Text of the tree in YAML.
        text: String,
    },
    /// Returns the accelerators that each customer uses in the domain, for quotas across all domains.
    Usage,
}

/// Answer to a [`DomainQuery`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "answer", content = "content")]
pub enum DomainAnswer {
    /// Answer to `Status`.
    Status(DomainStatus),
    /// Answer to `Workers`.
    Workers(Vec<WorkerStatus>),
    /// Answer to `Guarantees`.
    Guarantees(Vec<GuaranteeStatus>),
    /// Answer to `Queue`, in queue order.
    Queue(Vec<WaitingJob>),
    /// Answer to `Why`: one sentence.
    Why(String),
    /// Answer to `DryRun`: one sentence for each effect; empty when nothing changes.
    DryRun(Vec<String>),
    /// Answer to `Usage`: number of accelerators by customer.
    Usage(BTreeMap<CustomerName, u32>),
    /// The query could not be answered; cause and remedy.
    Refused(String),
}

/// State of a failure domain as known to its active scheduler.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct DomainStatus {
    /// Name of the failure domain.
    pub domain: DomainName,
    /// Whether operators have taken the domain out of service.
    pub out: bool,
    /// Epoch of the active scheduler; 0 when none is known.
    pub epoch: Epoch,
    /// Active scheduler process; empty when none is known.
    pub scheduler: String,
    /// Settings version in force at the scheduler.
    pub config_version: ConfigVersion,
    /// Reason why the scheduler may not start tasks now; `None` while it may.
    pub starts: Option<String>,
    /// Number of known workers, healthy or not.
    pub workers: u32,
    /// Number of workers that answer and are not quarantined.
    pub workers_healthy: u32,
    /// Number of accelerators of healthy workers.
    pub accelerators: u32,
    /// Number of accelerators that no job holds.
    pub accelerators_free: u32,
    /// Number of accelerators held by guaranteed jobs.
    pub accelerators_guaranteed: u32,
    /// Number of accelerators held by borrowers: jobs without a guarantee, which can be preempted.
    pub accelerators_borrowed: u32,
    /// Number of gangs that are running.
    pub gangs_running: u32,
    /// Number of jobs that are waiting.
    pub jobs_waiting: u32,
    /// Number of gang starts since this scheduler became active.
    pub starts_total: u64,
    /// Number of preemptions since this scheduler became active.
    pub preemptions_total: u64,
}

/// State of a worker as known to the active scheduler of its domain.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WorkerStatus {
    /// Id of the worker.
    pub worker: WorkerId,
    /// Rack that the worker is in.
    pub rack: RackName,
    /// Name of the failure domain.
    pub domain: DomainName,
    /// Number of accelerators that are not faulty.
    pub accelerators: u32,
    /// Health: `healthy`, `silent`, `quarantined` or `probing`.
    pub health: String,
    /// Measured speed relative to the nominal speed of 1.
    pub speed: f64,
    /// Members that hold accelerators of the worker.
    pub members: Vec<MemberStatus>,
}

/// A gang member that holds accelerators of a worker.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MemberStatus {
    /// Id of the job.
    pub job: JobId,
    /// Customer that owns the job.
    pub customer: CustomerName,
    /// Number of accelerators that the member holds.
    pub accelerators: u32,
    /// Whether the job is a borrower: it uses no guarantee and can be preempted.
    pub borrowed: bool,
}

/// State of a guaranteed shape of a customer in a failure domain.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GuaranteeStatus {
    /// Customer that the shape is guaranteed to.
    pub customer: CustomerName,
    /// Name of the failure domain.
    pub domain: DomainName,
    /// Shape that is guaranteed.
    pub shape: GangShape,
    /// Number of such shapes that are guaranteed.
    pub count: u32,
    /// Number of such shapes that jobs of the customer hold.
    pub held: u32,
    /// Number of unused shapes that could be freed for the customer now.
    pub reclaimable: u32,
    /// Reason why some shapes are suspended, without reserved accelerators; `None` if none are.
    pub suspended: Option<String>,
}

/// A waiting job with its position in the queue.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WaitingJob {
    /// Stored record of the job.
    pub record: JobRecord,
    /// Position in the queue, from 1.
    pub position: u32,
    /// Limit, shape or guarantee that keeps the job from starting, in one sentence.
    pub reason: String,
}

/// Body of an error answer of the administration API.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ApiError {
    /// Cause of the error.
    pub reason: String,
    /// What the caller can do about it.
    pub mend: String,
    /// Current settings version, if the call failed because it was based on an older one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current_version: Option<ConfigVersion>,
    /// Errors in a settings tree, each with its location and remedy.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<String>,
}

/// The settings tree with its version and author.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TreeReport {
    /// Version of the tree.
    pub version: ConfigVersion,
    /// User who wrote this version.
    pub author: String,
    /// Time at which this version was written.
    pub written_at: UnixMillis,
    /// Text of the tree in YAML.
    pub text: String,
    /// Whether the tree was read from the key-value service; otherwise it is the one in force in the
    /// process.
    pub from_store: bool,
}

/// Answer to a write of the settings tree that was accepted.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WriteReport {
    /// Version of the tree.
    pub version: ConfigVersion,
}

/// What a settings tree would change if it were accepted.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct DryRunReport {
    /// Version of the tree that it was compared with; 0 if there is none.
    pub against_version: ConfigVersion,
    /// Changed settings, one line each.
    pub changes: Vec<String>,
    /// Effects in each failure domain, or why they are unknown.
    pub domains: Vec<DomainEffects>,
}

/// Effects that a settings tree would have in one failure domain.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct DomainEffects {
    /// Name of the failure domain.
    pub domain: DomainName,
    /// Effects, one sentence each; empty when nothing changes.
    pub effects: Vec<String>,
    /// Reason why the effects are unknown; `None` if they are known.
    pub error: Option<String>,
}

/// Answer to taking a failure domain out of service or back in.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct DomainChange {
    /// Name of the failure domain.
    pub domain: DomainName,
    /// Whether the domain is out of service after the change.
    pub out: bool,
    /// Settings version that contains the change.
    pub version: ConfigVersion,
    /// Completed steps in order: `written`, then `confirmed by <scheduler>` or `permission expired`, see
    /// [`PeerRequest::DomainVeto`](crate::message::PeerRequest::DomainVeto).
    pub steps: Vec<String>,
}

/// State of a failure domain, from the settings and from its active scheduler.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct DomainReport {
    /// Name of the failure domain.
    pub domain: DomainName,
    /// Region of the domain.
    pub region: RegionName,
    /// Whether operators have taken the domain out of service.
    pub out: bool,
    /// Settings version that last changed `out`.
    pub out_since: ConfigVersion,
    /// State from the active scheduler; `None` if it did not answer.
    pub status: Option<DomainStatus>,
    /// Reason why the state is unknown; `None` if it is known.
    pub error: Option<String>,
}

/// Records of several failure domains, possibly incomplete.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Listing<T> {
    /// Records of the domains that answered.
    pub items: Vec<T>,
    /// Failure domains that did not answer, with the cause.
    pub errors: Vec<String>,
}

/// Reason why a job is in its state.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobReason {
    /// Id of the job.
    pub job: JobId,
    /// Limit, shape or guarantee that keeps the job from starting, in one sentence.
    pub reason: String,
}

/// State of a process of the system as known to the process that answers.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ProcessStatus {
    /// Id of the process; empty before its first heartbeat.
    pub instance: InstanceId,
    /// Role: `entry`, `scheduler`, or empty while unknown.
    pub role: String,
    /// Name of the failure domain.
    pub domain: DomainName,
    /// Address on which the process receives messages of peers, as `ip:port`.
    pub address: String,
    /// Settings version in force in the process.
    pub config_version: ConfigVersion,
    /// Seconds since its newest heartbeat; `None` before the first.
    pub silent_s: Option<f64>,
    /// Whether it has sent a heartbeat recently and calls to it succeed.
    pub alive: bool,
    /// Whether it has announced that it is shutting down.
    pub leaving: bool,
}

/// State of the whole system as known to one scheduler process.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StatusReport {
    /// Id of the process that answers.
    pub instance: InstanceId,
    /// Wall-clock time at that process.
    pub time: UnixMillis,
    /// Reason why the process is not ready; `None` if it is.
    pub not_ready: Option<String>,
    /// Settings version in force in the process.
    pub config_version: ConfigVersion,
    /// Settings version in the key-value service; 0 when there is no tree or it could not be read.
    pub stored_version: ConfigVersion,
    /// Reason why the key-value service could not be read; `None` if it could.
    pub store_error: Option<String>,
    /// Failure domains of the settings tree.
    pub domains: Vec<DomainReport>,
    /// Workers of the domains that answered.
    pub workers: Vec<WorkerStatus>,
    /// Guarantees in the domains that answered.
    pub guarantees: Vec<GuaranteeStatus>,
    /// Waiting jobs of the domains that answered, in queue order within each.
    pub queue: Vec<WaitingJob>,
    /// Processes that the answering process knows of.
    pub processes: Vec<ProcessStatus>,
    /// Queries that failure domains did not answer, with the cause.
    pub errors: Vec<String>,
}
