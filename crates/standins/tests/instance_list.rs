//! Guards the instance list against changes that are visible before the lag, lost or impossible
//! over HTTP.

use std::time::Duration;

use lacewingrail_clients::HttpInstanceList;
use lacewingrail_model::instance::{InstanceEntry, InstanceList, InstanceRole};
use lacewingrail_model::worker::WorkerSpec;
use lacewingrail_standins::instance_server::ListFaults;
use lacewingrail_standins::{FaultProxy, InstanceChange, InstanceListServer, LinkSpec};

fn backend(name: &str) -> InstanceEntry {
    InstanceEntry {
        name: name.into(),
        role: InstanceRole::Backend,
        service: "framecheck".into(),
        domain: "jawa-1".into(),
        address: "http://127.0.0.1:1".into(),
        peer_address: String::new(),
        leaving: false,
        slots: 8,
        connections: 64,
    }
}

/// Guards against a leaving flag that is visible before the lag has passed, or never.
#[tokio::test]
async fn changes_show_after_lag() {
    let server = InstanceListServer::spawn("127.0.0.1:0").await.unwrap();
    let list = HttpInstanceList::new(server.url());
    server.change(InstanceChange::AddInstance(backend("b1")));
    assert_eq!(list.read().await.unwrap(), [backend("b1")]);
    server.set_faults(ListFaults { lag_ms: 300, ..ListFaults::default() });
    let changed = std::time::Instant::now();
    server.change(InstanceChange::SetLeaving { name: "b1".into(), leaving: true });
    loop {
        let leaving = list.read().await.unwrap()[0].leaving;
        if leaving {
            break;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(changed.elapsed() >= Duration::from_millis(299));
}

/// Guards against entries that other processes cannot add or remove, and an ineffective outage.
#[tokio::test]
async fn entries_change_over_http() {
    let server = InstanceListServer::spawn("127.0.0.1:0").await.unwrap();
    let list = HttpInstanceList::new(server.url());
    let client = reqwest::Client::new();
    let url = |path: &str| format!("{}{path}", server.url());
    let spec = WorkerSpec {
        id: "w1".into(),
        domain: "jawa-1".into(),
        rack: "r1".into(),
        accelerators: 8,
        cores: 128,
        memory_mb: 512_000,
        address: "http://127.0.0.1:1/w/w1".into(),
    };
    client.post(url("/v1/instances")).json(&[backend("b1")]).send().await.unwrap();
    client.post(url("/v1/workers")).json(&[&spec]).send().await.unwrap();
    let leaving = serde_json::json!({ "leaving": true });
    client.post(url("/v1/instances/b1/leaving")).json(&leaving).send().await.unwrap();
    assert!(list.read().await.unwrap()[0].leaving);
    assert_eq!(list.workers().await.unwrap(), [spec]);
    client.delete(url("/v1/instances/b1")).send().await.unwrap();
    client.delete(url("/v1/workers/w1")).send().await.unwrap();
    assert!(list.read().await.unwrap().is_empty() && list.workers().await.unwrap().is_empty());
    server.set_faults(ListFaults { unavailable: true, ..ListFaults::default() });
    assert!(list.read().await.is_err());
}

/// Guards against a conditional read that returns an outdated list, and against sending unchanged
/// lists in full, which exceeds the 5 KB/s of control traffic allowed per node.
#[tokio::test]
async fn unchanged_lists_are_not_sent_again() {
    let server = InstanceListServer::spawn("127.0.0.1:0").await.unwrap();
    let proxy = FaultProxy::new(1);
    let target = server.url().replace("http://", "");
    let link = proxy.add_link(LinkSpec::new("list", "a", "b", target)).await.unwrap();
    let list = HttpInstanceList::new(format!("http://{link}"));
    let names: Vec<String> = (0..100).map(|number| format!("b{number:03}")).collect();
    for name in &names {
        server.change(InstanceChange::AddInstance(backend(name)));
    }
    let received_bytes = || proxy.links()[0].bytes_backward;
    assert_eq!(list.read().await.unwrap().len(), names.len());
    let full = received_bytes();
    assert_eq!(list.read().await.unwrap().len(), names.len());
    let unchanged = received_bytes() - full;
    assert!(unchanged < 500, "an unchanged list took {unchanged} bytes, the full one {full}");
    server.change(InstanceChange::SetLeaving { name: "b007".into(), leaving: true });
    assert!(list.read().await.unwrap().iter().any(|entry| entry.leaving));
}
