//! A small deployment: the store, runners, instances as processes of their own, and clients.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Server, call};
use crate::json::{Json, int, map, text};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Demands, Profile, RunTrace, Worker};

pub const HOST: &str = "desk.example";
pub const KEY: &str = "key-of-the-tenant";
/// Time for which a client waits for an answer.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
/// Port of the metrics, which the deploy file fixes.
const METRICS_PORT: u16 = 9464;
/// Memory of an instance in MB (`memory_mb`), over which the platform kills it.
pub const MEMORY_MB: u64 = 260;
/// Time after which the platform starts a process again that has ended.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Interval at which the platform looks at its processes.
const WATCH_INTERVAL: Duration = Duration::from_millis(10);

/// Outcome of a case.
pub enum Verdict {
    Held,
    Broken(String),
    NotRun(String),
}

/// Processes of all instances, for [`end_all`].
static PROCESSES: Mutex<Vec<Arc<Mutex<Process>>>> = Mutex::new(Vec::new());

/// Kills the processes of all instances.
pub fn end_all() {
    for process in PROCESSES.lock().unwrap().iter() {
        let mut process = process.lock().unwrap();
        process.is_dark = true;
        if let Some(child) = &mut process.child {
            let _ = child.kill();
        }
    }
}

struct Process {
    child: Option<Child>,
    ended_at: Option<Instant>,
    /// Whether the platform keeps the process down.
    is_dark: bool,
    settings: PathBuf,
    log: PathBuf,
    /// Times at which the process was killed for its memory.
    memory_kills: Vec<Instant>,
}

/// Instance of the system.
#[derive(Clone)]
pub struct Instance {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    process: Arc<Mutex<Process>>,
}

/// Deployment; dropping it ends all its processes.
pub struct Deployment {
    pub record: Record,
    pub store: Store,
    pub instances: Vec<Instance>,
    pub workers: Vec<Worker>,
    pub demands: Demands,
    program: PathBuf,
    root: PathBuf,
    folder: PathBuf,
    store_address: SocketAddr,
    is_over: Arc<AtomicBool>,
    _store_server: Server,
}

impl Deployment {
    /// Starts the store; `root` is the repository.
    pub fn start(root: PathBuf, folder: PathBuf, record: Record) -> std::io::Result<Self> {
        let store = Store::start();
        let serving = store.clone();
        let local = "127.0.0.1:0".parse().expect("an address");
        let server = Server::start(local, move |request| serving.handle(request))?;
        Ok(Self {
            record,
            store,
            instances: Vec::new(),
            workers: Vec::new(),
            demands: Demands::default(),
            program: root.join("target/release/lacewingrail-instance"),
            root,
            folder,
            store_address: server.address,
            is_over: Arc::new(AtomicBool::new(false)),
            _store_server: server,
        })
    }

    /// Adds a runner.
    pub fn add_worker(&mut self, id: &str, profile: Profile) -> Worker {
        let worker = Worker::start(id, profile, &self.store, &self.record, &self.demands);
        self.workers.push(worker.clone());
        worker
    }

    /// Starts instances, each with a loopback address of its own, and waits until they are ready.
    pub fn add_instances(&mut self, count: usize) -> Result<(), String> {
        let network = free_network(count).ok_or("no free loopback addresses")?;
        for index in 0..count {
            let ip = format!("{network}.{}", index + 1);
            let zone = ["zone-a", "zone-b"][index % 2];
            let ports = free_ports(&ip).ok_or("no free ports")?;
            let name = format!("front-{zone}-{index}");
            let settings = self.folder.join(format!("{name}.toml"));
            let text = settings_text(&name, zone, &ip, &ports, self.store_address);
            std::fs::write(&settings, text).map_err(|error| error.to_string())?;
            let address = |port: u16| format!("{ip}:{port}").parse().expect("an address");
            let process = Process {
                child: None,
                ended_at: None,
                is_dark: false,
                log: self.folder.join(format!("{name}.log")),
                settings,
                memory_kills: Vec::new(),
            };
            let instance = Instance {
                name,
                front: address(ports[0]),
                ready: address(ports[1]),
                process: Arc::new(Mutex::new(process)),
            };
            PROCESSES.lock().unwrap().push(instance.process.clone());
            self.launch(&instance)?;
            self.watch(instance.clone());
            self.instances.push(instance);
        }
        let deadline = Instant::now() + Duration::from_secs(15);
        while !self.instances.iter().all(Instance::is_ready) {
            if Instant::now() > deadline {
                return Err("the instances do not become ready".to_owned());
            }
            pause(0.05);
        }
        // The first scheduler has to read the list of runners and to hear each of them.
        pause(3.0);
        Ok(())
    }

