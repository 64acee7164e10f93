//! Which workers a queue's policy lets run a step.
//!
//! Answers queues whose policy is known to an adviser only. The adviser is slow and takes one
//! question at a time, so a step asks about as many workers as it may soon need, best first, and about
//! more when these do not suffice. Whether a worker may run a step never changes; the ticket that
//! says so expires and belongs to one life of the worker.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lacewingrail_model::WorkerId;

/// Names a permission to run a step on a worker, opaque to the scheduler.
pub type TicketName = String;

/// Most workers that one question names.
pub const QUESTION_WORKERS: usize = 30;
/// Questions of all steps in flight at once; the adviser lets further ones wait.
pub const QUESTIONS: usize = 3;
/// Time before its end from which a ticket is not used: an order on its way and its retry.
const TICKET_MARGIN: Duration = Duration::from_millis(300);
/// Time between questions of one step, so that one that is never answered well does not fill the
/// adviser's queue.
const QUESTION_PAUSE: Duration = Duration::from_millis(300);

/// Describes the adviser of a queue.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AdvicePolicy {
    /// Time that an answer takes.
    pub decision_time: Duration,
    /// Time that an answer takes for each worker that is named.
    pub time_per_worker: Duration,
    /// Time for which a ticket is valid.
    pub validity: Duration,
}

impl AdvicePolicy {
    /// Returns the time that the answer to a question takes.
    pub fn answer_time(&self, workers: usize) -> Duration {
        self.decision_time + self.time_per_worker * u32::try_from(workers).unwrap_or(u32::MAX)
    }
}

/// Allows a worker to run a step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerTicket {
    /// Worker.
    pub worker: WorkerId,
    /// Ticket.
    pub name: TicketName,
}

/// Names a worker that a question may be about.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdviceCandidate {
    /// Worker.
    pub worker: WorkerId,
    /// Start of the worker's present life, in milliseconds since the Unix epoch.
    pub incarnation: u64,
}

/// Holds what is known of one worker.
#[derive(Clone, Debug, Eq, PartialEq)]
struct WorkerAdvice {
    /// Ticket; nothing if the worker may not run the step.
    ticket: Option<TicketName>,
    valid_until: Duration,
    incarnation: u64,
}

/// Holds the advice on one step.
#[derive(Clone, Debug, Default)]
pub struct StepAdvice {
    known: BTreeMap<WorkerId, WorkerAdvice>,
    in_flight: bool,
    asked: Option<Duration>,
}

impl StepAdvice {
    /// Returns the ticket for a start on one life of a worker.
    pub fn ticket(&self, worker: &str, incarnation: u64, now: Duration) -> Option<&TicketName> {
        let advice = self.known.get(worker)?;
        let valid = advice.incarnation == incarnation && now + TICKET_MARGIN < advice.valid_until;
        advice.ticket.as_ref().filter(|_| valid)
    }

    /// Returns the workers on which the step may start now.
    pub fn usable(&self, candidates: &[AdviceCandidate], now: Duration) -> BTreeSet<WorkerId> {
        let usable = candidates.iter().filter(|candidate| {
            self.ticket(&candidate.worker, candidate.incarnation, now).is_some()
        });
        usable.map(|candidate| candidate.worker.clone()).collect()
    }

    /// Begins a question: first about workers whose tickets ended, then about those not asked about.
    ///
    /// Returns nothing while an answer is awaited, shortly after a question, and when all is known.
    pub fn begin_question(
        &mut self,
        candidates: &[AdviceCandidate],
        now: Duration,
    ) -> Vec<AdviceCandidate> {
        let paused = self.asked.is_some_and(|asked| now < asked + QUESTION_PAUSE);
        if self.in_flight || paused {
            return Vec::new();
        }
        let lapsed = |candidate: &&AdviceCandidate| {
            let known = self.known.get(&candidate.worker);
            known.is_some_and(|advice| advice.ticket.is_some())
                && self.ticket(&candidate.worker, candidate.incarnation, now).is_none()
        };
        let unknown = |candidate: &&AdviceCandidate| !self.known.contains_key(&candidate.worker);
        let chosen = candidates.iter().filter(lapsed).chain(candidates.iter().filter(unknown));
        let workers: Vec<AdviceCandidate> = chosen.take(QUESTION_WORKERS).cloned().collect();
        if !workers.is_empty() {
            self.in_flight = true;
            self.asked = Some(now);
        }
        workers
    }

    /// Takes the answer to a question, with the time until which its tickets are valid; nothing if none
    /// came.
    pub fn end_question(
        &mut self,
        asked: &[AdviceCandidate],
        allowed: Option<&[WorkerTicket]>,
        valid_until: Duration,
    ) {
        self.in_flight = false;
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
            self.known.insert(candidate.worker.clone(), advice);
        }
    }

    /// Forgets the ticket of a worker that does not take it.
    pub fn forget(&mut self, worker: &str) {
        self.known.remove(worker);
    }
}
