//! Reports of workers: what runs, what has ended, what is gone.

use std::collections::BTreeSet;
use std::time::Duration;

use super::{FleetPlanner, PlannerNote};
use crate::event::{ActiveRun, EndReason, LeaseReport};
use crate::job::TaskPhase;
use crate::order::FleetOrder;
use crate::spec::{RunNumber, TaskKey};
use crate::speed::{ProgressMark, note_progress};
use crate::worker::{RunEntry, RunPhase};

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
        if report.incarnation < entry.life {
            return;
        }
        if report.incarnation > entry.life {
            entry.begin_life(report.incarnation);
        }
        let lease = self.settings.lease_duration;
        entry.note_clock(report.clock, now);
        if !entry.has_lease() && !entry.runs.is_empty() {
            entry.assume_lease(now, lease);
        }
        entry.unanswered = 0;
        entry.looked_at = report.incarnation >= entry.listing.incarnation;
        self.heard.insert(worker.to_owned());
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

    fn take_running(&mut self, worker: &str, running: ActiveRun, now: Duration) {
        let key = (running.task, running.run);
        self.measure(worker, &running, now);
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
    fn adopt(&mut self, worker: &str, running: &ActiveRun, now: Duration) {
        let task = running.task;
        let job = self.jobs.get_mut(&task.job);
        let wanted = job.as_ref().is_some_and(|job| !job.phase.is_final());
        let demand = job.as_ref().and_then(|job| job.step_spec(task.step)).map(|spec| spec.demand);
        let mut adopted = false;
        if let Some(job) = job {
            job.begun = true;
            if let Some(entry) = job.task_mut(task) {
                if entry.phase == TaskPhase::Waiting {
                    entry.phase =
                        TaskPhase::Assigned { worker: worker.to_owned(), run: running.run };
                    // This scheduler has given up on runs of its own that show late.
                    adopted = wanted && running.run > entry.last_run;
                }
                entry.last_run = entry.last_run.max(running.run);
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
            mark: None,
            pace: None,
            usage: f64::from(running.usage),
        };
        let lease = self.settings.lease_duration;
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
    pub(super) fn judge_worker(&mut self, worker: &str, end: EndReason, now: Duration) {
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        match end {
            EndReason::Failed => {
                let failures = entry.note_failure(now);
                let worker = worker.to_owned();
                self.notes.push(PlannerNote::WorkerBackoff { worker, failures });
            }
            EndReason::Done => entry.note_success(),
            _ => {}
        }
    }

    /// Returns whether a step that asks for one rack runs on several.
    fn spans_racks(&self, task: TaskKey) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        if !job.step_spec(task.step).is_some_and(|spec| spec.one_rack) {
            return false;
        }
        let step =
            job.occurrence(task.occurrence).and_then(|entry| entry.steps.get(task.step as usize));
        let mut racks = step.into_iter().flat_map(|step| &step.tasks).filter_map(|entry| {
            let TaskPhase::Assigned { worker, .. } = &entry.phase else {
                return None;
            };
            self.workers.get(worker).map(|worker| &worker.listing.rack)
        });
        let first = racks.next();
        racks.any(|rack| Some(rack) != first)
    }

    /// Learns from the progress of a run.
    fn measure(&mut self, worker: &str, running: &ActiveRun, now: Duration) {
        let task = running.task;
        let spans_racks = self.spans_racks(task);
        let Some(spec) = self.jobs.get(&task.job).and_then(|job| job.step_spec(task.step)) else {
            return;
        };
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        // Away from its rack a task is slow through no fault of the worker.
        let away = spec.data_rack.is_some() && spec.data_rack != entry.listing.rack;
        if spec.continuous || spec.fills || away || spans_racks {
            return;
        }
        let declared = spec.estimate;
        let Some(run) = entry.runs.get_mut(&(task, running.run)) else {
            return;
        };
        let to = ProgressMark { at: now, percent: running.percent };
        let Some(from) = run.mark else {
            run.mark = Some(to);
            return;
        };
        let job = self.jobs.get_mut(&task.job);
        let Some(step) = job.and_then(|job| job.step_mut(task.step_key())) else {
            return;
        };
        if note_progress(&mut step.pace, &mut entry.speed, declared, from, to) {
            run.mark = Some(to);
        }
    }
}

fn update_run(run: &mut RunEntry, running: &ActiveRun, now: Duration) {
    run.confirmed.get_or_insert(now);
    if run.phase == RunPhase::Starting {
        run.phase = RunPhase::Running;
    }
    if running.percent > run.percent {
        run.percent = running.percent;
        run.progressed = now;
    }
    run.checkpoint.clone_from(&running.checkpoint);
    run.usage = f64::from(running.usage);
}

/// Returns whether the worker had confirmed the run or its stop before a renewal was sent.
fn is_known_before(run: &RunEntry, sent: Duration) -> bool {
    match run.phase {
        RunPhase::Starting => false,
        RunPhase::Running => run.confirmed.is_some_and(|confirmed| confirmed < sent),
        RunPhase::Stopping { confirmed, .. } => confirmed.is_some_and(|confirmed| confirmed < sent),
    }
}
