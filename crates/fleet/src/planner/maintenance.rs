//! Actions that are due with time: expiry of leases, retries of stops, ends of broken and stalled
//! runs, lease renewals, and writes to the store.

use std::time::Duration;

use super::{FleetPlanner, PlannerLogEvent};
use crate::job::JobEntry;
use crate::order::{FleetOrder, RenewOrder};
use crate::record::RosterEntry;
use crate::recovery::ReportState;
use crate::run::{RunEntry, RunPhase};
use crate::spec::{StepKey, TaskKey};
use crate::step::TaskPhase;
use crate::worker::{STOP_RETRY_DELAY, WorkerEntry};

/// Number of times that a lease is renewed within its duration while ends wait to be stored.
const RENEWALS_PER_LEASE: u32 = 4;
/// Time between writes of the roster. A new scheduler takes as long to learn again what was not
/// written.
const ROSTER_INTERVAL: Duration = Duration::from_secs(2);
/// Time between calls to a worker that does not answer, or has left a start or stop unanswered.
const UNANSWERED_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Time between reports of a worker whose ends wait for a start that may be late: it answers at once
/// while it has ends that are not acknowledged.
const UNCLEAR_REPORT_INTERVAL: Duration = Duration::from_millis(150);
/// Time for which the ends of all members of a gang are awaited before the remaining runs are
/// stopped.
const GANG_END_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum number of workers that are asked for their first report at a time. More answers at once
/// would hold up the renewal of the leadership and the calls of clients on a small instance.
const MAX_FIRST_REPORTS_IN_FLIGHT: usize = 64;
/// Time after which an unanswered request for a first report no longer counts against
/// [`MAX_FIRST_REPORTS_IN_FLIGHT`].
const FIRST_REPORT_TIMEOUT: Duration = Duration::from_millis(200);
/// Number of busy workers above which reports are requested half as often, since reports are most
/// of the scheduler's work.
const LARGE_FLEET_BUSY_WORKERS: usize = 500;
/// Number of reports without progress after which a run has stalled, in addition to a share of its
/// run time.
const STALL_REPORT_COUNT: u32 = 2;
/// Time added to the wait for these reports, since one of them may be late.
const STALL_MARGIN: Duration = Duration::from_millis(200);
/// Share of its declared run time that a task needs for one percent point on a slow worker far from
/// its data.
const STALL_RUN_TIME_SHARE: f64 = 0.06;

impl FleetPlanner {
    /// Carries out everything that is due at `now`, except for renewals and writes of progress.
    pub(super) fn run_maintenance(&mut self, now: Duration) {
        self.close_expired_starts(now);
        self.release_lapsed_runs(now);
        self.repeat_unclear_starts(now);
        self.retry_stops(now);
        self.recovery.update(self.workers.values(), now);
        self.stop_broken_gangs(now);
        self.stop_runs_of_done_tasks(now);
        self.stop_stalled_runs(now);
        self.add_due_occurrences(now);
        self.remove_ended_jobs(now);
        self.remove_early_cancellations(now);
    }

    /// Closes start orders that are too old to be carried out, and releases what has waited for them.
    fn close_expired_starts(&mut self, now: Duration) {
        let unclear_count = self.open_starts.unclear_count();
        self.open_starts.close_expired(&self.workers, now);
        if self.open_starts.unclear_count() < unclear_count {
            self.advance_acknowledgements();
        }
        let unclear_workers = self.open_starts.unclear_workers();
        for (id, worker) in &mut self.workers {
            worker.has_unclear_starts = unclear_workers.contains(id);
        }
    }

    /// Releases the runs on workers whose lease has certainly expired, and removes workers that are
    /// no longer needed.
    fn release_lapsed_runs(&mut self, now: Duration) {
        let mut lapsed = Vec::new();
        for (id, worker) in &self.workers {
            if worker.runs.is_empty() || !worker.is_lease_expired(now) {
                continue;
            }
            if worker.has_unclear_starts && self.open_starts.may_extend_lease(worker) {
                continue;
            }
            let ended = worker.runs.iter().filter(|(_, run)| !worker.may_outlast_lease(run));
            let count = lapsed.len();
            lapsed.extend(ended.map(|((task, run), _)| (id.clone(), *task, *run)));
            let runs = lapsed.len() - count;
            if runs > 0 {
                self.log_events.push(PlannerLogEvent::LeaseLapsed { worker: id.clone(), runs });
            }
        }
        for (worker, task, run) in lapsed {
            self.release_run(&worker, task, run);
        }
        let recovered = self.is_recovered();
        let removed_raises = &mut self.removed_raises;
        self.workers.retain(|_, worker| {
            let unknown = match worker.report {
                ReportState::Awaited => !recovered,
                ReportState::Partial => true,
                ReportState::Complete => false,
            };
            let is_needed =
                worker.listed || worker.renewal_in_flight || unknown || !worker.runs.is_empty();
            if !is_needed {
                *removed_raises = worker.fencing.raises().max(*removed_raises);
            }
            is_needed
        });
        if recovered {
            self.store_roster(now);
        }
    }

