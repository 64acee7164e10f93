//! Stand-in of a runner: it runs tasks under a lease, and may crash, return, drain and leave.
//!
//! A task's `spec` says what becomes of it: `work-ms=N` ends it as done after N ms, `fail-ms=N` ends
//! it as failed, and a text that begins with `lasting` runs until it is stopped.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{NO_ANSWER, Request, Response, Server};
use crate::json::{Json, int, map, text};
use crate::record::Record;
use crate::store::Store;

/// Longest lease (`hold_max_ms`).
pub const HOLD_MAX: Duration = Duration::from_millis(6000);
/// Time after which a task that lasts is at work.
const STARTUP: Duration = Duration::from_millis(300);
/// Maximum number of ends in an answer.
const MAX_REPORTED_ENDS: usize = 500;
/// Interval at which tasks and leases end.
const TICK: Duration = Duration::from_millis(5);
/// Interval of the entries in the store (`heartbeat_ms`).
const HEARTBEAT: Duration = Duration::from_millis(1500);
/// Time of silence after which an entry is removed: three heartbeats.
const ENTRY_LIFE: Duration = Duration::from_millis(4500);

/// What a runner offers and where it is.
#[derive(Clone, Debug)]
pub struct Profile {
    pub service: String,
    pub zone: String,
    pub kind: String,
    pub rack: String,
    pub millicores: i64,
    pub mem_mb: i64,
    pub gpu_count: i64,
}

/// One run of a task, for the checks.
#[derive(Clone, Debug)]
pub struct RunTrace {
    pub task: String,
    pub attempt: i64,
    pub worker: String,
    /// Kind of the runner's incarnation.
    pub kind: String,
    pub started: Instant,
    pub ended: Option<Instant>,
    pub how: &'static str,
}

struct Run {
    trace: usize,
    started: Instant,
    spec: String,
    demand: (i64, i64, i64),
}

