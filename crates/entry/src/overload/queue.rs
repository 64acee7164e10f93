//! Admission and order of waiting requests, without locks or input and output.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::exchange::RequestClass;
use crate::overload::LimiterStatus;
use crate::overload::gradient::GradientLimit;

/// Requests of one service that may wait; bounds memory.
const MAX_WAITING: usize = 4096;
/// One of this many grants may go to a request of a lower class whose deadline is near, so that slow
/// work ends by its own deadline and still takes little from the classes above it.
const PROMOTION_EVERY: u32 = 8;
/// Multiple of the time that most requests need at which a waiting request counts as near its
/// deadline.
const NEAR_DEADLINE: u32 = 3;
/// Factor on the expected wait, because the estimate follows changes with a delay.
const WAIT_MARGIN: f64 = 1.2;
/// Waiting requests of a lower class that are examined for promotion, which bounds the time.
const PROMOTION_SCAN: usize = 16;

/// Describes a request that asks for a place.
#[derive(Debug)]
pub struct QueueTicket<S> {
    /// Class.
    pub class: RequestClass,
    /// Time at which the caller gives up.
    pub deadline: Instant,
    /// Channel through which the place is handed over.
    pub sender: S,
}

/// States how a request was admitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The request has a place.
    Granted,
    /// The request waits.
    Queued,
}

/// States why a request was not admitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmitError {
    /// The request would end after its deadline.
    TooLate {
        /// Expected wait.
        wait: Duration,
        /// Time by which the expected end passes the deadline.
        excess: Duration,
    },
    /// Too many requests of the same or a higher class wait.
    QueueFull,
}

/// Holds the places and the waiting requests of one service.
#[derive(Debug)]
pub struct LimiterState<S> {
    gradient: GradientLimit,
    in_flight: u32,
    waiting: [VecDeque<QueueTicket<S>>; 3],
    grants: u32,
}

impl<S> LimiterState<S> {
    /// Creates an empty state.
    pub fn new(now: Instant) -> Self {
        Self {
            gradient: GradientLimit::new(now),
            in_flight: 0,
            waiting: Default::default(),
            grants: 0,
        }
    }

    /// Sets the upper bound of the limit.
    pub fn set_capacity(&mut self, slots: u32) {
        self.gradient.set_capacity(slots);
    }

    /// Notes that a backend server refused work for lack of capacity.
    pub fn note_refused(&mut self) {
        self.gradient.note_refused();
    }

    /// Returns the average time in which backend servers answer.
    pub fn service_time(&self) -> Duration {
        self.gradient.service_time()
    }

    /// Returns whether requests wait for a place.
    pub fn is_saturated(&self) -> bool {
        self.waiting_count() > 0
    }

    /// Returns the current state.
    pub fn status(&self) -> LimiterStatus {
        LimiterStatus {
            in_flight: self.in_flight,
            limit: self.gradient.limit(),
            waiting: self.waiting_count(),
        }
    }

    /// Grants a place, queues the request or refuses it.
    pub fn admit(&mut self, ticket: QueueTicket<S>, now: Instant) -> Result<Admission, AdmitError> {
        let class = ticket.class as usize;
        let ahead: usize = self.waiting[..=class].iter().map(VecDeque::len).sum();
        if ahead == 0 && self.in_flight < self.gradient.limit() {
            self.in_flight += 1;
            return Ok(Admission::Granted);
        }
        let wait = self.expected_wait(ahead);
        let need = wait + self.gradient.service_time_high();
        let remaining = ticket.deadline.saturating_duration_since(now);
        if need > remaining {
            return Err(AdmitError::TooLate { wait, excess: need - remaining });
        }
        if self.waiting_count() >= MAX_WAITING && !self.evict_below(ticket.class) {
            return Err(AdmitError::QueueFull);
        }
        self.waiting[class].push_back(ticket);
        Ok(Admission::Queued)
    }

    /// Frees a place; `sample` is the time of an answered request.
    pub fn release(&mut self, sample: Option<Duration>, now: Instant) {
        if let Some(latency) = sample {
            self.gradient.observe(latency, self.in_flight, now);
        }
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Takes the waiting requests that now get a place.
    pub fn grant(&mut self, now: Instant) -> Vec<S> {
        let mut granted = Vec::new();
        while self.in_flight < self.gradient.limit() {
            let Some(ticket) = self.take_next(now) else {
                break;
            };
            // A request that will hardly end in time is dropped, which refuses it.
            if now + self.gradient.service_time_high() <= ticket.deadline {
                self.in_flight += 1;
                self.grants = self.grants.wrapping_add(1);
                granted.push(ticket.sender);
            }
        }
        granted
    }

    fn waiting_count(&self) -> usize {
        self.waiting.iter().map(VecDeque::len).sum()
    }

    /// Estimates the wait behind a number of requests by Little's law.
    fn expected_wait(&self, ahead: usize) -> Duration {
        let limit = f64::from(self.gradient.limit().max(1));
        let rounds = (ahead + 1) as f64 / limit;
        self.gradient.service_time().mul_f64(rounds * WAIT_MARGIN)
    }

    fn take_next(&mut self, now: Instant) -> Option<QueueTicket<S>> {
        if self.grants % PROMOTION_EVERY == PROMOTION_EVERY - 1
            && let Some(ticket) = self.take_promoted(now)
        {
            return Some(ticket);
        }
        self.waiting.iter_mut().find_map(VecDeque::pop_front)
    }

    /// Takes the request of a lower class with the earliest deadline if that is near.
    fn take_promoted(&mut self, now: Instant) -> Option<QueueTicket<S>> {
        let near = now + self.gradient.service_time_high() * NEAR_DEADLINE;
        let (class, index) = self.waiting[1..]
            .iter()
            .enumerate()
            .flat_map(|(class, tickets)| {
                let scanned = tickets.iter().take(PROMOTION_SCAN).enumerate();
                scanned.map(move |(index, ticket)| (ticket.deadline, class + 1, index))
            })
            .filter(|(deadline, _, _)| *deadline <= near)
            .min()
            .map(|(_, class, index)| (class, index))?;
        self.waiting[class].remove(index)
    }

    /// Drops the newest waiting request of the lowest class below `class`.
    fn evict_below(&mut self, class: RequestClass) -> bool {
        self.waiting[class as usize + 1..]
            .iter_mut()
            .rev()
            .any(|tickets| tickets.pop_back().is_some())
    }
}
