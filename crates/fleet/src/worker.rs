//! What the scheduler knows of one worker.
//!
//! Everything on a worker runs under one lease that the scheduler extends. A run counts against the
//! worker's capacity from its order until its end is known: by the worker's report, by a new life of
//! the worker, or because the lease is certainly over. Until then the task starts nowhere else.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::amount::ResourceAmount;
use crate::event::WorkerListing;
use crate::record::WorkerRoster;
use crate::spec::{CheckpointName, JobKey, RunNumber, TaskKey};
use crate::speed::{ProgressMark, WorkerSpeed};

/// Lowest rate of a worker's steady clock against ours.
const SLOWEST_CLOCK_RATE: f64 = 0.98;
/// Time added to a lease bound for rounding and late timers.
const LEASE_MARGIN: Duration = Duration::from_millis(50);
/// Time between repetitions of a stop order that was not confirmed.
pub const STOP_RETRY: Duration = Duration::from_millis(500);
/// Time for which nothing is started on a worker after a failed run; doubles with each in a row.
const FAILURE_PAUSE: Duration = Duration::from_millis(1000);
/// Failures in a row after which the pause does not grow any more.
const LONGEST_STREAK: u32 = 4;
/// Time for which nothing is started on a worker that has refused a start or not answered.
const REFUSAL_PAUSE: Duration = Duration::from_millis(400);

/// States how far a run has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunPhase {
    /// The start was ordered and not answered yet.
    Starting,
    /// The worker has confirmed the start.
    Running,
    /// A stop was ordered.
    Stopping {
        /// When the order was last sent.
        ordered: Duration,
        /// When the worker confirmed it.
        confirmed: Option<Duration>,
    },
}

/// Holds one run that is or may be on a worker.
#[derive(Clone, Debug)]
pub struct RunEntry {
    /// Phase.
    pub phase: RunPhase,
    /// When the start was ordered or the run was first seen.
    pub since: Duration,
    /// When the worker confirmed the start.
    pub confirmed: Option<Duration>,
    /// Resources taken.
    pub demand: ResourceAmount,
    /// Newest checkpoint.
    pub checkpoint: Option<CheckpointName>,
    /// Share of the work done, 0 to 100.
    pub percent: u32,
    /// When the share last rose.
    pub progressed: Duration,
    /// Start of the span over which the rate of progress is measured.
    pub mark: Option<ProgressMark>,
    /// Share of its processor time that a filling task may use, in percent; nothing if not known.
    pub pace: Option<u32>,
    /// Newest measurement, see [`ActiveRun::usage`](crate::event::ActiveRun::usage).
    pub usage: f64,
}

/// Names an end that waits for its job's progress to be stored.
#[derive(Clone, Copy, Debug)]
struct PendingEnd {
    number: u64,
    job: JobKey,
    sequence: u64,
}

/// Holds a reading of a worker's steady clock.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    /// What the worker's clock showed.
    shown: Duration,
    /// When its answer was received, on the scheduler's clock.
    read: Duration,
}

/// Holds what is known of one worker.
#[derive(Clone, Debug)]
pub struct WorkerEntry {
    /// Newest listing.
    pub listing: WorkerListing,
    /// Whether the newest list names the worker.
    pub listed: bool,
    /// Runs that are or may be on the worker.
    pub runs: BTreeMap<(TaskKey, RunNumber), RunEntry>,
    /// Resources taken by the runs.
    pub used: ResourceAmount,
    /// Whether a renewal is in flight.
    pub renewing: bool,
    /// When the last renewal was sent.
    pub renewed: Option<Duration>,
    /// Whether the worker has reported to this scheduler.
    pub looked_at: bool,
    /// Renewals without an answer in a row.
    pub unanswered: u32,
    /// Estimated speed.
    pub speed: WorkerSpeed,
    /// When the share of filling tasks was decided last.
    pub paced: Option<Duration>,
    /// Start of the life that the newest report was from; 0 before the first report.
    pub life: u64,
    clock: Option<ClockReading>,
    lease_end: Duration,
    paused_until: Duration,
    failure_streak: u32,
    pending_ends: VecDeque<PendingEnd>,
    applied_end: u64,
    acknowledgeable: u64,
    acknowledged: u64,
}

