//! Claims of a customer's guarantee while urgent jobs of another fill the fleet.

use std::time::Duration;

use lacewingrail_fleet::{JobKey, JobSubmission, StepSpec};

use crate::harness::{PlannerHarness, listing, step, submission};

/// Time within which a claim must lead to a start.
const RECLAIM_TIMEOUT: Duration = Duration::from_millis(2900);

fn urgent_of(customer: &str, key: JobKey, steps: Vec<StepSpec>) -> JobSubmission {
    JobSubmission { customer: customer.into(), ..submission(key, "urgent", steps) }
}

/// Returns four workers, each filled by an urgent job of the same customer. Two of the jobs are
/// beyond its guarantee.
fn fleet_full_of_urgent_work() -> PlannerHarness {
    let worker = |index: usize| listing(&format!("w{index}"), "north", "r1");
    let mut harness = PlannerHarness::new(1, (0..4).map(worker).collect());
    for key in 1..=4 {
        harness.submit(urgent_of("school-groups", key, vec![step(1, 8)]));
    }
    assert_eq!(harness.starts.len(), 4);
    harness.advance(Duration::from_millis(300));
    harness
}

/// A customer must get its guaranteed accelerators although urgent jobs of another customer hold
/// the whole fleet.
#[test]
fn claim_preempts_urgent_work_beyond_a_guarantee() {
    let mut harness = fleet_full_of_urgent_work();
    harness.submit(urgent_of("families", 9, vec![StepSpec { gang: true, ..step(2, 8) }]));
    harness.advance(RECLAIM_TIMEOUT);
    assert_eq!(harness.workers_started_on(9).len(), 2);
    let mut stopped: Vec<JobKey> = harness.stops.iter().map(|run| run.task.job).collect();
    stopped.sort_unstable();
    assert_eq!(stopped, [3, 4], "the first two jobs are within their customer's guarantee");
}

/// Urgent work beyond its customer's guarantee must not preempt other urgent work.
#[test]
fn work_beyond_a_guarantee_preempts_no_urgent_work() {
    let mut harness = fleet_full_of_urgent_work();
    harness.submit(urgent_of("families", 9, vec![step(3, 8)]));
    harness.advance(RECLAIM_TIMEOUT);
    assert!(harness.stops.is_empty());
    assert!(harness.workers_started_on(9).is_empty());
}

/// A claim must not preempt urgent work while runs that are not urgent hold enough.
#[test]
fn other_work_is_preempted_before_urgent_work() {
    let worker = |index: usize| listing(&format!("w{index}"), "north", "r1");
    let mut harness = PlannerHarness::new(1, (0..4).map(worker).collect());
    for key in 1..=3 {
        harness.submit(urgent_of("school-groups", key, vec![step(1, 8)]));
    }
    harness.submit(submission(4, "slow", vec![step(1, 8)]));
    harness.advance(Duration::from_millis(2000));
    harness.submit(urgent_of("families", 9, vec![step(1, 8)]));
    harness.advance(RECLAIM_TIMEOUT);
    assert_eq!(harness.workers_started_on(9).len(), 1);
    assert!(harness.stops.iter().all(|run| run.task.job == 4));
}

/// Covered work must come before other urgent work when a worker becomes free.
#[test]
fn covered_work_comes_first() {
    let mut harness = PlannerHarness::new(1, vec![listing("w0", "north", "r1")]);
    harness.submit(urgent_of("school-groups", 1, vec![step(1, 8)]));
    harness.submit(urgent_of("school-groups", 2, vec![step(3, 8)]));
    harness.submit(urgent_of("families", 9, vec![step(1, 8)]));
    let first = harness.starts[0].clone();
    harness.end_task(&first, lacewingrail_fleet::EndReason::Done);
    harness.advance(Duration::from_millis(300));
    assert_eq!(harness.workers_started_on(9).len(), 1);
    assert!(harness.workers_started_on(2).is_empty());
}
