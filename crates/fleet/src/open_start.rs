//! Start orders that may still be carried out.
//!
//! A worker may carry out an order seconds after it was sent, without any answer. Its present
//! incarnation refuses such an order once it has received a newer call, by the
//! [fencing token](crate::fencing), and it refuses a run that was stopped there. Both hold for that
//! incarnation only: the next one knows nothing of it and carries the order out. So neither the
//! confirmation of a stop nor a report proves that an order is gone.
//!
//! A start order is *open* from its sending until it is answered, until a report shows that it was
//! carried out, or until it is too old to be carried out. Meanwhile its task is given to no other
//! worker and gets no other run. The same run may be ordered again on the same worker, any number of
//! times: one incarnation holds it once, and another one can hold it only after the former is gone.
//! So whichever of these orders is carried out, the task runs once.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lacewingrail_model::WorkerId;

use crate::recovery::{PREVIOUS_LEASE_FACTOR, ReportState};
use crate::spec::{RunNumber, StepKey, TaskKey};
use crate::worker::{REFUSAL_BACKOFF, WorkerEntry};

/// Maximum number of times that a run is ordered while one of its orders is open. After that, its
/// task is likely better off elsewhere, once that is safe.
const MAX_ORDERS: u32 = 4;

/// Open start orders of one task, all for the same run on the same worker.
#[derive(Clone, Debug)]
struct OpenStart {
    worker: WorkerId,
    run: RunNumber,
    /// Incarnation of the worker by whose clock the first order states the end of its lease.
    incarnation: u64,
    /// Number of orders that were sent.
    orders: u32,
    /// When the newest order was sent, while its answer is awaited.
    awaited: Option<Duration>,
    /// When the run may be ordered again.
    next_order_at: Duration,
    /// When the answer to the last order was given up; `None` before the first.
    given_up_at: Option<Duration>,
    /// When the last order without an answer, or renewal of a lease that one may meet, is too old to
    /// be carried out; `None` before the first.
    expires_at: Option<Duration>,
    /// Whether one of the orders has no answer and its worker may still carry it out.
    is_unclear: bool,
}

/// All start orders that may still be carried out, by task.
#[derive(Clone, Debug)]
pub struct OpenStarts {
    /// Time after its sending within which an order is carried out, if at all.
    max_order_delay: Duration,
    /// Longest time for which a run lasts that no scheduler renews.
    max_lease: Duration,
    entries: BTreeMap<TaskKey, OpenStart>,
}

impl OpenStarts {
    /// Creates the state of a scheduler that has sent nothing.
    pub fn new(max_order_delay: Duration, lease: Duration) -> Self {
        let max_lease = lease.mul_f64(PREVIOUS_LEASE_FACTOR);
        Self { max_order_delay, max_lease, entries: BTreeMap::new() }
    }

    /// Records that a start is sent now. The task has no open start of another run.
    pub fn record_sent(
        &mut self,
        task: TaskKey,
        run: RunNumber,
        worker: &WorkerEntry,
        now: Duration,
    ) {
        let entry = self.entries.entry(task).or_insert_with(|| OpenStart {
            worker: worker.listing.id.clone(),
            run,
            incarnation: worker.incarnation,
            next_order_at: now,
            given_up_at: None,
            orders: 0,
            awaited: None,
            expires_at: None,
            is_unclear: false,
        });
        entry.orders += 1;
        entry.awaited = Some(now);
    }

    /// Records the answer to the newest order of a run, or that none came.
    pub fn record_answer(
        &mut self,
        task: TaskKey,
        run: RunNumber,
        is_answered: bool,
        now: Duration,
    ) {
        let Some(entry) = self.entries.get_mut(&task).filter(|entry| entry.run == run) else {
            return;
        };
        let Some(sent) = entry.awaited.take() else {
            return;
        };
        if !is_answered {
            entry.expires_at = entry.expires_at.max(Some(sent + self.max_order_delay));
            entry.given_up_at = Some(now);
            entry.is_unclear = true;
        } else if entry.expires_at.is_none() {
            self.entries.remove(&task);
        } else {
            entry.next_order_at = now + REFUSAL_BACKOFF;
        }
    }

    /// Records that a report names a run. If it was ordered once, that order was carried out.
    pub fn record_reported(&mut self, task: TaskKey, run: RunNumber) {
        if self.entries.get(&task).is_some_and(|entry| entry.run == run && entry.orders == 1) {
            self.entries.remove(&task);
        }
    }

