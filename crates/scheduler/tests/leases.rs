//! The scheduler lease, fencing, and store outages.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::support::faults::{FaultyStore, LinkState};
use crate::support::{TestCluster, gang};
use futures::future::join_all;
use lacewingrail_clients::{HttpWorkerClient, MemoryStore, StoreFaults};
use lacewingrail_model::job::JobState;
use lacewingrail_model::store::KeyValueService;
use lacewingrail_model::worker::{WorkerError, WorkerService};
use lacewingrail_model::write_id::WriteIdGenerator;
use lacewingrail_scheduler::lease::{self, AcquireOutcome, LeaseHolder};

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Guards against two holders at once, and against an epoch that does not increase, when many
/// processes compete and answers are lost.
#[tokio::test(flavor = "multi_thread")]
async fn at_most_one_process_acquires_the_lease() {
    let store = MemoryStore::new();
    let mut newest = 0;
    for round in 0..20 {
        let attempts = (0..8).map(|index| {
            let store = FaultyStore::new(Arc::new(store.clone()));
            store.lose_every_nth(if round % 2 == 0 { 0 } else { 3 + index });
            async move {
                let instance = format!("p{round}-{index}");
                let generator = WriteIdGenerator::new(instance.clone());
                let holder = LeaseHolder { instance, address: String::new() };
                lease::acquire(&store, &generator, "a", &holder).await
            }
        });
        let outcomes = join_all(attempts).await;
        let held: Vec<_> = outcomes
            .iter()
            .filter_map(|outcome| match outcome {
                Ok(AcquireOutcome::Acquired(held)) => Some(*held),
                _ => None,
            })
            .collect();
        assert!(held.len() <= 1, "round {round}: {held:?}");
        if let [held] = held[..] {
            assert!(held.epoch > newest, "epoch {} after {newest}", held.epoch);
            newest = held.epoch;
            store.revoke_lease(held.lease).await.expect("a revoked lease");
        }
    }
    assert!(newest >= 10, "the rounds without faults succeed");
}