    /// Orders a write of the roster when the set of workers has changed, and at intervals.
    fn store_roster(&mut self, now: Duration) {
        let due = now.saturating_sub(self.roster_stored_at) >= ROSTER_INTERVAL;
        let changed = !self.workers.keys().eq(self.roster_members.iter());
        if !due && !changed {
            return;
        }
        self.roster_stored_at = now;
        self.roster_members = self.workers.keys().cloned().collect();
        let entry = |worker: &WorkerEntry| RosterEntry {
            born: worker.listing.incarnation,
            speed: worker.speed,
        };
        let roster = self.workers.iter().map(|(id, worker)| (id.clone(), entry(worker)));
        self.orders.push(FleetOrder::StoreRoster(roster.collect()));
    }

    /// Repeats stop orders that were not confirmed in time.
    fn retry_stops(&mut self, now: Duration) {
        for worker in self.workers.values_mut() {
            let token = worker.fencing.token(self.settings.epoch);
            for ((task, run), entry) in &mut worker.runs {
                if let RunPhase::Stopping { ordered, confirmed: None } = &mut entry.phase
                    && now.saturating_sub(*ordered) >= STOP_RETRY_DELAY
                {
                    *ordered = now;
                    let target = worker.listing.task_run(*task, *run, token);
                    self.orders.push(FleetOrder::Stop(target));
                }
            }
        }
    }

    /// Stops gangs of which some members run while others wait for a start.
    fn stop_broken_gangs(&mut self, now: Duration) {
        let mut broken: Vec<TaskKey> = Vec::new();
        for (job, entry) in &self.jobs {
            if entry.phase.is_final() || self.may_hide_runs(entry) {
                continue;
            }
            for occurrence in &entry.occurrences {
                for (index, step) in occurrence.steps.iter().enumerate() {
                    let gang = entry.submission.spec.steps[index].gang;
                    if gang && step.waiting_count() > 0 && step.is_assigned() {
                        let (occurrence, step) = (occurrence.number, index as u32);
                        broken.push(TaskKey { job: *job, occurrence, step, index: 0 });
                    }
                }
            }
        }
        let is_broken = |key: &StepKey| broken.iter().any(|task| task.step_key() == *key);
        self.gangs_broken_since.retain(|key, _| is_broken(key));
        for task in broken {
            self.stop_overdue_gang(task, now);
        }
    }

    /// Stops runs that make no progress, so that their tasks start again on another worker.
    fn stop_stalled_runs(&mut self, now: Duration) {
        let stall_time = self.report_poll_timeout() * STALL_REPORT_COUNT + STALL_MARGIN;
        let mut stalled = Vec::new();
        for (id, worker) in &self.workers {
            for ((task, run), entry) in &worker.runs {
                let is_stalled = self.is_stalled(*task, entry, stall_time, now);
                // A run that an incomplete report leaves out may have ended.
                let is_reported =
                    worker.report == ReportState::Complete && worker.report_age(now) < stall_time;
                if is_stalled && is_reported {
                    stalled.push((id.clone(), *task, *run));
                }
            }
        }
        for (worker, task, run) in stalled {
            if let Some(entry) = self.workers.get_mut(&worker) {
                let failures = entry.record_failure(now);
                let worker = worker.clone();
                self.log_events.push(PlannerLogEvent::WorkerBackoff { worker, failures });
            }
            self.order_stop(&worker, task, run, now);
            self.stop_gang(task, now);
        }
    }

