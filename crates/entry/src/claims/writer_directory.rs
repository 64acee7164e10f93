//! Selection of the entry process that writes a shard of claims.
//!
//! With a single writer, changes of a shard share writes, and no write fails on a conflict. The
//! selection is only an optimisation: processes may disagree on it, because compare-and-swap
//! resolves conflicts.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError, RwLock};
use std::time::Duration;

use lacewingrail_model::hash::select_rendezvous;
use lacewingrail_model::instance::{InstanceEntry, InstanceRole};
use tokio::time::Instant;

use crate::lock;

/// Time for which a process that did not respond is not selected as a writer.
const UNRESPONSIVE_BACKOFF: Duration = Duration::from_secs(2);

/// Selects the writer of each shard among the listed entry processes.
#[derive(Debug)]
pub struct WriterDirectory {
    own_address: String,
    others: RwLock<Vec<String>>,
    unresponsive: Mutex<HashMap<String, Instant>>,
}

impl WriterDirectory {
    /// Creates a directory of this process only, identified by its peer address.
    pub fn new(own_address: String) -> Self {
        Self { own_address, others: RwLock::default(), unresponsive: Mutex::default() }
    }

    /// Replaces the other entry processes by those of a newer instance list, except leaving ones.
    pub fn update(&self, entries: &[InstanceEntry]) {
        let is_other = |entry: &&InstanceEntry| {
            let other_address =
                !entry.peer_address.is_empty() && entry.peer_address != self.own_address;
            entry.role == InstanceRole::Entry && !entry.leaving && other_address
        };
        let next: Vec<String> =
            entries.iter().filter(is_other).map(|entry| entry.peer_address.clone()).collect();
        lock(&self.unresponsive).retain(|_, since| since.elapsed() < UNRESPONSIVE_BACKOFF);
        *self.others.write().unwrap_or_else(PoisonError::into_inner) = next;
    }

    /// Returns the peer address of the process that writes a shard; `None` if it is this process.
    pub fn remote_writer(&self, service: &str, shard: u64) -> Option<String> {
        let others = self.others.read().unwrap_or_else(PoisonError::into_inner);
        let unresponsive = lock(&self.unresponsive);
        let responsive = |address: &&str| {
            unresponsive.get(*address).is_none_or(|since| since.elapsed() >= UNRESPONSIVE_BACKOFF)
        };
        let candidates = others.iter().map(String::as_str).filter(responsive);
        let candidates = candidates.chain(std::iter::once(self.own_address.as_str()));
        let writer = select_rendezvous(&format!("{service}/{shard}"), candidates)?;
        (writer != self.own_address).then(|| writer.to_owned())
    }

    /// Excludes a process that did not respond from the selection for
    /// `UNRESPONSIVE_BACKOFF`.
    pub fn mark_unresponsive(&self, address: &str) {
        lock(&self.unresponsive).insert(address.to_owned(), Instant::now());
    }
}
