//! Start orders for tasks that have a worker.

use std::time::Duration;

use lacewingrail_model::WorkerId;

use super::FleetPlanner;
use super::reservation::TaskPlacement;
use crate::cpu_limit::FULL_CPU_LIMIT_PERCENT;
use crate::job::JobEntry;
use crate::order::{FleetOrder, StartBasis, StartOrder};
use crate::run::{RunEntry, RunPhase};
use crate::spec::{CheckpointName, RunNumber, StepSpec, TaskKey};
use crate::step::TaskPhase;

impl FleetPlanner {
    /// Orders the start of tasks of one step. All members of a gang get the same run number.
    pub(super) fn start_tasks(&mut self, placements: Vec<TaskPlacement>, now: Duration) {
        let Some(key) = placements.first().map(|placement| placement.task.step_key()) else {
            return;
        };
        let Some(spec) = self.step_spec(key) else {
            return;
        };
        let gang_run = placements.iter().map(|placement| self.next_run(placement.task)).max();
        for TaskPlacement { task, worker } in placements {
            let next_run = self.next_run(task);
            let run = if spec.gang { gang_run.unwrap_or(next_run) } else { next_run };
            self.start_task(task, &worker, run, &spec, now);
        }
        let step = self.jobs.get_mut(&key.job).and_then(|job| job.step_mut(key));
        if let Some(step) = step {
            step.waiting_since = None;
        }
    }

    /// Returns the number of a task's next run.
    fn next_run(&self, task: TaskKey) -> RunNumber {
        let first_run = self.first_run();
        let entry = self.jobs.get(&task.job).and_then(|job| job.task(task));
        entry.map_or(first_run, |entry| (entry.highest_run + 1).max(first_run))
    }

    /// Orders the start of one task; does nothing if its worker or job is no longer known.
    fn start_task(
        &mut self,
        task: TaskKey,
        worker: &str,
        run: RunNumber,
        spec: &StepSpec,
        now: Duration,
    ) {
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let checkpoint = resume_checkpoint(job, task, spec);
        if assign(job, task, worker, run) {
            entry.add_run(task, run, new_run(spec, checkpoint, now));
            self.send_start(task, worker, run, now);
        }
    }

    /// Orders the runs again whose start had no answer, on their workers, or stops those that may not
    /// be started there any more.
    ///
    /// Whatever comes of the earlier orders, a worker holds the run once, see
    /// [`open_start`](crate::open_start).
    pub(super) fn repeat_unclear_starts(&mut self, now: Duration) {
        for (worker, task, run) in self.unclear_runs() {
            match self.repetition(&worker, task, run, now) {
                StartRepetition::Possible => self.send_start(task, &worker, run, now),
                StartRepetition::Later => {}
                StartRepetition::Excluded => {
                    self.order_stop(&worker, task, run, now);
                    self.stop_gang(task, now);
                }
            }
        }
    }

    /// Returns the runs whose newest start was given up without an answer.
    fn unclear_runs(&self) -> Vec<(WorkerId, TaskKey, RunNumber)> {
        let mut found = Vec::new();
        let is_unclear =
            |run: &RunEntry| run.phase == RunPhase::Starting && run.start_settled.is_some();
        for (id, worker) in &self.workers {
            let unclear = worker.runs.iter().filter(|(_, run)| is_unclear(run));
            found.extend(unclear.map(|((task, run), _)| (id.clone(), *task, *run)));
        }
        found
    }

    /// Returns whether a run that may still be started late can be ordered on its worker again.
    pub(super) fn repetition(
        &self,
        worker: &str,
        task: TaskKey,
        run: RunNumber,
        now: Duration,
    ) -> StartRepetition {
        let Some(next_order_at) = self.open_starts.next_order_at(task, worker, run) else {
            return StartRepetition::Excluded;
        };
        let job = self.jobs.get(&task.job).filter(|job| !job.phase.is_final());
        let policy = job.and_then(|job| self.config.queues.get(&job.submission.queue));
        let spec = job.and_then(|job| job.step_spec(task.step));
        let (Some(entry), Some(policy), Some(spec)) = (self.workers.get(worker), policy, spec)
        else {
            return StartRepetition::Excluded;
        };
        let listing = &entry.listing;
        let is_suitable = entry.listed
            && !listing.draining
            && !self.disabled_domains.contains(&listing.domain)
            && listing.service == policy.service
            && spec.label.as_ref().is_none_or(|label| listing.labels.contains(label));
        if !is_suitable {
            StartRepetition::Excluded
        } else if self.starts_allowed && entry.is_known() && now >= next_order_at {
            StartRepetition::Possible
        } else {
            StartRepetition::Later
        }
    }

