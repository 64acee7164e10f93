//! CPU limits of best-effort tasks on the same worker as serving tasks.

use std::time::Duration;

use lacewingrail_model::WorkerId;

use super::FleetPlanner;
use crate::cpu_limit::{FULL_CPU_LIMIT_PERCENT, next_cpu_limit};
use crate::order::FleetOrder;
use crate::run::{RunEntry, RunPhase};
use crate::spec::{RunNumber, TaskKey};
use crate::worker::WorkerEntry;

/// Time between two changes on one worker: the span of a latency measurement and the time until a
/// change takes effect.
const ADJUSTMENT_INTERVAL: Duration = Duration::from_millis(700);

/// Best-effort runs on one worker, and the latency that their CPU limits depend on.
struct LimitAdjustment {
    worker: WorkerId,
    /// Highest ratio of tail latency to its target among the serving tasks, or `None` if there are
    /// none.
    latency_ratio: Option<f64>,
    best_effort_runs: Vec<(TaskKey, RunNumber)>,
}

impl FleetPlanner {
    /// Adjusts the CPU limits of best-effort tasks on every worker to the latency of the serving
    /// tasks there.
    pub(super) fn adjust_cpu_limits(&mut self, now: Duration) {
        let due = |worker: &&WorkerEntry| {
            let elapsed = worker
                .cpu_limits_adjusted_at
                .map_or(Duration::MAX, |adjusted_at| now.saturating_sub(adjusted_at));
            elapsed >= ADJUSTMENT_INTERVAL && worker.report_age(now) < ADJUSTMENT_INTERVAL
        };
        let due = self.workers.values().filter(due);
        let adjustments: Vec<LimitAdjustment> =
            due.map(|worker| self.limit_adjustment(worker)).collect();
        for adjustment in adjustments {
            self.order_cpu_limits(&adjustment, now);
        }
    }

    /// Returns the best-effort runs on a worker and the latency ratio that limits them.
    fn limit_adjustment(&self, worker: &WorkerEntry) -> LimitAdjustment {
        let best_effort_runs: Vec<(TaskKey, RunNumber)> = worker
            .runs
            .iter()
            .filter(|((task, _), run)| run.phase == RunPhase::Running && self.is_best_effort(*task))
            .map(|(key, _)| *key)
            .collect();
        let latency_ratio =
            if best_effort_runs.is_empty() { None } else { self.max_latency_ratio(worker) };
        LimitAdjustment { worker: worker.listing.id.clone(), latency_ratio, best_effort_runs }
    }

    /// Orders the next CPU limits of best-effort tasks, where they change.
    fn order_cpu_limits(&mut self, adjustment: &LimitAdjustment, now: Duration) {
        let Some(entry) = self.workers.get_mut(&adjustment.worker) else {
            return;
        };
        entry.cpu_limits_adjusted_at = Some(now);
        let token = entry.fencing.token(self.settings.epoch);
        for (task, run) in &adjustment.best_effort_runs {
            let Some(run_entry) = entry.runs.get_mut(&(*task, *run)) else {
                continue;
            };
            // The limit that an earlier scheduler set is not known; a low one is safe.
            let current = run_entry.cpu_limit.unwrap_or_default();
            let limit = adjustment
                .latency_ratio
                .map_or(FULL_CPU_LIMIT_PERCENT, |ratio| next_cpu_limit(current, ratio));
            if run_entry.cpu_limit == Some(limit) {
                continue;
            }
            run_entry.cpu_limit = Some(limit);
            let target = entry.listing.task_run(*task, *run, token);
            self.orders.push(FleetOrder::LimitCpu { target, percent: limit });
        }
    }

    /// Clears the CPU limit of a run, because the worker did not confirm it.
    pub(super) fn clear_cpu_limit(&mut self, worker: &str, task: TaskKey, run: RunNumber) {
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        entry.fencing.raise();
        if let Some(run_entry) = entry.runs.get_mut(&(task, run)) {
            run_entry.cpu_limit = None;
        }
    }

    fn is_best_effort(&self, task: TaskKey) -> bool {
        self.task_spec(task).is_some_and(|spec| spec.fills)
    }

    /// Returns the highest ratio of tail latency to its target among the serving tasks on a worker;
    /// `None` if there are none.
    fn max_latency_ratio(&self, worker: &WorkerEntry) -> Option<f64> {
        let ratio = |((task, _), run): (&(TaskKey, RunNumber), &RunEntry)| {
            let target = self.task_spec(*task)?.target?;
            Some(run.usage / target.as_secs_f64().max(f64::MIN_POSITIVE) / 1000.0)
        };
        worker.runs.iter().filter_map(ratio).max_by(f64::total_cmp)
    }
}
