//! What a new scheduler concludes from what it has not been told yet.

use std::sync::Arc;
use std::time::Duration;

use lacewingrail_fleet::record::FailureCount;
use lacewingrail_fleet::{
    EndReason, FleetEvent, FleetOrder, JobPhase, JobProgress, JobSubmission, StepSpec,
    WorkerListing,
};

use crate::harness::{
    PERIOD, PlannerHarness, SimulatedWorker, listing, recurring, settings, step, submission,
};

fn four_workers() -> Vec<WorkerListing> {
    (0..4).map(|index| listing(&format!("w{index}"), "north", "r1")).collect()
}

/// Ends every run in progress of an occurrence as done.
fn end_occurrence(harness: &mut PlannerHarness, occurrence: u32) {
    let runs: Vec<_> = harness
        .workers
        .iter()
        .flat_map(|(id, worker)| worker.running.keys().map(|key| (id.clone(), *key)))
        .filter(|(_, (task, _))| task.occurrence == occurrence)
        .collect();
    for (worker, (task, run)) in runs {
        harness.end_run(&worker, task, run, EndReason::Done, None);
    }
}

/// Occurrences must continue where a later one has stored progress and an earlier one has none. A
/// recurring job was never continued after such a takeover.
#[test]
fn recurring_job_continues_when_only_a_later_occurrence_has_progress() {
    let mut harness = PlannerHarness::new(1, four_workers());
    let job = recurring(harness.now, 3, 8);
    harness.submit(job.clone());
    harness.advance(PERIOD);
    assert_eq!(harness.starts.len(), 2, "occurrences 0 and 1 overlap");
    end_occurrence(&mut harness, 1);
    harness.advance(Duration::from_millis(300));
    let mut harness = harness.fail_over(2, &[job]);
    harness.advance(PERIOD);
    assert!(harness.stops.is_empty(), "the run of occurrence 0 continues");
    for occurrence in [0, 2] {
        end_occurrence(&mut harness, occurrence);
    }
    harness.advance(Duration::from_millis(300));
    assert_eq!(harness.planner.job(1).map(|entry| entry.phase), Some(JobPhase::Completed));
}

/// Returns a harness in which all occurrences of a job run at once on one worker, which is announced
/// with the first of them, so that the store names none of the others.
fn overlapping_occurrences(times: u32) -> (PlannerHarness, JobSubmission) {
    let mut harness = PlannerHarness::new(1, vec![listing("w0", "north", "r1")]);
    let job = recurring(harness.now - PERIOD * times, times, 1);
    harness.submit(job.clone());
    harness.advance(Duration::from_secs(1));
    assert_eq!(harness.starts.len(), times as usize);
    assert!(harness.stored[&1].steps.iter().all(|step| step.occurrence == 0));
    (harness, job)
}

/// An end that a worker reports must count although the store does not name its occurrence yet.
/// Occurrences that ended during a takeover once ran again.
#[test]
fn ends_of_occurrences_that_are_not_stored_count_after_a_takeover() {
    let (mut harness, job) = overlapping_occurrences(4);
    (0..4).for_each(|occurrence| end_occurrence(&mut harness, occurrence));
    let mut harness = harness.fail_over(2, &[job]);
    harness.advance(Duration::from_secs(1));
    assert!(harness.starts.is_empty(), "every occurrence is done");
    assert_eq!(harness.planner.job(1).map(|entry| entry.phase), Some(JobPhase::Completed));
}

/// A run that a worker reports must continue although the store does not name its occurrence yet.
/// Such runs were once stopped and started anew.
#[test]
fn runs_of_occurrences_that_are_not_stored_continue_after_a_takeover() {
    let (harness, job) = overlapping_occurrences(4);
    let mut harness = harness.fail_over(2, &[job]);
    harness.advance(Duration::from_secs(1));
    assert!(harness.stops.is_empty() && harness.starts.is_empty());
}

