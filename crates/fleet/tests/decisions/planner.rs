//! Decisions of the planner, event by event.

use std::time::Duration;

use crate::harness::{PlannerHarness, listing, step, submission};
use lacewingrail_fleet::{EndReason, FleetEvent, FleetOrder, JobPhase, PlannerNote};

fn two_racks() -> Vec<lacewingrail_fleet::WorkerListing> {
    let worker = |index: usize| {
        let rack = if index < 3 { "r1" } else { "r2" };
        listing(&format!("w{index}"), "north", rack)
    };
    (0..6).map(worker).collect()
}

/// Guards against ends that show in no log: of each run, once, with its reason, also when the worker
/// lists the end again before it is acknowledged.
#[test]
fn each_end_is_noted_once() {
    let mut harness = PlannerHarness::new(1, two_racks());
    harness.accept(submission(1, "normal", vec![step(2, 4)]));
    harness.store_down = true;
    let reasons = [EndReason::Done, EndReason::Failed];
    for (order, reason) in harness.starts.clone().iter().zip(reasons) {
        harness.end(order, reason);
    }
    harness.pass(Duration::from_millis(600));
    let ended = harness.planner.take_notes().into_iter().filter_map(|note| match note {
        PlannerNote::RunEnded { task, run, reason, .. } => Some((task.index, run, reason)),
        _ => None,
    });
    let ended: Vec<_> = ended.collect();
    assert_eq!(ended, [(0, 1, EndReason::Done), (1, 1, EndReason::Failed)]);
}

/// A job whose last task is done must be shown as completed only once that is stored.
#[test]
fn job_completes_when_its_end_is_stored() {
    let mut harness = PlannerHarness::new(1, two_racks());
    harness.accept(submission(1, "normal", vec![step(2, 4)]));
    assert_eq!(harness.starts.len(), 2);
    harness.store_down = true;
    for order in harness.starts.clone() {
        harness.end(&order, EndReason::Done);
    }
    harness.pass(Duration::from_millis(300));
    let entry = harness.planner.job(1).expect("an accepted job");
    assert_eq!(entry.phase, JobPhase::Completed);
    assert_eq!(entry.stored_phase, JobPhase::Active);
    assert!(harness.workers.values().any(|worker| !worker.ended.is_empty()));
    harness.store_down = false;
    harness.pass(Duration::from_millis(300));
    assert_eq!(harness.planner.job(1).map(|entry| entry.stored_phase), Some(JobPhase::Completed));
    assert!(harness.workers.values().all(|worker| worker.ended.is_empty()));
}

/// A step must not start before the steps it waits for are done.
#[test]
fn step_waits_for_its_predecessors() {
    let mut harness = PlannerHarness::new(1, two_racks());
    let second = lacewingrail_fleet::StepSpec { after: vec![0], ..step(1, 1) };
    harness.accept(submission(1, "normal", vec![step(2, 1), second]));
    assert_eq!(harness.starts.len(), 2);
    let first = harness.starts.clone();
    harness.end(&first[0], EndReason::Done);
    harness.pass(Duration::from_millis(200));
    assert_eq!(harness.starts.len(), 2, "one of two tasks is done");
    harness.end(&first[1], EndReason::Done);
    harness.pass(Duration::from_millis(200));
    assert_eq!(harness.starts.len(), 3);
}

/// A gang must not start in part, even when half of it fits.
#[test]
fn gang_starts_whole_or_not_at_all() {
    let mut harness = PlannerHarness::new(1, two_racks());
    harness.accept(submission(1, "normal", vec![step(4, 8)]));
    assert_eq!(harness.starts.len(), 4);
    let gang = lacewingrail_fleet::StepSpec { gang: true, ..step(3, 8) };
    harness.accept(submission(2, "normal", vec![gang]));
    assert!(harness.started(2).is_empty());
    let first = harness.starts[0].clone();
    harness.end(&first, EndReason::Done);
    harness.pass(Duration::from_millis(200));
    assert_eq!(harness.started(2).len(), 3);
}

