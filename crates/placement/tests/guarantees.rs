//! Tests of guarantees, reclaim and suspension.

#[path = "support/scene.rs"]
mod scene;

use lacewingrail_model::job::{JobSpec, WorkClass};
use lacewingrail_placement::{PlacementAction, WorkerHealth};
use scene::{RACK, Scene, WORKER, entry, shape, spec};

/// Guards against stopping the job that loses most: either borrower would do, but one has just
/// written a checkpoint.
#[test]
fn reclaim_stops_borrower_with_least_lost_work() {
    for saved in [0, 1] {
        let mut scene = Scene::new(&[&[8, 8]]);
        scene.set_guarantees(vec![entry("a", shape(1, 8, WORKER), 1, 1)]);
        let jobs = ["b", "c"].map(|customer| scene.submit(customer, shape(1, 8, WORKER)));
        scene.wait(3_600);
        scene.planner.record_checkpoint(&jobs[saved], scene.now);
        let guaranteed = scene.submit("a", shape(1, 8, WORKER));
        assert!(scene.running[&guaranteed].guaranteed);
        assert_eq!(scene.preempted, [jobs[saved].clone()]);
        assert!(scene.is_running(&jobs[1 - saved]));
    }
}

/// Guards against picking on the same victim: over four reclaims, each of two equal borrowers is
/// stopped twice.
#[test]
fn reclaim_spreads_over_victims() {
    let mut scene = Scene::new(&[&[8, 8]]);
    scene.set_guarantees(vec![entry("a", shape(1, 8, WORKER), 1, 1)]);
    let first = scene.submit("b", shape(1, 8, WORKER));
    scene.wait(10);
    let second = scene.submit("c", shape(1, 8, WORKER));
    for _ in 0..4 {
        scene.wait(60);
        let guaranteed = scene.submit("a", shape(1, 8, WORKER));
        scene.end(&guaranteed);
        assert!(scene.is_running(&first) && scene.is_running(&second));
    }
    let of_first = scene.preempted.iter().filter(|job| **job == first).count();
    assert_eq!((of_first, scene.preempted.len()), (2, 4));
}

/// Guards against a guarantee that stops other guaranteed jobs or free riders that need not leave.
#[test]
fn guaranteed_jobs_are_never_victims() {
    let mut scene = Scene::new(&[&[8, 8]]);
    scene.set_guarantees(vec![
        entry("a", shape(1, 8, WORKER), 1, 1),
        entry("b", shape(1, 8, WORKER), 1, 2),
    ]);
    let low = scene.submit("b", shape(1, 8, WORKER));
    let high = scene.submit("a", shape(1, 8, WORKER));
    let urgent = scene.submit_class("c", shape(1, 8, WORKER), WorkClass::Urgent);
    let second = scene.submit("a", shape(1, 8, WORKER));
    assert!(scene.is_running(&low) && scene.is_running(&high));
    assert!(!scene.is_running(&urgent) && !scene.is_running(&second));
    assert!(scene.preempted.is_empty());
}

/// Guards against giving away the rest of a shape that a smaller job holds: two guaranteed jobs of b
/// on either worker would leave no whole worker for a once its small job ends.
#[test]
fn smaller_job_holds_whole_shape() {
    let mut scene = Scene::new(&[&[8, 8]]);
    scene.set_guarantees(vec![
        entry("a", shape(1, 8, WORKER), 1, 1),
        entry("b", shape(1, 4, WORKER), 2, 2),
    ]);
    let small = scene.submit("a", shape(1, 4, WORKER));
    let others = [scene.submit("b", shape(1, 4, WORKER)), scene.submit("b", shape(1, 4, WORKER))];
    assert!(others.iter().all(|job| scene.running[job].guaranteed));
    scene.end(&small);
    let whole = scene.submit("a", shape(1, 8, WORKER));
    assert!(scene.running[&whole].guaranteed);
    assert!(others.iter().all(|job| scene.is_running(job)));
}

/// Guards against honouring guarantees in another order than precedence, age and name when workers
/// die, and against not telling the waiting job which guarantee is suspended.
#[test]
fn suspends_by_precedence_then_age_then_name() {
    let mut scene = Scene::new(&[&[8, 8, 8, 8]]);
    let whole = shape(1, 8, WORKER);
    let mut younger = entry("b", whole, 1, 1);
    younger.since_version = 9;
    let mut named = entry("c", whole, 1, 1);
    named.since_version = 9;
    scene.set_guarantees(vec![entry("a", whole, 1, 5), named, younger, entry("a", whole, 1, 1)]);
    let suspended = |scene: &Scene| {
        let statuses = scene.planner.guarantees();
        let lost = statuses.into_iter().filter(|status| status.suspended.is_some());
        lost.map(|status| status.customer).collect::<Vec<_>>()
    };
    assert!(suspended(&scene).is_empty());
    scene.lose("r0w0");
    assert_eq!(suspended(&scene), ["a"]);
    scene.lose("r0w1");
    assert_eq!(suspended(&scene), ["c", "a"]);
    scene.lose("r0w2");
    assert_eq!(suspended(&scene), ["b", "c", "a"]);
    let blocker = scene.submit("a", whole);
    assert!(scene.running[&blocker].guaranteed);
    let waiting = scene.submit("c", whole);
    let reason = scene.planner.explain(&waiting);
    assert!(reason.contains("1 x 8 accelerators in one worker of c is suspended"), "{reason}");
    scene.restore("r0w2");
    scene.restore("r0w1");
    scene.restore("r0w0");
    assert!(suspended(&scene).is_empty());
    assert!(scene.is_running(&waiting));
}