    fn launch(&self, instance: &Instance) -> Result<(), String> {
        launch(&self.program, &self.root, &mut instance.process.lock().unwrap())
    }

    /// Restarts the process of an instance when it ends, and kills it when it takes more memory than
    /// its settings grant, as the platform does.
    fn watch(&self, instance: Instance) {
        let (program, root) = (self.program.clone(), self.root.clone());
        let (record, is_over) = (self.record.clone(), self.is_over.clone());
        std::thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                std::thread::sleep(WATCH_INTERVAL);
                let mut process = instance.process.lock().unwrap();
                if is_over.load(Ordering::SeqCst) {
                    return;
                }
                let memory = process.child.as_ref().map_or(0, |child| resident_mb(child.id()));
                if memory > MEMORY_MB {
                    record.add(&format!(
                        "{} takes {memory} MB, over memory_mb = {MEMORY_MB}: killed",
                        instance.name
                    ));
                    process.memory_kills.push(Instant::now());
                    if let Some(child) = &mut process.child {
                        let _ = child.kill();
                    }
                }
                let exited = process.child.as_mut().and_then(|child| child.try_wait().ok()?);
                if let Some(status) = exited {
                    record.add(&format!("the process of {} has ended: {status}", instance.name));
                    process.child = None;
                    process.ended_at = Some(Instant::now());
                }
                let is_due = process.ended_at.is_some_and(|at| at.elapsed() >= RESTART_DELAY);
                if process.child.is_none() && is_due && !process.is_dark {
                    record.add(&format!("the process of {} is started again", instance.name));
                    let _ = launch(&program, &root, &mut process);
                }
            }
        });
    }

    /// Returns the instance that is the active scheduler, by the record that the system keeps.
    pub fn leader(&self) -> Option<usize> {
        let value = self.store.value("fleet/lead/holder")?;
        let record = decode_base64(&value);
        let is_holder = |instance: &Instance| record.contains(&format!("\"{}\"", instance.name));
        self.instances.iter().position(is_holder)
    }

    /// Writes the operator's configuration.
    pub fn configure(&self, version: i64, config: Json) {
        let Json::Map(mut members) = config else {
            return;
        };
        members.insert("version".to_owned(), int(version));
        self.store.write("op/config", &Json::Map(members).to_string());
        self.record.add(&format!("the operator's version {version} is acknowledged"));
    }

    /// Submits a job through an instance; returns the status, or 0 without an answer.
    pub fn submit(&self, instance: usize, prefix: &str, job: &str, body: &Json) -> u16 {
        for (index, step) in
            body.get("job_steps").map(Json::list).unwrap_or_default().iter().enumerate()
        {
            let demand = (
                step.int_or("millicores", 0),
                step.int_or("mem_mb", 0),
                step.int_or("gpu_count", 0),
            );
            self.demands.lock().unwrap().insert(format!("{job}.{index}"), demand);
        }
        let answer = self.request(instance, "POST", &format!("{prefix}{job}"), &body.to_string());
        answer.map_or(0, |(status, _)| status)
    }

    /// Sends a client's request with the tenant's key and records both.
    pub fn request(
        &self,
        instance: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let instance = &self.instances[instance];
        let authorization = format!("Bearer {KEY}");
        let headers = [
            ("Host", HOST),
            ("Authorization", authorization.as_str()),
            ("X-Time-Remaining", "3000"),
            ("Content-Type", "application/json"),
        ];
        let shown: String = body.chars().take(160).collect();
        self.record.add(&format!("client sends {method} {path} to {} {shown}", instance.name));
        let answer = call(instance.front, method, path, &headers, body, CLIENT_TIMEOUT);
        match &answer {
            Some(answer) => self.record.add(&format!(
                "{} answers {method} {path} with {} {}",
                instance.name, answer.status, answer.body
            )),
            None => self.record.add(&format!("no answer to {method} {path}")),
        }
        answer.map(|answer| (answer.status, answer.body))
    }

    /// Returns the state of a job that a client is shown; empty without one.
    pub fn state(&self, instance: usize, prefix: &str, job: &str) -> String {
        let answer = self.request(instance, "GET", &format!("{prefix}{job}"), "");
        let body = answer.and_then(|(_, body)| Json::parse(&body));
        body.map(|body| body.text_or_empty("state")).unwrap_or_default()
    }

    /// Returns all runs of tasks whose names begin with a prefix, in order of their starts.
    pub fn runs(&self, task: &str) -> Vec<RunTrace> {
        let mut runs: Vec<RunTrace> = self.workers.iter().flat_map(Worker::traces).collect();
        runs.retain(|run| run.task.starts_with(task));
        runs.sort_by_key(|run| run.started);
        runs
    }

    /// Waits until a condition holds; returns whether it does in time.
    pub fn wait_until<C>(&self, seconds: f64, condition: C) -> bool
    where
        C: Fn() -> bool,
    {
        let deadline = Instant::now() + Duration::from_secs_f64(seconds);
        loop {
            if condition() {
                return true;
            }
            if Instant::now() > deadline {
                return false;
            }
            pause(0.02);
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
        for instance in &self.instances {
            let mut process = instance.process.lock().unwrap();
            if let Some(child) = &mut process.child {
                let _ = child.kill();
                let _ = child.wait();
            }
            process.child = None;
        }
    }
}

