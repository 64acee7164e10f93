//! Stand-ins for the external systems: key-value service, instance list, workers and backend
//! servers, and a proxy that injects network faults.
//!
//! A `spawn` function starts a stand-in within a test process, several per process if needed; most
//! stand-ins also run as a binary. Those are controlled over HTTP too, so that tests in other
//! processes can inject faults and read what the stand-in did.

pub mod backend_server;
pub mod cli;
pub mod client_crowd;
pub mod clock;
pub mod fault_proxy;
pub mod instance_server;
pub mod journal;
pub mod platform_server;
pub mod process_usage;
pub mod server;
pub mod store_server;
pub mod worker_fleet;

pub use backend_server::faults::BackendFaults;
pub use backend_server::runs::{RunCounts, RunRecord, find_repeated_runs};
pub use backend_server::{BackendServer, BackendSettings};
pub use client_crowd::{ClientCrowd, CrowdScript};
pub use clock::MonotonicClock;
pub use fault_proxy::FaultProxy;
pub use fault_proxy::rules::{LinkRule, LinkSelection, LinkSpec};
pub use instance_server::{InstanceChange, InstanceListServer};
pub use journal::{BoundedJournal, JournalPage};
pub use platform_server::PlatformServer;
pub use platform_server::worker::{PlatformWorker, RunTrace};
pub use process_usage::ProcessUsage;
pub use server::ServerHandle;
pub use store_server::StoreServer;
pub use worker_fleet::allocation::{AllocationRecord, EndReason};
pub use worker_fleet::faults::{WorkerFaults, WorkerSelection};
pub use worker_fleet::{FleetLayout, FleetSettings, WorkerFleet, audit};
