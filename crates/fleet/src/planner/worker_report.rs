//! Reports of workers: which runs are in progress, which have ended, and which the worker no longer
//! has.

use std::collections::BTreeSet;
use std::time::Duration;

use super::start::StartRepetition;
use super::{FleetPlanner, PlannerLogEvent};
use crate::event::{ActiveRun, EndReason, LeaseReport};
use crate::order::FleetOrder;
use crate::recovery::ReportState;
use crate::run::{RunEntry, RunPhase};
use crate::spec::{RunNumber, TaskKey};
use crate::speed::{ProgressSample, record_progress};
use crate::step::{StepEntry, TaskPhase};

impl FleetPlanner {
    /// Handles a worker's answer to a renewal that was sent at `sent`.
    pub(super) fn handle_report(
        &mut self,
        worker: &str,
        sent: Duration,
        report: LeaseReport,
        now: Duration,
    ) {
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        entry.renewal_in_flight = false;
        if report.incarnation < entry.incarnation {
            return;
        }
        if report.incarnation > entry.incarnation {
            if entry.incarnation > 0 {
                self.log_events.push(PlannerLogEvent::WorkerRestarted {
                    worker: worker.to_owned(),
                    incarnation: report.incarnation,
                    runs: entry.runs.len(),
                });
            }
            entry.begin_incarnation(report.incarnation);
        } else {
            entry.confirm_renewal();
        }
        let lease = self.settings.lease_duration;
        entry.record_clock(report.clock, now);
        // A late start may just have extended the lease, if it was sent to a former incarnation.
        let may_be_extended = !entry.has_lease() || entry.has_unclear_starts;
        if may_be_extended && !entry.runs.is_empty() {
            entry.assume_lease(now, lease);
        }
        entry.unanswered_renewals = 0;
        if report.ends_omitted {
            let (worker, reported) = (worker.to_owned(), report.ended.len());
            self.log_events.push(PlannerLogEvent::EndsOmitted { worker, reported });
        }
        entry.report = ReportState::after(&report, entry.listing.incarnation);
        entry.record_report(sent);
        self.recovery.record_report(worker, entry.report);
        let mut reported: BTreeSet<(TaskKey, RunNumber)> = BTreeSet::new();
        reported.extend(report.running.iter().map(|run| (run.task, run.run)));
        reported.extend(report.ended.iter().map(|end| (end.task, end.run)));
        reported.iter().for_each(|(task, _)| self.add_reported_occurrence(*task));
        for running in report.running {
            self.handle_active_run(worker, running, now);
        }
        for end in report.ended {
            self.handle_end(worker, end, now);
        }
        // Otherwise a run that is missing may have ended with success.
        if !report.ends_omitted {
            self.release_missing_runs(worker, &reported, sent, now);
        }
    }

