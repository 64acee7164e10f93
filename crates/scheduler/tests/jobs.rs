//! The life of a job under one scheduler.

mod support;

use std::time::Duration;

use lacewingrail_model::job::JobState;
use support::{Bench, gang};

const LIMIT: Duration = Duration::from_secs(10);

/// Guards against a scheduler that never places, never notices the end, or runs members alone.
#[tokio::test(flavor = "multi_thread")]
async fn a_gang_runs_whole_and_finishes() {
    let bench = Bench::new(1, 3).await;
    let host = bench.start("a", 0).await;
    host.wait_schedules("a", LIMIT).await;
    bench.submit("a", "job-1", gang(3, 8, 1_000)).await;
    let started = bench.wait_running("job-1", 3, LIMIT).await;
    let record = bench.wait_ended("job-1", LIMIT).await;
    println!("started after {started:?}");
    assert_eq!(record.state, JobState::Finished);
    assert_eq!(record.attempt, 1);
    assert!(bench.record("job-1").await.is_none(), "the record moved to the history");
    bench.assert_truth();
}
