//! Failure domains that are taken out, cut off, or without the store.

use std::time::{Duration, Instant};

use crate::support::gates::GateState;
use crate::support::{Bench, gang};
use futures::future::join_all;
use lacewingrail_admin::{AdminContext, VetoOutcome};
use lacewingrail_clients::StoreFaults;
use lacewingrail_model::admin::{DomainAnswer, DomainQuery};
use lacewingrail_model::job::{JobArrival, JobRecord, JobSpec, JobState};
use lacewingrail_standins::worker_fleet::faults::{WorkerFaults, WorkerSelection};

const LIMIT: Duration = Duration::from_secs(20);

/// Submits small jobs of a domain, more than fit at once.
async fn submit_stream(bench: &Bench, domain: &str, count: u32, work_ms: u64) {
    for index in 0..count {
        let spec = JobSpec { domains: vec![domain.to_owned()], ..gang(1, 4, work_ms) };
        bench.submit(domain, &format!("{domain}-{index}"), spec).await;
    }
}

/// Returns the number of members that started after a time of the fleet's clock.
fn starts_after(bench: &Bench, domain: &str, at_ms: u64) -> usize {
    let records = bench.fleet.journal().entries;
    let after = |started: Option<u64>| started.is_some_and(|started| started > at_ms);
    records.iter().filter(|record| record.domain == domain && after(record.started_ms)).count()
}

/// Guards against a start later than 3 s after a take-out: with slow workers, with lost answers, and
/// when the domain cannot read the store any more.
#[tokio::test(flavor = "multi_thread")]
async fn a_domain_is_taken_out_while_starts_are_in_progress() {
    join_all(["plain", "slow workers", "lost answers", "cut off"].map(|fault| async move {
        let bench = Bench::new(2, 3).await;
        let host = bench.start("a", 0).await;
        let other = bench.start("b", 1).await;
        host.wait_schedules("a", LIMIT).await;
        other.wait_schedules("b", LIMIT).await;
        match fault {
            "slow workers" => {
                let faults = WorkerFaults { delay_ms: 400, ..WorkerFaults::default() };
                bench.fleet.set_faults(&WorkerSelection::domain("a"), faults);
            }
            "lost answers" => host.workers.lose_every(3),
            _ => {}
        }
        submit_stream(&bench, "a", 60, 300).await;
        tokio::time::sleep(Duration::from_secs(3)).await;
        if fault == "cut off" {
            host.store.set(GateState::Cut);
        }
        let out_ms = bench.set_out("a", true).await;
        let before = starts_after(&bench, "a", 0);
        assert!(before > 0, "{fault}: the starts are in progress");
        tokio::time::sleep(Duration::from_secs(5)).await;
        bench.assert_no_late_start("a", out_ms, u64::MAX);
        let queued = bench.store_jobs("a").await;
        assert!(queued > 0, "{fault}: jobs were waiting while the domain was out");
        println!("{fault}: {} starts after the take-out", starts_after(&bench, "a", out_ms));
        bench.assert_truth();
    }))
    .await;
}

/// Guards against a confirmation of a take-out by a process that goes on starting tasks.
#[tokio::test(flavor = "multi_thread")]
async fn a_veto_is_confirmed_by_the_active_scheduler() {
    let bench = Bench::new(2, 3).await;
    let host = bench.start("a", 0).await;
    let other = bench.start("b", 1).await;
    host.wait_schedules("a", LIMIT).await;
    other.wait_schedules("b", LIMIT).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    submit_stream(&bench, "a", 20, 300).await;
    bench.set_out("a", true).await;
    // The question is forwarded to the process that schedules the domain.
    let answer = other.process().admin().ask(&"a".to_owned(), DomainQuery::Status).await;
    let DomainAnswer::Status(status) = answer else { panic!("{answer:?}") };
    assert_eq!((status.epoch, status.workers), (host.epoch("a"), 3));
    let begun = Instant::now();
    let outcome = other.process().admin().veto(&"a".to_owned(), 2).await;
    let confirmed_ms = bench.fleet.now_ms();
    println!("{outcome:?} after {:?}", begun.elapsed());
    let instance = host.process().membership().settings().instance.clone();
    assert_eq!(outcome, VetoOutcome::ConfirmedBy(instance));
    tokio::time::sleep(Duration::from_secs(4)).await;
    // A call that was on its way may still arrive within one message delay.
    assert_eq!(starts_after(&bench, "a", confirmed_ms + 100), 0);
}

