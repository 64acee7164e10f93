//! Measures the request path in one process, with stand-ins for the backend servers and the
//! key-value store.
//!
//! `cargo run --release -p lacewingrail-entry --example measure_requests -- latency|balance|claims`
//!
//! `latency` compares requests through an entry process with direct requests to the same backend
//! server, `balance` compares the load-balancing policies over backend servers of unequal speed,
//! and `claims` counts store writes with and without group commit. Each part of the system runs on
//! its own runtime, so that its processor time can be read by thread name.

use std::collections::BTreeMap;
use std::fs;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use lacewingrail_clients::{CallKind, HttpInstanceList, MemoryStore, StoreFaults};
use lacewingrail_entry::claims::ledger::{ClaimError, ClaimLedger, ClaimPeers};
use lacewingrail_entry::claims::shard_writer::{GROUP_COMMIT_INTERVAL, WriterContext};
use lacewingrail_entry::claims::writer_directory::WriterDirectory;
use lacewingrail_entry::metrics::EntryMetrics;
use lacewingrail_entry::peer_handler::EntryPeerHandler;
use lacewingrail_entry::server::resolve_port;
use lacewingrail_entry::{EntryHandle, EntryProcess, EntrySettings};
use lacewingrail_listener::{ListenerRole, ListenerState};
use lacewingrail_membership::{Membership, MembershipSettings};
use lacewingrail_model::config::{
    ConfigView, CustomerConfig, DomainConfig, PolicyOverlay, RoutingChoice, ServiceConfig,
};
use lacewingrail_model::instance::{InstanceEntry, InstanceRole};
use lacewingrail_model::keys::CONFIG_TREE;
use lacewingrail_model::store::KeyValueService;
use lacewingrail_model::timer::TimerService;
use lacewingrail_model::write_id::WriteIdGenerator;
use lacewingrail_standins::{BackendServer, BackendSettings, InstanceChange, InstanceListServer};
use lacewingrail_telemetry::MetricsRegistry;
use lacewingrail_wire::PeerServer;
use reqwest::Client;
use tokio::runtime::{Builder, Runtime};

const SERVICE: &str = "service";
const CUSTOMER: &str = "customer";
const DOMAIN: &str = "domain-1";
/// Seeds of the repeated runs, whose median is reported.
const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];

fn main() {
    let command = std::env::args().nth(1).unwrap_or_default();
    match command.as_str() {
        "latency" => measure_latency(),
        "balance" => measure_balance(),
        "claims" => measure_claims(),
        _ => eprintln!("usage: measure_requests latency|balance|claims"),
    }
}

fn runtime(name: &str, threads: usize) -> Runtime {
    Builder::new_multi_thread()
        .thread_name(name)
        .worker_threads(threads)
        .enable_all()
        .build()
        .unwrap()
}

/// Returns the processor time of all threads with the given name.
fn processor_time(name: &str) -> Duration {
    let tasks = fs::read_dir("/proc/self/task").unwrap().filter_map(Result::ok);
    let nanoseconds = tasks.filter_map(|task| {
        let comm = fs::read_to_string(task.path().join("comm")).ok()?;
        let stat = fs::read_to_string(task.path().join("schedstat")).ok()?;
        let used = stat.split(' ').next()?.parse::<u64>().ok()?;
        (comm.trim() == name).then_some(used)
    });
    Duration::from_nanos(nanoseconds.sum())
}

async fn start_entry(entries: Vec<InstanceEntry>, overlay: PolicyOverlay) -> EntryHandle {
    let list = InstanceListServer::spawn("127.0.0.1:0").await.unwrap();
    for entry in entries {
        list.change(InstanceChange::AddInstance(entry));
    }
    let store = MemoryStore::new();
    store.put(CONFIG_TREE, "{\"version\":1}".into(), 0, None).await.unwrap();
    let any_port = "127.0.0.1:0".parse().unwrap();
    let mut settings = EntrySettings::new("entry", DOMAIN, any_port, any_port);
    let view = config_view(overlay);
    settings.decoder = Arc::new(move |_| Ok(view.clone()));
    let instances = Arc::new(HttpInstanceList::new(list.handle().url()));
    let timer = TimerService::new();
    let handle = EntryProcess::start(settings, Arc::new(store), instances, timer).await.unwrap();
    while !handle.is_ready() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    std::mem::forget(list);
    handle
}

