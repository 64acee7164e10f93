//! The state of a step and of its tasks.
//!
//! A step may have many more tasks than ever run at a time, and its job may wait for hours. So the
//! state of a step depends on what has run: a task has an entry of its own from its first start
//! until it is done, and tasks that are done are kept as ranges of indexes. A task that has never
//! run takes no memory, and nothing that is done on every decision goes through all tasks.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use lacewingrail_model::WorkerId;
use rangemap::RangeSet;

use crate::advice::StepAdvice;
use crate::record::{FailureCount, StepProgress};
use crate::spec::{CheckpointName, RunNumber, StepSpec};
use crate::speed::WorkEstimate;

/// Stage of a task between its submission and its end with success.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum TaskPhase {
    /// The task waits for a start.
    #[default]
    Waiting,
    /// The task runs, or may run, on a worker.
    Assigned {
        /// Worker that the start was ordered on.
        worker: WorkerId,
        /// Number of the run that was ordered.
        run: RunNumber,
    },
    /// The task ended with success.
    Done,
}

/// State of one task, over all its runs.
#[derive(Clone, Debug, Default)]
pub struct TaskEntry {
    /// Whether the task waits, runs or is done.
    pub phase: TaskPhase,
    /// Highest run number that was ordered or reported; 0 before the first.
    pub highest_run: RunNumber,
    /// Failed runs of the task; a gang counts them in [`StepEntry::gang_failures`].
    pub failures: FailureCount,
    /// Newest checkpoint that a worker has reported.
    pub checkpoint: Option<CheckpointName>,
}

/// Entry of every task that has never run.
static NEVER_RUN: TaskEntry = TaskEntry::new(TaskPhase::Waiting);
/// Entry of every task that is done; nothing else is known of it any more.
static DONE: TaskEntry = TaskEntry::new(TaskPhase::Done);

impl TaskEntry {
    const fn new(phase: TaskPhase) -> Self {
        Self { phase, highest_run: 0, failures: FailureCount::new(), checkpoint: None }
    }

    fn is_assigned(&self) -> bool {
        matches!(self.phase, TaskPhase::Assigned { .. })
    }
}

/// State of one step of one occurrence, over all runs of its tasks.
#[derive(Clone, Debug)]
pub struct StepEntry {
    /// Failed runs of a gang; each run counts once, however many members fail.
    pub gang_failures: FailureCount,
    /// When the newest end with success was reported.
    pub last_done_at: Option<Duration>,
    /// Estimated work of a task, corrected by measured progress.
    pub work_estimate: WorkEstimate,
    /// Since when the step has waited for workers, or `None` while it does not.
    pub waiting_since: Option<Duration>,
    /// Answers of the queue's adviser about this step.
    pub advice: StepAdvice,
    /// Indexes of all tasks.
    indexes: Range<u32>,
    /// Tasks that were started or have stored state, and are not done, by their index.
    started: BTreeMap<u32, TaskEntry>,
    /// Indexes of the tasks that are done.
    done: RangeSet<u32>,
    /// Number of tasks that are done.
    done_count: u32,
}

impl StepEntry {
    /// Creates the entry of a step of which nothing has run.
    pub fn new(spec: &StepSpec) -> Self {
        Self {
            gang_failures: FailureCount::default(),
            last_done_at: None,
            work_estimate: WorkEstimate::default(),
            waiting_since: None,
            advice: StepAdvice::default(),
            indexes: 0..spec.count,
            started: BTreeMap::new(),
            done: RangeSet::new(),
            done_count: 0,
        }
    }

    /// Returns the number of tasks.
    pub fn count(&self) -> u32 {
        self.indexes.end
    }

    /// Returns the number of tasks that are done.
    pub fn done_count(&self) -> u32 {
        self.done_count
    }

    /// Returns whether all tasks are done.
    pub fn is_done(&self) -> bool {
        self.done_count == self.count()
    }

    /// Returns a task, or `None` if the step has no such task.
    pub fn task(&self, index: u32) -> Option<&TaskEntry> {
        if index >= self.count() {
            return None;
        }
        if self.done.contains(&index) {
            return Some(&DONE);
        }
        Some(self.started.get(&index).unwrap_or(&NEVER_RUN))
    }