/// Guards against starts in a domain that is merely cut from the store, and against a halt of all
/// starts when the store is out for every domain.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_domain_stops_starts_and_an_outage_does_not() {
    let closed = "policy: { starts_during_store_outage: false }\n";
    join_all([("cut", ""), ("outage", ""), ("outage", closed)].map(|(fault, extra)| async move {
        let bench = Bench::with_tree(2, 2, extra).await;
        let hosts = [bench.start("a", 0).await, bench.start("b", 1).await];
        hosts[0].wait_schedules("a", LIMIT).await;
        hosts[1].wait_schedules("b", LIMIT).await;
        submit_stream(&bench, "a", 80, 400).await;
        tokio::time::sleep(Duration::from_secs(3)).await;
        if fault == "cut" {
            hosts[0].store.set(GateState::Cut);
            hosts[1].workers.cut_off("a-");
        } else {
            bench.store.set_faults(StoreFaults { unavailable: true, ..StoreFaults::default() });
        }
        let cut_ms = bench.fleet.now_ms();
        tokio::time::sleep(Duration::from_secs(8)).await;
        let late = starts_after(&bench, "a", cut_ms + 3_000);
        println!("{fault} {extra:?}: {late} starts between 3 s and 8 s after it");
        match (fault, extra) {
            ("outage", "") => assert!(late > 0, "an outage of the store stops no starts"),
            _ => assert_eq!(late, 0, "{fault} {extra:?}: starts stop"),
        }
        hosts.iter().for_each(|host| host.store.set(GateState::Open));
        hosts[1].workers.cut_off("none");
        bench.store.set_faults(StoreFaults::default());
        for index in 0..80 {
            let record = bench.wait_ended(&format!("a-{index}"), Duration::from_secs(40)).await;
            assert_eq!(record.state, JobState::Finished);
        }
        assert_eq!(bench.history().await.len(), 80);
        bench.assert_truth();
    }))
    .await;
}

