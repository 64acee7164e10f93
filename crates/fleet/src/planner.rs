//! The planner: state of jobs and workers, and the events that change it.
//!
//! [`FleetPlanner::handle`] applies an event. [`FleetPlanner::plan`] then decides and returns orders;
//! a caller may apply several events before it asks for orders.
//!
//! A new scheduler knows which jobs exist from the store and what runs from the workers. The workers
//! of a job are announced in the store before a start is ordered there. A task that no worker lists
//! starts only when all announced workers of its job have reported, or the leases that the earlier
//! scheduler may have extended are certainly over: it may run on a worker that was not heard yet.

mod advice;
mod away;
mod dispatch;
mod ends;
mod lease;
mod notes;
mod pacing;
mod reservation;
mod start;
mod submission;
mod upkeep;
mod urgent;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use lacewingrail_model::{DomainName, Epoch, WorkerId};

pub use notes::{PlannerCounts, PlannerNote};

use self::reservation::Reservation;
use crate::config::FleetConfig;
use crate::event::{FleetEvent, StartOutcome, StartRefusal, WorkerListing};
use crate::job::{JobEntry, JobPhase, TaskPhase};
use crate::order::FleetOrder;
use crate::queue::{QueueOrder, WorkMeans, job_work, objective};
use crate::record::{JobProgress, WorkerRoster};
use crate::spec::{JobKey, JobSubmission, RunNumber, StepKey, TaskKey};
use crate::worker::{RunPhase, WorkerEntry};

/// Runs that one scheduler may give a task before its numbers reach those of the next scheduler.
const RUNS_PER_EPOCH: RunNumber = 1000;

/// Holds the bounds that the platform sets.
#[derive(Clone, Debug)]
pub struct PlannerSettings {
    /// Number of the leadership; serves as fencing token.
    pub epoch: Epoch,
    /// Longest lease that a worker grants.
    pub lease_duration: Duration,
    /// Time for which a scheduler that can't renew its leadership goes on renewing leases of workers.
    pub renewal_grace: Duration,
    /// Time for which a worker waits with an answer when it has no end to report.
    pub report_poll_timeout: Duration,
    /// Time after its end for which the state of a job is kept.
    pub ended_job_retention: Duration,
    /// Offset of the wall clock: milliseconds since the Unix epoch at time zero.
    pub unix_origin_ms: u64,
}

/// Decides over all jobs and workers of a region.
#[derive(Clone, Debug)]
pub struct FleetPlanner {
    settings: PlannerSettings,
    started: Duration,
    config: Arc<FleetConfig>,
    order: QueueOrder,
    domains_out: BTreeSet<DomainName>,
    jobs: BTreeMap<JobKey, JobEntry>,
    /// Jobs whose cancellation was read before their submission.
    early_cancels: BTreeSet<JobKey>,
    workers: BTreeMap<WorkerId, WorkerEntry>,
    listed_once: bool,
    recovered: bool,
    former_over: bool,
    starts_allowed: bool,
    digests: WorkerRoster,
    heard: BTreeSet<WorkerId>,
    roster_members: BTreeSet<WorkerId>,
    roster_stored: Duration,
    renewals_allowed: bool,
    reservations: Vec<Reservation>,
    /// Urgent jobs that their customers' guarantees cover, as of the newest planning pass.
    covered: BTreeSet<JobKey>,
    /// Questions to advisers in flight.
    questions: usize,
    broken_since: BTreeMap<StepKey, Duration>,
    means: WorkMeans,
    counts: PlannerCounts,
    notes: Vec<PlannerNote>,
    orders: Vec<FleetOrder>,
}