fn config_view(overlay: PolicyOverlay) -> ConfigView {
    let domain = DomainConfig {
        region: "region".into(),
        out: false,
        out_since: 1,
        overlay: PolicyOverlay::default(),
        nominal_racks: BTreeMap::new(),
    };
    let customer = CustomerConfig {
        precedence: 1,
        weight: 1.0,
        quota: 0,
        guarantees: Vec::new(),
        overlay: PolicyOverlay::default(),
    };
    ConfigView {
        version: 1,
        domains: [(DOMAIN.into(), domain)].into(),
        customers: [(CUSTOMER.into(), customer)].into(),
        services: [(SERVICE.into(), ServiceConfig { overlay })].into(),
        ..ConfigView::default()
    }
}

fn client() -> Client {
    Client::builder().http2_prior_knowledge().no_proxy().tcp_nodelay(true).build().unwrap()
}

async fn call(client: &Client, url: &str, id: &str) -> bool {
    let request = client.post(url).header("x-customer", CUSTOMER).header("x-request-id", id);
    match request.body("0123456789").send().await {
        Ok(response) => response.status().is_success() && response.bytes().await.is_ok(),
        Err(_) => false,
    }
}

/// Sends requests one after another from each of `width` callers; returns the latency in ns.
async fn closed_loop(url: String, width: usize, count: usize) -> Histogram<u64> {
    let client = client();
    let callers = (0..width).map(|caller| {
        let (client, url) = (client.clone(), url.clone());
        tokio::spawn(async move {
            let mut latency = Histogram::<u64>::new(3).unwrap();
            for number in 0..count / width {
                let sent = Instant::now();
                assert!(call(&client, &url, &format!("{caller}-{number}")).await);
                latency.record(sent.elapsed().as_nanos() as u64).unwrap();
            }
            latency
        })
    });
    let mut all = Histogram::<u64>::new(3).unwrap();
    for caller in callers.collect::<Vec<_>>() {
        all.add(caller.await.unwrap()).unwrap();
    }
    all
}

fn measure_latency() {
    let (servers, entries, callers) =
        (runtime("servers", 2), runtime("entry", 2), runtime("callers", 2));
    let settings = BackendSettings {
        slots: 256,
        queue: 4096,
        median_ms: 0.0,
        sigma: 0.0,
        ..BackendSettings::default()
    };
    let backend =
        servers.block_on(servers.spawn(BackendServer::spawn("127.0.0.1:0", settings))).unwrap();
    let backend = backend.unwrap();
    let listed = vec![backend.entry()];
    let overlay = PolicyOverlay { hedging: Some(false), ..PolicyOverlay::default() };
    let entry = entries.block_on(entries.spawn(start_entry(listed, overlay))).unwrap();
    let direct = format!("{}/x", backend.url());
    let through = format!("http://{}/{SERVICE}/x", entry.caller_address());
    println!("width path     p50_us  p99_us  entry_cpu_us/request  servers+callers_cpu_us/request");
    for (width, count) in [(1, 10_000), (32, 100_000)] {
        for (name, url) in [("direct", &direct), ("entry", &through)] {
            callers.block_on(callers.spawn(closed_loop(url.clone(), width, count / 10))).unwrap();
            let before = ["entry", "servers", "callers"].map(processor_time);
            let run = callers.spawn(closed_loop(url.clone(), width, count));
            let latency = callers.block_on(run).unwrap();
            let after = ["entry", "servers", "callers"].map(processor_time);
            let used =
                |index: usize| (after[index] - before[index]).as_secs_f64() * 1e6 / count as f64;
            println!(
                "{width:5} {name:8} {:6.0}  {:6.0}  {:20.1}  {:31.1}",
                latency.value_at_quantile(0.5) as f64 / 1e3,
                latency.value_at_quantile(0.99) as f64 / 1e3,
                used(0),
                used(1) + used(2),
            );
        }
    }
    std::process::exit(0);
}

/// Sends requests at a fixed rate; returns the latency in µs of the successful ones and the number
/// of failed ones.
async fn open_loop(url: String, rate: f64, time: Duration) -> (Histogram<u64>, usize) {
    let client = client();
    let started = tokio::time::Instant::now();
    let calls = tokio::spawn(async move {
        let mut calls = Vec::new();
        for number in 0..(rate * time.as_secs_f64()) as usize {
            tokio::time::sleep_until(started + Duration::from_secs_f64(number as f64 / rate)).await;
            let (client, url) = (client.clone(), url.clone());
            calls.push(tokio::spawn(async move {
                let sent = Instant::now();
                call(&client, &url, &number.to_string()).await.then(|| sent.elapsed())
            }));
        }
        calls
    });
    let mut latency = Histogram::<u64>::new(3).unwrap();
    let mut failed = 0;
    for call in calls.await.unwrap() {
        match call.await.unwrap() {
            Some(elapsed) => latency.record(elapsed.as_micros() as u64).unwrap(),
            None => failed += 1,
        }
    }
    (latency, failed)
}

