//! What is due with time: lapsed leases, repeated stops, broken gangs, renewals and storing.

use std::time::Duration;

use super::{FleetPlanner, PlannerNote};
use crate::job::{JobEntry, TaskPhase};
use crate::order::{FleetOrder, RenewOrder};
use crate::record::WorkerDigest;
use crate::spec::{StepKey, TaskKey};
use crate::worker::{RunEntry, RunPhase, STOP_RETRY, WorkerEntry};

/// Share of the lease after which a renewal is sent although ends wait to be stored.
const RENEW_SHARE: u32 = 4;
/// Time between writes of what is known of the workers; a new scheduler learns it anew in as long.
const ROSTER_PERIOD: Duration = Duration::from_secs(2);
/// Time between attempts to reach a worker that does not answer.
const SILENT_RETRY: Duration = Duration::from_millis(300);
/// Time for which the ends of the other members of a gang are awaited before they are stopped.
const GANG_END_WAIT: Duration = Duration::from_millis(700);
/// Workers that are looked at for the first time at once. What comes back from more of them would hold
/// up the renewals of the leadership and the calls of clients on a small instance.
const FIRST_LOOKS: usize = 64;
/// Time after which the first look at a silent worker makes room for others.
const LOOK_TIME: Duration = Duration::from_millis(200);
/// Busy workers from which on reports are asked for half as often: they are most of the work.
const MANY_WORKERS: usize = 500;
/// Reports without progress, beside a share of the run time, after which a run has stalled.
const STALL_REPORTS: u32 = 2;
/// Time added to these for a report that is late.
const STALL_MARGIN: Duration = Duration::from_millis(200);
/// Share of the declared run time that a slow worker far from the data needs for a percent point.
const STALL_SHARE: f64 = 0.06;
/// Factor on the lease after which nothing of an earlier scheduler runs any more: the slowest clock
/// and a renewal that was under way.
const FORMER_LEASE_FACTOR: f64 = 1.05;

impl FleetPlanner {
    pub(super) fn keep_up(&mut self, now: Duration) {
        self.drop_lapsed(now);
        self.repeat_stops(now);
        self.check_recovery(now);
        self.stop_broken_gangs(now);
        self.stop_leftovers(now);
        self.stop_stalled(now);
        self.add_due_occurrences(now);
        self.forget_ended(now);
    }

    /// Releases what ran on workers whose lease is certainly over.
    fn drop_lapsed(&mut self, now: Duration) {
        let mut lapsed = Vec::new();
        for (id, worker) in &self.workers {
            if !worker.runs.is_empty() && worker.is_lease_over(now) {
                let note = PlannerNote::LeaseLapsed { worker: id.clone(), runs: worker.runs.len() };
                self.notes.push(note);
                lapsed.extend(worker.runs.keys().map(|(task, run)| (id.clone(), *task, *run)));
            }
        }
        for (worker, task, run) in lapsed {
            self.release(&worker, task, run);
        }
        let recovered = self.recovered;
        self.workers.retain(|_, worker| {
            let unheard = !worker.looked_at && !recovered;
            worker.listed || worker.renewing || unheard || !worker.runs.is_empty()
        });
        if recovered {
            self.offer_roster(now);
        }
    }

    /// Offers the list of workers for storing when it changes, and what is known of them at times.
    fn offer_roster(&mut self, now: Duration) {
        let due = now.saturating_sub(self.roster_stored) >= ROSTER_PERIOD;
        let changed = !self.workers.keys().eq(self.roster_members.iter());
        if !due && !changed {
            return;
        }
        self.roster_stored = now;
        self.roster_members = self.workers.keys().cloned().collect();
        let digest = |worker: &WorkerEntry| WorkerDigest {
            born: worker.listing.incarnation,
            speed: worker.speed,
        };
        let roster = self.workers.iter().map(|(id, worker)| (id.clone(), digest(worker)));
        self.orders.push(FleetOrder::StoreRoster(roster.collect()));
    }

    fn repeat_stops(&mut self, now: Duration) {
        for worker in self.workers.values_mut() {
            for ((task, run), entry) in &mut worker.runs {
                if let RunPhase::Stopping { ordered, confirmed: None } = &mut entry.phase
                    && now.saturating_sub(*ordered) >= STOP_RETRY
                {
                    *ordered = now;
                    let target = worker.listing.target(*task, *run);
                    self.orders.push(FleetOrder::Stop(target));
                }
            }
        }
    }

