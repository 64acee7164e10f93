//! Tests of the baseline policies, which must fail where ours does not and nowhere else.

#[path = "support/scene.rs"]
mod scene;

use lacewingrail_model::config::PlacementChoice;
use scene::{RACK, Scene, WORKER, entry, shape};

/// Guards against a FIFO that lets later jobs pass the first.
#[test]
fn fifo_keeps_strict_order() {
    let mut scene = Scene::new(&[&[8, 8]]);
    scene.planner.set_policy(PlacementChoice::Fifo);
    let first = scene.submit("a", shape(1, 8, WORKER));
    let large = scene.submit("b", shape(2, 8, RACK));
    let small = scene.submit("c", shape(1, 1, WORKER));
    assert_eq!(scene.workers_of(&first), ["r0w0"], "first fit");
    assert!(!scene.is_running(&large) && !scene.is_running(&small));
    assert!(scene.planner.explain(&small).contains(&large));
    scene.end(&first);
    assert!(scene.is_running(&large) && !scene.is_running(&small));
}

/// Guards against a count baseline that keeps shapes after all: it preempts until 8 are free, on
/// whatever workers, and the guaranteed job still does not fit. With shapes it does.
#[test]
fn count_frees_accelerators_but_not_shape() {
    for choice in [PlacementChoice::Count, PlacementChoice::Shape] {
        let mut scene = Scene::new(&[&[8, 8]]);
        scene.planner.set_policy(choice);
        scene.set_guarantees(vec![entry("a", shape(1, 8, WORKER), 1, 1)]);
        let small: Vec<String> = (0..16).map(|_| scene.submit("b", shape(1, 1, WORKER))).collect();
        for worker in ["r0w0", "r0w1"] {
            let on = |job: &&String| scene.workers_of(job) == [worker];
            let jobs: Vec<String> = small.iter().filter(on).take(4).cloned().collect();
            jobs.iter().for_each(|job| scene.end(job));
        }
        let guaranteed = scene.submit("a", shape(1, 8, WORKER));
        assert_eq!(scene.is_running(&guaranteed), choice == PlacementChoice::Shape);
    }
}

/// Guards against a change of policy that loses running gangs.
#[test]
fn change_of_policy_keeps_running_gangs() {
    let mut scene = Scene::new(&[&[8, 8]]);
    scene.set_guarantees(vec![entry("a", shape(1, 8, WORKER), 1, 1)]);
    let jobs = [scene.submit("a", shape(1, 8, WORKER)), scene.submit("b", shape(1, 8, WORKER))];
    for choice in [PlacementChoice::Count, PlacementChoice::Fifo, PlacementChoice::Shape] {
        scene.planner.set_policy(choice);
        scene.settle();
        assert_eq!(scene.planner.counts().accelerators_guaranteed, 8);
        assert!(jobs.iter().all(|job| scene.is_running(job)));
    }
}
