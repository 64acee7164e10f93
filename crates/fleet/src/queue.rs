//! The order in which waiting steps are considered.
//!
//! The order matters most while accepted work exceeds the fleet for a whole day. Urgent work that
//! its customer's guarantee covers comes first, then other urgent work, each ordered by the end of
//! its objective. Other work is ordered by value density: the value that its customer still gets
//! for each second of capacity it takes. So small jobs and jobs that are nearly done come first,
//! work that can no longer be on time comes behind work that can, and work that its customer has
//! likely abandoned comes last. This is weighted shortest processing time (W. E. Smith, "Various
//! optimizers for single-stage production", 1956) with values that fall at each job's objective.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::amount::ResourceAmount;
use crate::config::{FleetConfig, QueuePolicy};
use crate::job::JobEntry;
use crate::spec::{JobKey, QueueName, StepSpec};

/// Priority class of urgent work.
pub const URGENT_PRIORITY: u32 = 0;
/// Weight of a job by its priority class; further classes have the last weight.
const PRIORITY_WEIGHTS: [f64; 3] = [4.0, 3.0, 1.0];
/// Part of a job's value that does not depend on its size, where the mean job of the queue has 1.
const SIZE_INDEPENDENT_VALUE: f64 = 0.3;
/// Maximum value of a job, where the mean job of the queue has 1.
const MAX_RELATIVE_VALUE: f64 = 4.0;
/// Share of its value that work keeps when it ends after its objective.
const LATE_VALUE_SHARE: f64 = 0.3;
/// Share of its value that work keeps once its customer has likely abandoned it.
const ABANDONED_VALUE_SHARE: f64 = 0.01;
/// Multiple of the objective after which a customer has likely abandoned a job.
pub const ABANDONED_OBJECTIVE_MULTIPLE: f64 = 3.0;
/// Number of cores that an accelerator counts as when work is measured.
const ACCELERATOR_CORES: f64 = 8.0;

/// Selects how waiting steps are ordered.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum QueueOrder {
    /// Urgent work first, then by value density, see the module documentation.
    #[default]
    Value,
    /// By time of acceptance, without preemption; a baseline for measurements.
    Arrival,
    /// By the end of the objective, without preemption; a baseline for measurements.
    Deadline,
    /// By value density as if all work could still be on time, without preemption; a baseline for
    /// measurements.
    Density,
}

impl QueueOrder {
    /// Returns whether urgent work comes before all other work and may preempt it.
    pub fn preempts(self) -> bool {
        self == Self::Value
    }
}

/// Inputs of the order besides the jobs themselves.
#[derive(Clone, Copy, Debug)]
pub struct RankContext<'a> {
    /// How waiting steps are ordered.
    pub order: QueueOrder,
    /// Settings in force.
    pub config: &'a FleetConfig,
    /// Urgent jobs that their customers' guarantees cover.
    pub covered: &'a BTreeSet<JobKey>,
    /// Mean declared work of the jobs of each queue.
    pub mean_work: &'a MeanWork,
    /// Capacity of the largest worker, against which demands are measured.
    pub largest_capacity: ResourceAmount,
    /// Time at which the steps are ordered.
    pub now: Duration,
}

/// Step that has waiting tasks and may start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkItem {
    /// Job that the step belongs to.
    pub job: JobKey,
    /// Index of the occurrence, from 0.
    pub occurrence: u32,
    /// Index of the step within the job, from 0.
    pub step: u32,
    /// Priority class of the queue; 0 is urgent.
    pub priority: u32,
    /// Whether the customer's guarantee covers the job.
    pub covered: bool,
    /// Rank under the chosen order; higher comes first. By default the value per second of
    /// capacity, or for urgent work the negative time left to the end of the objective.
    pub rank: f64,
}

/// Mean declared work of the accepted jobs of each queue, in core-seconds.
#[derive(Clone, Debug, Default)]
pub struct MeanWork {
    /// Sum of the work and number of the jobs of each queue.
    sums: BTreeMap<QueueName, (f64, f64)>,
}

impl MeanWork {
    /// Records an accepted job with its work in core-seconds.
    pub fn record(&mut self, queue: &str, work: f64) {
        let (sum, count) = self.sums.entry(queue.to_owned()).or_default();
        *sum += work;
        *count += 1.0;
    }

    /// Returns the mean work of the jobs of a queue in core-seconds, or `None` before its first
    /// job.
    pub fn of_queue(&self, queue: &str) -> Option<f64> {
        self.sums.get(queue).map(|(sum, count)| sum / count)
    }
}

/// Returns the declared work of a number of a step's tasks, in core-seconds with accelerators
/// counted as cores.
pub fn step_work(spec: &StepSpec, tasks: u32) -> f64 {
    let cores =
        spec.demand.cpu_milli as f64 / 1000.0 + spec.demand.accelerators as f64 * ACCELERATOR_CORES;
    cores * spec.estimate.as_secs_f64() * f64::from(tasks)
}

/// Returns the declared work of all tasks of a job, in core-seconds.
pub fn job_work(steps: &[StepSpec]) -> f64 {
    steps.iter().map(|step| step_work(step, step.count)).sum()
}

/// Returns the objective of a job: the time from its acceptance within which it is on time.
pub fn objective(entry: &JobEntry, policy: &QueuePolicy) -> Duration {
    entry.submission.spec.critical_path().mul_f64(policy.stretch.max(0.0)) + policy.slack
}