/// Urgent work must get its accelerators from borrowers within the time of a stop.
#[test]
fn urgent_work_reclaims_from_borrowers() {
    let mut harness = PlannerHarness::new(1, two_racks());
    let borrower = lacewingrail_fleet::StepSpec { checkpoints: true, ..step(6, 8) };
    harness.accept(submission(1, "slow", vec![borrower]));
    assert_eq!(harness.starts.len(), 6);
    let gang = lacewingrail_fleet::StepSpec { gang: true, one_rack: true, ..step(2, 8) };
    harness.accept(submission(2, "urgent", vec![gang]));
    harness.pass(Duration::from_millis(300));
    assert_eq!(harness.stops.len(), 2);
    assert_eq!(harness.started(2).len(), 2);
    let racks: Vec<_> = harness
        .started(2)
        .iter()
        .map(|worker| {
            harness.listings.iter().find(|entry| entry.id == *worker).unwrap().rack.clone()
        })
        .collect();
    assert_eq!(racks[0], racks[1]);
}

/// A task must not start elsewhere while a worker that can't be reached may still run it.
#[test]
fn unreachable_worker_keeps_its_task_until_the_lease_is_over() {
    let mut harness = PlannerHarness::new(1, two_racks());
    harness.accept(submission(1, "normal", vec![step(1, 8)]));
    let worker = harness.starts[0].target.worker.clone();
    harness.workers.get_mut(&worker).unwrap().silent = true;
    harness.pass(Duration::from_millis(5900));
    assert_eq!(harness.starts.len(), 1);
    harness.pass(Duration::from_millis(1500));
    assert_eq!(harness.starts.len(), 2);
    assert_ne!(harness.starts[1].target.worker, worker);
    assert!(harness.starts[1].target.run > harness.starts[0].target.run);
}

/// A new scheduler must not start a begun job's task elsewhere because the worker that runs it has
/// left the list while it can't be reached (fleetbench almahra trouble-1, rule on double runs).
#[test]
fn unlisted_worker_of_an_earlier_scheduler_is_waited_for() {
    let mut harness = PlannerHarness::new(1, two_racks());
    let job = submission(1, "normal", vec![step(1, 8)]);
    harness.accept(job.clone());
    let worker = harness.starts[0].target.worker.clone();
    harness.workers.get_mut(&worker).unwrap().silent = true;
    let mut harness = harness.take_over(2, &[job]);
    harness.pass(Duration::from_millis(1000));
    harness.listings.retain(|listing| listing.id != worker);
    harness.pass(Duration::from_millis(4000));
    assert!(harness.starts.is_empty(), "the lease of the unlisted worker may not be over");
    harness.pass(Duration::from_millis(10_000));
    assert_eq!(harness.starts.len(), 1);
}

/// Work that has certainly not begun need not wait for workers that can't be reached.
#[test]
fn job_without_announced_start_begins_during_recovery() {
    let mut harness = PlannerHarness::new(1, two_racks());
    harness.workers.get_mut("w0").unwrap().silent = true;
    let mut harness = harness.take_over(2, &[submission(1, "normal", vec![step(1, 8)])]);
    harness.pass(Duration::from_millis(500));
    assert_eq!(harness.starts.len(), 1);
}

/// A cancellation must hold although a new scheduler reads it before the job it belongs to
/// (fleetbench tanahku trouble-3, rule on work that nobody asked for).
#[test]
fn cancellation_read_before_its_job_holds() {
    let mut harness = PlannerHarness::new(2, two_racks());
    harness.tell(FleetEvent::JobCancelled(1));
    harness.accept(submission(1, "normal", vec![step(1, 8)]));
    harness.pass(Duration::from_millis(300));
    assert!(harness.starts.is_empty());
    assert_eq!(harness.planner.job(1).map(|entry| entry.phase), Some(JobPhase::Cancelled));
}

/// A cancelled job must stop and stay stopped.
#[test]
fn cancelled_job_stops() {
    let mut harness = PlannerHarness::new(1, two_racks());
    harness.accept(submission(1, "normal", vec![step(2, 8)]));
    harness.tell(FleetEvent::JobCancelled(1));
    harness.pass(Duration::from_millis(500));
    assert_eq!(harness.stops.len(), 2);
    assert_eq!(harness.starts.len(), 2);
    assert!(harness.workers.values().all(|worker| worker.running.is_empty()));
}

