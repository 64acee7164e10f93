//! Queues whose adviser alone knows which workers may run a step.

use std::time::Duration;

use lacewingrail_fleet::StepSpec;
use lacewingrail_fleet::advice::MAX_REQUEST_WORKERS;

use crate::harness::{PlannerHarness, listing, step, submission, ticket};

fn harness(workers: usize) -> PlannerHarness {
    let worker = |index: usize| {
        let rack = format!("r{}", index / 6);
        listing(&format!("w{index:02}"), "north", &rack)
    };
    PlannerHarness::new(1, (0..workers).map(worker).collect())
}

/// Guards against starts that are refused because they carry no ticket, or go to workers that the
/// policy does not allow.
#[test]
fn tasks_start_with_tickets_on_allowed_workers() {
    let mut harness = harness(6);
    harness.allowed = vec!["w03".into(), "w05".into()];
    harness.accept(submission(1, "advised", vec![step(4, 4)]));
    harness.pass(Duration::from_millis(200));
    let mut workers = harness.started(1);
    workers.sort();
    assert_eq!(workers, ["w03", "w03", "w05", "w05"]);
    assert!(harness.starts.iter().all(|order| order.ticket == ticket(&order.target.worker)));
    assert_eq!(harness.questions.len(), 1, "one question tells about all workers");
}

/// Guards against a job that never runs because the workers asked about first are not allowed.
#[test]
fn more_workers_are_asked_about_until_the_step_fits() {
    let mut harness = harness(MAX_REQUEST_WORKERS * 2 + 6);
    // Equally free racks are asked about in order of their names, so r9 comes last.
    harness.allowed = vec!["w58".into()];
    harness.accept(submission(1, "advised", vec![step(1, 8)]));
    harness.pass(Duration::from_secs(2));
    assert_eq!(harness.started(1), harness.allowed);
    assert_eq!(harness.questions.len(), 3);
}

/// Guards against a gang that is placed partly on workers that the policy does not allow.
#[test]
fn gang_waits_for_allowed_workers() {
    let mut harness = harness(6);
    harness.allowed = vec!["w01".into(), "w02".into()];
    harness.accept(submission(1, "normal", vec![step(1, 8)]));
    let first = harness.started(1)[0].clone();
    harness.allowed = vec![first, "w05".into()];
    harness.accept(submission(2, "advised", vec![StepSpec { gang: true, ..step(2, 8) }]));
    harness.pass(Duration::from_millis(500));
    assert!(harness.started(2).is_empty());
    let order = harness.starts[0].clone();
    harness.end(&order, lacewingrail_fleet::EndReason::Done);
    harness.pass(Duration::from_millis(500));
    let mut workers = harness.started(2);
    workers.sort();
    harness.allowed.sort();
    assert_eq!(workers, harness.allowed);
}

/// Guards against tickets that are used after their time or in another life of the worker.
#[test]
fn tickets_are_renewed_when_they_end() {
    let mut harness = harness(1);
    harness.allowed = vec!["w00".into()];
    harness.accept(submission(1, "normal", vec![step(1, 8)]));
    harness.accept(submission(2, "advised", vec![step(1, 8)]));
    // The worker is full, so the ticket of the waiting step ends unused.
    harness.pass(Duration::from_secs(8));
    assert!(harness.started(2).is_empty());
    let order = harness.starts[0].clone();
    harness.end(&order, lacewingrail_fleet::EndReason::Done);
    harness.pass(Duration::from_millis(600));
    assert_eq!(harness.started(2).len(), 1);
    assert!(harness.questions.len() >= 3, "{} questions", harness.questions.len());
}
