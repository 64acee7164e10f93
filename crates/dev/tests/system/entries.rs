//! Entry processes that crash or shut down while requests are in flight.

use std::time::{Duration, Instant};

use lacewingrail_dev::callers::{CallerClient, TryOutcome};
use rustix::process::Signal;

use crate::support::cluster::TestCluster;
use crate::support::load::{LoadSample, TestLoad, assert_all_done, build_request};
use crate::support::{eventually, eventually_async};

/// Timeout of a request, and of the conditions that the tests wait for.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);
/// Delay between retries.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Delay after which the simulated load balancer stops sending requests to a process that is not
/// ready.
const BALANCER_DELAY: Duration = Duration::from_millis(500);
/// Timeout of a graceful shutdown: 3 s drain delay for load balancers, a 5 s request deadline, 2 s
/// for idle connections.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(12);

/// Guards against a second run of a non-repeatable request whose entry process is killed, against
/// the loss of a recorded answer, and against the outcome "not run" for a request that did run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_retry_through_another_entry_after_a_crash_runs_no_request_twice() {
    let mut cluster = TestCluster::start().await;
    let client = CallerClient::default();
    let (first, second) = (cluster.url("e-a1"), cluster.url("e-a2"));
    let recorded = build_request("recorded", Some("recorded".to_owned()));
    assert_eq!(client.send(&first, &recorded, ANSWER_TIMEOUT).await, TryOutcome::Done);
    // The outcome is recorded after the answer is sent; until then a retry may get "unknown".
    eventually_async("the answer is recorded", ANSWER_TIMEOUT, || async {
        client.send(&second, &recorded, ANSWER_TIMEOUT).await == TryOutcome::Done
    })
    .await;
    let mut slow = build_request("slow", Some("slow".to_owned()));
    slow.work_ms = Some(1_500);
    let load = TestLoad::start("crash", cluster.load_targets(&["e-a1", "e-a2"]), true);
    let caller_task = tokio::spawn({
        let (client, first, slow) = (client.clone(), first.clone(), slow.clone());
        async move { client.send(&first, &slow, ANSWER_TIMEOUT).await }
    });
    eventually("the slow request runs", ANSWER_TIMEOUT, || cluster.count_runs_of_key("slow") == 1)
        .await;
    cluster.process("e-a1").kill();
    let interrupted_outcome = caller_task.await.expect("the caller task should not panic");
    assert!(
        matches!(interrupted_outcome, TryOutcome::Unknown(_)),
        "outcome after the entry process was killed: {interrupted_outcome:?}"
    );
    let retries_end = Instant::now() + Duration::from_secs(4);
    while Instant::now() < retries_end {
        let retry = client.send(&second, &slow, ANSWER_TIMEOUT).await;
        assert!(!matches!(retry, TryOutcome::NotRun(_) | TryOutcome::Wrong(_)), "{retry:?}");
        tokio::time::sleep(RETRY_DELAY).await;
    }
    assert_eq!(cluster.count_runs_of_key("slow"), 1);
    assert_eq!(client.send(&second, &recorded, ANSWER_TIMEOUT).await, TryOutcome::Done);
    let samples = load.stop().await;
    assert_all_done(&samples, "requests through the other process", |sample| {
        sample.target == second
    });
    // A request that the crash interrupted may be reported as not run only if no backend server ran
    // it.
    let affected = samples.iter().filter(|sample| sample.target == first && sample.key.is_some());
    let affected: Vec<&LoadSample> =
        affected.filter(|sample| sample.outcome != TryOutcome::Done).collect();
    println!("{} non-repeatable requests were interrupted by the crash", affected.len());
    for sample in affected {
        let key = sample.key.clone().unwrap_or_default();
        if matches!(sample.outcome, TryOutcome::NotRun(_)) {
            assert_eq!(cluster.count_runs_of_key(&key), 0, "{key} was reported as not run");
        }
    }
    cluster.assert_invariants();
}

/// Guards against requests that are interrupted while entry processes shut down gracefully, one
/// after another.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn graceful_shutdown_under_load_interrupts_no_request() {
    let mut cluster = TestCluster::start().await;
    let targets = cluster.load_targets(&["e-a1", "e-a2", "e-b1", "e-c1"]);
    let load = TestLoad::start("drain", targets.clone(), true);
    for name in ["e-a1", "e-a2", "e-b1"] {
        let url = cluster.url(name);
        let before = load.samples().len();
        eventually("requests are answered", ANSWER_TIMEOUT, || load.samples().len() > before + 50)
            .await;
        cluster.process(name).signal(Signal::TERM);
        eventually_async("readiness fails", Duration::from_secs(1), || async {
            !cluster.is_ready(name).await
        })
        .await;
        // The simulated load balancer sends requests until it detects the failed readiness.
        tokio::time::sleep(BALANCER_DELAY).await;
        targets.lock().expect("the mutex is not poisoned").retain(|target| *target != url);
        let status = cluster.process(name).wait_exit(SHUTDOWN_TIMEOUT).await;
        assert!(status.success(), "{name}: {status}");
    }
    assert_all_done(&load.stop().await, "requests", |_| true);
    cluster.assert_invariants();
}
