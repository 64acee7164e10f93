//! Measures the latency of a placement decision by the number of workers.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use lacewingrail_model::config::PlacementChoice;
use lacewingrail_model::job::{JobRecord, JobSpec, WorkClass};
use lacewingrail_model::shape::{AdjacencyLevel, GangShape};
use lacewingrail_placement::health::WorkerHealth;
use lacewingrail_placement::planner::DomainPlanner;
use lacewingrail_placement::types::{CustomerShare, PendingJob, PlacementAction, WorkerCapacity};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::capacity::CapacityResult;
use crate::harness::fixtures::{ACCELERATORS_PER_WORKER, TASKS_PER_WORKER, WORKERS_PER_RACK};
use crate::linear_fit::MeasuredSeries;

/// Workers of one planner. At the target size a failure domain has 127 and all domains together
/// 890.
const WORKER_COUNTS: [u32; 6] = [64, 127, 254, 445, 890, 1_780];
/// Number of decisions measured at each size.
const DECISION_COUNT: u32 = 400;
/// Upper bound of the latency histogram; longer decisions are recorded as this value.
const MAX_LATENCY_NANOS: u64 = 10_000_000_000;
const CUSTOMER_COUNT: u32 = 180;
const SEED: u64 = 20_261_204;

/// Measures p50 and p99 of a decision after one job has arrived and one has ended.
pub fn measure() -> CapacityResult {
    let mut median = MeasuredSeries::new("placement: decision p50", "workers", "ms");
    let mut tail = MeasuredSeries::new("placement: decision p99", "workers", "ms");
    println!("  seed {SEED}");
    for workers in WORKER_COUNTS {
        let histogram = measure_size(workers);
        let quantile_ms = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1e6;
        median.push(f64::from(workers), quantile_ms(0.5));
        tail.push(f64::from(workers), quantile_ms(0.99));
    }
    CapacityResult { series: vec![median, tail], figures: Vec::new() }
}

/// Fills a planner with jobs, then times decisions, before each of which a job arrives and another
/// ends.
fn measure_size(workers: u32) -> Histogram<u64> {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut planner = DomainPlanner::new("domain-1".to_owned(), PlacementChoice::Shape, SEED);
    planner.set_workers((0..workers).map(worker_capacity).collect());
    planner
        .set_customer_shares((0..CUSTOMER_COUNT).map(customer_share).collect::<BTreeMap<_, _>>());
    let mut now = Duration::ZERO;
    let mut running = Vec::new();
    let mut last_job_number = 0;
    let tasks = f64::from(workers) * TASKS_PER_WORKER;
    let accelerators = f64::from(workers * ACCELERATORS_PER_WORKER) * 0.95;
    // Queues jobs as at the target size, where most tasks use no accelerators.
    let mut queued_accelerators = 0.0;
    while queued_accelerators < accelerators {
        let members = rng.random_range(1..=8);
        queued_accelerators += f64::from(members);
        planner.enqueue(pending_job(&mut last_job_number, members, 1, now));
    }
    let mut queued_tasks = queued_accelerators;
    while queued_tasks < tasks {
        planner.enqueue(pending_job(&mut last_job_number, 16, 0, now));
        queued_tasks += 16.0;
    }
    // Decides until no further job starts.
    loop {
        now += Duration::from_millis(10);
        let actions = planner.decide(now);
        let started = apply_actions(&mut planner, actions, &mut running);
        if started == 0 {
            break;
        }
    }
    let histogram_result = Histogram::new_with_bounds(1, MAX_LATENCY_NANOS, 3);
    let mut histogram =
        histogram_result.unwrap_or_else(|error| panic!("invalid histogram bounds: {error}"));
    for _ in 0..DECISION_COUNT {
        now += Duration::from_millis(200);
        if !running.is_empty() {
            let ended: String = running.swap_remove(rng.random_range(0..running.len()));
            planner.release(&ended);
        }
        let members = rng.random_range(1..=8);
        planner.enqueue(pending_job(&mut last_job_number, members, rng.random_range(0..=1), now));
        let start = Instant::now();
        let actions = planner.decide(now);
        let elapsed = u64::try_from(start.elapsed().as_nanos()).unwrap_or(u64::MAX);
        histogram.saturating_record(elapsed);
        apply_actions(&mut planner, actions, &mut running);
    }
    histogram
}

/// Applies the planner's actions as if every start and preemption succeeded at once.
///
/// Returns the number of starts.
fn apply_actions(
    planner: &mut DomainPlanner,
    actions: Vec<PlacementAction>,
    running: &mut Vec<String>,
) -> usize {
    let mut started = 0;
    for action in actions {
        match action {
            PlacementAction::Start { job, .. } => {
                planner.confirm_start(&job);
                running.push(job);
                started += 1;
            }
            PlacementAction::Preempt { victims, .. } => {
                for victim in victims {
                    running.retain(|job| *job != victim);
                    planner.release(&victim);
                }
            }
            PlacementAction::Refuse { .. } => {}
        }
    }
    started
}

fn worker_capacity(number: u32) -> WorkerCapacity {
    WorkerCapacity {
        id: format!("worker-{number:04}"),
        rack: format!("rack-{:03}", number / WORKERS_PER_RACK),
        accelerators: ACCELERATORS_PER_WORKER,
        cores: 64,
        memory_mb: 512_000,
        speed: 1.0,
        health: WorkerHealth::Healthy,
    }
}

fn customer_share(number: u32) -> (String, CustomerShare) {
    let share = CustomerShare { weight: 1.0, quota: 100_000, in_use_elsewhere: 0 };
    (format!("team-{number:03}"), share)
}

fn pending_job(
    last_job_number: &mut u32,
    members: u32,
    accelerators: u32,
    now: Duration,
) -> PendingJob {
    *last_job_number += 1;
    let spec = JobSpec {
        customer: format!("team-{:03}", *last_job_number % CUSTOMER_COUNT),
        shape: GangShape { members, accelerators, adjacency: AdjacencyLevel::Domain },
        class: WorkClass::Normal,
        declared_ms: 3_600_000,
        cores: 1,
        memory_mb: 256,
        checkpointable: true,
        domains: Vec::new(),
        command: String::new(),
        idempotency_key: None,
    };
    let record = JobRecord::queued(
        format!("job-{last_job_number}"),
        spec,
        "domain-1".to_owned(),
        String::new(),
    );
    PendingJob { record, waiting_since: now }
}
