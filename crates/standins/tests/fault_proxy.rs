//! Guards the fault proxy against faults that have no effect, affect other links or do not end.

use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use lacewingrail_clients::{HttpStore, HttpWorkerClient};
use lacewingrail_model::store::{KeyValueService, StoreError};
use lacewingrail_model::worker::{
    MemberId, ReserveRequest, TASK_LEASE_TTL, WorkerError, WorkerService, WorkerSpec,
};
use lacewingrail_standins::fault_proxy::control::spawn_control;
use lacewingrail_standins::{
    FaultProxy, FleetLayout, FleetSettings, LinkRule, LinkSelection, LinkSpec, StoreServer,
    WorkerFleet,
};
use serde_json::json;

const TIMEOUT: Duration = Duration::from_millis(300);

struct ProxiedStore {
    server: StoreServer,
    proxy: FaultProxy,
    store: HttpStore,
}

/// Starts a store behind the link `a-store` from group `a` to group `platform`.
async fn spawn_proxied_store() -> ProxiedStore {
    let server = StoreServer::spawn("127.0.0.1:0", 1).await.unwrap();
    let proxy = FaultProxy::new(1);
    let store = add_store_link(&proxy, &server, "a").await;
    store.put("key", "v".into(), 0, None).await.unwrap();
    ProxiedStore { server, proxy, store }
}

async fn add_store_link(proxy: &FaultProxy, server: &StoreServer, group: &str) -> HttpStore {
    let target = server.handle().address().to_string();
    let spec = LinkSpec::new(format!("{group}-store"), group, "platform", target);
    let address = proxy.add_link(spec).await.unwrap();
    HttpStore::new(format!("http://{address}")).with_timeout(TIMEOUT)
}

struct ProxiedWorker {
    fleet: WorkerFleet,
    proxy: FaultProxy,
    worker: WorkerSpec,
}

/// Starts one worker behind a link from group `a` to group `d`.
async fn spawn_proxied_worker() -> ProxiedWorker {
    let layout = FleetLayout {
        domain: "d".into(),
        workers: 1,
        per_rack: 1,
        accelerators: 8,
        cores: 8,
        memory_mb: 8,
    };
    let fleet =
        WorkerFleet::spawn("127.0.0.1:0", layout.specs(), FleetSettings::default()).await.unwrap();
    let proxy = FaultProxy::new(1);
    let target = fleet.handle().address().to_string();
    let address = proxy.add_link(LinkSpec::new("w", "a", "d", target)).await.unwrap();
    let direct = fleet.specs().remove(0);
    let worker = WorkerSpec { address: format!("http://{address}/w/{}", direct.id), ..direct };
    ProxiedWorker { fleet, proxy, worker }
}

/// Guards against a delay that is not applied, or only in one direction.
#[tokio::test]
async fn delay_applies_each_way() {
    let ProxiedStore { server: _server, proxy, store } = spawn_proxied_store().await;
    let rule = LinkRule { delay_forward_ms: 30, delay_backward_ms: 50, ..LinkRule::default() };
    proxy.set_rule(&LinkSelection::all(), rule);
    let sent = Instant::now();
    store.get("key").await.unwrap();
    assert!(sent.elapsed() >= Duration::from_millis(80), "{:?}", sent.elapsed());
}

/// Guards against silenced connections that recover, and against silencing new ones.
#[tokio::test]
async fn silenced_connections_stay_silent_and_new_ones_work() {
    let ProxiedStore { server: _server, proxy, store } = spawn_proxied_store().await;
    // Concurrent calls open several connections, which are then silenced together.
    proxy.set_rule(&LinkSelection::all(), LinkRule::delay(20));
    futures::future::join_all((0..4).map(|_| store.get("key"))).await;
    proxy.set_rule(&LinkSelection::all(), LinkRule::default());
    assert!(proxy.links()[0].connections >= 3);
    assert_eq!(proxy.silence(&LinkSelection::link("a-store")), 1);
    assert_matches!(store.get("key").await, Err(StoreError::Unavailable(_)));
    // The client drops all its connections after the first timeout.
    let before = proxy.links()[0].accepted;
    store.get("key").await.unwrap();
    assert_eq!(proxy.links()[0].accepted, before + 1);
}

/// Guards against a write that is reported as refused although only its answer was held.
#[tokio::test]
async fn one_way_partition_holds_answers_only() {
    let ProxiedStore { server, proxy, store } = spawn_proxied_store().await;
    assert_eq!(proxy.partition_one_way("platform", "a"), 1);
    assert_matches!(store.put("cut", "v".into(), 0, None).await, Err(StoreError::Unclear(_)));
    assert!(server.store().get("cut").await.unwrap().is_some());
    proxy.heal_partition("a", "platform");
    assert!(store.get("cut").await.unwrap().is_some());

    assert_eq!(proxy.partition_one_way("a", "platform"), 1);
    assert_matches!(store.put("other", "v".into(), 0, None).await, Err(StoreError::Unclear(_)));
    assert_eq!(server.store().get("other").await.unwrap(), None);
}