    /// Returns whether a run has made no progress for longer than one percent point takes on a slow
    /// worker.
    fn is_stalled(
        &self,
        task: TaskKey,
        run: &RunEntry,
        stall_time: Duration,
        now: Duration,
    ) -> bool {
        let Some(spec) = self.task_spec(task).filter(|spec| !spec.continuous && !spec.fills) else {
            return false;
        };
        let timeout = stall_time + spec.estimate.mul_f64(STALL_RUN_TIME_SHARE);
        run.phase == RunPhase::Running
            && run.percent < 100
            && now.saturating_sub(run.progressed_at) > timeout
    }

    /// Stops runs of tasks that are done, for example after a start that was carried out late.
    fn stop_runs_of_done_tasks(&mut self, now: Duration) {
        let is_done = |task: &TaskKey| {
            let entry = self.jobs.get(&task.job).and_then(|job| job.task(*task));
            entry.is_some_and(|entry| entry.phase == TaskPhase::Done)
        };
        let mut runs_to_stop = Vec::new();
        for (id, worker) in &self.workers {
            let of_done_tasks = worker.runs.iter().filter(|((task, _), run)| {
                let was_confirmed_long_ago =
                    run.confirmed.is_some_and(|at| now.saturating_sub(at) >= GANG_END_TIMEOUT);
                was_confirmed_long_ago && worker.report_age(now) < GANG_END_TIMEOUT && is_done(task)
            });
            runs_to_stop.extend(of_done_tasks.map(|((task, run), _)| (id.clone(), *task, *run)));
        }
        let is_overdue = |task: &TaskKey| {
            let step = self.jobs.get(&task.job).and_then(|job| job.occurrence(task.occurrence));
            let step = step.and_then(|entry| entry.steps.get(task.step as usize));
            step.and_then(|step| step.last_done_at)
                .is_none_or(|at| now.saturating_sub(at) >= GANG_END_TIMEOUT)
        };
        runs_to_stop.retain(|(_, task, _)| is_overdue(task));
        for (worker, task, run) in runs_to_stop {
            self.order_stop(&worker, task, run, now);
        }
    }

    /// Stops a broken gang once its members have had time to end.
    fn stop_overdue_gang(&mut self, task: TaskKey, now: Duration) {
        let key = task.step_key();
        let since = self.gangs_broken_since.entry(key).or_insert(now);
        if now.saturating_sub(*since) >= GANG_END_TIMEOUT {
            self.gangs_broken_since.remove(&key);
            self.stop_gang(task, now);
        }
    }

    /// Adds the next occurrence of each recurring job that is due.
    fn add_due_occurrences(&mut self, now: Duration) {
        let unix_ms = self.settings.unix_origin_ms + now.as_millis() as u64;
        for entry in self.jobs.values_mut() {
            let Some(schedule) = entry.submission.spec.schedule.clone() else {
                continue;
            };
            let next = entry.occurrences.len() as u32;
            let period_ms = schedule.period.as_millis() as u64;
            let since_first = u64::from(next).saturating_mul(period_ms);
            let due = schedule.first_unix_ms.saturating_add(since_first);
            if !entry.phase.is_final() && next < schedule.times && unix_ms >= due {
                entry.add_occurrences_through(next);
            }
        }
    }

    /// Orders the deletion of jobs that ended long ago, once their end is stored.
    ///
    /// A job is forgotten only when the store shows that it is deleted. Until then, the store may
    /// list it once more, and it must not be taken for a new one.
    fn remove_ended_jobs(&mut self, now: Duration) {
        let retention = self.settings.ended_job_retention;
        let is_expired = |entry: &JobEntry| {
            entry.ended_at.is_some_and(|ended_at| now.saturating_sub(ended_at) >= retention)
                && entry.stored_sequence == entry.sequence
        };
        for (job, entry) in &mut self.jobs {
            if !entry.removal_ordered && is_expired(entry) {
                entry.removal_ordered = true;
                self.orders.push(FleetOrder::RemoveJob(*job));
            }
        }
    }

    /// Orders the deletion of cancellations whose submission has not come in the time for which an
    /// ended job is stored. It can't be under way any longer.
    fn remove_early_cancellations(&mut self, now: Duration) {
        let retention = self.settings.ended_job_retention;
        let orders = &mut self.orders;
        self.early_cancellations.retain(|job, known_at| {
            let is_recent = now.saturating_sub(*known_at) < retention;
            if !is_recent {
                orders.push(FleetOrder::RemoveJob(*job));
            }
            is_recent
        });
    }