/// Guards against a running job that holds its guarantee against one that goes before it: it runs on
/// but is preemptible, and is protected again when the worker returns.
#[test]
fn running_job_loses_protection_to_higher_precedence() {
    let mut scene = Scene::new(&[&[8, 8]]);
    scene.set_guarantees(vec![
        entry("a", shape(1, 8, WORKER), 1, 1),
        entry("b", shape(1, 8, WORKER), 1, 2),
    ]);
    let low = scene.submit("b", shape(1, 8, WORKER));
    let spare = if scene.workers_of(&low) == ["r0w0"] { "r0w1" } else { "r0w0" };
    scene.lose(spare);
    assert!(scene.planner.explain(&low).contains("preemptible"));
    scene.restore(spare);
    assert!(scene.planner.explain(&low).contains("under a guarantee"));
    scene.lose(spare);
    let high = scene.submit("a", shape(1, 8, WORKER));
    assert!(scene.is_running(&high) && !scene.is_running(&low));
}

/// Guards against a stream of guaranteed jobs that takes the place reserved for a waiting gang while
/// another place serves as well.
#[test]
fn guaranteed_jobs_spare_reserved_place() {
    let mut scene = Scene::new(&[&[8, 8], &[8]]);
    scene.set_guarantees(vec![entry("a", shape(1, 8, WORKER), 1, 1)]);
    let fill = ["b"; 3].map(|customer| scene.submit(customer, shape(1, 8, WORKER)));
    let gang = scene.submit("c", shape(2, 8, RACK));
    for job in fill.iter().filter(|job| scene.workers_of(job) != ["r0w0"]).collect::<Vec<_>>() {
        scene.end(job);
    }
    for _ in 0..8 {
        let guaranteed = scene.submit("a", shape(1, 8, WORKER));
        assert_eq!(scene.workers_of(&guaranteed), ["r1w0"]);
        scene.end(&guaranteed);
    }
    assert!(!scene.is_running(&gang));
}

/// Guards against a shape that is promised on a worker which may not be used: the running job there
/// holds more than the worker's room, which is none, and giving it back must not create any.
#[test]
fn lost_workers_hold_no_shapes() {
    let mut scene = Scene::new(&[&[8, 8]]);
    scene.set_guarantees(vec![
        entry("a", shape(1, 8, WORKER), 1, 1),
        entry("b", shape(1, 8, WORKER), 1, 2),
    ]);
    let low = scene.submit("b", shape(1, 8, WORKER));
    scene.quarantine("r0w0");
    scene.quarantine("r0w1");
    assert!(scene.is_running(&low));
    assert!(scene.planner.guarantees().iter().all(|status| status.reclaimable == 0));
}

/// Guards against a guarantee that its customer's own borrowers block through the quota, and against
/// a quota that is exceeded for it although a place is free.
#[test]
fn own_borrowers_make_way_for_guarantee_within_quota() {
    let mut scene = Scene::new(&[&[8, 8, 8]]);
    scene.set_quotas(&[("a", 16)]);
    scene.set_guarantees(vec![entry("a", shape(1, 4, WORKER), 1, 1)]);
    let borrowers =
        [scene.submit("a", shape(1, 8, WORKER)), scene.submit("a", shape(1, 8, WORKER))];
    assert!(borrowers.iter().all(|job| scene.is_running(job)));
    scene.slow_teardown = true;
    let guaranteed = scene.submit("a", shape(1, 4, WORKER));
    assert_eq!(scene.preempted.len(), 1);
    assert!(!scene.is_running(&guaranteed), "16 are in use until the teardown is confirmed");
    scene.confirm_teardowns();
    assert!(scene.running[&guaranteed].guaranteed);
    let reason = scene.planner.explain(&scene.preempted[0]);
    assert!(reason.contains("uses 12 accelerators of its quota of 16"), "{reason}");
}