/// Guards against lost progress when a domain is taken out, and against a burst of starts when it
/// returns.
#[tokio::test(flavor = "multi_thread")]
async fn gangs_move_and_the_domain_fills_again() {
    let bench = Bench::new(2, 3).await;
    let host = bench.start("a", 0).await;
    let other = bench.start("b", 1).await;
    host.wait_schedules("a", LIMIT).await;
    other.wait_schedules("b", LIMIT).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    bench.submit("a", "job-1", gang(3, 8, 8_000)).await;
    bench.wait_running("job-1", 3, LIMIT).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let begun = Instant::now();
    bench.set_out("a", true).await;
    let moved = async {
        while !bench.running("job-1").iter().any(|record| record.domain == "b") {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(LIMIT, moved).await.expect("the gang moves");
    println!("the gang runs in the other domain after {:?}", begun.elapsed());
    let record = bench.record("job-1").await.expect("a record");
    assert!(record.checkpoint_ms >= 2_500, "progress is kept: {}", record.checkpoint_ms);
    submit_stream(&bench, "a", 6, 200).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let back_ms = bench.set_out("a", false).await;
    for index in 0..6 {
        bench.wait_ended(&format!("a-{index}"), LIMIT).await;
    }
    assert!(starts_after(&bench, "a", back_ms) >= 6);
    assert_eq!(bench.wait_ended("job-1", LIMIT).await.state, JobState::Finished);
    bench.assert_truth();
}

/// Guards against jobs that wait in a full domain while another has room.
#[tokio::test(flavor = "multi_thread")]
async fn a_waiting_job_goes_where_room_is() {
    let bench = Bench::new(2, 1).await;
    let host = bench.start("a", 0).await;
    let other = bench.start("b", 1).await;
    host.wait_schedules("a", LIMIT).await;
    other.wait_schedules("b", LIMIT).await;
    bench.submit("a", "job-1", gang(1, 8, 15_000)).await;
    bench.wait_running("job-1", 1, LIMIT).await;
    bench.submit("a", "job-2", gang(1, 8, 500)).await;
    let record = bench.wait_ended("job-2", Duration::from_secs(12)).await;
    assert_eq!((record.state, record.owner.as_str()), (JobState::Finished, "b"));
    assert_eq!(bench.running("job-1").len(), 1);
    bench.assert_truth();
}

/// Guards against a job that runs twice because its domain is cut off while its scheduler and its
/// workers go on, and against a job that is lost with its domain.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_domain_keeps_its_gangs_and_a_lost_one_frees_them() {
    join_all(["cut", "lost"].map(|fault| async move {
        let bench = Bench::new(2, 3).await;
        let mut host = bench.start("a", 0).await;
        let other = bench.start("b", 1).await;
        host.wait_schedules("a", LIMIT).await;
        other.wait_schedules("b", LIMIT).await;
        bench.submit("a", "job-1", gang(3, 8, 34_000)).await;
        bench.wait_running("job-1", 3, LIMIT).await;
        if fault == "cut" {
            host.store.set(GateState::Cut);
            other.workers.cut_off("a-");
        } else {
            host.crash();
            let faults = WorkerFaults { dead: true, ..WorkerFaults::default() };
            bench.fleet.set_faults(&WorkerSelection::domain("a"), faults);
        }
        other.wait_schedules("a", Duration::from_secs(12)).await;
        tokio::time::sleep(Duration::from_secs(14)).await;
        if fault == "cut" {
            assert_eq!(bench.running("job-1").len(), 3, "the gang goes on in the cut domain");
            // The workers come back first, so that the new scheduler of the domain finds the gang.
            other.workers.cut_off("none");
            let record = bench.wait_ended("job-1", LIMIT).await;
            assert_eq!((record.state, record.attempt), (JobState::Finished, 1));
        } else {
            assert!(bench.running("job-1").is_empty(), "nobody knows that the domain is lost");
            bench.set_out("a", true).await;
            let waited = bench.wait_running("job-1", 3, LIMIT).await;
            println!("the job of the lost domain runs {waited:?} after the take-out");
        }
        bench.assert_truth();
    }))
    .await;
}

/// Guards against a job that comes back after its cancellation, because it was cancelled while its
/// new domain could not complete its arrival and the former record remained.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_is_cancelled_while_it_arrives() {
    let bench = Bench::new(2, 1).await;
    bench.submit("b", "job-1", gang(1, 8, 300)).await;
    // Steps 1 and 2 of the change of owner, as the former owner leaves them.
    let former = bench.record("job-1").await.expect("a record");
    let former = JobRecord { owner: "a".to_owned(), ..former };
    let arrival = Some(JobArrival { from: "b".to_owned(), confirmed: false });
    bench.overwrite("b", &former).await;
    bench.create("a", &JobRecord { arrival, ..former }).await;
    bench.cancel("job-1").await;
    let hosts = [bench.start("a", 0).await, bench.start("b", 1).await];
    hosts[0].wait_schedules("a", LIMIT).await;
    let record = bench.wait_ended("job-1", LIMIT).await;
    assert_eq!((record.state, record.attempt), (JobState::Cancelled, 0));
    assert_eq!(bench.store_jobs("a").await + bench.store_jobs("b").await, 0);
}
