//! Distribution of the settings tree between processes over real connections.

#[path = "common/cluster.rs"]
mod common;

use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use common::{Cluster, TestProcess, eventually, write_tree};
use lacewingrail_clients::StoreFaults;
use lacewingrail_model::message::{ConfigPayload, PeerRequest, PeerResponse};
use lacewingrail_wire::PeerClient;

const PROCESSES_PER_DOMAIN: usize = 6;
/// Time within which a change must be in force in every process when all run on one machine.
const PROPAGATION_BOUND: Duration = Duration::from_secs(2);

/// Guards against changes that reach some processes only through the infrequent poll.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn change_reaches_every_process_within_the_bound() {
    let cluster = Cluster::start(&["a", "b", "c"], PROCESSES_PER_DOMAIN).await;
    cluster.wait_ready().await;
    // Processes start to watch once they know their peers.
    tokio::time::sleep(Duration::from_secs(2)).await;
    for version in 2..=4 {
        write_tree(&*cluster.store, version, &[]).await;
        let written = Instant::now();
        let reached = eventually(PROPAGATION_BOUND, || cluster.all_have_version(version)).await;
        assert!(
            reached,
            "version {version} is not in force in every process after {:?}",
            written.elapsed()
        );
    }
}

/// Guards against a number of watches that grows with the number of processes.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn watches_stay_at_two_per_domain() {
    let cluster = Cluster::start(&["a", "b"], PROCESSES_PER_DOMAIN).await;
    cluster.wait_ready().await;
    // Long enough for every process to know the schedulers of its domain.
    tokio::time::sleep(Duration::from_secs(16)).await;
    let waiting = cluster.store.stats().waiting_watches;
    assert!(waiting <= 4, "{waiting} watches are waiting for 2 domains");
}

/// Guards against a process that keeps an old tree when only its own link to the store fails.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn process_without_store_gets_the_tree_from_peers() {
    let cluster = Cluster::start(&["a"], 4).await;
    cluster.wait_ready().await;
    cluster.processes[0].link.set_disconnected(true);
    write_tree(&*cluster.store, 2, &[]).await;
    let reached = eventually(Duration::from_secs(4), || cluster.all_have_version(2)).await;
    assert!(reached, "a process that cannot reach the store does not get the tree from its peers");
}

/// Guards against a process that restarts during a store outage and serves without configuration or
/// with an older one than its peers have.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn restarted_process_gets_the_tree_from_its_peers() {
    let mut cluster = Cluster::start(&["a"], 3).await;
    cluster.wait_ready().await;
    write_tree(&*cluster.store, 5, &[]).await;
    assert!(eventually(Duration::from_secs(4), || cluster.all_have_version(5)).await);
    cluster.store.set_faults(StoreFaults::outage());
    let restarted =
        TestProcess::start("a", "a-restarted", &cluster.addresses(), &cluster.store).await;
    assert!(!restarted.membership.ready(), "a process is ready before it has a tree");
    let ready = eventually(Duration::from_secs(4), || restarted.membership.ready()).await;
    assert!(ready, "the restarted process does not become ready");
    assert_eq!(restarted.membership.current().version, 5);
    cluster.processes.push(restarted);
}

/// Guards against a process that is ready without a configuration when neither the store nor a peer
/// is reachable.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn process_alone_without_store_is_not_ready() {
    let cluster = Cluster::start(&[], 0).await;
    cluster.store.set_faults(StoreFaults::outage());
    let alone = TestProcess::start("a", "a-alone", &[], &cluster.store).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert!(!alone.membership.ready());
}

/// Guards against a delayed push that reverts the process to an older tree.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn older_tree_is_ignored() {
    let cluster = Cluster::start(&["a"], 1).await;
    cluster.wait_ready().await;
    write_tree(&*cluster.store, 3, &[]).await;
    let process = &cluster.processes[0];
    assert!(eventually(Duration::from_secs(15), || cluster.all_have_version(3)).await);
    let older = ConfigPayload { version: 2, text: common::tree_text(2, &[]) };
    process.membership.publish(older).await;
    assert_eq!(process.membership.current().version, 3);
}

/// Guards against a malformed tree that replaces the one in force.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn malformed_tree_does_not_replace_the_current_one() {
    let cluster = Cluster::start(&["a"], 1).await;
    cluster.wait_ready().await;
    let process = &cluster.processes[0];
    let broken = ConfigPayload { version: 9, text: "{\"version\": 9}".to_owned() };
    process.membership.publish(broken).await;
    assert_eq!(process.membership.current().version, 1);
}

/// Guards against accepting the settings tree of another system, one of whose processes reuses the
/// address of a former peer.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn processes_of_another_system_are_refused() {
    let cluster = Cluster::start(&["a"], 1).await;
    cluster.wait_ready().await;
    let process = &cluster.processes[0];
    let payload = ConfigPayload { version: 9, text: common::tree_text(9, &["a"]) };
    let foreign = PeerClient::new().with_system("other");
    let timeout = Duration::from_secs(2);
    let push = PeerRequest::ConfigPush(payload.clone());
    let response = foreign.call(&process.address(), String::new(), push, timeout).await;
    assert_matches!(response, Ok(PeerResponse::Refused { .. }));
    assert_eq!(process.membership.current().version, 1);
    let own = PeerClient::new().with_system("test");
    let push = PeerRequest::ConfigPush(payload);
    let response = own.call(&process.address(), String::new(), push, timeout).await;
    assert_matches!(response, Ok(PeerResponse::Done));
    assert_eq!(process.membership.current().version, 9);
}
