//! A small deployment: the store, runners and instances of the system, and its clients.

use std::fs::{self, File};
use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use crate::http::{self, Call};
use crate::json::Json;
use crate::record::Record;
use crate::runner::{RunLog, Runner, RunnerSpec, StartedRun};
use crate::store::Store;

/// Command of the deploy file, relative to the top of the repository.
const PROGRAM: &str = "target/release/lacewingrail-instance";
/// Port on which each instance serves its metrics, as in the deploy file.
const METRICS_PORT: u16 = 9464;
const SERVICE: &str = "lending-desk";
const HOST: &str = "desk.example";
const API_KEY: &str = "d4a3hwrr6x73d3zji9n7";
const ZONE: &str = "om-north-a";
/// Time for which a client waits for an answer unless it leaves earlier.
const PATIENCE: Duration = Duration::from_secs(3);
/// Time between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Queue of the configuration.
pub struct Queue {
    /// Name, which is also the path prefix between slashes.
    pub name: &'static str,
    pub priority: u64,
    pub slo_ms: u64,
    pub stretch: f64,
    pub max_attempts: u64,
}

/// Process of the system.
pub struct Instance {
    front: SocketAddr,
    ready: SocketAddr,
    control: SocketAddr,
    child: Child,
}

/// The deployment; dropping it ends all processes.
pub struct Deployment {
    pub record: Record,
    pub store: Store,
    pub runners: Vec<Runner>,
    pub instances: Vec<Instance>,
    pub log: RunLog,
    folder: PathBuf,
}

/// Returns the entry of a runner of the deployment's service.
pub fn runner_spec(number: u64, kind: &str, rack: &str) -> RunnerSpec {
    RunnerSpec {
        id: format!("i-{number:08x}"),
        service: SERVICE.to_owned(),
        zone: ZONE.to_owned(),
        kind: kind.to_owned(),
        rack: rack.to_owned(),
        gpus: 8,
    }
}

