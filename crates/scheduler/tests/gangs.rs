//! Gangs under faults of their coordinator, the active scheduler, and of their workers.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use crate::support::faults::WorkerCall;
use crate::support::{TestCluster, gang};
use futures::future::join_all;
use lacewingrail_admin::AdminContext;
use lacewingrail_model::admin::{DomainAnswer, DomainQuery};
use lacewingrail_model::job::{JobSpec, JobState};
use lacewingrail_standins::worker_fleet::faults::{WorkerFaults, WorkerSelection};

const WAIT_TIMEOUT: Duration = Duration::from_secs(25);

/// Guards against partial gangs and duplicate runs when the coordinator crashes between two
/// messages of the start protocol. Its successor must adopt a complete gang and stop the members of
/// any other.
#[tokio::test(flavor = "multi_thread")]
async fn the_coordinator_crashes_after_each_start_message() {
    // Two members and three steps make six messages.
    join_all((0..=6).map(|allowed| async move {
        let cluster = TestCluster::new(1, 2).await;
        let mut first = cluster.start("a", 0).await;
        first.wait_schedules("a", WAIT_TIMEOUT).await;
        let sent = Arc::new(AtomicU32::new(0));
        let count = sent.clone();
        first.workers.set_filter(Arc::new(move |call, _| match call {
            WorkerCall::Reserve | WorkerCall::Commit | WorkerCall::Start => {
                count.fetch_add(1, Ordering::SeqCst) < allowed
            }
            _ => count.load(Ordering::SeqCst) <= allowed,
        }));
        let second = cluster.start("a", 1).await;
        cluster.submit("a", "job-1", gang(2, 8, 6_000)).await;
        let interrupted = async {
            while sent.load(Ordering::SeqCst) < (allowed + 1).min(6) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        };
        tokio::time::timeout(Duration::from_secs(5), interrupted)
            .await
            .expect("the start protocol begins");
        first.crash();
        let record = cluster.wait_ended("job-1", WAIT_TIMEOUT).await;
        assert_eq!(record.state, JobState::Finished, "after {allowed} messages");
        assert!(second.schedules("a"));
        println!("after {allowed} messages: finished with attempt {}", record.attempt);
        if allowed == 6 {
            assert_eq!(record.attempt, 1, "the running gang is adopted");
        }
        cluster.assert_invariants();
    }))
    .await;
}

/// Guards against a gang that stays partial when the worker of a member crashes, and against a job
/// that is not restarted.
#[tokio::test(flavor = "multi_thread")]
async fn a_worker_crashes_in_each_phase() {
    let phases = [WorkerCall::Reserve, WorkerCall::Commit, WorkerCall::Start, WorkerCall::Renew];
    join_all(phases.map(|phase| async move {
        let cluster = Arc::new(TestCluster::new(1, 3).await);
        let host = cluster.start("a", 0).await;
        host.wait_schedules("a", WAIT_TIMEOUT).await;
        let (observed_cluster, crashes) = (cluster.clone(), Arc::new(AtomicU32::new(0)));
        let crash_count = crashes.clone();
        host.workers.set_filter(Arc::new(move |call, worker| {
            // The first call of the phase that affects a member crashes its worker.
            let affects_member =
                call != WorkerCall::Renew || !observed_cluster.running("job-1").is_empty();
            if call == phase && affects_member && crash_count.fetch_add(1, Ordering::SeqCst) == 0 {
                let faults = WorkerFaults { dead: true, ..WorkerFaults::default() };
                observed_cluster.fleet.set_faults(&WorkerSelection::worker(worker), faults);
            }
            true
        }));
        cluster.submit("a", "job-1", gang(2, 8, 3_000)).await;
        let record = cluster.wait_ended("job-1", WAIT_TIMEOUT).await;
        assert_eq!(record.state, JobState::Finished, "crash at {phase:?}");
        assert!(crashes.load(Ordering::SeqCst) > 0);
        println!("crash at {phase:?}: finished with attempt {}", record.attempt);
        cluster.assert_invariants();
    }))
    .await;
}

