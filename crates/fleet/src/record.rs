//! Progress of a job as kept in the store.

use std::collections::{BTreeMap, BTreeSet};

use lacewingrail_model::WorkerId;
use serde::{Deserialize, Serialize};

use crate::job::JobPhase;
use crate::spec::{CheckpointName, RunNumber};
use crate::speed::WorkerSpeed;

/// Counts failed runs, each once although its end may be reported to several schedulers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FailureCount {
    /// Number of failed runs.
    pub count: u32,
    /// Newest run that was counted; run numbers rise.
    pub run: RunNumber,
}

impl FailureCount {
    /// Counts a failed run unless it was counted before, and returns the number of failed runs.
    pub fn note(&mut self, run: RunNumber) -> u32 {
        if run > self.run {
            self.run = run;
            self.count += 1;
        }
        self.count
    }
}

/// Holds the progress of one step of one occurrence.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StepProgress {
    /// Occurrence.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub occurrence: u32,
    /// Step.
    pub step: u32,
    /// Tasks that are done.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<u32>,
    /// Failed runs by task; of a gang, under task 0.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub failures: BTreeMap<u32, FailureCount>,
    /// Newest checkpoint by task; of a gang, under task 0.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub checkpoints: BTreeMap<u32, CheckpointName>,
}

/// Holds the progress of one job.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JobProgress {
    /// Rises with every change of the job under one scheduler.
    #[serde(default)]
    pub sequence: u64,
    /// Phase.
    pub phase: JobPhase,
    /// Workers on which tasks may have been started; stored before a start is ordered.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub workers: BTreeSet<WorkerId>,
    /// Whether a task has ever been started.
    #[serde(default)]
    pub begun: bool,
    /// Steps with any progress.
    #[serde(default)]
    pub steps: Vec<StepProgress>,
}

/// Holds what the next scheduler should know of a worker.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WorkerDigest {
    /// Start of the worker's present life, in milliseconds since the Unix epoch.
    pub born: u64,
    /// Estimated speed.
    #[serde(default)]
    pub speed: WorkerSpeed,
}

/// What is known of the workers, as kept in the store.
pub type WorkerRoster = BTreeMap<WorkerId, WorkerDigest>;

fn is_zero(value: &u32) -> bool {
    *value == 0
}
