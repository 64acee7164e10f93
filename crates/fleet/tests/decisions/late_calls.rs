//! Calls that take effect late, or in another incarnation of their worker than was meant.

use std::time::Duration;

use lacewingrail_fleet::order::RenewOrder;
use lacewingrail_fleet::{
    EndReason, FleetEvent, FleetOrder, JobPhase, JobSubmission, PlannerSettings, StartOrder,
    StartOutcome, TaskKey, TaskRun, WorkerListing,
};

use crate::harness::{
    PERIOD, PlannerHarness, SimulatedWorker, listing, recurring, settings, step, submission,
};

/// Time for which the answer to a call is awaited.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Restarts the only worker; the list of workers does not show it yet.
fn restart_worker(harness: &mut PlannerHarness) {
    let incarnation = harness.workers["w0"].incarnation + 1;
    let reborn = SimulatedWorker { incarnation, ..SimulatedWorker::default() };
    harness.workers.insert("w0".to_owned(), reborn);
}

/// Guards against an acknowledgement of a former incarnation's end that makes the present one
/// forget an end that no report has named: its task was once done twice (review case 6).
#[test]
fn acknowledgement_meets_no_end_of_the_next_incarnation() {
    let mut harness = PlannerHarness::new(1, vec![listing("w0", "north", "r1")]);
    harness.submit(recurring(harness.now, 2, 1));
    harness.submit(submission(2, "normal", vec![step(1, 1)]));
    let (first, other) = (harness.starts[0].clone(), harness.starts[1].clone());
    harness.end_task(&first, EndReason::Done);
    harness.advance(PERIOD - Duration::from_millis(400));
    harness.store_unavailable = true;
    harness.end_task(&other, EndReason::Done);
    harness.advance(Duration::from_millis(100));
    restart_worker(&mut harness);
    harness.advance(Duration::from_millis(400));
    let second = harness.starts[2].clone();
    assert_eq!(second.target.task.occurrence, 1);
    harness.end_task(&second, EndReason::Done);
    harness.store_unavailable = false;
    harness.advance(Duration::from_secs(3));
    assert_eq!(harness.starts.len(), 3, "no task is started again");
}

/// Guards against a job that runs although it was cancelled before its submission was read, and
/// against cancellations without a job that stay in the store for good.
#[test]
fn cancellation_waits_for_its_job_and_is_then_deleted() {
    let mut harness = PlannerHarness::new(1, vec![listing("w0", "north", "r1")]);
    let retention = settings(1).ended_job_retention;
    harness.apply_event(FleetEvent::JobCancelled(1));
    harness.apply_event(FleetEvent::JobCancelled(2));
    harness.now += retention - Duration::from_secs(1);
    harness.store_unavailable = true;
    harness.submit(submission(1, "normal", vec![step(1, 1)]));
    assert!(harness.starts.is_empty());
    assert_eq!(harness.planner.job(1).map(|job| job.phase), Some(JobPhase::Cancelled));
    assert!(harness.removals.is_empty());
    harness.now += Duration::from_secs(1);
    harness.run_until_idle();
    assert_eq!(harness.removals, [2]);
}

/// Runs the planner for a time without delivering acknowledgements; returns the first of them.
fn hold_acknowledgements(harness: &mut PlannerHarness, duration: Duration) -> Option<RenewOrder> {
    let end = harness.now + duration;
    let mut held = None;
    while harness.now < end {
        harness.now += Duration::from_millis(10);
        for order in harness.planner.plan(harness.now) {
            match order {
                FleetOrder::Renew(order) if order.acknowledge > 0 => held = held.or(Some(order)),
                order => harness.execute(order),
            }
        }
    }
    held
}

/// Returns a harness in which a start has followed an acknowledgement that is still under way.
fn start_after_acknowledgement() -> (PlannerHarness, RenewOrder) {
    let mut harness = PlannerHarness::new(1, vec![listing("w0", "north", "r1")]);
    harness.submit(recurring(harness.now, 2, 1));
    let first = harness.starts[0].clone();
    harness.end_task(&first, EndReason::Done);
    let acknowledgement = hold_acknowledgements(&mut harness, PERIOD + Duration::from_millis(200));
    assert_eq!(harness.starts.len(), 2, "the second occurrence has started");
    (harness, acknowledgement.expect("the first end is acknowledged"))
}

