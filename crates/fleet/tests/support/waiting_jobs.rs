//! Waiting work for the planner, for the test of its cost and for its measurement.

use std::fs;
use std::sync::Arc;
use std::time::Duration;

use lacewingrail_fleet::{
    FleetConfig, FleetEvent, FleetPlanner, JobSpec, JobSubmission, LeaseReport, PlannerSettings,
    QueuePolicy, ResourceAmount, StepSpec, WorkerListing,
};

/// Time of all events on the scheduler's clock.
pub const NOW: Duration = Duration::from_secs(100);
/// Resources that each waiting task takes.
pub const DEMAND: ResourceAmount =
    ResourceAmount { cpu_milli: 1000, memory_mb: 256, accelerators: 1 };
/// Size of a memory page in bytes.
const PAGE_BYTES: u64 = 4096;

/// Waiting work: numbers of jobs, of steps in each, and of tasks in each of these.
#[derive(Clone, Copy, Debug)]
pub struct WaitingWork {
    pub jobs: u64,
    pub steps: usize,
    pub tasks: u32,
}

/// Returns a planner with idle workers that have reported.
pub fn planner(workers: usize, capacity: ResourceAmount) -> FleetPlanner {
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
    let ids: Vec<String> = (0..workers).map(|index| format!("w{index:03}")).collect();
    let listings = ids.iter().map(|id| listing(id, capacity)).collect();
    planner.apply_event(NOW, FleetEvent::WorkersListed(listings));
    planner.plan(NOW);
    for worker in ids {
        let report = LeaseReport { incarnation: 1, clock: NOW, ..LeaseReport::default() };
        planner.apply_event(NOW, FleetEvent::RenewalAnswered { worker, sent: NOW, report });
    }
    planner
}

fn listing(id: &str, capacity: ResourceAmount) -> WorkerListing {
    WorkerListing {
        id: id.into(),
        address: format!("{id}:80"),
        service: "desk".into(),
        domain: "north".into(),
        rack: None,
        labels: Vec::new(),
        capacity,
        draining: false,
        remaining: None,
        incarnation: 1,
    }
}

/// Accepts the jobs of some waiting work, and decides once.
pub fn accept(planner: &mut FleetPlanner, work: WaitingWork) {
    for key in 0..work.jobs {
        let submission = Arc::new(submission(key, work));
        let accepted = FleetEvent::JobAccepted { submission, progress: None, age: Duration::ZERO };
        planner.apply_event(NOW, accepted);
    }
    planner.plan(NOW);
}

/// Returns a job; the first planning pass reserves the workers for some tasks, and the rest waits.
pub fn submission(key: u64, work: WaitingWork) -> JobSubmission {
    let step = StepSpec {
        count: work.tasks,
        demand: DEMAND,
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
pub fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").expect("the system reports memory");
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.expect("the second number is the resident set") * PAGE_BYTES
}
