//! The part of the operators' settings that decisions depend on.

use std::collections::BTreeMap;
use std::time::Duration;

use lacewingrail_model::{ConfigVersion, CustomerName, ServiceName};

use crate::advice::AdvicePolicy;
use crate::spec::QueueName;

/// Describes a queue of jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuePolicy {
    /// Service whose workers run the jobs.
    pub service: ServiceName,
    /// Rank of the queue; 0 comes first and may preempt others.
    pub priority: u32,
    /// Failed runs after which a task is given up.
    pub max_failures: u32,
    /// Multiple of the longest chain of work within which a job is on time.
    pub stretch: f64,
    /// Time added to that multiple.
    pub slack: Duration,
    /// Adviser that knows which workers may run a step; nothing if all may.
    pub advice: Option<AdvicePolicy>,
}

/// Describes what a customer may always claim.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CustomerGuarantee {
    /// Accelerators that the customer's urgent jobs may claim at any time.
    pub guaranteed: i64,
}

/// Holds what decisions depend on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetConfig {
    /// Version of the settings.
    pub version: ConfigVersion,
    /// Queues.
    pub queues: BTreeMap<QueueName, QueuePolicy>,
    /// Customers.
    pub customers: BTreeMap<CustomerName, CustomerGuarantee>,
}