fn measure_balance() {
    // Speeds from half to twice the nominal speed, as after a partial upgrade.
    let speeds = [0.5, 0.5, 0.5, 1.0, 1.0, 1.0, 1.0, 2.0, 2.0, 2.0];
    let (slots, median_ms, sigma): (usize, f64, f64) = (4, 20.0, 0.5);
    let mean_ms = median_ms * (sigma * sigma / 2.0).exp();
    let capacity = speeds.iter().sum::<f64>() * slots as f64 * 1_000.0 / mean_ms;
    println!("load  routing            seed  p50_ms  p99_ms  failed");
    for load in [0.5, 0.8] {
        for routing in
            [RoutingChoice::Adaptive, RoutingChoice::RoundRobin, RoutingChoice::LeastConnections]
        {
            let mut all = Vec::new();
            for seed in SEEDS {
                let servers = runtime("servers", 3);
                let backends: Vec<BackendServer> = speeds
                    .iter()
                    .enumerate()
                    .map(|(number, speed)| {
                        let settings = BackendSettings {
                            name: format!("b{number}"),
                            slots,
                            speed: *speed,
                            median_ms,
                            sigma,
                            seed: seed * 100 + number as u64,
                            ..BackendSettings::default()
                        };
                        let spawn = BackendServer::spawn("127.0.0.1:0", settings);
                        servers.block_on(servers.spawn(spawn)).unwrap().unwrap()
                    })
                    .collect();
                let listed = backends.iter().map(BackendServer::entry).collect();
                let overlay = PolicyOverlay {
                    hedging: Some(false),
                    routing: Some(routing),
                    ..PolicyOverlay::default()
                };
                let entries = runtime("entry", 3);
                let entry = entries.block_on(entries.spawn(start_entry(listed, overlay))).unwrap();
                let url = format!("http://{}/{SERVICE}/x", entry.caller_address());
                let callers = runtime("callers", 2);
                let rate = load * capacity;
                let warm_up = open_loop(url.clone(), rate, Duration::from_secs(1));
                callers.block_on(callers.spawn(warm_up)).unwrap();
                let run = open_loop(url, rate, Duration::from_secs(4));
                let (latency, failed) = callers.block_on(callers.spawn(run)).unwrap();
                let quantile = |at| latency.value_at_quantile(at) as f64 / 1e3;
                let (p50, p99) = (quantile(0.5), quantile(0.99));
                let name = format!("{routing:?}");
                println!("{load:4}  {name:17}  {seed:4}  {p50:6.1}  {p99:6.1}  {failed:6}");
                all.push((p50, p99));
                for runtime in [servers, entries, callers] {
                    runtime.shutdown_background();
                }
            }
            let median = |values: Vec<f64>| {
                let mut values = values;
                values.sort_by(f64::total_cmp);
                values[values.len() / 2]
            };
            let p50 = median(all.iter().map(|run| run.0).collect());
            let p99 = median(all.iter().map(|run| run.1).collect());
            println!("{load:4}  {routing:?} median of seeds: p50 {p50:.1} ms, p99 {p99:.1} ms");
        }
    }
    std::process::exit(0);
}

fn measure_claims() {
    let runtime = runtime("claims", 4);
    println!(
        "instances  claims/s  group_ms  fwd   writes/claim  reads/claim  p50_ms  p99_ms  refused"
    );
    for (instances, rate) in [(1, 20.0), (1, 200.0), (7, 20.0), (7, 100.0), (7, 200.0), (7, 800.0)]
    {
        let variants = [
            (Duration::ZERO, false),
            (GROUP_COMMIT_INTERVAL, false),
            (GROUP_COMMIT_INTERVAL, true),
        ];
        for (group_commit_interval, forward) in
            variants.into_iter().filter(|variant| instances > 1 || !variant.1)
        {
            let run = run_claims(instances, rate, group_commit_interval, forward);
            let (writes, reads, latency, refused) = runtime.block_on(runtime.spawn(run)).unwrap();
            println!(
                "{instances:9}  {rate:8}  {:8}  {forward:5} {writes:12.2}  {reads:11.2}  {:6.1}  {:6.1}  {refused:7}",
                group_commit_interval.as_millis(),
                latency.value_at_quantile(0.5) as f64 / 1e3,
                latency.value_at_quantile(0.99) as f64 / 1e3,
            );
        }
    }
    std::process::exit(0);
}

