//! Tests of queue order, borrowing, reservations and refusals.

#[path = "support/harness.rs"]
mod harness;

use std::collections::BTreeMap;

use harness::{DOMAIN, PlannerHarness, RACK, WORKER, guarantee, shape, spec};
use lacewingrail_model::job::{JobSpec, WorkClass};
use lacewingrail_placement::CustomerShare;

/// Guards against starting jobs of different customers in the order of arrival: at weights 3 and 1,
/// a gets three quarters of the accelerators although b submitted first.
#[test]
fn customers_share_by_weight() {
    let mut harness = PlannerHarness::new(&[&[8]]);
    let share = |weight| CustomerShare { weight, quota: 100, in_use_elsewhere: 0 };
    let shares = [("a".to_owned(), share(3.0)), ("b".to_owned(), share(1.0))];
    harness.planner.set_customer_shares(shares.into_iter().collect());
    for customer in ["b"; 10].into_iter().chain(["a"; 10]) {
        harness.enqueue(spec(customer, shape(1, 1, WORKER), WorkClass::Normal));
    }
    harness.decide_all();
    let of_a = harness.running.values().filter(|job| job.record.spec.customer == "a").count();
    assert_eq!((of_a, harness.running.len()), (6, 8));
}

/// Guards against ignoring the class of a job, and against slow jobs that never start because
/// others arrive all the time.
#[test]
fn classes_go_in_order_until_slow_work_is_promoted() {
    let mut harness = PlannerHarness::new(&[&[1]]);
    harness.submit("a", shape(1, 1, WORKER));
    let slow = harness.submit_class("b", shape(1, 1, WORKER), WorkClass::Slow);
    let normal = harness.submit_class("c", shape(1, 1, WORKER), WorkClass::Normal);
    let order = |harness: &PlannerHarness| {
        harness.planner.queue().into_iter().map(|job| job.record.id).collect::<Vec<_>>()
    };
    assert_eq!(order(&harness), [normal.clone(), slow.clone()]);
    harness.wait(1_900);
    assert_eq!(order(&harness), [slow, normal]);
}

/// Guards against starvation of a customer that already uses much, and against a customer whose
/// whole queue comes first once it is overdue.
#[test]
fn oldest_overdue_job_of_each_customer_goes_first() {
    let mut harness = PlannerHarness::new(&[&[8]]);
    harness.submit("a", shape(1, 8, WORKER));
    let old = [harness.submit("a", shape(1, 8, WORKER)), harness.submit("a", shape(1, 8, WORKER))];
    harness.wait(7_000);
    let young = harness.submit("b", shape(1, 8, WORKER));
    let order = |harness: &PlannerHarness| {
        harness.planner.queue().into_iter().map(|job| job.record.id).collect::<Vec<_>>()
    };
    assert_eq!(order(&harness), [young.clone(), old[0].clone(), old[1].clone()]);
    harness.wait(300);
    assert_eq!(order(&harness), [old[0].clone(), young, old[1].clone()]);
}

/// Guards against urgent jobs that preempt a job again and again although it had waited until it
/// was overdue.
#[test]
fn urgent_work_does_not_preempt_job_that_was_overdue() {
    let mut harness = PlannerHarness::new(&[&[8]]);
    let first = harness.submit("a", shape(1, 8, WORKER));
    let late = harness.submit("b", shape(1, 8, WORKER));
    harness.wait(7_300);
    harness.end(&first);
    let urgent = harness.submit_class("c", shape(1, 8, WORKER), WorkClass::Urgent);
    assert!(harness.is_running(&late) && !harness.is_running(&urgent));
}

/// Guards against urgent jobs that wait for borrowers, and against urgent jobs that preempt each
/// other.
#[test]
fn urgent_work_preempts_lower_borrowers_only() {
    let mut harness = PlannerHarness::new(&[&[8]]);
    let normal = harness.submit("a", shape(1, 8, WORKER));
    let urgent = harness.submit_class("b", shape(1, 8, WORKER), WorkClass::Urgent);
    let second = harness.submit_class("c", shape(1, 8, WORKER), WorkClass::Urgent);
    assert!(harness.is_running(&urgent));
    assert!(!harness.is_running(&normal) && !harness.is_running(&second));
}

