//! Failure domains that are taken out, partitioned, or without the store.

use std::time::{Duration, Instant};

use crate::support::faults::LinkState;
use crate::support::{TestCluster, gang};
use futures::future::join_all;
use lacewingrail_admin::{AdminContext, VetoOutcome};
use lacewingrail_clients::StoreFaults;
use lacewingrail_model::admin::{DomainAnswer, DomainQuery};
use lacewingrail_model::job::{JobRecord, JobSpec, JobState, OwnerChange};
use lacewingrail_standins::worker_fleet::faults::{WorkerFaults, WorkerSelection};

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Submits more jobs of 4 accelerators than the domain can run at once.
async fn submit_jobs(cluster: &TestCluster, domain: &str, count: u32, work_ms: u64) {
    for index in 0..count {
        let spec = JobSpec { domains: vec![domain.to_owned()], ..gang(1, 4, work_ms) };
        cluster.submit(domain, &format!("{domain}-{index}"), spec).await;
    }
}

/// Returns the number of members in a domain that started after `at_ms` of the fleet's clock.
fn starts_after(cluster: &TestCluster, domain: &str, at_ms: u64) -> usize {
    let records = cluster.fleet.journal().entries;
    let after = |started: Option<u64>| started.is_some_and(|started| started > at_ms);
    records.iter().filter(|record| record.domain == domain && after(record.started_ms)).count()
}

/// Guards against a start later than 3 s after a domain was taken out: with slow workers, with lost
/// answers, and when the domain can no longer read the store.
#[tokio::test(flavor = "multi_thread")]
async fn a_domain_is_taken_out_while_starts_are_in_progress() {
    join_all(["plain", "slow workers", "lost answers", "no store"].map(|fault| async move {
        let cluster = TestCluster::new(2, 3).await;
        let host = cluster.start("a", 0).await;
        let other = cluster.start("b", 1).await;
        host.wait_schedules("a", WAIT_TIMEOUT).await;
        other.wait_schedules("b", WAIT_TIMEOUT).await;
        match fault {
            "slow workers" => {
                let faults = WorkerFaults { delay_ms: 400, ..WorkerFaults::default() };
                cluster.fleet.set_faults(&WorkerSelection::domain("a"), faults);
            }
            "lost answers" => host.workers.lose_every_nth(3),
            _ => {}
        }
        submit_jobs(&cluster, "a", 60, 300).await;
        tokio::time::sleep(Duration::from_secs(3)).await;
        if fault == "no store" {
            host.store.set_link(LinkState::Disconnected);
        }
        let out_ms = cluster.set_out_of_service("a", true).await;
        let before = starts_after(&cluster, "a", 0);
        assert!(before > 0, "{fault}: the starts are in progress");
        tokio::time::sleep(Duration::from_secs(5)).await;
        cluster.assert_no_late_start("a", out_ms, u64::MAX);
        let queued = cluster.stored_jobs("a").await;
        assert!(queued > 0, "{fault}: jobs were waiting while the domain was out");
        println!("{fault}: {} starts after it was taken out", starts_after(&cluster, "a", out_ms));
        cluster.assert_invariants();
    }))
    .await;
}

/// Guards against a veto that is confirmed by a process which continues to start tasks.
#[tokio::test(flavor = "multi_thread")]
async fn a_veto_is_confirmed_by_the_active_scheduler() {
    let cluster = TestCluster::new(2, 3).await;
    let host = cluster.start("a", 0).await;
    let other = cluster.start("b", 1).await;
    host.wait_schedules("a", WAIT_TIMEOUT).await;
    other.wait_schedules("b", WAIT_TIMEOUT).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    submit_jobs(&cluster, "a", 20, 300).await;
    cluster.set_out_of_service("a", true).await;
    // The query is forwarded to the process that schedules the domain.
    let answer = other.process().admin().query_domain(&"a".to_owned(), DomainQuery::Status).await;
    let DomainAnswer::Status(status) = answer else { panic!("{answer:?}") };
    assert_eq!((status.epoch, status.workers), (host.epoch("a"), 3));
    let started_at = Instant::now();
    let outcome = other.process().admin().veto(&"a".to_owned(), 2).await;
    let confirmed_ms = cluster.fleet.now_ms();
    println!("{outcome:?} after {:?}", started_at.elapsed());
    let instance = host.process().membership().settings().instance.clone();
    assert_eq!(outcome, VetoOutcome::ConfirmedBy(instance));
    tokio::time::sleep(Duration::from_secs(4)).await;
    // A call that was in flight can still arrive within one message delay.
    assert_eq!(starts_after(&cluster, "a", confirmed_ms + 100), 0);
}

