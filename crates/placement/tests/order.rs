//! Tests of queue order, borrowing, reservations and refusals.

#[path = "support/scene.rs"]
mod scene;

use std::collections::BTreeMap;

use lacewingrail_model::job::{JobSpec, WorkClass};
use lacewingrail_placement::CustomerShare;
use scene::{DOMAIN, RACK, Scene, WORKER, entry, shape, spec};

/// Guards against first come, first served among customers: with weight 3 a gets three of four.
#[test]
fn customers_share_by_weight() {
    let mut scene = Scene::new(&[&[8]]);
    let share = |weight| CustomerShare { weight, quota: 100, in_use_elsewhere: 0 };
    let shares = [("a".to_owned(), share(3.0)), ("b".to_owned(), share(1.0))];
    scene.planner.set_customer_shares(shares.into_iter().collect());
    for customer in ["b"; 10].into_iter().chain(["a"; 10]) {
        scene.enqueue(spec(customer, shape(1, 1, WORKER), WorkClass::Normal));
    }
    scene.settle();
    let of_a = scene.running.values().filter(|job| job.record.spec.customer == "a").count();
    assert_eq!((of_a, scene.running.len()), (6, 8));
}

/// Guards against a class order that is ignored, or that lets slow work wait forever.
#[test]
fn classes_go_in_order_until_slow_work_is_promoted() {
    let mut scene = Scene::new(&[&[1]]);
    scene.submit("a", shape(1, 1, WORKER));
    let slow = scene.submit_class("b", shape(1, 1, WORKER), WorkClass::Slow);
    let normal = scene.submit_class("c", shape(1, 1, WORKER), WorkClass::Normal);
    let order = |scene: &Scene| {
        scene.planner.queue().into_iter().map(|job| job.record.id).collect::<Vec<_>>()
    };
    assert_eq!(order(&scene), [normal.clone(), slow.clone()]);
    scene.wait(1_900);
    assert_eq!(order(&scene), [slow, normal]);
}

/// Guards against a customer with much in use whose jobs wait forever behind others, and against
/// a long queue of one customer that goes before everybody once it is overdue.
#[test]
fn oldest_overdue_job_of_each_customer_goes_first() {
    let mut scene = Scene::new(&[&[8]]);
    scene.submit("a", shape(1, 8, WORKER));
    let old = [scene.submit("a", shape(1, 8, WORKER)), scene.submit("a", shape(1, 8, WORKER))];
    scene.wait(7_000);
    let young = scene.submit("b", shape(1, 8, WORKER));
    let order = |scene: &Scene| {
        scene.planner.queue().into_iter().map(|job| job.record.id).collect::<Vec<_>>()
    };
    assert_eq!(order(&scene), [young.clone(), old[0].clone(), old[1].clone()]);
    scene.wait(300);
    assert_eq!(order(&scene), [old[0].clone(), young, old[1].clone()]);
}

/// Guards against urgent work that stops, again and again, a job that had to wait very long.
#[test]
fn urgent_work_spares_job_that_was_overdue() {
    let mut scene = Scene::new(&[&[8]]);
    let first = scene.submit("a", shape(1, 8, WORKER));
    let late = scene.submit("b", shape(1, 8, WORKER));
    scene.wait(7_300);
    scene.end(&first);
    let urgent = scene.submit_class("c", shape(1, 8, WORKER), WorkClass::Urgent);
    assert!(scene.is_running(&late) && !scene.is_running(&urgent));
}

/// Guards against urgent work that waits behind borrowers, and against urgent work that stops other
/// urgent work.
#[test]
fn urgent_work_preempts_lower_borrowers_only() {
    let mut scene = Scene::new(&[&[8]]);
    let normal = scene.submit("a", shape(1, 8, WORKER));
    let urgent = scene.submit_class("b", shape(1, 8, WORKER), WorkClass::Urgent);
    let second = scene.submit_class("c", shape(1, 8, WORKER), WorkClass::Urgent);
    assert!(scene.is_running(&urgent));
    assert!(!scene.is_running(&normal) && !scene.is_running(&second));
}

