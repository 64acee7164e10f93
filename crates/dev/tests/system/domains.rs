//! Failure domains that are partitioned or taken out of service.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use lacewingrail_dev::callers::TryOutcome;
use lacewingrail_standins::audit::find_late_starts;

use crate::settings::wait_for_settings;
use crate::support::cluster::{TestCluster, gang_spec, settings_tree};
use crate::support::eventually;
use crate::support::load::{TestLoad, assert_all_done};

/// Maximum delay from the submission of urgent work to its start.
const MAX_START_DELAY: Duration = Duration::from_millis(6_400);
/// Time for which tasks may still start in a domain after it is partitioned, including a message
/// delay.
const PARTITION_START_GRACE: Duration = Duration::from_millis(2_100);
/// Time for which tasks may still start in a domain after it was written as out of service.
const OUT_OF_SERVICE_START_GRACE: Duration = Duration::from_secs(3);
/// Duration of the partition.
const PARTITION_DURATION: Duration = Duration::from_secs(13);
/// Timeout until a domain uses current settings and the store again after a partition: silent
/// connections are replaced within 1.5 s, and the settings are polled every 10 s on average.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(11);

/// Guards against a partitioned domain that stops serving requests or starts tasks without
/// permission, and against one that does not use current settings after the partition.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_partitioned_domain_serves_requests_and_starts_no_task() {
    let mut cluster = TestCluster::start().await;
    // One gang runs during the whole partition, and one finishes during it.
    let long_gang = cluster.submit("s-a1", &gang_spec(2, &["b"], Duration::from_secs(22))).await;
    cluster.wait_running(&long_gang, MAX_START_DELAY).await;
    let short_gang = cluster.submit("s-a1", &gang_spec(2, &["b"], Duration::from_secs(7))).await;
    cluster.wait_running(&short_gang, MAX_START_DELAY).await;
    let waiting_gang = cluster.submit("s-a1", &gang_spec(2, &["b"], Duration::from_secs(1))).await;
    let partitioned_load = TestLoad::start("inner", cluster.load_targets(&["e-b1"]), true);
    let other_load =
        TestLoad::start("outer", cluster.load_targets(&["e-a1", "e-a2", "e-c1"]), true);
    eventually("requests are answered", MAX_START_DELAY, || partitioned_load.samples().len() > 50)
        .await;
    let (partitioned_at, partitioned_ms) = (Instant::now(), cluster.now_ms());
    cluster.partition("b");
    let accepted = cluster.admin("s-a1").put_tree(&settings_tree(&["during"]), 1).await;
    let version = accepted.unwrap_or_else(|error| panic!("the change failed: {error}"));
    cluster.wait_finished(&short_gang, Duration::from_secs(10)).await;
    assert!(
        partitioned_at.elapsed() < PARTITION_DURATION,
        "the gang must finish during the partition"
    );
    tokio::time::sleep(PARTITION_DURATION.saturating_sub(partitioned_at.elapsed())).await;
    let (healed_at, healed_ms) = (Instant::now(), cluster.now_ms());
    cluster.heal("b");
    let allocations = cluster.allocations();
    let no_violations: Vec<String> = Vec::new();
    assert_eq!(
        find_late_starts(&allocations, "b", partitioned_ms, PARTITION_START_GRACE, healed_ms),
        no_violations
    );
    let took = wait_for_settings(&cluster, version, "during", CATCH_UP_TIMEOUT).await;
    println!("the domain uses the new settings {took:?} after the partition");
    cluster.wait_finished(&waiting_gang, Duration::from_secs(20)).await;
    println!("the waiting gang finished {:?} after the partition", healed_at.elapsed());
    cluster.wait_finished(&long_gang, Duration::from_secs(30)).await;
    for job in [&long_gang, &short_gang, &waiting_gang] {
        cluster.wait_recorded("s-a1", job, MAX_START_DELAY).await;
        let attempts: BTreeSet<u32> =
            cluster.started_members(&job.id).iter().map(|run| run.member.attempt).collect();
        assert_eq!(attempts.len(), 1, "{} must run in a single attempt: {attempts:?}", job.id);
        // Once the partition heals, the scheduler of the old epoch may place the waiting gang in
        // an attempt that the workers refuse, so the attempt that runs may have a later number.
        if job.id != waiting_gang.id {
            assert!(attempts.contains(&1), "{} must not be restarted", job.id);
        }
    }
    eventually("non-repeatable requests are answered again", CATCH_UP_TIMEOUT, || {
        let samples = partitioned_load.samples();
        samples.iter().any(|sample| {
            sample.sent_at > healed_at && sample.key.is_some() && sample.outcome == TryOutcome::Done
        })
    })
    .await;
    let (partitioned_load, other_load) = (partitioned_load.stop().await, other_load.stop().await);
    assert_all_done(
        &partitioned_load,
        "repeatable requests within the partitioned domain",
        |sample| sample.key.is_none(),
    );
    assert_all_done(&other_load, "repeatable requests in the other domains", |sample| {
        sample.key.is_none()
    });
    let during_partition = partitioned_load.iter().filter(|sample| {
        sample.sent_at > partitioned_at && sample.sent_at < healed_at && sample.key.is_some()
    });
    for sample in during_partition {
        let key = sample.key.clone().unwrap_or_default();
        assert!(!matches!(sample.outcome, TryOutcome::Wrong(_)), "{sample:?}");
        if matches!(sample.outcome, TryOutcome::NotRun(_)) {
            assert_eq!(cluster.count_runs_of_key(&key), 0, "{key} was reported as not run");
        }
    }
    cluster.assert_invariants();
}

