//! Bounded journal of what a stand-in did, for tests to compare with the answers that clients got.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

/// Keeps the newest entries and counts those it dropped.
#[derive(Clone, Debug)]
pub struct BoundedJournal<T> {
    entries: VecDeque<T>,
    capacity: usize,
    dropped: u64,
}

/// Copy of the contents of a journal.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JournalPage<T> {
    /// Entries, oldest first.
    pub entries: Vec<T>,
    /// Older entries that were dropped; an assertion over all entries requires it to be 0.
    pub dropped: u64,
}

impl<T> BoundedJournal<T> {
    /// Creates an empty journal that keeps up to `capacity` entries.
    pub fn new(capacity: usize) -> Self {
        Self { entries: VecDeque::new(), capacity, dropped: 0 }
    }

    /// Appends an entry and drops the oldest one of a full journal.
    pub fn push(&mut self, entry: T) {
        if self.entries.len() >= self.capacity {
            self.entries.pop_front();
            self.dropped += 1;
        }
        self.entries.push_back(entry);
    }

    /// Returns the number of old entries that were dropped to make room.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Returns the entries, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.entries.iter()
    }

    /// Returns a copy of the entries and the count of dropped ones.
    pub fn page(&self) -> JournalPage<T>
    where
        T: Clone,
    {
        JournalPage { entries: self.entries.iter().cloned().collect(), dropped: self.dropped }
    }
}
