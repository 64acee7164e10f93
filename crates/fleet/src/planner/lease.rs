//! Reports of workers: what runs, what has ended, what is gone.

use std::collections::BTreeSet;
use std::time::Duration;

use super::FleetPlanner;
use crate::event::{EndReason, LeaseReport, RunningRun};
use crate::job::TaskPhase;
use crate::order::FleetOrder;
use crate::spec::{RunNumber, TaskKey};
use crate::worker::{RunEntry, RunPhase, WorkerEntry};

impl FleetPlanner {
    pub(super) fn take_report(
        &mut self,
        worker: &str,
        sent: Duration,
        report: LeaseReport,
        now: Duration,
    ) {
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        entry.renewing = false;
        if report.born < entry.listing.born {
            return;
        }
        if report.born > entry.listing.born {
            let lost = entry.begin_life(report.born);
            for (task, run) in lost {
                self.unassign(worker, task, run);
            }
        }
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        entry.note_clock(report.clock, now);
        entry.unanswered = 0;
        entry.looked_at = true;
        let mut mentioned: BTreeSet<(TaskKey, RunNumber)> = BTreeSet::new();
        mentioned.extend(report.running.iter().map(|run| (run.task, run.run)));
        mentioned.extend(report.ended.iter().map(|end| (end.task, end.run)));
        for running in report.running {
            self.take_running(worker, running, now);
        }
        for end in report.ended {
            self.take_end(worker, end, now);
        }
        self.drop_missing(worker, &mentioned, sent, now);
    }

    pub(super) fn note_silence(&mut self, worker: &str, stale_token: bool, now: Duration) {
        if stale_token {
            self.orders.push(FleetOrder::StepDown);
        }
        if let Some(entry) = self.workers.get_mut(worker) {
            entry.renewing = false;
            entry.unanswered += 1;
            entry.pause(now);
        }
    }

    fn take_running(&mut self, worker: &str, running: RunningRun, now: Duration) {
        let key = (running.task, running.run);
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        if let Some(run) = entry.runs.get_mut(&key) {
            update_run(run, &running, now);
        } else {
            self.adopt(worker, &running, now);
        }
        let task = self.jobs.get_mut(&running.task.job).and_then(|job| job.task_mut(running.task));
        if let Some(task) = task
            && running.checkpoint.is_some()
        {
            task.checkpoint = running.checkpoint;
        }
    }

    /// Takes over a run of an earlier scheduler, or stops a run that should not be there.
    fn adopt(&mut self, worker: &str, running: &RunningRun, now: Duration) {
        let task = running.task;
        let job = self.jobs.get_mut(&task.job);
        let wanted = job.as_ref().is_some_and(|job| !job.phase.is_final());
        let demand = job.as_ref().and_then(|job| job.step_spec(task.step)).map(|spec| spec.demand);
        let recovering = !self.recovered;
        let mut adopted = false;
        if let Some(job) = job {
            job.begun = true;
            if let Some(entry) = job.task_mut(task) {
                entry.last_run = entry.last_run.max(running.run);
                if entry.phase == TaskPhase::Waiting {
                    entry.phase =
                        TaskPhase::Assigned { worker: worker.to_owned(), run: running.run };
                    adopted = wanted && recovering;
                }
            }
        }
        let run = RunEntry {
            phase: RunPhase::Running,
            since: now,
            confirmed: Some(now),
            demand: demand.unwrap_or_default(),
            checkpoint: running.checkpoint.clone(),
            percent: running.percent,
            progressed: now,
        };
        let lease = self.settings.lease;
        if let Some(entry) = self.workers.get_mut(worker) {
            entry.add_run(task, running.run, run);
            entry.assume_lease(now, lease);
        }
        if !adopted {
            self.order_stop(worker, task, running.run, now);
        }
    }

    /// Releases runs that the worker must have known and does not list any more.
    fn drop_missing(
        &mut self,
        worker: &str,
        mentioned: &BTreeSet<(TaskKey, RunNumber)>,
        sent: Duration,
        now: Duration,
    ) {
        let Some(entry) = self.workers.get(worker) else {
            return;
        };
        let missing: Vec<(TaskKey, RunNumber)> = entry
            .runs
            .iter()
            .filter(|(key, run)| !mentioned.contains(key) && is_known_before(run, sent))
            .map(|(key, _)| *key)
            .collect();
        for (task, run) in missing {
            self.release(worker, task, run);
            self.stop_gang_rest(task, now);
        }
    }

    pub(super) fn apply_checkpoint(&mut self, task: TaskKey, checkpoint: Option<String>) {
        let entry = self.jobs.get_mut(&task.job).and_then(|job| job.task_mut(task));
        if let Some(entry) = entry
            && checkpoint.is_some()
        {
            entry.checkpoint = checkpoint;
        }
    }

    /// Notes a run that ended well or badly for the judgement of its worker.
    pub(super) fn judge_worker(
        &mut self,
        worker: &str,
        task: TaskKey,
        end: EndReason,
        run: &RunEntry,
        now: Duration,
    ) {
        let estimate = self
            .jobs
            .get(&task.job)
            .and_then(|job| job.step_spec(task.step))
            .map(|spec| spec.estimate);
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        match end {
            EndReason::Failed => {
                entry.note_failure(task.job, now);
            }
            EndReason::Done => note_done(entry, estimate, run, now),
            _ => {}
        }
    }
}

fn note_done(entry: &mut WorkerEntry, estimate: Option<Duration>, run: &RunEntry, now: Duration) {
    entry.note_success();
    if let (Some(estimate), Some(confirmed)) = (estimate, run.confirmed) {
        entry.note_speed(estimate, now.saturating_sub(confirmed));
    }
}

fn update_run(run: &mut RunEntry, running: &RunningRun, now: Duration) {
    run.confirmed.get_or_insert(now);
    if run.phase == RunPhase::Starting {
        run.phase = RunPhase::Running;
    }
    if running.percent > run.percent {
        run.percent = running.percent;
        run.progressed = now;
    }
    run.checkpoint.clone_from(&running.checkpoint);
}

/// Returns whether the worker had confirmed the run or its stop before a renewal was sent.
fn is_known_before(run: &RunEntry, sent: Duration) -> bool {
    match run.phase {
        RunPhase::Starting => false,
        RunPhase::Running => run.confirmed.is_some_and(|confirmed| confirmed < sent),
        RunPhase::Stopping { confirmed, .. } => confirmed.is_some_and(|confirmed| confirmed < sent),
    }
}