    fn check_recovery(&mut self, now: Duration) {
        if self.former_over || !self.listed_once {
            return;
        }
        let former =
            self.settings.renewal_grace + self.settings.lease_duration.mul_f64(FORMER_LEASE_FACTOR);
        self.former_over = now.saturating_sub(self.started) > former;
        let heard = self.workers.values().all(|worker| worker.looked_at);
        self.recovered |= self.former_over || (heard && !self.workers.is_empty());
    }

    /// Stops gangs of which some members run and others do not.
    fn stop_broken_gangs(&mut self, now: Duration) {
        let mut broken: Vec<TaskKey> = Vec::new();
        for (job, entry) in &self.jobs {
            if entry.phase.is_final() || self.awaits_workers(entry) {
                continue;
            }
            for occurrence in &entry.occurrences {
                for (index, step) in occurrence.steps.iter().enumerate() {
                    let gang = entry.submission.spec.steps[index].gang;
                    let waits = step.tasks.iter().any(|task| task.phase == TaskPhase::Waiting);
                    if gang && waits && step.is_assigned() {
                        let (occurrence, step) = (occurrence.number, index as u32);
                        broken.push(TaskKey { job: *job, occurrence, step, index: 0 });
                    }
                }
            }
        }
        let is_broken = |key: &StepKey| broken.iter().any(|task| task.step_key() == *key);
        self.broken_since.retain(|key, _| is_broken(key));
        for task in broken {
            self.stop_overdue_members(task, now);
        }
    }

    /// Stops runs that make no progress, so that they start again on another worker.
    fn stop_stalled(&mut self, now: Duration) {
        let stall_time = self.report_wait() * STALL_REPORTS + STALL_MARGIN;
        let mut stalled = Vec::new();
        for (id, worker) in &self.workers {
            for ((task, run), entry) in &worker.runs {
                let stalls = self.is_stalled(*task, entry, stall_time, now);
                if stalls && worker.report_age(now) < stall_time {
                    stalled.push((id.clone(), *task, *run));
                }
            }
        }
        for (worker, task, run) in stalled {
            if let Some(entry) = self.workers.get_mut(&worker) {
                let failures = entry.note_failure(now);
                let worker = worker.clone();
                self.notes.push(PlannerNote::WorkerBackoff { worker, failures });
            }
            self.order_stop(&worker, task, run, now);
            self.stop_gang_rest(task, now);
        }
    }