    /// Records that a worker has left a renewal with a lease unanswered. It may keep alive what an
    /// open start has begun, and as late as such an order.
    pub fn record_lost_renewal(&mut self, worker: &str, now: Duration) {
        let expires_at = now + self.max_order_delay;
        let on_worker = |entry: &&mut OpenStart| entry.worker == worker;
        for entry in self.entries.values_mut().filter(on_worker) {
            entry.expires_at = entry.expires_at.map(|at| at.max(expires_at));
        }
    }

    /// Closes the orders that are too old to be carried out, once their worker has told all that it
    /// runs and has ended since then, or the lease of what they may have started has expired.
    pub fn close_expired(&mut self, workers: &BTreeMap<WorkerId, WorkerEntry>, now: Duration) {
        let max_lease = self.max_lease;
        self.entries.retain(|_, entry| {
            let Some(expires_at) = entry.expires_at else {
                return true;
            };
            let worker = workers.get(&entry.worker);
            let state = worker.map_or(ReportState::Awaited, |worker| worker.report);
            let has_reported = worker.is_some_and(|worker| worker.has_reported_since(expires_at));
            entry.is_unclear = now <= expires_at || !has_reported;
            let is_closed = match state {
                ReportState::Complete if has_reported => now > expires_at,
                ReportState::Partial if has_reported => false,
                _ => now > expires_at + max_lease,
            };
            !is_closed || entry.awaited.is_some()
        });
    }

    /// Returns whether a task has an open start, so that it may get no other run.
    pub fn is_open(&self, task: TaskKey) -> bool {
        self.entries.contains_key(&task)
    }

    /// Returns whether an open start of a task is for a run on a worker.
    pub fn is_open_for(&self, task: TaskKey, worker: &str, run: RunNumber) -> bool {
        self.entries.get(&task).is_some_and(|entry| entry.worker == worker && entry.run == run)
    }

    /// Returns when the run of an open start may be ordered again, or `None` if it may not: one of its
    /// orders is awaited, or they are too many.
    pub fn next_order_at(&self, task: TaskKey, worker: &str, run: RunNumber) -> Option<Duration> {
        let entry = self.entries.get(&task)?;
        let may_repeat = entry.worker == worker
            && entry.run == run
            && entry.awaited.is_none()
            && entry.orders < MAX_ORDERS;
        may_repeat.then_some(entry.next_order_at)
    }

    /// Returns the number of tasks with a start without an answer that may still be carried out.
    pub fn unclear_count(&self) -> usize {
        self.unclear().count()
    }

    /// Returns the workers that may still carry out a start that they have left without an answer.
    pub fn unclear_workers(&self) -> BTreeSet<&WorkerId> {
        self.unclear().map(|(_, entry)| &entry.worker).collect()
    }

    /// Returns the workers whose report closes a start that is too old to be carried out.
    pub fn awaited_workers(&self, now: Duration) -> BTreeSet<WorkerId> {
        let is_old = |entry: &&OpenStart| entry.expires_at.is_some_and(|at| now > at);
        let old = self.unclear().map(|(_, entry)| entry).filter(is_old);
        old.map(|entry| entry.worker.clone()).collect()
    }

    /// Returns whether a start without an answer may still extend the lease of a worker's present
    /// incarnation beyond what the scheduler counts. The order names a time on the clock of a former
    /// incarnation, and the present one has not received a newer call since.
    pub fn may_extend_lease(&self, worker: &WorkerEntry) -> bool {
        let mut unclear = self.unclear().filter(|(_, entry)| entry.worker == worker.listing.id);
        unclear.any(|(_, entry)| {
            let has_reported = entry.given_up_at.is_some_and(|at| worker.has_reported_since(at));
            entry.incarnation < worker.incarnation && !has_reported
        })
    }

    /// Returns the steps of the tasks that these starts are for.
    pub fn unclear_steps(&self) -> BTreeSet<StepKey> {
        self.unclear().map(|(task, _)| task.step_key()).collect()
    }

    fn unclear(&self) -> impl Iterator<Item = (&TaskKey, &OpenStart)> {
        self.entries.iter().filter(|(_, entry)| entry.is_unclear)
    }
}
