//! Guards against submissions that wait in vain, and against refusals of what could be served.

use std::time::Duration;

use lacewingrail_fleet::admission::AdmissionRefusal;
use lacewingrail_fleet::{EndReason, JobKey, JobSubmission};

use crate::harness::{ESTIMATE, PlannerHarness, listing, step, submission};

/// Urgent jobs that wait before the one that asks.
const WAITING: u32 = 40;
/// Customer without a guarantee.
const OTHER: &str = "others";

fn two_workers() -> PlannerHarness {
    PlannerHarness::new(1, vec![listing("w0", "a", "a1"), listing("w1", "a", "a1")])
}

fn job(key: JobKey, customer: &str, queue: &str, accelerators: i64) -> JobSubmission {
    let steps = vec![step(1, accelerators)];
    JobSubmission { customer: customer.into(), ..submission(key, queue, steps) }
}

/// A load of urgent jobs that exceeds two workers for over a minute: each takes one of them for four
/// seconds.
fn overloaded() -> PlannerHarness {
    let mut harness = two_workers();
    for key in 0..JobKey::from(WAITING) {
        harness.accept(job(key, OTHER, "urgent", 8));
    }
    harness
}

/// Lets time pass while every run takes as long as declared.
fn work(harness: &mut PlannerHarness, time: Duration) {
    let until = harness.now + time;
    while harness.now < until {
        harness.pass(ESTIMATE);
        for order in harness.starts.clone() {
            harness.end(&order, EndReason::Done);
        }
    }
    harness.settle();
}

/// Guards against a job that is taken although it would end long after its customer gave up, and
/// against a time to come back at which it would be refused again.
#[test]
fn work_that_would_end_far_too_late_is_refused_at_once() {
    // Three objectives: of 15 s for slow work, of 6.25 s for urgent work.
    for (queue, limit) in [("slow", 45_000), ("urgent", 18_750)] {
        let mut harness = overloaded();
        let late = job(1_000, OTHER, queue, 8);
        let refusal = harness.planner.check_submission(&late, harness.now).unwrap_err();
        // All but the two that run come before it.
        let end = ESTIMATE * (WAITING - 2) / 2 + ESTIMATE;
        let retry = end - Duration::from_millis(limit);
        assert_eq!(refusal, AdmissionRefusal::Backlog { retry_after: retry });
        work(&mut harness, retry);
        assert_eq!(harness.planner.check_submission(&late, harness.now), Ok(()), "{queue}");
    }
}

/// Guards against refusals of work that comes before what waits, or that waits for a time of its own.
#[test]
fn work_that_comes_first_is_not_refused_for_the_backlog() {
    let harness = overloaded();
    let covered = job(1_000, "families", "urgent", 8);
    assert_eq!(harness.planner.check_submission(&covered, harness.now), Ok(()));
    let mut lasting = job(1_001, OTHER, "slow", 8);
    lasting.spec.steps[0].continuous = true;
    assert_eq!(harness.planner.check_submission(&lasting, harness.now), Ok(()));
}

/// Guards against refusals for work that will be late itself, and then comes behind the new job.
#[test]
fn work_is_not_refused_for_what_will_be_late() {
    let mut harness = two_workers();
    for key in 0..JobKey::from(WAITING) * 2 {
        harness.accept(job(key, OTHER, "normal", 8));
    }
    let slow = job(1_000, OTHER, "slow", 8);
    assert_eq!(harness.planner.check_submission(&slow, harness.now), Ok(()));
}

/// Guards against refusals by an idle fleet.
#[test]
fn work_of_an_idle_fleet_is_not_refused() {
    let harness = two_workers();
    let wide = submission(1_000, "slow", vec![step(40, 8)]);
    assert_eq!(harness.planner.check_submission(&wide, harness.now), Ok(()));
}

/// Guards against refusals of small jobs because of large ones that come first but leave room: on the
/// lab's loads at three times the sheet such jobs were served within seconds.
#[test]
fn small_work_is_not_refused_for_large_work() {
    let harness = overloaded();
    let small = job(1_000, OTHER, "urgent", 1);
    assert_eq!(harness.planner.check_submission(&small, harness.now), Ok(()));
}