/// Guards against an acknowledgement that is carried out late, by an incarnation that has ended a
/// later run: it would forget that end.
#[test]
fn start_outranks_an_acknowledgement_under_way() {
    let (harness, acknowledgement) = start_after_acknowledgement();
    assert!(harness.starts[1].target.token > acknowledgement.token);
}

/// Guards against a scheduler that gives up the leadership because a call of its own has overtaken
/// another one, and against one that keeps it although another scheduler has led since.
#[test]
fn only_a_higher_token_of_another_scheduler_ends_the_leadership() {
    let (mut harness, acknowledgement) = start_after_acknowledgement();
    let refusal =
        FleetEvent::RenewalUnanswered { worker: acknowledgement.worker, stale_token: true };
    harness.apply_event(refusal.clone());
    harness.run_until_idle();
    assert!(!harness.stepped_down, "the start has overtaken the acknowledgement");
    harness.advance(Duration::from_secs(1));
    assert!(harness.workers["w0"].ended.is_empty(), "the end is acknowledged again");
    harness.apply_event(refusal);
    harness.run_until_idle();
    assert!(harness.stepped_down, "no call of this scheduler has a higher token");
}

/// Submits a job and returns its start order, which is under way for a time. Meanwhile no renewal is
/// answered.
fn delay_start(harness: &mut PlannerHarness, job: JobSubmission, delay: Duration) -> StartOrder {
    harness.accept(job);
    let end = harness.now + delay;
    let mut delayed = None;
    while harness.now < end {
        harness.now += Duration::from_millis(10);
        for order in harness.planner.plan(harness.now) {
            match order {
                FleetOrder::Start(order) => delayed = Some(order),
                FleetOrder::Renew(_) => {}
                order => harness.execute(order),
            }
        }
    }
    delayed.expect("the job starts")
}

/// Guards against a task that starts elsewhere while it still runs: a worker that has started again
/// counts the lease in a start from the arrival of the order, not from its sending.
#[test]
fn lease_counts_from_the_answer_to_a_start() {
    let workers = ["w0", "w1"].map(|id| listing(id, "north", "r1"));
    let mut harness = PlannerHarness::new(1, workers.to_vec());
    let job = submission(1, "normal", vec![step(1, 1)]);
    let order = delay_start(&mut harness, job, Duration::from_millis(600));
    let worker = order.target.worker.clone();
    harness.execute(FleetOrder::Start(order));
    let answered = harness.now;
    harness.workers.entry(worker).and_modify(|worker| worker.unresponsive = true);
    while harness.starts.len() < 2 {
        harness.advance(Duration::from_millis(100));
    }
    assert!(harness.now - answered > settings(1).lease_duration);
}

/// Guards against a renewal that keeps runs of a later incarnation alive for longer than the
/// scheduler counts, since it is carried out late there.
#[test]
fn renewal_extends_no_lease_until_all_starts_are_located() {
    let mut harness = PlannerHarness::new(1, vec![listing("w0", "north", "r1")]);
    harness.accept(submission(1, "normal", vec![step(1, 1)]));
    let mut leases = Vec::new();
    while leases.len() < 3 {
        harness.now += Duration::from_millis(10);
        for order in harness.planner.plan(harness.now) {
            if let FleetOrder::Renew(order) = &order
                && !harness.starts.is_empty()
            {
                leases.push(order.lease_end.is_some());
            }
            harness.execute(order);
        }
    }
    assert_eq!(leases, [false, true, true], "the first report names the run");
}

/// Guards against an acknowledgement that meets the end of a start without an answer, which a later
/// incarnation may have carried out: neither the answer to a stop nor that to a repeated start tells
/// that it won't.
#[test]
fn acknowledgement_waits_until_a_start_without_an_answer_is_too_old() {
    let mut harness = PlannerHarness::new(1, vec![listing("w0", "north", "r1")]);
    harness.submit(submission(1, "normal", vec![step(1, 1)]));
    let running = harness.starts[0].clone();
    let job = submission(2, "normal", vec![step(1, 1)]);
    let sent = harness.now;
    lose_first_start(&mut harness, job);
    harness.end_task(&running, EndReason::Done);
    while harness.now - sent < settings(1).max_order_delay {
        harness.now += Duration::from_millis(10);
        for order in harness.planner.plan(harness.now) {
            if let FleetOrder::Renew(order) = &order {
                assert_eq!(order.acknowledge, 0, "{:?} after the start", harness.now - sent);
            }
            harness.execute(order);
        }
    }
    assert_eq!(harness.stored[&1].phase, JobPhase::Completed, "an acknowledgement is due");
    harness.advance(Duration::from_secs(1));
    assert!(harness.workers["w0"].ended.is_empty(), "all ends are acknowledged");
}

