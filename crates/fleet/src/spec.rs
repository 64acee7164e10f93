//! The definition of a job as its customer submits it, and the keys that identify its parts.

use std::time::Duration;

use lacewingrail_model::{CustomerName, RackName};
use serde::{Deserialize, Serialize};

use crate::amount::ResourceAmount;

/// Identifies a job. The client chooses the value.
pub type JobKey = u64;
/// Name of the queue that a job is submitted to, as in the settings.
pub type QueueName = String;
/// Number of a run of a task, from 1. Rises with every start, over all schedulers.
pub type RunNumber = u32;
/// Opaque name of a checkpoint, from which a worker resumes a task.
pub type CheckpointName = String;

/// Identifies one task of one occurrence of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TaskKey {
    /// Job that the task belongs to.
    pub job: JobKey,
    /// Index of the occurrence, from 0; 0 unless the job recurs.
    pub occurrence: u32,
    /// Index of the step within the job, from 0.
    pub step: u32,
    /// Index of the task within the step, from 0.
    pub index: u32,
}

impl TaskKey {
    /// Returns the key of the step that the task belongs to.
    pub fn step_key(&self) -> StepKey {
        StepKey { job: self.job, occurrence: self.occurrence, step: self.step }
    }
}

/// Identifies one step of one occurrence of a job.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StepKey {
    /// Job that the step belongs to.
    pub job: JobKey,
    /// Index of the occurrence, from 0; 0 unless the job recurs.
    pub occurrence: u32,
    /// Index of the step within the job, from 0.
    pub step: u32,
}

impl StepKey {
    /// Returns the key of the task with an index in the step.
    pub fn task(&self, index: u32) -> TaskKey {
        TaskKey { job: self.job, occurrence: self.occurrence, step: self.step, index }
    }
}

/// Definition of one step of a job, whose tasks all have the same demand and constraints.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StepSpec {
    /// Number of tasks; at least 1.
    pub count: u32,
    /// Resources that each task takes on its worker.
    pub demand: ResourceAmount,
    /// Run time of a task as the customer declares it. Often wrong, so a hint only.
    pub estimate: Duration,
    /// Indexes of earlier steps whose tasks must all be done before this step starts.
    #[serde(default)]
    pub after: Vec<u32>,
    /// Whether the tasks run all together or not at all.
    #[serde(default)]
    pub gang: bool,
    /// Whether the tasks run many times slower when they are spread over several racks.
    #[serde(default)]
    pub one_rack: bool,
    /// Label that a worker must have to run the tasks; any worker may if absent.
    #[serde(default)]
    pub label: Option<String>,
    /// Rack that holds the input data. Tasks on other racks run many times slower.
    #[serde(default)]
    pub data_rack: Option<RackName>,
    /// Maximum number of tasks of the step on one worker; no limit if absent.
    #[serde(default)]
    pub worker_limit: Option<u32>,
    /// Whether the tasks save checkpoints that a later run resumes from.
    #[serde(default)]
    pub checkpoints: bool,
    /// Whether the tasks have no end of their own and run until the job is cancelled.
    #[serde(default)]
    pub continuous: bool,
    /// Maximum tail latency that the users of a serving task accept; absent for other tasks.
    #[serde(default)]
    pub target: Option<Duration>,
    /// Whether the tasks are best-effort: they use only processor time that others leave idle.
    /// Their demand includes no processors.
    #[serde(default)]
    pub fills: bool,
    /// Disruption budget of a continuous step: the scheduler stops a task only while fewer than
    /// this many are unavailable. No limit if absent.
    #[serde(default)]
    pub most_away: Option<u32>,
}

/// Times at which a recurring job is due.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobSchedule {
    /// Time of the first occurrence, in milliseconds since the Unix epoch.
    pub first_unix_ms: u64,
    /// Time from one occurrence to the next.
    pub period: Duration,
    /// Number of occurrences.
    pub times: u32,
}

/// Definition of a job: its steps, their input and its schedule.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct JobSpec {
    /// Text passed to the workers with each task, opaque to the scheduler.
    pub payload: String,
    /// Steps, each after the steps that it depends on.
    pub steps: Vec<StepSpec>,
    /// Schedule of a recurring job; absent for a job that runs once.
    #[serde(default)]
    pub schedule: Option<JobSchedule>,
}

/// Submission of a job as it was accepted and stored; never changes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JobSubmission {
    /// Key that the client chose for the job.
    pub key: JobKey,
    /// Queue that the job was submitted to.
    pub queue: QueueName,
    /// Customer that owns the job and whose guarantee it counts against.
    pub customer: CustomerName,
    /// What the job runs.
    pub spec: JobSpec,
    /// Wall-clock time of acceptance, in milliseconds since the Unix epoch.
    pub accepted_unix_ms: u64,
}

/// Memory of the serialized form of one step in bytes, without its texts and lists, rounded up.
const STEP_RECORD_BYTES: usize = 320;
/// Number of serialized forms of a job that exist while it is stored.
const RECORD_COPIES: usize = 4;

impl JobSpec {
    /// Estimates the memory of the job until it is stored, in bytes.
    pub fn memory_bytes(&self) -> u64 {
        let text_bytes = |text: &Option<String>| text.as_ref().map_or(0, String::len);
        let list_bytes = |step: &StepSpec| {
            let names = text_bytes(&step.label) + text_bytes(&step.data_rack);
            names + step.after.len() * size_of::<u32>()
        };
        let step_bytes = |step: &StepSpec| {
            size_of::<StepSpec>() + RECORD_COPIES * (STEP_RECORD_BYTES + list_bytes(step))
        };
        let steps: usize = self.steps.iter().map(step_bytes).sum();
        (steps + RECORD_COPIES * self.payload.len()) as u64
    }

    /// Returns the length of the critical path through the steps, by declared run times.
    pub fn critical_path(&self) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let start = step.after.iter().filter_map(|index| ends.get(*index as usize)).max();
            ends.push(start.copied().unwrap_or_default() + step.estimate);
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Returns the number of occurrences; 1 for a job that runs once.
    pub fn occurrences(&self) -> u32 {
        self.schedule.as_ref().map_or(1, |schedule| schedule.times)
    }

    /// Returns why no fleet could ever run the job, or `None` if the definition is valid.
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
