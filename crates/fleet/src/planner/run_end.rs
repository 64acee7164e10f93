//! Ends of runs and their effects on jobs.
//!
//! An end takes effect at once for the decisions of this scheduler. The worker discards it only
//! after it was acknowledged, and it is acknowledged only after the job's progress was stored. So a
//! later scheduler learns of it from either the store or the worker.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{FleetPlanner, PlannerLogEvent};
use crate::end_log::PendingEnd;
use crate::event::{EndReason, EndedRun};
use crate::job::{JobEntry, JobPhase};
use crate::open_start::OpenStarts;
use crate::spec::{JobKey, RunNumber, TaskKey};

impl FleetPlanner {
    /// Handles the end of a run from a worker's report.
    pub(super) fn handle_end(&mut self, worker: &str, end: EndedRun, now: Duration) {
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        let is_new = entry.ends.record(end.number);
        let was_known = entry.remove_run(end.task, end.run).is_some();
        self.open_starts.record_reported(end.task, end.run);
        // An end is new, whatever its number, as long as its run is still known.
        if !is_new && !was_known {
            return;
        }
        self.log_events.push(PlannerLogEvent::RunEnded {
            worker: worker.to_owned(),
            task: end.task,
            run: end.run,
            reason: end.reason,
        });
        let spec = self.task_spec(end.task);
        // A continuous task may fail at any time through no fault of its worker.
        if was_known && !spec.is_some_and(|spec| spec.continuous) {
            self.record_run_outcome(worker, end.reason, now);
        }
        self.record_checkpoint(end.task, end.checkpoint);
        self.apply_end(worker, end.task, end.run, end.reason, now);
        let sequence = self.jobs.get(&end.task.job).map_or(0, |job| job.sequence);
        let step = end.task.step_key();
        let may_acknowledge = acknowledgement_condition(&self.jobs, &self.open_starts);
        if let Some(entry) = self.workers.get_mut(worker) {
            entry.ends.add_pending(PendingEnd { number: end.number, step, sequence });
            entry.ends.advance(may_acknowledge);
        }
    }

    /// Advances the acknowledgement of ends on all workers.
    pub(super) fn advance_acknowledgements(&mut self) {
        let may_acknowledge = acknowledgement_condition(&self.jobs, &self.open_starts);
        self.workers.values_mut().for_each(|worker| worker.ends.advance(&may_acknowledge));
    }

    /// Applies the end of a run to its task and job.
    fn apply_end(
        &mut self,
        worker: &str,
        task: TaskKey,
        run: RunNumber,
        reason: EndReason,
        now: Duration,
    ) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(spec) = job.step_spec(task.step) else {
            return;
        };
        let (gang, continuous) = (spec.gang, spec.continuous);
        if job.phase.is_final() {
            self.unassign(worker, task, run);
            return;
        }
        job.begun = true;
        job.mark_changed();
        if let Some(entry) = job.task_mut(task) {
            entry.highest_run = entry.highest_run.max(run);
        }
        if reason == EndReason::Done && !continuous {
            self.finish_tasks(task, gang, now);
            self.complete_job_if_done(task, now);
            return;
        }
        self.unassign(worker, task, run);
        if reason == EndReason::Failed && !continuous {
            self.record_failure(task, run, gang, now);
        }
    }

    /// Marks a task as done, or all tasks of its gang.
    fn finish_tasks(&mut self, task: TaskKey, gang: bool, now: Duration) {
        let step = self.jobs.get_mut(&task.job).and_then(|job| job.step_mut(task.step_key()));
        let Some(step) = step else {
            return;
        };
        step.last_done_at = Some(now);
        if gang {
            // The members of a gang are done together, so the end of one marks all as done.
            step.mark_all_done();
        } else {
            step.mark_done(task.index);
        }
    }

    /// Completes a job if all its tasks are done.
    fn complete_job_if_done(&mut self, task: TaskKey, now: Duration) {
        let done = self.jobs.get(&task.job).is_some_and(|job| job.is_done());
        if done {
            self.end_job(task.job, JobPhase::Completed, now);
        }
    }

    /// Records a failed run and fails the job at its queue's limit.
    fn record_failure(&mut self, task: TaskKey, run: RunNumber, gang: bool, now: Duration) {
        let limit = self.max_failures(task);
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let failures = if gang {
            let Some(step) = job.step_mut(task.step_key()) else {
                return;
            };
            step.gang_failures.record(run)
        } else {
            let Some(entry) = job.task_mut(task) else {
                return;
            };
            entry.failures.record(run)
        };
        if failures >= limit {
            self.end_job(task.job, JobPhase::Failed, now);
        }
    }

    /// Returns the number of failed runs at which a task's job fails; no limit if its queue has no
    /// policy.
    fn max_failures(&self, task: TaskKey) -> u32 {
        let queue = self.jobs.get(&task.job).map(|job| &job.submission.queue);
        let policy = queue.and_then(|queue| self.config.queues.get(queue));
        policy.map_or(u32::MAX, |policy| policy.max_failures.max(1))
    }
}

/// Returns a condition that tells whether an end may be acknowledged: its effect is stored, and no
/// member of its gang may be started late.
///
/// The end of one member stands for all of them, and no task may start after an acknowledged end.
fn acknowledgement_condition(
    jobs: &BTreeMap<JobKey, JobEntry>,
    open_starts: &OpenStarts,
) -> impl Fn(&PendingEnd) -> bool {
    let unclear_steps = open_starts.unclear_steps();
    move |end| {
        let Some(job) = jobs.get(&end.step.job) else {
            return true;
        };
        let gang = job.step_spec(end.step.step).is_some_and(|spec| spec.gang);
        job.stored_sequence >= end.sequence && !(gang && unclear_steps.contains(&end.step))
    }
}
