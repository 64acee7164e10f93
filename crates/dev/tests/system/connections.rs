//! Connections that go silent for good while new ones work.

use std::time::{Duration, Instant};

use lacewingrail_dev::callers::TryOutcome;
use lacewingrail_standins::LinkSelection;

use crate::settings::wait_in_force;
use crate::support::bed::{CALLERS, TestBed, gang, settings_tree};
use crate::support::eventually;
use crate::support::load::{LoadSample, TestLoad, assert_done};

/// Longest start of urgent work.
const START: Duration = Duration::from_millis(6_400);
/// Time in which a silent connection is replaced.
const REPLACED: Duration = Duration::from_millis(1_500);
/// Slack for a machine that runs other tests.
const SLACK: Duration = Duration::from_secs(1);
/// Time in which settings are in force everywhere although watches went silent.
const IN_FORCE: Duration = Duration::from_secs(11);

/// Guards against a process that waits for ever on a connection that lost its other end: every
/// established connection within the system goes silent at once, and nothing may stop.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_connections_on_every_link_are_replaced() {
    let mut bed = TestBed::start().await;
    let running = bed.submit("s-a1", &gang(2, &["a"], Duration::from_secs(15))).await;
    bed.wait_running(&running, START).await;
    let lease = bed.holder("a").await.expect("a holder");
    let load = TestLoad::start("silence", bed.targets(&["e-a1", "e-a2", "e-b1", "e-c1"]), true);
    eventually("requests pass", START, || load.samples().len() > 100).await;
    let silenced = Instant::now();
    let links = bed.proxy.links();
    let inner = links.iter().filter(|link| link.spec.from != CALLERS);
    let count =
        inner.map(|link| bed.proxy.silence(&LinkSelection::link(&link.spec.name))).sum::<usize>();
    println!("{count} links went silent");
    let next = bed.submit("s-a1", &gang(1, &["a"], Duration::from_secs(1))).await;
    bed.wait_running(&next, START).await;
    println!("a new job ran {:?} after the silence", silenced.elapsed());
    let accepted = bed.admin("s-b1").put_tree(&settings_tree(&["after"]), 1).await;
    let version = accepted.unwrap_or_else(|error| panic!("the change failed: {error}"));
    let took = wait_in_force(&bed, version, "after", IN_FORCE).await;
    println!("settings were in force everywhere {took:?} after their acceptance");
    bed.wait_finished(&running, Duration::from_secs(20)).await;
    for job in [&running, &next] {
        bed.wait_finished(job, START).await;
        bed.wait_recorded("s-a1", job, START).await;
        assert!(bed.runs(&job.id).iter().all(|run| run.member.attempt == 1), "{} ran once", job.id);
    }
    let samples = load.stop().await;
    // While all connections are silent, the retry budget of 10% cannot save every request; each must
    // still end as soon as its connection is found silent, with a true outcome.
    let recovered = silenced + REPLACED + SLACK;
    let meets =
        |sample: &LoadSample| sample.sent + sample.took >= silenced && sample.sent <= recovered;
    assert_done(&samples, "requests before and after", |sample| !meets(sample));
    let met: Vec<_> = samples.iter().filter(|sample| meets(sample)).collect();
    let done = met.iter().filter(|sample| sample.outcome == TryOutcome::Done).count();
    println!("requests that met silent connections: {done} of {} answered", met.len());
    for sample in met {
        assert!(sample.took <= REPLACED * 2 + SLACK, "a request waits for ever: {sample:?}");
        if sample.key.is_none() {
            assert!(!matches!(sample.outcome, TryOutcome::Wrong(_)), "{sample:?}");
            continue;
        }
        let key = sample.key.clone().unwrap_or_default();
        match &sample.outcome {
            TryOutcome::Wrong(cause) => panic!("{key}: {cause}"),
            TryOutcome::NotRun(_) => assert_eq!(bed.runs_of_key(&key), 0, "{key} did run"),
            TryOutcome::Done | TryOutcome::Unknown(_) => {}
        }
    }
    let after = bed.holder("a").await.expect("a holder");
    println!("epoch of a: {} before, {} after", lease.epoch, after.epoch);
    bed.assert_truth();
}
