//! Scheduler processes that die, pause or leave.

use std::time::Duration;

use lacewingrail_model::job::JobState;
use rustix::process::Signal;

use crate::support::bed::{DOMAINS, TestBed, WORKERS, gang};
use crate::support::load::{TestLoad, assert_done};
use crate::support::{eventually, eventually_async};

/// Longest start of urgent work.
const START: Duration = Duration::from_millis(6_400);
/// Takeover by a process of the same domain: 4 s lease, 2 s rebuild.
const TAKEOVER: Duration = Duration::from_secs(6);
/// Takeover by a process of another domain: 4 s lease, 2 s wait, 2 s rebuild.
const FOREIGN_TAKEOVER: Duration = Duration::from_secs(8);
/// Slack for a machine that runs other tests.
const SLACK: Duration = Duration::from_secs(3);

/// Guards against parts that do not fit together over real links: gangs of each domain run whole and
/// once, requests get their answers, and every kind of link carries traffic.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gangs_and_requests_run_through_the_proxy() {
    let mut bed = TestBed::start().await;
    let load = TestLoad::start("whole", bed.targets(&["e-a1", "e-a2", "e-b1", "e-c1"]), true);
    let mut jobs = Vec::new();
    for domain in DOMAINS {
        jobs.push(bed.submit("s-a1", &gang(2, &[domain], Duration::from_secs(2))).await);
    }
    jobs.push(bed.submit("s-b1", &gang(4, &[], Duration::from_secs(1))).await);
    for job in &jobs {
        bed.wait_finished(job, Duration::from_secs(15)).await;
        bed.wait_recorded("s-c1", job, START).await;
        assert!(bed.runs(&job.id).iter().all(|run| run.member.attempt == 1), "{} ran once", job.id);
    }
    assert_done(&load.stop().await, "requests", |_| true);
    for kind in ["store-", "list-", "workers-", "backend-", "peer-", "outer-"] {
        let links = bed.proxy.links();
        let links: Vec<_> = links.iter().filter(|link| link.spec.name.starts_with(kind)).collect();
        let bytes: u64 = links.iter().map(|link| link.bytes_backward).sum();
        assert!(bytes > 0, "no link {kind}* carried an answer");
    }
    bed.assert_truth();
}

/// Guards against gangs that stop, or jobs that run twice, when the active scheduler crashes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gangs_survive_the_crash_of_the_active_scheduler() {
    let mut bed = TestBed::start().await;
    let job = bed.submit("s-c1", &gang(2, &["a"], Duration::from_secs(12))).await;
    bed.wait_running(&job, START).await;
    let lease = bed.holder("a").await.expect("a holder");
    let holder = bed.name_of(&lease);
    bed.process(&holder).kill();
    let successor = bed.wait_takeover("a", lease.epoch, TAKEOVER + SLACK).await;
    assert_ne!(bed.name_of(&successor), holder);
    let next = bed.submit("s-c1", &gang(2, &["a"], Duration::from_secs(1))).await;
    bed.wait_running(&next, START + SLACK).await;
    assert_eq!(bed.running(&job.id), 2, "the first gang still runs");
    bed.wait_finished(&job, Duration::from_secs(15)).await;
    bed.wait_recorded("s-c1", &job, START).await;
    bed.wait_recorded("s-c1", &next, START).await;
    assert!(bed.runs(&job.id).iter().all(|run| run.member.attempt == 1), "the gang is adopted");
    bed.assert_truth();
}

/// Guards against a domain without schedulers whose gangs end although another domain's process
/// could have taken over in time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn another_domain_takes_over_the_last_scheduler_of_a_domain() {
    let mut bed = TestBed::start().await;
    let job = bed.submit("s-c1", &gang(2, &["b"], Duration::from_secs(14))).await;
    bed.wait_running(&job, START).await;
    let lease = bed.holder("b").await.expect("a holder");
    assert_eq!(bed.name_of(&lease), "s-b1");
    bed.process("s-b1").kill();
    let successor = bed.wait_takeover("b", lease.epoch, FOREIGN_TAKEOVER + SLACK).await;
    assert_ne!(bed.name_of(&successor), "s-b1");
    bed.wait_finished(&job, Duration::from_secs(18)).await;
    bed.wait_recorded("s-c1", &job, START).await;
    assert!(bed.runs(&job.id).iter().all(|run| run.member.attempt == 1), "the gang is adopted");
    bed.assert_truth();
}

/// Guards against two active schedulers: one that was paused past its lease must step down when it
/// goes on, and nothing it does may hold an accelerator twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_paused_scheduler_steps_down() {
    let mut bed = TestBed::start().await;
    let first = bed.submit("s-c1", &gang(2, &["a"], Duration::from_secs(20))).await;
    bed.wait_running(&first, START).await;
    let lease = bed.holder("a").await.expect("a holder");
    let holder = bed.name_of(&lease);
    // Waits for room when the holder is paused, so that both would like to start it.
    let waiting = bed.submit("s-c1", &gang(WORKERS, &["a"], Duration::from_secs(1))).await;
    bed.process(&holder).signal(Signal::STOP);
    let successor = bed.wait_takeover("a", lease.epoch, TAKEOVER + SLACK).await;
    let other = bed.submit("s-c1", &gang(2, &["a"], Duration::from_secs(1))).await;
    bed.process(&holder).signal(Signal::CONT);
    let note = format!("gives up a, epoch {}", lease.epoch);
    eventually("the paused scheduler steps down", TAKEOVER, || {
        bed.processes[&holder].log().contains(&note)
    })
    .await;
    for job in [&first, &waiting, &other] {
        bed.wait_finished(job, Duration::from_secs(30)).await;
        bed.wait_recorded("s-c1", job, START).await;
    }
    let now = bed.holder("a").await.expect("a holder");
    assert_eq!(now.holder, successor.holder, "the successor keeps the lease");
    bed.assert_truth();
}

/// Guards against a gap without an active scheduler after a graceful end, which must hand over at
/// once, and against gangs that stop with it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_scheduler_hands_over_at_once() {
    let mut bed = TestBed::start().await;
    let job = bed.submit("s-c1", &gang(2, &["a"], Duration::from_secs(6))).await;
    bed.wait_running(&job, START).await;
    let lease = bed.holder("a").await.expect("a holder");
    let holder = bed.name_of(&lease);
    bed.process(&holder).signal(Signal::TERM);
    // Below the time to live of the lease, so that it must have been given up.
    bed.wait_takeover("a", lease.epoch, Duration::from_secs(3)).await;
    let status = bed.process(&holder).wait_exit(Duration::from_secs(5)).await;
    assert!(status.success(), "{status}");
    bed.wait_finished(&job, Duration::from_secs(12)).await;
    let admin = bed.admin("s-c1");
    eventually_async("the end is recorded", START, || async {
        admin.job(&job.id).await.is_ok_and(|record| record.state == JobState::Finished)
    })
    .await;
    assert!(bed.runs(&job.id).iter().all(|run| run.member.attempt == 1), "the gang is adopted");
    bed.assert_truth();
}
