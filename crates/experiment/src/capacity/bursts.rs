//! Measures load bursts at the target size: loss of a failure domain, scheduler failover and
//! recovery of the store.

use std::time::{Duration, Instant};

use lacewingrail_clients::StoreFaults;
use lacewingrail_model::job::JobState;
use lacewingrail_standins::{WorkerFaults, WorkerSelection};

use crate::capacity::membership::MemberGroup;
use crate::capacity::{CapacityOptions, CapacityResult};
use crate::harness::environment::{BenchEnvironment, start_process};
use crate::harness::fixtures::{domain_names, settings_tree_yaml, write_jobs};

/// Workers of a failure domain at the target size.
const WORKERS_PER_DOMAIN: u32 = 127;
const CUSTOMER_COUNT: u32 = 180;
/// Processes at the target size; about half of them are schedulers.
const PROCESS_COUNT: usize = 232;
const OUTAGE_DURATION: Duration = Duration::from_secs(20);
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);

/// Measures all bursts.
///
/// Fails if a stand-in or process doesn't start, or the system doesn't recover from a burst within
/// the timeout.
pub async fn measure(_options: &CapacityOptions) -> Result<CapacityResult, String> {
    let mut result = CapacityResult::default();
    measure_domain_loss(&mut result).await?;
    measure_store_recovery(&mut result).await?;
    Ok(result)
}