/// A failed run must count as an attempt although the store does not name its occurrence yet.
#[test]
fn failures_of_occurrences_that_are_not_stored_count_after_a_takeover() {
    let (mut harness, job) = overlapping_occurrences(4);
    let order = harness.starts.iter().find(|order| order.target.task.occurrence == 3).cloned();
    let task = order.as_ref().map(|order| order.target.task).expect("all occurrences run");
    harness.end_task(&order.expect("all occurrences run"), EndReason::Failed);
    let mut harness = harness.fail_over(2, &[job]);
    harness.advance(Duration::from_millis(300));
    let entry = harness.planner.job(1).and_then(|job| job.task(task));
    assert_eq!(entry.map(|entry| entry.failures.count), Some(1));
}

/// Returns a harness with a job that has ended and whose removal from the store is ordered but not
/// carried out.
fn job_awaiting_removal() -> (PlannerHarness, JobSubmission) {
    let mut harness = PlannerHarness::new(1, four_workers());
    let job = submission(1, "normal", vec![step(1, 8)]);
    harness.submit(job.clone());
    let order = harness.starts[0].clone();
    harness.end_task(&order, EndReason::Done);
    harness.advance(Duration::from_millis(300));
    harness.store_unavailable = true;
    harness.now += settings(1).ended_job_retention;
    harness.run_until_idle();
    assert_eq!(harness.removals, [1]);
    harness.starts.clear();
    (harness, job)
}

/// A job must not count as new while the store still lists it. When the watch of the jobs lost its
/// history in an outage, completed jobs once ran again.
#[test]
fn job_listed_anew_before_its_deletion_does_not_run_again() {
    let (mut harness, job) = job_awaiting_removal();
    harness.submit(job);
    harness.apply_event(FleetEvent::JobsListed([1].into()));
    harness.store_unavailable = false;
    harness.advance(Duration::from_millis(300));
    assert!(harness.starts.is_empty());
    assert_eq!(harness.planner.job(1).map(|entry| entry.phase), Some(JobPhase::Completed));
    harness.execute_removals();
    assert!(harness.planner.job(1).is_none(), "nothing is kept of a deleted job");
}

/// A job whose deletion is lost with the store's history must be forgotten when the list shows that
/// it is gone, and an active job must not. Otherwise memory grows, or a job is lost.
#[test]
fn list_of_all_jobs_shows_which_ones_are_deleted() {
    let (mut harness, _) = job_awaiting_removal();
    harness.store_unavailable = false;
    harness.submit(submission(2, "normal", vec![step(1, 8)]));
    harness.apply_event(FleetEvent::JobsListed([].into()));
    assert!(harness.planner.job(1).is_none());
    assert_eq!(harness.planner.job(2).map(|entry| entry.phase), Some(JobPhase::Active));
}

/// Returns a harness with a job of ten tasks on one worker, which reports three ends at a time.
fn many_tasks_on_one_worker() -> (PlannerHarness, JobSubmission) {
    let mut harness = PlannerHarness::new(1, vec![listing("w0", "north", "r1")]);
    harness.workers.get_mut("w0").unwrap().ends_per_report = 3;
    let job = submission(1, "normal", vec![step(10, 0)]);
    harness.submit(job.clone());
    assert_eq!(harness.starts.len(), 10);
    (harness, job)
}

/// A run that a report leaves out must not count as gone while the worker has more ends to report.
/// After a takeover that found over 500 ends on a worker, tasks that were done once ran again.
#[test]
fn takeover_waits_for_ends_that_a_report_leaves_out() {
    let (mut harness, job) = many_tasks_on_one_worker();
    harness.starts.clone().iter().for_each(|order| harness.end_task(order, EndReason::Done));
    let mut harness = harness.fail_over(2, &[job]);
    harness.advance(Duration::from_secs(2));
    assert!(harness.starts.is_empty(), "all tasks are done");
    assert_eq!(harness.planner.job(1).map(|entry| entry.phase), Some(JobPhase::Completed));
}

