//! State and services shared by all controllers of a process.

use std::sync::Arc;
use std::time::{Duration, Instant};

use lacewingrail_membership::Membership;
use lacewingrail_model::instance::InstanceList;
use lacewingrail_model::store::KeyValueService;
use lacewingrail_model::timer::TimerService;
use lacewingrail_model::worker::WorkerService;

use crate::metrics::SchedulerMetrics;

/// State and services shared by all controllers of a process.
pub struct ProcessContext {
    /// This process's view of its peers and of the configuration.
    pub membership: Membership,
    /// Key-value service that stores leases, settings and job records.
    pub store: Arc<dyn KeyValueService>,
    /// Client of the workers.
    pub workers: Arc<dyn WorkerService>,
    /// Instance list of the platform, from which the workers are read.
    pub list: Arc<dyn InstanceList>,
    /// Timer for delays and periodic tasks.
    pub timer: TimerService,
    /// Metrics that the controllers update.
    pub metrics: SchedulerMetrics,
    /// Zero point of the planner's clock.
    pub started: Instant,
}

impl ProcessContext {
    /// Returns the current planner time, which is the time since the process started.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }
}