fn idle_membership(address: String, store: &MemoryStore) -> Membership {
    let settings = MembershipSettings {
        system: "test".to_owned(),
        instance: address.clone(),
        role: InstanceRole::Entry,
        domain: DOMAIN.into(),
        address,
        peers: Vec::new(),
    };
    let decoder = Arc::new(|_: &str| Ok(ConfigView::default()));
    Membership::new(settings, Arc::new(store.clone()), None, decoder, TimerService::new())
}

/// Acquires claims and records outcomes as requests of 20 ms do. The store responds within 4 ms and
/// limits calls to 400 writes and 2,000 reads a second. Returns writes and reads per claim, the
/// latency of claims in µs and the number of refused claims.
async fn run_claims(
    instances: usize,
    rate: f64,
    group_commit_interval: Duration,
    forward: bool,
) -> (f64, f64, Histogram<u64>, usize) {
    let time = Duration::from_secs(5);
    let store = MemoryStore::new();
    store.set_faults(StoreFaults {
        delay_ms: 4,
        writes_per_second: 400,
        reads_per_second: 2_000,
        ..StoreFaults::default()
    });
    let mut ledgers = Vec::new();
    let mut servers = Vec::new();
    let mut listed = Vec::new();
    let mut directories = Vec::new();
    for number in 0..instances {
        let address = resolve_port("127.0.0.1:0".parse().unwrap()).unwrap();
        let directory = Arc::new(WriterDirectory::new(address.to_string()));
        let peers = ClaimPeers {
            membership: idle_membership(address.to_string(), &store),
            directory: directory.clone(),
        };
        let context = WriterContext {
            store: Arc::new(store.clone()),
            metrics: Arc::new(EntryMetrics::new(&MetricsRegistry::new())),
            timer: TimerService::new(),
            group_commit_interval,
        };
        let handler = peers.membership.handler();
        let generator = WriteIdGenerator::new(format!("instance-{number}"));
        let ledger = Arc::new(ClaimLedger::new(context, generator, forward.then_some(peers)));
        let handler = EntryPeerHandler::new(handler, ledger.clone());
        servers.push(
            PeerServer::bind(
                address,
                ListenerState::detached("peers", ListenerRole::Peers),
                Arc::new(handler),
            )
            .await
            .unwrap(),
        );
        listed.push(InstanceEntry {
            name: format!("entry-{number}"),
            role: InstanceRole::Entry,
            service: String::new(),
            domain: DOMAIN.into(),
            address: String::new(),
            peer_address: address.to_string(),
            leaving: false,
            slots: 0,
            connections: 0,
        });
        ledgers.push(ledger);
        directories.push(directory);
    }
    directories.iter().for_each(|directory| directory.update(&listed));
    let service: Arc<str> = SERVICE.into();
    let started = tokio::time::Instant::now();
    let count = (rate * time.as_secs_f64()) as usize;
    let mut calls = Vec::new();
    for number in 0..count {
        tokio::time::sleep_until(started + Duration::from_secs_f64(number as f64 / rate)).await;
        let (ledger, service) = (ledgers[number % instances].clone(), service.clone());
        calls.push(tokio::spawn(async move {
            let sent = Instant::now();
            let deadline = tokio::time::Instant::now() + Duration::from_secs(5);
            let claim = ledger.acquire(&service, &format!("key-{number}"), 1, 16, deadline).await?;
            let elapsed = sent.elapsed();
            tokio::time::sleep(Duration::from_millis(20)).await;
            let _ = ledger
                .record_response(&claim, 200, "text/plain", b"an answer of 24 bytes...")
                .await;
            Ok::<Duration, ClaimError>(elapsed)
        }));
    }
    let mut latency = Histogram::<u64>::new(3).unwrap();
    let mut refused = 0;
    for call in calls {
        match call.await.unwrap() {
            Ok(elapsed) => latency.record(elapsed.as_micros() as u64).unwrap(),
            Err(_) => refused += 1,
        }
    }
    let calls_of = |kind: CallKind| {
        let kinds = store.stats().kinds;
        kinds.iter().find(|stats| stats.kind == kind).map_or(0, |stats| stats.total)
    };
    let per_claim = |calls: u64| calls as f64 / count as f64;
    (per_claim(calls_of(CallKind::Put)), per_claim(calls_of(CallKind::Get)), latency, refused)
}