/// Guards against small jobs that delay a large gang: they may backfill the rack reserved for the
/// gang only until it can start.
#[test]
fn backfill_does_not_delay_reserved_gang() {
    let mut harness = PlannerHarness::new(&[&[8, 8]]);
    let long = harness.submit("a", shape(1, 8, WORKER));
    let gang = harness.submit("b", shape(2, 8, RACK));
    harness.wait(10);
    let backfill = harness.submit("c", shape(1, 8, WORKER));
    assert!(harness.is_running(&backfill) && !harness.is_running(&gang));
    harness.wait(600);
    harness.end(&long);
    assert!(harness.is_running(&gang));
    assert_eq!(harness.preempted, [backfill]);
}

/// Guards against a gang that waits although moving one small job would free its shape, and against
/// moving a job that can't be checkpointed.
#[test]
fn defragmentation_moves_checkpointable_borrower() {
    for checkpointable in [true, false] {
        let mut harness = PlannerHarness::new(&[&[8, 8], &[8]]);
        let mut small = spec("a", shape(1, 4, WORKER), WorkClass::Normal);
        small.checkpointable = checkpointable;
        let jobs: Vec<String> = (0..6)
            .map(|_| {
                let job = harness.enqueue(small.clone());
                harness.decide_all();
                job
            })
            .collect();
        harness.wait(1_000);
        // One job in each rack continues on half a worker, so 16 accelerators are free, but no rack
        // has two free workers.
        let job_in = |rack: &str| {
            let on = |job: &&String| harness.workers_of(job)[0].starts_with(rack);
            jobs.iter().find(on).cloned().expect("each rack has a job")
        };
        let kept = [job_in("r0"), job_in("r1")];
        for job in jobs.iter().filter(|job| !kept.contains(job)) {
            harness.end(job);
        }
        let gang = harness.submit("b", shape(2, 8, RACK));
        assert_eq!(harness.is_running(&gang), checkpointable);
        assert_eq!(harness.preempted.len(), usize::from(checkpointable));
        assert!(!checkpointable || kept.iter().all(|job| harness.is_running(job)));
        if !checkpointable {
            let reason = harness.planner.explain(&gang);
            assert!(reason.contains("16 accelerators are free, but not in the shape"), "{reason}");
        }
    }
}

/// Guards against jobs that wait although they can never start, and against refusing a job that
/// could start once a lost worker returns.
#[test]
fn infeasible_jobs_are_refused_and_delayed_ones_wait() {
    let mut harness = PlannerHarness::new(&[&[8, 8], &[4]]);
    harness.set_quotas(&[("a", 1_000), ("b", 12)]);
    let refusals = [
        (harness.submit("a", shape(3, 8, RACK)), "larger than the whole healthy domain"),
        (harness.submit("a", shape(21, 1, DOMAIN)), "larger than the whole healthy domain"),
        (harness.submit("b", shape(2, 8, RACK)), "over the quota of 12"),
    ];
    let many_cores = JobSpec { cores: 65, ..spec("a", shape(1, 1, WORKER), WorkClass::Normal) };
    let many_cores = harness.enqueue(many_cores);
    harness.decide_all();
    for (job, reason) in refusals.into_iter().chain([(many_cores, "65 cores")]) {
        assert!(harness.refused[&job].contains(reason), "{}", harness.refused[&job]);
    }
    harness.lose("r0w0");
    let job = harness.submit("a", shape(2, 8, RACK));
    assert!(harness.refused.len() == 4 && !harness.is_running(&job));
    assert!(harness.planner.explain(&job).contains("until lost workers return"));
    harness.restore("r0w0");
    assert!(harness.is_running(&job));
}

/// Guards against refusing jobs after a failover while a worker is lost: the new planner knows that
/// worker only from the nominal racks.
#[test]
fn nominal_racks_count_for_workers_never_reported() {
    let mut harness = PlannerHarness::new(&[&[8]]);
    harness.planner.set_nominal_racks(BTreeMap::from([("r0".to_owned(), vec![8, 8])]));
    let job = harness.submit("a", shape(2, 8, RACK));
    assert!(harness.refused.is_empty() && !harness.is_running(&job));
    let larger = harness.submit("a", shape(3, 8, RACK));
    assert!(harness.refused.contains_key(&larger));
}

