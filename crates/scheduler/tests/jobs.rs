//! Jobs under one scheduler, from submission to the history.

use std::time::{Duration, Instant};

use crate::support::{TestCluster, gang};
use futures::future::join_all;
use lacewingrail_model::job::{JobSpec, JobState, WorkClass};
use lacewingrail_model::shape::AdjacencyLevel;
use lacewingrail_standins::worker_fleet::faults::{WorkerFaults, WorkerSelection};

const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Guards against a scheduler that does not place a job, does not notice its end, or runs some of
/// its members alone.
#[tokio::test(flavor = "multi_thread")]
async fn a_gang_runs_with_all_members_and_finishes() {
    let cluster = TestCluster::new(1, 3).await;
    let host = cluster.start("a", 0).await;
    host.wait_schedules("a", WAIT_TIMEOUT).await;
    cluster.submit("a", "job-1", gang(3, 8, 1_000)).await;
    let started = cluster.wait_running("job-1", 3, WAIT_TIMEOUT).await;
    let record = cluster.wait_ended("job-1", WAIT_TIMEOUT).await;
    println!("started after {started:?}");
    assert_eq!(record.state, JobState::Finished);
    assert_eq!(record.attempt, 1);
    assert!(cluster.record("job-1").await.is_none(), "the record moved to the history");
    cluster.assert_invariants();
}

/// Guards against a burst of cancellations that blocks starts or leaves records or tasks behind.
#[tokio::test(flavor = "multi_thread")]
async fn many_cancellations_do_not_block_starts() {
    let cluster = TestCluster::new(1, 12).await;
    let host = cluster.start("a", 0).await;
    host.wait_schedules("a", WAIT_TIMEOUT).await;
    for index in 0..400 {
        cluster.submit("a", &format!("job-{index}"), gang(1, 1, 60_000)).await;
    }
    let started_at = Instant::now();
    while cluster.running_members() < 96 {
        assert!(
            started_at.elapsed() < WAIT_TIMEOUT,
            "the domain fills: {}",
            cluster.running_members()
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    println!("96 gangs run after {:?}", started_at.elapsed());
    let started_at = Instant::now();
    join_all((0..400).map(|index| {
        let cluster = &cluster;
        async move { cluster.cancel(&format!("job-{index}")).await }
    }))
    .await;
    cluster.submit("a", "job-next", gang(12, 8, 300)).await;
    let waited = cluster.wait_running("job-next", 12, WAIT_TIMEOUT).await;
    println!("400 cancelled, and the next gang runs {waited:?} later");
    while cluster.stored_jobs("a").await > 0 {
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "the records are moved to the history");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    println!("all jobs are in the history {:?} after the first cancellation", started_at.elapsed());
    let history = cluster.history().await;
    assert_eq!(history.len(), 401);
    let cancelled = history.iter().filter(|record| record.state == JobState::Cancelled);
    assert_eq!(cancelled.count(), 400);
    cluster.assert_invariants();
}

/// Guards against a guaranteed or urgent job that waits for borrowers longer than 6.4 s, and
/// against borrowers that lose their checkpointed work.
#[tokio::test(flavor = "multi_thread")]
async fn a_guaranteed_gang_preempts_borrowers() {
    let extra = "customers:\n  bank:\n    quota: 400\n    guarantees:\n      - { domain: a, \
                 shape: { members: 3, accelerators: 8, adjacency: rack } }\n  shop: { quota: 400 }\n";
    let cluster = TestCluster::with_tree(1, 3, extra).await;
    let host = cluster.start("a", 0).await;
    host.wait_schedules("a", WAIT_TIMEOUT).await;
    for index in 0..6 {
        let spec = JobSpec { customer: "shop".to_owned(), ..gang(1, 4, 6_000) };
        cluster.submit("a", &format!("borrower-{index}"), spec).await;
    }
    for index in 0..6 {
        cluster.wait_running(&format!("borrower-{index}"), 1, WAIT_TIMEOUT).await;
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let mut spec = gang(3, 8, 1_000);
    spec.shape.adjacency = AdjacencyLevel::Rack;
    let urgent = JobSpec { class: WorkClass::Urgent, ..spec };
    cluster.submit("a", "urgent", urgent).await;
    let started = cluster.wait_running("urgent", 3, Duration::from_millis(6_400)).await;
    println!("the guaranteed gang runs after {started:?}");
    let borrower = cluster.record("borrower-0").await.expect("a record");
    assert_eq!(borrower.preemptions, 1);
    assert!(
        borrower.checkpoint_ms >= 1_500,
        "the checkpointed work is preserved: {}",
        borrower.checkpoint_ms
    );
    for index in 0..6 {
        let record =
            cluster.wait_ended(&format!("borrower-{index}"), Duration::from_secs(20)).await;
        assert_eq!((record.state, record.attempt), (JobState::Finished, 2));
    }
    cluster.assert_invariants();
}

/// Guards against a rebuild that takes longer than 2 s at target size, including with workers that
/// do not answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_domain_of_target_size_is_rebuilt() {
    let cluster = TestCluster::new(1, 127).await;
    let mut first = cluster.start("a", 0).await;
    first.wait_schedules("a", WAIT_TIMEOUT).await;
    for index in 0..240 {
        cluster.submit("a", &format!("job-{index}"), gang(4, 1, 60_000)).await;
    }
    let started_at = Instant::now();
    while cluster.running_members() < 960 {
        assert!(
            started_at.elapsed() < Duration::from_secs(20),
            "{} members run",
            cluster.running_members()
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    println!("240 gangs of 4 run after {:?}", started_at.elapsed());
    for worker in ["a-w003", "a-w077"] {
        let faults = WorkerFaults { silent: true, ..WorkerFaults::default() };
        cluster.fleet.set_faults(&WorkerSelection::worker(worker), faults);
    }
    first.crash();
    let second = cluster.start("a", 1).await;
    second.wait_schedules("a", Duration::from_secs(8)).await;
    let text = second.process().registry().encode();
    let sum = text.lines().find_map(|line| line.strip_prefix("lacewingrail_rebuild_seconds_sum "));
    let seconds: f64 = sum.expect("the metric").parse().expect("a number");
    println!("the rebuild took {seconds} s");
    assert!(seconds < 2.0);
    tokio::time::sleep(Duration::from_secs(6)).await;
    assert!(
        cluster.running_members() > 800,
        "running gangs are adopted: {} members",
        cluster.running_members()
    );
    cluster.assert_invariants();
}
