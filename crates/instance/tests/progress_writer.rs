//! Progress writes under faults of the key-value service.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use kameo::actor::Spawn;
use lacewingrail_clients::{MemoryStore, StoreFaults};
use lacewingrail_fleet::{FleetPlanner, JobPhase, JobProgress, PlannerSettings};
use lacewingrail_instance::metrics::InstanceMetrics;
use lacewingrail_instance::progress_writer::{ProgressSender, ProgressWrite, ProgressWriter};
use lacewingrail_instance::records::{HOLDER_KEY, job_key, progress_key};
use lacewingrail_instance::schedule_controller::{ScheduleController, SchedulerHandle};
use lacewingrail_model::store::KeyValueService;
use tokio::sync::{mpsc, watch};

const JOB: u64 = 7;
const DELETED_JOB: u64 = 8;
/// Delay of the delayed write; the writer repeats a failed write after 100 ms.
const WRITE_DELAY: Duration = Duration::from_millis(600);

fn planner() -> FleetPlanner {
    let settings = PlannerSettings {
        epoch: 1,
        lease_duration: Duration::from_secs(6),
        renewal_grace: Duration::from_secs(6),
        max_order_delay: Duration::from_secs(12),
        report_poll_timeout: Duration::from_secs(1),
        ended_job_retention: Duration::from_secs(60),
        unix_origin_ms: 0,
    };
    FleetPlanner::new(settings, Duration::ZERO)
}

/// Starts a writer whose process holds the leadership.
async fn start(store: &MemoryStore) -> ProgressSender {
    let revision = store.put(HOLDER_KEY, "leader".into(), 0, None).await.expect("the key is new");
    let controller =
        ScheduleController::spawn(ScheduleController::new(planner(), InstanceMetrics::new()));
    let (_, holder_revision) = watch::channel(revision);
    let writer = ProgressWriter {
        store: Arc::new(store.clone()),
        holder_revision,
        scheduler: SchedulerHandle(controller),
    };
    let (sender, receiver) = mpsc::unbounded_channel();
    tokio::spawn(writer.run(receiver));
    sender
}

fn progress(sequence: u64) -> ProgressWrite {
    let progress = JobProgress {
        sequence,
        phase: JobPhase::Active,
        workers: BTreeSet::new(),
        begun: true,
        steps: Vec::new(),
    };
    ProgressWrite::Job(JOB, progress)
}

async fn stored_sequence(store: &MemoryStore) -> Option<u64> {
    let entry = store.get(&progress_key(JOB)).await.expect("the store answers")?;
    let progress: JobProgress = serde_json::from_str(&entry.value).expect("the record is valid");
    Some(progress.sequence)
}

/// Guards against repeated runs of completed tasks: a write whose answer was lost and that takes
/// effect later must not overwrite newer progress of the same leadership.
#[tokio::test]
async fn delayed_write_does_not_overwrite_newer_progress() {
    let store = MemoryStore::new();
    let sender = start(&store).await;
    store.set_faults(StoreFaults::late_writes(1, WRITE_DELAY));
    sender.send(progress(1)).expect("the writer runs");
    tokio::time::sleep(Duration::from_millis(50)).await;
    sender.send(progress(2)).expect("the writer runs");
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(stored_sequence(&store).await, Some(2));
    tokio::time::sleep(WRITE_DELAY).await;
    assert_eq!(stored_sequence(&store).await, Some(2));
}

/// Guards against deletions that wait for as long as progress is written: the scheduler keeps a job
/// in memory until it is deleted.
#[tokio::test]
async fn deletions_are_written_beside_a_steady_flow_of_progress() {
    let store = MemoryStore::new();
    let sender = start(&store).await;
    store.put(&job_key(DELETED_JOB), "job".into(), 0, None).await.expect("the key is new");
    store.set_faults(StoreFaults::slow(Duration::from_millis(20)));
    sender.send(progress(1)).expect("the writer runs");
    sender.send(ProgressWrite::RemoveJob(DELETED_JOB)).expect("the writer runs");
    for sequence in 2..40 {
        sender.send(progress(sequence)).expect("the writer runs");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let deleted = store.get(&job_key(DELETED_JOB)).await.expect("the store answers");
    assert_eq!(deleted, None);
}

/// Guards against a writer that stays blocked after a write took effect although its answer was
/// lost.
#[tokio::test]
async fn lost_answer_does_not_stop_the_writer() {
    let store = MemoryStore::new();
    let sender = start(&store).await;
    store.set_faults(StoreFaults::lost_answers(1));
    sender.send(progress(1)).expect("the writer runs");
    tokio::time::sleep(Duration::from_millis(50)).await;
    sender.send(progress(2)).expect("the writer runs");
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(stored_sequence(&store).await, Some(2));
}
