//! How many tasks of a continuous step may be stopped for other work.
//!
//! A customer may limit how many tasks of a continuous step are away at once. A task counts as away
//! unless its worker reports it as at work, whatever the cause.

use std::collections::BTreeMap;

use super::FleetPlanner;
use crate::job::TaskPhase;
use crate::spec::{StepKey, StepSpec};
use crate::worker::RunPhase;

/// Share at which a continuous task is at work.
const AT_WORK: u32 = 100;

/// Counts the tasks that may still be chosen for a stop in one decision.
#[derive(Default)]
pub(super) struct AwayBudgets {
    left: BTreeMap<StepKey, u32>,
}

impl AwayBudgets {
    /// Takes one task of a step from its budget; returns whether it may be stopped.
    pub fn take(&mut self, planner: &FleetPlanner, key: StepKey, spec: &StepSpec) -> bool {
        let Some(most) = spec.most_away.filter(|_| spec.continuous) else {
            return true;
        };
        let left =
            self.left.entry(key).or_insert_with(|| most.saturating_sub(planner.tasks_away(key)));
        let may_stop = *left > 0;
        *left = left.saturating_sub(1);
        may_stop
    }
}

impl FleetPlanner {
    /// Returns how many tasks of a step are not at work.
    fn tasks_away(&self, key: StepKey) -> u32 {
        let step = self.jobs.get(&key.job).and_then(|job| job.step(key));
        let tasks = step.map(|step| step.tasks.as_slice()).unwrap_or_default();
        let at_work = |phase: &TaskPhase, index: usize| {
            let TaskPhase::Assigned { worker, run } = phase else {
                return false;
            };
            let run_key = (key.task(index as u32), *run);
            let entry = self.workers.get(worker).and_then(|worker| worker.runs.get(&run_key));
            entry.is_some_and(|run| run.phase == RunPhase::Running && run.percent >= AT_WORK)
        };
        let working = tasks.iter().enumerate().filter(|(index, task)| at_work(&task.phase, *index));
        (tasks.len() - working.count()) as u32
    }
}
