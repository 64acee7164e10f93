//! Test bed: store, workers and instance processes on loopback addresses.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::client::{self, API_KEY, HOST};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{RunTrace, TaskDemand, Worker, WorkerSize};

/// Program of the deploy file, relative to the repository.
const PROGRAM: &str = "target/release/lacewingrail-instance";
/// Delay after which the platform restarts a process that has ended.
const RESTART_DELAY: Duration = Duration::from_millis(1000);
/// Time within which all instances have to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Bound on the duration of a worker's lease, in milliseconds.
const HOLD_MAX_MS: u64 = 6000;
/// Time for which clients may ask for a job after its end, in seconds.
const STATUS_S: u64 = 120;
/// Time from SIGTERM until the platform kills a process.
const GRACE: Duration = Duration::from_secs(6);

/// Size of the workers of the sheet: 64 cores, 128 GB, 8 accelerators.
pub const WORKER_SIZE: WorkerSize = WorkerSize {
    millicores: 64_000,
    mem_mb: 131_072,
    gpu_count: 8,
    max_lease: Duration::from_millis(HOLD_MAX_MS),
};

struct Instance {
    front: String,
    ready: String,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Store, workers and instances of one case.
pub struct Bed {
    pub record: Record,
    pub store: Store,
    pub workers: Vec<Worker>,
    demands: Arc<Mutex<BTreeMap<String, TaskDemand>>>,
    instances: Vec<Instance>,
    folder: PathBuf,
}

impl Bed {
    /// Starts workers and instances and waits until all instances serve.
    pub async fn start(folder: &Path, workers: usize, instances: usize) -> Result<Self, String> {
        Self::start_with(folder, workers, instances, STATUS_S).await
    }

    /// Starts a test bed whose jobs may be asked for until `status_s` seconds after their end.
    pub async fn start_with(
        folder: &Path,
        workers: usize,
        instances: usize,
        status_s: u64,
    ) -> Result<Self, String> {
        let record = Record::new();
        let store = Store::start();
        store.put("op/config", &config(1, true));
        let mut bed = Self {
            record,
            store,
            workers: Vec::new(),
            demands: Arc::default(),
            instances: Vec::new(),
            folder: folder.to_owned(),
        };
        for index in 0..workers {
            let zone = ["om-north-a", "om-north-b", "om-north-c"][index % 3];
            let (id, rack) = (format!("i-{index:02}"), format!("r{}-1", index % 3));
            let worker =
                Worker::start(&id, zone, &rack, WORKER_SIZE, &bed.store, &bed.record, &bed.demands);
            bed.workers.push(worker.await.map_err(|error| error.to_string())?);
        }
        for index in 0..instances {
            let address = bed.store.listen(index).await.map_err(|error| error.to_string())?;
            let instance = write_settings(folder, index, &address.to_string(), status_s)?;
            bed.instances.push(instance);
            bed.spawn(index)?;
        }
        bed.wait_until_ready().await?;
        Ok(bed)
    }

    /// Returns the address at which an instance serves clients.
    pub fn front(&self, index: usize) -> &str {
        &self.instances[index].front
    }

    /// Returns the instance that last wrote to the store under a condition.
    pub fn leader(&self) -> Result<usize, String> {
        self.store.last_conditional_writer().ok_or_else(|| "no instance has written".to_owned())
    }

    /// Starts the process of an instance.
    pub fn spawn(&mut self, index: usize) -> Result<(), String> {
        let instance = &mut self.instances[index];
        let open = std::fs::OpenOptions::new().create(true).append(true).open(&instance.log);
        let log = open.map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let mut command = Command::new(PROGRAM);
        command.env_clear().env("LACEWINGRAIL_BOOT", &instance.settings);
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        let child = command.stdin(Stdio::null()).stdout(log).stderr(errors).spawn();
        let child = child.map_err(|error| format!("{PROGRAM}: {error}"))?;
        self.record.line(format!("instance {index} started"));
        instance.child = Some(child);
        self.save_pids();
        Ok(())
    }