impl Deployment {
    /// Starts everything and waits until the system serves.
    pub fn start(
        record: &Record,
        queues: &[Queue],
        specs: Vec<RunnerSpec>,
        instances: usize,
    ) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let (store, store_address) = Store::start(record)?;
        store.put("op/config", &config(queues));
        let log = RunLog::default();
        let start = |spec| Runner::start(spec, &store, record, &log);
        let runners = specs.into_iter().map(start).collect::<io::Result<Vec<_>>>()?;
        let mut deployment =
            Self { record: record.clone(), store, runners, instances: Vec::new(), log, folder };
        for number in 0..instances {
            let instance = Instance::start(number, store_address, &deployment.folder)?;
            deployment.instances.push(instance);
        }
        record.note(format!("{instances} instances, {} runners", deployment.runners.len()));
        if !deployment.wait(Duration::from_secs(15), Self::serves) {
            return Err(io::Error::other("the system does not get ready"));
        }
        record.note("the system is ready");
        Ok(deployment)
    }

    /// Waits until a condition holds; returns whether it does.
    pub fn wait<F>(&self, limit: Duration, condition: F) -> bool
    where
        F: Fn(&Self) -> bool,
    {
        let ends_at = self.record.now() + limit;
        while self.record.now() < ends_at {
            if condition(self) {
                return true;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        condition(self)
    }

    /// Waits until a condition holds, checking it often; returns whether it does.
    pub fn wait_briefly<F>(&self, limit: Duration, condition: F) -> bool
    where
        F: Fn(&Self) -> bool,
    {
        let ends_at = self.record.now() + limit;
        while self.record.now() < ends_at {
            if condition(self) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        condition(self)
    }

    /// Waits until a time of the record.
    pub fn wait_until(&self, time: Duration) {
        std::thread::sleep(time.saturating_sub(self.record.now()));
    }

    fn serves(&self) -> bool {
        let is_ready = |instance: &Instance| {
            let call = Call {
                address: instance.ready,
                method: "GET",
                host: HOST,
                path: "/-/readiness",
                key: API_KEY,
                body: "",
                patience: PATIENCE,
            };
            http::call(&call).is_some_and(|(status, _)| status == 200)
        };
        self.leader().is_some() && self.instances.iter().all(is_ready)
    }

    /// Returns the instance that last wrote to the store under a condition: the one that schedules.
    pub fn leader(&self) -> Option<usize> {
        let holder = Json::parse(&self.store.get("fleet/lead/holder")?)?;
        let address = holder.get_text("address");
        self.instances.iter().position(|instance| instance.control.to_string() == address)
    }

    /// Sends a call of a client and records it.
    pub fn call(
        &self,
        instance: usize,
        method: &str,
        path: &str,
        body: &str,
        patience: Duration,
    ) -> Option<(u16, String)> {
        let call = Call {
            address: self.instances[instance].front,
            method,
            host: HOST,
            path,
            key: API_KEY,
            body,
            patience,
        };
        self.record.note(format!("client -> instance {instance}: {method} {path}"));
        let answer = http::call(&call);
        let text = match &answer {
            Some((status, body)) => format!("{status} {body}"),
            None => "no answer, the client has left".to_owned(),
        };
        self.record.note(format!("client <- instance {instance}: {method} {path}: {text}"));
        answer
    }

    /// Hands in a job; returns whether it was accepted.
    pub fn submit(&self, instance: usize, path: &str, job: &Json) -> bool {
        let answer = self.call(instance, "POST", path, &job.to_string(), PATIENCE);
        answer.is_some_and(|(status, _)| status / 100 == 2)
    }

    /// Returns the state of a job as an instance shows it; the status of the answer otherwise.
    pub fn state(&self, instance: usize, path: &str) -> String {
        match self.call(instance, "GET", path, "", PATIENCE) {
            Some((200, body)) => Json::parse(&body).unwrap_or(Json::Null).get_text("state"),
            Some((status, _)) => status.to_string(),
            None => "none".to_owned(),
        }
    }

    /// Returns the runs of a job.
    pub fn runs(&self, job: &str) -> Vec<StartedRun> {
        let log = self.log.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        log.iter().filter(|run| run.task.starts_with(job)).cloned().collect()
    }

    /// Returns the runner on which a job runs now.
    pub fn runner_of(&self, job: &str) -> Option<Runner> {
        let runs = self.runs(job);
        let run = runs.iter().find(|run| run.end.is_none())?;
        self.runners.iter().find(|runner| runner.spec.id == run.runner).cloned()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for instance in &mut self.instances {
            let _ = instance.child.kill();
            let _ = instance.child.wait();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Instance {
    fn start(number: usize, store: SocketAddr, folder: &Path) -> io::Result<Self> {
        let ip = free_ip(number)?;
        let [front, ready, control] = free_addresses(ip)?;
        let name = format!("front-{ZONE}-{number}");
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, settings_text(&name, ip, [front, ready, control], store))?;
        let log = folder.join(format!("{name}.log"));
        let child = run(&settings, &log)?;
        Ok(Self { front, ready, control, child })
    }
}

fn run(settings: &Path, log: &Path) -> io::Result<Child> {
    let output = File::options().create(true).append(true).open(log)?;
    Command::new(PROGRAM)
        .env("LACEWINGRAIL_BOOT", settings)
        .stdin(Stdio::null())
        .stderr(output.try_clone()?)
        .stdout(output)
        .spawn()
}

/// Returns a loopback address on which the metrics port is free.
fn free_ip(number: usize) -> io::Result<IpAddr> {
    let seed = std::process::id();
    for attempt in 0..50u32 {
        let part = seed.wrapping_mul(7).wrapping_add(attempt * 31);
        let octets = [127, (part >> 8 & 127) as u8 + 16, part as u8, number as u8 + 1];
        let ip = IpAddr::from(octets);
        if TcpListener::bind((ip, METRICS_PORT)).is_ok() {
            return Ok(ip);
        }
    }
    Err(io::Error::other("no loopback address has a free metrics port"))
}

fn free_addresses(ip: IpAddr) -> io::Result<[SocketAddr; 3]> {
    // The listeners are open together, so that the ports differ.
    let listeners =
        [TcpListener::bind((ip, 0))?, TcpListener::bind((ip, 0))?, TcpListener::bind((ip, 0))?];
    let [front, ready, control] = &listeners;
    Ok([front.local_addr()?, ready.local_addr()?, control.local_addr()?])
}

fn config(queues: &[Queue]) -> Json {
    let route = |queue: &Queue| {
        Json::table(&[
            ("name", Json::text(queue.name)),
            ("host", Json::text(HOST)),
            ("prefix", Json::text(&format!("/{}/", queue.name))),
            ("route_kind", Json::text("non_idempotent")),
            ("timeout_ms", Json::number(3000)),
            ("slo_ms", Json::number(queue.slo_ms)),
            ("priority", Json::number(queue.priority)),
            ("service", Json::text(SERVICE)),
            ("max_attempts", Json::number(queue.max_attempts)),
            ("stretch", Json::Number(queue.stretch)),
            ("public", Json::Bool(false)),
        ])
    };
    let service = Json::table(&[
        ("name", Json::text(SERVICE)),
        ("health_path", Json::text("/health")),
        ("max_conns", Json::number(64)),
        ("rejects_overload", Json::Bool(true)),
        ("standby", Json::Bool(false)),
    ]);
    let tenant = Json::table(&[
        ("name", Json::text("kaje80")),
        ("api_keys", Json::List(vec![Json::text(API_KEY)])),
        ("priority", Json::number(1)),
        ("guaranteed", Json::table(&[("gpu_count", Json::number(8))])),
    ]);
    Json::table(&[
        ("version", Json::number(7)),
        ("routes", Json::List(queues.iter().map(route).collect())),
        ("services", Json::List(vec![service])),
        ("tenants", Json::List(vec![tenant])),
    ])
}

/// Returns the settings of a process, with the bounds of the site almahra-lend.
fn settings_text(name: &str, ip: IpAddr, addresses: [SocketAddr; 3], store: SocketAddr) -> String {
    let [front, ready, control] = addresses;
    format!(
        r#"node_name = "{name}"
role = "instance"
machine_class = "front"
serves = ["front","control"]
ip_addr = "{ip}"
zone = "{ZONE}"
region = "om-north"
port_range = [7000,7015]
seed_nodes = ["{control}"]
bootstrap = true
loss_counts = false
discovery = "platform"
entry_point = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","places","platform"]
control_mode = "call"
[zones]
{ZONE} = "om-north"
[listen_addrs]
front = "{front}"
ready = "{ready}"
control = "{control}"
[limits]
cpu_share = 0.25
cpu_cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
config_ms = 2000
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
[platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"#
    )
}
