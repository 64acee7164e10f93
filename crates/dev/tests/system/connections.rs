//! Established connections that stop delivering data for good, while new ones work.

use std::time::{Duration, Instant};

use lacewingrail_dev::callers::TryOutcome;
use lacewingrail_standins::LinkSelection;

use crate::settings::wait_for_settings;
use crate::support::cluster::{CALLERS_GROUP, TestCluster, gang_spec, settings_tree};
use crate::support::eventually;
use crate::support::load::{LoadSample, TestLoad, assert_all_done};

/// Maximum delay from the submission of urgent work to its start.
const MAX_START_DELAY: Duration = Duration::from_millis(6_400);
/// Maximum time until a silent connection is detected and replaced.
const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(1_500);
/// Additional time on a machine that runs other tests at once.
const LOAD_SLACK: Duration = Duration::from_secs(1);
/// Timeout until settings are in force in all processes although their watches deliver no more
/// events.
const SETTINGS_TIMEOUT: Duration = Duration::from_secs(11);

/// Guards against a process that waits forever on a connection that delivers no more data.
///
/// All established connections within the system go silent at once; jobs, requests and settings
/// changes must continue over new ones.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_connections_on_every_link_are_replaced() {
    let mut cluster = TestCluster::start().await;
    let running = cluster.submit("s-a1", &gang_spec(2, &["a"], Duration::from_secs(15))).await;
    cluster.wait_running(&running, MAX_START_DELAY).await;
    let lease = cluster.read_lease("a").await.expect("the domain has a lease holder");
    let load =
        TestLoad::start("silence", cluster.load_targets(&["e-a1", "e-a2", "e-b1", "e-c1"]), true);
    eventually("requests are answered", MAX_START_DELAY, || load.samples().len() > 100).await;
    let silenced_at = Instant::now();
    let links = cluster.proxy.links();
    let internal_links = links.iter().filter(|link| link.spec.from != CALLERS_GROUP);
    let count = internal_links
        .map(|link| cluster.proxy.silence(&LinkSelection::link(&link.spec.name)))
        .sum::<usize>();
    println!("{count} links went silent");
    let next_job = cluster.submit("s-a1", &gang_spec(1, &["a"], Duration::from_secs(1))).await;
    cluster.wait_running(&next_job, MAX_START_DELAY).await;
    println!("a new job ran {:?} after the silence", silenced_at.elapsed());
    let accepted = cluster.admin("s-b1").put_tree(&settings_tree(&["after"]), 1).await;
    let version = accepted.unwrap_or_else(|error| panic!("the change failed: {error}"));
    let took = wait_for_settings(&cluster, version, "after", SETTINGS_TIMEOUT).await;
    println!("settings were in force everywhere {took:?} after their acceptance");
    cluster.wait_finished(&running, Duration::from_secs(20)).await;
    for job in [&running, &next_job] {
        cluster.wait_finished(job, MAX_START_DELAY).await;
        cluster.wait_recorded("s-a1", job, MAX_START_DELAY).await;
        assert!(
            cluster.started_members(&job.id).iter().all(|run| run.member.attempt == 1),
            "{} must run in a single attempt",
            job.id
        );
    }
    let samples = load.stop().await;
    // While all connections are silent, the retry budget of 10% does not suffice for every request.
    // Each must still end once its connection is detected as silent, with a correct outcome.
    let recovered_at = silenced_at + MAX_RECONNECT_DELAY + LOAD_SLACK;
    let overlaps_silence = |sample: &LoadSample| {
        sample.sent_at + sample.latency >= silenced_at && sample.sent_at <= recovered_at
    };
    assert_all_done(&samples, "requests before and after the silence", |sample| {
        !overlaps_silence(sample)
    });
    let affected: Vec<_> = samples.iter().filter(|sample| overlaps_silence(sample)).collect();
    let done = affected.iter().filter(|sample| sample.outcome == TryOutcome::Done).count();
    println!("requests during the silence: {done} of {} answered", affected.len());
    for sample in affected {
        assert!(
            sample.latency <= MAX_RECONNECT_DELAY * 2 + LOAD_SLACK,
            "a request outlasts the detection of silent connections: {sample:?}"
        );
        if sample.key.is_none() {
            assert!(!matches!(sample.outcome, TryOutcome::Wrong(_)), "{sample:?}");
            continue;
        }
        let key = sample.key.clone().unwrap_or_default();
        match &sample.outcome {
            TryOutcome::Wrong(cause) => panic!("{key}: {cause}"),
            TryOutcome::NotRun(_) => {
                assert_eq!(cluster.count_runs_of_key(&key), 0, "{key} was reported as not run")
            }
            TryOutcome::Done | TryOutcome::Unknown(_) => {}
        }
    }
    let later_lease = cluster.read_lease("a").await.expect("the domain has a lease holder");
    println!("epoch of a: {} before, {} after", lease.epoch, later_lease.epoch);
    cluster.assert_invariants();
}
