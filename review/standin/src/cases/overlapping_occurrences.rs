//! TWICE: a recurring job with overlapping occurrences whose tasks end while the active scheduler is
//! gone.

use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::json;

use super::Outcome;
use crate::bed::Bed;
use crate::judge::tasks_run_twice;

const PATH: &str = "/render/00000000000000b2";
const OCCURRENCES: u64 = 20;
const PERIOD_MS: u64 = 400;
const WORK_MS: u64 = 6000;
/// Time from the submission to the first occurrence.
const FIRST_DELAY_MS: u64 = 1000;
/// Time from the end of the last occurrence to the verdict.
const SETTLE_MS: u64 = 16_000;

pub async fn run(folder: &Path, trouble: bool) -> Outcome {
    let mut bed = Bed::start(folder, 3, 3).await?;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    let job = json!({
        "spec": format!("hourly check work-ms={WORK_MS}"),
        "job_steps": [{ "count": 1, "millicores": 2000, "mem_mb": 1024, "estimate_ms": WORK_MS }],
        "repeats": OCCURRENCES, "first_ms": now + FIRST_DELAY_MS, "period_ms": PERIOD_MS,
    });
    bed.submit(PATH, &job).await?;
    // The first occurrence ends 0.2 s later.
    tokio::time::sleep(Duration::from_millis(FIRST_DELAY_MS + WORK_MS - 200)).await;
    if trouble {
        let leader = bed.leader()?;
        bed.kill_and_restart(leader).await?;
    }
    let rest = OCCURRENCES * PERIOD_MS + SETTLE_MS;
    tokio::time::sleep(Duration::from_millis(rest)).await;
    bed.state(PATH).await;
    let breaks = tasks_run_twice(&bed.record, &bed.traces());
    bed.stop();
    Ok((bed.record.clone(), breaks))
}
