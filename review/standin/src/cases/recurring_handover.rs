//! LOST: a recurring job of which the active scheduler is stopped in order while its first
//! occurrence runs.

use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::json;

use super::Outcome;
use crate::bed::Bed;
use crate::worker::Worker;

const PATH: &str = "/render/00000000000000a1";
/// Twice as many as the occurrences, each of which takes all accelerators of a worker.
const WORKERS: usize = 12;
const OCCURRENCES: u64 = 6;
const PERIOD_MS: u64 = 2000;
const WORK_MS: u64 = 6000;
/// Time from the submission to the first occurrence.
const FIRST_DELAY_MS: u64 = 1000;
/// Time after the last occurrence could have ended at which jobs are asked for.
const FINISH_MS: u64 = 14_000;
/// Span in which a job whose turn has come may have nothing running.
const IDLE_SPAN: Duration = Duration::from_millis(3000);

pub async fn run(folder: &Path, trouble: bool) -> Outcome {
    let mut bed = Bed::start(folder, WORKERS, 3).await?;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    let job = json!({
        "spec": format!("fitting preview work-ms={WORK_MS}"),
        "job_steps": [{ "count": 1, "millicores": 26_000, "mem_mb": 53_000, "gpu_count": 8,
                        "estimate_ms": WORK_MS }],
        "repeats": OCCURRENCES, "first_ms": now + FIRST_DELAY_MS, "period_ms": PERIOD_MS,
    });
    bed.submit(PATH, &job).await?;
    // Two occurrences are at work then: the first since 3.5 s, the second since 1.5 s.
    let stopped_at = FIRST_DELAY_MS + PERIOD_MS + 1500;
    tokio::time::sleep(Duration::from_millis(stopped_at)).await;
    if trouble {
        let leader = bed.leader()?;
        bed.terminate_and_restart(leader).await?;
    }
    let now_ms = || {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        now.unwrap_or_default().as_millis() as u64
    };
    let last_end = now + FIRST_DELAY_MS + (OCCURRENCES - 1) * PERIOD_MS + WORK_MS;
    let asked_at = last_end + FINISH_MS;
    tokio::time::sleep(Duration::from_millis(asked_at.saturating_sub(now_ms()))).await;
    let state = bed.state(PATH).await;
    // The job has a turn that has come as long as an occurrence has no run that ended as done.
    let starts_before = bed.traces().len();
    let busy = bed.workers.iter().map(Worker::used_accelerators).sum::<i64>();
    tokio::time::sleep(IDLE_SPAN + Duration::from_millis(500)).await;
    let traces = bed.traces();
    let started = traces.len() - starts_before;
    let waiting: Vec<u64> = (0..OCCURRENCES)
        .filter(|occurrence| {
            let task = format!("00000000000000a1.{occurrence}.0.0");
            !traces.iter().any(|trace| trace.task == task && trace.how == "done")
        })
        .collect();
    let last_state = bed.state(PATH).await;
    let mut breaks = Vec::new();
    if !waiting.is_empty() && busy == 0 && started == 0 {
        breaks.push(format!(
            "LOST: the accepted job is {state}, then {last_state}; occurrences {waiting:?} are due \
             and not done, and for 3.5 s, {:.0} s after the last was due, nothing of the job ran on \
             {WORKERS} idle workers",
            (FINISH_MS + WORK_MS) as f64 / 1000.0
        ));
    }
    bed.stop();
    Ok((bed.record.clone(), breaks))
}