impl WorkerEntry {
    /// Creates the entry of a worker that was listed for the first time.
    pub fn new(listing: WorkerListing) -> Self {
        Self {
            listing,
            listed: true,
            runs: BTreeMap::new(),
            used: ResourceAmount::default(),
            renewing: false,
            renewed: None,
            looked_at: false,
            unanswered: 0,
            speed: WorkerSpeed::default(),
            paced: None,
            life: 0,
            clock: None,
            lease_end: Duration::ZERO,
            paused_until: Duration::ZERO,
            failure_streak: 0,
            pending_ends: VecDeque::new(),
            applied_end: 0,
            acknowledgeable: 0,
            acknowledged: 0,
        }
    }

    /// Takes over what an earlier scheduler knew of this life of the worker, unless more is known.
    pub fn recall(&mut self, roster: &WorkerRoster) {
        let digest = roster.get(&self.listing.id);
        if let Some(digest) = digest.filter(|digest| digest.born == self.listing.incarnation)
            && !self.speed.is_measured()
        {
            self.speed = digest.speed;
        }
    }

    /// Returns the capacity that nothing takes.
    pub fn free(&self) -> ResourceAmount {
        self.listing.capacity - self.used
    }

    /// Returns whether tasks may be started on the worker now.
    pub fn accepts(&self, now: Duration) -> bool {
        self.listed
            && !self.listing.draining
            && self.looked_at
            && self.unanswered == 0
            && now >= self.paused_until
    }

    /// Adds a run.
    pub fn add_run(&mut self, task: TaskKey, run: RunNumber, entry: RunEntry) {
        self.used += entry.demand;
        if let Some(former) = self.runs.insert((task, run), entry) {
            self.used -= former.demand;
        }
    }

    /// Removes a run.
    pub fn remove_run(&mut self, task: TaskKey, run: RunNumber) -> Option<RunEntry> {
        let entry = self.runs.remove(&(task, run))?;
        self.used -= entry.demand;
        Some(entry)
    }

    /// Begins the life that a report shows.
    ///
    /// Runs stay until a report shows that they are gone: a start may have been answered by the new
    /// life already. A start that was never answered may still be carried out in the new life, which
    /// knows nothing of an earlier stop; such a run is stopped again.
    pub fn begin_life(&mut self, born: u64) {
        let first = self.life == 0;
        self.life = born;
        if first {
            return;
        }
        self.speed = WorkerSpeed::default();
        self.clock = None;
        self.lease_end = Duration::ZERO;
        self.failure_streak = 0;
        self.pending_ends.clear();
        (self.applied_end, self.acknowledgeable, self.acknowledged) = (0, 0, 0);
        let unanswered = self.runs.values_mut().filter(|run| run.confirmed.is_none());
        for run in unanswered {
            run.phase = RunPhase::Stopping { ordered: Duration::ZERO, confirmed: None };
        }
    }

    /// Notes the worker's clock as of an answer received `now`.
    pub fn note_clock(&mut self, clock: Duration, now: Duration) {
        self.clock = Some(ClockReading { shown: clock, read: now });
    }

    /// Returns the worker's clock, at least as far as it has come.
    pub fn clock_at(&self, now: Duration) -> Option<Duration> {
        let clock = self.clock?;
        Some(clock.shown + now.saturating_sub(clock.read))
    }

    /// Returns the time since the worker's newest report.
    pub fn report_age(&self, now: Duration) -> Duration {
        self.clock.map_or(Duration::MAX, |clock| now.saturating_sub(clock.read))
    }

