//! Workers shared by serving and best-effort tasks, and stops of continuous tasks.

use std::time::Duration;

use lacewingrail_fleet::cpu_limit::next_cpu_limit;
use lacewingrail_fleet::{EndReason, StepSpec};

use crate::harness::{PlannerHarness, listing, step, submission};

const TARGET_LATENCY: Duration = Duration::from_millis(100);

fn serving(count: u32, accelerators: i64) -> StepSpec {
    StepSpec { continuous: true, target: Some(TARGET_LATENCY), ..step(count, accelerators) }
}

fn best_effort(count: u32) -> StepSpec {
    StepSpec { fills: true, ..step(count, 1) }
}

/// Best-effort tasks must be halted while a serving task on the same worker misses its target
/// latency, and get their full limit back afterwards.
#[test]
fn best_effort_tasks_yield_to_a_serving_task_and_recover() {
    let mut harness = PlannerHarness::new(1, vec![listing("w0", "north", "r1")]);
    harness.submit(submission(1, "normal", vec![serving(1, 4)]));
    harness.submit(submission(2, "slow", vec![best_effort(1)]));
    assert_eq!(harness.workers_started_on(2).len(), 1);
    harness.workers.get_mut("w0").expect("the worker is simulated").usage = 140;
    harness.advance(Duration::from_millis(3800));
    let lowest = harness.cpu_limits.iter().map(|(_, percent)| *percent).min();
    assert_eq!(lowest, Some(0), "halted within the 4 s for which the target may be missed");
    assert!(harness.cpu_limits.iter().all(|(target, _)| target.task.job == 2));
    harness.workers.get_mut("w0").expect("the worker is simulated").usage = 30;
    harness.advance(Duration::from_secs(10));
    assert_eq!(harness.cpu_limits.last().map(|(_, percent)| *percent), Some(100));
}

/// Best-effort tasks must get their full limit back once the serving task on the same worker has
/// stopped.
#[test]
fn best_effort_tasks_get_the_full_limit_without_serving_tasks() {
    let mut harness = PlannerHarness::new(1, vec![listing("w0", "north", "r1")]);
    harness.submit(submission(1, "normal", vec![serving(1, 4)]));
    harness.submit(submission(2, "slow", vec![best_effort(1)]));
    harness.workers.get_mut("w0").expect("the worker is simulated").usage = 140;
    harness.advance(Duration::from_secs(2));
    harness.apply_event(lacewingrail_fleet::FleetEvent::JobCancelled(1));
    harness.advance(Duration::from_secs(2));
    assert_eq!(harness.cpu_limits.last().map(|(_, percent)| *percent), Some(100));
}

/// The limit must stay within its range and must not swing between both ends.
#[test]
fn cpu_limit_halves_at_high_latency_and_rises_in_steps() {
    assert_eq!(
        (next_cpu_limit(100, 1.2), next_cpu_limit(12, 1.2), next_cpu_limit(0, 1.2)),
        (50, 0, 0)
    );
    assert_eq!(
        (next_cpu_limit(0, 0.1), next_cpu_limit(95, 0.1), next_cpu_limit(40, 0.7)),
        (10, 100, 40)
    );
}

/// Urgent work must not make more tasks of a continuous step unavailable than its customer allows.
#[test]
fn preemption_respects_the_disruption_budget() {
    let worker = |index: usize| listing(&format!("w{index}"), "north", "r1");
    let mut harness = PlannerHarness::new(1, (0..4).map(worker).collect());
    let limited = StepSpec { most_away: Some(1), ..serving(4, 8) };
    harness.submit(submission(1, "normal", vec![limited]));
    harness.advance(Duration::from_secs(5));
    harness.submit(submission(2, "urgent", vec![step(2, 8)]));
    harness.advance(Duration::from_secs(5));
    let stopped = harness.stops.iter().filter(|run| run.task.job == 1).count();
    assert_eq!((stopped, harness.workers_started_on(2).len()), (1, 1));
}

/// Failures of continuous tasks, which may fail at any time, must cause no backoff of their worker.
#[test]
fn failing_continuous_task_causes_no_backoff() {
    let mut harness = PlannerHarness::new(1, vec![listing("w0", "north", "r1")]);
    harness.submit(submission(1, "normal", vec![serving(1, 8)]));
    for _ in 0..4 {
        let order = harness.starts.last().expect("a task was started").clone();
        harness.end_task(&order, EndReason::Failed);
        harness.advance(Duration::from_millis(300));
    }
    assert_eq!(harness.workers_started_on(1).len(), 5);
}
