//! Clients of the platform: key-value service, workers and instance list.
//!
//! The HTTP clients tell calls that surely did not take effect from calls whose answer was lost,
//! because every caller has to treat the two differently. [`update()`] builds the read-modify-write
//! cycle with marks on top of that, and [`MemoryStore`] serves tests and the key-value stand-in.

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
pub use update::{MarkedRecord, UpdateError, WrittenRecord, read, update, update_leased};