/// Guards against a gang whose members continue after one worker stopped answering. The others must
/// stop in time, and the job must run elsewhere only after the lease of the silent member.
#[tokio::test(flavor = "multi_thread")]
async fn a_worker_stops_answering() {
    let cluster = TestCluster::new(1, 3).await;
    let host = cluster.start("a", 0).await;
    host.wait_schedules("a", WAIT_TIMEOUT).await;
    cluster.submit("a", "job-1", gang(2, 8, 20_000)).await;
    cluster.wait_running("job-1", 2, WAIT_TIMEOUT).await;
    let silent = cluster.running("job-1")[0].worker.clone();
    let faults = WorkerFaults { silent: true, ..WorkerFaults::default() };
    cluster.fleet.set_faults(&WorkerSelection::worker(&silent), faults);
    let other = async {
        while cluster.running("job-1").iter().any(|record| record.worker != silent) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(8), other).await.expect("the other member stops");
    let restarted = async {
        while !cluster.running("job-1").iter().any(|record| record.member.attempt == 2) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, restarted).await.expect("the job runs again");
    cluster.assert_invariants();
}

/// Guards against writes and calls that are repeated incorrectly, or not at all, when their answers
/// are lost after they took effect.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_neither_drop_nor_repeat_jobs() {
    join_all([2, 3, 5].map(|period| async move {
        let cluster = TestCluster::new(1, 3).await;
        let host = cluster.start("a", 0).await;
        host.store.lose_every_nth(period);
        host.workers.lose_every_nth(period);
        host.wait_schedules("a", WAIT_TIMEOUT).await;
        for index in 0..4 {
            cluster.submit("a", &format!("job-{index}"), gang(3, 2, 800)).await;
        }
        for index in 0..4 {
            let record = cluster.wait_ended(&format!("job-{index}"), WAIT_TIMEOUT).await;
            assert_eq!(record.state, JobState::Finished, "every {period}th answer lost");
        }
        let mut ids: Vec<_> = cluster.history().await.into_iter().map(|job| job.id).collect();
        ids.sort();
        assert_eq!(ids, ["job-0", "job-1", "job-2", "job-3"], "each end is recorded once");
        cluster.assert_invariants();
    }))
    .await;
}

/// Guards against a worker that fails every task and attracts one job after another, because it is
/// always free.
#[tokio::test(flavor = "multi_thread")]
async fn a_worker_fails_every_start() {
    let cluster = TestCluster::new(2, 4).await;
    let host = cluster.start("a", 0).await;
    host.wait_schedules("a", WAIT_TIMEOUT).await;
    let faults = WorkerFaults { fail_starts: true, ..WorkerFaults::default() };
    cluster.fleet.set_faults(&WorkerSelection::worker("a-w001"), faults);
    for index in 0..12 {
        cluster.submit("a", &format!("job-{index}"), gang(1, 8, 300)).await;
    }
    for index in 0..12 {
        let record = cluster.wait_ended(&format!("job-{index}"), WAIT_TIMEOUT).await;
        assert_eq!(record.state, JobState::Finished);
    }
    let answer = host.process().admin().query_domain(&"a".to_owned(), DomainQuery::Workers).await;
    let DomainAnswer::Workers(workers) = answer else { panic!("{answer:?}") };
    let health: Vec<&str> = workers.iter().map(|worker| worker.health.as_str()).collect();
    assert_eq!(health, ["healthy", "quarantined", "healthy", "healthy"]);
}

/// Guards against unlimited attempts of a job that cannot start anywhere, and against healthy
/// workers that are quarantined because of it.
#[tokio::test(flavor = "multi_thread")]
async fn a_faulty_job_is_refused() {
    let cluster = TestCluster::new(1, 4).await;
    let host = cluster.start("a", 0).await;
    host.wait_schedules("a", WAIT_TIMEOUT).await;
    let faulty = JobSpec { command: "fail-start".to_owned(), ..gang(1, 8, 500) };
    cluster.submit("a", "job-bad", faulty).await;
    let record = cluster.wait_ended("job-bad", WAIT_TIMEOUT).await;
    assert!(matches!(record.state, JobState::Failed { .. }), "{:?}", record.state);
    assert!(record.attempt <= 4, "{} attempts", record.attempt);
    cluster.submit("a", "job-good", gang(4, 8, 500)).await;
    assert_eq!(cluster.wait_ended("job-good", WAIT_TIMEOUT).await.state, JobState::Finished);
}