/// The same holds for the scheduler that started the runs: ends gather while the store is away.
#[test]
fn scheduler_waits_for_ends_that_a_report_leaves_out() {
    let (mut harness, _) = many_tasks_on_one_worker();
    harness.store_unavailable = true;
    harness.starts.clone().iter().for_each(|order| harness.end_task(order, EndReason::Done));
    harness.advance(Duration::from_secs(3));
    assert_eq!(harness.starts.len(), 10, "the ends that are not reported yet may be successes");
    assert!(harness.stops.is_empty(), "a run that may have ended has not stalled");
    harness.store_unavailable = false;
    harness.advance(Duration::from_secs(3));
    assert_eq!(harness.planner.job(1).map(|entry| entry.phase), Some(JobPhase::Completed));
}

/// Ends that are still to be reported must not be forgotten because the leases are over: the worker
/// answers, and reports them once the store takes its first ends.
#[test]
fn ends_that_a_report_leaves_out_are_awaited_beyond_the_leases() {
    let (mut harness, job) = many_tasks_on_one_worker();
    harness.starts.clone().iter().for_each(|order| harness.end_task(order, EndReason::Done));
    harness.store_unavailable = true;
    let mut harness = harness.fail_over(2, &[job]);
    harness.advance(Duration::from_secs(20));
    assert!(harness.starts.is_empty(), "the worker answers");
    harness.workers.get_mut("w0").unwrap().unresponsive = true;
    harness.store_unavailable = false;
    harness.listings.push(listing("w1", "north", "r1"));
    harness.workers.insert("w1".into(), SimulatedWorker::default());
    harness.advance(Duration::from_secs(1));
    assert!(!harness.starts.is_empty(), "a worker that is gone is not awaited");
}

/// An end of a new incarnation must not be acknowledged by the numbers of the former one: the worker
/// would forget it, and a task that was done would run again.
#[test]
fn ends_of_an_unknown_incarnation_are_not_acknowledged() {
    let mut harness = PlannerHarness::new(1, vec![listing("w0", "north", "r1")]);
    harness.submit(submission(1, "normal", vec![step(2, 1)]));
    harness.starts.clone().iter().for_each(|order| harness.end_task(order, EndReason::Done));
    harness.advance(Duration::from_millis(300));
    let worker = harness.workers.get_mut("w0").unwrap();
    assert!(worker.ended.is_empty(), "the ends are acknowledged");
    (worker.incarnation, worker.end_count) = (2, 0);
    harness.starts.clear();
    harness.apply_event(FleetEvent::JobAccepted {
        submission: Arc::new(submission(2, "normal", vec![step(1, 1)])),
        progress: None,
        age: Duration::ZERO,
    });
    while harness.starts.is_empty() {
        harness.now += Duration::from_millis(2);
        for order in harness.planner.plan(harness.now) {
            let is_start = matches!(order, FleetOrder::Start(_));
            harness.execute(order);
            if is_start {
                // The task ends before the renewal that is sent beside its start arrives.
                harness.end_task(&harness.starts[0].clone(), EndReason::Done);
            }
        }
    }
    harness.advance(Duration::from_secs(1));
    assert_eq!(harness.starts.len(), 1);
    assert_eq!(harness.planner.job(2).map(|entry| entry.phase), Some(JobPhase::Completed));
}

