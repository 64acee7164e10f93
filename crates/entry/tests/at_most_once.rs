//! Guards against non-repeatable requests that run twice (I6) and against false outcomes (I5).

#[path = "support/test_system.rs"]
mod support;

use std::sync::Arc;
use std::time::Duration;

use lacewingrail_clients::StoreFaults;
use lacewingrail_entry::EntryHandle;
use lacewingrail_model::config::PolicyOverlay;
use lacewingrail_standins::BackendFaults;
use reqwest::{Client, Response};
use support::{StallingStore, TestSystem, outcome, request, run_in, runs_of, wait_for};

async fn pay(client: &Client, entry: &EntryHandle, key: &str) -> Response {
    let request = request(client, entry, "/pay").body("10").header("idempotency-key", key);
    request.header("x-non-repeatable", "true").send().await.unwrap()
}

async fn query_outcome(client: &Client, entry: &EntryHandle, key: &str) -> Response {
    let url = format!("http://{}/{}/.outcome/{key}", entry.caller_address(), support::SERVICE);
    client.get(url).header("x-customer", support::CUSTOMER).send().await.unwrap()
}

/// Guards against a second run when a caller retries through another instance, during the first run
/// or after it.
#[tokio::test]
async fn retry_through_another_instance() {
    let system = TestSystem::new(PolicyOverlay::default()).await;
    let backend = system.backend("backend", |settings| settings.median_ms = 200.0).await;
    let (one, other) = (system.start(|_| {}).await, system.start(|_| {}).await);
    let client = Client::new();
    let (first, second) = tokio::join!(pay(&client, &one, "k"), async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        pay(&client, &other, "k").await
    });
    assert_eq!(outcome(&first), "done");
    assert_eq!((second.status().as_u16(), outcome(&second)), (409, "unknown".into()));
    let body: serde_json::Value = second.json().await.unwrap();
    assert_eq!(body["ask_at"], "/desk/.outcome/k");
    let first = first.text().await.unwrap();
    tokio::time::sleep(Duration::from_millis(400)).await;
    for response in [pay(&client, &other, "k").await, query_outcome(&client, &other, "k").await] {
        assert_eq!(outcome(&response), "done");
        assert_eq!(response.text().await.unwrap(), first);
    }
    assert_eq!(runs_of(&[&backend], "k"), 1);
}

/// Guards against claims that fail, or requests that run twice, when the process that writes a
/// shard is killed or stops responding while the instance list still shows it.
#[test]
fn lost_shard_writer_is_replaced() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let system = TestSystem::new(PolicyOverlay::default()).await;
        let backend = system.backend("backend", |_| {}).await;
        let entry = system.start(|_| {}).await;
        let killed_runtime = tokio::runtime::Runtime::new().unwrap();
        let system_clone = system.clone();
        let killed_entry =
            run_in(&killed_runtime, async move { system_clone.start(|_| {}).await }).await;
        system.list_entry(&entry);
        system.list_entry(&killed_entry);
        tokio::time::sleep(Duration::from_millis(700)).await;
        let client = Client::new();
        let send = async |round: &str| {
            let keys: Vec<String> = (0..32).map(|number| format!("{round}{number}")).collect();
            let calls = keys.iter().map(|key| pay(&client, &entry, key));
            let responses = futures::future::join_all(calls).await;
            assert!(responses.iter().all(|response| outcome(response) == "done"), "{round}");
            assert!(keys.iter().all(|key| runs_of(&[&backend], key) == 1), "{round}");
        };
        send("both").await;
        let metrics = format!("http://{}/metrics", entry.caller_address());
        let text = client.get(metrics).send().await.unwrap().text().await.unwrap();
        let forwarded = "lacewingrail_claim_events_total{service=\"desk\",kind=\"forwarded\"}";
        assert!(text.contains(forwarded), "nothing was forwarded");
        killed_runtime.shutdown_background();
        send("lost").await;
        // A listener that accepts connections and never responds simulates an unresponsive process.
        let unresponsive = std::net::TcpListener::bind(killed_entry.peer_address());
        tokio::time::sleep(Duration::from_millis(2_100)).await;
        send("unresponsive").await;
        drop(unresponsive);
        std::mem::forget(killed_entry);
    });
}