/// A task must not be started more often than its queue allows failed runs.
#[test]
fn failures_end_a_job() {
    let mut harness = PlannerHarness::new(1, two_racks());
    harness.accept(submission(1, "normal", vec![step(1, 8)]));
    for _ in 0..5 {
        if let Some(order) = harness.starts.last().cloned() {
            harness.end(&order, EndReason::Failed);
        }
        harness.pass(Duration::from_secs(1));
    }
    assert_eq!(harness.starts.len(), 3);
    assert_eq!(harness.planner.job(1).map(|entry| entry.phase), Some(JobPhase::Failed));
}

/// A gang without a rack of its own must not wait for one failure domain while the region has room
/// (fleetbench tanahku scale-1, rule on lost jobs).
#[test]
fn large_gang_spreads_over_domains_when_no_domain_has_room() {
    let domain = |index: usize| if index < 3 { "north" } else { "south" };
    let worker = |index: usize| listing(&format!("w{index}"), domain(index), domain(index));
    let mut harness = PlannerHarness::new(1, (0..6).map(worker).collect());
    let on = |label: &str, count: u32| lacewingrail_fleet::StepSpec {
        label: Some(label.to_owned()),
        ..step(count, 8)
    };
    harness.accept(submission(1, "normal", vec![on("north", 2), on("south", 1)]));
    let gang = lacewingrail_fleet::StepSpec { gang: true, ..step(3, 8) };
    harness.accept(submission(2, "normal", vec![gang]));
    harness.pass(Duration::from_secs(2));
    assert_eq!(harness.started(2).len(), 3, "three workers in two domains are free");
}

/// Runs found on a worker must not be taken for lapsed because this scheduler, being slow, has not
/// extended their lease yet (fleetbench tanahku trouble-2 with a slow store, rule on double runs).
#[test]
fn found_runs_live_until_the_lease_of_the_earlier_scheduler_is_over() {
    let mut harness = PlannerHarness::new(1, two_racks());
    let job = submission(1, "normal", vec![step(1, 8)]);
    harness.accept(job.clone());
    let mut harness = harness.take_over(2, &[job]);
    let listings = harness.listings.clone();
    harness.tell(FleetEvent::WorkersListed(listings));
    let orders = harness.planner.plan(harness.now);
    orders.into_iter().for_each(|order| harness.execute(order));
    harness.now += Duration::from_millis(300);
    harness.settle();
    assert!(harness.starts.is_empty());
}

/// A task that stands still on its worker must start again elsewhere (workers that leave tasks
/// standing while they answer).
#[test]
fn stalled_task_moves_to_another_worker() {
    let mut harness = PlannerHarness::new(1, two_racks());
    harness.accept(submission(1, "normal", vec![step(1, 8)]));
    let worker = harness.starts[0].target.worker.clone();
    harness.workers.get_mut(&worker).unwrap().speed = 0.0;
    harness.pass(Duration::from_millis(2000));
    assert_eq!(harness.starts.len(), 1);
    harness.pass(Duration::from_millis(1500));
    assert_eq!(harness.starts.len(), 2);
    assert_ne!(harness.starts[1].target.worker, worker);
}

/// A worker that is gone for good must not hold up jobs that never used it (fleetbench grown tanahku
/// trouble-1: after a power loss nothing that had begun ran for 16 s).
#[test]
fn job_waits_only_for_its_own_workers() {
    let mut harness = PlannerHarness::new(1, two_racks());
    let jobs =
        [submission(1, "normal", vec![step(1, 8)]), submission(2, "normal", vec![step(1, 8)])];
    jobs.iter().for_each(|job| harness.accept(job.clone()));
    let (first, second) = (harness.starts[0].clone(), harness.starts[1].clone());
    harness.workers.get_mut(&first.target.worker).unwrap().silent = true;
    // The second job's run ends unseen while no scheduler is active.
    let target = second.target.clone();
    harness.end_run(&target.worker, target.task, target.run, EndReason::Lapsed, None);
    let mut harness = harness.take_over(2, &jobs);
    harness.pass(Duration::from_millis(500));
    assert!(harness.started(1).is_empty());
    assert_eq!(harness.started(2).len(), 1);
}

