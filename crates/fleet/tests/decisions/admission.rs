//! Refusal of submissions that can't run, or not in time.

use std::time::Duration;

use lacewingrail_fleet::admission::AdmissionRefusal;
use lacewingrail_fleet::{EndReason, JobKey, JobSubmission};

use crate::harness::{ESTIMATE, PlannerHarness, listing, step, submission};

/// Number of urgent jobs submitted before the one under test.
const WAITING_JOBS: u32 = 40;
/// Customer without a guarantee.
const OTHER_CUSTOMER: &str = "others";

fn two_workers() -> PlannerHarness {
    PlannerHarness::new(1, vec![listing("w0", "a", "a1"), listing("w1", "a", "a1")])
}

fn job(key: JobKey, customer: &str, queue: &str, accelerators: i64) -> JobSubmission {
    let steps = vec![step(1, accelerators)];
    JobSubmission { customer: customer.into(), ..submission(key, queue, steps) }
}

/// Returns two workers with urgent jobs for over a minute: each job takes a whole worker for four
/// seconds.
fn overloaded_harness() -> PlannerHarness {
    let mut harness = two_workers();
    for key in 0..JobKey::from(WAITING_JOBS) {
        harness.submit(job(key, OTHER_CUSTOMER, "urgent", 8));
    }
    harness
}

/// Advances the time while every run takes as long as declared.
fn run_declared_times(harness: &mut PlannerHarness, time: Duration) {
    let until = harness.now + time;
    while harness.now < until {
        harness.advance(ESTIMATE);
        for order in harness.starts.clone() {
            harness.end_task(&order, EndReason::Done);
        }
    }
    harness.run_until_idle();
}

/// A job that would end after its customer has likely abandoned it must be refused, and the time
/// returned for a retry must be long enough that the retry is accepted.
#[test]
fn work_that_would_end_after_three_objectives_is_refused() {
    // Three times the objective, which is 15 s for slow and 6.25 s for urgent work.
    for (queue, limit) in [("slow", 45_000), ("urgent", 18_750)] {
        let mut harness = overloaded_harness();
        let late = job(1_000, OTHER_CUSTOMER, queue, 8);
        let refusal = harness.planner.check_submission(&late, harness.now).unwrap_err();
        // All jobs except the two that run come first.
        let end = ESTIMATE * (WAITING_JOBS - 2) / 2 + ESTIMATE;
        let retry_after = end - Duration::from_millis(limit);
        assert_eq!(refusal, AdmissionRefusal::Backlog { retry_after });
        run_declared_times(&mut harness, retry_after);
        assert_eq!(harness.planner.check_submission(&late, harness.now), Ok(()), "{queue}");
    }
}

/// Work that comes before all waiting work, or that has no end, must not be refused for the
/// backlog.
#[test]
fn covered_and_continuous_work_is_not_refused_for_the_backlog() {
    let harness = overloaded_harness();
    let covered = job(1_000, "families", "urgent", 8);
    assert_eq!(harness.planner.check_submission(&covered, harness.now), Ok(()));
    let mut continuous = job(1_001, OTHER_CUSTOMER, "slow", 8);
    continuous.spec.steps[0].continuous = true;
    assert_eq!(harness.planner.check_submission(&continuous, harness.now), Ok(()));
}

/// Waiting work that will be late itself, and then ranks behind the new job, must not count in its
/// backlog.
#[test]
fn work_is_not_refused_for_waiting_work_that_will_be_late() {
    let mut harness = two_workers();
    for key in 0..JobKey::from(WAITING_JOBS) * 2 {
        harness.submit(job(key, OTHER_CUSTOMER, "normal", 8));
    }
    let slow = job(1_000, OTHER_CUSTOMER, "slow", 8);
    assert_eq!(harness.planner.check_submission(&slow, harness.now), Ok(()));
}

/// An idle fleet must not refuse work.
#[test]
fn work_is_not_refused_by_an_idle_fleet() {
    let harness = two_workers();
    let wide = submission(1_000, "slow", vec![step(40, 8)]);
    assert_eq!(harness.planner.check_submission(&wide, harness.now), Ok(()));
}

/// A small job must not be refused for larger ones that come first but leave room. Otherwise, at
/// three times the regular load, jobs are refused that could be served within seconds.
#[test]
fn small_work_is_not_refused_for_large_work() {
    let harness = overloaded_harness();
    let small = job(1_000, OTHER_CUSTOMER, "urgent", 1);
    assert_eq!(harness.planner.check_submission(&small, harness.now), Ok(()));
}
