//! What a new scheduler has not been told yet, and what waits until it has.
//!
//! A scheduler keeps in memory which runs are on the workers. Its successor reads jobs and progress
//! from the store before it plans, and hears of runs and ends from the workers that hold them. Until
//! a worker has reported, what it holds is unknown, which does not mean that it holds nothing. So a
//! task that no worker lists may still run, or may have ended, on a worker that is not known yet.
//! The store names the workers on which a job may have runs, and the job starts nothing until each
//! of these is known, or until everything that an earlier scheduler started has certainly ended.
//!
//! A worker with many ends reports the first of them until these are acknowledged. Such a report
//! proves which runs are in progress and which have ended, and nothing about the others.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lacewingrail_model::WorkerId;

use crate::event::LeaseReport;
use crate::worker::WorkerEntry;

/// Factor on the lease after which nothing that an earlier scheduler started still runs: allows for
/// the slowest clock and a renewal in flight.
pub(crate) const PREVIOUS_LEASE_FACTOR: f64 = 1.05;

/// What the listed incarnation of a worker has told this scheduler.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ReportState {
    /// Nothing, so any runs and ends may be there.
    #[default]
    Awaited,
    /// All runs in progress, but only the first of the ends that were not acknowledged.
    Partial,
    /// All runs in progress, and all ends that were not acknowledged.
    Complete,
}

impl ReportState {
    /// Returns what is known of a worker after a report, if the list names this incarnation of it.
    pub fn after(report: &LeaseReport, listed_incarnation: u64) -> Self {
        if report.incarnation < listed_incarnation {
            Self::Awaited
        } else if report.ends_omitted {
            Self::Partial
        } else {
            Self::Complete
        }
    }
}

/// Knowledge of a scheduler about what earlier schedulers have left on the workers.
#[derive(Clone, Debug)]
pub struct RecoveryState {
    /// When nothing that an earlier scheduler started can still run, on the scheduler's clock.
    leases_end_at: Duration,
    /// Whether that time has passed.
    leases_expired: bool,
    /// Whether the list of workers was ever received.
    workers_listed: bool,
    /// Whether recovery is over, see [`Self::is_over`].
    over: bool,
    /// Workers of which everything is known that an earlier scheduler has left there.
    known_workers: BTreeSet<WorkerId>,
}

impl RecoveryState {
    /// Creates the state of a scheduler that has been told nothing. An earlier scheduler may have
    /// renewed leases of a duration for a grace time after this one began.
    pub fn new(started_at: Duration, lease: Duration, renewal_grace: Duration) -> Self {
        Self {
            leases_end_at: started_at + renewal_grace + lease.mul_f64(PREVIOUS_LEASE_FACTOR),
            leases_expired: false,
            workers_listed: false,
            over: false,
            known_workers: BTreeSet::new(),
        }
    }

    /// Records that the list of workers was received.
    pub fn record_worker_list(&mut self) {
        self.workers_listed = true;
    }

    /// Records what a worker has told.
    pub fn record_report(&mut self, worker: &str, state: ReportState) {
        if state == ReportState::Complete && !self.known_workers.contains(worker) {
            self.known_workers.insert(worker.to_owned());
        }
    }

    /// Updates what follows from the time and from the reports of all workers.
    pub fn update<'a, W>(&mut self, workers: W, now: Duration)
    where
        W: Iterator<Item = &'a WorkerEntry>,
    {
        if self.leases_expired || !self.workers_listed {
            return;
        }
        self.leases_expired = now > self.leases_end_at;
        let mut workers = workers.peekable();
        let any_listed = workers.peek().is_some();
        let all_known = workers.all(|worker| worker.report == ReportState::Complete);
        self.over |= self.leases_expired || (any_listed && all_known);
    }

    /// Returns whether the list of workers was ever received. Before that, nothing starts.
    pub fn knows_workers(&self) -> bool {
        self.workers_listed
    }

    /// Returns whether recovery is over: everything is known of all listed workers, or nothing that
    /// an earlier scheduler started still runs.
    pub fn is_over(&self) -> bool {
        self.over
    }

    /// Returns whether any of the workers that a job names may hold runs or ends of it that are not
    /// known. Until then, the job starts nothing.
    ///
    /// A worker that answers is awaited however long it takes to report all its ends.
    pub fn may_hide_runs(
        &self,
        job_workers: &BTreeSet<WorkerId>,
        workers: &BTreeMap<WorkerId, WorkerEntry>,
    ) -> bool {
        let has_more_ends = |id: &WorkerId| {
            workers.get(id).is_some_and(|worker| worker.report == ReportState::Partial)
        };
        let may_hide = |id: &&WorkerId| {
            !self.known_workers.contains(*id) && (!self.leases_expired || has_more_ends(id))
        };
        job_workers.iter().any(|id| may_hide(&id))
    }
}
