//! Tests of quarantine, probes and faulty jobs.

use std::time::Duration;

use lacewingrail_placement::{FailureOutcome, HealthTracker, WorkerHealth};

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn fail(tracker: &mut HealthTracker, worker: &str, job: &str) -> FailureOutcome {
    tracker.record_start_failure(&worker.to_owned(), &job.to_owned(), Duration::ZERO)
}

fn health(tracker: &HealthTracker, worker: &str) -> WorkerHealth {
    tracker.health(&worker.to_owned())
}

/// Guards against keeping a worker in service on which every start fails, and against a quarantine
/// because of a single job or of failures that are not consecutive.
#[test]
fn three_consecutive_failures_of_two_jobs_quarantine_worker() {
    let mut tracker = HealthTracker::new();
    for _ in 0..4 {
        assert_eq!(fail(&mut tracker, "w1", "j1"), FailureOutcome::Continue);
    }
    let outcome = fail(&mut tracker, "w1", "j2");
    assert_eq!(outcome, FailureOutcome::WorkerQuarantined("w1".to_owned()));
    assert_eq!(health(&tracker, "w1"), WorkerHealth::Quarantined);
    for job in ["j1", "j2"] {
        assert_eq!(fail(&mut tracker, "w2", job), FailureOutcome::Continue);
    }
    tracker.record_start(&"w2".to_owned());
    assert_eq!(fail(&mut tracker, "w2", "j3"), FailureOutcome::Continue);
    assert_eq!(health(&tracker, "w2"), WorkerHealth::Healthy);
}

/// Guards against probes that start too early or without backoff, and against a worker that returns
/// to service after a single successful probe.
#[test]
fn quarantined_worker_returns_after_two_successful_probes() {
    let mut tracker = HealthTracker::new();
    for job in ["j1", "j2", "j3"] {
        fail(&mut tracker, "w1", job);
    }
    let worker = "w1".to_owned();
    assert!(tracker.start_due_probes(seconds(29)).is_empty());
    assert_eq!(tracker.start_due_probes(seconds(30)), ["w1"]);
    assert!(tracker.start_due_probes(seconds(31)).is_empty(), "one probe at a time");
    assert_eq!(health(&tracker, "w1"), WorkerHealth::Probing);
    assert!(!tracker.record_probe_result(&worker, false, seconds(32)));
    assert!(tracker.start_due_probes(seconds(91)).is_empty(), "the delay doubles to 60 s");
    assert_eq!(tracker.start_due_probes(seconds(92)), ["w1"]);
    assert!(!tracker.record_probe_result(&worker, true, seconds(93)));
    assert_eq!(tracker.start_due_probes(seconds(123)), ["w1"]);
    assert!(tracker.record_probe_result(&worker, true, seconds(124)));
    assert_eq!(health(&tracker, "w1"), WorkerHealth::Healthy);
}

/// Guards against a faulty job that is retried without end, and against workers that stay
/// quarantined because of its failures.
#[test]
fn job_that_fails_on_three_workers_is_faulty() {
    let mut tracker = HealthTracker::new();
    for job in ["j1", "j2"] {
        fail(&mut tracker, "w1", job);
    }
    assert_eq!(fail(&mut tracker, "w2", "bad"), FailureOutcome::Continue);
    let outcome = fail(&mut tracker, "w1", "bad");
    assert_eq!(outcome, FailureOutcome::WorkerQuarantined("w1".to_owned()));
    assert_eq!(tracker.failed_workers(&"bad".to_owned()), ["w1", "w2"]);
    let FailureOutcome::JobFaulty { reason, returned } = fail(&mut tracker, "w3", "bad") else {
        panic!("the job failed on three workers");
    };
    assert!(reason.contains("3 different workers (w1, w2, w3)"), "{reason}");
    assert_eq!(returned, ["w1"], "without the faulty job it has only two failures");
    assert_eq!(health(&tracker, "w1"), WorkerHealth::Healthy);
    let outcome = fail(&mut tracker, "w1", "j3");
    assert_eq!(outcome, FailureOutcome::WorkerQuarantined("w1".to_owned()));
}
