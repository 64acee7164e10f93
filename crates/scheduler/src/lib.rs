//! Controllers for the state of failure domains, and the scheduler process.
//!
//! Any scheduler process may become the active scheduler of a failure domain: [`lease_controller`]
//! competes for the lease, and [`leadership`] holds the controllers of the time for which it is held.
//! [`job_controller`] decides over jobs, [`gang_controller`] runs them, [`worker_controller`] knows
//! the workers. What to place where is decided in the placement crate.

pub mod admin_context;
pub mod config_poller;
pub mod context;
pub mod gang;
pub mod gang_controller;
pub mod gang_start;
pub mod handover;
pub mod history;
pub mod job_controller;
pub mod leadership;
pub mod leadership_hook;
pub mod lease;
pub mod lease_controller;
pub mod metrics;
pub mod permission;
pub mod process;
pub mod rebuild;
pub mod records;
pub mod start_limiter;
pub mod tombstones;
pub mod usage;
pub mod worker_controller;

pub use process::SchedulerProcess;

use std::time::Duration;

/// Longest time that a preempted task gets for its checkpoint. With the start of a gang it stays
/// below the 6.4 s within which urgent work starts.
pub const MAX_PREEMPTION_GRACE: Duration = Duration::from_secs(3);
