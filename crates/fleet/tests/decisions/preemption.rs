//! Which runs urgent work may preempt, and when.

use std::time::Duration;

use crate::harness::{PlannerHarness, listing, step, submission};
use lacewingrail_fleet::{EndReason, StepSpec};

/// Returns a full rack whose only work is a large gang without checkpoints that is half done.
fn fleet_full_of_one_gang() -> PlannerHarness {
    let worker = |index: usize| listing(&format!("w{index}"), "north", "r1");
    let mut harness = PlannerHarness::new(1, (0..6).map(worker).collect());
    // Six members of 72 cores each for 4 s, where an accelerator counts as 8 cores.
    harness.submit(submission(1, "normal", vec![StepSpec { gang: true, ..step(6, 8) }]));
    assert_eq!(harness.starts.len(), 6);
    harness.advance(Duration::from_millis(2400));
    harness
}

/// Urgent work must not preempt a large gang at once, since a cheaper placement often becomes
/// possible soon. Otherwise a single preemption lost 2,000 to 5,000 core-seconds, the largest cost
/// of a full day.
#[test]
fn urgent_work_waits_for_a_cheaper_placement() {
    let mut harness = fleet_full_of_one_gang();
    harness.submit(submission(2, "urgent", vec![StepSpec { gang: true, ..step(1, 4) }]));
    harness.advance(Duration::from_millis(400));
    assert!(harness.stops.is_empty());
    for order in harness.starts.clone() {
        harness.end_task(&order, EndReason::Done);
    }
    harness.advance(Duration::from_millis(300));
    assert_eq!(harness.workers_started_on(2).len(), 1);
    assert!(harness.stops.is_empty());
}

/// Urgent work must start within the time for a reclaim, however much work that loses.
#[test]
fn urgent_work_waits_at_most_for_the_reclaim_time() {
    let mut harness = fleet_full_of_one_gang();
    harness.submit(submission(2, "urgent", vec![StepSpec { gang: true, ..step(1, 4) }]));
    harness.advance(Duration::from_millis(2000));
    assert_eq!(harness.workers_started_on(2).len(), 1);
    assert_eq!(harness.stops.len(), 6, "a gang is stopped whole");
}

/// Work that ranks behind an urgent step must not take the workers that are kept free for it.
#[test]
fn workers_kept_free_for_urgent_work_are_not_taken() {
    let mut harness = fleet_full_of_one_gang();
    harness.submit(submission(2, "urgent", vec![StepSpec { gang: true, ..step(2, 8) }]));
    harness.submit(submission(3, "slow", vec![step(6, 8)]));
    for order in harness.starts.clone() {
        harness.end_task(&order, EndReason::Done);
    }
    harness.advance(Duration::from_millis(100));
    assert_eq!(harness.workers_started_on(2).len(), 2);
    assert_eq!(harness.workers_started_on(3).len(), 4);
}