    /// Returns a mutable reference to a task; `None` if it is done or the step has no such task.
    pub fn task_mut(&mut self, index: u32) -> Option<&mut TaskEntry> {
        if index >= self.count() || self.done.contains(&index) {
            return None;
        }
        Some(self.started.entry(index).or_default())
    }

    /// Marks a task as done, unless it is marked already.
    pub fn mark_done(&mut self, index: u32) {
        self.mark_range_done(index..index.saturating_add(1));
    }

    /// Marks all tasks as done.
    pub fn mark_all_done(&mut self) {
        self.mark_range_done(self.indexes.clone());
    }

    /// Marks the tasks in a range as done, except those that are marked already.
    fn mark_range_done(&mut self, range: Range<u32>) {
        let range = range.start..range.end.min(self.count());
        if range.is_empty() {
            return;
        }
        let overlap = |known: &Range<u32>| known.end.min(range.end) - known.start.max(range.start);
        let known: u32 = self.done.overlapping(&range).map(overlap).sum();
        self.done_count += range.end - range.start - known;
        self.started.retain(|index, _| !range.contains(index));
        self.done.insert(range);
    }

    /// Returns the tasks that run or may run: their indexes, workers and runs.
    pub fn assigned(&self) -> impl Iterator<Item = (u32, &WorkerId, RunNumber)> {
        self.started.iter().filter_map(|(index, task)| match &task.phase {
            TaskPhase::Assigned { worker, run } => Some((*index, worker, *run)),
            TaskPhase::Waiting | TaskPhase::Done => None,
        })
    }

    /// Returns whether any task runs or may run.
    pub fn is_assigned(&self) -> bool {
        self.started.values().any(TaskEntry::is_assigned)
    }

    /// Returns the number of tasks that wait for a start.
    pub fn waiting_count(&self) -> u32 {
        self.count() - self.done_count - self.assigned().count() as u32
    }

    /// Returns the indexes of the tasks that wait for a start, in ascending order. Those that are
    /// not taken cost nothing.
    pub fn waiting(&self) -> impl Iterator<Item = u32> {
        let not_done = self.done.gaps(&self.indexes).flatten();
        not_done.filter(|index| !self.started.get(index).is_some_and(TaskEntry::is_assigned))
    }

    /// Returns the first checkpoint of any task; for a gang, the one that all members resume from.
    pub fn any_checkpoint(&self) -> Option<&CheckpointName> {
        self.started.values().find_map(|task| task.checkpoint.as_ref())
    }

    /// Returns the progress to store for a step of an occurrence, or `None` if there is none. Later
    /// occurrences are always named, since that shows that they are due. Tasks that are done are
    /// named one by one or by ranges.
    pub fn progress(
        &self,
        occurrence: u32,
        step: u32,
        gang: bool,
        by_ranges: bool,
    ) -> Option<StepProgress> {
        let mut progress = StepProgress { occurrence, step, ..StepProgress::default() };
        if by_ranges {
            progress.done_ranges = self.done.iter().map(|range| (range.start, range.end)).collect();
        } else {
            progress.done = self.done.iter().cloned().flatten().collect();
        }
        for (index, task) in &self.started {
            if !gang && task.failures.count > 0 {
                progress.failures.insert(*index, task.failures.clone());
            }
            if let Some(checkpoint) = &task.checkpoint
                && (!gang || *index == 0)
            {
                progress.checkpoints.insert(*index, checkpoint.clone());
            }
        }
        if gang && self.gang_failures.count > 0 {
            progress.failures.insert(0, self.gang_failures.clone());
        }
        let is_empty =
            self.done_count == 0 && progress.failures.is_empty() && progress.checkpoints.is_empty();
        (!is_empty || occurrence > 0).then_some(progress)
    }

    /// Restores stored progress.
    pub fn restore(&mut self, stored: &StepProgress, gang: bool) {
        stored.done.iter().for_each(|index| self.mark_done(*index));
        stored.done_ranges.iter().for_each(|(start, end)| self.mark_range_done(*start..*end));
        if gang {
            self.gang_failures = stored.failures.get(&0).cloned().unwrap_or_default();
        } else {
            for (index, failures) in &stored.failures {
                if let Some(task) = self.task_mut(*index) {
                    task.failures.clone_from(failures);
                }
            }
        }
        for (index, checkpoint) in &stored.checkpoints {
            if let Some(task) = self.task_mut(*index) {
                task.checkpoint = Some(checkpoint.clone());
            }
        }
    }
}