impl FleetPlanner {
    /// Creates the planner of a new leadership.
    pub fn new(settings: PlannerSettings, now: Duration) -> Self {
        Self {
            settings,
            started: now,
            config: Arc::default(),
            order: QueueOrder::default(),
            domains_out: BTreeSet::new(),
            jobs: BTreeMap::new(),
            early_cancels: BTreeSet::new(),
            workers: BTreeMap::new(),
            listed_once: false,
            recovered: false,
            former_over: false,
            starts_allowed: true,
            digests: WorkerRoster::new(),
            heard: BTreeSet::new(),
            roster_members: BTreeSet::new(),
            roster_stored: now,
            renewals_allowed: true,
            reservations: Vec::new(),
            covered: BTreeSet::new(),
            questions: 0,
            broken_since: BTreeMap::new(),
            means: WorkMeans::default(),
            counts: PlannerCounts::default(),
            notes: Vec::new(),
            orders: Vec::new(),
        }
    }

    /// Tells for how long the leadership has not been certain: at once nothing starts any more, and
    /// after the grace time no lease is renewed, so that a later scheduler knows when all runs ended.
    pub fn set_leadership_overdue(&mut self, overdue: Option<Duration>) {
        self.starts_allowed = overdue.is_none();
        self.renewals_allowed = overdue.is_none_or(|overdue| overdue < self.settings.renewal_grace);
    }

    /// Continues under a later leadership that no other scheduler has come between.
    pub fn set_epoch(&mut self, epoch: Epoch) {
        self.settings.epoch = epoch;
    }

    /// Sets how waiting work is ordered.
    pub fn set_queue_order(&mut self, order: QueueOrder) {
        self.order = order;
    }

    /// Returns what is worth a log line since the last call.
    pub fn take_notes(&mut self) -> Vec<PlannerNote> {
        std::mem::take(&mut self.notes)
    }

    /// Returns what the planner has done.
    pub fn counts(&self) -> PlannerCounts {
        self.counts
    }

    /// Returns a job.
    pub fn job(&self, key: JobKey) -> Option<&JobEntry> {
        self.jobs.get(&key)
    }

    /// Returns the workers.
    pub fn workers(&self) -> impl Iterator<Item = &WorkerEntry> {
        self.workers.values()
    }

    /// Returns whether every listed worker has reported or all former leases are over.
    pub fn is_recovered(&self) -> bool {
        self.recovered
    }

    /// Returns the number of jobs of a queue of which no task has started.
    pub fn pending_jobs(&self, queue: &str) -> usize {
        let waits = |entry: &&JobEntry| {
            entry.submission.queue == queue && !entry.begun && !entry.phase.is_final()
        };
        self.jobs.values().filter(waits).count()
    }

    /// Applies an event.
    pub fn apply_event(&mut self, now: Duration, event: FleetEvent) {
        match event {
            FleetEvent::ConfigChanged(config) => self.config = config,
            FleetEvent::DomainsOut(domains) => self.domains_out = domains,
            FleetEvent::WorkersListed(listings) => self.take_list(listings),
            FleetEvent::RosterLoaded(workers) => self.take_roster(workers),
            FleetEvent::JobAccepted { submission, progress, age } => {
                self.accept(submission, progress.as_ref(), now.saturating_sub(age), now);
            }
            FleetEvent::JobCancelled(job) => self.cancel(job, now),
            FleetEvent::LeaseAnswered { worker, sent, report } => {
                self.take_report(&worker, sent, report, now);
            }
            FleetEvent::LeaseUnanswered { worker, stale_token } => {
                self.note_silence(&worker, stale_token, now);
            }
            FleetEvent::StartAnswered { worker, task, run, outcome } => {
                self.take_start(&worker, task, run, outcome, now);
            }
            FleetEvent::AdviceAnswered { request, allowed } => {
                self.take_advice(&request, allowed.as_deref(), now);
            }
            FleetEvent::StopAnswered { worker, task, run, confirmed } => {
                self.take_stop(&worker, task, run, confirmed, now);
            }
            FleetEvent::CpuLimitUnconfirmed { worker, task, run } => {
                self.note_unpaced(&worker, task, run);
            }
            FleetEvent::ProgressStored { job, sequence } => self.note_stored(job, sequence),
            FleetEvent::ProgressNotStored { job } => {
                if let Some(entry) = self.jobs.get_mut(&job) {
                    entry.offered = entry.stored;
                }
            }
        }
    }

