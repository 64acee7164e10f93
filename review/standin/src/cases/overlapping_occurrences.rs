//! TWICE: a recurring job that was handed in late, so that its occurrences overlap, and whose tasks
//! end while the active scheduler is gone.

use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::json;

use super::Outcome;
use crate::bed::Bed;
use crate::judge::tasks_run_twice;
use crate::worker::Worker;

const PATH: &str = "/render/00000000000000b2";
const OCCURRENCES: u64 = 6;
const PERIOD_MS: u64 = 2000;
const WORK_MS: u64 = 6000;
/// Time from the start of all occurrences to the kill: the first ends 0.2 s later.
const KILL_AFTER: Duration = Duration::from_millis(WORK_MS - 200);
/// Time within which all occurrences have to run, since all are due.
const START_TIMEOUT: Duration = Duration::from_secs(2);
/// Time from the kill to the verdict.
const SETTLE: Duration = Duration::from_secs(24);

pub async fn run(folder: &Path, trouble: bool) -> Outcome {
    let mut bed = Bed::start(folder, 3, 3).await?;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    let job = json!({
        "spec": format!("fitting preview work-ms={WORK_MS}"),
        "job_steps": [{ "count": 1, "millicores": 2000, "mem_mb": 1024, "estimate_ms": WORK_MS }],
        "repeats": OCCURRENCES, "first_ms": now - (OCCURRENCES - 1) * PERIOD_MS,
        "period_ms": PERIOD_MS,
    });
    bed.submit(PATH, &job).await?;
    let submitted = std::time::Instant::now();
    let running = |bed: &Bed| bed.workers.iter().map(Worker::running).sum::<usize>();
    while running(&bed) < OCCURRENCES as usize {
        if submitted.elapsed() > START_TIMEOUT {
            return Err(format!("only {} occurrences run", running(&bed)));
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    tokio::time::sleep(KILL_AFTER.saturating_sub(submitted.elapsed())).await;
    if trouble {
        let leader = bed.leader()?;
        bed.kill_and_restart(leader).await?;
    }
    tokio::time::sleep(SETTLE).await;
    bed.state(PATH).await;
    let breaks = tasks_run_twice(&bed.record, &bed.traces());
    bed.stop();
    Ok((bed.record.clone(), breaks))
}
