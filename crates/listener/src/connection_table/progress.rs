//! What the client of a connection has completed, and since when it has not.

use std::time::Duration;

use tokio::time::Instant;

use crate::limits::{ANSWER_TIMEOUT, HEAD_TIMEOUT, IDLE_TIMEOUT, ListenerLimits};
use crate::refusal::RefusalReason;

/// Time for which a client may leave an answer unread before its connection counts as unfinished.
const UNREAD_GRACE: Duration = Duration::from_secs(1);

/// Order in which connections are closed to accept others; the lowest goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum EvictionRank {
    /// The client has not completed its request, or not read its answer, since this time.
    Unfinished(Instant),
    /// The client has been idle after an answer since this time.
    Idle(Instant),
}

/// Progress of one connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionProgress {
    /// Time of the first byte of a head that is not complete.
    head_since: Option<Instant>,
    /// Number of requests whose bodies are not complete.
    receiving: u32,
    /// Time at which the first of these requests was begun.
    receiving_since: Instant,
    /// Number of whole requests that are not answered.
    serving: u32,
    /// Whether a whole request was answered.
    is_answered: bool,
    /// Time since which no request has been in progress.
    idle_since: Instant,
    /// Time since which a write has waited for the client.
    unread_since: Option<Instant>,
    /// Whether the connection carries several requests at a time.
    is_multiplexed: bool,
}

impl ConnectionProgress {
    /// Creates the progress of a connection that was accepted now.
    pub fn new(now: Instant) -> Self {
        Self {
            head_since: None,
            receiving: 0,
            receiving_since: now,
            serving: 0,
            is_answered: false,
            idle_since: now,
            unread_since: None,
            is_multiplexed: false,
        }
    }

    /// Returns the rank of the connection; `None` while a whole request is served.
    pub fn eviction_rank(&self, now: Instant) -> Option<EvictionRank> {
        let is_unread = |since: &Instant| now.saturating_duration_since(*since) >= UNREAD_GRACE;
        if let Some(since) = self.unread_since.filter(is_unread) {
            return Some(EvictionRank::Unfinished(since));
        }
        if self.serving > 0 {
            return None;
        }
        if self.receiving > 0 {
            return Some(EvictionRank::Unfinished(self.receiving_since));
        }
        Some(match self.head_since {
            Some(since) => EvictionRank::Unfinished(since),
            None if self.is_answered => EvictionRank::Idle(self.idle_since),
            None => EvictionRank::Unfinished(self.idle_since),
        })
    }

    /// Returns which time limit the client exceeds, if any; bodies are timed with their memory.
    pub fn overdue(&self, now: Instant, limits: &ListenerLimits) -> Option<RefusalReason> {
        let exceeds =
            |since: Instant, limit: Duration| now.saturating_duration_since(since) > limit;
        if self.unread_since.is_some_and(|since| exceeds(since, ANSWER_TIMEOUT)) {
            return Some(RefusalReason::AnswerTimeout);
        }
        if self.receiving > 0 || self.serving > 0 {
            return None;
        }
        if let Some(since) = self.head_since {
            return exceeds(since, HEAD_TIMEOUT).then_some(RefusalReason::HeadTimeout);
        }
        // Only a client that has had an answer may need a longer time.
        let limit = if self.is_answered { limits.idle_timeout } else { Some(IDLE_TIMEOUT) };
        let is_overdue = limit.is_some_and(|limit| exceeds(self.idle_since, limit));
        is_overdue.then_some(RefusalReason::IdleTimeout)
    }

    /// Records that bytes were received.
    pub fn record_read(&mut self, now: Instant) {
        let is_head = !self.is_multiplexed && self.receiving == 0 && self.serving == 0;
        if is_head && self.head_since.is_none() {
            self.head_since = Some(now);
        }
    }

    /// Records whether a write waits for the client.
    pub fn record_write(&mut self, is_blocked: bool, now: Instant) {
        self.unread_since = is_blocked.then_some(self.unread_since.unwrap_or(now));
    }

    /// Records that the connection carries several requests at a time.
    pub fn set_multiplexed(&mut self) {
        self.is_multiplexed = true;
        self.head_since = None;
    }

    /// Begins a request, whose head is complete and whose body is not.
    pub fn begin_request(&mut self, now: Instant) {
        // The time of the head counts: a client gets no new time for each part of a request.
        let since = self.head_since.take().unwrap_or(now);
        if self.receiving == 0 {
            self.receiving_since = since;
        }
        self.receiving += 1;
    }

    /// Records that the body of a request is complete.
    pub fn complete_request(&mut self) {
        self.receiving -= 1;
        self.serving += 1;
    }

    /// Records the end of a request, complete or not.
    pub fn end_request(&mut self, is_complete: bool, now: Instant) {
        match is_complete {
            true => self.serving -= 1,
            false => self.receiving -= 1,
        }
        self.is_answered |= is_complete;
        self.idle_since = now;
    }
}
