//! Scheduler processes that crash, are suspended or shut down.

use std::time::Duration;

use lacewingrail_model::job::JobState;
use rustix::process::Signal;

use crate::support::cluster::{DOMAINS, TestCluster, WORKERS_PER_DOMAIN, gang_spec};
use crate::support::load::{TestLoad, assert_all_done};
use crate::support::{eventually, eventually_async};

/// Maximum delay from the submission of urgent work to its start.
const MAX_START_DELAY: Duration = Duration::from_millis(6_400);
/// Timeout of a takeover by a process of the same domain: 4 s until the lease expires, 2 s to
/// rebuild the scheduler state.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(6);
/// Timeout of a takeover by a process of another domain: 4 s until the lease expires, 2 s for which
/// such a process must leave it free, 2 s to rebuild the scheduler state.
const CROSS_DOMAIN_TAKEOVER_TIMEOUT: Duration = Duration::from_secs(8);
/// Additional time on a machine that runs other tests at once.
const LOAD_SLACK: Duration = Duration::from_secs(3);

/// Guards against processes, workers, backend servers and platform services that do not work
/// together over real links.
///
/// Gangs of each domain run completely and once, requests are answered, and every kind of link
/// carries traffic.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gangs_and_requests_run_through_the_proxy() {
    let mut cluster = TestCluster::start().await;
    let load =
        TestLoad::start("whole", cluster.load_targets(&["e-a1", "e-a2", "e-b1", "e-c1"]), true);
    let mut jobs = Vec::new();
    for domain in DOMAINS {
        jobs.push(cluster.submit("s-a1", &gang_spec(2, &[domain], Duration::from_secs(2))).await);
    }
    jobs.push(cluster.submit("s-b1", &gang_spec(4, &[], Duration::from_secs(1))).await);
    for job in &jobs {
        cluster.wait_finished(job, Duration::from_secs(15)).await;
        cluster.wait_recorded("s-c1", job, MAX_START_DELAY).await;
        assert!(
            cluster.started_members(&job.id).iter().all(|run| run.member.attempt == 1),
            "{} must run in a single attempt",
            job.id
        );
    }
    assert_all_done(&load.stop().await, "requests", |_| true);
    for prefix in ["store-", "list-", "workers-", "backend-", "peer-", "outer-"] {
        let links = cluster.proxy.links();
        let links: Vec<_> =
            links.iter().filter(|link| link.spec.name.starts_with(prefix)).collect();
        let bytes: u64 = links.iter().map(|link| link.bytes_backward).sum();
        assert!(bytes > 0, "no link {prefix}* delivered an answer");
    }
    cluster.assert_invariants();
}

/// Guards against gangs that stop, and jobs that run twice, when the active scheduler crashes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gangs_survive_the_crash_of_the_active_scheduler() {
    let mut cluster = TestCluster::start().await;
    let job = cluster.submit("s-c1", &gang_spec(2, &["a"], Duration::from_secs(12))).await;
    cluster.wait_running(&job, MAX_START_DELAY).await;
    let lease = cluster.read_lease("a").await.expect("the domain has a lease holder");
    let holder = cluster.holder_name(&lease);
    cluster.process(&holder).kill();
    let successor = cluster.wait_takeover("a", lease.epoch, TAKEOVER_TIMEOUT + LOAD_SLACK).await;
    assert_ne!(cluster.holder_name(&successor), holder);
    let next = cluster.submit("s-c1", &gang_spec(2, &["a"], Duration::from_secs(1))).await;
    cluster.wait_running(&next, MAX_START_DELAY + LOAD_SLACK).await;
    assert_eq!(cluster.count_running_members(&job.id), 2, "the first gang still runs");
    cluster.wait_finished(&job, Duration::from_secs(15)).await;
    cluster.wait_recorded("s-c1", &job, MAX_START_DELAY).await;
    cluster.wait_recorded("s-c1", &next, MAX_START_DELAY).await;
    assert!(
        cluster.started_members(&job.id).iter().all(|run| run.member.attempt == 1),
        "the successor must adopt the gang, not restart it"
    );
    cluster.assert_invariants();
}

