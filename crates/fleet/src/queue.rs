//! The order in which waiting work is considered.
//!
//! Answers the load pattern in which accepted work exceeds the fleet for the whole day. Urgent work
//! that its customer's guarantee covers comes first, then other urgent work, each in order of its
//! objective. Behind it, work is ordered by the value that its customer
//! still gets for each second of capacity that it takes: small jobs and jobs that are nearly done
//! come first, work that can no longer be on time comes behind work that can, and what is far too
//! late comes last. This is weighted shortest processing time (W. E. Smith, "Various optimizers for
//! single-stage production", 1956) with values that fall at each job's objective.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::amount::ResourceAmount;
use crate::config::{FleetConfig, QueuePolicy};
use crate::job::{JobEntry, TaskPhase};
use crate::spec::{JobKey, QueueName, StepSpec};

/// Priority of urgent work.
pub const URGENT: u32 = 0;
/// Weight of a job by the priority of its queue; further priorities have the last weight.
const PRIORITY_WEIGHTS: [f64; 3] = [4.0, 3.0, 1.0];
/// Share of a job's value that does not depend on its size.
const FIXED_VALUE: f64 = 0.3;
/// Largest value of a job against the mean of its queue.
const LARGEST_VALUE: f64 = 4.0;
/// Share of its value that late work keeps.
const LATE_SHARE: f64 = 0.3;
/// Share of its value that work keeps when it is so late that its customer has likely given up.
const LAPSED_SHARE: f64 = 0.01;
/// Multiple of the objective after which work has lapsed.
pub const LAPSED_MULTIPLE: f64 = 3.0;
/// Cores that an accelerator counts as when work is measured.
const ACCELERATOR_CORES: f64 = 8.0;

/// Selects how waiting work is ordered.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum QueueOrder {
    /// Urgent work first, then by value for the capacity taken, see the head of the module.
    #[default]
    Value,
    /// By acceptance, without preemption; a baseline for measurements.
    Arrival,
    /// By the end of the objective, without preemption; a baseline for measurements.
    Deadline,
    /// By value for the capacity taken, whether or not it comes in time, without preemption; a
    /// baseline for measurements.
    Density,
}

impl QueueOrder {
    /// Returns whether urgent work comes before all other work and takes its room.
    pub fn preempts(self) -> bool {
        self == Self::Value
    }
}

/// Holds what the order of work depends on beside the jobs.
#[derive(Clone, Copy, Debug)]
pub struct RankBasis<'a> {
    /// Order.
    pub order: QueueOrder,
    /// Settings.
    pub config: &'a FleetConfig,
    /// Urgent jobs that their customers' guarantees cover.
    pub covered: &'a BTreeSet<JobKey>,
    /// Mean work of the jobs of each queue.
    pub means: &'a WorkMeans,
    /// Capacity of the largest worker.
    pub capacity: ResourceAmount,
    /// Time.
    pub now: Duration,
}

/// Names a step that has waiting tasks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkItem {
    /// Job.
    pub job: JobKey,
    /// Occurrence.
    pub occurrence: u32,
    /// Step.
    pub step: u32,
    /// Priority of the queue.
    pub priority: u32,
    /// Whether the customer's guarantee covers the job.
    pub covered: bool,
    /// Value per second of capacity; of urgent work, the negative time to its objective. Higher comes
    /// first.
    pub rank: f64,
}

/// Keeps the mean work of the jobs of each queue, in core-seconds.
#[derive(Clone, Debug, Default)]
pub struct WorkMeans {
    sums: BTreeMap<QueueName, (f64, f64)>,
}

impl WorkMeans {
    /// Notes an accepted job.
    pub fn note(&mut self, queue: &str, work: f64) {
        let (sum, count) = self.sums.entry(queue.to_owned()).or_default();
        *sum += work;
        *count += 1.0;
    }

    /// Returns the mean work of a queue; nothing before the first job.
    pub fn mean(&self, queue: &str) -> Option<f64> {
        self.sums.get(queue).map(|(sum, count)| sum / count)
    }
}

/// Returns the work of a step in core-seconds, accelerators counted as cores.
pub fn step_work(spec: &StepSpec, tasks: u32) -> f64 {
    let cores =
        spec.demand.cpu_milli as f64 / 1000.0 + spec.demand.accelerators as f64 * ACCELERATOR_CORES;
    cores * spec.estimate.as_secs_f64() * f64::from(tasks)
}

/// Returns the work of a whole job in core-seconds.
pub fn job_work(steps: &[StepSpec]) -> f64 {
    steps.iter().map(|step| step_work(step, step.count)).sum()
}

