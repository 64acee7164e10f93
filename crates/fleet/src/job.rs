//! The state of one accepted job.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use lacewingrail_model::WorkerId;
use serde::{Deserialize, Serialize};

use crate::advice::StepAdvice;
use crate::record::{FailureCount, JobProgress, StepProgress};
use crate::spec::{CheckpointName, JobSubmission, RunNumber, StepKey, StepSpec, TaskKey};
use crate::speed::StepPace;

/// States how far a job has come.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobPhase {
    /// Not all tasks have ended.
    Active,
    /// All tasks are done.
    Completed,
    /// A task has failed too often.
    Failed,
    /// The customer has cancelled the job.
    Cancelled,
}

impl JobPhase {
    /// Returns whether the phase is final.
    pub fn is_final(self) -> bool {
        self != Self::Active
    }
}

/// States where a task stands.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum TaskPhase {
    /// Waits for a start.
    #[default]
    Waiting,
    /// Runs, or may run, on a worker.
    Assigned {
        /// Worker.
        worker: WorkerId,
        /// Run.
        run: RunNumber,
    },
    /// Done.
    Done,
}

/// Holds the state of one task.
#[derive(Clone, Debug, Default)]
pub struct TaskEntry {
    /// Phase.
    pub phase: TaskPhase,
    /// Highest run ordered or seen.
    pub last_run: RunNumber,
    /// Failed runs.
    pub failures: FailureCount,
    /// Newest checkpoint.
    pub checkpoint: Option<CheckpointName>,
}

/// Holds the state of one step of one occurrence.
#[derive(Clone, Debug)]
pub struct StepEntry {
    /// Tasks.
    pub tasks: Vec<TaskEntry>,
    /// Number of tasks that are done.
    pub done: u32,
    /// Failed runs of a gang, each counted once.
    pub gang_failures: FailureCount,
    /// When the newest task was done.
    pub done_since: Option<Duration>,
    /// Estimated work of a task.
    pub pace: StepPace,
    /// Since when the step has waited for workers.
    pub waiting_since: Option<Duration>,
    /// What the queue's adviser has said.
    pub advice: StepAdvice,
}

/// Holds one occurrence of a job.
#[derive(Clone, Debug)]
pub struct OccurrenceEntry {
    /// Number, from 0.
    pub number: u32,
    /// Steps.
    pub steps: Vec<StepEntry>,
}

/// Holds the state of one job.
#[derive(Clone, Debug)]
pub struct JobEntry {
    /// Submission.
    pub submission: Arc<JobSubmission>,
    /// Phase.
    pub phase: JobPhase,
    /// Time of acceptance.
    pub accepted: Duration,
    /// Time at which the phase became final.
    pub ended: Option<Duration>,
    /// Occurrences that are due.
    pub occurrences: Vec<OccurrenceEntry>,
    /// Workers on which tasks may start, with the sequence number of the progress that says so.
    pub announced: BTreeMap<WorkerId, u64>,
    /// Workers on which an earlier scheduler may have started tasks.
    pub former: BTreeSet<WorkerId>,
    /// Whether a task has ever been started.
    pub begun: bool,
    /// Rises with every change.
    pub sequence: u64,
    /// Highest sequence number handed out for storing.
    pub offered: u64,
    /// Highest sequence number that is stored.
    pub stored: u64,
    /// Phase that is stored.
    pub stored_phase: JobPhase,
}

impl JobEntry {
    /// Creates the entry of an accepted job with the progress that is stored.
    pub fn new(
        submission: Arc<JobSubmission>,
        progress: Option<&JobProgress>,
        accepted: Duration,
    ) -> Self {
        let mut entry = Self {
            submission,
            phase: JobPhase::Active,
            accepted,
            ended: None,
            occurrences: Vec::new(),
            announced: BTreeMap::new(),
            former: BTreeSet::new(),
            begun: false,
            sequence: 0,
            offered: 0,
            stored: 0,
            stored_phase: JobPhase::Active,
        };
        if entry.submission.spec.schedule.is_none() {
            entry.add_occurrence(0);
        }
        if let Some(progress) = progress {
            entry.restore(progress);
        }
        entry
    }

    /// Returns the description of a step.
    pub fn step_spec(&self, step: u32) -> Option<&StepSpec> {
        self.submission.spec.steps.get(step as usize)
    }

    /// Returns an occurrence.
    pub fn occurrence(&self, number: u32) -> Option<&OccurrenceEntry> {
        self.occurrences.iter().find(|occurrence| occurrence.number == number)
    }

    /// Returns a step of an occurrence.
    pub fn step(&self, key: StepKey) -> Option<&StepEntry> {
        self.occurrence(key.occurrence)?.steps.get(key.step as usize)
    }

    /// Returns a step of an occurrence for a change.
    pub fn step_mut(&mut self, key: StepKey) -> Option<&mut StepEntry> {
        self.occurrences
            .iter_mut()
            .find(|entry| entry.number == key.occurrence)
            .and_then(|entry| entry.steps.get_mut(key.step as usize))
    }

    /// Returns a task.
    pub fn task(&self, key: TaskKey) -> Option<&TaskEntry> {
        self.step(key.step_key())?.tasks.get(key.index as usize)
    }

    /// Returns a task for a change.
    pub fn task_mut(&mut self, key: TaskKey) -> Option<&mut TaskEntry> {
        self.step_mut(key.step_key())?.tasks.get_mut(key.index as usize)
    }

    /// Adds an occurrence that is due.
    pub fn add_occurrence(&mut self, number: u32) {
        if self.occurrence(number).is_some() {
            return;
        }
        let steps = self.submission.spec.steps.iter().map(StepEntry::new).collect();
        self.occurrences.push(OccurrenceEntry { number, steps });
    }

