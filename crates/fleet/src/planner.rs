//! The planner: the state of all jobs and workers, and the events that change it.
//!
//! [`FleetPlanner::apply_event`] applies an event. [`FleetPlanner::plan`] then decides and returns
//! orders; a caller may apply several events before it asks for orders.
//!
//! A new scheduler learns from the store which jobs exist, and from the workers which tasks run.
//! The workers of a job are announced in the store before a start is ordered on them, so that the
//! next scheduler knows which of them it has to hear first, see [`recovery`](crate::recovery).

mod advice;
mod cpu_limits;
mod dispatch;
mod disruption;
mod maintenance;
mod order_answer;
mod preemption;
mod reservation;
mod run_end;
mod start;
mod submission;
mod telemetry;
mod worker_report;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use lacewingrail_model::{DomainName, Epoch, WorkerId};

pub use telemetry::{PlannerCounts, PlannerLogEvent};

use self::reservation::Reservation;
use crate::config::FleetConfig;
use crate::event::{FleetEvent, WorkerListing};
use crate::fencing::FencingState;
use crate::job::{JobEntry, JobPhase};
use crate::open_start::OpenStarts;
use crate::order::FleetOrder;
use crate::queue::{MeanWork, QueueOrder, job_work, objective};
use crate::record::{JobProgress, WorkerRoster};
use crate::recovery::{RecoveryState, ReportState};
use crate::spec::{JobKey, JobSubmission, RunNumber, StepKey, TaskKey};
use crate::worker::WorkerEntry;

/// Number of runs of a task under one leadership before run numbers would overlap those of the
/// next.
const RUNS_PER_EPOCH: RunNumber = 1000;

/// Epoch of one leadership, and the lease, timeout and retention times that its planner applies.
#[derive(Clone, Debug)]
pub struct PlannerSettings {
    /// Epoch of the leadership, which serves as fencing token.
    pub epoch: Epoch,
    /// Maximum lease that a worker grants.
    pub lease_duration: Duration,
    /// Time for which workers' leases are still renewed after the leadership has become uncertain.
    pub renewal_grace: Duration,
    /// Time after its sending within which a worker carries out an order that it leaves unanswered,
    /// if at all.
    pub max_order_delay: Duration,
    /// Time for which a worker may hold a report back until it has an end to report.
    pub report_poll_timeout: Duration,
    /// Time for which a job is kept after it ended.
    pub ended_job_retention: Duration,
    /// Wall-clock time at time zero of the scheduler's clock, in milliseconds since the Unix epoch.
    pub unix_origin_ms: u64,
}

/// Decides over all jobs and workers of a region.
#[derive(Clone, Debug)]
pub struct FleetPlanner {
    settings: PlannerSettings,
    /// Settings in force.
    config: Arc<FleetConfig>,
    /// Order in which waiting steps are considered.
    order: QueueOrder,
    /// Failure domains that operators have disabled.
    disabled_domains: BTreeSet<DomainName>,
    jobs: BTreeMap<JobKey, JobEntry>,
    /// Jobs whose cancellation is known and whose submission is not, with the time at which each
    /// cancellation became known.
    early_cancellations: BTreeMap<JobKey, Duration>,
    workers: BTreeMap<WorkerId, WorkerEntry>,
    /// Highest number of raises of the fencing token among the workers that were removed.
    removed_raises: u64,
    /// What earlier schedulers may have left on the workers.
    recovery: RecoveryState,
    /// Start orders that may still be carried out.
    open_starts: OpenStarts,
    /// Whether tasks may be started, see [`Self::set_leadership_overdue`].
    starts_allowed: bool,
    /// Roster that the previous scheduler stored.
    stored_roster: WorkerRoster,
    /// Workers in the newest roster whose write was ordered.
    roster_members: BTreeSet<WorkerId>,
    /// When the write of the newest roster was ordered.
    roster_stored_at: Duration,
    /// Whether leases may be renewed, see [`Self::set_leadership_overdue`].
    renewals_allowed: bool,
    /// Workers reserved for tasks that may not start there yet.
    reservations: Vec<Reservation>,
    /// Urgent jobs that their customers' guarantees cover, as of the newest planning pass.
    covered_jobs: BTreeSet<JobKey>,
    /// Number of requests to advisers that are not answered yet.
    advice_in_flight: usize,
    /// Since when some members of a gang run while others wait.
    gangs_broken_since: BTreeMap<StepKey, Duration>,
    /// Mean work of the jobs of each queue, for their value.
    mean_work: MeanWork,
    counts: PlannerCounts,
    /// Events for logs since the last call of [`Self::drain_log_events`].
    log_events: Vec<PlannerLogEvent>,
    /// Orders since the last call of [`Self::plan`].
    orders: Vec<FleetOrder>,
}

