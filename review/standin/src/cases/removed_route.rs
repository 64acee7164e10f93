//! LOST: the operator removes a route while an accepted job of its queue runs.

use std::path::Path;
use std::time::Duration;

use serde_json::json;

use super::Outcome;
use crate::bed::{Bed, config};
use crate::worker::Worker;

const PATH: &str = "/returns/00000000000000e5";
const FIRST_STEP: u32 = 4;
const SECOND_STEP: u32 = 2;
const WORK_MS: u64 = 6000;
/// Time after which a new version of the configuration is in force everywhere.
const CONFIG_MS: u64 = 2000;
/// Time after the end of the traffic at which jobs are asked for.
const FINISH_MS: u64 = 14_000;
/// Span in which a job whose turn has come may have nothing running.
const IDLE_SPAN: Duration = Duration::from_millis(3000);

pub async fn run(folder: &Path, trouble: bool) -> Outcome {
    let mut bed = Bed::start(folder, 3, 3).await?;
    let step = |count: u32, after: &[u32]| {
        json!({ "count": count, "millicores": 5600, "mem_mb": 8200, "gpu_count": 1,
                "estimate_ms": WORK_MS, "after": after })
    };
    let job = json!({
        "spec": format!("reconciliation work-ms={WORK_MS}"),
        "job_steps": [step(FIRST_STEP, &[]), step(SECOND_STEP, &[0])],
    });
    bed.submit(PATH, &job).await?;
    tokio::time::sleep(Duration::from_millis(WORK_MS / 2)).await;
    bed.state(PATH).await;
    if trouble {
        bed.store.put("op/config", &config(2, false));
        bed.record.line("the operator wrote version 2, without the route of the queue");
    }
    let rest = WORK_MS / 2 + WORK_MS + CONFIG_MS + FINISH_MS;
    tokio::time::sleep(Duration::from_millis(rest)).await;
    let answer = bed.state(PATH).await;
    let starts_before = bed.traces().len();
    let busy = bed.workers.iter().map(Worker::used_accelerators).sum::<i64>();
    tokio::time::sleep(IDLE_SPAN + Duration::from_millis(500)).await;
    let traces = bed.traces();
    let started = traces.len() - starts_before;
    let done = |step: u32, index: u32| {
        let task = format!("00000000000000e5.0.{step}.{index}");
        traces.iter().any(|trace| trace.task == task && trace.how == "done")
    };
    let first_done = (0..FIRST_STEP).all(|index| done(0, index));
    let waiting = (0..SECOND_STEP).filter(|index| !done(1, *index)).count();
    let mut breaks = Vec::new();
    if first_done && waiting > 0 && busy == 0 && started == 0 {
        breaks.push(format!(
            "LOST: {waiting} tasks of step 1 of the accepted job have their turn since step 0 is \
             done, and for 3.5 s nothing of the job ran on 3 idle workers; a GET answers {answer}"
        ));
    }
    bed.stop();
    Ok((bed.record.clone(), breaks))
}
