//! Guards against differences between the in-memory key-value service and the same service over
//! HTTP, and against panics of the server on malformed requests.

use std::sync::Arc;
use std::time::Duration;

use assert_matches::assert_matches;
use lacewingrail_clients::{CallKind, HttpStore, MemoryStore, StoreFaults, WriteIdRecord, update};
use lacewingrail_model::store::{KeyValueService, MAX_VALUE_BYTES, StoreError};
use lacewingrail_model::write_id::{WriteId, WriteIdGenerator, generate_instance_id};
use lacewingrail_standins::StoreServer;
use proptest::prelude::*;
use proptest::test_runner::TestRunner;
use serde::{Deserialize, Serialize};

const LOCAL: &str = "127.0.0.1:0";

#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
struct Counter {
    value: u64,
    mark: WriteId,
}

impl WriteIdRecord for Counter {
    fn write_id(&self) -> &str {
        &self.mark
    }

    fn set_write_id(&mut self, write_id: WriteId) {
        self.mark = write_id;
    }
}

/// Checks that `service` fulfills the contract; `backing_store` is the store behind it.
async fn check_contract(service: Arc<dyn KeyValueService>, backing_store: &MemoryStore) {
    // Keys with separators and characters that need encoding.
    let key = "jobs/om north/ü?#%2F&id=1";
    assert_eq!(service.get(key).await.unwrap(), None);
    let first = service.put(key, "one".into(), 0, None).await.unwrap();
    let refused = service.put(key, "two".into(), 0, None).await;
    assert_eq!(refused, Err(StoreError::Conflict { current: first }));
    let second = service.put(key, "two".into(), first, None).await.unwrap();
    assert!(second > first);
    let entry = service.get(key).await.unwrap().unwrap();
    assert_eq!((entry.key.as_str(), entry.value.as_str(), entry.revision), (key, "two", second));
    service.put("jobs/z", String::new(), 0, None).await.unwrap();
    service.put("other", "x".into(), 0, None).await.unwrap();
    let keys: Vec<_> =
        service.list("jobs/").await.unwrap().into_iter().map(|entry| entry.key).collect();
    assert_eq!(keys, [key, "jobs/z"]);
    assert_eq!(service.delete(key, first).await, Err(StoreError::Conflict { current: second }));
    service.delete(key, second).await.unwrap();
    assert_eq!(service.get(key).await.unwrap(), None);

    let full = "x".repeat(MAX_VALUE_BYTES);
    let revision = service.put("full", full.clone(), 0, None).await.unwrap();
    assert_eq!(service.get("full").await.unwrap().unwrap().value.len(), full.len());
    let oversized = service.put("full", full + "x", revision, None).await;
    assert_matches!(oversized, Err(StoreError::TooLarge { .. }));

    // A watch returns the changes after a revision, and waits for the next one.
    let batch = service.watch("jobs/", second, Duration::ZERO).await.unwrap();
    let changes: Vec<_> =
        batch.events.iter().map(|event| (event.key.as_str(), event.value.as_deref())).collect();
    assert_eq!(changes, [("jobs/z", Some("")), (key, None)]);
    let waiting = {
        let service = Arc::clone(&service);
        tokio::spawn(async move {
            service.watch("jobs/", batch.revision, Duration::from_secs(10)).await
        })
    };
    while backing_store.stats().waiting_watches == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    service.put("other", "y".into(), 4, None).await.unwrap();
    service.put("jobs/new", "n".into(), 0, None).await.unwrap();
    let batch = waiting.await.unwrap().unwrap();
    assert_eq!(batch.events.len(), 1);
    assert_eq!(batch.events[0].key, "jobs/new");

    // An expired lease deletes its keys and accepts no further calls.
    let lease = service.grant_lease(Duration::from_secs(4)).await.unwrap();
    let revision = service.put("lease/d", "holder".into(), 0, Some(lease)).await.unwrap();
    backing_store.shift_lease_clock(3_000);
    service.renew_lease(lease).await.unwrap();
    backing_store.shift_lease_clock(3_000);
    assert!(service.get("lease/d").await.unwrap().is_some());
    backing_store.shift_lease_clock(3_000);
    assert_eq!(service.get("lease/d").await.unwrap(), None);
    assert_eq!(service.renew_lease(lease).await, Err(StoreError::LeaseLapsed));
    let late = service.put("lease/d", "late".into(), 0, Some(lease)).await;
    assert_eq!(late, Err(StoreError::LeaseLapsed));
    let batch = service.watch("lease/", revision, Duration::ZERO).await.unwrap();
    assert_eq!(batch.events[0].value, None);
    let lease = service.grant_lease(Duration::from_secs(4)).await.unwrap();
    service.put("lease/d", "next".into(), 0, Some(lease)).await.unwrap();
    service.revoke_lease(lease).await.unwrap();
    assert_eq!(service.get("lease/d").await.unwrap(), None);

    // A write whose answer is lost is unclear, and its write id shows that it took effect once.
    let generator = WriteIdGenerator::new(generate_instance_id("contract"));
    backing_store.set_faults(StoreFaults::lost_answers(1));
    assert_matches!(service.put("lost", "v".into(), 0, None).await, Err(StoreError::Unclear(_)));
    assert!(service.get("lost").await.unwrap().is_some());
    backing_store.set_faults(StoreFaults::lost_answers(1));
    for expected in 1..=2 {
        let written =
            update(service.as_ref(), &generator, "counter", |current: Option<Counter>| {
                let current = current.unwrap_or_default();
                Ok::<_, String>(Counter { value: current.value + 1, ..current })
            });
        assert_eq!(written.await.unwrap().record.value, expected);
    }

    backing_store.set_faults(StoreFaults::outage());
    assert_matches!(service.get("lost").await, Err(StoreError::Unavailable(_)));
    let refused = service.put("down", "v".into(), 0, None).await;
    assert_matches!(refused, Err(StoreError::Unavailable(_)));
    backing_store.set_faults(StoreFaults::default());
    assert_eq!(service.get("down").await.unwrap(), None);
}

