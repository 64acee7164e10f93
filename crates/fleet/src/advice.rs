//! Answers of a queue's adviser about which workers may run a step.
//!
//! The placement policy of some queues is known only to an external adviser. The adviser is slow
//! and answers one request at a time, so a request names as many workers as the step may soon need,
//! the best first, and further requests follow only if these do not suffice. Whether a worker may
//! run a step never changes, but the ticket that proves it expires and holds for one incarnation of
//! the worker.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lacewingrail_model::WorkerId;

/// Opaque proof that a step may run on a worker.
pub type TicketName = String;

/// Maximum number of workers that one request names.
pub const MAX_REQUEST_WORKERS: usize = 30;
/// Maximum number of requests in flight for all steps together; the adviser would queue further
/// ones.
pub const MAX_REQUESTS_IN_FLIGHT: usize = 3;
/// Time before its expiry from which a ticket is not used any more; covers an order in flight and
/// its retry.
const TICKET_EXPIRY_MARGIN: Duration = Duration::from_millis(300);
/// Minimum time between two requests for one step, so that a step that gets no useful answer does
/// not fill the adviser's queue.
const REQUEST_INTERVAL: Duration = Duration::from_millis(300);

/// Response times of a queue's adviser and validity of its tickets.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AdvicePolicy {
    /// Time that every answer takes.
    pub decision_time: Duration,
    /// Additional time that an answer takes for each worker named.
    pub time_per_worker: Duration,
    /// Time for which a ticket is valid after its answer was received.
    pub validity: Duration,
}

impl AdvicePolicy {
    /// Returns the time that the answer to a request about a number of workers takes.
    pub fn answer_time(&self, workers: usize) -> Duration {
        self.decision_time + self.time_per_worker * u32::try_from(workers).unwrap_or(u32::MAX)
    }
}

/// Permission for a step to run on one worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerTicket {
    /// Worker that the ticket is for.
    pub worker: WorkerId,
    /// Ticket that a start order must carry.
    pub name: TicketName,
}

/// Worker that a request may name, in one incarnation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdviceCandidate {
    /// Worker that the step might run on.
    pub worker: WorkerId,
    /// Incarnation of the worker, see
    /// [`WorkerListing::incarnation`](crate::event::WorkerListing::incarnation).
    pub incarnation: u64,
}

/// Newest answer of the adviser about one worker.
#[derive(Clone, Debug, Eq, PartialEq)]
struct WorkerAdvice {
    /// Ticket for the worker, or `None` if the step may not run there.
    ticket: Option<TicketName>,
    /// When the ticket expires, on the scheduler's clock.
    valid_until: Duration,
    /// Incarnation of the worker that the ticket is valid for.
    incarnation: u64,
}

/// Newest answers of the adviser about one step, and the state of its requests.
#[derive(Clone, Debug, Default)]
pub struct StepAdvice {
    /// Answer about each worker that the adviser was asked about.
    answers: BTreeMap<WorkerId, WorkerAdvice>,
    /// Whether a request was sent and not yet answered.
    request_in_flight: bool,
    /// When the newest request was sent, or `None` before the first.
    requested_at: Option<Duration>,
}

impl StepAdvice {
    /// Returns a valid ticket for a start on an incarnation of a worker, if there is one.
    pub fn ticket(&self, worker: &str, incarnation: u64, now: Duration) -> Option<&TicketName> {
        let advice = self.answers.get(worker)?;
        let valid =
            advice.incarnation == incarnation && now + TICKET_EXPIRY_MARGIN < advice.valid_until;
        advice.ticket.as_ref().filter(|_| valid)
    }

    /// Returns the candidates on which the step may start now.
    pub fn permitted_workers(
        &self,
        candidates: &[AdviceCandidate],
        now: Duration,
    ) -> BTreeSet<WorkerId> {
        let permitted = candidates.iter().filter(|candidate| {
            self.ticket(&candidate.worker, candidate.incarnation, now).is_some()
        });
        permitted.map(|candidate| candidate.worker.clone()).collect()
    }

    /// Begins a request and returns the workers to name in it: first those whose tickets have
    /// expired, then those that the adviser was not asked about.
    ///
    /// Returns no workers while an answer is awaited, shortly after the previous request, and when
    /// the answers about all candidates are known and valid.
    pub fn begin_request(
        &mut self,
        candidates: &[AdviceCandidate],
        now: Duration,
    ) -> Vec<AdviceCandidate> {
        let too_soon =
            self.requested_at.is_some_and(|requested_at| now < requested_at + REQUEST_INTERVAL);
        if self.request_in_flight || too_soon {
            return Vec::new();
        }
        let expired = |candidate: &&AdviceCandidate| {
            let answer = self.answers.get(&candidate.worker);
            answer.is_some_and(|advice| advice.ticket.is_some())
                && self.ticket(&candidate.worker, candidate.incarnation, now).is_none()
        };
        let unknown = |candidate: &&AdviceCandidate| !self.answers.contains_key(&candidate.worker);
        let chosen = candidates.iter().filter(expired).chain(candidates.iter().filter(unknown));
        let workers: Vec<AdviceCandidate> = chosen.take(MAX_REQUEST_WORKERS).cloned().collect();
        if !workers.is_empty() {
            self.request_in_flight = true;
            self.requested_at = Some(now);
        }
        workers
    }

    /// Records the answer to a request about the workers in `asked`, with the time until which its
    /// tickets are valid. `allowed` is `None` if no answer came.
    pub fn record_answer(
        &mut self,
        asked: &[AdviceCandidate],
        allowed: Option<&[WorkerTicket]>,
        valid_until: Duration,
    ) {
        self.request_in_flight = false;
        let Some(allowed) = allowed else {
            return;
        };
        for candidate in asked {
            let ticket = allowed.iter().find(|ticket| ticket.worker == candidate.worker);
            let advice = WorkerAdvice {
                ticket: ticket.map(|ticket| ticket.name.clone()),
                valid_until,
                incarnation: candidate.incarnation,
            };
            self.answers.insert(candidate.worker.clone(), advice);
        }
    }

    /// Removes the answer about a worker, so that the adviser is asked about it again.
    pub fn remove(&mut self, worker: &str) {
        self.answers.remove(worker);
    }
}
