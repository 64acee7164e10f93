//! Measures an entry process by request rate and by number of backend servers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use lacewingrail_standins::instance_server::InstanceChange;
use lacewingrail_standins::{BackendServer, BackendSettings};
use tokio::task::JoinSet;

use crate::capacity::{CapacityOptions, CapacityResult};
use crate::harness::environment::{BenchEnvironment, start_process};
use crate::harness::fixtures::{domain_names, settings_tree_yaml};
use crate::harness::process::MeasuredProcess;
use crate::linear_fit::MeasuredSeries;

/// Requests per second; the largest is held out to check the fit.
const REQUEST_RATES: [u64; 6] = [0, 50, 100, 200, 400, 800];
/// Numbers of backend servers at a fixed rate; the largest is held out to check the fit.
const BACKEND_COUNTS: [usize; 5] = [8, 16, 32, 50, 100];
const FIXED_REQUESTS_PER_SECOND: u64 = 50;
const FIXED_BACKEND_COUNT: usize = 16;
/// Time for the process to read the settings tree and open its first connections.
const WARM_UP_TIME: Duration = Duration::from_secs(4);

/// An entry process with its external systems, which stop when it is dropped.
struct EntryBench {
    process: MeasuredProcess,
    /// The listen address for callers.
    callers: SocketAddr,
    _environment: BenchEnvironment,
    _backends: Vec<BackendServer>,
}

/// The values measured at one request rate and one number of backend servers.
struct EntryMeasurement {
    cpu_percent: f64,
    memory_mb: f64,
    failed_requests: u64,
}

/// Measures processor time and memory of an entry process.
///
/// Fails if a stand-in or the process doesn't start.
pub async fn measure(options: &CapacityOptions) -> Result<CapacityResult, String> {
    let rate_series = |name: &str, unit: &str| MeasuredSeries::new(name, "requests/s", unit);
    let mut cpu = rate_series("entry: processor time by rate", "% of a core");
    let mut memory = rate_series("entry: own memory by rate", "MB");
    let mut failures = 0;
    let bench = start_bench(FIXED_BACKEND_COUNT).await?;
    for rate in REQUEST_RATES {
        let point = measure_point(&bench, rate, options.point_duration()).await?;
        cpu.push(rate as f64, point.cpu_percent);
        memory.push(rate as f64, point.memory_mb);
        failures += point.failed_requests;
        println!("  {rate} requests/s: {:.2}% of a core", point.cpu_percent);
    }
    drop(bench);
    let count_series = |name: &str, unit: &str| MeasuredSeries::new(name, "backend servers", unit);
    let mut cpu_backends =
        count_series("entry: processor time at 50 requests/s by backend servers", "% of a core");
    let mut memory_backends = count_series("entry: own memory by backend servers", "MB");
    for count in BACKEND_COUNTS {
        let bench = start_bench(count).await?;
        let point =
            measure_point(&bench, FIXED_REQUESTS_PER_SECOND, options.point_duration()).await?;
        cpu_backends.push(count as f64, point.cpu_percent);
        memory_backends.push(count as f64, point.memory_mb);
        failures += point.failed_requests;
        println!("  {count} backend servers: {:.2}% of a core", point.cpu_percent);
    }
    let mut result = CapacityResult {
        series: vec![cpu, memory, cpu_backends, memory_backends],
        figures: Vec::new(),
    };
    result.add_figure(
        "entry: requests without a success in these runs",
        failures as f64,
        "requests",
    );
    Ok(result)
}

async fn start_bench(backend_count: usize) -> Result<EntryBench, String> {
    let domains = domain_names(1);
    let environment =
        BenchEnvironment::start(&domains, 6, &settings_tree_yaml(&domains, 6, 4)).await?;
    let mut servers = Vec::new();
    for number in 0..backend_count {
        let settings = BackendSettings {
            name: format!("backend-{number:03}"),
            service: "previews".to_owned(),
            domain: domains[0].clone(),
            median_ms: 5.0,
            seed: number as u64,
            ..BackendSettings::default()
        };
        let server = BackendServer::spawn("127.0.0.1:0", settings).await;
        let server = server.map_err(|error| format!("cannot start a backend server: {error}"))?;
        environment.list.change(InstanceChange::AddInstance(server.entry()));
        servers.push(server);
    }
    let spec = environment.entry_spec(&domains[0], "entry")?;
    let callers = spec.callers.ok_or("the entry process has no address for callers")?;
    let process = start_process(&spec).await?;
    tokio::time::sleep(WARM_UP_TIME).await;
    Ok(EntryBench { process, callers, _environment: environment, _backends: servers })
}

async fn measure_point(
    bench: &EntryBench,
    rate: u64,
    window: Duration,
) -> Result<EntryMeasurement, String> {
    let client = reqwest::Client::new();
    let url = format!("http://{}/previews/fit", bench.callers);
    // Warms up, so that connections and buffers are allocated before the measurement.
    send_requests(&client, &url, rate, Duration::from_secs(2)).await;
    let meter = bench.process.meter();
    let (before, start) = (meter.cpu_seconds(), Instant::now());
    let failed_requests = send_requests(&client, &url, rate, window).await;
    let elapsed = start.elapsed().as_secs_f64();
    let cpu_percent = (meter.cpu_seconds() - before) / elapsed * 100.0;
    Ok(EntryMeasurement { cpu_percent, memory_mb: meter.anonymous_memory_mb(), failed_requests })
}

/// Sends requests at a constant rate and returns how many did not succeed.
async fn send_requests(client: &reqwest::Client, url: &str, rate: u64, window: Duration) -> u64 {
    if rate == 0 {
        tokio::time::sleep(window).await;
        return 0;
    }
    let mut ticks = tokio::time::interval(Duration::from_secs(1) / rate as u32);
    let mut calls = JoinSet::new();
    let total = (window.as_secs_f64() * rate as f64) as u64;
    for _ in 0..total {
        ticks.tick().await;
        let request = client.get(url).header("x-customer", "team-000").send();
        calls.spawn(async move { request.await.is_ok_and(|answer| answer.status().is_success()) });
    }
    calls.join_all().await.into_iter().filter(|succeeded| !succeeded).count() as u64
}
