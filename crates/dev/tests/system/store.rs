//! An outage of the key-value service.

use std::time::{Duration, Instant};

use lacewingrail_clients::StoreFaults;
use lacewingrail_dev::callers::TryOutcome;

use crate::support::bed::{TestBed, WORKERS, gang};
use crate::support::eventually;
use crate::support::load::{TestLoad, assert_done};

/// Length of the outage.
const OUTAGE: Duration = Duration::from_secs(15);
/// Longest start of urgent work.
const START: Duration = Duration::from_millis(6_400);
/// Time in which processes notice that the store is back, as a lease lapsed meanwhile.
const RETURN: Duration = Duration::from_secs(10);

/// Guards against an outage of the store that stops requests, running gangs or, while every domain
/// says that it has no contact either, starts; and against an outcome that is claimed without it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_outage_of_the_store_stops_neither_requests_nor_gangs() {
    let mut bed = TestBed::start().await;
    let running = bed.submit("s-c1", &gang(2, &["b"], Duration::from_secs(20))).await;
    bed.wait_running(&running, START).await;
    let ends = bed.submit("s-c1", &gang(WORKERS, &["c"], Duration::from_secs(6))).await;
    bed.wait_running(&ends, START).await;
    let waits = bed.submit("s-c1", &gang(WORKERS, &["c"], Duration::from_secs(2))).await;
    let load = TestLoad::start("outage", bed.targets(&["e-a1", "e-a2", "e-b1", "e-c1"]), true);
    let warm = load.samples().len() + 50;
    eventually("requests pass", START, || load.samples().len() > warm).await;
    let out = Instant::now();
    bed.store.store().set_faults(StoreFaults::outage());
    bed.wait_finished(&ends, Duration::from_secs(12)).await;
    eventually("the waiting gang starts in the outage", OUTAGE - out.elapsed(), || {
        bed.running(&waits.id) == WORKERS as usize
    })
    .await;
    println!("the waiting gang started {:?} into the outage", out.elapsed());
    tokio::time::sleep(OUTAGE.saturating_sub(out.elapsed())).await;
    assert_eq!(bed.running(&running.id), 2, "the running gang goes on");
    bed.store.store().set_faults(StoreFaults::default());
    let back = Instant::now();
    for job in [&running, &ends, &waits] {
        bed.wait_finished(job, Duration::from_secs(20)).await;
        bed.wait_recorded("s-a1", job, RETURN).await;
    }
    eventually("claims work again", RETURN, || {
        let samples = load.samples();
        samples.iter().any(|sample| {
            sample.sent > back && sample.key.is_some() && sample.outcome == TryOutcome::Done
        })
    })
    .await;
    let samples = load.stop().await;
    assert_done(&samples, "repeatable requests", |sample| sample.key.is_none());
    for sample in samples.iter().filter(|sample| sample.key.is_some()) {
        let key = sample.key.clone().unwrap_or_default();
        match &sample.outcome {
            TryOutcome::Wrong(cause) => panic!("{key}: {cause}"),
            TryOutcome::NotRun(_) => assert_eq!(bed.runs_of_key(&key), 0, "{key} did run"),
            TryOutcome::Done | TryOutcome::Unknown(_) => {}
        }
    }
    let refused = samples.iter().filter(|sample| matches!(sample.outcome, TryOutcome::NotRun(_)));
    assert!(refused.count() > 0, "claims are refused in an outage");
    assert!(bed.runs(&running.id).iter().all(|run| run.member.attempt == 1), "the gang is kept");
    bed.assert_truth();
}