impl FleetPlanner {
    /// Creates the planner of a new leadership, without jobs and workers.
    pub fn new(settings: PlannerSettings, now: Duration) -> Self {
        let recovery = RecoveryState::new(now, settings.lease_duration, settings.renewal_grace);
        let open_starts = OpenStarts::new(settings.max_order_delay, settings.lease_duration);
        Self {
            settings,
            config: Arc::default(),
            order: QueueOrder::default(),
            disabled_domains: BTreeSet::new(),
            jobs: BTreeMap::new(),
            early_cancellations: BTreeMap::new(),
            workers: BTreeMap::new(),
            removed_raises: 0,
            recovery,
            open_starts,
            starts_allowed: true,
            stored_roster: WorkerRoster::new(),
            roster_members: BTreeSet::new(),
            roster_stored_at: now,
            renewals_allowed: true,
            reservations: Vec::new(),
            covered_jobs: BTreeSet::new(),
            advice_in_flight: 0,
            gangs_broken_since: BTreeMap::new(),
            mean_work: MeanWork::default(),
            counts: PlannerCounts::default(),
            log_events: Vec::new(),
            orders: Vec::new(),
        }
    }

    /// Sets for how long the leadership has been uncertain, or `None` while it is certain.
    ///
    /// While it is uncertain, no task is started. After the grace time no lease is renewed either,
    /// so that a later scheduler knows when all runs have ended.
    pub fn set_leadership_overdue(&mut self, overdue: Option<Duration>) {
        self.starts_allowed = overdue.is_none();
        self.renewals_allowed = overdue.is_none_or(|overdue| overdue < self.settings.renewal_grace);
    }

    /// Continues under a new epoch of the leadership, if no other scheduler has led in between.
    pub fn set_epoch(&mut self, epoch: Epoch) {
        self.settings.epoch = epoch;
    }

    /// Sets the order in which waiting steps are considered.
    pub fn set_queue_order(&mut self, order: QueueOrder) {
        self.order = order;
    }

    /// Returns and removes the events for logs since the last call.
    pub fn drain_log_events(&mut self) -> Vec<PlannerLogEvent> {
        std::mem::take(&mut self.log_events)
    }

    /// Returns the counts for metrics since the leadership began.
    pub fn counts(&self) -> PlannerCounts {
        self.counts
    }

    /// Returns the number of tasks whose start was not answered and may still be carried out late.
    /// They start nowhere else until then.
    pub fn unclear_starts(&self) -> usize {
        self.open_starts.unclear_count()
    }

    /// Returns a job, or `None` if it was never accepted or was removed after its end.
    pub fn job(&self, key: JobKey) -> Option<&JobEntry> {
        self.jobs.get(&key)
    }

    /// Returns all known workers, listed or not, in the order of their identifiers.
    pub fn workers(&self) -> impl Iterator<Item = &WorkerEntry> {
        self.workers.values()
    }

    /// Returns whether recovery is over, see [`RecoveryState::is_over`].
    pub fn is_recovered(&self) -> bool {
        self.recovery.is_over()
    }

    /// Returns the number of active jobs of a queue of which no task was ever started.
    pub fn pending_jobs(&self, queue: &str) -> usize {
        let is_pending = |entry: &&JobEntry| {
            entry.submission.queue == queue && !entry.begun && !entry.phase.is_final()
        };
        self.jobs.values().filter(is_pending).count()
    }

