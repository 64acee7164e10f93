//! TWICE: more tasks end on a worker than it returns in one answer while the active scheduler is
//! gone.

use std::path::Path;
use std::time::{Duration, Instant};

use serde_json::json;

use super::Outcome;
use crate::bed::Bed;
use crate::judge::tasks_run_twice;
use crate::worker::Worker;

const FIRST_JOB: u64 = 0xc00;
/// Jobs whose ends follow each other, so that a present scheduler is never owed many at a time.
const JOBS: u64 = 13;
const TASKS_PER_JOB: usize = 48;
const TASKS: usize = JOBS as usize * TASKS_PER_JOB;
/// Work of a task of the first job.
const WORK_MS: u64 = 8000;
/// Additional work of a task of each later job.
const WORK_STEP_MS: u64 = 80;
/// Time from the first end to the verdict.
const SETTLE: Duration = Duration::from_secs(25);

pub async fn run(folder: &Path, trouble: bool) -> Outcome {
    let mut bed = Bed::start(folder, 1, 3).await?;
    let submitted = Instant::now();
    for index in 0..JOBS {
        let work_ms = WORK_MS + index * WORK_STEP_MS;
        let job = json!({
            "spec": format!("reconciliation work-ms={work_ms}"),
            "job_steps": [{ "count": TASKS_PER_JOB, "millicores": 100, "mem_mb": 100,
                            "estimate_ms": work_ms }],
        });
        bed.submit(&path(index), &job).await?;
    }
    let running = |bed: &Bed| bed.workers.iter().map(Worker::running).sum::<usize>();
    while running(&bed) < TASKS {
        if submitted.elapsed() > Duration::from_millis(WORK_MS) {
            return Err(format!("only {} tasks run before the first ends", running(&bed)));
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    bed.record.line(format!("all {TASKS} tasks run"));
    while running(&bed) == TASKS {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    if trouble {
        let leader = bed.leader()?;
        bed.kill_and_restart(leader).await?;
    }
    tokio::time::sleep(SETTLE).await;
    for index in 0..JOBS {
        bed.state(&path(index)).await;
    }
    let breaks = tasks_run_twice(&bed.record, &bed.traces());
    bed.stop();
    Ok((bed.record.clone(), breaks))
}

fn path(index: u64) -> String {
    format!("/returns/{:016x}", FIRST_JOB + index)
}