/// Returns the time from acceptance within which a job is on time.
pub fn objective(entry: &JobEntry, policy: &QueuePolicy) -> Duration {
    entry.submission.spec.critical_path().mul_f64(policy.stretch.max(0.0)) + policy.slack
}

/// Returns all steps that can start now, the first to be considered first.
pub fn rank_work(jobs: &BTreeMap<JobKey, JobEntry>, basis: &RankBasis<'_>) -> Vec<WorkItem> {
    let mut items = Vec::new();
    for (key, entry) in jobs {
        if entry.phase.is_final() {
            continue;
        }
        let Some(policy) = basis.config.queues.get(&entry.submission.queue) else {
            continue;
        };
        let rank = rank_job(entry, policy, basis);
        for occurrence in &entry.occurrences {
            for step in ready_steps(entry, occurrence.number) {
                items.push(WorkItem {
                    job: *key,
                    occurrence: occurrence.number,
                    step,
                    priority: policy.priority,
                    covered: basis.covered.contains(key),
                    rank,
                });
            }
        }
    }
    items.sort_by(|left, right| {
        let tier = |item: &WorkItem| (!item.covered, item.priority != URGENT);
        let tier = |item: &WorkItem| if basis.order.preempts() { tier(item) } else { (true, true) };
        tier(left)
            .cmp(&tier(right))
            .then(right.rank.total_cmp(&left.rank))
            .then(left.job.cmp(&right.job))
            .then(left.step.cmp(&right.step))
    });
    items
}

/// Returns the steps of an occurrence whose predecessors are done and that have waiting tasks.
fn ready_steps(entry: &JobEntry, occurrence: u32) -> Vec<u32> {
    let Some(state) = entry.occurrence(occurrence) else {
        return Vec::new();
    };
    let done = |index: &u32| state.steps.get(*index as usize).is_some_and(|step| step.is_done());
    let ready = |(index, spec): &(usize, &StepSpec)| {
        let waits = state.steps[*index].tasks.iter().any(|task| task.phase == TaskPhase::Waiting);
        waits && spec.after.iter().all(done)
    };
    let specs = entry.submission.spec.steps.iter().enumerate();
    specs.filter(ready).map(|(index, _)| index as u32).collect()
}

/// Returns the rank of a job's steps, see [`WorkItem::rank`].
pub fn rank_job(entry: &JobEntry, policy: &QueuePolicy, basis: &RankBasis<'_>) -> f64 {
    let objective = objective(entry, policy);
    let due = entry.accepted + objective;
    match basis.order {
        QueueOrder::Value if policy.priority == URGENT => {
            basis.now.as_secs_f64() - due.as_secs_f64()
        }
        QueueOrder::Value => {
            let finish = basis.now + remaining_path(entry);
            density(entry, policy, basis) * timeliness(entry.accepted, objective, finish)
        }
        QueueOrder::Arrival => -entry.accepted.as_secs_f64(),
        QueueOrder::Deadline => -due.as_secs_f64(),
        QueueOrder::Density => density(entry, policy, basis),
    }
}

/// Returns the value of a job on time for each second of capacity that it still takes.
fn density(entry: &JobEntry, policy: &QueuePolicy, basis: &RankBasis<'_>) -> f64 {
    let work = job_work(&entry.submission.spec.steps);
    let mean = basis.means.mean(&entry.submission.queue).unwrap_or(work).max(f64::MIN_POSITIVE);
    let size = (FIXED_VALUE + (1.0 - FIXED_VALUE) * work / mean).min(LARGEST_VALUE);
    let class = (policy.priority as usize).min(PRIORITY_WEIGHTS.len() - 1);
    let seconds = remaining_capacity(entry, &basis.capacity).max(f64::MIN_POSITIVE);
    PRIORITY_WEIGHTS[class] * size / seconds
}

/// Returns the share of its value that work keeps when it ends at a time.
pub fn timeliness(accepted: Duration, objective: Duration, finish: Duration) -> f64 {
    if finish <= accepted + objective {
        1.0
    } else if finish <= accepted + objective.mul_f64(LAPSED_MULTIPLE) {
        LATE_SHARE
    } else {
        LAPSED_SHARE
    }
}

/// Returns the longest chain of declared run times through the steps that are not done.
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

/// Returns the seconds of one worker's whole capacity that the tasks not yet done take.
fn remaining_capacity(entry: &JobEntry, capacity: &ResourceAmount) -> f64 {
    let mut seconds = 0.0;
    for occurrence in &entry.occurrences {
        for (spec, step) in entry.submission.spec.steps.iter().zip(&occurrence.steps) {
            let left = f64::from(spec.count - step.done.min(spec.count));
            seconds += left * spec.demand.dominant_share(capacity) * spec.estimate.as_secs_f64();
        }
    }
    seconds
}
