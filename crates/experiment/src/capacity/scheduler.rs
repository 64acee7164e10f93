//! Measures the active scheduler of a failure domain by its number of workers.

use std::time::{Duration, Instant};

use crate::capacity::{CapacityOptions, CapacityResult};
use crate::harness::environment::{BenchEnvironment, start_process};
use crate::harness::fixtures::{domain_names, settings_tree_yaml, write_jobs};
use crate::linear_fit::MeasuredSeries;

/// Workers of the failure domain; the target size has 127. The largest is held out to check the
/// fit.
const WORKER_COUNTS: [u32; 5] = [32, 64, 96, 127, 190];
const CUSTOMER_COUNT: u32 = 180;
/// Timeout until all jobs are running.
const FILL_TIMEOUT: Duration = Duration::from_secs(90);
/// Time after all jobs have started until only periodic work remains.
const STEADY_STATE_DELAY: Duration = Duration::from_secs(8);

/// Measures processor time, memory, bytes and store calls with as many tasks per worker as at the
/// target size.
///
/// Fails if a stand-in or process doesn't start, or the jobs aren't running within the timeout.
pub async fn measure(options: &CapacityOptions) -> Result<CapacityResult, String> {
    let series = |name: &str, unit: &str| MeasuredSeries::new(name, "workers", unit);
    let mut cpu = series("scheduler: processor time", "% of a core");
    let mut memory = series("scheduler: own memory", "MB");
    let mut resident = series("scheduler: resident memory with program", "MB");
    let mut worker_bytes = series("scheduler: bytes to and from workers", "KB/s");
    let mut store_bytes = series("scheduler: bytes to and from the store", "KB/s");
    let mut list_bytes = series("scheduler: bytes from the instance list", "KB/s");
    let mut calls = series("scheduler: store calls", "calls/s");
    let mut fill_times = series("scheduler: time from process start until all jobs run", "s");
    let mut standby_cpu = series("standby scheduler: processor time", "% of a core");
    let mut result = CapacityResult::default();
    for workers in WORKER_COUNTS {
        let domains = domain_names(1);
        let tree = settings_tree_yaml(&domains, workers, CUSTOMER_COUNT);
        let environment = BenchEnvironment::start(&domains, workers, &tree).await?;
        let (jobs, tasks) =
            write_jobs(environment.store.store(), &domains[0], workers, CUSTOMER_COUNT).await?;
        let start = Instant::now();
        let active_process =
            start_process(&environment.scheduler_spec(&domains[0], "active")?).await?;
        environment.wait_running(jobs, FILL_TIMEOUT).await?;
        let fill_time = start.elapsed();
        let standby_process =
            start_process(&environment.scheduler_spec(&domains[0], "standby")?).await?;
        tokio::time::sleep(STEADY_STATE_DELAY).await;
        let (meter, standby) = (active_process.meter(), (standby_process.meter(), standby_process));
        let before = (
            meter.cpu_seconds(),
            environment.bytes(),
            environment.store_calls(),
            standby.0.cpu_seconds(),
        );
        let start = Instant::now();
        tokio::time::sleep(options.point_duration()).await;
        let elapsed = start.elapsed().as_secs_f64();
        let (size, bytes) = (f64::from(workers), environment.bytes());
        cpu.push(size, (meter.cpu_seconds() - before.0) / elapsed * 100.0);
        memory.push(size, meter.anonymous_memory_mb());
        resident.push(size, meter.resident_mb());
        worker_bytes.push(size, (bytes.workers - before.1.workers) / elapsed / 1e3);
        store_bytes.push(size, (bytes.store - before.1.store) / elapsed / 1e3);
        list_bytes.push(size, (bytes.list - before.1.list) / elapsed / 1e3);
        calls.push(size, (environment.store_calls() - before.2) as f64 / elapsed);
        standby_cpu.push(size, (standby.0.cpu_seconds() - before.3) / elapsed * 100.0);
        fill_times.push(size, fill_time.as_secs_f64());
        println!("  {workers} workers, {jobs} jobs, {tasks} tasks: started in {fill_time:?}");
    }
    result.series = vec![
        cpu,
        memory,
        resident,
        worker_bytes,
        store_bytes,
        list_bytes,
        calls,
        fill_times,
        standby_cpu,
    ];
    Ok(result)
}
