//! Tests of guarantees, reclaim and suspension.

#[path = "support/harness.rs"]
mod harness;

use harness::{PlannerHarness, RACK, WORKER, guarantee, shape, spec};
use lacewingrail_model::job::{JobSpec, WorkClass};
use lacewingrail_placement::{PlacementAction, WorkerHealth};

/// Guards against preempting the job that loses more work: either of two borrowers would be enough,
/// but one has just written a checkpoint.
#[test]
fn reclaim_stops_borrower_with_least_lost_work() {
    for saved in [0, 1] {
        let mut harness = PlannerHarness::new(&[&[8, 8]]);
        harness.set_guarantees(vec![guarantee("a", shape(1, 8, WORKER), 1, 1)]);
        let jobs = ["b", "c"].map(|customer| harness.submit(customer, shape(1, 8, WORKER)));
        harness.wait(3_600);
        harness.planner.record_checkpoint(&jobs[saved], harness.now);
        let guaranteed = harness.submit("a", shape(1, 8, WORKER));
        assert!(harness.running[&guaranteed].guaranteed);
        assert_eq!(harness.preempted, [jobs[saved].clone()]);
        assert!(harness.is_running(&jobs[1 - saved]));
    }
}

/// Guards against preempting the same job repeatedly: in four reclaims, each of two equal borrowers
/// is preempted twice.
#[test]
fn reclaim_spreads_over_victims() {
    let mut harness = PlannerHarness::new(&[&[8, 8]]);
    harness.set_guarantees(vec![guarantee("a", shape(1, 8, WORKER), 1, 1)]);
    let first = harness.submit("b", shape(1, 8, WORKER));
    harness.wait(10);
    let second = harness.submit("c", shape(1, 8, WORKER));
    for _ in 0..4 {
        harness.wait(60);
        let guaranteed = harness.submit("a", shape(1, 8, WORKER));
        harness.end(&guaranteed);
        assert!(harness.is_running(&first) && harness.is_running(&second));
    }
    let of_first = harness.preempted.iter().filter(|job| **job == first).count();
    assert_eq!((of_first, harness.preempted.len()), (2, 4));
}

/// Guards against a guaranteed or urgent job that preempts gangs running under a guarantee.
#[test]
fn guaranteed_jobs_are_never_victims() {
    let mut harness = PlannerHarness::new(&[&[8, 8]]);
    harness.set_guarantees(vec![
        guarantee("a", shape(1, 8, WORKER), 1, 1),
        guarantee("b", shape(1, 8, WORKER), 1, 2),
    ]);
    let low = harness.submit("b", shape(1, 8, WORKER));
    let high = harness.submit("a", shape(1, 8, WORKER));
    let urgent = harness.submit_class("c", shape(1, 8, WORKER), WorkClass::Urgent);
    let second = harness.submit("a", shape(1, 8, WORKER));
    assert!(harness.is_running(&low) && harness.is_running(&high));
    assert!(!harness.is_running(&urgent) && !harness.is_running(&second));
    assert!(harness.preempted.is_empty());
}

/// Guards against guaranteeing to others the unused part of a shape that a smaller job holds: if
/// jobs of b were placed on the same worker as the small job of a, no whole worker would be left
/// for a once that job ends.
#[test]
fn smaller_job_holds_whole_shape() {
    let mut harness = PlannerHarness::new(&[&[8, 8]]);
    harness.set_guarantees(vec![
        guarantee("a", shape(1, 8, WORKER), 1, 1),
        guarantee("b", shape(1, 4, WORKER), 2, 2),
    ]);
    let small = harness.submit("a", shape(1, 4, WORKER));
    let others =
        [harness.submit("b", shape(1, 4, WORKER)), harness.submit("b", shape(1, 4, WORKER))];
    assert!(others.iter().all(|job| harness.running[job].guaranteed));
    harness.end(&small);
    let whole = harness.submit("a", shape(1, 8, WORKER));
    assert!(harness.running[&whole].guaranteed);
    assert!(others.iter().all(|job| harness.is_running(job)));
}

/// Guards against suspending guarantees in another order than precedence, age and name when workers
/// are lost, and against a reason that does not name the suspended guarantee.
#[test]
fn suspends_by_precedence_then_age_then_name() {
    let mut harness = PlannerHarness::new(&[&[8, 8, 8, 8]]);
    let whole = shape(1, 8, WORKER);
    let mut younger = guarantee("b", whole, 1, 1);
    younger.since_version = 9;
    let mut later_by_name = guarantee("c", whole, 1, 1);
    later_by_name.since_version = 9;
    harness.set_guarantees(vec![
        guarantee("a", whole, 1, 5),
        later_by_name,
        younger,
        guarantee("a", whole, 1, 1),
    ]);
    let suspended = |harness: &PlannerHarness| {
        let statuses = harness.planner.guarantees();
        let affected = statuses.into_iter().filter(|status| status.suspended.is_some());
        affected.map(|status| status.customer).collect::<Vec<_>>()
    };
    assert!(suspended(&harness).is_empty());
    harness.lose("r0w0");
    assert_eq!(suspended(&harness), ["a"]);
    harness.lose("r0w1");
    assert_eq!(suspended(&harness), ["c", "a"]);
    harness.lose("r0w2");
    assert_eq!(suspended(&harness), ["b", "c", "a"]);
    let holder = harness.submit("a", whole);
    assert!(harness.running[&holder].guaranteed);
    let waiting = harness.submit("c", whole);
    let reason = harness.planner.explain(&waiting);
    assert!(reason.contains("1 x 8 accelerators in one worker of c is suspended"), "{reason}");
    harness.restore("r0w2");
    harness.restore("r0w1");
    harness.restore("r0w0");
    assert!(suspended(&harness).is_empty());
    assert!(harness.is_running(&waiting));
}

