//! The process that runs on every instance of a region.
//!
//! Instances have no local storage and all run the same code. Each serves clients; one of them,
//! elected by a lease in the key-value service, is the active scheduler and places all jobs of the
//! region with the planner of `lacewingrail-fleet`. Accepted jobs, cancellations and progress are
//! stored in the key-value service; which tasks run is read from the workers' reports.
//!
//! The process calls the users' platform through the traits of [`platform`], which an adapter crate
//! implements.

pub mod client_api;
pub mod clock;
pub mod input_store;
pub mod metrics;
pub mod peer;
pub mod platform;
pub mod process;
pub mod progress_writer;
pub mod records;
pub mod routes;
pub mod schedule_controller;
pub mod store_health;

mod event_sources;
mod executor;
mod leader_client;
mod leader_runtime;
mod leadership;
mod unclear_jobs;

pub use client_api::{CallHead, ClientAnswer, ClientApi, ClientOperation};
pub use platform::{AdviceError, FleetDirectory, OperatorState, RenewError, WorkerService};
pub use process::{InstanceProcess, InstanceSettings};
pub use routes::{ConfigTree, CustomerRule, RouteRule};