/// Guards against several runs of simultaneous requests with the same key.
#[tokio::test]
async fn simultaneous_requests_run_once() {
    let system = TestSystem::new(PolicyOverlay::default()).await;
    let backend = system.backend("backend", |_| {}).await;
    let entries = [system.start(|_| {}).await, system.start(|_| {}).await];
    entries.iter().for_each(|entry| system.list_entry(entry));
    tokio::time::sleep(Duration::from_millis(700)).await;
    let client = Client::new();
    let calls = (0..40).map(|number| {
        let (client, entry) = (&client, &entries[number % 2]);
        async move { outcome(&pay(client, entry, &format!("k{}", number / 8)).await) }
    });
    let outcomes = futures::future::join_all(calls).await;
    assert!(outcomes.iter().all(|outcome| outcome == "done" || outcome == "unknown"));
    for key in 0..5 {
        assert_eq!(runs_of(&[&backend], &format!("k{key}")), 1);
    }
}

/// Guards against a false outcome, and against a run on retry, after an instance was killed between
/// the claim and the request.
#[test]
fn instance_killed_between_claim_and_send() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let system = TestSystem::new(PolicyOverlay::default()).await;
        let backend = system.backend("backend", |_| {}).await;
        let other = system.start(|_| {}).await;
        let store = Arc::new(StallingStore::new(system.store.clone()));
        let killed_runtime = tokio::runtime::Runtime::new().unwrap();
        let (system_clone, stalling) = (system.clone(), store.clone());
        let entry =
            run_in(&killed_runtime, async move { system_clone.start_with(stalling, |_| {}).await })
                .await;
        let client = Client::new();
        // Stores the shard layout before writes are stalled.
        assert_eq!(outcome(&pay(&client, &other, "first").await), "done");
        store.stall_writes();
        let url = format!("http://{}/desk/pay", entry.caller_address());
        let request = client.post(url).header("x-customer", support::CUSTOMER).body("10");
        let request = request.header("idempotency-key", "k").header("x-non-repeatable", "true");
        let call = tokio::spawn(request.send());
        wait_for(|| store.stalled_writes() > 0).await;
        killed_runtime.shutdown_background();
        assert!(call.await.unwrap().is_err());
        for _ in 0..3 {
            let retry = pay(&client, &other, "k").await;
            assert_eq!((retry.status().as_u16(), outcome(&retry)), (409, "unknown".into()));
        }
        assert_eq!(outcome(&query_outcome(&client, &other, "k").await), "unknown");
        assert_eq!(runs_of(&[&backend], "k"), 0);
    });
}

/// Guards against a second run after an instance was killed between the request and the record of
/// its outcome.
#[test]
fn instance_killed_between_send_and_record() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let system = TestSystem::new(PolicyOverlay::default()).await;
        let backend = system.backend("backend", |settings| settings.median_ms = 300.0).await;
        let other = system.start(|_| {}).await;
        let killed_runtime = tokio::runtime::Runtime::new().unwrap();
        let system_clone = system.clone();
        let entry = run_in(&killed_runtime, async move { system_clone.start(|_| {}).await }).await;
        let client = Client::new();
        let url = format!("http://{}/desk/pay", entry.caller_address());
        let request = client.post(url).header("x-customer", support::CUSTOMER).body("10");
        let request = request.header("idempotency-key", "k").header("x-non-repeatable", "true");
        let call = tokio::spawn(request.send());
        wait_for(|| backend.counts().runs == 1).await;
        killed_runtime.shutdown_background();
        assert!(call.await.unwrap().is_err());
        tokio::time::sleep(Duration::from_millis(400)).await;
        assert_eq!(outcome(&pay(&client, &other, "k").await), "unknown");
        assert_eq!(runs_of(&[&backend], "k"), 1);
    });
}

/// Guards against a claim that fails, or is acquired twice, when a response of the store is lost.
#[tokio::test]
async fn lost_store_responses() {
    let system = TestSystem::new(PolicyOverlay::default()).await;
    let backend = system.backend("backend", |_| {}).await;
    let entry = system.start(|_| {}).await;
    let client = Client::new();
    assert_eq!(outcome(&pay(&client, &entry, "first").await), "done");
    for (number, faults) in [
        StoreFaults::lost_answers(1),
        StoreFaults::lost_answers(3),
        StoreFaults { lost_requests: 2, ..StoreFaults::default() },
    ]
    .into_iter()
    .enumerate()
    {
        system.store.set_faults(faults);
        let key = format!("k{number}");
        assert_eq!(outcome(&pay(&client, &entry, &key).await), "done");
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(outcome(&pay(&client, &entry, &key).await), "done");
        assert_eq!(runs_of(&[&backend], &key), 1);
    }
}

