//! Jobs that this process is done with.
//!
//! A watch may deliver an old state of a record after the record is gone. Without a memory of what
//! is gone, such a job would be taken for a new one and run again.

use std::collections::{BTreeMap, VecDeque};

use lacewingrail_model::JobId;
use lacewingrail_model::store::Revision;

/// Jobs remembered; a watch lags by far fewer changes.
const MAX_TOMBSTONES: usize = 4_096;

/// Remembers the newest known revision of jobs that are gone.
#[derive(Debug, Default)]
pub struct TombstoneSet {
    revisions: BTreeMap<JobId, Revision>,
    order: VecDeque<JobId>,
}

impl TombstoneSet {
    /// Notes that a job is gone.
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

    /// Returns whether a state of a record is from before its job was gone.
    pub fn covers(&self, job: &JobId, revision: Revision) -> bool {
        self.revisions.get(job).is_some_and(|known| revision <= *known)
    }
}
