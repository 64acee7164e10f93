//! The process that runs on every instance of a platform whose instances keep nothing.
//!
//! All instances are alike. Each answers clients; one of them, selected by a lease in the key-value
//! service, schedules all jobs of the region with the planner of `lacewingrail-fleet`. Accepted jobs,
//! cancellations and progress are kept in the key-value service; what runs is known to the workers.
//!
//! The platform is reached through the traits of [`platform`], which an adapter implements.

pub mod client_api;
pub mod clock;
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