/// Guards against starts in a domain that alone lost the store, and against a halt of all starts
/// when every domain lost it.
#[tokio::test(flavor = "multi_thread")]
async fn a_partitioned_domain_stops_starts_and_a_store_outage_does_not() {
    let starts_disabled = "policy: { starts_during_store_outage: false }\n";
    join_all([("partition", ""), ("outage", ""), ("outage", starts_disabled)].map(
        |(fault, extra)| async move {
            let cluster = TestCluster::with_tree(2, 2, extra).await;
            let hosts = [cluster.start("a", 0).await, cluster.start("b", 1).await];
            hosts[0].wait_schedules("a", WAIT_TIMEOUT).await;
            hosts[1].wait_schedules("b", WAIT_TIMEOUT).await;
            submit_jobs(&cluster, "a", 80, 400).await;
            tokio::time::sleep(Duration::from_secs(3)).await;
            if fault == "partition" {
                hosts[0].store.set_link(LinkState::Disconnected);
                hosts[1].workers.disconnect("a-");
            } else {
                cluster
                    .store
                    .set_faults(StoreFaults { unavailable: true, ..StoreFaults::default() });
            }
            let fault_ms = cluster.fleet.now_ms();
            tokio::time::sleep(Duration::from_secs(8)).await;
            let late = starts_after(&cluster, "a", fault_ms + 3_000);
            println!("{fault} {extra:?}: {late} starts between 3 s and 8 s after the fault");
            match (fault, extra) {
                ("outage", "") => assert!(late > 0, "an outage of the store must not stop starts"),
                _ => assert_eq!(late, 0, "{fault} {extra:?}: starts stop"),
            }
            hosts.iter().for_each(|host| host.store.set_link(LinkState::Connected));
            hosts[1].workers.disconnect("none");
            cluster.store.set_faults(StoreFaults::default());
            for index in 0..80 {
                let record =
                    cluster.wait_ended(&format!("a-{index}"), Duration::from_secs(40)).await;
                assert_eq!(record.state, JobState::Finished);
            }
            assert_eq!(cluster.history().await.len(), 80);
            cluster.assert_invariants();
        },
    ))
    .await;
}

