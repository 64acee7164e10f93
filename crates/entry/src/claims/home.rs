//! Which entry process writes a shard of claims.
//!
//! With one writer a shard's changes share their writes, and no write loses a race. The choice is an
//! optimisation only: processes may disagree on it, because compare-and-swap decides.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError, RwLock};
use std::time::Duration;

use lacewingrail_model::hash::select_rendezvous;
use lacewingrail_model::instance::{InstanceEntry, InstanceRole};
use tokio::time::Instant;

use crate::lock;

/// Time for which a process that did not answer writes no shards for this one.
const SUSPECT_TIME: Duration = Duration::from_secs(2);

/// Knows the entry processes that may write shards.
#[derive(Debug)]
pub struct HomeDirectory {
    own: String,
    others: RwLock<Vec<String>>,
    suspects: Mutex<HashMap<String, Instant>>,
}

impl HomeDirectory {
    /// Creates a directory that knows only the own process by its address for peers.
    pub fn new(own: String) -> Self {
        Self { own, others: RwLock::default(), suspects: Mutex::default() }
    }

    /// Takes over the entry processes of the instance list.
    pub fn update(&self, entries: &[InstanceEntry]) {
        let is_other = |entry: &&InstanceEntry| {
            let known = !entry.peer_address.is_empty() && entry.peer_address != self.own;
            entry.role == InstanceRole::Entry && !entry.leaving && known
        };
        let next: Vec<String> =
            entries.iter().filter(is_other).map(|entry| entry.peer_address.clone()).collect();
        lock(&self.suspects).retain(|_, since| since.elapsed() < SUSPECT_TIME);
        *self.others.write().unwrap_or_else(PoisonError::into_inner) = next;
    }

    /// Returns the address of the process that writes a shard; nothing when it is the own one.
    pub fn home(&self, service: &str, shard: u64) -> Option<String> {
        let others = self.others.read().unwrap_or_else(PoisonError::into_inner);
        let suspects = lock(&self.suspects);
        let trusted = |address: &&str| {
            suspects.get(*address).is_none_or(|since| since.elapsed() >= SUSPECT_TIME)
        };
        let candidates = others.iter().map(String::as_str).filter(trusted);
        let candidates = candidates.chain(std::iter::once(self.own.as_str()));
        let home = select_rendezvous(&format!("{service}/{shard}"), candidates)?;
        (home != self.own).then(|| home.to_owned())
    }

    /// Notes that a process did not answer.
    pub fn suspect(&self, address: &str) {
        lock(&self.suspects).insert(address.to_owned(), Instant::now());
    }
}