impl Instance {
    fn is_ready(&self) -> bool {
        let answer = call(self.ready, "GET", "/-/readiness", &[("Host", HOST)], "", CLIENT_TIMEOUT);
        answer.is_some_and(|answer| answer.status == 200)
    }

    /// Kills the process as a loss of power does; it stays down until [`Instance::light`].
    pub fn darken(&self) {
        let mut process = self.process.lock().unwrap();
        process.is_dark = true;
        if let Some(child) = &mut process.child {
            let _ = child.kill();
        }
    }

    /// Lets the platform start the process again.
    pub fn light(&self) {
        self.process.lock().unwrap().is_dark = false;
    }

    /// Returns how often the process was killed for its memory.
    pub fn memory_kills(&self) -> usize {
        self.process.lock().unwrap().memory_kills.len()
    }
}

fn launch(program: &PathBuf, root: &PathBuf, process: &mut Process) -> Result<(), String> {
    let log = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(&process.log)
        .map_err(|error| error.to_string())?;
    let variable = |name: &str| std::env::var(name).unwrap_or_default();
    let child = Command::new(program)
        .current_dir(root)
        .env_clear()
        .env("PATH", variable("PATH"))
        .env("HOME", variable("HOME"))
        .env("LACEWINGRAIL_BOOT", &process.settings)
        .stdin(Stdio::null())
        .stdout(Stdio::from(log.try_clone().map_err(|error| error.to_string())?))
        .stderr(Stdio::from(log))
        .spawn()
        .map_err(|error| error.to_string())?;
    process.child = Some(child);
    process.ended_at = None;
    Ok(())
}

/// Returns the resident memory of a process in MB.
fn resident_mb(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) / 1024
}

pub fn pause(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}

/// Finds a loopback network whose first addresses have the port of the metrics free.
fn free_network(count: usize) -> Option<String> {
    let seed = std::process::id();
    (0..200).map(|step| seed.wrapping_mul(31).wrapping_add(step * 7)).find_map(|number| {
        let network = format!("127.{}.{}", 60 + number % 150, number / 150 % 250);
        let is_free = |index: usize| {
            TcpListener::bind(format!("{network}.{}:{METRICS_PORT}", index + 1)).is_ok()
        };
        (0..count).all(is_free).then_some(network)
    })
}

fn free_ports(ip: &str) -> Option<Vec<u16>> {
    let listeners: Vec<TcpListener> =
        (0..3).map(|_| TcpListener::bind(format!("{ip}:0")).ok()).collect::<Option<_>>()?;
    listeners.iter().map(|listener| Some(listener.local_addr().ok()?.port())).collect()
}