    /// Returns whether a run should have progressed: its whole percent points take far less time.
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
        let patience = stall_time + spec.estimate.mul_f64(STALL_SHARE);
        run.phase == RunPhase::Running
            && run.percent < 100
            && now.saturating_sub(run.progressed) > patience
    }

    /// Stops runs of tasks that are done, such as one carried out late.
    fn stop_leftovers(&mut self, now: Duration) {
        let done = |task: &TaskKey| {
            let entry = self.jobs.get(&task.job).and_then(|job| job.task(*task));
            entry.is_some_and(|entry| entry.phase == TaskPhase::Done)
        };
        let mut leftovers = Vec::new();
        for (id, worker) in &self.workers {
            let old = worker.runs.iter().filter(|((task, _), run)| {
                let reported =
                    run.confirmed.is_some_and(|at| now.saturating_sub(at) >= GANG_END_WAIT);
                reported && worker.report_age(now) < GANG_END_WAIT && done(task)
            });
            leftovers.extend(old.map(|((task, run), _)| (id.clone(), *task, *run)));
        }
        let overdue = |task: &TaskKey| {
            let step = self.jobs.get(&task.job).and_then(|job| job.occurrence(task.occurrence));
            let step = step.and_then(|entry| entry.steps.get(task.step as usize));
            step.and_then(|step| step.done_since)
                .is_none_or(|at| now.saturating_sub(at) >= GANG_END_WAIT)
        };
        leftovers.retain(|(_, task, _)| overdue(task));
        for (worker, task, run) in leftovers {
            self.order_stop(&worker, task, run, now);
        }
    }

    fn stop_overdue_members(&mut self, task: TaskKey, now: Duration) {
        let key = task.step_key();
        let since = self.broken_since.entry(key).or_insert(now);
        if now.saturating_sub(*since) >= GANG_END_WAIT {
            self.broken_since.remove(&key);
            self.stop_gang_rest(task, now);
        }
    }

    fn add_due_occurrences(&mut self, now: Duration) {
        let unix_ms = self.settings.unix_origin_ms + now.as_millis() as u64;
        for entry in self.jobs.values_mut() {
            let Some(schedule) = entry.submission.spec.schedule.clone() else {
                continue;
            };
            let next = entry.occurrences.len() as u32;
            let period_ms = schedule.period.as_millis() as u64;
            let due = schedule.first_unix_ms + u64::from(next) * period_ms;
            if !entry.phase.is_final() && next < schedule.times && unix_ms >= due {
                entry.add_occurrence(next);
            }
        }
    }

    fn forget_ended(&mut self, now: Duration) {
        let keep = self.settings.ended_job_retention;
        let over = |entry: &JobEntry| {
            entry.ended.is_some_and(|ended| now.saturating_sub(ended) >= keep)
                && entry.stored == entry.sequence
        };
        let forgotten = self.jobs.extract_if(.., |_, entry| over(entry));
        self.orders.extend(forgotten.map(|(job, _)| FleetOrder::RemoveJob(job)));
    }

    /// Asks workers for reports and extends their leases.
    pub(super) fn renew(&mut self, now: Duration) {
        if !self.renewals_allowed {
            return;
        }
        let (lease, wait) = (self.settings.lease_duration, self.report_wait());
        let mut first_looks = FIRST_LOOKS.saturating_sub(self.first_looks_in_flight(now));
        for (id, worker) in &mut self.workers {
            if worker.renewing || !needs_renewal(worker, lease, now) {
                continue;
            }
            if !worker.looked_at && worker.unanswered == 0 {
                if first_looks == 0 {
                    continue;
                }
                first_looks -= 1;
            }
            let lease_end = worker.next_lease_end(now, lease);
            let waits = worker.looked_at && !worker.awaits_storage() && worker.unanswered == 0;
            worker.renewing = true;
            worker.renewed = Some(now);
            self.orders.push(FleetOrder::Renew(RenewOrder {
                worker: id.clone(),
                address: worker.listing.address.clone(),
                lease_end,
                acknowledge: worker.acknowledgeable(),
                poll_timeout: if waits && !worker.runs.is_empty() { wait } else { Duration::ZERO },
            }));
            worker.note_acknowledged(worker.acknowledgeable());
        }
    }

    /// Returns how many workers are being looked at for the first time and may answer at any moment.
    fn first_looks_in_flight(&self, now: Duration) -> usize {
        let in_flight = |worker: &&WorkerEntry| {
            let young = worker.renewed.is_some_and(|at| now.saturating_sub(at) < LOOK_TIME);
            worker.renewing && !worker.looked_at && young
        };
        self.workers.values().filter(in_flight).count()
    }

    /// Returns for how long a worker may wait with a report when it has no end to report.
    fn report_wait(&self) -> Duration {
        let busy = self.workers.values().filter(|worker| !worker.runs.is_empty()).count();
        if busy > MANY_WORKERS {
            self.settings.report_poll_timeout * 2
        } else {
            self.settings.report_poll_timeout
        }
    }

    /// Offers changed progress for storing.
    pub(super) fn offer_progress(&mut self) {
        for (job, entry) in &mut self.jobs {
            if entry.offered < entry.sequence {
                entry.offered = entry.sequence;
                let progress = entry.progress();
                self.orders.push(FleetOrder::StoreProgress { job: *job, progress });
            }
        }
    }
}

fn needs_renewal(worker: &WorkerEntry, lease: Duration, now: Duration) -> bool {
    let elapsed = worker.renewed.map_or(Duration::MAX, |renewed| now.saturating_sub(renewed));
    if worker.unanswered > 0 {
        return (worker.listed || !worker.runs.is_empty()) && elapsed >= SILENT_RETRY;
    }
    if !worker.looked_at {
        return true;
    }
    if worker.awaits_storage() {
        return !worker.runs.is_empty() && elapsed >= lease / RENEW_SHARE;
    }
    worker.owes_acknowledgement() || !worker.runs.is_empty()
}
