//! Guards against requests that are interrupted by a shutdown or a rolling replacement (I8).

#[path = "support/test_system.rs"]
mod support;

use std::time::Duration;

use lacewingrail_model::config::PolicyOverlay;
use reqwest::Client;
use support::{TestSystem, outcome, request, wait_for};

/// Guards against requests in progress that are aborted, new ones that are refused while the load
/// balancer still sends them, and a readiness probe that still succeeds during a shutdown.
#[tokio::test]
async fn graceful_shutdown_interrupts_nothing() {
    let system = TestSystem::new(PolicyOverlay::default()).await;
    let backend = system.backend("backend", |settings| settings.median_ms = 800.0).await;
    let entry = system.start(|_| {}).await;
    let client = Client::new();
    let ready = format!("http://{}/readyz", entry.caller_address());
    assert_eq!(client.get(&ready).send().await.unwrap().status(), 200);
    let running = tokio::spawn(request(&client, &entry, "/x").send());
    wait_for(|| backend.counts().runs == 1).await;
    let late = request(&client, &entry, "/x");
    let leaving = tokio::spawn(entry.shut_down());
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(client.get(&ready).send().await.unwrap().status(), 503);
    let late = late.send().await.unwrap();
    assert_eq!(outcome(&late), "done");
    assert_eq!(late.headers()["connection"], "close");
    assert_eq!(outcome(&running.await.unwrap().unwrap()), "done");
    leaving.await.unwrap();
    assert!(client.get(&ready).send().await.is_err());
}

/// Guards against lost requests while all entry processes and backend servers are replaced under
/// load. As on the platform, each new one is started before the old one leaves and ends.
#[tokio::test]
async fn rolling_replacement_loses_nothing() {
    let system = TestSystem::new(PolicyOverlay::default()).await;
    let mut backends = Vec::new();
    for number in 0..3 {
        let name = format!("old{number}");
        backends.push(system.backend(&name, |settings| settings.median_ms = 20.0).await);
    }
    let load_balancer = support::LoadBalancer::default();
    let mut entries = Vec::new();
    for _ in 0..2 {
        let entry =
            system.start(|settings| settings.drain_delay = Duration::from_millis(600)).await;
        load_balancer.add(entry.caller_address());
        entries.push(entry);
    }
    let (stop, mut stopped) = tokio::sync::watch::channel(false);
    let load = tokio::spawn({
        let load_balancer = load_balancer.clone();
        async move {
            let mut calls = Vec::new();
            while !*stopped.borrow_and_update() {
                calls.push(tokio::spawn(load_balancer.clone().call()));
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            let mut outcomes = Vec::new();
            for call in calls {
                outcomes.push(call.await.unwrap());
            }
            outcomes
        }
    });
    for (number, backend) in backends.iter_mut().enumerate() {
        let name = format!("new{number}");
        let replacement = system.backend(&name, |settings| settings.median_ms = 20.0).await;
        backend.set_leaving(true);
        system.list.change(|listed| listed[0].leaving = true);
        tokio::time::sleep(Duration::from_millis(1_200)).await;
        // The platform ends a leaving server once its requests have ended.
        system.list.change(|listed| drop(listed.remove(0)));
        *backend = replacement;
    }
    for entry in entries {
        let replacement =
            system.start(|settings| settings.drain_delay = Duration::from_millis(600)).await;
        load_balancer.add(replacement.caller_address());
        let address = entry.caller_address();
        let leaving = tokio::spawn(entry.shut_down());
        // The load balancer detects the leaving process with a delay.
        tokio::time::sleep(Duration::from_millis(300)).await;
        load_balancer.remove(address);
        leaving.await.unwrap();
        std::mem::forget(replacement);
    }
    stop.send(true).unwrap();
    let outcomes = load.await.unwrap();
    assert!(outcomes.len() > 500);
    let lost: Vec<&String> = outcomes.iter().filter(|outcome| *outcome != "done").collect();
    assert!(lost.is_empty(), "{} of {}: {:?}", lost.len(), outcomes.len(), &lost[0]);
}