/// Guards against lost progress when a domain is taken out, and against jobs that are not started
/// again when it returns.
#[tokio::test(flavor = "multi_thread")]
async fn gangs_move_out_and_a_returned_domain_starts_jobs_again() {
    let cluster = TestCluster::new(2, 3).await;
    let host = cluster.start("a", 0).await;
    let other = cluster.start("b", 1).await;
    host.wait_schedules("a", WAIT_TIMEOUT).await;
    other.wait_schedules("b", WAIT_TIMEOUT).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    cluster.submit("a", "job-1", gang(3, 8, 8_000)).await;
    cluster.wait_running("job-1", 3, WAIT_TIMEOUT).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let started_at = Instant::now();
    cluster.set_out_of_service("a", true).await;
    let moved = async {
        while !cluster.running("job-1").iter().any(|record| record.domain == "b") {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, moved).await.expect("the gang moves");
    println!("the gang runs in the other domain after {:?}", started_at.elapsed());
    let record = cluster.record("job-1").await.expect("a record");
    assert!(record.checkpoint_ms >= 2_500, "progress is preserved: {}", record.checkpoint_ms);
    submit_jobs(&cluster, "a", 6, 200).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let returned_ms = cluster.set_out_of_service("a", false).await;
    for index in 0..6 {
        cluster.wait_ended(&format!("a-{index}"), WAIT_TIMEOUT).await;
    }
    assert!(starts_after(&cluster, "a", returned_ms) >= 6);
    assert_eq!(cluster.wait_ended("job-1", WAIT_TIMEOUT).await.state, JobState::Finished);
    cluster.assert_invariants();
}

/// Guards against jobs that wait in a full domain while another has free accelerators.
#[tokio::test(flavor = "multi_thread")]
async fn a_queued_job_moves_to_a_domain_with_free_accelerators() {
    let cluster = TestCluster::new(2, 1).await;
    let host = cluster.start("a", 0).await;
    let other = cluster.start("b", 1).await;
    host.wait_schedules("a", WAIT_TIMEOUT).await;
    other.wait_schedules("b", WAIT_TIMEOUT).await;
    cluster.submit("a", "job-1", gang(1, 8, 15_000)).await;
    cluster.wait_running("job-1", 1, WAIT_TIMEOUT).await;
    cluster.submit("a", "job-2", gang(1, 8, 500)).await;
    let record = cluster.wait_ended("job-2", Duration::from_secs(12)).await;
    assert_eq!((record.state, record.owner.as_str()), (JobState::Finished, "b"));
    assert_eq!(cluster.running("job-1").len(), 1);
    cluster.assert_invariants();
}

/// Guards against a job that runs twice because its domain is partitioned while its scheduler and
/// its workers continue, and against a job that is lost together with its domain.
#[tokio::test(flavor = "multi_thread")]
async fn a_partitioned_domain_keeps_its_gangs_and_a_lost_one_releases_them() {
    join_all(["partition", "lost"].map(|fault| async move {
        let cluster = TestCluster::new(2, 3).await;
        let mut host = cluster.start("a", 0).await;
        let other = cluster.start("b", 1).await;
        host.wait_schedules("a", WAIT_TIMEOUT).await;
        other.wait_schedules("b", WAIT_TIMEOUT).await;
        cluster.submit("a", "job-1", gang(3, 8, 34_000)).await;
        cluster.wait_running("job-1", 3, WAIT_TIMEOUT).await;
        if fault == "partition" {
            host.store.set_link(LinkState::Disconnected);
            other.workers.disconnect("a-");
        } else {
            host.crash();
            let faults = WorkerFaults { dead: true, ..WorkerFaults::default() };
            cluster.fleet.set_faults(&WorkerSelection::domain("a"), faults);
        }
        other.wait_schedules("a", Duration::from_secs(12)).await;
        tokio::time::sleep(Duration::from_secs(14)).await;
        if fault == "partition" {
            assert_eq!(cluster.running("job-1").len(), 3, "the partitioned domain keeps its gang");
            // Reconnect the workers first, so that the new scheduler of the domain finds the gang.
            other.workers.disconnect("none");
            let record = cluster.wait_ended("job-1", WAIT_TIMEOUT).await;
            assert_eq!((record.state, record.attempt), (JobState::Finished, 1));
        } else {
            assert!(cluster.running("job-1").is_empty(), "the domain is not known to be lost");
            cluster.set_out_of_service("a", true).await;
            let waited = cluster.wait_running("job-1", 3, WAIT_TIMEOUT).await;
            println!("the job of the lost domain runs {waited:?} after it was taken out");
        }
        cluster.assert_invariants();
    }))
    .await;
}

/// Guards against a job that runs after its cancellation, because it was cancelled before its new
/// domain confirmed the arrival and the former record still existed.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_is_cancelled_during_its_handover() {
    let cluster = TestCluster::new(2, 1).await;
    cluster.submit("b", "job-1", gang(1, 8, 300)).await;
    // The records after steps 1 and 2 of a handover.
    let former = cluster.record("job-1").await.expect("a record");
    let former = JobRecord { owner: "a".to_owned(), ..former };
    let arrival = Some(OwnerChange { from: "b".to_owned(), confirmed: false });
    cluster.overwrite("b", &former).await;
    cluster.create("a", &JobRecord { arrival, ..former }).await;
    cluster.cancel("job-1").await;
    let hosts = [cluster.start("a", 0).await, cluster.start("b", 1).await];
    hosts[0].wait_schedules("a", WAIT_TIMEOUT).await;
    let record = cluster.wait_ended("job-1", WAIT_TIMEOUT).await;
    assert_eq!((record.state, record.attempt), (JobState::Cancelled, 0));
    assert_eq!(cluster.stored_jobs("a").await + cluster.stored_jobs("b").await, 0);
}