/// Guards against a guaranteed job that takes the cores beside accelerators guaranteed to others.
#[test]
fn cores_beyond_share_are_not_guaranteed() {
    let mut scene = Scene::new(&[&[8]]);
    scene.set_guarantees(vec![entry("a", shape(1, 4, WORKER), 2, 1)]);
    let greedy = JobSpec { cores: 33, ..spec("a", shape(1, 4, WORKER), WorkClass::Normal) };
    let greedy = scene.enqueue(greedy);
    scene.settle();
    assert!(!scene.running[&greedy].guaranteed);
    let fair = JobSpec { cores: 32, ..spec("a", shape(1, 4, WORKER), WorkClass::Normal) };
    let fair = [scene.enqueue(fair.clone()), scene.enqueue(fair)];
    scene.settle();
    assert!(fair.iter().all(|job| scene.running[job].guaranteed));
    let reason = scene.planner.explain(&greedy);
    assert!(reason.contains("needs 4 accelerators and 0 are free"), "{reason}");
}

/// Guards against reuse of accelerators whose teardown is not confirmed, and against a claim that is
/// lost to a job that arrives meanwhile.
#[test]
fn place_is_claimed_until_teardown_is_confirmed() {
    let mut scene = Scene::new(&[&[8]]);
    scene.slow_teardown = true;
    scene.set_guarantees(vec![entry("a", shape(1, 8, WORKER), 1, 1)]);
    let borrower = scene.submit("b", shape(1, 4, WORKER));
    let guaranteed = scene.submit("a", shape(1, 8, WORKER));
    let late = scene.submit_class("c", shape(1, 4, WORKER), WorkClass::Urgent);
    assert!(!scene.is_running(&guaranteed) && !scene.is_running(&late));
    let reason = scene.planner.explain(&guaranteed);
    assert!(reason.contains("waits until 1 other jobs have left"), "{reason}");
    scene.confirm_teardowns();
    assert!(scene.is_running(&guaranteed) && !scene.is_running(&late));
    assert!(!scene.is_running(&borrower));
}

/// Guards against a fail-over that forgets which gangs are guaranteed or what they hold.
#[test]
fn adopted_gangs_keep_guarantees_and_accelerators() {
    let mut scene = Scene::new(&[&[8, 8], &[8, 8]]);
    scene.set_guarantees(vec![entry("a", shape(2, 8, RACK), 1, 1)]);
    let guaranteed = scene.submit("a", shape(2, 8, RACK));
    let borrower = scene.submit("b", shape(2, 8, RACK));
    scene.fail_over();
    assert_eq!(scene.planner.counts().accelerators_free, 0);
    assert_eq!(scene.planner.guarantees()[0].held, 1);
    let second = scene.submit("a", shape(2, 8, RACK));
    let urgent = scene.submit_class("c", shape(2, 8, RACK), WorkClass::Urgent);
    assert!(scene.is_running(&guaranteed) && scene.is_running(&urgent));
    assert_eq!(scene.preempted, [borrower]);
    assert!(!scene.is_running(&second));
}

/// Guards against operators who change guarantees blindly: the dry run names what would end, begin
/// suspended and lose protection, and changes nothing.
#[test]
fn dry_run_names_effects() {
    let mut scene = Scene::new(&[&[8, 8]]);
    let before = vec![entry("a", shape(1, 8, WORKER), 1, 2)];
    scene.set_guarantees(before.clone());
    let job = scene.submit("a", shape(1, 8, WORKER));
    let after = vec![entry("b", shape(2, 8, RACK), 1, 1)];
    let effects = scene.planner.dry_run(after, scene.now).join("\n");
    assert!(effects.contains("of a ends"), "{effects}");
    assert!(effects.contains("of b comes into force"), "{effects}");
    assert!(effects.contains(&format!("Job {job} of a goes on running but becomes preemptible")));
    assert!(scene.planner.dry_run(before, scene.now).is_empty());
    assert!(scene.planner.explain(&job).contains("under a guarantee"));
}

/// Guards against starting a claim on a worker that died while its victims were being stopped.
#[test]
fn claim_on_lost_worker_is_dropped() {
    let mut scene = Scene::new(&[&[8], &[8]]);
    scene.slow_teardown = true;
    scene.set_guarantees(vec![entry("a", shape(1, 8, WORKER), 1, 1)]);
    let borrowers =
        [scene.submit("b", shape(1, 8, WORKER)), scene.submit("c", shape(1, 8, WORKER))];
    let guaranteed = scene.submit("a", shape(1, 8, WORKER));
    let left = borrowers.iter().find(|job| scene.is_running(job)).cloned().expect("one goes on");
    let lost = if scene.workers_of(&left) == ["r0w0"] { "r1w0" } else { "r0w0" };
    scene.planner.set_health(&lost.to_owned(), WorkerHealth::Silent);
    let actions = scene.planner.decide(scene.now);
    let expected = PlacementAction::Preempt { victims: vec![left], on_behalf_of: guaranteed };
    assert_eq!(actions, [expected]);
}
