//! Checks of the rules on what the workers saw.

use std::collections::BTreeMap;

use crate::record::Record;
use crate::worker::RunTrace;

/// Returns the breaks of the rule TWICE: two runs of a task at the same time, or a start after a run
/// has ended as done, if that end was taken note of.
pub fn tasks_run_twice(record: &Record, traces: &[RunTrace]) -> Vec<String> {
    let mut by_task: BTreeMap<&str, Vec<&RunTrace>> = BTreeMap::new();
    for trace in traces {
        by_task.entry(&trace.task).or_default().push(trace);
    }
    let mut breaks = Vec::new();
    for (task, mut runs) in by_task {
        runs.sort_by_key(|run| run.started);
        for (index, later) in runs.iter().enumerate() {
            for earlier in &runs[..index] {
                let overlaps = earlier.ended.is_none_or(|ended| ended > later.started);
                let repeats = earlier.how == "done" && earlier.noted;
                if overlaps || repeats {
                    let ended = earlier.ended.map_or(0.0, |ended| record.seconds(ended));
                    breaks.push(format!(
                        "TWICE: {task} run {} started on {} at {:.3}, run {} on {} had ended {} at \
                         {ended:.3}{}",
                        later.attempt,
                        later.worker,
                        record.seconds(later.started),
                        earlier.attempt,
                        earlier.worker,
                        earlier.how,
                        if earlier.noted { " and was taken note of" } else { "" },
                    ));
                }
            }
        }
    }
    breaks
}