/// Guards against a non-repeatable request that runs without a durable claim during a store outage,
/// and against repeatable requests that fail with the store.
#[tokio::test]
async fn store_outage() {
    let system = TestSystem::new(PolicyOverlay::default()).await;
    let backend = system.backend("backend", |_| {}).await;
    let entry = system.start(|_| {}).await;
    let client = Client::new();
    assert_eq!(outcome(&pay(&client, &entry, "before").await), "done");
    tokio::time::sleep(Duration::from_millis(300)).await;
    system.store.set_faults(StoreFaults::outage());
    let refused = pay(&client, &entry, "k").await;
    assert_eq!((refused.status().as_u16(), outcome(&refused)), (503, "not-run".into()));
    let served = request(&client, &entry, "/x").send().await.unwrap();
    assert_eq!(outcome(&served), "done");
    assert_eq!(runs_of(&[&backend], "k"), 0);
    system.store.set_faults(StoreFaults::default());
    assert_eq!(outcome(&pay(&client, &entry, "k").await), "done");
    assert_eq!(runs_of(&[&backend], "k"), 1);
}

/// Guards against a claim that remains after a "not run" refusal because its write took effect
/// although the response of the store was lost.
#[tokio::test]
async fn refused_claim_is_released() {
    let system = TestSystem::new(PolicyOverlay::default()).await;
    let backend = system.backend("backend", |_| {}).await;
    let entry = system.start(|_| {}).await;
    let client = Client::new();
    assert_eq!(outcome(&pay(&client, &entry, "first").await), "done");
    tokio::time::sleep(Duration::from_millis(300)).await;
    system.store.set_faults(StoreFaults::lost_answers(100));
    let refused = pay(&client, &entry, "k").await;
    // A read may confirm the claim although the responses to the writes are lost.
    assert!(["done", "not-run"].contains(&outcome(&refused).as_str()));
    system.store.set_faults(StoreFaults::default());
    tokio::time::sleep(Duration::from_millis(800)).await;
    assert_eq!(outcome(&pay(&client, &entry, "k").await), "done");
    assert_eq!(runs_of(&[&backend], "k"), 1);
}

/// Guards against a lost response that causes a retry or an outcome other than "unknown", and
/// against an outcome that is not recorded if the response arrives after the deadline.
#[tokio::test]
async fn lost_and_late_responses_are_unknown() {
    let system = TestSystem::new(PolicyOverlay::default()).await;
    let backends = [system.backend("one", |_| {}).await, system.backend("other", |_| {}).await];
    let entry = system.start(|_| {}).await;
    let client = Client::new();
    let both = [&backends[0], &backends[1]];
    let none = BackendFaults::default();
    let all = |faults| both.iter().for_each(|backend| backend.set_faults(faults));
    all(BackendFaults { dropped: 1.0, ..none });
    assert_eq!(outcome(&pay(&client, &entry, "dropped").await), "unknown");
    all(none);
    assert_eq!(outcome(&pay(&client, &entry, "dropped").await), "unknown");
    assert_eq!(runs_of(&both, "dropped"), 1);

    all(BackendFaults { late: 1.0, late_ms: 600, ..none });
    let request = request(&client, &entry, "/pay").body("10").header("idempotency-key", "late");
    let request = request.header("x-non-repeatable", "true").header("x-deadline-ms", "400");
    let late = request.send().await.unwrap();
    assert_eq!((late.status().as_u16(), outcome(&late)), (504, "unknown".into()));
    tokio::time::sleep(Duration::from_millis(800)).await;
    assert_eq!(outcome(&query_outcome(&client, &entry, "late").await), "done");
    assert_eq!(runs_of(&both, "late"), 1);
}

/// Guards against recorded responses that are lost or changed at any size: inline, stored under
/// their own key, or dropped.
#[tokio::test]
async fn recorded_responses_by_size() {
    let system = TestSystem::new(PolicyOverlay::default()).await;
    let backend = system.backend("backend", |_| {}).await;
    let entry = system.start(|_| {}).await;
    let client = Client::new();
    for (key, size, kept) in [("s", 100, true), ("m", 20_000, true), ("l", 100_000, false)] {
        let send = || {
            let request = request(&client, &entry, "/pay").header("idempotency-key", key);
            let request = request.header("x-answer-bytes", size.to_string());
            request.header("x-non-repeatable", "true").send()
        };
        let first = send().await.unwrap().bytes().await.unwrap();
        tokio::time::sleep(Duration::from_millis(400)).await;
        let second = send().await.unwrap();
        assert_eq!(outcome(&second), "done");
        let expected: &[u8] = if kept { &first } else { b"" };
        assert_eq!(second.bytes().await.unwrap(), expected);
        assert_eq!(runs_of(&[&backend], key), 1);
    }
}
