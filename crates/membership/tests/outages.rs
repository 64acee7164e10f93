//! Telling an outage of the key-value service from a cut of the own failure domain.

#[path = "common/bed.rs"]
mod common;

use std::time::Duration;

use common::{Cluster, eventually};

const DOMAINS: [&str; 3] = ["a", "b", "c"];
/// Time within which evidence forms: a heartbeat period, a probe and a margin.
const EVIDENCE_FORMS: Duration = Duration::from_secs(6);
/// Time of the design after which evidence has run out.
const EVIDENCE_GONE: Duration = Duration::from_millis(2_900);

async fn start() -> Cluster {
    let cluster = Cluster::start(&DOMAINS, 2).await;
    cluster.wait_ready().await;
    for (index, process) in cluster.processes.iter().enumerate() {
        // The first process of each domain acts as its active scheduler.
        if index % 2 == 0 {
            process.membership.set_scheduling(&process.domain, 1, 0);
        }
        process.probe_store();
    }
    cluster
}

/// Guards against an outage of the store that stops all starts although every domain can hear the
/// others.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn outage_seen_by_all_domains_is_evidence() {
    let cluster = start().await;
    cluster.cut_all(true);
    let membership = &cluster.processes[0].membership;
    let formed = eventually(EVIDENCE_FORMS, || membership.outage_evidence().is_some()).await;
    assert!(formed, "no evidence although no domain reaches the store");
}

/// Guards against starts in a domain that is cut off while another one still reaches the store,
/// through which operators may take the domain out.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn one_domain_with_the_store_voids_the_evidence() {
    let cluster = start().await;
    cluster.cut_all(true);
    let membership = &cluster.processes[0].membership;
    assert!(eventually(EVIDENCE_FORMS, || membership.outage_evidence().is_some()).await);
    for process in cluster.processes.iter().filter(|process| process.domain == "c") {
        process.link.cut(false);
    }
    let gone = eventually(EVIDENCE_GONE, || membership.outage_evidence().is_none()).await;
    assert!(gone, "evidence stays although domain c reaches the store");
}

/// Guards against taking silence of a domain for its word that the store is out.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn silent_domain_voids_the_evidence() {
    let mut cluster = start().await;
    cluster.cut_all(true);
    let membership = cluster.processes[0].membership.clone();
    assert!(eventually(EVIDENCE_FORMS, || membership.outage_evidence().is_some()).await);
    cluster.processes.retain(|process| process.domain != "c");
    let gone = eventually(EVIDENCE_GONE, || membership.outage_evidence().is_none()).await;
    assert!(gone, "evidence stays although domain c is silent");
}

/// Guards against a veto that waits for the settings tree.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn veto_holds_until_a_newer_tree_decides() {
    let cluster = Cluster::start(&["a"], 1).await;
    cluster.wait_ready().await;
    let membership = &cluster.processes[0].membership;
    assert!(!membership.is_out("a"));
    membership.record_veto("a", 2);
    assert!(membership.is_out("a"));
    common::write_tree(&*cluster.store, 2, &[]).await;
    let back = eventually(Duration::from_secs(15), || !membership.is_out("a")).await;
    assert!(back, "the veto of version 2 outlives the tree of version 2 that has the domain in");
}