fn decode_base64(value: &str) -> String {
    let digit = |byte: u8| match byte {
        b'A'..=b'Z' => Some(byte - b'A'),
        b'a'..=b'z' => Some(byte - b'a' + 26),
        b'0'..=b'9' => Some(byte - b'0' + 52),
        b'+' => Some(62),
        b'/' => Some(63),
        _ => None,
    };
    let mut bytes = Vec::new();
    let (mut group, mut bits) = (0u32, 0);
    for digit in value.bytes().filter_map(digit) {
        group = group << 6 | u32::from(digit);
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((group >> bits & 255) as u8);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Builds one route of a configuration.
pub fn route(name: &str, prefix: &str, priority: i64, max_attempts: i64) -> Json {
    route_to("desk", name, prefix, priority, max_attempts)
}

/// Builds one route to a service.
pub fn route_to(service: &str, name: &str, prefix: &str, priority: i64, max_attempts: i64) -> Json {
    map([
        ("name", text(name)),
        ("host", text(HOST)),
        ("prefix", text(prefix)),
        ("route_kind", text("non_idempotent")),
        ("timeout_ms", int(3000)),
        ("slo_ms", int(3000)),
        ("priority", int(priority)),
        ("service", text(service)),
        ("max_attempts", int(max_attempts)),
        ("stretch", Json::Float(3.0)),
        ("public", Json::Bool(false)),
    ])
}

/// Builds a configuration, without its version, of routes and the services that they name.
pub fn config(routes: Vec<Json>, guaranteed: i64) -> Json {
    let mut names: Vec<String> =
        routes.iter().map(|route| route.text_or_empty("service")).collect();
    names.sort();
    names.dedup();
    let services = names.into_iter().map(service).collect();
    let tenant = map([
        ("name", text("tenant-1")),
        ("api_keys", Json::List(vec![text(KEY)])),
        ("priority", int(1)),
        ("guaranteed", map([("gpu_count", int(guaranteed))])),
    ]);
    map([
        ("routes", Json::List(routes)),
        ("services", Json::List(services)),
        ("limits", map([("header_bytes", int(16384)), ("body_bytes", int(262_144))])),
        ("tenants", Json::List(vec![tenant])),
    ])
}

fn service(name: String) -> Json {
    map([
        ("name", text(name)),
        ("health_path", text("/health")),
        ("max_conns", int(64)),
        ("protocol", text("h1")),
        ("tls", Json::Bool(false)),
        ("rejects_overload", Json::Bool(true)),
        ("standby", Json::Bool(false)),
    ])
}

/// Builds a job of steps.
pub fn job(spec: &str, steps: Vec<Json>) -> Json {
    map([("spec", text(spec)), ("job_steps", Json::List(steps))])
}

/// Builds a step from its members.
pub fn step<M>(members: M) -> Json
where
    M: IntoIterator<Item = (&'static str, Json)>,
{
    let members: BTreeMap<String, Json> =
        members.into_iter().map(|(key, value)| (key.to_owned(), value)).collect();
    Json::Map(members)
}

fn settings_text(name: &str, zone: &str, ip: &str, ports: &[u16], store: SocketAddr) -> String {
    let (front, ready, control) = (ports[0], ports[1], ports[2]);
    format!(
        r#"node_name = "{name}"
role = "instance"
machine_class = "front"
serves = ["front","control"]
ip_addr = "{ip}"
zone = "{zone}"
region = "region"
port_range = [7000,7015]
seed_nodes = ["{ip}:{control}"]
bootstrap = true
loss_counts = false
discovery = "platform"
entry_point = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","places","platform","advice","upkeep","sharing"]
control_mode = "call"
[zones]
zone-a = "region"
zone-b = "region"
[listen_addrs]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpu_share = 0.25
cpu_cores = 1
memory_mb = {MEMORY_MB}
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_ms = 2000
revert_ms = 250
max_stretch_ms = 5000
strict_revoke = false
revoke_ms = 5000
cold_excess = 1.5
cold_slack = 5
evacuate_ms = 5000
recovery_s = 12
hold_max_ms = 6000
stop_ms = 400
gang_wait_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
far_x = 3
checkpoint_s = 2
restore_ms = 600
notice_ms = 4500
migrate_s = 1.5
maintenance_s = 2
fencing = false
lease_ms = 3000
thaw_ms = 300
pace_ms = 100
harm_ms = 4000
reclaim_ms = 2900
[platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
[cloud]
address = "127.0.0.1:1"
rate_per_s = 60.0
duties = []
duty_per_s = 60.0
"#
    )
}
