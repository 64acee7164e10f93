//! Clients of the platform: key-value service, workers and instance list.
//!
//! The HTTP clients distinguish calls that certainly had no effect from calls whose answer was
//! lost, because every caller has to treat the two differently. [`update()`] builds a
//! read-modify-write cycle on that distinction: it stores a write id in the record, so that a lost
//! answer can be resolved by reading the record again. [`MemoryStore`] serves tests and the
//! key-value stand-in.

pub mod calls;
pub mod http;
pub mod http_instances;
pub mod http_store;
pub mod http_worker;
pub mod memory_store;
pub mod protocol;
pub mod update;

pub use calls::{CallCounter, CallCounts, CallKind};
pub use http_instances::HttpInstanceList;
pub use http_store::HttpStore;
pub use http_worker::HttpWorkerClient;
pub use memory_store::MemoryStore;
pub use memory_store::faults::StoreFaults;
pub use memory_store::meter::{KindStats, StoreStats};
pub use update::{UpdateError, WriteIdRecord, WrittenRecord, read, update, update_leased};