    /// Decides and returns all orders since the last call.
    pub fn plan(&mut self, now: Duration) -> Vec<FleetOrder> {
        self.keep_up(now);
        self.adapt_pace(now);
        self.dispatch(now);
        self.renew(now);
        self.offer_progress();
        std::mem::take(&mut self.orders)
    }

    fn accept(
        &mut self,
        submission: Arc<JobSubmission>,
        progress: Option<&JobProgress>,
        accepted: Duration,
        now: Duration,
    ) {
        let key = submission.key;
        if self.jobs.contains_key(&key) {
            return;
        }
        if !submission.spec.steps.is_empty() {
            self.means.note(&submission.queue, job_work(&submission.spec.steps));
        }
        let mut entry = JobEntry::new(submission, progress, accepted);
        if entry.phase.is_final() {
            entry.ended = Some(now);
        }
        self.jobs.insert(key, entry);
        if self.early_cancels.remove(&key) {
            self.cancel(key, now);
        }
    }

    fn cancel(&mut self, job: JobKey, now: Duration) {
        if !self.jobs.contains_key(&job) {
            self.early_cancels.insert(job);
        }
        self.end_job(job, JobPhase::Cancelled, now);
    }

    /// Ends a job and stops what it has running.
    fn end_job(&mut self, job: JobKey, phase: JobPhase, now: Duration) {
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        if entry.phase.is_final() {
            return;
        }
        entry.phase = phase;
        entry.ended = Some(now);
        entry.touch();
        let policy = self.config.queues.get(&entry.submission.queue);
        self.notes.push(PlannerNote::JobEnded {
            job,
            queue: entry.submission.queue.clone(),
            phase,
            age: now.saturating_sub(entry.accepted),
            objective: policy.map(|policy| objective(entry, policy)).unwrap_or_default(),
        });
        match phase {
            JobPhase::Completed => self.counts.completed += 1,
            JobPhase::Failed => self.counts.failed += 1,
            JobPhase::Active | JobPhase::Cancelled => {}
        }
        self.reservations.retain(|reservation| reservation.key.job != job);
        if phase == JobPhase::Completed {
            // The members of a gang end together; what is still there later is stopped then.
            return;
        }
        let runs = self.runs_of(|task| task.job == job);
        for (worker, task, run) in runs {
            self.order_stop(&worker, task, run, now);
        }
    }

    /// Returns the runs of all workers whose task satisfies a condition.
    fn runs_of<F>(&self, condition: F) -> Vec<(WorkerId, TaskKey, RunNumber)>
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

    fn take_list(&mut self, listings: Vec<WorkerListing>) {
        self.listed_once = true;
        let named: BTreeSet<WorkerId> = listings.iter().map(|listing| listing.id.clone()).collect();
        for (id, worker) in &mut self.workers {
            worker.listed = named.contains(id);
        }
        for listing in listings {
            match self.workers.get_mut(&listing.id) {
                None => {
                    let mut worker = WorkerEntry::new(listing);
                    worker.recall(&self.digests);
                    self.workers.insert(worker.listing.id.clone(), worker);
                }
                Some(worker) if listing.incarnation > worker.listing.incarnation => {
                    worker.listing = listing;
                    worker.looked_at &= worker.life == worker.listing.incarnation;
                }
                // A list may lag behind what the worker said itself.
                Some(worker) if listing.incarnation == worker.listing.incarnation => {
                    worker.listing = listing
                }
                Some(_) => {}
            }
        }
    }

    /// Takes what an earlier scheduler knew of the workers, which may be listed already.
    fn take_roster(&mut self, roster: WorkerRoster) {
        self.digests = roster;
        self.workers.values_mut().for_each(|worker| worker.recall(&self.digests));
    }

    /// Returns a task to the queue unless it is done or was given to another run since.
    fn unassign(&mut self, worker: &str, task: TaskKey, run: RunNumber) {
        let entry = self.jobs.get_mut(&task.job).and_then(|job| job.task_mut(task));
        if let Some(entry) = entry
            && entry.phase == (TaskPhase::Assigned { worker: worker.to_owned(), run })
        {
            entry.phase = TaskPhase::Waiting;
        }
    }