/// Returns all steps that may start now, in the order in which to consider them.
pub fn rank_work(jobs: &BTreeMap<JobKey, JobEntry>, context: &RankContext<'_>) -> Vec<WorkItem> {
    let mut items = Vec::new();
    for (key, entry) in jobs {
        if entry.phase.is_final() {
            continue;
        }
        let Some(policy) = context.config.queues.get(&entry.submission.queue) else {
            continue;
        };
        let rank = rank_job(entry, policy, context);
        for occurrence in &entry.occurrences {
            for step in ready_steps(entry, occurrence.number) {
                items.push(WorkItem {
                    job: *key,
                    occurrence: occurrence.number,
                    step,
                    priority: policy.priority,
                    covered: context.covered.contains(key),
                    rank,
                });
            }
        }
    }
    items.sort_by(|left, right| {
        let tier = |item: &WorkItem| (!item.covered, item.priority != URGENT_PRIORITY);
        let tier =
            |item: &WorkItem| if context.order.preempts() { tier(item) } else { (true, true) };
        tier(left)
            .cmp(&tier(right))
            .then(right.rank.total_cmp(&left.rank))
            .then(left.job.cmp(&right.job))
            .then(left.step.cmp(&right.step))
    });
    items
}

/// Returns the steps of an occurrence that have waiting tasks and whose predecessors are done.
fn ready_steps(entry: &JobEntry, occurrence: u32) -> Vec<u32> {
    let Some(state) = entry.occurrence(occurrence) else {
        return Vec::new();
    };
    let done = |index: &u32| state.steps.get(*index as usize).is_some_and(|step| step.is_done());
    let ready = |(index, spec): &(usize, &StepSpec)| {
        state.steps[*index].waiting_count() > 0 && spec.after.iter().all(done)
    };
    let specs = entry.submission.spec.steps.iter().enumerate();
    specs.filter(ready).map(|(index, _)| index as u32).collect()
}

/// Returns the rank that all steps of a job share, see [`WorkItem::rank`].
pub fn rank_job(entry: &JobEntry, policy: &QueuePolicy, context: &RankContext<'_>) -> f64 {
    let objective = objective(entry, policy);
    let due = entry.accepted_at + objective;
    match context.order {
        QueueOrder::Value if policy.priority == URGENT_PRIORITY => {
            context.now.as_secs_f64() - due.as_secs_f64()
        }
        QueueOrder::Value => {
            let finish = context.now + remaining_path(entry);
            value_density(entry, policy, context)
                * remaining_value_share(entry.accepted_at, objective, finish)
        }
        QueueOrder::Arrival => -entry.accepted_at.as_secs_f64(),
        QueueOrder::Deadline => -due.as_secs_f64(),
        QueueOrder::Density => value_density(entry, policy, context),
    }
}

/// Returns the value that a job has if it is on time, for each second of capacity that it still
/// takes.
fn value_density(entry: &JobEntry, policy: &QueuePolicy, context: &RankContext<'_>) -> f64 {
    let work = job_work(&entry.submission.spec.steps);
    let mean =
        context.mean_work.of_queue(&entry.submission.queue).unwrap_or(work).max(f64::MIN_POSITIVE);
    let relative_value = (SIZE_INDEPENDENT_VALUE + (1.0 - SIZE_INDEPENDENT_VALUE) * work / mean)
        .min(MAX_RELATIVE_VALUE);
    let class = (policy.priority as usize).min(PRIORITY_WEIGHTS.len() - 1);
    let seconds = remaining_worker_seconds(entry, &context.largest_capacity).max(f64::MIN_POSITIVE);
    PRIORITY_WEIGHTS[class] * relative_value / seconds
}

/// Returns the share of its value that a job keeps if it ends at `finish`.
pub fn remaining_value_share(accepted_at: Duration, objective: Duration, finish: Duration) -> f64 {
    if finish <= accepted_at + objective {
        1.0
    } else if finish <= accepted_at + objective.mul_f64(ABANDONED_OBJECTIVE_MULTIPLE) {
        LATE_VALUE_SHARE
    } else {
        ABANDONED_VALUE_SHARE
    }
}

/// Returns the length of the critical path through the steps that are not done, by declared run
/// times.
fn remaining_path(entry: &JobEntry) -> Duration {
    let Some(state) = entry.occurrences.first() else {
        return entry.submission.spec.critical_path();
    };
    let mut ends: Vec<Duration> = Vec::new();
    for (spec, step) in entry.submission.spec.steps.iter().zip(&state.steps) {
        let start = spec.after.iter().filter_map(|index| ends.get(*index as usize)).max();
        let own = if step.is_done() { Duration::ZERO } else { spec.estimate };
        ends.push(start.copied().unwrap_or_default() + own);
    }
    ends.into_iter().max().unwrap_or_default()
}

/// Returns for how many seconds the tasks not yet done would take up the whole of one worker.
fn remaining_worker_seconds(entry: &JobEntry, capacity: &ResourceAmount) -> f64 {
    let mut seconds = 0.0;
    for occurrence in &entry.occurrences {
        for (spec, step) in entry.submission.spec.steps.iter().zip(&occurrence.steps) {
            let left = f64::from(spec.count - step.done_count());
            seconds += left * spec.demand.dominant_share(capacity) * spec.estimate.as_secs_f64();
        }
    }
    seconds
}
