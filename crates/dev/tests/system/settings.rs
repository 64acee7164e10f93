//! Distribution of settings to all processes, and concurrent changes by operators.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use lacewingrail_dev::api::CallError;
use lacewingrail_dev::callers::{CallerClient, TryOutcome};

use crate::support::cluster::{TestCluster, settings_tree};
use crate::support::eventually_async;
use crate::support::load::build_request;

/// Entry processes of the test cluster.
pub const ENTRIES: [&str; 4] = ["e-a1", "e-a2", "e-b1", "e-c1"];
/// Scheduler processes of the test cluster.
pub const SCHEDULERS: [&str; 4] = ["s-a1", "s-a2", "s-b1", "s-c1"];
/// Timeout until accepted settings are in force in all processes, which share one machine.
const SETTINGS_TIMEOUT: Duration = Duration::from_secs(2);

/// Waits until a version that adds a customer is in force in all processes; returns the time taken.
pub async fn wait_for_settings(
    cluster: &TestCluster,
    version: u64,
    customer: &str,
    timeout: Duration,
) -> Duration {
    let started_at = Instant::now();
    let client = CallerClient::default();
    for name in ENTRIES {
        let mut request = build_request("settings", None);
        request.customer = customer.to_owned();
        let description = format!("{name} serves the customer {customer}");
        eventually_async(&description, timeout.saturating_sub(started_at.elapsed()), || async {
            client.send(&cluster.url(name), &request, timeout).await == TryOutcome::Done
        })
        .await;
    }
    for name in SCHEDULERS {
        let description = format!("{name} uses settings version {version}");
        let log_line = format!("settings version {version} is in force");
        eventually_async(&description, timeout.saturating_sub(started_at.elapsed()), || async {
            cluster.processes[name].log().contains(&log_line)
        })
        .await;
    }
    started_at.elapsed()
}

/// Guards against a process that keeps using old settings after a change was accepted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_reaches_all_processes_in_time() {
    let mut cluster = TestCluster::start().await;
    for (round, scheduler) in SCHEDULERS.into_iter().enumerate() {
        let customer = format!("customer-{round}");
        let version = round as u64 + 1;
        let accepted =
            cluster.admin(scheduler).put_tree(&settings_tree(&[&customer]), version).await;
        let version = accepted.unwrap_or_else(|error| panic!("the change failed: {error}"));
        let took = wait_for_settings(&cluster, version, &customer, SETTINGS_TIMEOUT).await;
        println!("version {version} through {scheduler}: in force everywhere after {took:?}");
    }
    cluster.assert_invariants();
}

/// Guards against a lost update when operators write concurrently.
///
/// Of two writes based on the same version, one succeeds and the other gets a conflict; after its
/// retry both changes are in force.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn concurrent_operators_lose_no_change() {
    let mut cluster = TestCluster::start().await;
    let mut customers: BTreeSet<String> = BTreeSet::new();
    let [first_admin, second_admin] = [cluster.admin("s-a1"), cluster.admin("s-b1")];
    let tree_text = |customers: &BTreeSet<String>| {
        settings_tree(&customers.iter().map(String::as_str).collect::<Vec<_>>())
    };
    for round in 0..10_u32 {
        let version = first_admin.tree().await.expect("read the settings tree").version;
        let (first, second) = (format!("first-{round}"), format!("second-{round}"));
        let text_with = |name: &String| {
            let mut customers = customers.clone();
            customers.insert(name.clone());
            tree_text(&customers)
        };
        let (first_text, second_text) = (text_with(&first), text_with(&second));
        let (first_result, second_result) = tokio::join!(
            first_admin.put_tree(&first_text, version),
            second_admin.put_tree(&second_text, version)
        );
        let (winner, loser, conflict) = match (first_result, second_result) {
            (Ok(_), Err(error)) => (first, second, error),
            (Err(error), Ok(_)) => (second, first, error),
            outcome => panic!("exactly one of two concurrent writes must succeed: {outcome:?}"),
        };
        let CallError::Refused(status, report) = &conflict else {
            panic!("the conflict must be reported as a refusal: {conflict:?}")
        };
        assert_eq!((status.as_u16(), report.current_version), (409, Some(version + 1)));
        customers.insert(winner);
        customers.insert(loser);
        let next = second_admin
            .put_tree(&tree_text(&customers), version + 1)
            .await
            .expect("the retry succeeds");
        assert_eq!(next, version + 2);
    }
    let stored = first_admin.tree().await.expect("read the settings tree");
    assert!(stored.from_store && stored.text == tree_text(&customers), "no change may be lost");
    let last_customer = format!("second-{}", 9);
    wait_for_settings(&cluster, stored.version, &last_customer, SETTINGS_TIMEOUT).await;
    cluster.assert_invariants();
}