/// A run that is found late, after a cut has healed, must go on rather than start anew.
#[test]
fn run_found_late_goes_on() {
    let mut harness = PlannerHarness::new(1, two_racks());
    let job = submission(1, "normal", vec![step(1, 8)]);
    harness.accept(job.clone());
    let worker = harness.starts[0].target.worker.clone();
    harness.workers.get_mut(&worker).unwrap().silent = true;
    let mut harness = harness.take_over(2, &[job]);
    harness.pass(Duration::from_secs(3));
    harness.workers.get_mut(&worker).unwrap().silent = false;
    harness.pass(Duration::from_secs(1));
    assert!(harness.starts.is_empty() && harness.stops.is_empty());
}

/// A second step must start on workers of which some served the first step and some did not
/// (a job stood still when a new worker was announced beside a known one).
#[test]
fn second_step_starts_on_known_and_new_workers() {
    let mut harness = PlannerHarness::new(1, two_racks());
    let second = lacewingrail_fleet::StepSpec { after: vec![0], ..step(6, 8) };
    harness.accept(submission(1, "normal", vec![step(1, 8), second]));
    let first = harness.starts[0].clone();
    harness.end(&first, EndReason::Done);
    harness.pass(Duration::from_millis(300));
    assert_eq!(harness.starts.len(), 7);
}

/// A start without an answer may be carried out in the worker's next life: the task must start
/// elsewhere only when that life has confirmed a stop (soak seeds 10, 32 and 48).
#[test]
fn unanswered_start_is_stopped_in_the_next_life() {
    let mut harness = PlannerHarness::new(1, two_racks());
    harness.workers.values_mut().for_each(|worker| worker.silent = true);
    harness.accept(submission(1, "normal", vec![step(1, 8)]));
    assert_eq!(harness.starts.len(), 1);
    let target = harness.starts[0].target.clone();
    harness.workers.values_mut().for_each(|worker| worker.silent = worker.born == 0);
    let reborn = harness.workers.get_mut(&target.worker).unwrap();
    (reborn.born, reborn.silent) = (2, true);
    let listed = harness.listings.iter_mut().find(|listing| listing.id == target.worker);
    listed.unwrap().incarnation = 2;
    harness.pass(Duration::from_secs(3));
    assert_eq!(harness.starts.len(), 1, "the new life may still carry out the start");
    harness.stops.clear();
    harness.workers.get_mut(&target.worker).unwrap().silent = false;
    harness.pass(Duration::from_secs(2));
    assert!(harness.stops.iter().any(|stop| stop.worker == target.worker));
    assert_eq!(harness.starts.len(), 2);
}

/// A run that the next life of a worker has started must not be taken for lost when the list shows
/// that life (soak seed 35).
#[test]
fn run_of_a_life_that_was_not_listed_yet_goes_on() {
    let mut harness = PlannerHarness::new(1, two_racks());
    harness.workers.values_mut().for_each(|worker| worker.born = 2);
    harness.accept(submission(1, "normal", vec![step(1, 8)]));
    assert_eq!(harness.starts.len(), 1);
    harness.listings.iter_mut().for_each(|listing| listing.incarnation = 2);
    harness.pass(Duration::from_secs(1));
    assert_eq!(harness.starts.len(), 1);
}

/// What a worker ran in its former life is gone and must start again at once.
#[test]
fn run_of_a_former_life_starts_again() {
    let mut harness = PlannerHarness::new(1, two_racks());
    harness.accept(submission(1, "normal", vec![step(1, 8)]));
    let worker = harness.workers.get_mut(&harness.starts[0].target.worker.clone()).unwrap();
    (worker.born, worker.ends) = (2, 0);
    worker.running.clear();
    harness.pass(Duration::from_millis(300));
    assert_eq!(harness.starts.len(), 2);
}

/// A worker that refuses a start for want of capacity must be looked at: it may run something that
/// this scheduler does not know of, and would refuse for ever.
#[test]
fn worker_without_expected_room_is_looked_at() {
    let mut harness = PlannerHarness::new(1, vec![listing("w0", "north", "r1")]);
    let unknown = lacewingrail_fleet::TaskKey { job: 99, occurrence: 0, step: 0, index: 0 };
    let now = harness.now;
    let worker = harness.workers.get_mut("w0").unwrap();
    worker.running.insert((unknown, 7), now);
    worker.full = true;
    harness.accept(submission(1, "normal", vec![step(1, 8)]));
    harness.pass(Duration::from_millis(200));
    assert!(harness.stops.iter().any(|stop| stop.task == unknown && stop.run == 7));
    harness.workers.get_mut("w0").unwrap().full = false;
    harness.pass(Duration::from_millis(800));
    assert!(harness.workers["w0"].running.keys().any(|(task, _)| task.job == 1));
}