/// Guards against a paused holder that starts or renews gangs after another process took over, and
/// against gangs that are lost in the takeover.
#[tokio::test(flavor = "multi_thread")]
async fn a_holder_is_paused_past_its_lease() {
    let cluster = TestCluster::new(1, 3).await;
    let first = cluster.start("a", 0).await;
    first.wait_schedules("a", WAIT_TIMEOUT).await;
    let second = cluster.start("a", 1).await;
    cluster.submit("a", "job-1", gang(3, 4, 12_000)).await;
    cluster.wait_running("job-1", 3, WAIT_TIMEOUT).await;
    first.store.set_link(LinkState::Paused);
    first.workers.set_link(LinkState::Paused);
    second.wait_schedules("a", Duration::from_secs(8)).await;
    assert!(second.epoch("a") > first.epoch("a"));
    let stale = HttpWorkerClient::new().report(&cluster.fleet.specs()[0], first.epoch("a")).await;
    assert_eq!(stale, Err(WorkerError::StaleEpoch { seen: second.epoch("a") }));
    cluster.submit("a", "job-2", gang(3, 4, 1_000)).await;
    cluster.wait_running("job-2", 3, WAIT_TIMEOUT).await;
    first.store.set_link(LinkState::Connected);
    first.workers.set_link(LinkState::Connected);
    let started_at = Instant::now();
    while first.schedules("a") {
        assert!(started_at.elapsed() < WAIT_TIMEOUT, "the former holder steps down");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    println!("the former holder stepped down {:?} after its pause", started_at.elapsed());
    for job in ["job-1", "job-2"] {
        let record = cluster.wait_ended(job, WAIT_TIMEOUT).await;
        assert_eq!((record.state, record.attempt), (JobState::Finished, 1), "{job}");
    }
    cluster.assert_invariants();
}

/// Guards against a slow takeover after a crash, and against a takeover after a graceful shutdown
/// that waits for the lease to expire.
#[tokio::test(flavor = "multi_thread")]
async fn a_successor_adopts_running_gangs() {
    let cluster = TestCluster::new(1, 3).await;
    let mut first = cluster.start("a", 0).await;
    first.wait_schedules("a", WAIT_TIMEOUT).await;
    let second = cluster.start("a", 1).await;
    let third = cluster.start("a", 2).await;
    cluster.submit("a", "job-1", gang(3, 8, 16_000)).await;
    cluster.wait_running("job-1", 3, WAIT_TIMEOUT).await;
    first.crash();
    let started_at = Instant::now();
    while !second.schedules("a") && !third.schedules("a") {
        assert!(started_at.elapsed() < Duration::from_secs(6), "a crash takes under 4 s + 2 s");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    println!("takeover {:?} after a crash", started_at.elapsed());
    let (holder, successor) = if second.schedules("a") { (second, third) } else { (third, second) };
    let started_at = Instant::now();
    holder.shut_down().await;
    successor.wait_schedules("a", Duration::from_secs(2)).await;
    println!("takeover {:?} after a shutdown began", started_at.elapsed());
    let record = cluster.wait_ended("job-1", WAIT_TIMEOUT).await;
    assert_eq!((record.state, record.attempt), (JobState::Finished, 1));
    cluster.assert_invariants();
}

/// Guards against running work that is lost in a store outage, both while the holder is alive and
/// after it crashed.
#[tokio::test(flavor = "multi_thread")]
async fn gangs_survive_a_store_outage_and_a_holder_crash() {
    let cluster = TestCluster::new(1, 3).await;
    let mut first = cluster.start("a", 0).await;
    first.wait_schedules("a", WAIT_TIMEOUT).await;
    let second = cluster.start("a", 1).await;
    cluster.submit("a", "job-1", gang(3, 8, 26_000)).await;
    cluster.wait_running("job-1", 3, WAIT_TIMEOUT).await;
    // The second process must have received a heartbeat of the first.
    tokio::time::sleep(Duration::from_secs(3)).await;
    cluster.store.set_faults(StoreFaults { unavailable: true, ..StoreFaults::default() });
    tokio::time::sleep(Duration::from_secs(6)).await;
    assert_eq!(cluster.running("job-1").len(), 3, "the holder continues without the store");
    assert!(first.schedules("a"));
    let epoch = first.epoch("a");
    first.crash();
    tokio::time::sleep(Duration::from_secs(11)).await;
    assert_eq!(cluster.running("job-1").len(), 3, "the gang outlives its holder");
    assert_eq!(second.epoch("a"), epoch, "the gang is renewed under the same epoch");
    cluster.store.set_faults(StoreFaults::default());
    let record = cluster.wait_ended("job-1", WAIT_TIMEOUT).await;
    assert_eq!((record.state, record.attempt), (JobState::Finished, 1));
    assert!(second.epoch("a") > epoch, "the store is back, so the lease is acquired");
    cluster.assert_invariants();
}

/// Guards against a domain that nobody schedules because it has no processes of its own, and
/// against a takeover by another domain that comes too late for the running gangs.
#[tokio::test(flavor = "multi_thread")]
async fn another_domain_takes_over() {
    let cluster = TestCluster::new(2, 3).await;
    let mut own = cluster.start("a", 0).await;
    let foreign = cluster.start("b", 1).await;
    own.wait_schedules("a", WAIT_TIMEOUT).await;
    foreign.wait_schedules("b", WAIT_TIMEOUT).await;
    cluster.submit("a", "job-1", gang(3, 8, 12_000)).await;
    cluster.wait_running("job-1", 3, WAIT_TIMEOUT).await;
    own.crash();
    let started_at = Instant::now();
    foreign.wait_schedules("a", Duration::from_secs(9)).await;
    println!("takeover by another domain {:?} after a crash", started_at.elapsed());
    let record = cluster.wait_ended("job-1", WAIT_TIMEOUT).await;
    assert_eq!((record.state, record.attempt), (JobState::Finished, 1));
    cluster.assert_invariants();
}
