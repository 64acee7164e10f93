//! The state of an accepted job and of its occurrences; [`step`](crate::step) holds that of their
//! steps and tasks.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use lacewingrail_model::WorkerId;
use serde::{Deserialize, Serialize};

use crate::record::JobProgress;
use crate::spec::{JobSubmission, StepKey, StepSpec, TaskKey};
use crate::step::{StepEntry, TaskEntry};

/// Maximum number of tasks of a job that are stored as done one by one, some 5 kB.
const MAX_LISTED_DONE: u64 = 1000;

/// Stage of a job: in progress, or the way in which it ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobPhase {
    /// Tasks are still waiting or running.
    Active,
    /// All tasks of all occurrences are done.
    Completed,
    /// A task or gang has reached its queue's limit of failed runs.
    Failed,
    /// The customer has cancelled the job.
    Cancelled,
}

impl JobPhase {
    /// Returns whether the job has ended, so that the phase never changes again.
    pub fn is_final(self) -> bool {
        self != Self::Active
    }
}

/// State of one occurrence of a job, from the time when it is due.
#[derive(Clone, Debug)]
pub struct OccurrenceEntry {
    /// Index of the occurrence, from 0.
    pub number: u32,
    /// Steps by their index.
    pub steps: Vec<StepEntry>,
}

/// State of one job from its acceptance until its retention ends.
#[derive(Clone, Debug)]
pub struct JobEntry {
    /// Submission as it was stored.
    pub submission: Arc<JobSubmission>,
    /// Current phase, which may not be stored yet.
    pub phase: JobPhase,
    /// When the job was accepted.
    pub accepted_at: Duration,
    /// When the phase became final, or when a job that had ended was loaded.
    pub ended_at: Option<Duration>,
    /// Occurrences that are or were due, each at the index of its number. An occurrence is due no
    /// earlier than those before it, so there are no gaps.
    pub occurrences: Vec<OccurrenceEntry>,
    /// Workers on which tasks may be started, each with the sequence number of the first progress
    /// that names it.
    pub announced_workers: BTreeMap<WorkerId, u64>,
    /// Workers on which an earlier scheduler may have started tasks.
    pub previous_workers: BTreeSet<WorkerId>,
    /// Whether any task was ever started.
    pub begun: bool,
    /// Sequence number of the current progress; rises with every change.
    pub sequence: u64,
    /// Highest sequence number whose write was ordered.
    pub issued_sequence: u64,
    /// Highest sequence number that is known to be stored.
    pub stored_sequence: u64,
    /// Phase as of the stored progress.
    pub stored_phase: JobPhase,
    /// Whether the deletion of everything that the store holds of the job was ordered.
    pub removal_ordered: bool,
}

impl JobEntry {
    /// Creates the entry of an accepted job, with the progress that an earlier scheduler stored, if
    /// any.
    pub fn new(
        submission: Arc<JobSubmission>,
        progress: Option<&JobProgress>,
        accepted_at: Duration,
    ) -> Self {
        let mut entry = Self {
            submission,
            phase: JobPhase::Active,
            accepted_at,
            ended_at: None,
            occurrences: Vec::new(),
            announced_workers: BTreeMap::new(),
            previous_workers: BTreeSet::new(),
            begun: false,
            sequence: 0,
            issued_sequence: 0,
            stored_sequence: 0,
            stored_phase: JobPhase::Active,
            removal_ordered: false,
        };
        if entry.submission.spec.schedule.is_none() {
            entry.add_occurrences_through(0);
        }
        if let Some(progress) = progress {
            entry.restore(progress);
        }
        entry
    }

    /// Returns the definition of a step, or `None` if the job has no such step.
    pub fn step_spec(&self, step: u32) -> Option<&StepSpec> {
        self.submission.spec.steps.get(step as usize)
    }

    /// Returns an occurrence, or `None` before it is due.
    pub fn occurrence(&self, number: u32) -> Option<&OccurrenceEntry> {
        self.occurrences.get(number as usize)
    }

    /// Returns a step, or `None` if the job has no such step or its occurrence is not due.
    pub fn step(&self, key: StepKey) -> Option<&StepEntry> {
        self.occurrence(key.occurrence)?.steps.get(key.step as usize)
    }

    /// Returns a mutable reference to a step, see [`Self::step`].
    pub fn step_mut(&mut self, key: StepKey) -> Option<&mut StepEntry> {
        let occurrence = self.occurrences.get_mut(key.occurrence as usize)?;
        occurrence.steps.get_mut(key.step as usize)
    }