    /// Applies an event that was observed at `now`, on the scheduler's clock.
    pub fn apply_event(&mut self, now: Duration, event: FleetEvent) {
        match event {
            FleetEvent::ConfigChanged(config) => self.config = config,
            FleetEvent::DomainsDisabled(domains) => self.disabled_domains = domains,
            FleetEvent::WorkersListed(listings) => self.handle_worker_list(listings),
            FleetEvent::RosterLoaded(workers) => self.handle_roster(workers),
            FleetEvent::JobAccepted { submission, progress, age } => {
                self.accept_job(submission, progress.as_ref(), now.saturating_sub(age), now);
            }
            FleetEvent::JobCancelled(job) => self.cancel_job(job, now),
            FleetEvent::JobDeleted(job) => self.forget_job(job),
            FleetEvent::JobsListed(listed) => {
                self.jobs.retain(|job, entry| !entry.removal_ordered || listed.contains(job));
            }
            FleetEvent::RenewalAnswered { worker, sent, report } => {
                self.handle_report(&worker, sent, report, now);
            }
            FleetEvent::RenewalUnanswered { worker, stale_token } => {
                self.record_unanswered_renewal(&worker, stale_token, now);
            }
            FleetEvent::StartAnswered { worker, task, run, outcome } => {
                self.handle_start_answer(&worker, task, run, outcome, now);
            }
            FleetEvent::AdviceAnswered { request, allowed } => {
                self.handle_advice(&request, allowed.as_deref(), now);
            }
            FleetEvent::StopAnswered { worker, task, run, confirmed } => {
                self.handle_stop_answer(&worker, task, run, confirmed, now);
            }
            FleetEvent::CpuLimitUnconfirmed { worker, task, run } => {
                self.clear_cpu_limit(&worker, task, run);
            }
            FleetEvent::ProgressStored { job, sequence } => {
                self.record_progress_stored(job, sequence)
            }
            FleetEvent::ProgressNotStored { job } => {
                if let Some(entry) = self.jobs.get_mut(&job) {
                    entry.issued_sequence = entry.stored_sequence;
                }
            }
        }
    }

    /// Decides what to do at `now` and returns all orders since the last call.
    pub fn plan(&mut self, now: Duration) -> Vec<FleetOrder> {
        self.run_maintenance(now);
        self.adjust_cpu_limits(now);
        self.dispatch(now);
        self.renew_leases(now);
        self.store_progress();
        std::mem::take(&mut self.orders)
    }

    /// Adds an accepted job, or one that an earlier scheduler accepted.
    fn accept_job(
        &mut self,
        submission: Arc<JobSubmission>,
        progress: Option<&JobProgress>,
        accepted_at: Duration,
        now: Duration,
    ) {
        let key = submission.key;
        if self.jobs.contains_key(&key) {
            return;
        }
        if !submission.spec.steps.is_empty() {
            self.mean_work.record(&submission.queue, job_work(&submission.spec.steps));
        }
        let mut entry = JobEntry::new(submission, progress, accepted_at);
        if entry.phase.is_final() {
            entry.ended_at = Some(now);
        }
        self.jobs.insert(key, entry);
        if self.early_cancellations.remove(&key).is_some() {
            self.cancel_job(key, now);
        }
    }

    /// Cancels a job, or records the cancellation in case its submission is read later.
    fn cancel_job(&mut self, job: JobKey, now: Duration) {
        if !self.jobs.contains_key(&job) {
            self.early_cancellations.entry(job).or_insert(now);
        }
        self.end_job(job, JobPhase::Cancelled, now);
    }

    /// Forgets a job that the store no longer holds, if its deletion was ordered.
    fn forget_job(&mut self, job: JobKey) {
        if self.jobs.get(&job).is_some_and(|entry| entry.removal_ordered) {
            self.jobs.remove(&job);
        }
    }

