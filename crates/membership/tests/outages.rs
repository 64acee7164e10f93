//! Distinguishing an outage of the key-value service from a partition of a failure domain.

#[path = "common/cluster.rs"]
mod common;

use std::time::Duration;

use common::{Cluster, eventually};

const DOMAINS: [&str; 3] = ["a", "b", "c"];
/// Time within which an outage is detected: a heartbeat interval, a probe interval and a margin.
const DETECTION_TIMEOUT: Duration = Duration::from_secs(6);
/// Time within which outage reports must expire, below the 3 s after which no task may start in a
/// domain that was taken out of service.
const REPORT_EXPIRY_BOUND: Duration = Duration::from_millis(2_900);

async fn start() -> Cluster {
    let cluster = Cluster::start(&DOMAINS, 2).await;
    cluster.wait_ready().await;
    for (index, process) in cluster.processes.iter().enumerate() {
        // The first process of each domain is its active scheduler.
        if index % 2 == 0 {
            process.membership.set_own_scheduler(&process.domain, 1, 0);
        }
        process.probe_store();
    }
    cluster
}

/// Guards against an outage that is not detected, which would stop all task starts.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn outage_reported_by_all_domains_is_detected() {
    let cluster = start().await;
    cluster.set_all_disconnected(true);
    let membership = &cluster.processes[0].membership;
    let detected =
        eventually(DETECTION_TIMEOUT, || membership.oldest_outage_report().is_some()).await;
    assert!(detected, "no outage is detected although no domain reaches the store");
}

/// Guards against starts in a partitioned domain while another domain still reaches the store, through
/// which operators may have taken the partitioned domain out of service.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn detection_ends_when_one_domain_reaches_the_store() {
    let cluster = start().await;
    cluster.set_all_disconnected(true);
    let membership = &cluster.processes[0].membership;
    assert!(eventually(DETECTION_TIMEOUT, || membership.oldest_outage_report().is_some()).await);
    for process in cluster.processes.iter().filter(|process| process.domain == "c") {
        process.link.set_disconnected(false);
    }
    let ended =
        eventually(REPORT_EXPIRY_BOUND, || membership.oldest_outage_report().is_none()).await;
    assert!(ended, "an outage is still detected although domain c reaches the store");
}

/// Guards against treating a silent domain as one that reports an outage of the store.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn detection_ends_when_a_domain_is_silent() {
    let mut cluster = start().await;
    cluster.set_all_disconnected(true);
    let membership = cluster.processes[0].membership.clone();
    assert!(eventually(DETECTION_TIMEOUT, || membership.oldest_outage_report().is_some()).await);
    cluster.processes.retain(|process| process.domain != "c");
    let ended =
        eventually(REPORT_EXPIRY_BOUND, || membership.oldest_outage_report().is_none()).await;
    assert!(ended, "an outage is still detected although domain c is silent");
}

/// Guards against a veto that takes effect only with the settings tree, or that outlives it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn veto_holds_until_its_version_is_in_force() {
    let cluster = Cluster::start(&["a"], 1).await;
    cluster.wait_ready().await;
    let membership = &cluster.processes[0].membership;
    assert!(!membership.is_out("a"));
    membership.record_veto("a", 2);
    assert!(membership.is_out("a"));
    common::write_tree(&*cluster.store, 2, &[]).await;
    let restored = eventually(Duration::from_secs(15), || !membership.is_out("a")).await;
    assert!(
        restored,
        "the veto of version 2 outlives the tree of version 2, in which the domain is in service"
    );
}
