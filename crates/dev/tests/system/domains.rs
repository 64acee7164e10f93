//! Failure domains that are cut off or taken out.

use std::time::{Duration, Instant};

use lacewingrail_dev::callers::TryOutcome;
use lacewingrail_standins::audit::find_late_starts;

use crate::settings::wait_in_force;
use crate::support::bed::{TestBed, gang, settings_tree};
use crate::support::eventually;
use crate::support::load::{TestLoad, assert_done};

/// Longest start of urgent work.
const START: Duration = Duration::from_millis(6_400);
/// Time in which starts stop in a domain that is cut off, with the delay of a message.
const STARTS_STOP: Duration = Duration::from_millis(2_100);
/// Time after the write of a take-out from which no task starts in the domain.
const OUT_LIMIT: Duration = Duration::from_secs(3);
/// Length of a cut.
const CUT: Duration = Duration::from_secs(13);
/// Time in which a domain follows again: connections that went silent are replaced in 1.5 s, the
/// settings are polled every 10 s on average.
const FOLLOW: Duration = Duration::from_secs(11);

/// Guards against a domain that stops serving, or starts what it may not, while it is cut off, and
/// against one that does not follow after the cut.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_domain_that_is_cut_off_serves_and_starts_nothing() {
    let mut bed = TestBed::start().await;
    // One gang runs through the whole cut and one ends in it.
    let lasting = bed.submit("s-a1", &gang(2, &["b"], Duration::from_secs(22))).await;
    bed.wait_running(&lasting, START).await;
    let running = bed.submit("s-a1", &gang(2, &["b"], Duration::from_secs(7))).await;
    bed.wait_running(&running, START).await;
    let waiting = bed.submit("s-a1", &gang(2, &["b"], Duration::from_secs(1))).await;
    let inner = TestLoad::start("inner", bed.targets(&["e-b1"]), true);
    let outer = TestLoad::start("outer", bed.targets(&["e-a1", "e-a2", "e-c1"]), true);
    eventually("requests pass", START, || inner.samples().len() > 50).await;
    let (cut, cut_ms) = (Instant::now(), bed.now_ms());
    bed.cut_off("b");
    let accepted = bed.admin("s-a1").put_tree(&settings_tree(&["during"]), 1).await;
    let version = accepted.unwrap_or_else(|error| panic!("the change failed: {error}"));
    bed.wait_finished(&running, Duration::from_secs(10)).await;
    assert!(cut.elapsed() < CUT, "the gang goes on in the cut");
    tokio::time::sleep(CUT.saturating_sub(cut.elapsed())).await;
    let (healed, healed_ms) = (Instant::now(), bed.now_ms());
    bed.heal("b");
    let holdings = bed.holdings();
    let none: Vec<String> = Vec::new();
    assert_eq!(find_late_starts(&holdings, "b", cut_ms, STARTS_STOP, healed_ms), none);
    let took = wait_in_force(&bed, version, "during", FOLLOW).await;
    println!("the domain follows the settings {took:?} after the cut");
    bed.wait_finished(&waiting, Duration::from_secs(20)).await;
    println!("the waiting gang finished {:?} after the cut", healed.elapsed());
    bed.wait_finished(&lasting, Duration::from_secs(30)).await;
    for job in [&lasting, &running, &waiting] {
        bed.wait_recorded("s-a1", job, START).await;
        assert!(bed.runs(&job.id).iter().all(|run| run.member.attempt == 1), "{} ran once", job.id);
    }
    eventually("claims work again", FOLLOW, || {
        let samples = inner.samples();
        samples.iter().any(|sample| {
            sample.sent > healed && sample.key.is_some() && sample.outcome == TryOutcome::Done
        })
    })
    .await;
    let (inner, outer) = (inner.stop().await, outer.stop().await);
    assert_done(&inner, "repeatable requests within", |sample| sample.key.is_none());
    assert_done(&outer, "repeatable requests outside", |sample| sample.key.is_none());
    let refused = inner
        .iter()
        .filter(|sample| sample.sent > cut && sample.sent < healed && sample.key.is_some());
    for sample in refused {
        let key = sample.key.clone().unwrap_or_default();
        assert!(!matches!(sample.outcome, TryOutcome::Wrong(_)), "{sample:?}");
        if matches!(sample.outcome, TryOutcome::NotRun(_)) {
            assert_eq!(bed.runs_of_key(&key), 0, "{key} was reported as not run");
        }
    }
    bed.assert_truth();
}

/// Guards against a take-out that is accepted although a domain that cannot hear of it still starts
/// tasks.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_take_out_holds_in_a_domain_that_is_cut_off() {
    let mut bed = TestBed::start().await;
    // Short jobs keep the domain starting until it may not any more.
    let mut jobs = Vec::new();
    for _ in 0..30 {
        jobs.push(bed.submit("s-a1", &gang(1, &["b"], Duration::from_millis(700))).await);
    }
    let started = || jobs.iter().filter(|job| !bed.runs(&job.id).is_empty()).count();
    eventually("the domain starts jobs", START, || started() >= 4).await;
    bed.cut_off("b");
    let (asked, asked_ms) = (Instant::now(), bed.now_ms());
    let change = bed.admin("s-c1").set_out("b", true).await;
    let change = change.unwrap_or_else(|error| panic!("the take-out failed: {error}"));
    println!("accepted after {:?}: {}", asked.elapsed(), change.steps.join(", "));
    assert!(change.out && change.steps.iter().any(|step| step == "permission expired"));
    let waiting = jobs.len() - started();
    assert!(waiting > 0, "jobs must wait for the verdict to mean anything");
    // The take-out was written after it was asked for, so this is at least as strict as the bound.
    tokio::time::sleep(Duration::from_secs(8).saturating_sub(asked.elapsed())).await;
    let healed_ms = bed.now_ms();
    bed.heal("b");
    let none: Vec<String> = Vec::new();
    assert_eq!(find_late_starts(&bed.holdings(), "b", asked_ms, OUT_LIMIT, healed_ms), none);
    // After the cut the domain learns that it is out, and stays quiet until it returns.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let back_ms = bed.now_ms();
    assert_eq!(find_late_starts(&bed.holdings(), "b", asked_ms, OUT_LIMIT, back_ms), none);
    let change = bed.admin("s-a1").set_out("b", false).await;
    change.unwrap_or_else(|error| panic!("the return failed: {error}"));
    let limit = Duration::from_secs(25);
    for job in &jobs {
        bed.wait_finished(job, limit).await;
    }
    for job in &jobs {
        bed.wait_recorded("s-a1", job, START).await;
    }
    bed.assert_truth();
}
