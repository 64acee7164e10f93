//! Entry processes that die or leave while callers wait.

use std::time::{Duration, Instant};

use lacewingrail_dev::callers::{CallerClient, TryOutcome};
use rustix::process::Signal;

use crate::support::bed::TestBed;
use crate::support::load::{LoadSample, TestLoad, assert_done, build};
use crate::support::{eventually, eventually_async};

/// Longest wait for one answer.
const ANSWER: Duration = Duration::from_secs(8);
/// Pause between tries.
const PAUSE: Duration = Duration::from_millis(300);
/// Lag with which the load balancer notices a process that is not ready.
const BALANCER_LAG: Duration = Duration::from_millis(500);
/// Longest graceful end: 3 s lag of load balancers, a 5 s deadline, 2 s for idle connections.
const GRACEFUL_END: Duration = Duration::from_secs(12);

/// Guards against a second run of a non-repeatable request whose entry process was killed, against a
/// lost answer that was already recorded, and against a false "not run".
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_retry_elsewhere_after_a_crash_runs_nothing_twice() {
    let mut bed = TestBed::start().await;
    let client = CallerClient::default();
    let (first, second) = (bed.url("e-a1"), bed.url("e-a2"));
    let recorded = build("recorded", Some("recorded".to_owned()));
    assert_eq!(client.send(&first, &recorded, ANSWER).await, TryOutcome::Done);
    // The outcome is recorded after the answer; a retry may be told "unknown" until then.
    eventually_async("the answer is recorded", ANSWER, || async {
        client.send(&second, &recorded, ANSWER).await == TryOutcome::Done
    })
    .await;
    let mut slow = build("slow", Some("slow".to_owned()));
    slow.work_ms = Some(1_500);
    let load = TestLoad::start("crash", bed.targets(&["e-a1", "e-a2"]), true);
    let caller = tokio::spawn({
        let (client, first, slow) = (client.clone(), first.clone(), slow.clone());
        async move { client.send(&first, &slow, ANSWER).await }
    });
    eventually("the slow request runs", ANSWER, || bed.runs_of_key("slow") == 1).await;
    bed.process("e-a1").kill();
    let lost = caller.await.expect("the caller ends");
    assert!(matches!(lost, TryOutcome::Unknown(_)), "the caller of a killed process: {lost:?}");
    let until = Instant::now() + Duration::from_secs(4);
    while Instant::now() < until {
        let retry = client.send(&second, &slow, ANSWER).await;
        assert!(!matches!(retry, TryOutcome::NotRun(_) | TryOutcome::Wrong(_)), "{retry:?}");
        tokio::time::sleep(PAUSE).await;
    }
    assert_eq!(bed.runs_of_key("slow"), 1);
    assert_eq!(client.send(&second, &recorded, ANSWER).await, TryOutcome::Done);
    let samples = load.stop().await;
    assert_done(&samples, "requests through the other process", |sample| sample.target == second);
    // Requests that the crash hit are sent again elsewhere until their outcome is known or unclear.
    let hit = samples.iter().filter(|sample| sample.target == first && sample.key.is_some());
    let hit: Vec<&LoadSample> = hit.filter(|sample| sample.outcome != TryOutcome::Done).collect();
    println!("{} non-repeatable tries met the crash", hit.len());
    for sample in hit {
        let key = sample.key.clone().unwrap_or_default();
        if matches!(sample.outcome, TryOutcome::NotRun(_)) {
            assert_eq!(bed.runs_of_key(&key), 0, "{key} was reported as not run");
        }
    }
    bed.assert_truth();
}

/// Guards against requests that are cut when entry processes end gracefully one after the other.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn graceful_ends_under_load_cut_no_request() {
    let mut bed = TestBed::start().await;
    let targets = bed.targets(&["e-a1", "e-a2", "e-b1", "e-c1"]);
    let load = TestLoad::start("drain", targets.clone(), true);
    for name in ["e-a1", "e-a2", "e-b1"] {
        let url = bed.url(name);
        let before = load.samples().len();
        eventually("requests pass", ANSWER, || load.samples().len() > before + 50).await;
        bed.process(name).signal(Signal::TERM);
        eventually_async("readiness fails", Duration::from_secs(1), || async {
            !bed.is_ready(name).await
        })
        .await;
        // The load balancer sends requests until it notices.
        tokio::time::sleep(BALANCER_LAG).await;
        targets.lock().expect("targets").retain(|target| *target != url);
        let status = bed.process(name).wait_exit(GRACEFUL_END).await;
        assert!(status.success(), "{name}: {status}");
    }
    assert_done(&load.stop().await, "requests", |_| true);
    bed.assert_truth();
}