/// Guards against violations of the contract by the in-memory service.
#[tokio::test]
async fn memory_store_fulfills_contract() {
    let store = MemoryStore::new();
    check_contract(Arc::new(store.clone()), &store).await;
}

/// Guards against violations of the contract by the HTTP client and server.
#[tokio::test]
async fn http_store_fulfills_contract() {
    let server = StoreServer::spawn(LOCAL, 1).await.unwrap();
    check_contract(Arc::new(HttpStore::new(server.url())), server.store()).await;
}

/// Guards against a timed-out write that is reported as refused although it may take effect.
#[tokio::test]
async fn slow_write_is_unclear() {
    let server = StoreServer::spawn(LOCAL, 1).await.unwrap();
    let store = HttpStore::new(server.url()).with_timeout(Duration::from_millis(300));
    server.store().set_faults(StoreFaults::slow(Duration::from_millis(400)));
    assert_matches!(store.put("slow", "v".into(), 0, None).await, Err(StoreError::Unclear(_)));
    server.store().set_faults(StoreFaults::default());
    assert_eq!(store.get("slow").await.unwrap().unwrap().value, "v");
}

/// Guards against faults and counts that are inaccessible to other processes.
#[tokio::test]
async fn faults_are_set_over_http() {
    let server = StoreServer::spawn(LOCAL, 1).await.unwrap();
    let client = reqwest::Client::new();
    let url = format!("{}/v1/faults", server.url());
    let body = serde_json::json!({ "unavailable": true });
    assert!(client.post(&url).json(&body).send().await.unwrap().status().is_success());
    let store = HttpStore::new(server.url());
    assert_matches!(store.get("a").await, Err(StoreError::Unavailable(_)));
    let unknown = serde_json::json!({ "unavailble": true });
    assert!(client.post(&url).json(&unknown).send().await.unwrap().status().is_client_error());
    let url = format!("{}/v1/stats", server.url());
    let stats: lacewingrail_clients::StoreStats =
        client.get(url).send().await.unwrap().json().await.unwrap();
    assert_eq!((stats.kind(CallKind::Get).unwrap().total, stats.refused), (1, 1));
}

/// Guards against a server that panics or stops answering after malformed requests.
#[test]
fn malformed_requests_are_refused() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let server = runtime.block_on(StoreServer::spawn(LOCAL, 1)).unwrap();
    let client = reqwest::Client::new();
    let paths = prop::sample::select(vec![
        "/v1/faults",
        "/v1/leases",
        "/v1/leases/9/renew",
        "/v1/lease-clock",
        "/v1/kv/k?revision=x",
        "/v1/kv/k?revision=0",
        "/v1/watch?after=0&wait_ms=-1",
        "/v1/kv/%FF",
        "/nothing",
    ]);
    let body = prop_oneof![
        prop::collection::vec(any::<u8>(), 0..100),
        r#"\{"[a-z_]{1,12}":(-?[0-9]{1,22}|null|\{\})\}"#.prop_map(String::into_bytes),
    ];
    let methods = prop::sample::select(vec!["GET", "POST", "PUT", "DELETE"]);
    let mut runner = TestRunner::new(ProptestConfig::with_cases(200));
    runner
        .run(&(methods, paths, body), |(method, path, body)| {
            let method = reqwest::Method::from_bytes(method.as_bytes()).unwrap();
            let sent = client
                .request(method, format!("{}{path}", server.url()))
                .header("content-type", "application/json")
                .body(body)
                .send();
            let status = runtime.block_on(sent).map(|answer| answer.status().as_u16());
            prop_assert!(status.is_ok_and(|status| status < 500 || status == 503));
            server.store().set_faults(StoreFaults::default());
            Ok(())
        })
        .unwrap();
    assert!(runtime.block_on(HttpStore::new(server.url()).list("")).is_ok());
}