    /// Notes that an order may extend the lease up to a time on the worker's clock.
    pub fn extend_lease(&mut self, lease_end: Duration) {
        self.lease_end = self.lease_end.max(lease_end);
    }

    /// Returns whether a lease has been given in this life of the worker.
    pub fn has_lease(&self) -> bool {
        self.lease_end > Duration::ZERO
    }

    /// Assumes the longest lease that another scheduler may have given.
    pub fn assume_lease(&mut self, now: Duration, lease: Duration) {
        if let Some(clock) = self.clock_at(now) {
            self.extend_lease(clock + lease);
        }
    }

    /// Returns the lease end of the next renewal; nothing if there is nothing to keep running.
    ///
    /// A renewal without an answer may be carried out late, so the lease of a worker that does not
    /// answer is not extended any further.
    pub fn next_lease_end(&mut self, now: Duration, lease: Duration) -> Option<Duration> {
        if self.runs.is_empty() {
            return None;
        }
        if self.unanswered == 0 {
            self.assume_lease(now, lease);
        }
        Some(self.lease_end)
    }

    /// Returns whether the lease of everything on the worker is certainly over.
    ///
    /// The worker's clock was read before its answer was received and may be slow.
    pub fn is_lease_over(&self, now: Duration) -> bool {
        let Some(clock) = self.clock else {
            return self.runs.is_empty();
        };
        let left = self.lease_end.saturating_sub(clock.shown).div_f64(SLOWEST_CLOCK_RATE);
        now > clock.read + left + LEASE_MARGIN
    }

    /// Lets the worker pause after it has refused a start or not answered.
    pub fn pause(&mut self, now: Duration) {
        self.paused_until = self.paused_until.max(now + REFUSAL_PAUSE);
    }

    /// Notes a failed or stalled run: the worker pauses, the longer the more failures in a row.
    ///
    /// Returns the number of failures in a row.
    pub fn note_failure(&mut self, now: Duration) -> u32 {
        self.failure_streak += 1;
        let pause = FAILURE_PAUSE * 2u32.pow(self.failure_streak.min(LONGEST_STREAK) - 1);
        self.paused_until = self.paused_until.max(now + pause);
        self.failure_streak
    }

    /// Notes a run that ended well.
    pub fn note_success(&mut self) {
        self.failure_streak = 0;
    }

    /// Returns whether an end is new; each end is applied once.
    pub fn take_end(&mut self, number: u64) -> bool {
        let fresh = number > self.applied_end;
        self.applied_end = self.applied_end.max(number);
        fresh
    }

    /// Notes that an end may be acknowledged once progress with a sequence number is stored.
    pub fn await_storage(&mut self, number: u64, job: JobKey, sequence: u64) {
        self.pending_ends.push_back(PendingEnd { number, job, sequence });
    }

    /// Moves the acknowledgement over all ends whose progress is stored.
    pub fn advance_ends<F>(&mut self, stored: F)
    where
        F: Fn(JobKey) -> u64,
    {
        while let Some(end) = self.pending_ends.front()
            && stored(end.job) >= end.sequence
        {
            self.acknowledgeable = self.acknowledgeable.max(end.number);
            self.pending_ends.pop_front();
        }
    }

    /// Returns the number of the newest end that may be acknowledged.
    pub fn acknowledgeable(&self) -> u64 {
        self.acknowledgeable
    }

    /// Returns whether ends may be acknowledged that have not been.
    pub fn owes_acknowledgement(&self) -> bool {
        self.acknowledgeable > self.acknowledged
    }

    /// Returns whether ends wait for their progress to be stored.
    pub fn awaits_storage(&self) -> bool {
        !self.pending_ends.is_empty()
    }

    /// Notes that a renewal with an acknowledgement was answered.
    pub fn note_acknowledged(&mut self, number: u64) {
        self.acknowledged = self.acknowledged.max(number);
    }
}