/// Guards against exceeding a quota that is partly used in other domains, and against a reason that
/// does not name the quota.
#[test]
fn quota_counts_other_domains() {
    let mut harness = PlannerHarness::new(&[&[8]]);
    let share = CustomerShare { weight: 1.0, quota: 10, in_use_elsewhere: 4 };
    harness.planner.set_customer_shares(BTreeMap::from([("a".to_owned(), share)]));
    let first = harness.submit("a", shape(1, 4, WORKER));
    let second = harness.submit("a", shape(1, 4, WORKER));
    assert!(harness.is_running(&first) && !harness.is_running(&second));
    let reason = harness.planner.explain(&second);
    assert!(reason.contains("uses 8 accelerators of its quota of 10"), "{reason}");
}

/// Guards against placing a gang on a slow worker while a fast one is free, and against leaving
/// slow workers idle when there are no others.
#[test]
fn slow_workers_are_used_last() {
    let mut harness = PlannerHarness::new(&[&[8, 8, 8]]);
    for worker in ["r0w0", "r0w1"] {
        harness.planner.set_speed(&worker.to_owned(), 0.5);
    }
    let first = harness.submit("a", shape(1, 8, WORKER));
    assert_eq!(harness.workers_of(&first), ["r0w2"]);
    let second = harness.submit("a", shape(2, 8, RACK));
    assert!(harness.is_running(&second));
}

/// Guards against starting a job again on the worker on which it failed to start.
#[test]
fn failed_worker_is_avoided() {
    let mut harness = PlannerHarness::new(&[&[8], &[8]]);
    harness.set_guarantees(vec![guarantee("a", shape(1, 8, WORKER), 1, 1)]);
    for customer in ["a", "b"] {
        for worker in ["r0w0", "r1w0"] {
            let job = harness.enqueue(spec(customer, shape(1, 8, WORKER), WorkClass::Normal));
            harness.planner.avoid_worker(&job, &worker.to_owned());
            harness.decide_all();
            assert_ne!(harness.workers_of(&job), [worker]);
            harness.end(&job);
        }
    }
}

/// Guards against starting two jobs on the same cores or memory because enough accelerators are
/// free.
#[test]
fn cores_and_memory_limit_placement() {
    let mut harness = PlannerHarness::new(&[&[8]]);
    let wide = JobSpec { cores: 40, ..spec("a", shape(1, 1, WORKER), WorkClass::Normal) };
    let large = JobSpec { memory_mb: 100_000, ..spec("a", shape(1, 1, WORKER), WorkClass::Normal) };
    let jobs: Vec<String> = [&wide, &large, &wide, &large]
        .into_iter()
        .map(|job| harness.enqueue(job.clone()))
        .collect();
    harness.decide_all();
    let running: Vec<bool> = jobs.iter().map(|job| harness.is_running(job)).collect();
    assert_eq!(running, [true, true, false, false]);
    let reason = harness.planner.explain(&jobs[2]);
    assert!(reason.contains("not with the cores and memory"), "{reason}");
}

/// Guards against decisions that depend on anything but the events: two runs of the same events
/// must agree.
#[test]
fn same_events_give_same_decisions() {
    let run = || {
        let mut harness = PlannerHarness::new(&[&[8; 6], &[4; 6]]);
        harness.set_guarantees(vec![guarantee("a", shape(2, 4, RACK), 3, 1)]);
        for step in 0..60_u32 {
            let customer = ["a", "b", "c"][step as usize % 3];
            harness.submit(customer, shape(1 + step % 3, 1 + step % 4, RACK));
            harness.wait(30);
            if let Some(job) = harness.running.keys().nth(step as usize % 7).cloned() {
                harness.end(&job);
            }
        }
        let placements = harness.running.keys().map(|job| (job.clone(), harness.workers_of(job)));
        placements.collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}