    /// Adds the occurrence that a reported run belongs to. The store may not name it yet, and this
    /// instance's wall clock may not have reached it, but an earlier scheduler has started it.
    fn add_reported_occurrence(&mut self, task: TaskKey) {
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.add_occurrences_through(task.occurrence);
        }
    }

    /// Records that a worker did not answer a renewal; steps down if the worker has seen a higher
    /// fencing token than this scheduler has used.
    pub(super) fn record_unanswered_renewal(
        &mut self,
        worker: &str,
        stale_token: bool,
        now: Duration,
    ) {
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        entry.renewal_in_flight = false;
        let is_superseded = entry.renewal_token < entry.fencing.token(self.settings.epoch);
        if stale_token && is_superseded {
            // A newer call of this scheduler has overtaken the renewal; the next one follows.
            return;
        }
        if stale_token {
            self.orders.push(FleetOrder::StepDown);
        }
        if entry.renewal_has_lease {
            self.open_starts.record_lost_renewal(worker, now);
        }
        entry.fencing.raise();
        entry.unanswered_renewals += 1;
        if entry.report == ReportState::Partial {
            entry.report = ReportState::Awaited;
        }
        entry.back_off(now);
    }

    /// Updates a known run from a worker's report, or adopts an unknown one.
    fn handle_active_run(&mut self, worker: &str, running: ActiveRun, now: Duration) {
        let key = (running.task, running.run);
        self.open_starts.record_reported(running.task, running.run);
        self.measure_speed(worker, &running, now);
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        if let Some(run) = entry.runs.get_mut(&key) {
            update_run(run, &running, now);
        } else {
            self.adopt_run(worker, &running, now);
        }
        let task = self.jobs.get_mut(&running.task.job).and_then(|job| job.task_mut(running.task));
        if let Some(task) = task
            && running.checkpoint.is_some()
        {
            task.checkpoint = running.checkpoint;
        }
    }

    /// Takes over a run that an earlier scheduler started, or stops a run that should not exist.
    fn adopt_run(&mut self, worker: &str, running: &ActiveRun, now: Duration) {
        let task = running.task;
        let job = self.jobs.get_mut(&task.job);
        let is_active = job.as_ref().is_some_and(|job| !job.phase.is_final());
        let spec = job.as_ref().and_then(|job| job.step_spec(task.step));
        let demand = spec.map(|spec| spec.demand);
        // The task can run as nothing else; a gang may have gone without this member.
        let is_late = self.open_starts.is_open_for(task, worker, running.run)
            && spec.is_some_and(|spec| !spec.gang);
        let mut adopted = false;
        if let Some(job) = job {
            job.begun = true;
            if let Some(entry) = job.task_mut(task) {
                if entry.phase == TaskPhase::Waiting {
                    entry.phase =
                        TaskPhase::Assigned { worker: worker.to_owned(), run: running.run };
                    // A run that this scheduler started itself and then released is not adopted,
                    // unless it may be a late start.
                    adopted = is_active && (running.run > entry.highest_run || is_late);
                }
                entry.highest_run = entry.highest_run.max(running.run);
            }
        }
        let run = RunEntry {
            phase: RunPhase::Running,
            since: now,
            confirmed: Some(now),
            start_settled: Some(now),
            reported: true,
            token: 0,
            demand: demand.unwrap_or_default(),
            checkpoint: running.checkpoint.clone(),
            percent: running.percent,
            progressed_at: now,
            measured_from: None,
            cpu_limit: None,
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

    /// Releases runs that the worker no longer reports although it confirmed their start or stop
    /// before the renewal. A run that may still be started late in a new incarnation is started
    /// there again.
    fn release_missing_runs(
        &mut self,
        worker: &str,
        reported: &BTreeSet<(TaskKey, RunNumber)>,
        sent: Duration,
        now: Duration,
    ) {
        let Some(entry) = self.workers.get(worker) else {
            return;
        };
        let missing: Vec<(TaskKey, RunNumber)> = entry
            .runs
            .iter()
            .filter(|(key, run)| !reported.contains(key) && run.was_answered_before(sent))
            .map(|(key, _)| *key)
            .collect();
        for (task, run) in missing {
            if self.may_begin_again(worker, task, run, now) {
                self.await_repetition(worker, task, run, now);
                continue;
            }
            self.release_run(worker, task, run);
            self.stop_gang(task, now);
        }
    }

    /// Returns whether a run that its worker has lost is to be started there again, since an earlier
    /// order may still start it there. The members of a gang end together.
    fn may_begin_again(&self, worker: &str, task: TaskKey, run: RunNumber, now: Duration) -> bool {
        let entry = self.workers.get(worker).and_then(|worker| worker.runs.get(&(task, run)));
        let is_stopping =
            entry.is_none_or(|entry| matches!(entry.phase, RunPhase::Stopping { .. }));
        let gang = self.task_spec(task).is_some_and(|spec| spec.gang);
        !is_stopping
            && !gang
            && self.repetition(worker, task, run, now) != StartRepetition::Excluded
    }

    /// Records a task's newest checkpoint, if there is one.
    pub(super) fn record_checkpoint(&mut self, task: TaskKey, checkpoint: Option<String>) {
        let entry = self.jobs.get_mut(&task.job).and_then(|job| job.task_mut(task));
        if let Some(entry) = entry
            && checkpoint.is_some()
        {
            entry.checkpoint = checkpoint;
        }
    }

    /// Records for the worker whether a run ended with success or failed.
    pub(super) fn record_run_outcome(&mut self, worker: &str, end: EndReason, now: Duration) {
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        match end {
            EndReason::Failed => {
                let failures = entry.record_failure(now);
                let worker = worker.to_owned();
                self.log_events.push(PlannerLogEvent::WorkerBackoff { worker, failures });
            }
            EndReason::Done => entry.reset_failures(),
            _ => {}
        }
    }

    /// Returns whether a step that prefers one rack runs on several.
    fn spans_racks(&self, task: TaskKey) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        if !job.step_spec(task.step).is_some_and(|spec| spec.one_rack) {
            return false;
        }
        let step =
            job.occurrence(task.occurrence).and_then(|entry| entry.steps.get(task.step as usize));
        let assigned = step.into_iter().flat_map(StepEntry::assigned);
        let mut racks = assigned.filter_map(|(_, worker, _)| {
            self.workers.get(worker).map(|worker| &worker.listing.rack)
        });
        let first = racks.next();
        racks.any(|rack| Some(rack) != first)
    }

    /// Learns the speed of a worker and the work of a step from the progress of a run.
    fn measure_speed(&mut self, worker: &str, running: &ActiveRun, now: Duration) {
        let task = running.task;
        let spans_racks = self.spans_racks(task);
        let Some(spec) = self.jobs.get(&task.job).and_then(|job| job.step_spec(task.step)) else {
            return;
        };
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        // Outside of its rack a task is slow through no fault of the worker.
        let outside_data_rack = spec.data_rack.is_some() && spec.data_rack != entry.listing.rack;
        if spec.continuous || spec.fills || outside_data_rack || spans_racks {
            return;
        }
        let declared = spec.estimate;
        let Some(run) = entry.runs.get_mut(&(task, running.run)) else {
            return;
        };
        let to = ProgressSample { at: now, percent: running.percent };
        let Some(from) = run.measured_from else {
            run.measured_from = Some(to);
            return;
        };
        let job = self.jobs.get_mut(&task.job);
        let Some(step) = job.and_then(|job| job.step_mut(task.step_key())) else {
            return;
        };
        if record_progress(&mut step.work_estimate, &mut entry.speed, declared, from, to) {
            run.measured_from = Some(to);
        }
    }
}

/// Updates a known run from a report.
fn update_run(run: &mut RunEntry, running: &ActiveRun, now: Duration) {
    run.confirmed.get_or_insert(now);
    run.reported = true;
    if run.phase == RunPhase::Starting {
        run.phase = RunPhase::Running;
    }
    if running.percent > run.percent {
        run.percent = running.percent;
        run.progressed_at = now;
    }
    run.checkpoint.clone_from(&running.checkpoint);
    run.usage = f64::from(running.usage);
}
