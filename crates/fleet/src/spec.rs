//! Jobs as their customers submit them.

use std::time::Duration;

use lacewingrail_model::{CustomerName, RackName};
use serde::{Deserialize, Serialize};

use crate::amount::ResourceAmount;

/// Identifies a job; the client chooses it.
pub type JobKey = u64;
/// Names the queue that a job was handed to.
pub type QueueName = String;
/// Counts the starts of one task; rises with every start.
pub type RunNumber = u32;
/// Names what a checkpoint can be restored from, opaque to the scheduler.
pub type CheckpointName = String;

/// Identifies one task of one occurrence of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TaskKey {
    /// Job.
    pub job: JobKey,
    /// Occurrence of a recurring job, from 0.
    pub occurrence: u32,
    /// Step within the job, from 0.
    pub step: u32,
    /// Task within the step, from 0.
    pub index: u32,
}

impl TaskKey {
    /// Returns the step that the task belongs to.
    pub fn step_key(&self) -> StepKey {
        StepKey { job: self.job, occurrence: self.occurrence, step: self.step }
    }
}

/// Identifies one step of one occurrence of a job.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StepKey {
    /// Job.
    pub job: JobKey,
    /// Occurrence of a recurring job, from 0.
    pub occurrence: u32,
    /// Step within the job, from 0.
    pub step: u32,
}

impl StepKey {
    /// Returns a task of the step.
    pub fn task(&self, index: u32) -> TaskKey {
        TaskKey { job: self.job, occurrence: self.occurrence, step: self.step, index }
    }
}

/// Describes one step of a job.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// Resources of each task.
    pub demand: ResourceAmount,
    /// Declared run time of a task; a hint, since it is often wrong.
    pub estimate: Duration,
    /// Steps that must be done first.
    #[serde(default)]
    pub after: Vec<u32>,
    /// Whether the tasks run together or not at all.
    #[serde(default)]
    pub gang: bool,
    /// Whether tasks on more than one rack run many times slower.
    #[serde(default)]
    pub one_rack: bool,
    /// Label that the worker must have.
    #[serde(default)]
    pub label: Option<String>,
    /// Rack that holds the data; tasks on other racks run many times slower.
    #[serde(default)]
    pub data_rack: Option<RackName>,
    /// Most tasks of the step on one worker.
    #[serde(default)]
    pub worker_limit: Option<u32>,
    /// Whether the tasks checkpoint their progress.
    #[serde(default)]
    pub checkpoints: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(default)]
    pub continuous: bool,
    /// Longest tail latency that the users of a serving task accept; nothing for other tasks.
    #[serde(default)]
    pub target: Option<Duration>,
    /// Whether the tasks only use processors that others leave unused. Their demand counts none.
    #[serde(default)]
    pub fills: bool,
    /// Tasks of a continuous step that may be away at once through orders of the scheduler; nothing
    /// for no limit.
    #[serde(default)]
    pub most_away: Option<u32>,
}

/// Describes when a recurring job is due.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobSchedule {
    /// Time of the first occurrence in milliseconds since the Unix epoch.
    pub first_unix_ms: u64,
    /// Time between occurrences.
    pub period: Duration,
    /// Number of occurrences.
    pub times: u32,
}

/// Describes a job.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct JobSpec {
    /// Text handed to the workers with each task, opaque to the scheduler.
    pub payload: String,
    /// Steps.
    pub steps: Vec<StepSpec>,
    /// Times at which a recurring job is due; nothing for a job that runs once.
    #[serde(default)]
    pub schedule: Option<JobSchedule>,
}

/// Holds an accepted submission.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JobSubmission {
    /// Job.
    pub key: JobKey,
    /// Queue that the job was handed to.
    pub queue: QueueName,
    /// Customer that owns the job.
    pub customer: CustomerName,
    /// What the job consists of.
    pub spec: JobSpec,
    /// Wall-clock time of acceptance in milliseconds since the Unix epoch.
    pub accepted_unix_ms: u64,
}

impl JobSpec {
    /// Returns the longest chain of declared run times through the steps.
    pub fn critical_path(&self) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let start = step.after.iter().filter_map(|index| ends.get(*index as usize)).max();
            ends.push(start.copied().unwrap_or_default() + step.estimate);
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Returns the number of occurrences.
    pub fn occurrences(&self) -> u32 {
        self.schedule.as_ref().map_or(1, |schedule| schedule.times)
    }

    /// Returns why the job can't be carried out whatever the load, if so.
    pub fn invalid_reason(&self) -> Option<&'static str> {
        if self.steps.is_empty() {
            return Some("the job has no steps");
        }
        for (index, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Some("a step has no tasks");
            }
            if step.after.iter().any(|earlier| *earlier as usize >= index) {
                return Some("a step waits for itself or for a later step");
            }
        }
        None
    }
}
