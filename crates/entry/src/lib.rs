//! Entry process: routes requests from callers to backend servers.
//!
//! A request passes a chain of filters: trace, identity, readiness, body limit, deadline, customer
//! limit, overload limit, at-most-once and routing. A filter either responds or runs the rest of
//! the chain, so that every response passes back through the filters before it. The hot path uses
//! no actor mailbox and no call to the key-value service, unless the request must run at most once.

pub mod backend;
pub mod chain;
pub mod claims;
pub mod customer;
pub mod drain;
pub mod exchange;
pub mod filters;
pub mod metrics;
pub mod overload;
pub mod peer_handler;
pub mod policy;
pub mod process;
pub mod routing;
pub mod server;
pub mod settings;

pub use process::{EntryHandle, EntryProcess, StartError};
pub use settings::EntrySettings;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex and ignores poisoning; the guarded values stay valid if a holder panics.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
