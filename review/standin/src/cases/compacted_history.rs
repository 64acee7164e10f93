//! TWICE: the store is down while ended jobs fall due for deletion, and has discarded its history
//! when it is back.

use std::path::Path;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::Outcome;
use crate::bed::Bed;
use crate::judge::tasks_run_twice;

/// Time for which clients may ask for an ended job.
const STATUS_S: u64 = 20;
/// Time after its end at which the system deletes a job: 10 s after clients may no longer ask.
const DELETED_AFTER: Duration = Duration::from_secs(STATUS_S + 10);
/// Number of times that jobs are handed in and the store is down when they fall due for deletion.
const ROUNDS: u64 = 3;
const ROUND_INTERVAL: Duration = Duration::from_secs(12);
const JOBS_PER_ROUND: u64 = 40;
const WORK_MS: u64 = 2500;
/// Time after the submission at which all jobs of a round have to be completed.
const COMPLETED_AFTER: Duration = Duration::from_millis(WORK_MS + 2000);
const OUTAGE: Duration = Duration::from_millis(4500);
/// Time from the begin of an outage until the jobs fall due for deletion.
const DUE_IN_OUTAGE: Duration = Duration::from_millis(2500);
/// Time from the end of the last outage to the verdict.
const SETTLE: Duration = Duration::from_secs(15);

fn path(round: u64, index: u64) -> String {
    format!("/render/{:016x}", 0x600 + 0x100 * round + index)
}

pub async fn run(folder: &Path, trouble: bool) -> Outcome {
    let mut bed = Bed::start_with(folder, 6, 3, STATUS_S).await?;
    let job = json!({
        "spec": format!("hold check work-ms={WORK_MS}"),
        "job_steps": [{ "count": 1, "millicores": 5600, "mem_mb": 8200, "estimate_ms": WORK_MS }],
    });
    let started = Instant::now();
    let mut deletions = Vec::new();
    for round in 0..ROUNDS {
        tokio::time::sleep_until((started + ROUND_INTERVAL * round as u32).into()).await;
        let jobs: Vec<(String, Value)> =
            (0..JOBS_PER_ROUND).map(|index| (path(round, index), job.clone())).collect();
        bed.submit_together(&jobs).await?;
        tokio::time::sleep(COMPLETED_AFTER).await;
        for index in 0..JOBS_PER_ROUND {
            let state = bed.state(&path(round, index)).await;
            if state != "completed" {
                return Err(format!("{} is {state}", path(round, index)));
            }
        }
        let last_end = bed.traces().iter().filter_map(|trace| trace.ended).max();
        deletions.extend(last_end.map(|end| end + DELETED_AFTER));
    }
    for (round, deletion) in deletions.iter().enumerate() {
        tokio::time::sleep_until((*deletion - DUE_IN_OUTAGE).into()).await;
        if trouble {
            bed.store.go_down();
            bed.record.line(format!("round {round}: the store is down"));
        }
        tokio::time::sleep(OUTAGE).await;
        if trouble {
            bed.store.compact();
            bed.store.come_back();
            let line = format!("round {round}: the store is back, its history is discarded");
            bed.record.line(line);
        }
    }
    tokio::time::sleep(SETTLE).await;
    let breaks = tasks_run_twice(&bed.record, &bed.traces());
    bed.stop();
    Ok((bed.record.clone(), breaks))
}
