//! What all controllers of one process share.

use std::sync::Arc;
use std::time::{Duration, Instant};

use lacewingrail_membership::Membership;
use lacewingrail_model::instance::InstanceList;
use lacewingrail_model::store::KeyValueService;
use lacewingrail_model::timer::TimerService;
use lacewingrail_model::worker::WorkerService;

use crate::metrics::SchedulerMetrics;

/// Holds the borders and services that the controllers of one process use.
pub struct ProcessContext {
    /// Peers and configuration.
    pub membership: Membership,
    /// Key-value service.
    pub store: Arc<dyn KeyValueService>,
    /// Workers.
    pub workers: Arc<dyn WorkerService>,
    /// Instance list of the platform.
    pub list: Arc<dyn InstanceList>,
    /// Timer service.
    pub timer: TimerService,
    /// Metrics.
    pub metrics: SchedulerMetrics,
    /// Start of the time that the planner counts.
    pub started: Instant,
}

impl ProcessContext {
    /// Returns the planner's time.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }
}