/// Guards against a running job that blocks a guarantee of higher precedence after a worker is
/// lost: the job continues but becomes preemptible, and is protected again when the worker returns.
#[test]
fn running_job_loses_protection_to_higher_precedence() {
    let mut harness = PlannerHarness::new(&[&[8, 8]]);
    harness.set_guarantees(vec![
        guarantee("a", shape(1, 8, WORKER), 1, 1),
        guarantee("b", shape(1, 8, WORKER), 1, 2),
    ]);
    let low = harness.submit("b", shape(1, 8, WORKER));
    let spare = if harness.workers_of(&low) == ["r0w0"] { "r0w1" } else { "r0w0" };
    harness.lose(spare);
    assert!(harness.planner.explain(&low).contains("preemptible"));
    harness.restore(spare);
    assert!(harness.planner.explain(&low).contains("under a guarantee"));
    harness.lose(spare);
    let high = harness.submit("a", shape(1, 8, WORKER));
    assert!(harness.is_running(&high) && !harness.is_running(&low));
}

/// Guards against a stream of guaranteed jobs that keeps taking the accelerators reserved for a
/// waiting gang although others serve as well.
#[test]
fn guaranteed_jobs_avoid_reserved_accelerators() {
    let mut harness = PlannerHarness::new(&[&[8, 8], &[8]]);
    harness.set_guarantees(vec![guarantee("a", shape(1, 8, WORKER), 1, 1)]);
    let fillers = ["b"; 3].map(|customer| harness.submit(customer, shape(1, 8, WORKER)));
    let gang = harness.submit("c", shape(2, 8, RACK));
    for job in fillers.iter().filter(|job| harness.workers_of(job) != ["r0w0"]).collect::<Vec<_>>()
    {
        harness.end(job);
    }
    for _ in 0..8 {
        let guaranteed = harness.submit("a", shape(1, 8, WORKER));
        assert_eq!(harness.workers_of(&guaranteed), ["r1w0"]);
        harness.end(&guaranteed);
    }
    assert!(!harness.is_running(&gang));
}

/// Guards against a reclaimable shape on an unusable worker. The running job there holds more than
/// the worker's usable capacity, which is zero, and subtracting the job must not make any of it
/// available.
#[test]
fn lost_workers_hold_no_shapes() {
    let mut harness = PlannerHarness::new(&[&[8, 8]]);
    harness.set_guarantees(vec![
        guarantee("a", shape(1, 8, WORKER), 1, 1),
        guarantee("b", shape(1, 8, WORKER), 1, 2),
    ]);
    let low = harness.submit("b", shape(1, 8, WORKER));
    harness.quarantine("r0w0");
    harness.quarantine("r0w1");
    assert!(harness.is_running(&low));
    assert!(harness.planner.guarantees().iter().all(|status| status.reclaimable == 0));
}

/// Guards against a guarantee that is blocked because the customer's own borrowers use up its
/// quota, and against exceeding the quota because accelerators are free.
#[test]
fn own_borrowers_are_preempted_for_guarantee_within_quota() {
    let mut harness = PlannerHarness::new(&[&[8, 8, 8]]);
    harness.set_quotas(&[("a", 16)]);
    harness.set_guarantees(vec![guarantee("a", shape(1, 4, WORKER), 1, 1)]);
    let borrowers =
        [harness.submit("a", shape(1, 8, WORKER)), harness.submit("a", shape(1, 8, WORKER))];
    assert!(borrowers.iter().all(|job| harness.is_running(job)));
    harness.slow_teardown = true;
    let guaranteed = harness.submit("a", shape(1, 4, WORKER));
    assert_eq!(harness.preempted.len(), 1);
    assert!(!harness.is_running(&guaranteed), "16 are in use until the teardown is confirmed");
    harness.confirm_teardowns();
    assert!(harness.running[&guaranteed].guaranteed);
    let reason = harness.planner.explain(&harness.preempted[0]);
    assert!(reason.contains("uses 12 accelerators of its quota of 16"), "{reason}");
}