    /// Returns a run that its worker has lost to the state in which its start is to be repeated.
    pub(super) fn await_repetition(
        &mut self,
        worker: &str,
        task: TaskKey,
        run: RunNumber,
        now: Duration,
    ) {
        let job = self.jobs.get(&task.job);
        let checkpoint =
            job.and_then(|job| resume_checkpoint(job, task, job.step_spec(task.step)?));
        let entry = self.workers.get_mut(worker);
        if let Some(entry) = entry.and_then(|entry| entry.runs.get_mut(&(task, run))) {
            entry.restart(checkpoint, now);
        }
    }

    /// Sends the order that starts a known run.
    fn send_start(&mut self, task: TaskKey, worker: &str, run: RunNumber, now: Duration) {
        let (lease, epoch) = (self.settings.lease_duration, self.settings.epoch);
        let (Some(entry), Some(job)) = (self.workers.get_mut(worker), self.jobs.get(&task.job))
        else {
            return;
        };
        let lease_end = entry.clock_at(now).unwrap_or_default() + lease;
        entry.extend_lease(lease_end);
        entry.fencing.raise_for_start();
        let token = entry.fencing.token(epoch);
        let Some(run_entry) = entry.runs.get_mut(&(task, run)) else {
            return;
        };
        run_entry.token = token;
        run_entry.since = now;
        run_entry.start_settled = None;
        let checkpoint = run_entry.checkpoint.clone();
        let step = job.step(task.step_key());
        let waiting_since = step.and_then(|step| step.waiting_since).unwrap_or(now);
        let ticket =
            step.and_then(|step| step.advice.ticket(worker, entry.listing.incarnation, now));
        let basis = StartBasis {
            rack: entry.listing.rack.clone(),
            speed: entry.speed.value(),
            report_age: entry.report_age(now),
            waited: now.saturating_sub(waiting_since),
        };
        self.open_starts.record_sent(task, run, entry, now);
        self.counts.starts += 1;
        self.orders.push(FleetOrder::Start(StartOrder {
            target: entry.listing.task_run(task, run, token),
            submission: job.submission.clone(),
            checkpoint,
            ticket: ticket.cloned(),
            lease_end,
            basis,
        }));
    }
}

/// Whether a run can be ordered on its worker once more.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum StartRepetition {
    /// It can be ordered now.
    Possible,
    /// It can't be ordered while the worker's incarnation is not known, see
    /// [`WorkerEntry::is_known`](crate::worker::WorkerEntry::is_known), shortly after a refusal, or
    /// while the leadership is uncertain.
    Later,
    /// Its job has ended, the worker may not run it any more, or it was ordered too often.
    Excluded,
}

/// Marks a task as assigned to a worker; returns whether the task exists.
fn assign(job: &mut JobEntry, task: TaskKey, worker: &str, run: RunNumber) -> bool {
    job.begun = true;
    let Some(entry) = job.task_mut(task) else {
        return false;
    };
    entry.highest_run = run;
    entry.phase = TaskPhase::Assigned { worker: WorkerId::from(worker), run };
    true
}

/// Returns the checkpoint that a task resumes from. All members of a gang resume from the same one.
fn resume_checkpoint(job: &JobEntry, task: TaskKey, spec: &StepSpec) -> Option<CheckpointName> {
    if !spec.gang {
        return job.task(task)?.checkpoint.clone();
    }
    job.step(task.step_key())?.any_checkpoint().cloned()
}

/// Returns the entry of a run whose start is about to be ordered.
fn new_run(spec: &StepSpec, checkpoint: Option<CheckpointName>, now: Duration) -> RunEntry {
    RunEntry {
        phase: RunPhase::Starting,
        since: now,
        confirmed: None,
        start_settled: None,
        reported: false,
        token: 0,
        demand: spec.demand,
        checkpoint,
        percent: 0,
        progressed_at: now,
        measured_from: None,
        cpu_limit: Some(FULL_CPU_LIMIT_PERCENT),
        usage: 0.0,
    }
}