    /// Ends a job and stops its runs.
    fn end_job(&mut self, job: JobKey, phase: JobPhase, now: Duration) {
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        if entry.phase.is_final() {
            return;
        }
        entry.phase = phase;
        entry.ended_at = Some(now);
        entry.mark_changed();
        let policy = self.config.queues.get(&entry.submission.queue);
        self.log_events.push(PlannerLogEvent::JobEnded {
            job,
            queue: entry.submission.queue.clone(),
            phase,
            age: now.saturating_sub(entry.accepted_at),
            objective: policy.map(|policy| objective(entry, policy)).unwrap_or_default(),
        });
        match phase {
            JobPhase::Completed => self.counts.completed += 1,
            JobPhase::Failed => self.counts.failed += 1,
            JobPhase::Active | JobPhase::Cancelled => {}
        }
        self.reservations.retain(|reservation| reservation.key.job != job);
        if phase == JobPhase::Completed {
            // The members of a gang end together; runs that outlast the gang are stopped by
            // maintenance.
            return;
        }
        let runs = self.runs_matching(|task| task.job == job);
        for (worker, task, run) in runs {
            self.order_stop(&worker, task, run, now);
        }
    }

    /// Returns all runs whose task satisfies a condition.
    fn runs_matching<F>(&self, condition: F) -> Vec<(WorkerId, TaskKey, RunNumber)>
    where
        F: Fn(&TaskKey) -> bool,
    {
        let mut found = Vec::new();
        for (id, worker) in &self.workers {
            let runs = worker.runs.keys().filter(|(task, _)| condition(task));
            found.extend(runs.map(|(task, run)| (id.clone(), *task, *run)));
        }
        found
    }

    /// Applies the list of workers from the directory.
    fn handle_worker_list(&mut self, listings: Vec<WorkerListing>) {
        self.recovery.record_worker_list();
        let listed: BTreeSet<WorkerId> =
            listings.iter().map(|listing| listing.id.clone()).collect();
        for (id, worker) in &mut self.workers {
            worker.listed = listed.contains(id);
        }
        for listing in listings {
            match self.workers.get_mut(&listing.id) {
                None => {
                    let fencing = FencingState::new(self.removed_raises);
                    let mut worker = WorkerEntry::new(listing, fencing);
                    worker.restore_speed(&self.stored_roster);
                    self.workers.insert(worker.listing.id.clone(), worker);
                }
                Some(worker) if listing.incarnation > worker.listing.incarnation => {
                    worker.listing = listing;
                    if worker.incarnation < worker.listing.incarnation {
                        worker.report = ReportState::Awaited;
                        worker.fencing.raise();
                    }
                }
                // The list may lag behind the worker's own reports.
                Some(worker) if listing.incarnation == worker.listing.incarnation => {
                    worker.listing = listing
                }
                Some(_) => {}
            }
        }
    }

    /// Applies the roster of the previous scheduler, whose workers may be listed already.
    fn handle_roster(&mut self, roster: WorkerRoster) {
        self.stored_roster = roster;
        self.workers.values_mut().for_each(|worker| worker.restore_speed(&self.stored_roster));
    }

    /// Records that progress is stored, and advances the acknowledgement of ends.
    fn record_progress_stored(&mut self, job: JobKey, sequence: u64) {
        if let Some(entry) = self.jobs.get_mut(&job) {
            entry.stored_sequence = entry.stored_sequence.max(sequence);
            if entry.stored_sequence == entry.sequence {
                entry.stored_phase = entry.phase;
            }
        }
        self.advance_acknowledgements();
    }

    /// Returns whether runs or ends of a job may be on workers that are not known yet.
    fn may_hide_runs(&self, job: &JobEntry) -> bool {
        self.recovery.may_hide_runs(&job.previous_workers, &self.workers)
    }

    /// Returns the first run number that this leadership uses.
    fn first_run(&self) -> RunNumber {
        let previous_epochs =
            RunNumber::try_from(self.settings.epoch.saturating_sub(1)).unwrap_or(0);
        previous_epochs.saturating_mul(RUNS_PER_EPOCH) + 1
    }
}