/// Guards against small jobs that keep a large gang waiting: they may use the reserved rack only
/// until the gang can start.
#[test]
fn backfill_does_not_delay_reserved_gang() {
    let mut scene = Scene::new(&[&[8, 8]]);
    let long = scene.submit("a", shape(1, 8, WORKER));
    let gang = scene.submit("b", shape(2, 8, RACK));
    scene.wait(10);
    let backfill = scene.submit("c", shape(1, 8, WORKER));
    assert!(scene.is_running(&backfill) && !scene.is_running(&gang));
    scene.wait(600);
    scene.end(&long);
    assert!(scene.is_running(&gang));
    assert_eq!(scene.preempted, [backfill]);
}

/// Guards against a gang that waits although moving one small job would make room in its shape, and
/// against moving a job that cannot be checkpointed.
#[test]
fn defragmentation_moves_checkpointable_borrower() {
    for checkpointable in [true, false] {
        let mut scene = Scene::new(&[&[8, 8], &[8]]);
        let mut small = spec("a", shape(1, 4, WORKER), WorkClass::Normal);
        small.checkpointable = checkpointable;
        let jobs: Vec<String> = (0..6)
            .map(|_| {
                let job = scene.enqueue(small.clone());
                scene.settle();
                job
            })
            .collect();
        scene.wait(1_000);
        // Half of one worker in each rack stays in use, so that 16 are free but no rack has them.
        let keep = |rack: &str| {
            let on = |job: &&String| scene.workers_of(job)[0].starts_with(rack);
            jobs.iter().find(on).cloned().expect("each rack has a job")
        };
        let kept = [keep("r0"), keep("r1")];
        for job in jobs.iter().filter(|job| !kept.contains(job)) {
            scene.end(job);
        }
        let gang = scene.submit("b", shape(2, 8, RACK));
        assert_eq!(scene.is_running(&gang), checkpointable);
        assert_eq!(scene.preempted.len(), usize::from(checkpointable));
        assert!(!checkpointable || kept.iter().all(|job| scene.is_running(job)));
        if !checkpointable {
            let reason = scene.planner.explain(&gang);
            assert!(reason.contains("16 accelerators are free, but not in the shape"), "{reason}");
        }
    }
}

/// Guards against jobs that wait for what can never come, and against refusing a job that waits for
/// a worker that was lost for a while.
#[test]
fn impossible_jobs_are_refused_and_delayed_ones_wait() {
    let mut scene = Scene::new(&[&[8, 8], &[4]]);
    scene.set_quotas(&[("a", 1_000), ("b", 12)]);
    let refusals = [
        (scene.submit("a", shape(3, 8, RACK)), "larger than the whole healthy domain"),
        (scene.submit("a", shape(21, 1, DOMAIN)), "larger than the whole healthy domain"),
        (scene.submit("b", shape(2, 8, RACK)), "over the quota of 12"),
    ];
    let many_cores = JobSpec { cores: 65, ..spec("a", shape(1, 1, WORKER), WorkClass::Normal) };
    let many_cores = scene.enqueue(many_cores);
    scene.settle();
    for (job, reason) in refusals.into_iter().chain([(many_cores, "65 cores")]) {
        assert!(scene.refused[&job].contains(reason), "{}", scene.refused[&job]);
    }
    scene.lose("r0w0");
    let job = scene.submit("a", shape(2, 8, RACK));
    assert!(scene.refused.len() == 4 && !scene.is_running(&job));
    assert!(scene.planner.explain(&job).contains("until lost workers return"));
    scene.restore("r0w0");
    assert!(scene.is_running(&job));
}

