//! Queues with an adviser that decides which workers may run a step.

use std::time::Duration;

use lacewingrail_fleet::StepSpec;
use lacewingrail_fleet::advice::MAX_REQUEST_WORKERS;

use crate::harness::{PlannerHarness, listing, step, submission, ticket};

fn harness_of_workers(workers: usize) -> PlannerHarness {
    let worker = |index: usize| {
        let rack = format!("r{}", index / 6);
        listing(&format!("w{index:02}"), "north", &rack)
    };
    PlannerHarness::new(1, (0..workers).map(worker).collect())
}

/// Start orders must carry a ticket and go only to permitted workers; workers refuse others.
#[test]
fn tasks_start_with_tickets_on_permitted_workers() {
    let mut harness = harness_of_workers(6);
    harness.permitted_workers = vec!["w03".into(), "w05".into()];
    harness.submit(submission(1, "advised", vec![step(4, 4)]));
    harness.advance(Duration::from_millis(200));
    let mut workers = harness.workers_started_on(1);
    workers.sort();
    assert_eq!(workers, ["w03", "w03", "w05", "w05"]);
    assert!(harness.starts.iter().all(|order| order.ticket == ticket(&order.target.worker)));
    assert_eq!(harness.advice_requests.len(), 1, "one request covers all workers");
}

/// A job must run although none of the workers in the first request are permitted.
#[test]
fn further_workers_are_requested_until_the_step_fits() {
    let mut harness = harness_of_workers(MAX_REQUEST_WORKERS * 2 + 6);
    // Equally free racks are requested in the order of their names, so r9 comes last.
    harness.permitted_workers = vec!["w58".into()];
    harness.submit(submission(1, "advised", vec![step(1, 8)]));
    harness.advance(Duration::from_secs(2));
    assert_eq!(harness.workers_started_on(1), harness.permitted_workers);
    assert_eq!(harness.advice_requests.len(), 3);
}

/// No member of a gang may be placed on a worker that is not permitted.
#[test]
fn gang_waits_for_permitted_workers() {
    let mut harness = harness_of_workers(6);
    harness.permitted_workers = vec!["w01".into(), "w02".into()];
    harness.submit(submission(1, "normal", vec![step(1, 8)]));
    let first = harness.workers_started_on(1)[0].clone();
    harness.permitted_workers = vec![first, "w05".into()];
    harness.submit(submission(2, "advised", vec![StepSpec { gang: true, ..step(2, 8) }]));
    harness.advance(Duration::from_millis(500));
    assert!(harness.workers_started_on(2).is_empty());
    let order = harness.starts[0].clone();
    harness.end_task(&order, lacewingrail_fleet::EndReason::Done);
    harness.advance(Duration::from_millis(500));
    let mut workers = harness.workers_started_on(2);
    workers.sort();
    harness.permitted_workers.sort();
    assert_eq!(workers, harness.permitted_workers);
}

/// An expired ticket must not be used, but requested again.
#[test]
fn expired_tickets_are_requested_again() {
    let mut harness = harness_of_workers(1);
    harness.permitted_workers = vec!["w00".into()];
    harness.submit(submission(1, "normal", vec![step(1, 8)]));
    harness.submit(submission(2, "advised", vec![step(1, 8)]));
    // The worker is full, so the ticket of the waiting step expires unused.
    harness.advance(Duration::from_secs(8));
    assert!(harness.workers_started_on(2).is_empty());
    let order = harness.starts[0].clone();
    harness.end_task(&order, lacewingrail_fleet::EndReason::Done);
    harness.advance(Duration::from_millis(600));
    assert_eq!(harness.workers_started_on(2).len(), 1);
    assert!(harness.advice_requests.len() >= 3, "{} requests", harness.advice_requests.len());
}
