//! Settings that must reach every process, and operators who change them at once.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use lacewingrail_dev::api::CallError;
use lacewingrail_dev::callers::{CallerClient, TryOutcome};

use crate::support::bed::{TestBed, settings_tree};
use crate::support::eventually_async;
use crate::support::load::build;

/// Entry processes of the test bed.
pub const ENTRIES: [&str; 4] = ["e-a1", "e-a2", "e-b1", "e-c1"];
/// Scheduler processes of the test bed.
pub const SCHEDULERS: [&str; 4] = ["s-a1", "s-a2", "s-b1", "s-c1"];
/// Time in which accepted settings are in force everywhere, on one machine.
const IN_FORCE: Duration = Duration::from_secs(2);

/// Waits until every process follows a version that adds a customer.
pub async fn wait_in_force(
    bed: &TestBed,
    version: u64,
    customer: &str,
    limit: Duration,
) -> Duration {
    let begun = Instant::now();
    let client = CallerClient::default();
    for name in ENTRIES {
        let mut request = build("settings", None);
        request.customer = customer.to_owned();
        let what = format!("{name} knows {customer}");
        eventually_async(&what, limit.saturating_sub(begun.elapsed()), || async {
            client.send(&bed.url(name), &request, limit).await == TryOutcome::Done
        })
        .await;
    }
    for name in SCHEDULERS {
        let what = format!("{name} follows version {version}");
        let note = format!("settings version {version} is in force");
        eventually_async(&what, limit.saturating_sub(begun.elapsed()), || async {
            bed.processes[name].log().contains(&note)
        })
        .await;
    }
    begun.elapsed()
}

/// Guards against a process that goes on with old settings after a change was accepted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_reaches_all_processes_in_time() {
    let mut bed = TestBed::start().await;
    for (round, through) in SCHEDULERS.into_iter().enumerate() {
        let customer = format!("customer-{round}");
        let version = round as u64 + 1;
        let accepted = bed.admin(through).put_tree(&settings_tree(&[&customer]), version).await;
        let version = accepted.unwrap_or_else(|error| panic!("the change failed: {error}"));
        let took = wait_in_force(&bed, version, &customer, IN_FORCE).await;
        println!("version {version} through {through}: in force everywhere after {took:?}");
    }
    bed.assert_truth();
}

/// Guards against a lost change when operators write at the same time: one of two writes on the same
/// version wins, the other is told so, and after its repetition both are in force.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn racing_operators_lose_no_change() {
    let mut bed = TestBed::start().await;
    let mut customers: BTreeSet<String> = BTreeSet::new();
    let [one, two] = [bed.admin("s-a1"), bed.admin("s-b1")];
    let text = |customers: &BTreeSet<String>| {
        settings_tree(&customers.iter().map(String::as_str).collect::<Vec<_>>())
    };
    for round in 0..10_u32 {
        let version = one.tree().await.expect("the settings tree").version;
        let (first, second) = (format!("first-{round}"), format!("second-{round}"));
        let with = |name: &String| {
            let mut customers = customers.clone();
            customers.insert(name.clone());
            text(&customers)
        };
        let (first_text, second_text) = (with(&first), with(&second));
        let (left, right) =
            tokio::join!(one.put_tree(&first_text, version), two.put_tree(&second_text, version));
        let (winner, loser, conflict) = match (left, right) {
            (Ok(_), Err(error)) => (first, second, error),
            (Err(error), Ok(_)) => (second, first, error),
            outcome => panic!("one of two racing writes must win: {outcome:?}"),
        };
        let CallError::Refused(status, report) = &conflict else {
            panic!("the loser must be told: {conflict:?}")
        };
        assert_eq!((status.as_u16(), report.current_version), (409, Some(version + 1)));
        customers.insert(winner);
        customers.insert(loser);
        let next = two.put_tree(&text(&customers), version + 1).await.expect("the repetition");
        assert_eq!(next, version + 2);
    }
    let stored = one.tree().await.expect("the settings tree");
    assert!(stored.from_store && stored.text == text(&customers), "no change is lost");
    let newest = format!("second-{}", 9);
    wait_in_force(&bed, stored.version, &newest, IN_FORCE).await;
    bed.assert_truth();
}
