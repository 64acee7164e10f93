//! Bursts at the target size: a failure domain lost, schedulers replaced, the store back.

use std::time::{Duration, Instant};

use lacewingrail_clients::StoreFaults;
use lacewingrail_model::job::JobState;
use lacewingrail_standins::{WorkerFaults, WorkerSelection};

use crate::capacity::membership::MemberGroup;
use crate::capacity::{CapacityOptions, CapacityResult};
use crate::harness::load::{domain_names, tree_text, write_jobs};
use crate::harness::site::{MeasuredSite, start_process};

/// Workers of a failure domain at the target.
const DOMAIN_WORKERS: u32 = 127;
const CUSTOMERS: u32 = 180;
/// Processes of the target, half of them schedulers.
const PROCESSES: usize = 232;
const OUTAGE: Duration = Duration::from_secs(20);
const LIMIT: Duration = Duration::from_secs(90);

/// Measures the bursts.
pub async fn measure(_options: &CapacityOptions) -> Result<CapacityResult, String> {
    let mut result = CapacityResult::default();
    lose_domain(&mut result).await?;
    return_store(&mut result).await?;
    Ok(result)
}

/// Loses all workers of a full failure domain, brings them back, then replaces its scheduler.
async fn lose_domain(result: &mut CapacityResult) -> Result<(), String> {
    let domains = domain_names(1);
    let tree = tree_text(&domains, DOMAIN_WORKERS, CUSTOMERS);
    let site = MeasuredSite::start(&domains, DOMAIN_WORKERS, &tree).await?;
    let (jobs, tasks) =
        write_jobs(site.store.store(), &domains[0], DOMAIN_WORKERS, CUSTOMERS).await?;
    let start = Instant::now();
    let process = start_process(&site.scheduler(&domains[0], "first")?).await?;
    site.wait_running(jobs, LIMIT).await?;
    let filled = start.elapsed();
    result.note("full domain: tasks started", f64::from(tasks), "tasks");
    result.note("full domain: time from process start until all run", filled.as_secs_f64(), "s");
    let all = WorkerSelection::domain(&domains[0]);
    let (cpu, calls) = (process.meter().cpu_seconds(), site.store_calls());
    let (mut peak, mut second) = (0, (Instant::now(), calls));
    site.fleet.set_faults(&all, WorkerFaults { dead: true, ..WorkerFaults::default() });
    let start = Instant::now();
    while site.count_jobs(|state| *state == JobState::Running).await > 0 {
        if start.elapsed() > LIMIT {
            return Err("jobs of dead workers still count as running".to_owned());
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
        if second.0.elapsed() >= Duration::from_secs(1) {
            peak = peak.max(site.store_calls() - second.1);
            second = (Instant::now(), site.store_calls());
        }
    }
    result.note(
        "domain lost: time until all gangs are queued again",
        start.elapsed().as_secs_f64(),
        "s",
    );
    result.note(
        "domain lost: processor time of the scheduler",
        process.meter().cpu_seconds() - cpu,
        "s",
    );
    result.note(
        "domain lost: store calls, this tool's own included",
        (site.store_calls() - calls) as f64,
        "calls",
    );
    result.note(
        "domain lost: most store calls in a second, 5 of them this tool's",
        peak as f64,
        "calls/s",
    );
    site.fleet.set_faults(&all, WorkerFaults::default());
    let back = site.wait_running(jobs, LIMIT).await?;
    result.note("domain back: time until all gangs run again", back.as_secs_f64(), "s");
    replace_scheduler(result, &site, process, jobs).await
}

/// Kills the active scheduler and times its successor.
async fn replace_scheduler(
    result: &mut CapacityResult,
    site: &MeasuredSite,
    process: crate::harness::process::MeasuredProcess,
    jobs: u32,
) -> Result<(), String> {
    let domain = "domain-1";
    let second = start_process(&site.scheduler(domain, "second")?).await?;
    tokio::time::sleep(Duration::from_secs(5)).await;
    let before = site.fleet.journal().entries.len();
    let calls = site.store_calls();
    let renewals = |site: &MeasuredSite| site.bytes().workers;
    drop(process);
    let (start, carried) = (Instant::now(), renewals(site));
    // The rebuild asks every worker, which carries more than 200 bytes for each.
    while renewals(site) - carried < f64::from(DOMAIN_WORKERS) * 200.0 {
        if start.elapsed() > LIMIT {
            return Err("the successor did not ask the workers".to_owned());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    result.note(
        "scheduler killed: time until its successor asks all workers",
        start.elapsed().as_secs_f64(),
        "s",
    );
    tokio::time::sleep(Duration::from_secs(12)).await;
    let running = site.count_jobs(|state| *state == JobState::Running).await;
    result.note("scheduler killed: gangs running after 12 s", running as f64, "jobs");
    result.note("scheduler killed: gangs that had to run", f64::from(jobs), "jobs");
    let ended = site.fleet.journal().entries.len() - before;
    result.note("scheduler killed: new records of holdings on workers", ended as f64, "records");
    result.note(
        "scheduler killed: store calls in 12 s, this tool's own included",
        (site.store_calls() - calls) as f64,
        "calls",
    );
    result.note("scheduler killed: memory of the successor", second.meter().memory_mb(), "MB");
    Ok(())
}

/// Takes the store away from all processes of the target and brings it back.
async fn return_store(result: &mut CapacityResult) -> Result<(), String> {
    let group = MemberGroup::start(PROCESSES).await?;
    group.wait_version(1, Duration::from_secs(30)).await?;
    tokio::time::sleep(Duration::from_secs(20)).await;
    let rate = |calls: u64, start: Instant| calls as f64 / start.elapsed().as_secs_f64();
    let (before, start) = (group.store.store().stats().total(), Instant::now());
    tokio::time::sleep(Duration::from_secs(10)).await;
    let usual = rate(group.store.store().stats().total() - before, start);
    result.note("store back: calls before the outage", usual, "calls/s");
    group.store.store().set_faults(StoreFaults::outage());
    tokio::time::sleep(OUTAGE).await;
    group.store.store().set_faults(StoreFaults::default());
    let mut peak: f64 = 0.0;
    for _ in 0..10 {
        let (before, start) = (group.store.store().stats().total(), Instant::now());
        tokio::time::sleep(Duration::from_secs(1)).await;
        peak = peak.max(rate(group.store.store().stats().total() - before, start));
    }
    result.note("store back: most calls in a second of the 10 s after the outage", peak, "calls/s");
    group.write_tree(2).await?;
    let spread = group.wait_version(2, Duration::from_secs(11)).await?;
    result.note("store back: next change in force everywhere", spread.as_secs_f64() * 1e3, "ms");
    Ok(())
}
