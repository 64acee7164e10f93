//! MIXED: jobs whose starts an unhealthy worker refuses are not counted as pending.

use std::path::Path;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::Outcome;
use crate::bed::Bed;
use crate::client;

const INSTANCES: usize = 3;
const WORKERS: usize = 9;
/// Number of the first of the jobs that wait.
const FIRST_WAITING: u64 = 0x200;
const WAITING_JOBS: u64 = 1;
/// Work of the jobs that fill the healthy workers.
const LONG_WORK_MS: u64 = 25_000;
const WORK_MS: u64 = 2500;
/// Time for which the worker refuses starts.
const REFUSAL: Duration = Duration::from_millis(6500);
/// Time from its acceptance after which a job that has not begun must be counted: `visible_ms` and
/// 2 s.
const COUNTED_AFTER: Duration = Duration::from_millis(5000);
/// Time between two counts.
const COUNT_INTERVAL: Duration = Duration::from_millis(100);

fn job(text: &str, work_ms: u64) -> Value {
    json!({
        "spec": format!("{text} work-ms={work_ms}"),
        "job_steps": [{ "count": 1, "millicores": 26_000, "mem_mb": 53_000, "gpu_count": 8,
                        "estimate_ms": work_ms }],
    })
}

pub async fn run(folder: &Path, trouble: bool) -> Outcome {
    let mut bed = Bed::start(folder, WORKERS, INSTANCES).await?;
    let unhealthy = bed.workers[0].clone();
    let refusal_began = Instant::now();
    unhealthy.set_refuses_starts(trouble);
    if trouble {
        bed.record.line(format!("{} begins to refuse starts with 503", unhealthy.id()));
    }
    // One job for each healthy worker, and for all workers without the disruption.
    let long_jobs = if trouble { WORKERS - 1 } else { WORKERS };
    for index in 0..long_jobs {
        bed.submit(&format!("/render/{:016x}", 0x100 + index), &job("long", LONG_WORK_MS)).await?;
    }
    while bed.workers.iter().filter(|worker| worker.running() > 0).count() < long_jobs {
        if refusal_began.elapsed() > Duration::from_secs(1) {
            return Err("the healthy workers are not filled within a second".to_owned());
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    for index in 0..WAITING_JOBS {
        let path = format!("/returns/{:016x}", FIRST_WAITING + index);
        bed.submit(&path, &job("short", WORK_MS)).await?;
    }
    let accepted = Instant::now();
    tokio::time::sleep(COUNTED_AFTER).await;
    let mut breaks = Vec::new();
    let mut counted = 0;
    while refusal_began.elapsed() < REFUSAL {
        let index = counted % INSTANCES;
        let front = bed.front(index).to_owned();
        let answer = client::call(&bed.record, &front, "GET", "/returns/", None).await;
        // A job that begins meanwhile is not owed, so the workers are asked after the answer.
        let owed = waiting_jobs(&bed);
        let pending = answer.and_then(|answer| answer.body.get("pending")?.as_u64());
        if let Some(pending) = pending
            && 2 * pending < owed
        {
            breaks.push(format!(
                "MIXED: instance {index} gives {pending} as pending at {:.3}, {owed} jobs that were \
                 accepted {:.1} s before have not begun",
                bed.record.seconds(Instant::now()),
                accepted.elapsed().as_secs_f64()
            ));
        }
        counted += 1;
        tokio::time::sleep(COUNT_INTERVAL).await;
    }
    unhealthy.set_refuses_starts(false);
    bed.record.line(format!("{} accepts starts", unhealthy.id()));
    if counted == 0 {
        return Err("no count was asked for within the time of the refusals".to_owned());
    }
    for index in 0..WAITING_JOBS {
        bed.state(&format!("/returns/{:016x}", FIRST_WAITING + index)).await;
    }
    bed.stop();
    Ok((bed.record.clone(), breaks))
}

/// Returns how many of the waiting jobs no worker has begun.
fn waiting_jobs(bed: &Bed) -> u64 {
    let traces = bed.traces();
    let has_begun = |job: &u64| {
        let prefix = format!("{job:016x}.");
        traces.iter().any(|trace| trace.task.starts_with(&prefix))
    };
    (FIRST_WAITING..FIRST_WAITING + WAITING_JOBS).filter(|job| !has_begun(job)).count() as u64
}