/// Guards against a guaranteed job that takes the cores needed with accelerators guaranteed to
/// others.
#[test]
fn cores_beyond_share_are_not_guaranteed() {
    let mut harness = PlannerHarness::new(&[&[8]]);
    harness.set_guarantees(vec![guarantee("a", shape(1, 4, WORKER), 2, 1)]);
    let over_share = JobSpec { cores: 33, ..spec("a", shape(1, 4, WORKER), WorkClass::Normal) };
    let over_share = harness.enqueue(over_share);
    harness.decide_all();
    assert!(!harness.running[&over_share].guaranteed);
    let within_share = JobSpec { cores: 32, ..spec("a", shape(1, 4, WORKER), WorkClass::Normal) };
    let within_share = [harness.enqueue(within_share.clone()), harness.enqueue(within_share)];
    harness.decide_all();
    assert!(within_share.iter().all(|job| harness.running[job].guaranteed));
    let reason = harness.planner.explain(&over_share);
    assert!(reason.contains("needs 4 accelerators and 0 are free"), "{reason}");
}

/// Guards against using accelerators again before the teardown is confirmed, and against a job that
/// arrives meanwhile and takes the claimed accelerators.
#[test]
fn placement_is_claimed_until_teardown_is_confirmed() {
    let mut harness = PlannerHarness::new(&[&[8]]);
    harness.slow_teardown = true;
    harness.set_guarantees(vec![guarantee("a", shape(1, 8, WORKER), 1, 1)]);
    let borrower = harness.submit("b", shape(1, 4, WORKER));
    let guaranteed = harness.submit("a", shape(1, 8, WORKER));
    let late = harness.submit_class("c", shape(1, 4, WORKER), WorkClass::Urgent);
    assert!(!harness.is_running(&guaranteed) && !harness.is_running(&late));
    let reason = harness.planner.explain(&guaranteed);
    assert!(reason.contains("waits until 1 other jobs have left"), "{reason}");
    harness.confirm_teardowns();
    assert!(harness.is_running(&guaranteed) && !harness.is_running(&late));
    assert!(!harness.is_running(&borrower));
}

/// Guards against a failover that loses which gangs are guaranteed or which accelerators they hold.
#[test]
fn adopted_gangs_keep_guarantees_and_accelerators() {
    let mut harness = PlannerHarness::new(&[&[8, 8], &[8, 8]]);
    harness.set_guarantees(vec![guarantee("a", shape(2, 8, RACK), 1, 1)]);
    let guaranteed = harness.submit("a", shape(2, 8, RACK));
    let borrower = harness.submit("b", shape(2, 8, RACK));
    harness.fail_over();
    assert_eq!(harness.planner.counts().accelerators_free, 0);
    assert_eq!(harness.planner.guarantees()[0].held, 1);
    let second = harness.submit("a", shape(2, 8, RACK));
    let urgent = harness.submit_class("c", shape(2, 8, RACK), WorkClass::Urgent);
    assert!(harness.is_running(&guaranteed) && harness.is_running(&urgent));
    assert_eq!(harness.preempted, [borrower]);
    assert!(!harness.is_running(&second));
}

/// Guards against a dry run that leaves out which guarantees would end or begin and which jobs
/// would become preemptible, and against one that changes anything.
#[test]
fn dry_run_names_effects() {
    let mut harness = PlannerHarness::new(&[&[8, 8]]);
    let before = vec![guarantee("a", shape(1, 8, WORKER), 1, 2)];
    harness.set_guarantees(before.clone());
    let job = harness.submit("a", shape(1, 8, WORKER));
    let after = vec![guarantee("b", shape(2, 8, RACK), 1, 1)];
    let effects = harness.planner.dry_run(after, harness.now).join("\n");
    assert!(effects.contains("of a ends"), "{effects}");
    assert!(effects.contains("of b comes into force"), "{effects}");
    assert!(effects.contains(&format!("Job {job} of a goes on running but becomes preemptible")));
    assert!(harness.planner.dry_run(before, harness.now).is_empty());
    assert!(harness.planner.explain(&job).contains("under a guarantee"));
}

/// Guards against starting a claim on a worker that was lost while the victims were being stopped.
#[test]
fn claim_on_lost_worker_is_dropped() {
    let mut harness = PlannerHarness::new(&[&[8], &[8]]);
    harness.slow_teardown = true;
    harness.set_guarantees(vec![guarantee("a", shape(1, 8, WORKER), 1, 1)]);
    let borrowers =
        [harness.submit("b", shape(1, 8, WORKER)), harness.submit("c", shape(1, 8, WORKER))];
    let guaranteed = harness.submit("a", shape(1, 8, WORKER));
    let still_running =
        borrowers.iter().find(|job| harness.is_running(job)).cloned().expect("one still runs");
    let lost = if harness.workers_of(&still_running) == ["r0w0"] { "r1w0" } else { "r0w0" };
    harness.planner.set_health(&lost.to_owned(), WorkerHealth::Silent);
    let actions = harness.planner.decide(harness.now);
    let expected =
        PlacementAction::Preempt { victims: vec![still_running], on_behalf_of: guaranteed };
    assert_eq!(actions, [expected]);
}