/// Lets every worker answer all calls but the first start, which is returned; time passes until the
/// planner has dealt with that.
fn lose_first_start(harness: &mut PlannerHarness, job: JobSubmission) -> StartOrder {
    let lost = delay_start(harness, job, Duration::from_millis(20));
    let TaskRun { worker, task, run, .. } = lost.target.clone();
    let outcome = StartOutcome::Unclear;
    harness.now += CALL_TIMEOUT;
    let renewal = FleetEvent::RenewalUnanswered { worker: worker.clone(), stale_token: false };
    harness.apply_event(renewal);
    harness.apply_event(FleetEvent::StartAnswered { worker, task, run, outcome });
    harness.advance(Duration::from_secs(2));
    lost
}

/// Returns the workers that run a task.
fn holders(harness: &PlannerHarness, task: TaskKey) -> Vec<&str> {
    let runs = |worker: &SimulatedWorker| worker.running.keys().any(|(other, _)| *other == task);
    let workers = harness.workers.iter().filter(|(_, worker)| runs(worker));
    workers.map(|(id, _)| id.as_str()).collect()
}

/// Guards against a task that runs twice because a start without an answer reaches the next
/// incarnation of its worker before any newer call does (review case 15), however late it comes.
#[test]
fn late_start_in_the_next_incarnation_is_the_only_run() {
    for outage in [0, 500, 1000, 5000, 9000].map(Duration::from_millis) {
        let workers = ["w0", "w1"].map(|id| listing(id, "north", "r1"));
        let mut harness = PlannerHarness::new(1, workers.to_vec());
        let job = submission(1, "normal", vec![step(1, 1)]);
        let lost = lose_first_start(&mut harness, job);
        let TaskRun { worker, task, run, .. } = lost.target;
        assert!(!holders(&harness, task).is_empty(), "the task is at work again");
        let incarnation = harness.workers[&worker].incarnation + 1;
        let crashed =
            SimulatedWorker { incarnation, unresponsive: true, ..SimulatedWorker::default() };
        harness.workers.insert(worker.clone(), crashed);
        harness.advance(outage);
        let now = harness.now;
        harness.workers.entry(worker.clone()).and_modify(|worker| {
            worker.running.insert((task, run), now);
            worker.unresponsive = false;
        });
        for _ in 0..200 {
            assert!(holders(&harness, task).len() <= 1, "after {outage:?}: {:?}", harness.now);
            harness.advance(Duration::from_millis(100));
        }
        assert_eq!(holders(&harness, task).len(), 1, "after {outage:?}: the task runs");
    }
}

/// Guards against a task that waits for good for a start that can't be carried out any more.
#[test]
fn task_starts_elsewhere_once_its_order_is_too_old() {
    let workers = ["w0", "w1"].map(|id| listing(id, "north", "r1"));
    let mut harness = PlannerHarness::new(1, workers.to_vec());
    let sent = harness.now;
    let job = submission(1, "normal", vec![step(1, 1)]);
    let TaskRun { worker, task, .. } = lose_first_start(&mut harness, job).target;
    harness.workers.entry(worker.clone()).and_modify(|worker| {
        worker.running.clear();
        worker.unresponsive = true;
    });
    let other = |harness: &PlannerHarness| holders(harness, task).iter().any(|id| *id != worker);
    while !other(&harness) {
        harness.advance(Duration::from_millis(100));
        assert!(harness.now - sent < Duration::from_secs(30), "the task starts elsewhere");
    }
    let PlannerSettings { max_order_delay, lease_duration, .. } = settings(1);
    let earliest = max_order_delay + lease_duration;
    assert!(harness.now - sent > earliest, "a late start may have lasted for a lease");
}

