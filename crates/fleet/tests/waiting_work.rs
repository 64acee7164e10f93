//! What waiting work costs the scheduler, in a process of its own so that its memory can be read.

use std::fs;
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use lacewingrail_fleet::{
    FleetConfig, FleetEvent, FleetPlanner, JobSpec, JobSubmission, LeaseReport, PlannerSettings,
    QueuePolicy, ResourceAmount, StepSpec, WorkerListing,
};

const NOW: Duration = Duration::from_secs(100);
const JOBS: u64 = 1000;
/// Most memory that 10 million waiting tasks in 1,000 jobs may take, in bytes (the target).
const MAX_BYTES: u64 = 20_000_000;
/// Most that a decision may take, as a multiple of that with 10,000 waiting tasks (the target).
const MAX_TIME_FACTOR: u32 = 2;
/// Number of decisions of which the fastest counts.
const DECISIONS: usize = 7;
/// Size of a memory page in bytes.
const PAGE_BYTES: u64 = 4096;

fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").expect("the system reports memory");
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.expect("the second number is the resident set") * PAGE_BYTES
}

/// Returns a planner with a worker that has room for one task.
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
    let mut planner = FleetPlanner::new(settings, NOW);
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
    planner.apply_event(NOW, FleetEvent::ConfigChanged(Arc::new(config)));
    let listing = WorkerListing {
        id: "w0".into(),
        address: "w0:80".into(),
        service: "desk".into(),
        domain: "north".into(),
        rack: None,
        labels: Vec::new(),
        capacity: demand(),
        draining: false,
        remaining: None,
        incarnation: 1,
    };
    planner.apply_event(NOW, FleetEvent::WorkersListed(vec![listing]));
    planner.plan(NOW);
    let report = LeaseReport { incarnation: 1, clock: NOW, ..LeaseReport::default() };
    let answer = FleetEvent::RenewalAnswered { worker: "w0".into(), sent: NOW, report };
    planner.apply_event(NOW, answer);
    planner
}

fn demand() -> ResourceAmount {
    ResourceAmount { cpu_milli: 1000, memory_mb: 256, accelerators: 1 }
}

fn submission(key: u64, tasks: u32) -> Arc<JobSubmission> {
    let step = StepSpec {
        count: tasks,
        demand: demand(),
        estimate: Duration::from_millis(500),
        ..StepSpec::default()
    };
    Arc::new(JobSubmission {
        key,
        queue: "normal".into(),
        customer: "customer".into(),
        spec: JobSpec { payload: "work".into(), steps: vec![step], schedule: None },
        accepted_unix_ms: 0,
    })
}

/// Returns a planner with a number of jobs, each of one step of a number of tasks.
fn planner_with_jobs(tasks: u32) -> FleetPlanner {
    let mut planner = planner();
    for key in 0..JOBS {
        let submission = submission(key, tasks);
        let accepted = FleetEvent::JobAccepted { submission, progress: None, age: Duration::ZERO };
        planner.apply_event(NOW, accepted);
    }
    planner.plan(NOW);
    planner
}

/// Returns the time of the fastest of some decisions and admission checks.
fn decision_time(planner: &mut FleetPlanner, tasks: u32) -> Duration {
    let next = submission(JOBS, tasks);
    let times = (0..DECISIONS).map(|_| {
        let begin = Instant::now();
        planner.plan(NOW);
        let _ = black_box(planner.check_submission(&next, NOW));
        begin.elapsed()
    });
    times.min().unwrap_or_default()
}

/// Guards against a scheduler that exceeds its machine's memory because it keeps an entry for each
/// task that has never run, and against decisions that go through them (review case 11).
#[test]
fn waiting_tasks_cost_neither_memory_nor_time() {
    let mut small = planner_with_jobs(10);
    let before = resident_bytes();
    let mut large = planner_with_jobs(10_000);
    let bytes = resident_bytes().saturating_sub(before);
    assert!(bytes < MAX_BYTES, "10 million waiting tasks take {bytes} bytes");
    let (short, long) = (decision_time(&mut small, 10), decision_time(&mut large, 10_000));
    assert!(long <= short * MAX_TIME_FACTOR, "a decision takes {long:?}, {short:?} with 10,000");
}