struct Life {
    born_ms: i64,
    began: Instant,
    fence_token: i64,
    lease_end_ms: i64,
    runs: BTreeMap<(String, i64), Run>,
    ends: Vec<(i64, String, i64, &'static str)>,
    end_count: i64,
    /// Highest attempt of each task that was stopped or ended here.
    closed: BTreeMap<String, i64>,
    profile: Profile,
    draining: bool,
    /// Whether every start is refused with 503.
    unhealthy: bool,
    sequence: i64,
}

/// What becomes of the next order to start something.
enum NextStart {
    Answered,
    /// It is held back on its way and gets no answer.
    HeldBack,
    /// It was held back.
    Late(Json),
}

struct Shared {
    id: String,
    life: Mutex<Option<Life>>,
    changed: Condvar,
    server: Mutex<Option<Server>>,
    address: Mutex<Option<SocketAddr>>,
    traces: Mutex<Vec<RunTrace>>,
    /// Demand of a task in each step, by job and step, as the client submitted it.
    demands: Demands,
    record: Record,
    store: Store,
    last_beat: Mutex<Instant>,
    next_start: Mutex<NextStart>,
}

/// Demands of the steps of submitted jobs, by `ID.STEP`.
pub type Demands = Arc<Mutex<BTreeMap<String, (i64, i64, i64)>>>;

/// Runner; clones share it.
#[derive(Clone)]
pub struct Worker {
    shared: Arc<Shared>,
}

impl Worker {
    /// Starts a runner with an id and registers it.
    pub fn start(
        id: &str,
        profile: Profile,
        store: &Store,
        record: &Record,
        demands: &Demands,
    ) -> Self {
        let shared = Shared {
            id: id.to_owned(),
            life: Mutex::new(None),
            changed: Condvar::new(),
            server: Mutex::new(None),
            address: Mutex::new(None),
            traces: Mutex::new(Vec::new()),
            demands: demands.clone(),
            record: record.clone(),
            store: store.clone(),
            last_beat: Mutex::new(Instant::now()),
            next_start: Mutex::new(NextStart::Answered),
        };
        let worker = Self { shared: Arc::new(shared) };
        worker.begin_life(profile);
        let ticking = worker.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(TICK);
                ticking.end_due_runs();
                ticking.beat_if_due();
            }
        });
        worker
    }

    pub fn id(&self) -> &str {
        &self.shared.id
    }

    /// Begins a life at the former address, if there was one, and registers it at once.
    pub fn begin_life(&self, profile: Profile) {
        let address = *self.shared.address.lock().unwrap();
        let address = address.unwrap_or_else(|| "127.0.0.1:0".parse().expect("an address"));
        let handling = self.clone();
        let server = loop {
            let handler = handling.clone();
            match Server::start(address, move |request| handler.handle(&request)) {
                Ok(server) => break server,
                Err(_) => std::thread::sleep(TICK),
            }
        };
        *self.shared.address.lock().unwrap() = Some(server.address);
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let born_ms = born.as_millis() as i64;
        self.shared.record.add(&format!(
            "runner {} begins a life: kind {}, rack {}, born {born_ms}",
            self.shared.id, profile.kind, profile.rack
        ));
        *self.shared.life.lock().unwrap() = Some(Life {
            born_ms,
            began: Instant::now(),
            fence_token: 0,
            lease_end_ms: 0,
            runs: BTreeMap::new(),
            ends: Vec::new(),
            end_count: 0,
            closed: BTreeMap::new(),
            profile,
            draining: false,
            unhealthy: false,
            sequence: 0,
        });
        *self.shared.server.lock().unwrap() = Some(server);
        self.beat();
    }

    /// Ends the life as a crash does: nothing is reported, and the entry stays for a while.
    pub fn crash(&self) {
        self.shared.record.add(&format!("runner {} crashes", self.shared.id));
        if let Some(server) = self.shared.server.lock().unwrap().take() {
            server.stop();
        }
        self.end_life("crashed");
    }

    /// Reports that the runner drains; it goes on serving until [`Worker::leave`].
    pub fn drain(&self) {
        self.shared.record.add(&format!("runner {} reports draining", self.shared.id));
        if let Some(life) = self.shared.life.lock().unwrap().as_mut() {
            life.draining = true;
        }
        self.beat();
    }

    /// Leaves after draining: what runs is terminated and the entry is removed.
    pub fn leave(&self) {
        self.shared.record.add(&format!("runner {} has left", self.shared.id));
        if let Some(server) = self.shared.server.lock().unwrap().take() {
            server.stop();
        }
        self.end_life("left");
        self.shared.store.remove(&format!("servers/{}", self.shared.id));
    }

    /// Sets whether every start is refused with 503, while heartbeats and health stay good.
    pub fn set_unhealthy(&self, unhealthy: bool) {
        let state = if unhealthy { "refuses starts with 503" } else { "accepts starts again" };
        self.shared.record.add(&format!("runner {} {state}", self.shared.id));
        if let Some(life) = self.shared.life.lock().unwrap().as_mut() {
            life.unhealthy = unhealthy;
        }
    }

    /// Holds the next order to start something back, so that it gets no answer.
    pub fn hold_back_next_start(&self) {
        *self.shared.next_start.lock().unwrap() = NextStart::HeldBack;
    }

    /// Returns the task and attempt of the order that was held back.
    pub fn late_start(&self) -> Option<(String, i64)> {
        match &*self.shared.next_start.lock().unwrap() {
            NextStart::Late(body) => Some((body.text_or_empty("task"), body.int_or("attempt", 0))),
            NextStart::Answered | NextStart::HeldBack => None,
        }
    }

    /// Carries the order out that was held back.
    pub fn deliver_late_start(&self) {
        let next =
            std::mem::replace(&mut *self.shared.next_start.lock().unwrap(), NextStart::Answered);
        if let NextStart::Late(body) = next {
            self.shared.record.add(&format!("the late order reaches runner {}", self.shared.id));
            self.start_run(&body);
        }
    }

    /// Returns the runs so far, in order of their starts.
    pub fn traces(&self) -> Vec<RunTrace> {
        self.shared.traces.lock().unwrap().clone()
    }

    fn end_life(&self, how: &'static str) {
        let life = self.shared.life.lock().unwrap().take();
        for run in life.iter().flat_map(|life| life.runs.values()) {
            self.close_trace(run.trace, how);
        }
        self.shared.changed.notify_all();
    }

    fn close_trace(&self, index: usize, how: &'static str) {
        let mut traces = self.shared.traces.lock().unwrap();
        traces[index].ended = Some(Instant::now());
        traces[index].how = how;
        let RunTrace { task, attempt, worker, .. } = &traces[index];
        self.shared.record.add(&format!("run ended: {task} attempt {attempt} on {worker}: {how}"));
    }

    fn beat_if_due(&self) {
        let since = self.shared.last_beat.lock().unwrap().elapsed();
        let is_alive = self.shared.life.lock().unwrap().is_some();
        if is_alive && since >= HEARTBEAT {
            self.beat();
        }
        let key = format!("servers/{}", self.shared.id);
        if !is_alive && since >= ENTRY_LIFE && self.shared.store.value(&key).is_some() {
            self.shared.record.add(&format!("the entry of runner {} is removed", self.shared.id));
            self.shared.store.remove(&key);
        }
    }

    /// Writes the runner's entry into the store.
    fn beat(&self) {
        let mut life = self.shared.life.lock().unwrap();
        let Some(life) = life.as_mut() else {
            return;
        };
        *self.shared.last_beat.lock().unwrap() = Instant::now();
        life.sequence += 1;
        let profile = &life.profile;
        let address = self.shared.address.lock().unwrap().expect("the runner has an address");
        let mut entry = vec![
            ("service", text(profile.service.clone())),
            ("address", text(address.to_string())),
            ("zone", text(profile.zone.clone())),
            ("version", text("v1")),
            ("task_slots", int(8)),
            ("state", text(if life.draining { "draining" } else { "ready" })),
            ("cold_left_ms", int(0)),
            ("seq", int(life.sequence)),
            (
                "capacity",
                map([
                    ("millicores", int(profile.millicores)),
                    ("mem_mb", int(profile.mem_mb)),
                    ("gpu_count", int(profile.gpu_count)),
                ]),
            ),
            ("labels", Json::List(vec![text(profile.kind.clone()), text(profile.rack.clone())])),
            ("clock_ms", int(life.clock_ms())),
            ("born", int(life.born_ms)),
        ];
        if life.draining {
            entry.push(("remaining_ms", int(2000)));
        }
        let entry =
            Json::Map(entry.into_iter().map(|(key, value)| (key.to_owned(), value)).collect());
        self.shared.store.write(&format!("servers/{}", self.shared.id), &entry.to_string());
    }

    fn end_due_runs(&self) {
        let mut guard = self.shared.life.lock().unwrap();
        let Some(life) = guard.as_mut() else {
            return;
        };
        let lapsed = life.clock_ms() > life.lease_end_ms;
        let due: Vec<((String, i64), &'static str)> = life
            .runs
            .iter()
            .filter_map(|(key, run)| {
                let how = if lapsed { Some("lapsed") } else { due_end(run) };
                how.map(|how| (key.clone(), how))
            })
            .collect();
        for (key, how) in due {
            self.end_run(life, &key, how);
        }
    }

    fn end_run(&self, life: &mut Life, key: &(String, i64), how: &'static str) {
        let Some(run) = life.runs.remove(key) else {
            return;
        };
        life.end_count += 1;
        life.ends.push((life.end_count, key.0.clone(), key.1, how));
        life.close(&key.0, key.1);
        self.close_trace(run.trace, how);
        self.shared.changed.notify_all();
    }

    fn handle(&self, request: &Request) -> Response {
        let target = request.headers.get("x-target-instance");
        if target.is_some_and(|target| *target != self.shared.id) {
            return answer(421, map([]));
        }
        if request.method == "GET" {
            return answer(200, map([]));
        }
        let Some(body) = Json::parse(&request.body) else {
            return answer(400, map([]));
        };
        match request.path.as_str() {
            "/-/run-start" => {
                let mut next = self.shared.next_start.lock().unwrap();
                if matches!(*next, NextStart::HeldBack) {
                    let task = body.text_or_empty("task");
                    self.shared.record.add(&format!(
                        "the order to start {task} on {} is held back",
                        self.shared.id
                    ));
                    *next = NextStart::Late(body);
                    return Response { status: NO_ANSWER, body: String::new() };
                }
                drop(next);
                self.start_run(&body)
            }
            "/-/run-stop" => self.stop_run(&body),
            "/-/hold" => self.hold(&body),
            _ => answer(400, map([])),
        }
    }

    fn start_run(&self, body: &Json) -> Response {
        let mut guard = self.shared.life.lock().unwrap();
        let Some(life) = guard.as_mut() else {
            return answer(503, map([]));
        };
        let (task, attempt) = (body.text_or_empty("task"), body.int_or("attempt", 0));
        let refuse = |life: &Life, reason: &str| {
            self.shared.record.add(&format!(
                "start refused: {task} attempt {attempt} on {}: {reason}",
                self.shared.id
            ));
            answer(409, map([("clock_ms", int(life.clock_ms())), ("reason", text(reason))]))
        };
        if life.unhealthy {
            self.shared.record.add(&format!(
                "start refused: {task} attempt {attempt} on {}: 503",
                self.shared.id
            ));
            return answer(503, map([("clock_ms", int(life.clock_ms()))]));
        }
        if !life.accept_token(body) {
            return refuse(life, "fence");
        }
        let key = (task.clone(), attempt);
        let expires = body.int_or("expires_ms", 0);
        if expires <= life.clock_ms() {
            return refuse(life, "late");
        }
        if life.runs.contains_key(&key) {
            life.extend_lease(expires);
            return answer(200, map([("clock_ms", int(life.clock_ms()))]));
        }
        life.extend_lease(expires);
        if life.closed.get(&task).is_some_and(|closed| attempt <= *closed) {
            return refuse(life, "old");
        }
        let demand = self.demand_of(&task);
        if !life.has_room(demand) {
            return refuse(life, "room");
        }
        let mut traces = self.shared.traces.lock().unwrap();
        let spec = body.text_or_empty("spec");
        let started = Instant::now();
        let trace = traces.len();
        traces.push(RunTrace {
            task: task.clone(),
            attempt,
            worker: self.shared.id.clone(),
            kind: life.profile.kind.clone(),
            started,
            ended: None,
            how: "running",
        });
        self.shared.record.add(&format!(
            "run started: {task} attempt {attempt} on {} (kind {}, rack {})",
            self.shared.id, life.profile.kind, life.profile.rack
        ));
        life.runs.insert(key, Run { trace, started, spec, demand });
        answer(200, map([("clock_ms", int(life.clock_ms()))]))
    }

    fn demand_of(&self, task: &str) -> (i64, i64, i64) {
        let parts: Vec<&str> = task.split('.').collect();
        let key = format!("{}.{}", parts[0], parts.get(2).unwrap_or(&""));
        self.shared.demands.lock().unwrap().get(&key).copied().unwrap_or_default()
    }

    fn stop_run(&self, body: &Json) -> Response {
        let mut guard = self.shared.life.lock().unwrap();
        let Some(life) = guard.as_mut() else {
            return answer(503, map([]));
        };
        if !life.accept_token(body) {
            let clock = int(life.clock_ms());
            return answer(409, map([("clock_ms", clock), ("reason", text("fence"))]));
        }
        let key = (body.text_or_empty("task"), body.int_or("attempt", 0));
        life.close(&key.0, key.1);
        self.end_run(life, &key, "stopped");
        answer(200, map([("clock_ms", int(life.clock_ms()))]))
    }

    fn hold(&self, body: &Json) -> Response {
        let wait = Duration::from_millis(body.int_or("wait_ms", 0).clamp(0, 2000) as u64);
        let deadline = Instant::now() + wait;
        let mut guard = self.shared.life.lock().unwrap();
        let Some(life) = guard.as_mut() else {
            return answer(503, map([]));
        };
        if !life.accept_token(body) {
            let clock = int(life.clock_ms());
            return answer(409, map([("clock_ms", clock), ("reason", text("fence"))]));
        }
        let last_seen = body.int_or("last_seen", 0);
        life.ends.retain(|(number, ..)| *number > last_seen);
        if let Some(expires) = body.get("expires_ms").and_then(Json::int) {
            life.extend_lease(expires);
        }
        loop {
            let Some(life) = guard.as_ref() else {
                return answer(503, map([]));
            };
            let left = deadline.saturating_duration_since(Instant::now());
            if !life.ends.is_empty() || left.is_zero() {
                return answer(200, life.report());
            }
            guard = self.shared.changed.wait_timeout(guard, left).unwrap().0;
        }
    }
}