/// Fails all workers of a full failure domain, restores them, then measures the failover of its
/// scheduler.
async fn measure_domain_loss(result: &mut CapacityResult) -> Result<(), String> {
    let domains = domain_names(1);
    let tree = settings_tree_yaml(&domains, WORKERS_PER_DOMAIN, CUSTOMER_COUNT);
    let environment = BenchEnvironment::start(&domains, WORKERS_PER_DOMAIN, &tree).await?;
    let (jobs, tasks) =
        write_jobs(environment.store.store(), &domains[0], WORKERS_PER_DOMAIN, CUSTOMER_COUNT)
            .await?;
    let start = Instant::now();
    let process = start_process(&environment.scheduler_spec(&domains[0], "first")?).await?;
    environment.wait_running(jobs, WAIT_TIMEOUT).await?;
    let fill_time = start.elapsed();
    result.add_figure("full domain: tasks started", f64::from(tasks), "tasks");
    result.add_figure(
        "full domain: time from process start until all run",
        fill_time.as_secs_f64(),
        "s",
    );
    let all_workers = WorkerSelection::domain(&domains[0]);
    let (cpu_before, calls_before) = (process.meter().cpu_seconds(), environment.store_calls());
    let (mut peak_calls, mut last_sample) = (0, (Instant::now(), calls_before));
    environment
        .fleet
        .set_faults(&all_workers, WorkerFaults { dead: true, ..WorkerFaults::default() });
    let start = Instant::now();
    while environment.count_jobs(|state| *state == JobState::Running).await > 0 {
        if start.elapsed() > WAIT_TIMEOUT {
            return Err("jobs of failed workers are still recorded as running".to_owned());
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
        if last_sample.0.elapsed() >= Duration::from_secs(1) {
            peak_calls = peak_calls.max(environment.store_calls() - last_sample.1);
            last_sample = (Instant::now(), environment.store_calls());
        }
    }
    result.add_figure(
        "domain lost: time until all gangs are queued again",
        start.elapsed().as_secs_f64(),
        "s",
    );
    result.add_figure(
        "domain lost: processor time of the scheduler",
        process.meter().cpu_seconds() - cpu_before,
        "s",
    );
    result.add_figure(
        "domain lost: store calls, this tool's own included",
        (environment.store_calls() - calls_before) as f64,
        "calls",
    );
    result.add_figure(
        "domain lost: most store calls in a second, 5 of them this tool's",
        peak_calls as f64,
        "calls/s",
    );
    environment.fleet.set_faults(&all_workers, WorkerFaults::default());
    let recovery_time = environment.wait_running(jobs, WAIT_TIMEOUT).await?;
    result.add_figure(
        "domain back: time until all gangs run again",
        recovery_time.as_secs_f64(),
        "s",
    );
    measure_failover(result, &environment, process, jobs).await
}

/// Kills the active scheduler and measures how its standby takes over.
async fn measure_failover(
    result: &mut CapacityResult,
    environment: &BenchEnvironment,
    active_process: crate::harness::process::MeasuredProcess,
    jobs: u32,
) -> Result<(), String> {
    let domain = "domain-1";
    let successor = start_process(&environment.scheduler_spec(domain, "second")?).await?;
    tokio::time::sleep(Duration::from_secs(5)).await;
    let records_before = environment.fleet.journal().entries.len();
    let calls_before = environment.store_calls();
    let worker_bytes = |environment: &BenchEnvironment| environment.bytes().workers;
    drop(active_process);
    let (start, bytes_before) = (Instant::now(), worker_bytes(environment));
    // To rebuild its state, the successor queries every worker, which transfers more than 200 bytes
    // per worker.
    while worker_bytes(environment) - bytes_before < f64::from(WORKERS_PER_DOMAIN) * 200.0 {
        if start.elapsed() > WAIT_TIMEOUT {
            return Err("the standby scheduler did not query the workers".to_owned());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    result.add_figure(
        "scheduler killed: time until its successor asks all workers",
        start.elapsed().as_secs_f64(),
        "s",
    );
    tokio::time::sleep(Duration::from_secs(12)).await;
    let running = environment.count_jobs(|state| *state == JobState::Running).await;
    result.add_figure("scheduler killed: gangs running after 12 s", running as f64, "jobs");
    result.add_figure("scheduler killed: gangs that had to run", f64::from(jobs), "jobs");
    let new_records = environment.fleet.journal().entries.len() - records_before;
    result.add_figure(
        "scheduler killed: new records of holdings on workers",
        new_records as f64,
        "records",
    );
    result.add_figure(
        "scheduler killed: store calls in 12 s, this tool's own included",
        (environment.store_calls() - calls_before) as f64,
        "calls",
    );
    result.add_figure(
        "scheduler killed: memory of the successor",
        successor.meter().anonymous_memory_mb(),
        "MB",
    );
    Ok(())
}

/// Makes the store unavailable to all processes of the target size, then available again.
async fn measure_store_recovery(result: &mut CapacityResult) -> Result<(), String> {
    let group = MemberGroup::start(PROCESS_COUNT).await?;
    group.wait_version(1, Duration::from_secs(30)).await?;
    tokio::time::sleep(Duration::from_secs(20)).await;
    let rate = |calls: u64, start: Instant| calls as f64 / start.elapsed().as_secs_f64();
    let (calls_before, start) = (group.store.store().stats().total(), Instant::now());
    tokio::time::sleep(Duration::from_secs(10)).await;
    let baseline_rate = rate(group.store.store().stats().total() - calls_before, start);
    result.add_figure("store back: calls before the outage", baseline_rate, "calls/s");
    group.store.store().set_faults(StoreFaults::outage());
    tokio::time::sleep(OUTAGE_DURATION).await;
    group.store.store().set_faults(StoreFaults::default());
    let mut peak_calls: f64 = 0.0;
    for _ in 0..10 {
        let (calls_before, start) = (group.store.store().stats().total(), Instant::now());
        tokio::time::sleep(Duration::from_secs(1)).await;
        peak_calls =
            peak_calls.max(rate(group.store.store().stats().total() - calls_before, start));
    }
    result.add_figure(
        "store back: most calls in a second of the 10 s after the outage",
        peak_calls,
        "calls/s",
    );
    group.write_tree(2).await?;
    let propagation = group.wait_version(2, Duration::from_secs(11)).await?;
    result.add_figure(
        "store back: next change in force everywhere",
        propagation.as_secs_f64() * 1e3,
        "ms",
    );
    Ok(())
}
