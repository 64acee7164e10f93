//! Guards against callers that get a truncated response, the response to another request or a false
//! success (I4), and against false outcomes (I5).

#[path = "support/test_system.rs"]
mod support;

use std::time::{Duration, Instant};

use lacewingrail_model::config::PolicyOverlay;
use lacewingrail_standins::{BackendFaults, FaultProxy, LinkSelection, LinkSpec};
use support::{SERVICE, TestSystem, matches_request, outcome, request, runs_of, wait_for};

/// HTTP/2 and HTTP/1.1 to backend servers, as values of `backend_http1`.
const PROTOCOLS: [bool; 2] = [false, true];

/// Guards against truncated, mismatched and dropped responses that reach the caller, and against a
/// repeatable request that fails although another backend server works.
#[tokio::test]
async fn damaged_responses_are_retried_at_another_backend() {
    let none = BackendFaults::default();
    for http1 in PROTOCOLS {
        for faults in [
            BackendFaults { truncated: 1.0, ..none },
            BackendFaults { crossed: 1.0, ..none },
            BackendFaults { dropped: 1.0, ..none },
        ] {
            let overlay = PolicyOverlay { backend_http1: Some(http1), ..PolicyOverlay::default() };
            let system = TestSystem::new(overlay).await;
            let faulty = system.backend("faulty", |_| {}).await;
            let healthy = system.backend("healthy", |_| {}).await;
            faulty.set_faults(faults);
            let entry = system.start(|_| {}).await;
            let client = reqwest::Client::new();
            for number in 0..8 {
                let body = format!("body {number}");
                let response = request(&client, &entry, "/x").body(body.clone()).send().await;
                let response = response.unwrap();
                assert_eq!((response.status().as_u16(), outcome(&response)), (200, "done".into()));
                assert!(matches_request(&response.json().await.unwrap(), body.as_bytes()));
            }
            assert!(faulty.counts().runs > 0 && healthy.counts().runs > 0);
        }
    }
}

/// Guards against a damaged response that is reported as success or "not run" if no retry is
/// possible.
#[tokio::test]
async fn damaged_responses_without_retry_are_unknown() {
    let none = BackendFaults::default();
    for faults in [
        BackendFaults { truncated: 1.0, ..none },
        BackendFaults { crossed: 1.0, ..none },
        BackendFaults { dropped: 1.0, ..none },
        BackendFaults { late: 1.0, late_ms: 2_000, ..none },
        BackendFaults { hang: 1.0, ..none },
    ] {
        let system = TestSystem::new(PolicyOverlay::default()).await;
        let only = system.backend("only", |_| {}).await;
        only.set_faults(faults);
        let entry = system.start(|_| {}).await;
        let client = reqwest::Client::new();
        let response = request(&client, &entry, "/x").header("x-deadline-ms", "500").send().await;
        let response = response.unwrap();
        assert!(response.status().is_server_error());
        assert_eq!(outcome(&response), "unknown", "{faults:?}");
    }
}

/// Guards against a request that is lost, or reported as "not run", when its backend server is
/// killed.
#[tokio::test]
async fn backend_killed_during_request() {
    let system = TestSystem::new(PolicyOverlay::default()).await;
    let killed = system.backend("killed", |settings| settings.median_ms = 3_000.0).await;
    let entry = system.start(|_| {}).await;
    let client = reqwest::Client::new();
    let repeatable = tokio::spawn(request(&client, &entry, "/x").body("a").send());
    let once = request(&client, &entry, "/x").header("x-non-repeatable", "true");
    let once = tokio::spawn(once.header("idempotency-key", "k").send());
    wait_for(|| killed.counts().runs == 2).await;
    let other = system.backend("other", |_| {}).await;
    wait_for(|| entry.pools().get(SERVICE).unwrap().backends().len() == 2).await;
    drop(killed);
    let (repeatable, once) = (repeatable.await.unwrap().unwrap(), once.await.unwrap().unwrap());
    assert_eq!(outcome(&repeatable), "done");
    assert!(matches_request(&repeatable.json().await.unwrap(), b"a"));
    assert_eq!((once.status().as_u16(), outcome(&once)), (502, "unknown".into()));
    assert_eq!((other.counts().runs, runs_of(&[&other], "k")), (1, 0));
}

/// Guards against requests that keep using a connection on which all packets are lost.
#[tokio::test]
async fn unresponsive_connection_is_replaced() {
    for http1 in PROTOCOLS {
        let overlay = PolicyOverlay {
            hedging: Some(false),
            backend_http1: Some(http1),
            ..PolicyOverlay::default()
        };
        let system = TestSystem::new(overlay).await;
        let backend = system.backend("backend", |_| {}).await;
        let proxy = FaultProxy::new(1);
        let target = backend.handle().address().to_string();
        let address = proxy.add_link(LinkSpec::new("link", "entry", "backend", target)).await;
        let address = format!("http://{}", address.unwrap());
        system.list.change(|entries| entries[0].address = address);
        let entry = system.start(|_| {}).await;
        let client = reqwest::Client::new();
        for _ in 0..8 {
            let response = request(&client, &entry, "/x").send().await.unwrap();
            assert_eq!(outcome(&response), "done");
        }
        proxy.silence(&LinkSelection::all());
        let silenced = Instant::now();
        // A request in flight on the unresponsive connection.
        let waiting = request(&client, &entry, "/x").header("x-deadline-ms", "1900").send();
        let waiting = waiting.await.unwrap();
        assert!(["done", "unknown"].contains(&outcome(&waiting).as_str()));
        tokio::time::sleep(Duration::from_secs(2).saturating_sub(silenced.elapsed())).await;
        for _ in 0..8 {
            let response = request(&client, &entry, "/x").header("x-deadline-ms", "500").send();
            assert_eq!(outcome(&response.await.unwrap()), "done", "HTTP/1: {http1}");
        }
    }
}
