//! Claims of a customer's guarantee while another customer's urgent jobs fill the fleet.

use std::time::Duration;

use lacewingrail_fleet::{JobKey, JobSubmission, StepSpec};

use crate::harness::{PlannerHarness, listing, step, submission};

/// Time within which a claim has to begin.
const RECLAIM_TIME: Duration = Duration::from_millis(2900);

fn urgent_of(customer: &str, key: JobKey, steps: Vec<StepSpec>) -> JobSubmission {
    JobSubmission { customer: customer.into(), ..submission(key, "urgent", steps) }
}

/// Returns four workers, each filled by one urgent job of one customer. Two of these jobs are beyond
/// its guarantee.
fn filled_by_urgent_work() -> PlannerHarness {
    let worker = |index: usize| listing(&format!("w{index}"), "north", "r1");
    let mut harness = PlannerHarness::new(1, (0..4).map(worker).collect());
    for key in 1..=4 {
        harness.accept(urgent_of("school-groups", key, vec![step(1, 8)]));
    }
    assert_eq!(harness.starts.len(), 4);
    harness.pass(Duration::from_millis(300));
    harness
}

/// Guards against a guarantee that is not there when its customer claims it, because urgent jobs of
/// another customer hold the whole fleet.
#[test]
fn claim_displaces_urgent_work_beyond_a_guarantee() {
    let mut harness = filled_by_urgent_work();
    harness.accept(urgent_of("families", 9, vec![StepSpec { gang: true, ..step(2, 8) }]));
    harness.pass(RECLAIM_TIME);
    assert_eq!(harness.started(9).len(), 2);
    let mut stopped: Vec<JobKey> = harness.stops.iter().map(|run| run.task.job).collect();
    stopped.sort_unstable();
    assert_eq!(stopped, [3, 4], "the first two jobs are within their customer's guarantee");
}

/// Guards against urgent work that throws out urgent work without a guarantee to claim.
#[test]
fn work_beyond_a_guarantee_displaces_no_urgent_work() {
    let mut harness = filled_by_urgent_work();
    harness.accept(urgent_of("families", 9, vec![step(3, 8)]));
    harness.pass(RECLAIM_TIME);
    assert!(harness.stops.is_empty());
    assert!(harness.started(9).is_empty());
}

/// Guards against a guarantee that is claimed at the cost of urgent work although borrowers hold
/// enough.
#[test]
fn borrowers_are_displaced_before_urgent_work() {
    let worker = |index: usize| listing(&format!("w{index}"), "north", "r1");
    let mut harness = PlannerHarness::new(1, (0..4).map(worker).collect());
    for key in 1..=3 {
        harness.accept(urgent_of("school-groups", key, vec![step(1, 8)]));
    }
    harness.accept(submission(4, "slow", vec![step(1, 8)]));
    harness.pass(Duration::from_millis(2000));
    harness.accept(urgent_of("families", 9, vec![step(1, 8)]));
    harness.pass(RECLAIM_TIME);
    assert_eq!(harness.started(9).len(), 1);
    assert!(harness.stops.iter().all(|run| run.task.job == 4));
}

/// Guards against covered work that waits behind other urgent work for room that becomes free.
#[test]
fn covered_work_comes_first() {
    let mut harness = PlannerHarness::new(1, vec![listing("w0", "north", "r1")]);
    harness.accept(urgent_of("school-groups", 1, vec![step(1, 8)]));
    harness.accept(urgent_of("school-groups", 2, vec![step(3, 8)]));
    harness.accept(urgent_of("families", 9, vec![step(1, 8)]));
    let first = harness.starts[0].clone();
    harness.end(&first, lacewingrail_fleet::EndReason::Done);
    harness.pass(Duration::from_millis(300));
    assert_eq!(harness.started(9).len(), 1);
    assert!(harness.started(2).is_empty());
}
