//! What urgent work may displace, and when.

use std::time::Duration;

use crate::harness::{PlannerHarness, listing, step, submission};
use lacewingrail_fleet::{EndReason, StepSpec};

/// Returns a full fleet of one rack whose only borrower is a large gang without checkpoints that is
/// half done.
fn full_of_a_gang() -> PlannerHarness {
    let worker = |index: usize| listing(&format!("w{index}"), "north", "r1");
    let mut harness = PlannerHarness::new(1, (0..6).map(worker).collect());
    // 6 members of 72 cores for 4 s each, accelerators counted as 8 cores.
    harness.accept(submission(1, "normal", vec![StepSpec { gang: true, ..step(6, 8) }]));
    assert_eq!(harness.starts.len(), 6);
    harness.pass(Duration::from_millis(2400));
    harness
}

/// Urgent work must not throw away a large gang at once: room often appears within a moment
/// (single reclaims of 2,000 to 5,000 core-seconds were the largest price of a full day).
#[test]
fn urgent_work_waits_for_cheaper_room() {
    let mut harness = full_of_a_gang();
    harness.accept(submission(2, "urgent", vec![StepSpec { gang: true, ..step(1, 4) }]));
    harness.pass(Duration::from_millis(400));
    assert!(harness.stops.is_empty());
    for order in harness.starts.clone() {
        harness.end(&order, EndReason::Done);
    }
    harness.pass(Duration::from_millis(300));
    assert_eq!(harness.started(2).len(), 1);
    assert!(harness.stops.is_empty());
}

/// Urgent work must start within the time for a reclaim whatever that throws away.
#[test]
fn urgent_work_does_not_wait_for_long() {
    let mut harness = full_of_a_gang();
    harness.accept(submission(2, "urgent", vec![StepSpec { gang: true, ..step(1, 4) }]));
    harness.pass(Duration::from_millis(2000));
    assert_eq!(harness.started(2).len(), 1);
    assert_eq!(harness.stops.len(), 6, "a gang is stopped whole");
}

/// Work that waits behind an urgent step must not take the workers that are kept free for it.
#[test]
fn room_kept_for_urgent_work_is_not_taken() {
    let mut harness = full_of_a_gang();
    harness.accept(submission(2, "urgent", vec![StepSpec { gang: true, ..step(2, 8) }]));
    harness.accept(submission(3, "slow", vec![step(6, 8)]));
    for order in harness.starts.clone() {
        harness.end(&order, EndReason::Done);
    }
    harness.pass(Duration::from_millis(100));
    assert_eq!(harness.started(2).len(), 2);
    assert_eq!(harness.started(3).len(), 4);
}