    /// Returns a task, or `None` if the job has no such task or its occurrence is not due.
    pub fn task(&self, key: TaskKey) -> Option<&TaskEntry> {
        self.step(key.step_key())?.task(key.index)
    }

    /// Returns a mutable reference to a task that is not done, or `None` as from [`Self::task`].
    pub fn task_mut(&mut self, key: TaskKey) -> Option<&mut TaskEntry> {
        self.step_mut(key.step_key())?.task_mut(key.index)
    }

    /// Adds an occurrence that is or was due and all earlier ones, except those added before. Does
    /// nothing if the job has no such occurrence.
    pub fn add_occurrences_through(&mut self, number: u32) {
        if number >= self.submission.spec.occurrences() {
            return;
        }
        for number in self.occurrences.len() as u32..=number {
            let steps = self.submission.spec.steps.iter().map(StepEntry::new).collect();
            self.occurrences.push(OccurrenceEntry { number, steps });
        }
    }

    /// Returns whether all tasks of all occurrences are done.
    pub fn is_done(&self) -> bool {
        let complete = |entry: &OccurrenceEntry| entry.steps.iter().all(StepEntry::is_done);
        self.occurrences.len() == self.submission.spec.occurrences() as usize
            && self.occurrences.iter().all(complete)
    }

    /// Returns whether the store names a worker as one on which tasks may be started.
    pub fn may_start_on(&self, worker: &str) -> bool {
        self.announced_workers.get(worker).is_some_and(|sequence| self.stored_sequence >= *sequence)
    }

    /// Announces starts on workers, which may begin once the changed progress is stored.
    ///
    /// Other announced workers on which no task is assigned are dropped at the same time.
    pub fn announce<'a, W>(&mut self, workers: W)
    where
        W: Iterator<Item = &'a WorkerId>,
    {
        let wanted: BTreeSet<WorkerId> = workers.cloned().collect();
        if wanted.iter().all(|worker| self.announced_workers.contains_key(worker)) {
            return;
        }
        let assigned = self.assigned_workers();
        self.announced_workers
            .retain(|worker, _| assigned.contains(worker) || wanted.contains(worker));
        self.mark_changed();
        for worker in wanted {
            self.announced_workers.entry(worker).or_insert(self.sequence);
        }
    }

    fn assigned_workers(&self) -> BTreeSet<WorkerId> {
        let steps = self.occurrences.iter().flat_map(|occurrence| &occurrence.steps);
        steps.flat_map(StepEntry::assigned).map(|(_, worker, _)| worker.clone()).collect()
    }

    /// Marks the progress as changed, so that it is stored again.
    pub fn mark_changed(&mut self) {
        self.sequence += 1;
    }

    /// Returns the current progress, to be stored.
    pub fn progress(&self) -> JobProgress {
        let all_steps = self.occurrences.iter().flat_map(|occurrence| &occurrence.steps);
        let done: u64 = all_steps.map(|step| u64::from(step.done_count())).sum();
        let by_ranges = done > MAX_LISTED_DONE;
        let mut steps = Vec::new();
        for occurrence in &self.occurrences {
            for (index, step) in occurrence.steps.iter().enumerate() {
                let gang = self.submission.spec.steps[index].gang;
                let progress = step.progress(occurrence.number, index as u32, gang, by_ranges);
                steps.extend(progress);
            }
        }
        JobProgress {
            sequence: self.sequence,
            phase: self.phase,
            workers: self.announced_workers.keys().chain(&self.previous_workers).cloned().collect(),
            begun: self.begun,
            steps,
        }
    }

    fn restore(&mut self, progress: &JobProgress) {
        self.phase = progress.phase;
        self.stored_phase = progress.phase;
        self.begun = progress.begun;
        self.announced_workers =
            progress.workers.iter().map(|worker| (worker.clone(), 0)).collect();
        self.previous_workers.clone_from(&progress.workers);
        for stored in &progress.steps {
            self.add_occurrences_through(stored.occurrence);
            let gang = self.step_spec(stored.step).is_some_and(|spec| spec.gang);
            let key = StepKey {
                job: self.submission.key,
                occurrence: stored.occurrence,
                step: stored.step,
            };
            if let Some(step) = self.step_mut(key) {
                step.restore(stored, gang);
            }
        }
    }
}
