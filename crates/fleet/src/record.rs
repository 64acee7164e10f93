//! State of jobs and workers that is stored for the next scheduler.

use std::collections::{BTreeMap, BTreeSet};

use lacewingrail_model::WorkerId;
use serde::{Deserialize, Serialize};

use crate::job::JobPhase;
use crate::spec::{CheckpointName, RunNumber};
use crate::speed::WorkerSpeed;

/// Counts failed runs. A run counts once, even if its end is reported to several schedulers, and in
/// whatever order the workers report.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FailureCount {
    /// Number of failed runs.
    pub count: u32,
    /// Run up to which all runs are settled, whether they count or not. Set only in records of
    /// builds that kept no [`Self::runs`].
    #[serde(default, rename = "run")]
    settled_run: RunNumber,
    /// Later runs that were counted.
    #[serde(default)]
    runs: BTreeSet<RunNumber>,
}

impl FailureCount {
    /// Returns the count of a task that has never failed.
    pub const fn new() -> Self {
        Self { count: 0, settled_run: 0, runs: BTreeSet::new() }
    }

    /// Counts a failed run unless it was counted before, and returns the new number of failed runs.
    pub fn record(&mut self, run: RunNumber) -> u32 {
        if run > self.settled_run && self.runs.insert(run) {
            self.count += 1;
        }
        self.count
    }
}

/// Stored progress of one step of one occurrence.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StepProgress {
    /// Index of the occurrence, from 0.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub occurrence: u32,
    /// Index of the step within the job, from 0.
    pub step: u32,
    /// Indexes of the tasks that are done, unless these are many in the job. Earlier builds read
    /// nothing else.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<u32>,
    /// Tasks that are done, if these are many in the job: each range by its first index and the index
    /// behind its last one.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub done_ranges: Vec<(u32, u32)>,
    /// Failed runs by task index; a gang counts them under task 0.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub failures: BTreeMap<u32, FailureCount>,
    /// Newest checkpoint by task index; a gang has one, under task 0.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub checkpoints: BTreeMap<u32, CheckpointName>,
}

/// Stored progress of one job, from which the next scheduler continues it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JobProgress {
    /// Number that rises with every change of the job under one scheduler; starts again under the
    /// next.
    #[serde(default)]
    pub sequence: u64,
    /// Phase of the job when the progress was stored.
    pub phase: JobPhase,
    /// Workers on which tasks may have been started. A worker is stored here before a start is
    /// ordered on it.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub workers: BTreeSet<WorkerId>,
    /// Whether any task was ever started.
    #[serde(default)]
    pub begun: bool,
    /// Steps that have any progress; the others are omitted.
    #[serde(default)]
    pub steps: Vec<StepProgress>,
}

/// Stored measurements of a worker, which the next scheduler restores.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RosterEntry {
    /// Incarnation that the speed was measured in, see
    /// [`WorkerListing::incarnation`](crate::event::WorkerListing::incarnation).
    pub born: u64,
    /// Estimated speed in that incarnation.
    #[serde(default)]
    pub speed: WorkerSpeed,
}

/// Workers that may hold runs, with their measurements, as stored.
pub type WorkerRoster = BTreeMap<WorkerId, RosterEntry>;

fn is_zero(value: &u32) -> bool {
    *value == 0
}
