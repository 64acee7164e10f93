//! What waiting work costs the scheduler, in a process of its own so that its memory can be read.

#[path = "support/waiting_jobs.rs"]
mod waiting_jobs;

use std::hint::black_box;
use std::time::{Duration, Instant};

use lacewingrail_fleet::FleetPlanner;
use waiting_jobs::{DEMAND, NOW, WaitingWork, accept, planner, resident_bytes, submission};

const JOBS: u64 = 1000;
/// Most memory that 10 million waiting tasks in 1,000 jobs may take, in bytes (the target).
const MAX_BYTES: u64 = 20_000_000;
/// Most that a decision may take, as a multiple of that with 10,000 waiting tasks (the target).
const MAX_TIME_FACTOR: u32 = 2;
/// Number of decisions of which the fastest counts.
const DECISIONS: usize = 7;

/// Returns a planner with room for one task and a number of jobs, each of one step of some tasks.
fn planner_with_jobs(tasks: u32) -> FleetPlanner {
    let mut planner = planner(1, DEMAND);
    accept(&mut planner, WaitingWork { jobs: JOBS, steps: 1, tasks });
    planner
}

/// Returns the time of the fastest of some decisions and admission checks.
fn decision_time(planner: &mut FleetPlanner, tasks: u32) -> Duration {
    let next = submission(JOBS, WaitingWork { jobs: 1, steps: 1, tasks });
    let times = (0..DECISIONS).map(|_| {
        let begin = Instant::now();
        planner.plan(NOW);
        let _ = black_box(planner.check_submission(&next, NOW));
        begin.elapsed()
    });
    times.min().unwrap_or_default()
}

/// Guards against a scheduler that exceeds its machine's memory because it keeps an entry for each
/// task that has never run, and against decisions that go through them (review case 11).
#[test]
fn waiting_tasks_cost_neither_memory_nor_time() {
    let mut small = planner_with_jobs(10);
    let before = resident_bytes();
    let mut large = planner_with_jobs(10_000);
    let bytes = resident_bytes().saturating_sub(before);
    assert!(bytes < MAX_BYTES, "10 million waiting tasks take {bytes} bytes");
    let (short, long) = (decision_time(&mut small, 10), decision_time(&mut large, 10_000));
    assert!(long <= short * MAX_TIME_FACTOR, "a decision takes {long:?}, {short:?} with 10,000");
}
