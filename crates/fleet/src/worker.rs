//! The state of one worker, as known to the scheduler.
//!
//! All runs on a worker share one lease, which the scheduler extends. A run counts against the
//! worker's capacity from its start order until its end is certain: because the worker reports it,
//! because a new incarnation of the worker does not list the run, or because the lease has
//! certainly expired. Until then the task is started nowhere else.

use std::collections::BTreeMap;
use std::time::Duration;

use lacewingrail_model::Epoch;

use crate::amount::ResourceAmount;
use crate::end_log::EndLog;
use crate::event::WorkerListing;
use crate::fencing::{FencingState, FencingToken};
use crate::record::WorkerRoster;
use crate::recovery::ReportState;
use crate::run::{RunEntry, RunPhase};
use crate::spec::{RunNumber, TaskKey};
use crate::speed::WorkerSpeed;

/// Minimum rate of a worker's monotonic clock, against that of the scheduler.
const MIN_CLOCK_RATE: f64 = 0.98;
/// Added to the computed end of a lease, for rounding and late timers.
const LEASE_EXPIRY_MARGIN: Duration = Duration::from_millis(50);
/// Time after which an unconfirmed stop order is sent again.
pub const STOP_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time without new starts on a worker after a failed run; doubles with each further failure in a
/// row.
const FAILURE_BACKOFF: Duration = Duration::from_millis(1000);
/// Number of failures in a row after which the backoff stops growing.
const MAX_BACKOFF_FAILURES: u32 = 4;
/// Time without new starts on a worker that refused a start or did not answer a call.
pub const REFUSAL_BACKOFF: Duration = Duration::from_millis(400);

/// Reading of a worker's monotonic clock, with the time of its receipt.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    /// Time on the worker's clock when it answered.
    worker_time: Duration,
    /// Time on the scheduler's clock when the answer was received.
    received_at: Duration,
}

/// State of one worker, and of the lease that its runs share.
#[derive(Clone, Debug)]
pub struct WorkerEntry {
    /// Newest entry of the worker in the directory.
    pub listing: WorkerListing,
    /// Whether the newest list of workers contains the worker.
    pub listed: bool,
    /// Runs that are, or may be, on the worker.
    pub runs: BTreeMap<(TaskKey, RunNumber), RunEntry>,
    /// Sum of the resources that the runs take.
    pub used: ResourceAmount,
    /// Whether a lease renewal was sent and not yet answered.
    pub renewal_in_flight: bool,
    /// When the newest lease renewal was sent.
    pub renewal_sent_at: Option<Duration>,
    /// What the listed incarnation, or a later one, has told this scheduler.
    pub report: ReportState,
    /// When the renewal was sent that the newest report of the present incarnation answers.
    report_sent_at: Option<Duration>,
    /// Ends that the present incarnation has reported.
    pub ends: EndLog,
    /// Token of the next call to the worker.
    pub fencing: FencingState,
    /// Fencing token of the newest lease renewal.
    pub renewal_token: FencingToken,
    /// Whether the newest renewal extends the lease.
    pub renewal_has_lease: bool,
    /// Whether the worker has left a start without an answer that may still be carried out, by this
    /// incarnation or a later one.
    pub has_unclear_starts: bool,
    /// Number of lease renewals in a row that were not answered.
    pub unanswered_renewals: u32,
    /// Estimated speed of the present incarnation.
    pub speed: WorkerSpeed,
    /// When the CPU limits of the best-effort tasks were last decided.
    pub cpu_limits_adjusted_at: Option<Duration>,
    /// Incarnation that the newest report came from; 0 before the first report.
    pub incarnation: u64,
    /// Clock in the newest report of the present incarnation, or `None` before the first.
    clock: Option<ClockReading>,
    /// Latest end of the lease that any order may have set, on the worker's clock.
    lease_end: Duration,
    /// When tasks may be started again, on the scheduler's clock.
    backoff_until: Duration,
    /// Number of failed and stalled runs in a row.
    failure_streak: u32,
}

impl WorkerEntry {
    /// Creates the entry of a worker that is listed and not known.
    pub fn new(listing: WorkerListing, fencing: FencingState) -> Self {
        Self {
            listing,
            listed: true,
            runs: BTreeMap::new(),
            used: ResourceAmount::default(),
            renewal_in_flight: false,
            renewal_sent_at: None,
            report: ReportState::default(),
            report_sent_at: None,
            ends: EndLog::default(),
            fencing,
            renewal_token: 0,
            renewal_has_lease: false,
            has_unclear_starts: false,
            unanswered_renewals: 0,
            speed: WorkerSpeed::default(),
            cpu_limits_adjusted_at: None,
            incarnation: 0,
            clock: None,
            lease_end: Duration::ZERO,
            backoff_until: Duration::ZERO,
            failure_streak: 0,
        }
    }

    /// Restores the speed that an earlier scheduler stored for this incarnation, unless it has been
    /// measured since.
    pub fn restore_speed(&mut self, roster: &WorkerRoster) {
        let entry = roster.get(&self.listing.id);
        if let Some(entry) = entry.filter(|entry| entry.born == self.listing.incarnation)
            && !self.speed.is_measured()
        {
            self.speed = entry.speed;
        }
    }

