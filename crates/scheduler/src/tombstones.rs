//! Tombstones of jobs that this process has removed.
//!
//! A watch can deliver an old state of a record after the record was deleted. Without a tombstone,
//! such a job would be treated as new and run again.

use std::collections::{BTreeMap, VecDeque};

use lacewingrail_model::JobId;
use lacewingrail_model::store::Revision;

/// Maximum tombstones; a watch lags behind by far fewer changes.
const MAX_TOMBSTONES: usize = 4_096;

/// Newest known revisions of removed jobs.
#[derive(Debug, Default)]
pub struct TombstoneSet {
    revisions: BTreeMap<JobId, Revision>,
    order: VecDeque<JobId>,
}

impl TombstoneSet {
    /// Records a removed job; the oldest tombstone is dropped if there are too many.
    pub fn insert(&mut self, job: JobId, revision: Revision) {
        if self.revisions.insert(job.clone(), revision).is_none() {
            self.order.push_back(job);
        }
        if self.order.len() > MAX_TOMBSTONES
            && let Some(oldest) = self.order.pop_front()
        {
            self.revisions.remove(&oldest);
        }
    }

    /// Returns whether a revision of a job's record is from before the job was removed.
    pub fn covers(&self, job: &JobId, revision: Revision) -> bool {
        self.revisions.get(job).is_some_and(|known| revision <= *known)
    }
}