/// Guards against refusals after a fail-over during a loss: the new planner knows the lost worker
/// only from the nominal racks.
#[test]
fn nominal_racks_stand_for_workers_never_seen() {
    let mut scene = Scene::new(&[&[8]]);
    scene.planner.set_nominal_racks(BTreeMap::from([("r0".to_owned(), vec![8, 8])]));
    let job = scene.submit("a", shape(2, 8, RACK));
    assert!(scene.refused.is_empty() && !scene.is_running(&job));
    let larger = scene.submit("a", shape(3, 8, RACK));
    assert!(scene.refused.contains_key(&larger));
}

/// Guards against a quota that is exceeded or not named.
#[test]
fn quota_counts_other_domains() {
    let mut scene = Scene::new(&[&[8]]);
    let share = CustomerShare { weight: 1.0, quota: 10, in_use_elsewhere: 4 };
    scene.planner.set_customer_shares(BTreeMap::from([("a".to_owned(), share)]));
    let first = scene.submit("a", shape(1, 4, WORKER));
    let second = scene.submit("a", shape(1, 4, WORKER));
    assert!(scene.is_running(&first) && !scene.is_running(&second));
    let reason = scene.planner.explain(&second);
    assert!(reason.contains("uses 8 accelerators of its quota of 10"), "{reason}");
}

/// Guards against a gang on a slow worker beside idle fast ones, and against leaving the slow worker
/// idle when there is no other.
#[test]
fn slow_workers_come_last() {
    let mut scene = Scene::new(&[&[8, 8, 8]]);
    for worker in ["r0w0", "r0w1"] {
        scene.planner.set_speed(&worker.to_owned(), 0.5);
    }
    let first = scene.submit("a", shape(1, 8, WORKER));
    assert_eq!(scene.workers_of(&first), ["r0w2"]);
    let second = scene.submit("a", shape(2, 8, RACK));
    assert!(scene.is_running(&second));
}

/// Guards against sending a job back to the worker on which it failed to start.
#[test]
fn failed_worker_is_avoided() {
    let mut scene = Scene::new(&[&[8], &[8]]);
    scene.set_guarantees(vec![entry("a", shape(1, 8, WORKER), 1, 1)]);
    for customer in ["a", "b"] {
        for worker in ["r0w0", "r1w0"] {
            let job = scene.enqueue(spec(customer, shape(1, 8, WORKER), WorkClass::Normal));
            scene.planner.avoid_worker(&job, &worker.to_owned());
            scene.settle();
            assert_ne!(scene.workers_of(&job), [worker]);
            scene.end(&job);
        }
    }
}

/// Guards against two jobs on the same cores or memory: accelerators alone would hold both.
#[test]
fn cores_and_memory_limit_placement() {
    let mut scene = Scene::new(&[&[8]]);
    let wide = JobSpec { cores: 40, ..spec("a", shape(1, 1, WORKER), WorkClass::Normal) };
    let large = JobSpec { memory_mb: 100_000, ..spec("a", shape(1, 1, WORKER), WorkClass::Normal) };
    let jobs: Vec<String> =
        [&wide, &large, &wide, &large].into_iter().map(|job| scene.enqueue(job.clone())).collect();
    scene.settle();
    let running: Vec<bool> = jobs.iter().map(|job| scene.is_running(job)).collect();
    assert_eq!(running, [true, true, false, false]);
    let reason = scene.planner.explain(&jobs[2]);
    assert!(reason.contains("not with the cores and memory"), "{reason}");
}

/// Guards against decisions that depend on anything but the events: two runs must agree.
#[test]
fn same_events_give_same_decisions() {
    let run = || {
        let mut scene = Scene::new(&[&[8; 6], &[4; 6]]);
        scene.set_guarantees(vec![entry("a", shape(2, 4, RACK), 3, 1)]);
        for step in 0..60_u32 {
            let customer = ["a", "b", "c"][step as usize % 3];
            scene.submit(customer, shape(1 + step % 3, 1 + step % 4, RACK));
            scene.wait(30);
            if let Some(job) = scene.running.keys().nth(step as usize % 7).cloned() {
                scene.end(&job);
            }
        }
        let places = scene.running.keys().map(|job| (job.clone(), scene.workers_of(job)));
        places.collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}