    /// Returns the capacity that no run takes; negative where the worker is overcommitted.
    pub fn free(&self) -> ResourceAmount {
        self.listing.capacity - self.used
    }

    /// Returns whether tasks may be started on the worker now: it is listed, not draining, known,
    /// and not in backoff.
    pub fn accepts_starts(&self, now: Duration) -> bool {
        self.listed && !self.listing.draining && self.is_known() && now >= self.backoff_until
    }

    /// Returns whether the worker answers renewals, and its listing and its newest report are of the
    /// same incarnation. Another one may have other labels and another capacity.
    pub fn is_known(&self) -> bool {
        self.report != ReportState::Awaited
            && self.unanswered_renewals == 0
            && self.listing.incarnation >= self.incarnation
    }

    /// Adds a run and takes its resources.
    pub fn add_run(&mut self, task: TaskKey, run: RunNumber, entry: RunEntry) {
        self.used += entry.demand;
        if let Some(replaced) = self.runs.insert((task, run), entry) {
            self.used -= replaced.demand;
        }
    }

    /// Removes a run and frees its resources; returns `None` if the run is not known.
    pub fn remove_run(&mut self, task: TaskKey, run: RunNumber) -> Option<RunEntry> {
        let entry = self.runs.remove(&(task, run))?;
        self.used -= entry.demand;
        Some(entry)
    }

    /// Begins a new incarnation, which a report has shown.
    ///
    /// Known runs are kept until a report shows that they are gone, since the new incarnation may
    /// already have confirmed a start. A start that was never answered may still be carried out by
    /// the new incarnation, which has not received an earlier stop order; a run that was being stopped
    /// is stopped again.
    pub fn begin_incarnation(&mut self, incarnation: u64) {
        let first = self.incarnation == 0;
        self.incarnation = incarnation;
        if first {
            return;
        }
        self.fencing.raise();
        self.speed = WorkerSpeed::default();
        self.report_sent_at = None;
        self.clock = None;
        self.lease_end = Duration::ZERO;
        self.failure_streak = 0;
        self.ends = EndLog::default();
        for run in self.runs.values_mut() {
            run.reported = false;
            if run.confirmed.is_none() && matches!(run.phase, RunPhase::Stopping { .. }) {
                run.phase = RunPhase::Stopping { ordered: Duration::ZERO, confirmed: None };
            }
        }
    }

    /// Records that the present incarnation has answered a renewal that was sent at a time.
    pub fn record_report(&mut self, sent: Duration) {
        self.report_sent_at = self.report_sent_at.max(Some(sent));
    }

    /// Returns whether the present incarnation has answered a renewal that was sent after a time.
    pub fn has_reported_since(&self, time: Duration) -> bool {
        self.report_sent_at.is_some_and(|sent| sent > time)
    }

    /// Returns whether only the present incarnation or a former one can have carried out an order
    /// that was settled at a time: it has answered a renewal that was sent later.
    fn is_located(&self, settled: Option<Duration>) -> bool {
        settled.is_some_and(|at| self.has_reported_since(at))
    }

    /// Records the worker's clock from an answer that was received `now`.
    pub fn record_clock(&mut self, clock: Duration, now: Duration) {
        self.clock = Some(ClockReading { worker_time: clock, received_at: now });
    }

    /// Estimates the worker's clock, without the time that its answer took to arrive, or returns
    /// `None` before its first report.
    pub fn clock_at(&self, now: Duration) -> Option<Duration> {
        let clock = self.clock?;
        Some(clock.worker_time + now.saturating_sub(clock.received_at))
    }

    /// Returns the time since the worker's newest report; [`Duration::MAX`] before the first.
    pub fn report_age(&self, now: Duration) -> Duration {
        self.clock.map_or(Duration::MAX, |clock| now.saturating_sub(clock.received_at))
    }

    /// Records that an order may extend the lease up to a time on the worker's clock.
    pub fn extend_lease(&mut self, lease_end: Duration) {
        self.lease_end = self.lease_end.max(lease_end);
    }

    /// Returns whether the present incarnation may hold a lease.
    pub fn has_lease(&self) -> bool {
        self.lease_end > Duration::ZERO
    }

    /// Assumes that another scheduler has just extended the lease by its full duration.
    pub fn assume_lease(&mut self, now: Duration, lease: Duration) {
        if let Some(clock) = self.clock_at(now) {
            self.extend_lease(clock + lease);
        }
    }

    /// Returns the lease end for the next renewal, or `None` if the worker has no runs to keep
    /// alive, or if a start is not located. A later incarnation would take the time for one on its
    /// own clock, and keep the run alive for longer than this scheduler counts; until then, the
    /// lease in the start suffices.
    ///
    /// A renewal without an answer may still be carried out late, so the lease of a worker that
    /// does not answer is not extended any further, and not sent again while a late start may meet
    /// it.
    pub fn next_lease_end(&mut self, now: Duration, lease: Duration) -> Option<Duration> {
        let may_meet_late_start = self.has_unclear_starts && self.unanswered_renewals > 0;
        if self.runs.is_empty() || self.has_unlocated_starts() || may_meet_late_start {
            return None;
        }
        if self.unanswered_renewals == 0 {
            self.assume_lease(now, lease);
        }
        Some(self.lease_end)
    }

