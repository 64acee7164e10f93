//! Measures what waiting work costs the planner: memory by number of tasks, and the time of a
//! decision and of an admission check by number of jobs, steps and tasks.
//!
//! Usage: `cargo run --release -p lacewingrail-fleet --example measure_waiting`

#[path = "../tests/support/waiting_jobs.rs"]
mod waiting_jobs;

use std::time::Instant;

use lacewingrail_fleet::ResourceAmount;
use waiting_jobs::{NOW, WaitingWork, accept, planner, resident_bytes, submission};

/// Number of workers.
const WORKERS: usize = 48;
/// Number of decisions that are timed.
const DECISIONS: u32 = 20;
/// Capacity of each worker.
const CAPACITY: ResourceAmount =
    ResourceAmount { cpu_milli: 64_000, memory_mb: 131_072, accelerators: 8 };

fn main() {
    println!(
        "| jobs | steps | tasks waiting | memory (kB) | decision (ms) | admission check (ms) |"
    );
    println!("|---|---|---|---|---|---|");
    let works = [
        WaitingWork { jobs: 1000, steps: 1, tasks: 10 },
        WaitingWork { jobs: 1000, steps: 1, tasks: 1000 },
        WaitingWork { jobs: 1000, steps: 1, tasks: 10_000 },
        WaitingWork { jobs: 100, steps: 1, tasks: 10_000 },
        WaitingWork { jobs: 1, steps: 400, tasks: 10_000 },
    ];
    works.into_iter().for_each(measure);
}

fn measure(work: WaitingWork) {
    let mut planner = planner(WORKERS, CAPACITY);
    let before = resident_bytes();
    accept(&mut planner, work);
    let memory = resident_bytes().saturating_sub(before);
    let decision = mean_time(|| drop(planner.plan(NOW)));
    let next = submission(work.jobs, work);
    let check = mean_time(|| {
        let _ = planner.check_submission(&next, NOW);
    });
    let WaitingWork { jobs, steps, tasks } = work;
    let waiting = jobs * steps as u64 * u64::from(tasks);
    let kilobytes = memory / 1000;
    println!("| {jobs} | {steps} | {waiting} | {kilobytes} | {decision:.2} | {check:.2} |");
    // Memory that is freed would be used again, and missing from the next row.
    std::mem::forget(planner);
}

/// Returns the mean time of a call in milliseconds.
fn mean_time<F>(mut call: F) -> f64
where
    F: FnMut(),
{
    let begin = Instant::now();
    (0..DECISIONS).for_each(|_| call());
    begin.elapsed().as_secs_f64() * 1000.0 / f64::from(DECISIONS)
}
