//! Cost of the active scheduler of a failure domain by the number of its workers.

use std::time::{Duration, Instant};

use crate::capacity::{CapacityOptions, CapacityResult};
use crate::harness::load::{domain_names, tree_text, write_jobs};
use crate::harness::site::{MeasuredSite, start_process};
use crate::slope::MeasuredSeries;

/// Workers of the domain; the target has 127. The largest checks the line.
const WORKERS: [u32; 5] = [32, 64, 96, 127, 190];
const CUSTOMERS: u32 = 180;
/// Longest wait until all jobs run.
const FILL_LIMIT: Duration = Duration::from_secs(90);
/// Time after the last start until nothing but upkeep goes on.
const SETTLE: Duration = Duration::from_secs(8);

/// Measures processor time, memory, bytes and store calls with the target's tasks per worker.
pub async fn measure(options: &CapacityOptions) -> Result<CapacityResult, String> {
    let series = |name: &str, unit: &str| MeasuredSeries::new(name, "workers", unit);
    let mut cpu = series("scheduler: processor time", "% of a core");
    let mut memory = series("scheduler: own memory", "MB");
    let mut resident = series("scheduler: resident memory with program", "MB");
    let mut worker_bytes = series("scheduler: bytes to and from workers", "KB/s");
    let mut store_bytes = series("scheduler: bytes to and from the store", "KB/s");
    let mut list_bytes = series("scheduler: bytes from the instance list", "KB/s");
    let mut calls = series("scheduler: store calls", "calls/s");
    let mut fill = series("scheduler: time from process start until all jobs run", "s");
    let mut standby = series("standby scheduler: processor time", "% of a core");
    let mut result = CapacityResult::default();
    for workers in WORKERS {
        let domains = domain_names(1);
        let tree = tree_text(&domains, workers, CUSTOMERS);
        let site = MeasuredSite::start(&domains, workers, &tree).await?;
        let (jobs, tasks) = write_jobs(site.store.store(), &domains[0], workers, CUSTOMERS).await?;
        let start = Instant::now();
        let process = start_process(&site.scheduler(&domains[0], "active")?).await?;
        site.wait_running(jobs, FILL_LIMIT).await?;
        let filled = start.elapsed();
        let second = start_process(&site.scheduler(&domains[0], "standby")?).await?;
        tokio::time::sleep(SETTLE).await;
        let (meter, second) = (process.meter(), (second.meter(), second));
        let before =
            (meter.cpu_seconds(), site.bytes(), site.store_calls(), second.0.cpu_seconds());
        let start = Instant::now();
        tokio::time::sleep(options.window()).await;
        let elapsed = start.elapsed().as_secs_f64();
        let (size, bytes) = (f64::from(workers), site.bytes());
        cpu.push(size, (meter.cpu_seconds() - before.0) / elapsed * 100.0);
        memory.push(size, meter.memory_mb());
        resident.push(size, meter.resident_mb());
        worker_bytes.push(size, (bytes.workers - before.1.workers) / elapsed / 1e3);
        store_bytes.push(size, (bytes.store - before.1.store) / elapsed / 1e3);
        list_bytes.push(size, (bytes.list - before.1.list) / elapsed / 1e3);
        calls.push(size, (site.store_calls() - before.2) as f64 / elapsed);
        standby.push(size, (second.0.cpu_seconds() - before.3) / elapsed * 100.0);
        fill.push(size, filled.as_secs_f64());
        println!("  {workers} workers, {jobs} jobs, {tasks} tasks: started in {filled:?}");
    }
    result.series =
        vec![cpu, memory, resident, worker_bytes, store_bytes, list_bytes, calls, fill, standby];
    Ok(result)
}
