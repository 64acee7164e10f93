//! Tests of the baseline policies. A comparison with the shape policy is fair only if they differ
//! from it solely in the properties that they leave out on purpose.

#[path = "support/harness.rs"]
mod harness;

use harness::{PlannerHarness, RACK, WORKER, guarantee, shape};
use lacewingrail_model::config::PlacementChoice;

/// Guards against a FIFO policy that starts later jobs while an earlier one waits.
#[test]
fn fifo_keeps_strict_order() {
    let mut harness = PlannerHarness::new(&[&[8, 8]]);
    harness.planner.set_policy(PlacementChoice::Fifo);
    let first = harness.submit("a", shape(1, 8, WORKER));
    let large = harness.submit("b", shape(2, 8, RACK));
    let small = harness.submit("c", shape(1, 1, WORKER));
    assert_eq!(harness.workers_of(&first), ["r0w0"], "first fit");
    assert!(!harness.is_running(&large) && !harness.is_running(&small));
    assert!(harness.planner.explain(&small).contains(&large));
    harness.end(&first);
    assert!(harness.is_running(&large) && !harness.is_running(&small));
}

/// Guards against a count policy that keeps shapes free: it has to preempt until 8 accelerators are
/// free on any workers, so the guaranteed job still does not fit. Under the shape policy it fits.
#[test]
fn count_frees_accelerators_but_not_shape() {
    for choice in [PlacementChoice::Count, PlacementChoice::Shape] {
        let mut harness = PlannerHarness::new(&[&[8, 8]]);
        harness.planner.set_policy(choice);
        harness.set_guarantees(vec![guarantee("a", shape(1, 8, WORKER), 1, 1)]);
        let small: Vec<String> =
            (0..16).map(|_| harness.submit("b", shape(1, 1, WORKER))).collect();
        for worker in ["r0w0", "r0w1"] {
            let on = |job: &&String| harness.workers_of(job) == [worker];
            let jobs: Vec<String> = small.iter().filter(on).take(4).cloned().collect();
            jobs.iter().for_each(|job| harness.end(job));
        }
        let guaranteed = harness.submit("a", shape(1, 8, WORKER));
        assert_eq!(harness.is_running(&guaranteed), choice == PlacementChoice::Shape);
    }
}

/// Guards against losing running gangs when the policy changes.
#[test]
fn change_of_policy_keeps_running_gangs() {
    let mut harness = PlannerHarness::new(&[&[8, 8]]);
    harness.set_guarantees(vec![guarantee("a", shape(1, 8, WORKER), 1, 1)]);
    let jobs = [harness.submit("a", shape(1, 8, WORKER)), harness.submit("b", shape(1, 8, WORKER))];
    for choice in [PlacementChoice::Count, PlacementChoice::Fifo, PlacementChoice::Shape] {
        harness.planner.set_policy(choice);
        harness.decide_all();
        assert_eq!(harness.planner.counts().accelerators_guaranteed, 8);
        assert!(jobs.iter().all(|job| harness.is_running(job)));
    }
}