/// Tasks that need not run together must not wait for one reserved worker that has closed.
#[test]
fn separate_tasks_start_although_one_reserved_worker_closes() {
    let mut harness = PlannerHarness::new(1, two_racks());
    harness.store_down = true;
    harness.accept(submission(1, "normal", vec![step(6, 8)]));
    assert!(harness.starts.is_empty(), "the workers are not announced yet");
    harness.listings[0].draining = true;
    harness.store_down = false;
    harness.pass(Duration::from_millis(200));
    assert_eq!(harness.starts.len(), 5);
}

/// What the store holds of a job must go once nobody may ask for it any more, or the store and the
/// time to take over grow without bound.
#[test]
fn ended_job_is_forgotten() {
    let mut harness = PlannerHarness::new(1, two_racks());
    harness.accept(submission(1, "normal", vec![step(1, 8)]));
    let order = harness.starts[0].clone();
    harness.end(&order, EndReason::Done);
    harness.pass(Duration::from_millis(300));
    assert!(harness.stored.contains_key(&1));
    harness.now += Duration::from_secs(119);
    harness.settle();
    assert!(harness.stored.contains_key(&1) && harness.planner.job(1).is_some());
    harness.now += Duration::from_secs(1);
    harness.settle();
    assert!(!harness.stored.contains_key(&1) && harness.planner.job(1).is_none());
}

/// A failed run that an earlier scheduler counted, but did not acknowledge any more, must not count
/// again (grown almahra trouble-1 and trouble-3: jobs were given up with attempts left).
#[test]
fn failed_run_counts_once_over_a_takeover() {
    let gang = lacewingrail_fleet::StepSpec { gang: true, ..step(1, 8) };
    for spec in [step(1, 8), gang] {
        let job = submission(1, "normal", vec![spec]);
        let mut harness = PlannerHarness::new(1, two_racks());
        harness.accept(job.clone());
        for epoch in 2..4 {
            let order = harness.starts.last().cloned().expect("the task was started");
            harness.end(&order, EndReason::Failed);
            let unacknowledged = harness.workers[&order.target.worker].ended.clone();
            harness.settle();
            let (target, worker) = (order.target.clone(), order.target.worker.clone());
            harness.workers.get_mut(&worker).unwrap().ended = unacknowledged;
            harness.workers.values_mut().for_each(|worker| worker.running.clear());
            harness = harness.take_over(epoch, std::slice::from_ref(&job));
            harness.pass(Duration::from_secs(3));
            assert!(harness.starts.iter().all(|start| start.target.run > target.run));
        }
        assert_eq!(harness.planner.job(1).map(|entry| entry.phase), Some(JobPhase::Active));
        assert_eq!(harness.starts.len(), 1, "two of three attempts have failed");
    }
}

/// Returns how many workers one planning pass looks at.
fn looks(harness: &mut PlannerHarness) -> usize {
    let orders = harness.planner.plan(harness.now);
    orders.iter().filter(|order| matches!(order, FleetOrder::Renew(_))).count()
}

/// Guards against a takeover that loses its leadership because the answers of thousands of workers
/// come back at once: at 3,000 workers one takeover followed the other.
#[test]
fn new_scheduler_looks_at_workers_in_bounded_numbers() {
    let worker = |index: usize| listing(&format!("w{index:03}"), "north", "r1");
    let mut harness = PlannerHarness::unheard(2, (0..150).map(worker).collect());
    let listings = harness.listings.clone();
    harness.tell(FleetEvent::WorkersListed(listings));
    assert_eq!((looks(&mut harness), looks(&mut harness)), (64, 0));
    // Silent workers hold up the others for a moment only.
    harness.now += Duration::from_millis(250);
    assert_eq!(looks(&mut harness), 64);
    harness.now += Duration::from_millis(250);
    assert_eq!(looks(&mut harness), 22);
}
