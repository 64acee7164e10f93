//! The ends that one incarnation of a worker has reported, and how far they may be acknowledged.
//!
//! A worker numbers its ends from 1 in each incarnation and reports each until it is acknowledged.
//! An end takes effect once, and may be acknowledged once its job's progress is stored and no member
//! of its gang may be started late.

use std::collections::VecDeque;

use crate::spec::StepKey;

/// End that may not be acknowledged yet.
#[derive(Clone, Copy, Debug)]
pub struct PendingEnd {
    /// Number of the end within the worker's incarnation.
    pub number: u64,
    /// Step that the ended run belongs to.
    pub step: StepKey,
    /// Sequence number that the stored progress of its job must reach.
    pub sequence: u64,
}

/// Ends of one incarnation of a worker.
#[derive(Clone, Debug, Default)]
pub struct EndLog {
    /// Ends that may not be acknowledged yet, in the order of their receipt.
    pending: VecDeque<PendingEnd>,
    /// Highest number of an end that has taken effect.
    last_applied: u64,
    /// Highest number of an end that may be acknowledged.
    acknowledgeable: u64,
    /// Number of an end that the renewal in flight acknowledges; 0 for none.
    in_flight: u64,
    /// Highest number of an end whose acknowledgement the worker has confirmed.
    acknowledged: u64,
}

impl EndLog {
    /// Records the number of an end and returns whether it is new. Each end takes effect once.
    pub fn record(&mut self, number: u64) -> bool {
        let is_new = number > self.last_applied;
        self.last_applied = self.last_applied.max(number);
        is_new
    }

    /// Records an end that may not be acknowledged yet.
    pub fn add_pending(&mut self, end: PendingEnd) {
        self.pending.push_back(end);
    }

    /// Advances the acknowledgement past all ends up to the first one that may not be acknowledged.
    pub fn advance<F>(&mut self, may_acknowledge: F)
    where
        F: Fn(&PendingEnd) -> bool,
    {
        while let Some(end) = self.pending.front()
            && may_acknowledge(end)
        {
            self.acknowledgeable = self.acknowledgeable.max(end.number);
            self.pending.pop_front();
        }
    }

    /// Returns whether any end waits for its job's progress to be stored.
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns the number of the newest end that may be acknowledged, if its acknowledgement is not
    /// confirmed yet.
    pub fn due(&self) -> Option<u64> {
        (self.acknowledgeable > self.acknowledged).then_some(self.acknowledgeable)
    }

    /// Records that a renewal is sent that acknowledges ends up to a number; 0 for none.
    pub fn record_sent(&mut self, number: u64) {
        self.in_flight = number;
    }

    /// Records that the renewal in flight was answered by the incarnation that it was sent to.
    pub fn confirm_sent(&mut self) {
        self.acknowledged = self.acknowledged.max(self.in_flight);
    }
}
