//! The scheduler process and its controllers for failure domains.
//!
//! Any scheduler process can become the active scheduler of a failure domain. [`lease_controller`]
//! acquires and renews the lease of the domain; [`leadership`] owns the controllers that run while
//! the lease is held. [`job_controller`] manages job records and drives the planner,
//! [`gang_controller`] starts, renews and stops gangs, and [`worker_controller`] tracks the
//! workers. Placement decisions are made by the planner of the placement crate.
//!
//! A job runs as a gang: its members are tasks on one or more workers that start and stop together.
//! Each start of the gang is a new attempt, counted from 1. The epoch counts the acquisitions of
//! the domain's lease; workers reject calls with a lower epoch than the highest they have seen.
//!
//! Operators can take a domain out of service and return it later; no task may start in a domain
//! that is out. In renew-only mode a process keeps the gangs of an unreachable scheduler alive
//! during a store outage, without a lease of its own and without starting any.

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
pub mod leadership_responder;
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

/// Upper bound on the time that a preempted task has to write its checkpoint. Together with the
/// start of a gang it stays below the 6.4 s within which urgent work must start.
pub const MAX_PREEMPTION_GRACE: Duration = Duration::from_secs(3);