/// Guards against gangs that stop in a domain without schedulers although a process of another
/// domain can take over in time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn another_domain_takes_over_the_last_scheduler_of_a_domain() {
    let mut cluster = TestCluster::start().await;
    let job = cluster.submit("s-c1", &gang_spec(2, &["b"], Duration::from_secs(14))).await;
    cluster.wait_running(&job, MAX_START_DELAY).await;
    let lease = cluster.read_lease("b").await.expect("the domain has a lease holder");
    assert_eq!(cluster.holder_name(&lease), "s-b1");
    cluster.process("s-b1").kill();
    let successor =
        cluster.wait_takeover("b", lease.epoch, CROSS_DOMAIN_TAKEOVER_TIMEOUT + LOAD_SLACK).await;
    assert_ne!(cluster.holder_name(&successor), "s-b1");
    cluster.wait_finished(&job, Duration::from_secs(18)).await;
    cluster.wait_recorded("s-c1", &job, MAX_START_DELAY).await;
    assert!(
        cluster.started_members(&job.id).iter().all(|run| run.member.attempt == 1),
        "the successor must adopt the gang, not restart it"
    );
    cluster.assert_invariants();
}

/// Guards against two active schedulers of one domain.
///
/// A scheduler that is suspended until its lease has expired must step down when it resumes, and
/// must not assign an accelerator that its successor has assigned.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_suspended_scheduler_steps_down() {
    let mut cluster = TestCluster::start().await;
    let first = cluster.submit("s-c1", &gang_spec(2, &["a"], Duration::from_secs(20))).await;
    cluster.wait_running(&first, MAX_START_DELAY).await;
    let lease = cluster.read_lease("a").await.expect("the domain has a lease holder");
    let holder = cluster.holder_name(&lease);
    // This gang waits for free workers while the holder is suspended, so both schedulers could
    // start it.
    let waiting = cluster
        .submit("s-c1", &gang_spec(WORKERS_PER_DOMAIN, &["a"], Duration::from_secs(1)))
        .await;
    cluster.process(&holder).signal(Signal::STOP);
    let successor = cluster.wait_takeover("a", lease.epoch, TAKEOVER_TIMEOUT + LOAD_SLACK).await;
    let other = cluster.submit("s-c1", &gang_spec(2, &["a"], Duration::from_secs(1))).await;
    cluster.process(&holder).signal(Signal::CONT);
    let log_line = format!("gives up a, epoch {}", lease.epoch);
    eventually("the suspended scheduler steps down", TAKEOVER_TIMEOUT, || {
        cluster.processes[&holder].log().contains(&log_line)
    })
    .await;
    for job in [&first, &waiting, &other] {
        cluster.wait_finished(job, Duration::from_secs(30)).await;
        cluster.wait_recorded("s-c1", job, MAX_START_DELAY).await;
    }
    let current_lease = cluster.read_lease("a").await.expect("the domain has a lease holder");
    assert_eq!(current_lease.holder, successor.holder, "the successor keeps the lease");
    cluster.assert_invariants();
}

/// Guards against a gap without an active scheduler after a graceful shutdown, which must release
/// the lease at once, and against gangs that stop with the process.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_scheduler_that_shuts_down_releases_its_lease_at_once() {
    let mut cluster = TestCluster::start().await;
    let job = cluster.submit("s-c1", &gang_spec(2, &["a"], Duration::from_secs(6))).await;
    cluster.wait_running(&job, MAX_START_DELAY).await;
    let lease = cluster.read_lease("a").await.expect("the domain has a lease holder");
    let holder = cluster.holder_name(&lease);
    cluster.process(&holder).signal(Signal::TERM);
    // Less than the lease duration, so the takeover is only possible if the lease was released.
    cluster.wait_takeover("a", lease.epoch, Duration::from_secs(3)).await;
    let status = cluster.process(&holder).wait_exit(Duration::from_secs(5)).await;
    assert!(status.success(), "{status}");
    cluster.wait_finished(&job, Duration::from_secs(12)).await;
    let admin = cluster.admin("s-c1");
    eventually_async("the job is recorded as finished", MAX_START_DELAY, || async {
        admin.job(&job.id).await.is_ok_and(|record| record.state == JobState::Finished)
    })
    .await;
    assert!(
        cluster.started_members(&job.id).iter().all(|run| run.member.attempt == 1),
        "the successor must adopt the gang, not restart it"
    );
    cluster.assert_invariants();
}
