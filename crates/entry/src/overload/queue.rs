//! Admission and priority queue of one service, without locks or I/O.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::exchange::RequestClass;
use crate::overload::LimiterStatus;
use crate::overload::gradient::GradientLimit;

/// Maximum queued requests of one service; bounds memory.
const MAX_WAITING_REQUESTS: usize = 4096;
/// One in this many grants may go to a request of a lower class whose deadline is near, so that
/// slow requests meet their deadlines at little cost to higher classes.
const GRANTS_PER_PROMOTION: u32 = 8;
/// Multiple of the service time bound; a waiting request with less time left is near its deadline.
const NEAR_DEADLINE_FACTOR: u32 = 3;
/// Factor on the expected wait, because the smoothed service time lags behind changes.
const WAIT_SAFETY_FACTOR: f64 = 1.2;
/// Maximum requests of each lower class that are scanned for promotion; bounds the time of a grant.
const MAX_PROMOTION_SCAN: usize = 16;

/// Request that asks for a permit or waits for one; `S` is the channel on which it is granted.
#[derive(Debug)]
pub struct QueuedRequest<S> {
    /// Class that determines the order in the queue.
    pub class: RequestClass,
    /// Time by which the caller needs the response.
    pub deadline: Instant,
    /// Channel that receives the permit; dropping it refuses the request.
    pub sender: S,
}

/// Result of a successful [`LimiterState::admit`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The request has a permit.
    Granted,
    /// The request waits for a permit.
    Queued,
}

/// Cause for which a request is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmitError {
    /// The request is expected to end after its deadline.
    TooLate {
        /// Expected wait for a permit.
        wait: Duration,
        /// Time by which the expected end exceeds the deadline.
        excess: Duration,
    },
    /// The queue is full of requests of the same or a higher class.
    QueueFull,
}

/// Concurrency limit, permits in use and queued requests of one service.
#[derive(Debug)]
pub struct LimiterState<S> {
    gradient: GradientLimit,
    in_flight: u32,
    waiting: [VecDeque<QueuedRequest<S>>; 3],
    grants: u32,
}

impl<S> LimiterState<S> {
    /// Creates a state with an empty queue and without capacity.
    pub fn new(now: Instant) -> Self {
        Self {
            gradient: GradientLimit::new(now),
            in_flight: 0,
            waiting: Default::default(),
            grants: 0,
        }
    }

    /// Sets the upper bound of the limit to the slots of the available backend servers.
    pub fn set_capacity(&mut self, slots: u32) {
        self.gradient.set_capacity(slots);
    }

    /// Records that a backend server refused a request for lack of capacity, which lowers the
    /// limit.
    pub fn record_refusal(&mut self) {
        self.gradient.record_refusal();
    }

    /// Returns the smoothed response time of the backend servers; zero before the first response.
    pub fn service_time(&self) -> Duration {
        self.gradient.service_time()
    }

    /// Returns whether requests are waiting for a permit.
    pub fn is_saturated(&self) -> bool {
        self.waiting_count() > 0
    }

    /// Returns the requests in flight, the limit and the queue length.
    pub fn status(&self) -> LimiterStatus {
        LimiterStatus {
            in_flight: self.in_flight,
            limit: self.gradient.limit(),
            waiting: self.waiting_count(),
        }
    }

    /// Grants a permit or queues the request.
    ///
    /// # Errors
    /// Refuses a request that is expected to miss its deadline, or that finds the queue full.
    pub fn admit(
        &mut self,
        request: QueuedRequest<S>,
        now: Instant,
    ) -> Result<Admission, AdmitError> {
        let class = request.class as usize;
        let ahead: usize = self.waiting[..=class].iter().map(VecDeque::len).sum();
        if ahead == 0 && self.in_flight < self.gradient.limit() {
            self.in_flight += 1;
            return Ok(Admission::Granted);
        }
        let wait = self.expected_wait(ahead);
        let expected_time = wait + self.gradient.service_time_bound();
        let remaining = request.deadline.saturating_duration_since(now);
        if expected_time > remaining {
            return Err(AdmitError::TooLate { wait, excess: expected_time - remaining });
        }
        if self.waiting_count() >= MAX_WAITING_REQUESTS && !self.evict_below(request.class) {
            return Err(AdmitError::QueueFull);
        }
        self.waiting[class].push_back(request);
        Ok(Admission::Queued)
    }

    /// Releases a permit; `latency` adapts the limit, and `None` leaves it unchanged.
    pub fn release(&mut self, latency: Option<Duration>, now: Instant) {
        if let Some(latency) = latency {
            self.gradient.record_latency(latency, self.in_flight, now);
        }
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Removes from the queue the requests that now get a permit, and returns their channels.
    pub fn grant(&mut self, now: Instant) -> Vec<S> {
        let mut granted = Vec::new();
        while self.in_flight < self.gradient.limit() {
            let Some(request) = self.pop_next(now) else {
                break;
            };
            // A request that is unlikely to end in time is dropped, which refuses it.
            if now + self.gradient.service_time_bound() <= request.deadline {
                self.in_flight += 1;
                self.grants = self.grants.wrapping_add(1);
                granted.push(request.sender);
            }
        }
        granted
    }

    fn waiting_count(&self) -> usize {
        self.waiting.iter().map(VecDeque::len).sum()
    }

    /// Estimates the wait behind `ahead` requests by Little's law.
    fn expected_wait(&self, ahead: usize) -> Duration {
        let limit = f64::from(self.gradient.limit().max(1));
        let rounds = (ahead + 1) as f64 / limit;
        self.gradient.service_time().mul_f64(rounds * WAIT_SAFETY_FACTOR)
    }

    /// Removes the next request: in order of class and arrival, except for promotions.
    fn pop_next(&mut self, now: Instant) -> Option<QueuedRequest<S>> {
        if self.grants % GRANTS_PER_PROMOTION == GRANTS_PER_PROMOTION - 1
            && let Some(request) = self.pop_near_deadline(now)
        {
            return Some(request);
        }
        self.waiting.iter_mut().find_map(VecDeque::pop_front)
    }

    /// Removes the request of a lower class with the earliest deadline if that deadline is near.
    fn pop_near_deadline(&mut self, now: Instant) -> Option<QueuedRequest<S>> {
        let near = now + self.gradient.service_time_bound() * NEAR_DEADLINE_FACTOR;
        let (class, index) = self.waiting[1..]
            .iter()
            .enumerate()
            .flat_map(|(class, requests)| {
                let scanned = requests.iter().take(MAX_PROMOTION_SCAN).enumerate();
                scanned.map(move |(index, request)| (request.deadline, class + 1, index))
            })
            .filter(|(deadline, _, _)| *deadline <= near)
            .min()
            .map(|(_, class, index)| (class, index))?;
        self.waiting[class].remove(index)
    }

    /// Drops the newest request of the lowest class below `class`; returns whether there was one.
    fn evict_below(&mut self, class: RequestClass) -> bool {
        self.waiting[class as usize + 1..]
            .iter_mut()
            .rev()
            .any(|requests| requests.pop_back().is_some())
    }
}
