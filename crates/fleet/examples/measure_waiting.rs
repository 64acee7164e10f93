//! Measures what waiting work costs the planner: memory by number of tasks, and the time of a
//! decision and of an admission check by number of jobs, steps and tasks.
//!
//! Usage: `cargo run --release -p lacewingrail-fleet --example measure_waiting`

use std::fs;
use std::sync::Arc;
use std::time::{Duration, Instant};

use lacewingrail_fleet::{
    FleetConfig, FleetEvent, FleetPlanner, JobSpec, JobSubmission, LeaseReport, PlannerSettings,
    QueuePolicy, ResourceAmount, StepSpec, WorkerListing,
};

/// Number of workers.
const WORKERS: usize = 48;
/// Number of decisions that are timed.
const DECISIONS: u32 = 20;
/// Size of a memory page in bytes.
const PAGE_BYTES: u64 = 4096;

/// Waiting work: numbers of jobs, of steps in each, and of tasks in each of these.
#[derive(Clone, Copy, Debug)]
struct WaitingWork {
    jobs: u64,
    steps: usize,
    tasks: u32,
}

fn main() {
    println!(
        "| jobs | steps | tasks waiting | memory (kB) | decision (ms) | admission check (ms) |"
    );
    println!("|---|---|---|---|---|---|");
    let works = [
        WaitingWork { jobs: 1000, steps: 1, tasks: 10 },
        WaitingWork { jobs: 1000, steps: 1, tasks: 1000 },
        WaitingWork { jobs: 1000, steps: 1, tasks: 10_000 },
        WaitingWork { jobs: 100, steps: 1, tasks: 10_000 },
        WaitingWork { jobs: 1, steps: 400, tasks: 10_000 },
    ];
    works.into_iter().for_each(measure);
}

fn measure(work: WaitingWork) {
    let mut planner = planner();
    let now = Duration::from_secs(100);
    let before = resident_bytes();
    for key in 0..work.jobs {
        let submission = Arc::new(submission(key, work));
        let accepted = FleetEvent::JobAccepted { submission, progress: None, age: Duration::ZERO };
        planner.apply_event(now, accepted);
    }
    planner.plan(now);
    let memory = resident_bytes().saturating_sub(before);
    let decision = mean_time(|| drop(planner.plan(now)));
    let next = submission(work.jobs, work);
    let check = mean_time(|| {
        let _ = planner.check_submission(&next, now);
    });
    let WaitingWork { jobs, steps, tasks } = work;
    let waiting = jobs * steps as u64 * u64::from(tasks);
    let kilobytes = memory / 1000;
    println!("| {jobs} | {steps} | {waiting} | {kilobytes} | {decision:.2} | {check:.2} |");
    // Memory that is freed would be used again, and missing from the next row.
    std::mem::forget(planner);
}

/// Returns the mean time of a call in milliseconds.
fn mean_time<F>(mut call: F) -> f64
where
    F: FnMut(),
{
    let begin = Instant::now();
    (0..DECISIONS).for_each(|_| call());
    begin.elapsed().as_secs_f64() * 1000.0 / f64::from(DECISIONS)
}

/// Returns a planner with idle workers that have reported.
fn planner() -> FleetPlanner {
    let settings = PlannerSettings {
        epoch: 1,
        lease_duration: Duration::from_secs(6),
        renewal_grace: Duration::from_secs(6),
        max_order_delay: Duration::from_secs(12),
        report_poll_timeout: Duration::from_secs(1),
        ended_job_retention: Duration::from_secs(120),
        unix_origin_ms: 0,
    };
    let now = Duration::from_secs(100);
    let mut planner = FleetPlanner::new(settings, now);
    let policy = QueuePolicy {
        service: "desk".into(),
        priority: 1,
        max_failures: 3,
        stretch: 3.0,
        slack: Duration::from_secs(1),
        advice: None,
    };
    let queues = [("normal".to_owned(), policy)].into();
    let config = FleetConfig { version: 1, queues, ..FleetConfig::default() };
    planner.apply_event(now, FleetEvent::ConfigChanged(Arc::new(config)));
    let ids: Vec<String> = (0..WORKERS).map(|index| format!("w{index:03}")).collect();
    let listings = ids.iter().map(|id| listing(id)).collect();
    planner.apply_event(now, FleetEvent::WorkersListed(listings));
    planner.plan(now);
    for worker in ids {
        let report = LeaseReport { incarnation: 1, clock: now, ..LeaseReport::default() };
        planner.apply_event(now, FleetEvent::RenewalAnswered { worker, sent: now, report });
    }
    planner
}

fn listing(id: &str) -> WorkerListing {
    WorkerListing {
        id: id.into(),
        address: format!("{id}:80"),
        service: "desk".into(),
        domain: "north".into(),
        rack: None,
        labels: Vec::new(),
        capacity: ResourceAmount { cpu_milli: 64_000, memory_mb: 131_072, accelerators: 8 },
        draining: false,
        remaining: None,
        incarnation: 1,
    }
}

/// Returns a job; the first planning pass reserves the workers for some tasks, and the rest waits.
fn submission(key: u64, work: WaitingWork) -> JobSubmission {
    let step = StepSpec {
        count: work.tasks,
        demand: ResourceAmount { cpu_milli: 1000, memory_mb: 256, accelerators: 1 },
        estimate: Duration::from_millis(500),
        ..StepSpec::default()
    };
    JobSubmission {
        key,
        queue: "normal".into(),
        customer: "customer".into(),
        spec: JobSpec { payload: "work".into(), steps: vec![step; work.steps], schedule: None },
        accepted_unix_ms: 0,
    }
}

/// Returns the resident memory of this process.
fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").expect("the system reports memory");
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.expect("the second number is the resident set") * PAGE_BYTES
}