    /// Removes a run whose end is known and returns its task to the queue.
    fn release(&mut self, worker: &str, task: TaskKey, run: RunNumber) {
        if let Some(entry) = self.workers.get_mut(worker) {
            entry.remove_run(task, run);
        }
        self.unassign(worker, task, run);
    }

    fn take_start(
        &mut self,
        worker: &str,
        task: TaskKey,
        run: RunNumber,
        outcome: StartOutcome,
        now: Duration,
    ) {
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(run_entry) = entry.runs.get_mut(&(task, run)) else {
            return;
        };
        match outcome {
            StartOutcome::Started => {
                run_entry.confirmed.get_or_insert(now);
                if run_entry.phase == RunPhase::Starting {
                    run_entry.phase = RunPhase::Running;
                }
                return;
            }
            StartOutcome::Refused(StartRefusal::StaleToken) => {
                self.orders.push(FleetOrder::StepDown);
            }
            StartOutcome::Refused(StartRefusal::NoTicket) => {
                let step = self.jobs.get_mut(&task.job);
                let step = step.and_then(|job| job.step_mut(task.step_key()));
                if let Some(step) = step {
                    step.advice.forget(worker);
                }
            }
            StartOutcome::Refused(_) | StartOutcome::Unclear => entry.pause(now),
        }
        self.counts.failed_starts += 1;
        if outcome == StartOutcome::Unclear {
            self.order_stop(worker, task, run, now);
        } else {
            self.release(worker, task, run);
        }
        self.stop_gang_rest(task, now);
    }

    fn take_stop(
        &mut self,
        worker: &str,
        task: TaskKey,
        run: RunNumber,
        answered: bool,
        now: Duration,
    ) {
        let entry = self.workers.get_mut(worker).and_then(|entry| entry.runs.get_mut(&(task, run)));
        if let Some(run_entry) = entry
            && let RunPhase::Stopping { confirmed, .. } = &mut run_entry.phase
            && answered
        {
            confirmed.get_or_insert(now);
        }
    }

    /// Stops the other members of a gang of which one can't run.
    fn stop_gang_rest(&mut self, task: TaskKey, now: Duration) {
        let gang = self.task_spec(task);
        if !gang.is_some_and(|spec| spec.gang) {
            return;
        }
        let same_step = |other: &TaskKey| {
            other.job == task.job && other.occurrence == task.occurrence && other.step == task.step
        };
        for (worker, task, run) in self.runs_of(same_step) {
            self.order_stop(&worker, task, run, now);
        }
    }

    /// Orders the stop of a run unless that was done already.
    fn order_stop(&mut self, worker: &str, task: TaskKey, run: RunNumber, now: Duration) {
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(run_entry) = entry.runs.get_mut(&(task, run)) else {
            return;
        };
        if matches!(run_entry.phase, RunPhase::Stopping { .. }) {
            return;
        }
        run_entry.phase = RunPhase::Stopping { ordered: now, confirmed: None };
        let target = entry.listing.target(task, run);
        self.orders.push(FleetOrder::Stop(target));
    }

    fn note_stored(&mut self, job: JobKey, sequence: u64) {
        if let Some(entry) = self.jobs.get_mut(&job) {
            entry.stored = entry.stored.max(sequence);
            if entry.stored == entry.sequence {
                entry.stored_phase = entry.phase;
            }
        }
        let jobs = &self.jobs;
        let stored = |job: JobKey| jobs.get(&job).map_or(u64::MAX, |entry| entry.stored);
        self.workers.values_mut().for_each(|worker| worker.advance_ends(stored));
    }

    /// Returns whether tasks of a job may run on a worker that has not been heard.
    fn awaits_workers(&self, job: &JobEntry) -> bool {
        !self.former_over && job.former.iter().any(|worker| !self.heard.contains(worker))
    }

    /// Returns the lowest run number of this leadership.
    fn first_run(&self) -> RunNumber {
        let earlier = RunNumber::try_from(self.settings.epoch.saturating_sub(1)).unwrap_or(0);
        earlier.saturating_mul(RUNS_PER_EPOCH) + 1
    }
}