    /// Returns whether all tasks of all occurrences are done.
    pub fn is_done(&self) -> bool {
        let complete = |entry: &OccurrenceEntry| entry.steps.iter().all(StepEntry::is_done);
        self.occurrences.len() == self.submission.spec.occurrences() as usize
            && self.occurrences.iter().all(complete)
    }

    /// Returns whether the store knows that tasks may be started on a worker.
    pub fn may_start_on(&self, worker: &str) -> bool {
        self.announced.get(worker).is_some_and(|sequence| self.stored >= *sequence)
    }

    /// Asks for starts on workers to be announced in the store.
    pub fn announce<'a, W>(&mut self, workers: W)
    where
        W: Iterator<Item = &'a WorkerId>,
    {
        let wanted: BTreeSet<WorkerId> = workers.cloned().collect();
        if wanted.iter().all(|worker| self.announced.contains_key(worker)) {
            return;
        }
        let assigned = self.assigned_workers();
        self.announced.retain(|worker, _| assigned.contains(worker) || wanted.contains(worker));
        self.touch();
        for worker in wanted {
            self.announced.entry(worker).or_insert(self.sequence);
        }
    }

    fn assigned_workers(&self) -> BTreeSet<WorkerId> {
        let steps = self.occurrences.iter().flat_map(|occurrence| &occurrence.steps);
        let assigned = steps.flat_map(|step| &step.tasks).filter_map(|task| match &task.phase {
            TaskPhase::Assigned { worker, .. } => Some(worker.clone()),
            TaskPhase::Waiting | TaskPhase::Done => None,
        });
        assigned.collect()
    }

    /// Notes a change that has to be stored.
    pub fn touch(&mut self) {
        self.sequence += 1;
    }

    /// Returns the progress to store.
    pub fn progress(&self) -> JobProgress {
        let mut steps = Vec::new();
        for occurrence in &self.occurrences {
            for (index, step) in occurrence.steps.iter().enumerate() {
                let gang = self.submission.spec.steps[index].gang;
                let progress = step.progress(occurrence.number, index as u32, gang);
                steps.extend(progress);
            }
        }
        JobProgress {
            sequence: self.sequence,
            phase: self.phase,
            workers: self.announced.keys().chain(&self.former).cloned().collect(),
            begun: self.begun,
            steps,
        }
    }

    fn restore(&mut self, progress: &JobProgress) {
        self.phase = progress.phase;
        self.stored_phase = progress.phase;
        self.begun = progress.begun;
        self.announced = progress.workers.iter().map(|worker| (worker.clone(), 0)).collect();
        self.former.clone_from(&progress.workers);
        for stored in &progress.steps {
            self.add_occurrence(stored.occurrence);
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

impl StepEntry {
    fn new(spec: &StepSpec) -> Self {
        Self {
            tasks: vec![TaskEntry::default(); spec.count as usize],
            done: 0,
            gang_failures: FailureCount::default(),
            done_since: None,
            pace: StepPace::default(),
            waiting_since: None,
            advice: StepAdvice::default(),
        }
    }

    /// Returns whether all tasks are done.
    pub fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// Marks a task as done.
    pub fn finish(&mut self, index: u32) {
        if let Some(task) = self.tasks.get_mut(index as usize)
            && task.phase != TaskPhase::Done
        {
            task.phase = TaskPhase::Done;
            self.done += 1;
        }
    }

    /// Returns the indexes of waiting tasks.
    pub fn waiting(&self) -> impl Iterator<Item = u32> + '_ {
        let waits = |(_, task): &(usize, &TaskEntry)| task.phase == TaskPhase::Waiting;
        self.tasks.iter().enumerate().filter(waits).map(|(index, _)| index as u32)
    }

    /// Returns whether a task runs or may run.
    pub fn is_assigned(&self) -> bool {
        self.tasks.iter().any(|task| matches!(task.phase, TaskPhase::Assigned { .. }))
    }

    fn progress(&self, occurrence: u32, step: u32, gang: bool) -> Option<StepProgress> {
        let mut progress = StepProgress { occurrence, step, ..StepProgress::default() };
        let mut checkpoints = BTreeMap::new();
        for (index, task) in self.tasks.iter().enumerate() {
            let index = index as u32;
            if task.phase == TaskPhase::Done {
                progress.done.push(index);
                continue;
            }
            if !gang && task.failures.count > 0 {
                progress.failures.insert(index, task.failures);
            }
            if let Some(checkpoint) = &task.checkpoint
                && (!gang || index == 0)
            {
                checkpoints.insert(index, checkpoint.clone());
            }
        }
        if gang && self.gang_failures.count > 0 {
            progress.failures.insert(0, self.gang_failures);
        }
        progress.checkpoints = checkpoints;
        let empty = progress.done.is_empty()
            && progress.failures.is_empty()
            && progress.checkpoints.is_empty();
        (!empty || occurrence > 0).then_some(progress)
    }

    fn restore(&mut self, stored: &StepProgress, gang: bool) {
        for index in &stored.done {
            self.finish(*index);
        }
        if gang {
            self.gang_failures = stored.failures.get(&0).copied().unwrap_or_default();
            let checkpoint = stored.checkpoints.get(&0).cloned();
            self.tasks.iter_mut().for_each(|task| task.checkpoint = checkpoint.clone());
            return;
        }
        for (index, failures) in &stored.failures {
            if let Some(task) = self.tasks.get_mut(*index as usize) {
                task.failures = *failures;
            }
        }
        for (index, checkpoint) in &stored.checkpoints {
            if let Some(task) = self.tasks.get_mut(*index as usize) {
                task.checkpoint = Some(checkpoint.clone());
            }
        }
    }
}
