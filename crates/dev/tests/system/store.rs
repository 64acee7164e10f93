//! Outages of the key-value service.

use std::time::{Duration, Instant};

use lacewingrail_clients::StoreFaults;
use lacewingrail_dev::callers::TryOutcome;

use crate::support::cluster::{TestCluster, WORKERS_PER_DOMAIN, gang_spec};
use crate::support::eventually;
use crate::support::load::{TestLoad, assert_all_done};

/// Duration of the outage.
const OUTAGE_DURATION: Duration = Duration::from_secs(15);
/// Maximum delay from the submission of urgent work to its start.
const MAX_START_DELAY: Duration = Duration::from_millis(6_400);
/// Timeout until processes use the store again after the outage, during which leases expired.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(10);

/// Guards against a store outage that stops requests, running gangs or starts, and against a
/// request that ran although it was reported as not run.
///
/// Starts continue as long as all domains confirm that they cannot reach the store either.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_outage_of_the_store_stops_neither_requests_nor_gangs() {
    let mut cluster = TestCluster::start().await;
    let running = cluster.submit("s-c1", &gang_spec(2, &["b"], Duration::from_secs(20))).await;
    cluster.wait_running(&running, MAX_START_DELAY).await;
    let finishing = cluster
        .submit("s-c1", &gang_spec(WORKERS_PER_DOMAIN, &["c"], Duration::from_secs(6)))
        .await;
    cluster.wait_running(&finishing, MAX_START_DELAY).await;
    let waiting = cluster
        .submit("s-c1", &gang_spec(WORKERS_PER_DOMAIN, &["c"], Duration::from_secs(2)))
        .await;
    let load =
        TestLoad::start("outage", cluster.load_targets(&["e-a1", "e-a2", "e-b1", "e-c1"]), true);
    let warm_up_count = load.samples().len() + 50;
    eventually("requests are answered", MAX_START_DELAY, || load.samples().len() > warm_up_count)
        .await;
    let outage_started_at = Instant::now();
    cluster.store.store().set_faults(StoreFaults::outage());
    cluster.wait_finished(&finishing, Duration::from_secs(12)).await;
    eventually(
        "the waiting gang starts in the outage",
        OUTAGE_DURATION - outage_started_at.elapsed(),
        || cluster.count_running_members(&waiting.id) == WORKERS_PER_DOMAIN as usize,
    )
    .await;
    println!("the waiting gang started {:?} into the outage", outage_started_at.elapsed());
    tokio::time::sleep(OUTAGE_DURATION.saturating_sub(outage_started_at.elapsed())).await;
    assert_eq!(cluster.count_running_members(&running.id), 2, "the running gang must continue");
    cluster.store.store().set_faults(StoreFaults::default());
    let recovered_at = Instant::now();
    for job in [&running, &finishing, &waiting] {
        cluster.wait_finished(job, Duration::from_secs(20)).await;
        cluster.wait_recorded("s-a1", job, RECOVERY_TIMEOUT).await;
    }
    eventually("non-repeatable requests are answered again", RECOVERY_TIMEOUT, || {
        let samples = load.samples();
        samples.iter().any(|sample| {
            sample.sent_at > recovered_at
                && sample.key.is_some()
                && sample.outcome == TryOutcome::Done
        })
    })
    .await;
    let samples = load.stop().await;
    assert_all_done(&samples, "repeatable requests", |sample| sample.key.is_none());
    for sample in samples.iter().filter(|sample| sample.key.is_some()) {
        let key = sample.key.clone().unwrap_or_default();
        match &sample.outcome {
            TryOutcome::Wrong(cause) => panic!("{key}: {cause}"),
            TryOutcome::NotRun(_) => {
                assert_eq!(cluster.count_runs_of_key(&key), 0, "{key} was reported as not run")
            }
            TryOutcome::Done | TryOutcome::Unknown(_) => {}
        }
    }
    let refused = samples.iter().filter(|sample| matches!(sample.outcome, TryOutcome::NotRun(_)));
    assert!(refused.count() > 0, "non-repeatable requests must be refused during the outage");
    assert!(
        cluster.started_members(&running.id).iter().all(|run| run.member.attempt == 1),
        "the gang must not be restarted"
    );
    cluster.assert_invariants();
}