    /// Kills an instance with SIGKILL and waits for its end.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.instances[index].child.take() {
            // Fails only if the process has ended by itself.
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(format!("instance {index} was killed with SIGKILL"));
        }
        self.save_pids();
    }

    /// Kills an instance and starts it again after the platform's delay.
    pub async fn kill_and_restart(&mut self, index: usize) -> Result<(), String> {
        self.kill(index);
        tokio::time::sleep(RESTART_DELAY).await;
        self.spawn(index)
    }

    /// Stops an instance with SIGTERM and starts it again once it has ended.
    pub async fn terminate_and_restart(&mut self, index: usize) -> Result<(), String> {
        let Some(child) = &mut self.instances[index].child else {
            return Err(format!("instance {index} has no process"));
        };
        // The shell's own command needs no package.
        let pid = child.id().to_string();
        let status = Command::new("sh").args(["-c", "kill -TERM $0", &pid]).status();
        let status = status.map_err(|error| error.to_string())?;
        if !status.success() {
            return Err(format!("instance {index} could not be sent SIGTERM"));
        }
        self.record.line(format!("instance {index} was sent SIGTERM"));
        let sent_at = Instant::now();
        while child.try_wait().map_err(|error| error.to_string())?.is_none() {
            if sent_at.elapsed() > GRACE {
                self.kill(index);
                break;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        self.record.line(format!("instance {index} has ended"));
        self.instances[index].child = None;
        tokio::time::sleep(RESTART_DELAY).await;
        self.spawn(index)
    }

    /// Hands a job in at instances in turn until one accepts it.
    pub async fn submit(&self, path: &str, job: &Value) -> Result<(), String> {
        self.declare(job);
        for attempt in 0..5 {
            let front = self.front(attempt % self.instances.len());
            let answer = client::call(&self.record, front, "POST", path, Some(job)).await;
            if answer.is_some_and(|answer| (200..300).contains(&answer.status)) {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        Err(format!("{path} was not accepted"))
    }

    /// Hands many jobs in at the same time, at instances in turn; each has to be accepted at once.
    pub async fn submit_together(&self, jobs: &[(String, Value)]) -> Result<(), String> {
        let mut calls = tokio::task::JoinSet::new();
        for (index, (path, job)) in jobs.iter().enumerate() {
            self.declare(job);
            let (record, path, job) = (self.record.clone(), path.clone(), job.clone());
            let front = self.front(index % self.instances.len()).to_owned();
            calls.spawn(async move {
                let answer = client::call(&record, &front, "POST", &path, Some(&job)).await;
                answer.is_some_and(|answer| (200..300).contains(&answer.status))
            });
        }
        let accepted = calls.join_all().await.into_iter().filter(|accepted| *accepted).count();
        if accepted < jobs.len() {
            return Err(format!("only {accepted} of {} jobs were accepted", jobs.len()));
        }
        Ok(())
    }

    /// Returns the state of a job as the first instance that answers shows it.
    pub async fn state(&self, path: &str) -> String {
        for index in 0..self.instances.len() {
            let answer = client::call(&self.record, self.front(index), "GET", path, None).await;
            if let Some(answer) = answer {
                let state = answer.body.get("state").and_then(Value::as_str);
                return state.map_or_else(|| answer.status.to_string(), str::to_owned);
            }
        }
        "no answer".to_owned()
    }

    /// Returns the traces of the runs on all workers.
    pub fn traces(&self) -> Vec<RunTrace> {
        self.workers.iter().flat_map(Worker::traces).collect()
    }

    /// Ends all processes.
    pub fn stop(&mut self) {
        for index in 0..self.instances.len() {
            self.kill(index);
        }
        // Without the file, the script kills nothing.
        let _ = std::fs::remove_file(self.folder.join("pids"));
    }

    /// Tells the workers what a task of a job takes, which the start order does not say.
    fn declare(&self, job: &Value) {
        let step = &job["job_steps"][0];
        let number = |name: &str| step[name].as_i64().unwrap_or_default();
        let demand = TaskDemand {
            millicores: number("millicores"),
            mem_mb: number("mem_mb"),
            gpu_count: number("gpu_count"),
        };
        let mut demands = self.demands.lock().unwrap_or_else(PoisonError::into_inner);
        demands.insert(job["spec"].as_str().unwrap_or_default().to_owned(), demand);
    }

    async fn wait_until_ready(&self) -> Result<(), String> {
        let started = Instant::now();
        for (index, instance) in self.instances.iter().enumerate() {
            loop {
                let probe = client::exchange(&instance.ready, "GET", "/-/readiness", None).await;
                let queue = client::exchange(&instance.front, "GET", "/render/", None).await;
                let is_ok = |answer: Option<client::Answer>| {
                    answer.is_some_and(|answer| answer.status == 200)
                };
                if is_ok(probe) && is_ok(queue) {
                    break;
                }
                if started.elapsed() > READY_TIMEOUT {
                    return Err(format!("instance {index} is not ready"));
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        // Traffic starts ten seconds after the machines; the workers have been looked at long before.
        tokio::time::sleep(Duration::from_millis(1500)).await;
        self.record.line("all instances are ready");
        Ok(())
    }

    fn save_pids(&self) {
        let children = self.instances.iter().filter_map(|instance| instance.child.as_ref());
        let pids: String = children.map(|child| format!("{}\n", child.id())).collect();
        // Without the file, only an interrupted script leaves processes behind.
        let _ = std::fs::write(self.folder.join("pids"), pids);
    }
}

impl Drop for Bed {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Returns a version of the operator's configuration, with or without the route `returns`.
pub fn config(version: u64, with_returns: bool) -> Value {
    let route = |name: &str, priority: u32, slo_ms: u64, stretch: f64| {
        json!({ "name": name, "host": HOST, "prefix": format!("/{name}/"),
                "route_kind": "non_idempotent", "timeout_ms": 3000, "slo_ms": slo_ms,
                "priority": priority, "service": "desk", "max_attempts": 4, "stretch": stretch,
                "public": false })
    };
    let mut routes = vec![route("check", 0, 250, 1.5), route("render", 1, 1000, 3.0)];
    if with_returns {
        routes.push(route("returns", 2, 3000, 3.0));
    }
    json!({
        "version": version,
        "routes": routes,
        "services": [{ "name": "desk", "health_path": "/health", "max_conns": 1000, "protocol": "h1",
                       "tls": false, "cold_s": 0.0, "cold_per_s": 0.0, "rejects_overload": true,
                       "standby": false }],
        "limits": { "header_bytes": 16384, "body_bytes": 262_144, "header_ms": 3000,
                    "idle_ms": 15000 },
        "tenants": [{ "name": "schools", "api_keys": [API_KEY], "priority": 1,
                      "guaranteed": { "gpu_count": 8 } }],
    })
}

/// Writes the settings file of an instance, with the bounds of the first sheet.
fn write_settings(
    folder: &Path,
    index: usize,
    store: &str,
    status_s: u64,
) -> Result<Instance, String> {
    // Each instance has an address of its own, since the port of its metrics is fixed.
    let process = std::process::id();
    let ip = format!("127.{}.{}.{}", 20 + process % 200, process / 200 % 250, index + 1);
    let ports = free_ports(&ip)?;
    let [front, ready, control] = ports.map(|port| format!("{ip}:{port}"));
    let zone = ["om-north-a", "om-north-b", "om-north-c"][index % 3];
    let text = format!(
        "node_name = \"front-{zone}-{index}\"\nrole = \"instance\"\nmachine_class = \"front\"\n\
         serves = [\"front\", \"control\"]\nip_addr = \"{ip}\"\nzone = \"{zone}\"\n\
         region = \"om-north\"\nport_range = [7000, 7015]\nseed_nodes = [\"{control}\"]\n\
         bootstrap = true\nloss_counts = false\ndiscovery = \"platform\"\nentry_point = \"vip\"\n\
         heartbeat_ms = 1500\ncontrol_mode = \"call\"\n\
         [zones]\nom-north-a = \"om-north\"\nom-north-b = \"om-north\"\nom-north-c = \"om-north\"\n\
         [listen_addrs]\nfront = \"{front}\"\nready = \"{ready}\"\ncontrol = \"{control}\"\n\
         [limits]\ncpu_share = 0.25\ncpu_cores = 1\nmemory_mb = 260\nmax_fds = 4100\n\
         link_mbps = 1000.0\ndisk_mb = 0\n\
         [fault_tolerance]\nmachines = 2\nzones = 1\nregions = 0\n\
         [bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\n\
         catch_up_s = 4\ndrain_ms = 2000\ngrace_s = 6\nloss_slack_ms = 200\nconfig_ms = 2000\n\
         revert_ms = 250\nmax_stretch_ms = 5000\nstrict_revoke = false\nrevoke_ms = 5000\n\
         cold_excess = 1.5\ncold_slack = 5\nevacuate_ms = 5000\nrecovery_s = 12\n\
         hold_max_ms = {HOLD_MAX_MS}\nstop_ms = 400\ngang_wait_ms = 3000\ncancel_ms = 3000\n\
         visible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = {status_s}\nfar_x = 3\n\
         checkpoint_s = 2\nrestore_ms = 600\nnotice_ms = 4500\nmigrate_s = 1.5\n\
         maintenance_s = 2\nfencing = false\nlease_ms = 3000\nthaw_ms = 300\npace_ms = 100\n\
         harm_ms = 4000\nreclaim_ms = 2900\n\
         [platform]\naddress = \"{store}\"\nform = \"kv\"\nwrites_per_s = 400\n\
         reads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n\
         [cloud]\naddress = \"127.0.0.1:9\"\nrate_per_s = 60.0\nduties = []\nduty_per_s = 60.0\n"
    );
    let settings = folder.join(format!("node-{index}.toml"));
    std::fs::write(&settings, text).map_err(|error| error.to_string())?;
    let log = folder.join(format!("node-{index}.log"));
    Ok(Instance { front, ready, settings, log, child: None })
}

/// Returns distinct free ports of an address.
fn free_ports(ip: &str) -> Result<[u16; 3], String> {
    let mut listeners = Vec::new();
    for _ in 0..3 {
        listeners.push(TcpListener::bind((ip, 0)).map_err(|error| error.to_string())?);
    }
    let port = |listener: &TcpListener| listener.local_addr().map_or(0, |address| address.port());
    Ok([port(&listeners[0]), port(&listeners[1]), port(&listeners[2])])
}
