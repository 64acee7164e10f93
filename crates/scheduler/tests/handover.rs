//! Handover of a job with repeated, delayed and lost steps.

use std::sync::Arc;
use std::time::Instant;

use crate::support::faults::FaultyStore;
use crate::support::{TestCluster, gang};
use assert_matches::assert_matches;
use lacewingrail_clients::HttpWorkerClient;
use lacewingrail_membership::{Membership, MembershipSettings};
use lacewingrail_model::instance::InstanceRole;
use lacewingrail_model::job::{JobRecord, JobState};
use lacewingrail_model::keys;
use lacewingrail_model::store::KeyValueService;
use lacewingrail_model::timer::TimerService;
use lacewingrail_model::write_id::WriteIdGenerator;
use lacewingrail_scheduler::context::ProcessContext;
use lacewingrail_scheduler::handover::{ReceiveOutcome, receive, send};
use lacewingrail_scheduler::metrics::SchedulerMetrics;
use lacewingrail_scheduler::process::tree_decoder;
use lacewingrail_telemetry::MetricsRegistry;

struct HandoverTest {
    cluster: TestCluster,
    context: ProcessContext,
    generator: WriteIdGenerator,
    store: Arc<FaultyStore>,
}

impl HandoverTest {
    /// Creates a job whose record in domain `a` already names `b` as the owner.
    async fn new() -> Self {
        let cluster = TestCluster::new(2, 1).await;
        let store = Arc::new(FaultyStore::new(Arc::new(cluster.store.clone())));
        let settings = MembershipSettings {
            system: "test".to_owned(),
            instance: "test".to_owned(),
            role: InstanceRole::Scheduler,
            domain: "a".to_owned(),
            address: "127.0.0.1:1".to_owned(),
            peers: Vec::new(),
        };
        let timer = TimerService::new();
        let membership =
            Membership::new(settings, store.clone(), None, tree_decoder(), timer.clone());
        let context = ProcessContext {
            membership,
            store: store.clone(),
            workers: Arc::new(HttpWorkerClient::new()),
            list: cluster.list.clone(),
            timer,
            metrics: SchedulerMetrics::new(&MetricsRegistry::new()),
            started: Instant::now(),
        };
        cluster.submit("a", "job-1", gang(1, 1, 100)).await;
        let test =
            Self { cluster, context, generator: WriteIdGenerator::new("test".to_owned()), store };
        test.write_owner("b", JobState::Queued).await;
        test
    }

    /// Writes an owner and a state into the former record, as step 1 does.
    async fn write_owner(&self, owner: &str, state: JobState) {
        let (mut record, revision) = self.stored("a").await.expect("the former record");
        (record.owner, record.state) = (owner.to_owned(), state);
        let value = serde_json::to_string(&record).expect("a record");
        let key = keys::job(&"a".to_owned(), &record.id);
        self.cluster.store.put(&key, value, revision, None).await.expect("a write");
    }

    async fn stored(&self, domain: &str) -> Option<(JobRecord, u64)> {
        let key = keys::job(&domain.to_owned(), &"job-1".to_owned());
        let entry = self.cluster.store.get(&key).await.expect("a read")?;
        Some((serde_json::from_str(&entry.value).expect("a record"), entry.revision))
    }

    async fn delete(&self, domain: &str) {
        let (_, revision) = self.stored(domain).await.expect("a record");
        let key = keys::job(&domain.to_owned(), &"job-1".to_owned());
        self.cluster.store.delete(&key, revision).await.expect("a deletion");
    }

    async fn send(&self, record: &JobRecord) {
        send(&self.context, &self.generator, &"a".to_owned(), record).await.expect("a sent job");
    }

    async fn receive(&self) -> ReceiveOutcome {
        receive(&self.context, &self.generator, &"b".to_owned(), &"job-1".to_owned()).await
    }
}

/// Guards against a job that is lost or duplicated when its former or new owner repeats a step.
#[tokio::test]
async fn every_step_is_idempotent() {
    let test = HandoverTest::new().await;
    let (record, _) = test.stored("a").await.expect("the former record");
    test.send(&record).await;
    test.send(&record).await;
    assert_matches!(test.receive().await, ReceiveOutcome::Confirmed(_));
    assert!(test.stored("a").await.is_none(), "the former record is deleted");
    test.send(&record).await;
    let outcome = test.receive().await;
    assert_matches!(outcome, ReceiveOutcome::Confirmed(found) if found.0.owner == "b");
}

/// Guards against a finished job that runs again because a write of its former owner was delayed.
#[tokio::test]
async fn a_delayed_write_does_not_run_a_job_again() {
    let test = HandoverTest::new().await;
    let (record, _) = test.stored("a").await.expect("the former record");
    test.send(&record).await;
    assert_matches!(test.receive().await, ReceiveOutcome::Confirmed(_));
    test.delete("b").await;
    test.send(&record).await;
    assert_eq!(test.receive().await, ReceiveOutcome::Discarded);
    assert!(test.stored("b").await.is_none());
}

/// Guards against a cancellation that is lost because it changed the former record.
#[tokio::test]
async fn a_cancellation_is_carried_over() {
    let test = HandoverTest::new().await;
    let (record, _) = test.stored("a").await.expect("the former record");
    test.send(&record).await;
    test.write_owner("b", JobState::Cancelled).await;
    let outcome = test.receive().await;
    assert_matches!(outcome, ReceiveOutcome::Confirmed(found) if found.0.state == JobState::Cancelled);
}

/// Guards against a handover that stops half-way when answers are lost after they took effect.
#[tokio::test]
async fn lost_answers_do_not_duplicate_a_job() {
    for period in [1, 2, 3] {
        let test = HandoverTest::new().await;
        let (record, _) = test.stored("a").await.expect("the former record");
        test.store.lose_every_nth(period);
        test.send(&record).await;
        let mut outcome = test.receive().await;
        for _ in 0..5 {
            if matches!(outcome, ReceiveOutcome::Confirmed(_)) {
                break;
            }
            outcome = test.receive().await;
        }
        assert_matches!(outcome, ReceiveOutcome::Confirmed(_));
        assert!(test.stored("a").await.is_none());
        assert!(test.stored("b").await.is_some());
    }
}
