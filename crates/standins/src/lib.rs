//! Stand-ins for the outside systems: key-value service, instance list, workers and backend servers,
//! and a proxy that injects network faults.
//!
//! Every stand-in runs within a test process by its `spawn` function, several per process, and as a
//! binary of its own. Each is also controlled over HTTP, so that tests in other processes can inject
//! faults and read what really happened.

pub mod cli;
pub mod instance_server;
pub mod journal;
pub mod server;
pub mod store_server;

pub use instance_server::{InstanceChange, InstanceListServer};
pub use journal::{BoundedJournal, JournalPage};
pub use server::ServerHandle;
pub use store_server::StoreServer;