    /// Returns whether the lease on the worker has certainly expired, for all its runs.
    ///
    /// The bound allows for a slow clock on the worker, and for the time between its reading and
    /// the receipt of the answer.
    pub fn is_lease_expired(&self, now: Duration) -> bool {
        let Some(clock) = self.clock else {
            return self.runs.is_empty();
        };
        let left = self.lease_end.saturating_sub(clock.worker_time).div_f64(MIN_CLOCK_RATE);
        now > clock.received_at + left + LEASE_EXPIRY_MARGIN
    }

    /// Returns whether a run may last beyond the lease that is counted for the worker: an incarnation
    /// that is not known yet may have started it, and may get a late start that extends its lease.
    pub fn may_outlast_lease(&self, run: &RunEntry) -> bool {
        self.has_unclear_starts
            && run.confirmed.is_some()
            && !run.reported
            && !self.is_located(run.start_settled)
    }

    /// Starts the backoff that follows a refused start or a call without an answer.
    pub fn back_off(&mut self, now: Duration) {
        self.backoff_until = self.backoff_until.max(now + REFUSAL_BACKOFF);
    }

    /// Records a failed or stalled run and starts a backoff, longer with each failure in a row.
    ///
    /// Returns the number of failures in a row.
    pub fn record_failure(&mut self, now: Duration) -> u32 {
        self.failure_streak += 1;
        let backoff = FAILURE_BACKOFF * 2u32.pow(self.failure_streak.min(MAX_BACKOFF_FAILURES) - 1);
        self.backoff_until = self.backoff_until.max(now + backoff);
        self.failure_streak
    }

    /// Resets the count of failures in a row, after a run that ended with success.
    pub fn reset_failures(&mut self) {
        self.failure_streak = 0;
    }

    /// Returns the number of the newest end that the next renewal acknowledges; 0 for none.
    ///
    /// A new incarnation numbers its ends from 1 again and would forget those up to the number. So
    /// an acknowledgement is sent only while no later incarnation than the present one can have
    /// ended a run: every start must be located. Later starts carry a higher fencing token. After a
    /// renewal without an answer, a report has to show the incarnation first.
    pub fn next_acknowledgement(&self) -> u64 {
        let is_allowed = self.unanswered_renewals == 0 && !self.withholds_acknowledgement();
        self.ends.due().filter(|_| is_allowed).unwrap_or_default()
    }

    /// Returns whether an acknowledgement waits because a later incarnation than the present one may
    /// have ended a run. A start without an answer is awaited for as long as it may be carried out.
    pub fn withholds_acknowledgement(&self) -> bool {
        let is_located = |run: &RunEntry| run.reported || self.is_located(run.answered_at());
        self.ends.due().is_some()
            && (self.has_unclear_starts || !self.runs.values().all(is_located))
    }

    /// Returns whether a later incarnation than the present one may have carried out a start.
    fn has_unlocated_starts(&self) -> bool {
        let is_located = |run: &RunEntry| run.reported || self.is_located(run.start_settled);
        !self.runs.values().all(is_located)
    }

    /// Returns whether a report would tell of a run what the newest one could not.
    pub fn can_locate_runs(&self) -> bool {
        let is_open = |run: &RunEntry| !run.reported && run.settled_at() >= self.renewal_sent_at;
        self.runs.values().any(is_open)
    }

    /// Returns whether the worker has confirmed a stop since the newest renewal was sent.
    pub fn has_unreported_stops(&self) -> bool {
        let is_unreported = |run: &RunEntry| {
            matches!(run.phase, RunPhase::Stopping { .. })
                && run.answered_at().is_some_and(|at| Some(at) >= self.renewal_sent_at)
        };
        self.runs.values().any(is_unreported)
    }

    /// Records that a renewal is sent that acknowledges ends up to a number, with or without a lease.
    ///
    /// Returns its fencing token under an epoch.
    pub fn record_renewal_sent(
        &mut self,
        acknowledgement: u64,
        has_lease: bool,
        epoch: Epoch,
        now: Duration,
    ) -> FencingToken {
        self.renewal_in_flight = true;
        self.renewal_sent_at = Some(now);
        self.renewal_token = self.fencing.token(epoch);
        self.renewal_has_lease = has_lease;
        self.ends.record_sent(acknowledgement);
        if acknowledgement > 0 || has_lease {
            self.fencing.record_renewal_sent();
        }
        self.renewal_token
    }

    /// Records that the incarnation to which the renewal in flight was sent has answered it.
    pub fn confirm_renewal(&mut self) {
        self.ends.confirm_sent();
        self.fencing.record_renewal_answered();
    }
}
