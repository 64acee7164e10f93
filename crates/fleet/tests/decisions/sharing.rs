//! Tasks that share a worker: some serve users of their own, others fill what is left.

use std::time::Duration;

use lacewingrail_fleet::cpu_limit::next_cpu_limit;
use lacewingrail_fleet::{EndReason, StepSpec};

use crate::harness::{PlannerHarness, listing, step, submission};

const TARGET: Duration = Duration::from_millis(100);

fn serving(count: u32, accelerators: i64) -> StepSpec {
    StepSpec { continuous: true, target: Some(TARGET), ..step(count, accelerators) }
}

fn filling(count: u32) -> StepSpec {
    StepSpec { fills: true, ..step(count, 1) }
}

/// Guards against users of a serving task that wait because of what fills beside it.
#[test]
fn filling_tasks_yield_to_a_serving_task_and_return() {
    let mut harness = PlannerHarness::new(1, vec![listing("w0", "north", "r1")]);
    harness.accept(submission(1, "normal", vec![serving(1, 4)]));
    harness.accept(submission(2, "slow", vec![filling(1)]));
    assert_eq!(harness.started(2).len(), 1);
    harness.workers.get_mut("w0").expect("a worker").usage = 140;
    harness.pass(Duration::from_millis(3800));
    let lowest = harness.paces.iter().map(|(_, percent)| *percent).min();
    assert_eq!(lowest, Some(0), "standing still within the 4 s for which harm may last");
    assert!(harness.paces.iter().all(|(target, _)| target.task.job == 2));
    harness.workers.get_mut("w0").expect("a worker").usage = 30;
    harness.pass(Duration::from_secs(10));
    assert_eq!(harness.paces.last().map(|(_, percent)| *percent), Some(100));
}

/// Guards against filling tasks that stay slow after the serving task beside them has left.
#[test]
fn filling_tasks_work_fully_where_nothing_serves() {
    let mut harness = PlannerHarness::new(1, vec![listing("w0", "north", "r1")]);
    harness.accept(submission(1, "normal", vec![serving(1, 4)]));
    harness.accept(submission(2, "slow", vec![filling(1)]));
    harness.workers.get_mut("w0").expect("a worker").usage = 140;
    harness.pass(Duration::from_secs(2));
    harness.tell(lacewingrail_fleet::FleetEvent::JobCancelled(1));
    harness.pass(Duration::from_secs(2));
    assert_eq!(harness.paces.last().map(|(_, percent)| *percent), Some(100));
}

/// Guards against shares that leave their range or swing between both ends.
#[test]
fn share_halves_under_pressure_and_rises_in_steps() {
    assert_eq!(
        (next_cpu_limit(100, 1.2), next_cpu_limit(12, 1.2), next_cpu_limit(0, 1.2)),
        (50, 0, 0)
    );
    assert_eq!(
        (next_cpu_limit(0, 0.1), next_cpu_limit(95, 0.1), next_cpu_limit(40, 0.7)),
        (10, 100, 40)
    );
}

/// Guards against urgent work that takes more tasks of a continuous step away than its customer
/// allows.
#[test]
fn continuous_step_keeps_its_least_tasks() {
    let worker = |index: usize| listing(&format!("w{index}"), "north", "r1");
    let mut harness = PlannerHarness::new(1, (0..4).map(worker).collect());
    let limited = StepSpec { most_away: Some(1), ..serving(4, 8) };
    harness.accept(submission(1, "normal", vec![limited]));
    harness.pass(Duration::from_secs(5));
    harness.accept(submission(2, "urgent", vec![step(2, 8)]));
    harness.pass(Duration::from_secs(5));
    let stopped = harness.stops.iter().filter(|run| run.task.job == 1).count();
    assert_eq!((stopped, harness.started(2).len()), (1, 1));
}

/// Guards against workers that are set aside because continuous tasks, which may fail at any time,
/// failed there.
#[test]
fn failing_continuous_task_starts_again_at_once() {
    let mut harness = PlannerHarness::new(1, vec![listing("w0", "north", "r1")]);
    harness.accept(submission(1, "normal", vec![serving(1, 8)]));
    for _ in 0..4 {
        let order = harness.starts.last().expect("a start").clone();
        harness.end(&order, EndReason::Failed);
        harness.pass(Duration::from_millis(300));
    }
    assert_eq!(harness.started(1).len(), 5);
}