impl Life {
    fn clock_ms(&self) -> i64 {
        10_000 + self.began.elapsed().as_millis() as i64
    }

    fn accept_token(&mut self, body: &Json) -> bool {
        let token = body.int_or("fence_token", 0);
        if token < self.fence_token {
            return false;
        }
        self.fence_token = token;
        true
    }

    fn extend_lease(&mut self, expires_ms: i64) {
        let latest = self.clock_ms() + HOLD_MAX.as_millis() as i64;
        self.lease_end_ms = self.lease_end_ms.max(expires_ms.min(latest));
    }

    fn close(&mut self, task: &str, attempt: i64) {
        let closed = self.closed.entry(task.to_owned()).or_default();
        *closed = attempt.max(*closed);
    }

    fn has_room(&self, demand: (i64, i64, i64)) -> bool {
        let used = self.runs.values().fold((0, 0, 0), |used, run| {
            (used.0 + run.demand.0, used.1 + run.demand.1, used.2 + run.demand.2)
        });
        used.0 + demand.0 <= self.profile.millicores
            && used.1 + demand.1 <= self.profile.mem_mb
            && used.2 + demand.2 <= self.profile.gpu_count
    }

    fn report(&self) -> Json {
        let running = self.runs.iter().map(|((task, attempt), run)| {
            Json::List(vec![
                text(task.clone()),
                int(*attempt),
                text(""),
                int(percent(run)),
                int(run.demand.0),
            ])
        });
        let finished = self.ends.iter().take(MAX_REPORTED_ENDS).map(|(number, task, run, how)| {
            Json::List(vec![int(*number), text(task.clone()), int(*run), text(*how), text("")])
        });
        map([
            ("clock_ms", int(self.clock_ms())),
            ("born", int(self.born_ms)),
            ("running", Json::List(running.collect())),
            ("finished", Json::List(finished.collect())),
        ])
    }
}

/// Returns the number behind a prefix of a spec.
fn spec_ms(spec: &str, prefix: &str) -> Option<u64> {
    spec.strip_prefix(prefix)?.parse().ok()
}

fn due_end(run: &Run) -> Option<&'static str> {
    let elapsed = run.started.elapsed().as_millis() as u64;
    if spec_ms(&run.spec, "work-ms=").is_some_and(|work| elapsed >= work) {
        return Some("done");
    }
    spec_ms(&run.spec, "fail-ms=").is_some_and(|work| elapsed >= work).then_some("failed")
}

fn percent(run: &Run) -> i64 {
    let elapsed = run.started.elapsed();
    let work = spec_ms(&run.spec, "work-ms=").or_else(|| spec_ms(&run.spec, "fail-ms="));
    match work {
        Some(work) => (elapsed.as_millis() as u64 * 100 / work.max(1)).min(99) as i64,
        None if elapsed >= STARTUP => 100,
        None => 0,
    }
}

fn answer(status: u16, body: Json) -> Response {
    Response { status, body: body.to_string() }
}
