//! Answers to start and stop orders, and the runs that are stopped or released because of them.

use std::time::Duration;

use super::FleetPlanner;
use crate::event::{StartOutcome, StartRefusal};
use crate::order::FleetOrder;
use crate::run::RunPhase;
use crate::spec::{RunNumber, TaskKey};
use crate::step::TaskPhase;

impl FleetPlanner {
    /// Returns a task to the queue unless it is done or was assigned to another run since.
    pub(super) fn unassign(&mut self, worker: &str, task: TaskKey, run: RunNumber) {
        let entry = self.jobs.get_mut(&task.job).and_then(|job| job.task_mut(task));
        if let Some(entry) = entry
            && entry.phase == (TaskPhase::Assigned { worker: worker.to_owned(), run })
        {
            entry.phase = TaskPhase::Waiting;
        }
    }

    /// Removes a run that has certainly ended and returns its task to the queue.
    pub(super) fn release_run(&mut self, worker: &str, task: TaskKey, run: RunNumber) {
        if let Some(entry) = self.workers.get_mut(worker) {
            entry.remove_run(task, run);
        }
        self.unassign(worker, task, run);
    }

    /// Handles the answer to a start order. The task of a refused start returns to the queue, and
    /// the other members of a gang are stopped. A start without an answer is ordered again, unless a
    /// report has named its run; so is a refused one after that, or it is stopped.
    ///
    /// A later incarnation than the present one counts the lease from the arrival of the order, which
    /// may have been just before the answer.
    pub(super) fn handle_start_answer(
        &mut self,
        worker: &str,
        task: TaskKey,
        run: RunNumber,
        outcome: StartOutcome,
        now: Duration,
    ) {
        let lease = self.settings.lease_duration;
        self.open_starts.record_answer(task, run, outcome != StartOutcome::Unclear, now);
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(run_entry) = entry.runs.get_mut(&(task, run)) else {
            return;
        };
        run_entry.start_settled = Some(now);
        match outcome {
            StartOutcome::Started => {
                run_entry.confirmed.get_or_insert(now);
                if run_entry.phase == RunPhase::Starting {
                    run_entry.phase = RunPhase::Running;
                }
                entry.assume_lease(now, lease);
                return;
            }
            StartOutcome::Refused(StartRefusal::StaleToken) => {
                // Otherwise, a newer call of this scheduler has overtaken the start.
                if run_entry.token == entry.fencing.token(self.settings.epoch) {
                    self.orders.push(FleetOrder::StepDown);
                }
            }
            StartOutcome::Refused(StartRefusal::NoTicket) => {
                let step = self.jobs.get_mut(&task.job);
                let step = step.and_then(|job| job.step_mut(task.step_key()));
                if let Some(step) = step {
                    step.advice.remove(worker);
                }
            }
            StartOutcome::Refused(_) => entry.back_off(now),
            StartOutcome::Unclear => {
                self.counts.failed_starts += 1;
                entry.has_unclear_starts = true;
                entry.fencing.raise();
                entry.assume_lease(now, lease);
                entry.back_off(now);
                return;
            }
        }
        self.counts.failed_starts += 1;
        if self.open_starts.is_open_for(task, worker, run) {
            // Where the run has ended, a report tells how; where it has no ticket, it can't start.
            let is_excluded = matches!(
                outcome,
                StartOutcome::Refused(StartRefusal::StaleRun | StartRefusal::NoTicket)
            );
            if !is_excluded {
                return;
            }
            self.order_stop(worker, task, run, now);
        } else {
            self.release_run(worker, task, run);
        }
        self.stop_gang(task, now);
    }

    /// Handles the answer to a stop order.
    pub(super) fn handle_stop_answer(
        &mut self,
        worker: &str,
        task: TaskKey,
        run: RunNumber,
        is_confirmed: bool,
        now: Duration,
    ) {
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        if !is_confirmed {
            entry.fencing.raise();
            return;
        }
        if let Some(run_entry) = entry.runs.get_mut(&(task, run))
            && let RunPhase::Stopping { confirmed, .. } = &mut run_entry.phase
        {
            confirmed.get_or_insert(now);
        }
    }

    /// Stops all runs of a gang of which one member can't run; does nothing for other tasks.
    pub(super) fn stop_gang(&mut self, task: TaskKey, now: Duration) {
        let spec = self.task_spec(task);
        if !spec.is_some_and(|spec| spec.gang) {
            return;
        }
        let same_step = |other: &TaskKey| {
            other.job == task.job && other.occurrence == task.occurrence && other.step == task.step
        };
        for (worker, task, run) in self.runs_matching(same_step) {
            self.order_stop(&worker, task, run, now);
        }
    }

    /// Orders a run to stop, unless that was ordered before.
    pub(super) fn order_stop(
        &mut self,
        worker: &str,
        task: TaskKey,
        run: RunNumber,
        now: Duration,
    ) {
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        let token = entry.fencing.token(self.settings.epoch);
        let Some(run_entry) = entry.runs.get_mut(&(task, run)) else {
            return;
        };
        if matches!(run_entry.phase, RunPhase::Stopping { .. }) {
            return;
        }
        run_entry.phase = RunPhase::Stopping { ordered: now, confirmed: None };
        let target = entry.listing.task_run(task, run, token);
        self.orders.push(FleetOrder::Stop(target));
    }
}
