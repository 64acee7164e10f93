//! Disruption budgets of continuous steps.
//!
//! A customer may limit how many tasks of a continuous step are unavailable at once. A task counts
//! as unavailable, whatever the cause, unless its worker reports that it is working.

use std::collections::BTreeMap;

use lacewingrail_model::WorkerId;

use super::FleetPlanner;
use crate::run::RunPhase;
use crate::spec::{RunNumber, StepKey, StepSpec};

/// Share of its work at which a continuous task is reported as working, in percent.
const WORKING_PERCENT: u32 = 100;

/// Counts the tasks of each step that may still be chosen for a stop in one decision.
#[derive(Default)]
pub(super) struct DisruptionBudgets {
    remaining: BTreeMap<StepKey, u32>,
}

impl DisruptionBudgets {
    /// Consumes one task of the budget of a step, and returns whether the task may be stopped;
    /// always true for steps without a budget.
    pub fn try_consume(&mut self, planner: &FleetPlanner, key: StepKey, spec: &StepSpec) -> bool {
        let Some(budget) = spec.most_away.filter(|_| spec.continuous) else {
            return true;
        };
        let remaining = self
            .remaining
            .entry(key)
            .or_insert_with(|| budget.saturating_sub(planner.unavailable_tasks(key)));
        let may_stop = *remaining > 0;
        *remaining = remaining.saturating_sub(1);
        may_stop
    }
}

impl FleetPlanner {
    /// Returns how many tasks of a step are not working.
    fn unavailable_tasks(&self, key: StepKey) -> u32 {
        let step = self.jobs.get(&key.job).and_then(|job| job.step(key));
        let Some(step) = step else {
            return 0;
        };
        let is_working = |(index, worker, run): &(u32, &WorkerId, RunNumber)| {
            let worker = self.workers.get(*worker);
            let entry = worker.and_then(|worker| worker.runs.get(&(key.task(*index), *run)));
            entry
                .is_some_and(|run| run.phase == RunPhase::Running && run.percent >= WORKING_PERCENT)
        };
        step.count() - step.assigned().filter(is_working).count() as u32
    }
}