/// Failed runs must all count although a new scheduler hears of them in another order. Otherwise a
/// task runs more often than its queue allows.
#[test]
fn failures_that_are_heard_out_of_order_all_count() {
    let workers = vec![listing("w0", "north", "r1"), listing("w1", "north", "r1")];
    let mut harness = PlannerHarness::new(1, workers);
    let job = submission(1, "normal", vec![step(2, 8)]);
    harness.submit(job.clone());
    harness.store_unavailable = true;
    let [failing, other] = harness.starts.clone().try_into().expect("one task runs on each worker");
    harness.end_task(&other, EndReason::Done);
    harness.end_task(&failing, EndReason::Failed);
    harness.advance(Duration::from_millis(300));
    let again = harness.starts[2].clone();
    assert_eq!(again.target.worker, other.target.worker);
    harness.end_task(&again, EndReason::Failed);
    harness.store_unavailable = false;
    harness.workers.get_mut(&failing.target.worker).unwrap().unresponsive = true;
    let mut harness = harness.fail_over(2, &[job]);
    harness.advance(Duration::from_millis(500));
    harness.workers.get_mut(&failing.target.worker).unwrap().unresponsive = false;
    harness.advance(Duration::from_secs(1));
    let entry = harness.planner.job(1).and_then(|job| job.task(failing.target.task));
    assert_eq!(entry.map(|entry| entry.failures.count), Some(2));
}

/// Failures that an earlier build has stored must keep their count.
#[test]
fn failures_stored_by_an_earlier_build_are_restored() {
    let mut failures: FailureCount =
        serde_json::from_str(r#"{"count":2,"run":1001}"#).expect("a valid record");
    assert_eq!([1001, 7, 1002, 1002].map(|run| failures.record(run)), [2, 2, 3, 3]);
    let stored = serde_json::to_string(&failures).expect("the record can be encoded");
    assert_eq!(serde_json::from_str::<FailureCount>(&stored).ok(), Some(failures));
}

/// Tasks that were done must stay done after a takeover, whether they are stored by ranges or, as
/// earlier builds did, one by one.
#[test]
fn tasks_stored_as_done_are_not_started_again() {
    let by_ranges = r#"{"phase":"active","steps":[{"step":0,"done_ranges":[[0,3],[4,5]]}]}"#;
    let one_by_one = r#"{"phase":"active","steps":[{"step":0,"done":[0,1,2,4]}]}"#;
    for stored in [by_ranges, one_by_one] {
        let mut harness = PlannerHarness::new(1, four_workers());
        let progress: JobProgress = serde_json::from_str(stored).expect("a valid record");
        harness.stored.insert(1, progress);
        let mut harness = harness.fail_over(2, &[submission(1, "normal", vec![step(6, 1)])]);
        harness.run_until_idle();
        let started: Vec<u32> =
            harness.starts.iter().map(|order| order.target.task.index).collect();
        assert_eq!(started, [3, 5], "{stored}");
        harness.starts.clone().iter().for_each(|order| harness.end_task(order, EndReason::Done));
        harness.advance(Duration::from_millis(300));
        assert_eq!(harness.stored[&1].phase, JobPhase::Completed);
        assert_eq!(harness.stored[&1].steps[0].done, [0, 1, 2, 3, 4, 5]);
    }
}

/// Guards against progress that grows with the tasks that are done, until the store refuses it.
#[test]
fn progress_of_a_large_job_stays_small() {
    const TASKS: u32 = 1_000_000;
    let mut harness = PlannerHarness::new(1, four_workers());
    let stored =
        format!(r#"{{"phase":"active","steps":[{{"step":0,"done_ranges":[[0,{TASKS}]]}}]}}"#);
    let progress: JobProgress = serde_json::from_str(&stored).expect("a valid record");
    harness.stored.insert(1, progress);
    let second = StepSpec { after: vec![0], ..step(2, 1) };
    let job = submission(1, "normal", vec![step(TASKS, 1), second]);
    let mut harness = harness.fail_over(2, &[job]);
    harness.run_until_idle();
    let first = harness.starts[0].clone();
    assert_eq!(first.target.task.step, 1);
    harness.end_task(&first, EndReason::Done);
    harness.advance(Duration::from_millis(300));
    let written = serde_json::to_string(&harness.stored[&1]).expect("progress can be encoded");
    assert!(written.contains("[0,1000000]") && written.len() < 500, "{written}");
}