/// Guards against reporting a partitioned domain as out of service while it can still start tasks.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_partitioned_domain_out_of_service_starts_no_task() {
    let mut cluster = TestCluster::start().await;
    // Short jobs make the domain start tasks until its permission expires.
    let mut jobs = Vec::new();
    for _ in 0..30 {
        jobs.push(cluster.submit("s-a1", &gang_spec(1, &["b"], Duration::from_millis(700))).await);
    }
    let started = || jobs.iter().filter(|job| !cluster.started_members(&job.id).is_empty()).count();
    eventually("the domain starts jobs", MAX_START_DELAY, || started() >= 4).await;
    cluster.partition("b");
    let (requested_at, requested_ms) = (Instant::now(), cluster.now_ms());
    let change = cluster.admin("s-c1").set_out_of_service("b", true).await;
    let change =
        change.unwrap_or_else(|error| panic!("taking the domain out of service failed: {error}"));
    println!("accepted after {:?}: {}", requested_at.elapsed(), change.steps.join(", "));
    assert!(change.out && change.steps.iter().any(|step| step == "permission expired"));
    let waiting = jobs.len() - started();
    assert!(
        waiting > 0,
        "no job is waiting, so a late start is impossible and the test checks nothing"
    );
    // The domain is written as out of service after the request, so measuring from the request is
    // stricter.
    tokio::time::sleep(Duration::from_secs(8).saturating_sub(requested_at.elapsed())).await;
    let healed_ms = cluster.now_ms();
    cluster.heal("b");
    let no_violations: Vec<String> = Vec::new();
    assert_eq!(
        find_late_starts(
            &cluster.allocations(),
            "b",
            requested_ms,
            OUT_OF_SERVICE_START_GRACE,
            healed_ms
        ),
        no_violations
    );
    // After the partition the domain learns that it is out of service, and must not start tasks
    // until it returns to service.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let returned_ms = cluster.now_ms();
    assert_eq!(
        find_late_starts(
            &cluster.allocations(),
            "b",
            requested_ms,
            OUT_OF_SERVICE_START_GRACE,
            returned_ms
        ),
        no_violations
    );
    let change = cluster.admin("s-a1").set_out_of_service("b", false).await;
    change.unwrap_or_else(|error| panic!("returning the domain to service failed: {error}"));
    let timeout = Duration::from_secs(25);
    for job in &jobs {
        cluster.wait_finished(job, timeout).await;
    }
    for job in &jobs {
        cluster.wait_recorded("s-a1", job, MAX_START_DELAY).await;
    }
    cluster.assert_invariants();
}