    /// Asks workers for reports and extends their leases, unless renewals are not allowed.
    pub(super) fn renew_leases(&mut self, now: Duration) {
        if !self.renewals_allowed {
            return;
        }
        let (lease, poll_timeout) = (self.settings.lease_duration, self.report_poll_timeout());
        let epoch = self.settings.epoch;
        let mut first_reports =
            MAX_FIRST_REPORTS_IN_FLIGHT.saturating_sub(self.first_reports_in_flight(now));
        let has_unclear_starts = self.open_starts.unclear_count() > 0;
        let pending_interval =
            if has_unclear_starts { UNCLEAR_REPORT_INTERVAL } else { lease / RENEWALS_PER_LEASE };
        let awaited = self.open_starts.awaited_workers(now);
        for (id, worker) in &mut self.workers {
            let is_awaited = worker.unanswered_renewals == 0 && awaited.contains(id);
            let is_due = is_awaited || needs_renewal(worker, pending_interval, now);
            if worker.renewal_in_flight || !is_due {
                continue;
            }
            if worker.report == ReportState::Awaited && worker.unanswered_renewals == 0 {
                if first_reports == 0 {
                    continue;
                }
                first_reports -= 1;
            }
            let lease_end = worker.next_lease_end(now, lease);
            let may_wait = worker.report == ReportState::Complete
                && !worker.ends.has_pending()
                && !worker.withholds_acknowledgement()
                && worker.unanswered_renewals == 0;
            let acknowledge = worker.next_acknowledgement();
            let has_lease = lease_end.is_some();
            let token = worker.record_renewal_sent(acknowledge, has_lease, epoch, now);
            self.orders.push(FleetOrder::Renew(RenewOrder {
                worker: id.clone(),
                address: worker.listing.address.clone(),
                lease_end,
                acknowledge,
                poll_timeout: if may_wait && !worker.runs.is_empty() {
                    poll_timeout
                } else {
                    Duration::ZERO
                },
                token,
            }));
        }
    }

    /// Returns how many workers have recently been asked for their first report and have not
    /// answered yet.
    fn first_reports_in_flight(&self, now: Duration) -> usize {
        let in_flight = |worker: &&WorkerEntry| {
            let is_recent = worker
                .renewal_sent_at
                .is_some_and(|at| now.saturating_sub(at) < FIRST_REPORT_TIMEOUT);
            let is_first = worker.report == ReportState::Awaited;
            worker.renewal_in_flight && is_first && is_recent
        };
        self.workers.values().filter(in_flight).count()
    }

    /// Returns the time for which a worker may hold a report back until it has an end to report.
    fn report_poll_timeout(&self) -> Duration {
        let busy = self.workers.values().filter(|worker| !worker.runs.is_empty()).count();
        if busy > LARGE_FLEET_BUSY_WORKERS {
            self.settings.report_poll_timeout * 2
        } else {
            self.settings.report_poll_timeout
        }
    }

    /// Orders the write of all progress that has changed.
    pub(super) fn store_progress(&mut self) {
        for (job, entry) in &mut self.jobs {
            if entry.issued_sequence < entry.sequence {
                entry.issued_sequence = entry.sequence;
                let progress = entry.progress();
                self.orders.push(FleetOrder::StoreProgress { job: *job, progress });
            }
        }
    }
}

/// Returns whether a worker's lease should be renewed, or its report read, now. While ends wait to be
/// stored, or for a start that may be late, that is at intervals and whenever a stop was confirmed.
fn needs_renewal(worker: &WorkerEntry, pending_interval: Duration, now: Duration) -> bool {
    let elapsed =
        worker.renewal_sent_at.map_or(Duration::MAX, |sent_at| now.saturating_sub(sent_at));
    if worker.unanswered_renewals > 0 {
        return (worker.listed || !worker.runs.is_empty()) && elapsed >= UNANSWERED_RETRY_DELAY;
    }
    if worker.report == ReportState::Awaited {
        return true;
    }
    if worker.ends.has_pending() {
        return !worker.runs.is_empty()
            && (elapsed >= pending_interval || worker.has_unreported_stops());
    }
    if worker.withholds_acknowledgement() {
        let interval = if worker.has_unclear_starts {
            UNCLEAR_REPORT_INTERVAL
        } else {
            UNANSWERED_RETRY_DELAY
        };
        return worker.can_locate_runs() || worker.has_unreported_stops() || elapsed >= interval;
    }
    worker.report == ReportState::Partial || worker.ends.due().is_some() || !worker.runs.is_empty()
}
