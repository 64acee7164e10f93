//! Pacing of filling tasks beside tasks that serve.

use std::time::Duration;

use lacewingrail_model::WorkerId;

use super::FleetPlanner;
use crate::order::FleetOrder;
use crate::pace::{FULL_PACE, next_pace};
use crate::spec::{RunNumber, TaskKey};
use crate::worker::{RunEntry, RunPhase, WorkerEntry};

/// Time between changes on one worker: the span of a measurement and the time until a change works.
const PACE_PERIOD: Duration = Duration::from_millis(700);

/// Holds what decides over the share of the filling tasks on one worker.
struct PaceChange {
    worker: WorkerId,
    /// Highest tail latency of a serving task against its target; nothing if none serves there.
    pressure: Option<f64>,
    fills: Vec<(TaskKey, RunNumber)>,
}

impl FleetPlanner {
    /// Adapts the share of filling tasks on every worker to the tasks that serve beside them.
    pub(super) fn adapt_pace(&mut self, now: Duration) {
        let due = |worker: &&WorkerEntry| {
            let elapsed = worker.paced.map_or(Duration::MAX, |paced| now.saturating_sub(paced));
            elapsed >= PACE_PERIOD && worker.report_age(now) < PACE_PERIOD
        };
        let due = self.workers.values().filter(due);
        let changes: Vec<PaceChange> = due.map(|worker| self.pace_change(worker)).collect();
        for change in changes {
            self.set_pace(&change, now);
        }
    }

    /// Returns what decides over the share of the filling tasks on a worker.
    fn pace_change(&self, worker: &WorkerEntry) -> PaceChange {
        let fills: Vec<(TaskKey, RunNumber)> = worker
            .runs
            .iter()
            .filter(|((task, _), run)| run.phase == RunPhase::Running && self.fills(*task))
            .map(|(key, _)| *key)
            .collect();
        let pressure = if fills.is_empty() { None } else { self.pressure_on(worker) };
        PaceChange { worker: worker.listing.id.clone(), pressure, fills }
    }

    /// Orders the next share of filling tasks; nothing where it stays.
    fn set_pace(&mut self, change: &PaceChange, now: Duration) {
        let Some(entry) = self.workers.get_mut(&change.worker) else {
            return;
        };
        entry.paced = Some(now);
        for (task, run) in &change.fills {
            let Some(run_entry) = entry.runs.get_mut(&(*task, *run)) else {
                continue;
            };
            // The share that an earlier scheduler left is not known; a low one is safe.
            let known = run_entry.pace.unwrap_or_default();
            let pace = change.pressure.map_or(FULL_PACE, |pressure| next_pace(known, pressure));
            if run_entry.pace == Some(pace) {
                continue;
            }
            run_entry.pace = Some(pace);
            let target = entry.listing.target(*task, *run);
            self.orders.push(FleetOrder::LimitCpu { target, percent: pace });
        }
    }

    /// Notes that the share of a run is not known because an order was not confirmed.
    pub(super) fn note_unpaced(&mut self, worker: &str, task: TaskKey, run: RunNumber) {
        let entry = self.workers.get_mut(worker).and_then(|entry| entry.runs.get_mut(&(task, run)));
        if let Some(entry) = entry {
            entry.pace = None;
        }
    }

    fn fills(&self, task: TaskKey) -> bool {
        self.task_spec(task).is_some_and(|spec| spec.fills)
    }

    /// Returns the highest tail latency of the serving tasks on a worker against its target; nothing
    /// if none serves there.
    fn pressure_on(&self, worker: &WorkerEntry) -> Option<f64> {
        let pressure = |((task, _), run): (&(TaskKey, RunNumber), &RunEntry)| {
            let target = self.task_spec(*task)?.target?;
            Some(run.usage / target.as_secs_f64().max(f64::MIN_POSITIVE) / 1000.0)
        };
        worker.runs.iter().filter_map(pressure).max_by(f64::total_cmp)
    }
}