/// Guards against a partition of two groups, requested over HTTP, that affects a third one.
#[tokio::test]
async fn partition_affects_its_groups_only() {
    let ProxiedStore { server, proxy, store } = spawn_proxied_store().await;
    let other = add_store_link(&proxy, &server, "b").await;
    let control = spawn_control("127.0.0.1:0", proxy).await.unwrap();
    let http = reqwest::Client::new();
    let post = |path: &str, body: serde_json::Value| {
        http.post(format!("{}/v1/{path}", control.url())).json(&body).send()
    };
    let answer = post("cut", json!({ "from": "platform", "to": "a" })).await.unwrap();
    assert_eq!(answer.json::<serde_json::Value>().await.unwrap(), json!({ "links": 1 }));
    assert_matches!(store.get("key").await, Err(StoreError::Unavailable(_)));
    other.get("key").await.unwrap();
    assert!(post("heal", json!({})).await.unwrap().status().is_success());
    store.get("key").await.unwrap();
    assert_eq!(post("cut", json!({ "from": "a", "to": "x" })).await.unwrap().status(), 404);

    let delay = json!({ "selection": { "from": "b" }, "rule": { "delay_forward_ms": 50 } });
    assert!(post("rules", delay).await.unwrap().status().is_success());
    let sent = Instant::now();
    other.get("key").await.unwrap();
    assert!(sent.elapsed() >= Duration::from_millis(50));
    assert!(post("silence", json!({ "name": "b-store" })).await.unwrap().status().is_success());
    assert_matches!(other.get("key").await, Err(StoreError::Unavailable(_)));
}

/// Guards against connections accepted while they are refused, and a port that stays closed.
#[tokio::test]
async fn connections_recover_after_refusal_and_reset() {
    let ProxiedStore { server: _server, proxy, store } = spawn_proxied_store().await;
    let all = LinkSelection::all();
    proxy.set_rule(&all, LinkRule { refuse: true, ..LinkRule::default() });
    // Established connections continue while new ones are refused.
    store.get("key").await.unwrap();
    assert_eq!(proxy.reset(&all), 1);
    while proxy.links()[0].connections > 0 {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    let refused = store.put("refused", "v".into(), 0, None).await;
    assert_matches!(refused, Err(StoreError::Unavailable(_)));
    proxy.set_rule(&all, LinkRule::default());
    let deadline = Instant::now() + Duration::from_secs(5);
    while store.get("key").await.is_err() {
        assert!(
            Instant::now() < deadline,
            "the port accepts no connections after the refusal ended"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against a rate limit that does not slow the transfer.
#[tokio::test]
async fn rate_limit_slows_transfer() {
    let ProxiedStore { server, proxy, store } = spawn_proxied_store().await;
    server.store().put("large", "x".repeat(4_000), 0, None).await.unwrap();
    let rule = LinkRule { bytes_per_second: 20_000, ..LinkRule::default() };
    proxy.set_rule(&LinkSelection::all(), rule);
    let sent = Instant::now();
    let long_timeout_store = store.clone().with_timeout(Duration::from_secs(10));
    assert_eq!(long_timeout_store.get("large").await.unwrap().unwrap().value.len(), 4_000);
    assert!(sent.elapsed() >= Duration::from_millis(200), "{:?}", sent.elapsed());
    assert!(proxy.links()[0].bytes_backward > 4_000);
}

/// Guards against a start that a partition delayed and that takes effect after it healed.
#[tokio::test]
async fn start_delayed_by_partition_is_refused() {
    let ProxiedWorker { fleet, proxy, worker } = spawn_proxied_worker().await;
    let client = HttpWorkerClient::new().with_timeout(TIMEOUT);
    let member = MemberId { job: "j".into(), attempt: 1, index: 0 };
    let request = ReserveRequest {
        member: member.clone(),
        gang_members: 1,
        accelerators: 8,
        cores: 1,
        memory_mb: 1,
        ttl_ms: 2_000,
        command: String::new(),
        work_ms: 60_000,
    };
    client.reserve(&worker, 1, request).await.unwrap();
    client.commit(&worker, 1, &member, TASK_LEASE_TTL).await.unwrap();
    proxy.partition("a", "d");
    // The long timeout keeps the request in the proxy until the partition ends.
    let pending_start = {
        let (worker, member) = (worker.clone(), member.clone());
        let client = client.clone().with_timeout(Duration::from_secs(5));
        tokio::spawn(
            async move { client.start(&worker, 1, &member, Duration::from_millis(100)).await },
        )
    };
    tokio::time::sleep(Duration::from_millis(250)).await;
    proxy.heal_partition("a", "d");
    assert_eq!(pending_start.await.unwrap(), Err(WorkerError::PermissionExpired));
    assert_eq!(fleet.counts(&worker.id).unwrap().expired_permissions, 1);
    assert_eq!(fleet.journal().entries[0].started_ms, None);
}

/// Guards against calls that time out once for each idle connection to a worker whose path stops
/// answering.
#[tokio::test]
async fn silent_worker_costs_one_timeout() {
    let ProxiedWorker { fleet: _fleet, proxy, worker } = spawn_proxied_worker().await;
    let client = HttpWorkerClient::new().with_timeout(TIMEOUT);
    proxy.set_rule(&LinkSelection::all(), LinkRule::delay(20));
    futures::future::join_all((0..4).map(|_| client.report(&worker, 1))).await;
    proxy.set_rule(&LinkSelection::all(), LinkRule::default());
    assert!(proxy.links()[0].connections >= 3);
    proxy.silence(&LinkSelection::all());
    assert_matches!(client.report(&worker, 1).await, Err(WorkerError::Unclear { .. }));
    client.report(&worker, 1).await.unwrap();
    client.report(&worker, 1).await.unwrap();
}

/// Guards against two links with one name and against links that still work after their removal.
#[tokio::test]
async fn link_names_are_unique_and_links_removable() {
    let ProxiedStore { server, proxy, store } = spawn_proxied_store().await;
    let target = server.handle().address().to_string();
    assert!(proxy.add_link(LinkSpec::new("a-store", "a", "b", target)).await.is_err());
    assert!(proxy.remove_link("a-store"));
    let deadline = Instant::now() + Duration::from_secs(5);
    while store.get("key").await.is_ok() {
        assert!(Instant::now() < deadline, "the link still works after its removal");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}