/// Guards against a run that is given up while its worker keeps it alive: an incarnation that the
/// scheduler does not know yet has started it, and a late start extends the lease there.
#[test]
fn unlocated_run_outlasts_a_late_start_on_its_worker() {
    let mut harness = PlannerHarness::new(1, vec![listing("w0", "north", "r1")]);
    let job = submission(1, "normal", vec![step(1, 1)]);
    let TaskRun { worker, task, run, .. } = delay_start(&mut harness, job, CALL_TIMEOUT).target;
    let other = submission(2, "normal", vec![step(1, 1)]);
    let started = delay_start(&mut harness, other, Duration::from_millis(20));
    let outcome = StartOutcome::Unclear;
    let sent = harness.now;
    harness.apply_event(FleetEvent::StartAnswered { worker, task, run, outcome });
    harness.execute(FleetOrder::Start(started));
    harness.workers.entry("w0".to_owned()).and_modify(|worker| worker.unresponsive = true);
    harness.listings.push(listing("w1", "north", "r1"));
    harness.workers.insert("w1".to_owned(), SimulatedWorker::default());
    while harness.workers_started_on(2).len() < 2 {
        harness.advance(Duration::from_millis(100));
        assert!(harness.now - sent < Duration::from_secs(30), "the task starts elsewhere");
    }
    assert!(harness.now - sent > settings(1).max_order_delay, "{:?}", harness.now - sent);
}

/// Guards against a task that waits for a start which is too old, since its worker runs nothing and
/// is therefore not asked (a job on scale-2 of tanahku-inspect-grown started nothing for 23 s).
#[test]
fn idle_worker_is_asked_once_its_start_is_too_old() {
    let workers = ["w0", "w1"].map(|id| listing(id, "north", "r1"));
    let mut harness = PlannerHarness::new(1, workers.to_vec());
    let sent = harness.now;
    let job = submission(1, "normal", vec![step(1, 1)]);
    let TaskRun { worker, task, run, .. } =
        delay_start(&mut harness, job, Duration::from_millis(20)).target;
    let is_target = |listing: &&mut WorkerListing| listing.id == worker;
    harness.listings.iter_mut().filter(is_target).for_each(|listing| listing.draining = true);
    harness.run_until_idle();
    let renewal = FleetEvent::RenewalUnanswered { worker: worker.clone(), stale_token: false };
    harness.apply_event(renewal);
    let (id, outcome) = (worker.clone(), StartOutcome::Unclear);
    harness.apply_event(FleetEvent::StartAnswered { worker: id, task, run, outcome });
    let max_order_delay = settings(1).max_order_delay;
    while harness.now - sent < max_order_delay + Duration::from_millis(500) {
        harness.advance(Duration::from_millis(100));
        let is_open = harness.now - sent <= max_order_delay;
        assert!(!is_open || holders(&harness, task).is_empty(), "{:?}", harness.now - sent);
    }
    assert!(harness.stops.iter().any(|stop| stop.worker == worker), "a draining worker is left");
    assert_eq!(holders(&harness, task).len(), 1, "the task runs elsewhere");
}

/// Guards against a task that waits until its order is too old, since its worker was out of reach
/// for a moment: a start that is refused after one without an answer is ordered again.
#[test]
fn refused_start_is_repeated_after_one_without_an_answer() {
    let mut harness = PlannerHarness::new(1, vec![listing("w0", "north", "r1")]);
    let job = submission(1, "normal", vec![step(1, 1)]);
    let TaskRun { worker, task, run, .. } =
        delay_start(&mut harness, job, Duration::from_millis(20)).target;
    harness.workers.entry("w0".to_owned()).and_modify(|worker| worker.out_of_capacity = true);
    let renewal = FleetEvent::RenewalUnanswered { worker: worker.clone(), stale_token: false };
    harness.apply_event(renewal);
    let outcome = StartOutcome::Unclear;
    harness.apply_event(FleetEvent::StartAnswered { worker, task, run, outcome });
    harness.advance(Duration::from_millis(400));
    assert!(!harness.starts.is_empty() && holders(&harness, task).is_empty());
    harness.workers.entry("w0".to_owned()).and_modify(|worker| worker.out_of_capacity = false);
    harness.advance(Duration::from_secs(1));
    assert_eq!(holders(&harness, task), ["w0"]);
    assert!(harness.stops.is_empty());
}
