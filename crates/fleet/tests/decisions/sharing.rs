//! Tasks that share a worker: some serve users of their own, others fill what is left.

use std::time::Duration;

use lacewingrail_fleet::pace::next_pace;
use lacewingrail_fleet::{EndReason, StepSpec};

use crate::scene::{Scene, listing, step, submission};

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
    let mut scene = Scene::new(1, vec![listing("w0", "north", "r1")]);
    scene.accept(submission(1, "normal", vec![serving(1, 4)]));
    scene.accept(submission(2, "slow", vec![filling(1)]));
    assert_eq!(scene.started(2).len(), 1);
    scene.workers.get_mut("w0").expect("a worker").usage = 140;
    scene.pass(Duration::from_millis(3800));
    let lowest = scene.paces.iter().map(|(_, percent)| *percent).min();
    assert_eq!(lowest, Some(0), "standing still within the 4 s for which harm may last");
    assert!(scene.paces.iter().all(|(target, _)| target.task.job == 2));
    scene.workers.get_mut("w0").expect("a worker").usage = 30;
    scene.pass(Duration::from_secs(10));
    assert_eq!(scene.paces.last().map(|(_, percent)| *percent), Some(100));
}

/// Guards against filling tasks that stay slow after the serving task beside them has left.
#[test]
fn filling_tasks_work_fully_where_nothing_serves() {
    let mut scene = Scene::new(1, vec![listing("w0", "north", "r1")]);
    scene.accept(submission(1, "normal", vec![serving(1, 4)]));
    scene.accept(submission(2, "slow", vec![filling(1)]));
    scene.workers.get_mut("w0").expect("a worker").usage = 140;
    scene.pass(Duration::from_secs(2));
    scene.tell(lacewingrail_fleet::FleetEvent::JobCancelled(1));
    scene.pass(Duration::from_secs(2));
    assert_eq!(scene.paces.last().map(|(_, percent)| *percent), Some(100));
}

/// Guards against shares that leave their range or swing between both ends.
#[test]
fn share_halves_under_pressure_and_rises_in_steps() {
    assert_eq!((next_pace(100, 1.2), next_pace(12, 1.2), next_pace(0, 1.2)), (50, 0, 0));
    assert_eq!((next_pace(0, 0.1), next_pace(95, 0.1), next_pace(40, 0.7)), (10, 100, 40));
}

/// Guards against urgent work that takes more tasks of a continuous step away than its customer
/// allows.
#[test]
fn continuous_step_keeps_its_least_tasks() {
    let worker = |index: usize| listing(&format!("w{index}"), "north", "r1");
    let mut scene = Scene::new(1, (0..4).map(worker).collect());
    let limited = StepSpec { most_away: Some(1), ..serving(4, 8) };
    scene.accept(submission(1, "normal", vec![limited]));
    scene.pass(Duration::from_secs(5));
    scene.accept(submission(2, "urgent", vec![step(2, 8)]));
    scene.pass(Duration::from_secs(5));
    let stopped = scene.stops.iter().filter(|run| run.task.job == 1).count();
    assert_eq!((stopped, scene.started(2).len()), (1, 1));
}

/// Guards against workers that are set aside because continuous tasks, which may fail at any time,
/// failed there.
#[test]
fn failing_continuous_task_starts_again_at_once() {
    let mut scene = Scene::new(1, vec![listing("w0", "north", "r1")]);
    scene.accept(submission(1, "normal", vec![serving(1, 8)]));
    for _ in 0..4 {
        let order = scene.starts.last().expect("a start").clone();
        scene.end(&order, EndReason::Failed);
        scene.pass(Duration::from_millis(300));
    }
    assert_eq!(scene.started(1).len(), 5);
}
