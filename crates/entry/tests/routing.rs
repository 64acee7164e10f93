//! Guards against requests to leaving or failing backend servers (I7), retries that amplify an
//! outage, and failures that spread between failure domains.

#[path = "support/test_system.rs"]
mod support;

use std::time::{Duration, Instant};

use futures::future::join_all;
use lacewingrail_entry::backend::health::FailureKind;
use lacewingrail_entry::backend::{Availability, BackendPermit};
use lacewingrail_entry::routing::latency::LatencyTracker;
use lacewingrail_model::config::PolicyOverlay;
use lacewingrail_standins::{BackendFaults, FaultProxy, LinkSpec};
use reqwest::Client;
use support::{SERVICE, TestSystem, outcome, request, send_at_rate, send_from_callers, wait_for};

/// Callers of a closed-loop load; fewer than the consecutive failures that eject a backend server,
/// so that a stall of the machine cannot eject one.
const CALLERS: usize = 4;

/// Guards against new requests to a backend server more than 3 s after it starts to leave, whether
/// the instance list or the backend itself reports it first.
#[tokio::test]
async fn leaving_backend_gets_no_new_work() {
    for by_list in [true, false] {
        let system = TestSystem::new(PolicyOverlay::default()).await;
        let leaving = system.backend("leaving", |_| {}).await;
        let _staying = system.backend("staying", |_| {}).await;
        let entry = system.start(|_| {}).await;
        let client = Client::new();
        let end = Instant::now() + Duration::from_secs(4);
        let load = send_from_callers(&client, &entry, CALLERS, |_| Instant::now() > end);
        let leave = async {
            tokio::time::sleep(Duration::from_millis(300)).await;
            if by_list {
                system.list.change(|entries| entries[0].leaving = true);
                tokio::time::sleep(Duration::from_millis(1_500)).await;
            } else {
                leaving.set_leaving(true);
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
            leaving.counts().runs
        };
        let (outcomes, runs) = tokio::join!(load, leave);
        assert!(outcomes.len() > 100 && outcomes.iter().all(|outcome| outcome == "done"));
        assert_eq!(leaving.counts().runs, runs, "by list: {by_list}");
        let late = leaving.journal().entries.iter().filter_map(|run| run.leaving_ms).max();
        assert!(late.is_none_or(|late| late < 3_000));
    }
}

/// Guards against a failing backend server that still gets its share of requests, and against one
/// that gets no requests after it has recovered.
#[tokio::test]
async fn failing_backend_is_ejected_and_returns() {
    let system = TestSystem::new(PolicyOverlay::default()).await;
    let failing = system.backend("failing", |_| {}).await;
    let _others = [system.backend("b2", |_| {}).await, system.backend("b3", |_| {}).await];
    let entry = system.start(|_| {}).await;
    let client = Client::new();
    let backends = entry.pools().get(SERVICE).unwrap().backends();
    let failing_backend = backends.iter().find(|backend| backend.id == "failing").unwrap();
    failing.set_faults(BackendFaults { error: 1.0, ..BackendFaults::default() });
    send_from_callers(&client, &entry, CALLERS, |sent| sent >= 200).await;
    assert!(failing_backend.is_ejected());
    assert!(failing.counts().runs < 20, "{}", failing.counts().runs);
    failing.set_faults(BackendFaults::default());
    let before = failing.counts().runs;
    let end = Instant::now() + Duration::from_secs(15);
    let recovered = || !failing_backend.is_ejected() && failing.counts().runs > before + 20;
    send_from_callers(&client, &entry, CALLERS, |_| recovered() || Instant::now() > end).await;
    let ejected = failing_backend.is_ejected();
    assert!(recovered(), "ejected: {ejected}, {} runs, {before} before", failing.counts().runs);
}

/// Guards against an ejection that is doubled, up to 30 s, by each failed request that was in
/// flight when it started, and against one that is ended by the response to such a request.
#[tokio::test]
async fn requests_in_flight_do_not_change_an_ejection() {
    let system = TestSystem::new(PolicyOverlay::default()).await;
    for name in ["failing", "b2", "b3"] {
        system.backend(name, |_| {}).await;
    }
    let entry = system.start(|_| {}).await;
    let pool = entry.pools().get(SERVICE).unwrap();
    let failing = pool.backends().iter().find(|backend| backend.id == "failing").unwrap().clone();
    let permits: Vec<BackendPermit> = (0..8).map(|_| failing.acquire().unwrap()).collect();
    let latency = Duration::from_millis(2);
    for permit in &permits[..7] {
        if permit.record_failure(FailureKind::Failed, latency, 5) {
            pool.eject(&failing);
        }
    }
    permits[7].record_success(latency);
    assert_eq!(failing.availability(), Availability::Unavailable);
    tokio::time::sleep(Duration::from_millis(2_100)).await;
    assert_eq!(failing.availability(), Availability::ProbeDue);
    let probe = failing.acquire().unwrap();
    assert!(failing.acquire().is_none());
    probe.record_success(latency);
    assert_eq!(failing.availability(), Availability::Available);
}

/// Guards against a mean latency that still reflects a past slow period of the service, so that a
/// backend server as fast as the others gets no requests.
#[test]
fn mean_latency_follows_recent_responses() {
    let tracker = LatencyTracker::new();
    (0..1_000).for_each(|_| tracker.record(Duration::from_millis(30)));
    assert!(tracker.mean_us() > 29_000, "{}", tracker.mean_us());
    (0..100).for_each(|_| tracker.record(Duration::from_millis(5)));
    assert!(tracker.mean_us() < 10_000, "{}", tracker.mean_us());
}

/// Guards against one slow response that retains its weight in the smoothed latency, so that the
/// backend server gets a request only every few seconds.
#[tokio::test]
async fn smoothed_latency_loses_weight_with_age() {
    let system = TestSystem::new(PolicyOverlay::default()).await;
    system.backend("backend", |_| {}).await;
    let entry = system.start(|_| {}).await;
    let backend = entry.pools().get(SERVICE).unwrap().backends()[0].clone();
    backend.acquire().unwrap().record_success(Duration::from_millis(200));
    tokio::time::sleep(Duration::from_secs(2)).await;
    backend.acquire().unwrap().record_success(Duration::from_millis(5));
    assert!(backend.latency_us() < 40_000, "{}", backend.latency_us());
}

/// Guards against retries that amplify the load during an outage.
#[tokio::test]
async fn retries_stay_within_budget_in_outage() {
    for refuse in [false, true] {
        let system = TestSystem::new(PolicyOverlay::default()).await;
        let mut backends = Vec::new();
        for number in 0..6 {
            backends.push(system.backend(&format!("b{number}"), |_| {}).await);
        }
        let entry = system.start(|_| {}).await;
        let client = Client::new();
        send_at_rate(&client, &entry, 300.0, Duration::from_secs(1), |request, _| request).await;
        let service = SERVICE.into();
        let (before, ..) = entry.metrics().tries(&service);
        let requests_before: u64 = backends.iter().map(|backend| backend.counts().requests).sum();
        if refuse {
            backends.clear();
        } else {
            let faults = BackendFaults { dropped: 1.0, ..BackendFaults::default() };
            backends.iter().for_each(|backend| backend.set_faults(faults));
        }
        let samples =
            send_at_rate(&client, &entry, 300.0, Duration::from_secs(2), |request, _| request)
                .await;
        let (after, ..) = entry.metrics().tries(&service);
        let share = (after - before) as f64 / samples.len() as f64;
        assert!(share <= 1.1, "{share} tries per request, refused: {refuse}");
        let expected = if refuse { "not-run" } else { "unknown" };
        let count = samples.iter().filter(|sample| sample.outcome == expected).count();
        assert!(count * 10 >= samples.len() * 9, "{count} of {}", samples.len());
        if !refuse {
            let requests: u64 = backends.iter().map(|backend| backend.counts().requests).sum();
            let share = (requests - requests_before) as f64 / samples.len() as f64;
            assert!(share <= 1.1, "{share} requests at backends per request");
        }
    }
}

/// Guards against requests that queue while another failure domain has free slots, and against
/// local requests that fail during a network partition from it.
#[tokio::test]
async fn requests_overflow_to_another_domain_and_survive_partition() {
    let system = TestSystem::new(PolicyOverlay::default()).await;
    let local = system.backend("local", |settings| settings.median_ms = 100.0).await;
    let remote = system
        .backend("remote", |settings| {
            (settings.median_ms, settings.domain) = (100.0, "domain-2".into());
        })
        .await;
    let proxy = FaultProxy::new(1);
    let target = remote.handle().address().to_string();
    let address = proxy.add_link(LinkSpec::new("link", "domain-1", "domain-2", target)).await;
    let address = format!("http://{}", address.unwrap());
    system.list.change(|entries| entries[1].address = address);
    let entry = system.start(|_| {}).await;
    let client = Client::new();
    let send_burst = |count: usize, work_ms: u32| {
        let calls = (0..count).map(|_| {
            let request = request(&client, &entry, "/x").header("x-deadline-ms", "3000");
            let request = request.header("x-work-ms", work_ms.to_string());
            async { outcome(&request.send().await.unwrap()) }
        });
        join_all(calls.collect::<Vec<_>>())
    };
    assert!(send_burst(6, 1_000).await.iter().all(|outcome| outcome == "done"));
    assert_eq!((local.counts().runs, remote.counts().runs), (6, 0));
    // A queued request would have run on a local slot later, and the counts would differ.
    assert!(send_burst(16, 1_000).await.iter().all(|outcome| outcome == "done"));
    assert_eq!((local.counts().runs, remote.counts().runs), (14, 8));
    assert_eq!((local.counts().peak_queue, remote.counts().peak_queue), (0, 0));

    proxy.partition("domain-1", "domain-2");
    for _ in 0..5 {
        assert!(send_burst(8, 100).await.iter().all(|outcome| outcome == "done"));
    }
    // More requests than local slots: those sent to the unreachable domain are retried locally.
    let outcomes = send_burst(12, 100).await;
    let done = outcomes.iter().filter(|outcome| *outcome == "done").count();
    assert!(done >= 8, "{done} of 12 done");
}

/// Guards against pools that lose their backend servers when the instance list is unavailable.
#[tokio::test]
async fn last_list_stays_in_force() {
    let system = TestSystem::new(PolicyOverlay::default()).await;
    let backend = system.backend("backend", |_| {}).await;
    let entry = system.start(|_| {}).await;
    system.list.set_down(true);
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let response = request(&Client::new(), &entry, "/x").send().await.unwrap();
    assert_eq!(outcome(&response), "done");
    wait_for(|| backend.counts().ended == 1).await;
}
