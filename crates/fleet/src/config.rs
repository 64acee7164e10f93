//! The part of the operators' settings that scheduling decisions depend on.

use std::collections::BTreeMap;
use std::time::Duration;

use lacewingrail_model::{ConfigVersion, CustomerName, ServiceName};

use crate::advice::AdvicePolicy;
use crate::spec::QueueName;

/// Rules by which the jobs of one queue are scheduled.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuePolicy {
    /// Service whose workers run the jobs.
    pub service: ServiceName,
    /// Priority class; a lower number comes first. Class 0 is urgent and may preempt others.
    pub priority: u32,
    /// Number of failed runs of a task, or of a gang, at which the job fails; 0 counts as 1.
    pub max_failures: u32,
    /// Factor on the declared critical path of a job in its objective.
    pub stretch: f64,
    /// Time added to that product to give the objective.
    pub slack: Duration,
    /// Adviser that decides which workers may run a step; if absent, all may.
    pub advice: Option<AdvicePolicy>,
}

/// Capacity that a customer may claim at any time.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CustomerGuarantee {
    /// Number of accelerators that the customer's urgent jobs may claim, if need be by preemption.
    pub guaranteed: i64,
}

/// One version of the settings, as far as decisions depend on them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetConfig {
    /// Version of the settings that these were read from.
    pub version: ConfigVersion,
    /// Policy of each queue. Jobs of a queue without one are not scheduled.
    pub queues: BTreeMap<QueueName, QueuePolicy>,
    /// Guarantee of each customer; customers without an entry have none.
    pub customers: BTreeMap<CustomerName, CustomerGuarantee>,
}
