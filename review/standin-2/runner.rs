//! Stand-in for a runner.
//!
//! The text of a job says what its tasks need and do: `gpus=N work_ms=N`, and `lasting` for tasks
//! that run until they are stopped. A runner guards its capacity, which is counted in accelerators.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Connections, Reply, Request};
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

/// Maximum duration of a lease, as in the settings.
pub const HOLD_MAX_MS: u64 = 6000;
/// Interval of the runner's entry in the store, as in the settings.
pub const HEARTBEAT: Duration = Duration::from_millis(1500);
/// Time from a stop order to the end of the run.
const STOP_TIME: Duration = Duration::from_millis(60);
/// Time after which a lasting task is at work.
const STARTUP: Duration = Duration::from_millis(200);
/// Reading of the clock at the start of a life, in milliseconds.
const FIRST_CLOCK_MS: u64 = 1000;
const TICK: Duration = Duration::from_millis(10);

/// What a runner is: it stays the same over its lives.
#[derive(Clone)]
pub struct RunnerSpec {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub kind: String,
    pub rack: String,
    pub gpus: u64,
}

struct Run {
    attempt: u64,
    started: Instant,
    work: Option<Duration>,
    gpus: u64,
    /// When a stop takes effect.
    stops_at: Option<Instant>,
}

struct End {
    number: u64,
    task: String,
    attempt: u64,
    how: &'static str,
}

/// Start order that is held back on its way to the runner: it gets no answer and is carried out
/// later, by the life that the runner has then.
struct LateStart {
    job: String,
    delay: Duration,
}

struct Life {
    born_ms: u64,
    started: Instant,
    fence: u64,
    lease_end_ms: u64,
    runs: BTreeMap<String, Run>,
    ends: Vec<End>,
    next_end: u64,
    /// Highest run of each task that was stopped or has ended.
    barred: BTreeMap<String, u64>,
}

struct State {
    life: Life,
    is_up: bool,
    draining: bool,
    unhealthy: bool,
    late_start: Option<LateStart>,
    seq: u64,
    /// Number of start and stop orders so far.
    orders: u64,
}

/// Run that a runner has begun, for the judge.
#[derive(Clone, Debug)]
pub struct StartedRun {
    pub task: String,
    pub attempt: u64,
    pub runner: String,
    pub from: Duration,
    /// When the run ended, and how; `None` while it runs.
    pub end: Option<(Duration, String)>,
    /// When `last_seen` reached the end.
    pub noted: Option<Duration>,
}

/// All runs of all runners.
pub type RunLog = Arc<Mutex<Vec<StartedRun>>>;

/// A runner; clones share the state.
#[derive(Clone)]
pub struct Runner {
    pub spec: RunnerSpec,
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    connections: Connections,
    store: Store,
    record: Record,
    log: RunLog,
}

impl Runner {
    /// Starts a runner on a free port.
    pub fn start(
        spec: RunnerSpec,
        store: &Store,
        record: &Record,
        log: &RunLog,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = State {
            life: Life::new(),
            is_up: true,
            draining: false,
            unhealthy: false,
            late_start: None,
            seq: 0,
            orders: 0,
        };
        let mut runner = Self {
            spec,
            address,
            state: Arc::new((Mutex::new(state), Condvar::new())),
            connections: Connections::default(),
            store: store.clone(),
            record: record.clone(),
            log: log.clone(),
        };
        let served = runner.clone();
        runner.connections = http::serve(listener, move |request| served.handle(&request));
        let (ticked, beating) = (runner.clone(), runner.clone());
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(TICK);
                ticked.tick();
            }
        });
        std::thread::spawn(move || {
            loop {
                beating.write_entry();
                std::thread::sleep(HEARTBEAT);
            }
        });
        Ok(runner)
    }

    /// Makes the runner refuse starts with 503, or ends that.
    pub fn set_unhealthy(&self, unhealthy: bool) {
        self.lock().unhealthy = unhealthy;
        self.record.note(format!("runner {}: unhealthy {unhealthy}", self.spec.id));
    }

    /// Makes the next start of a job go without an answer; it is carried out later.
    pub fn delay_next_start(&self, job: &str, delay: Duration) {
        self.lock().late_start = Some(LateStart { job: job.to_owned(), delay });
    }

    /// Returns whether the start that was to go without an answer has come.
    pub fn has_delayed_start(&self) -> bool {
        self.lock().late_start.is_none()
    }

    /// Lets the next start be answered again.
    pub fn answer_starts(&self) {
        self.lock().late_start = None;
    }

    /// Returns the number of start and stop orders so far.
    pub fn order_count(&self) -> u64 {
        self.lock().orders
    }

    /// Crashes the runner and starts it again under its id.
    pub fn restart(&self, pause: Duration) {
        self.record.note(format!("runner {}: crashes", self.spec.id));
        self.stop_life();
        std::thread::sleep(pause);
        let mut state = self.lock();
        state.life = Life::new();
        state.is_up = true;
        drop(state);
        self.record.note(format!("runner {}: runs again under its id", self.spec.id));
        self.write_entry();
    }

    /// Reports the runner as draining and, after a time, lets it leave for good.
    pub fn leave(&self, after: Duration) {
        self.lock().draining = true;
        self.record.note(format!("runner {}: drains", self.spec.id));
        self.write_entry();
        std::thread::sleep(after);
        self.stop_life();
        self.store.remove(&format!("servers/{}", self.spec.id));
        self.record.note(format!("runner {}: has left", self.spec.id));
    }

    fn stop_life(&self) {
        let mut state = self.lock();
        state.is_up = false;
        let runs = std::mem::take(&mut state.life.runs);
        for (task, run) in &runs {
            self.log_end(task, run.attempt, "gone with its runner");
        }
        drop(state);
        self.state.1.notify_all();
        http::end_connections(&self.connections);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn log_end(&self, task: &str, attempt: u64, how: &str) {
        let now = self.record.now();
        self.record.note(format!("runner {}: {task} run {attempt} ends: {how}", self.spec.id));
        let mut log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        let found = log.iter_mut().rev().find(|run| {
            run.task == task
                && run.attempt == attempt
                && run.runner == self.spec.id
                && run.end.is_none()
        });
        if let Some(run) = found {
            run.end = Some((now, how.to_owned()));
        }
    }

    fn log_noted(&self, end: &End, seen: u64) {
        let End { number, task, attempt, .. } = end;
        self.record.note(format!(
            "runner {}: end {number} ({task} run {attempt}) is taken note of, last_seen {seen}",
            self.spec.id
        ));
        let mut log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        let found = log
            .iter_mut()
            .rev()
            .find(|run| run.task == *task && run.attempt == *attempt && run.runner == self.spec.id);
        if let Some(run) = found {
            run.noted = Some(self.record.now());
        }
    }

    fn write_entry(&self) {
        let mut state = self.lock();
        if !state.is_up {
            return;
        }
        state.seq += 1;
        let mut fields = vec![
            ("service", Json::text(&self.spec.service)),
            ("address", Json::text(&self.address.to_string())),
            ("zone", Json::text(&self.spec.zone)),
            ("version", Json::text("v1")),
            ("task_slots", Json::number(8)),
            ("state", Json::text(if state.draining { "draining" } else { "ready" })),
            ("cold_left_ms", Json::number(0)),
            ("capacity", self.capacity()),
            ("labels", Json::List(vec![Json::text(&self.spec.kind), Json::text(&self.spec.rack)])),
            ("clock_ms", Json::number(state.life.clock_ms())),
            ("born", Json::number(state.life.born_ms)),
            ("seq", Json::number(state.seq)),
        ];
        if state.draining {
            fields.push(("remaining_ms", Json::number(1000)));
        }
        self.store.put(&format!("servers/{}", self.spec.id), &Json::table(&fields));
    }

    fn capacity(&self) -> Json {
        Json::table(&[
            ("millicores", Json::number(64_000)),
            ("mem_mb", Json::number(131_072)),
            ("gpu_count", Json::number(self.spec.gpus)),
        ])
    }

    fn tick(&self) {
        let mut state = self.lock();
        if !state.is_up {
            return;
        }
        let now = Instant::now();
        let lapsed = state.life.clock_ms() >= state.life.lease_end_ms;
        let how = |run: &Run| {
            if lapsed {
                Some("lapsed")
            } else if run.work.is_some_and(|work| now >= run.started + work) {
                Some("done")
            } else if run.stops_at.is_some_and(|at| now >= at) {
                Some("stopped")
            } else {
                None
            }
        };
        let ended: Vec<(String, &'static str)> = state
            .life
            .runs
            .iter()
            .filter_map(|(task, run)| how(run).map(|how| (task.clone(), how)))
            .collect();
        for (task, how) in ended {
            if let Some(attempt) = state.life.end_run(&task, how) {
                self.log_end(&task, attempt, how);
            }
        }
        drop(state);
        self.state.1.notify_all();
    }

    fn handle(&self, request: &Request) -> Reply {
        let target = request.header("X-Target-Instance");
        if !self.lock().is_up {
            return Reply::Close;
        }
        if !target.is_empty() && target != self.spec.id {
            return Reply::Answer(421, Json::table(&[]));
        }
        let body = request.json();
        match request.path.as_str() {
            "/-/run-start" => self.receive_start(body),
            "/-/run-stop" => self.stop(&body),
            "/-/hold" => self.hold(&body),
            "/-/pace" => Reply::Answer(200, self.clock_body(None)),
            "/health" => Reply::Answer(200, Json::table(&[])),
            _ => Reply::Answer(400, Json::table(&[])),
        }
    }

    fn clock_body(&self, reason: Option<&str>) -> Json {
        let life = &self.lock().life;
        let mut fields =
            vec![("clock_ms", Json::number(life.clock_ms())), ("born", Json::number(life.born_ms))];
        if let Some(reason) = reason {
            fields.push(("reason", Json::text(reason)));
        }
        Json::table(&fields)
    }

    fn receive_start(&self, order: Json) -> Reply {
        let task = order.get_text("task");
        let mut state = self.lock();
        state.orders += 1;
        if let Some(late) = state.late_start.take_if(|late| task.starts_with(&late.job)) {
            drop(state);
            self.record.note(format!("runner {}: start of {task} is not answered", self.spec.id));
            let runner = self.clone();
            std::thread::spawn(move || {
                std::thread::sleep(late.delay);
                let (status, reason) = runner.start_task(&order);
                runner.record.note(format!(
                    "runner {}: late start of {task} arrives: {status} {reason}",
                    runner.spec.id
                ));
            });
            return Reply::Silence;
        }
        drop(state);
        let (status, reason) = self.start_task(&order);
        if status != 200 {
            self.record.note(format!(
                "runner {}: start of {task} run {} refused: {status} {reason}",
                self.spec.id,
                order.get_number("attempt")
            ));
        }
        let reason = Some(reason).filter(|reason| !reason.is_empty());
        Reply::Answer(status, self.clock_body(reason))
    }

    fn start_task(&self, order: &Json) -> (u16, &'static str) {
        let (task, attempt) = (order.get_text("task"), order.get_number("attempt"));
        let mut state = self.lock();
        if state.unhealthy {
            return (503, "");
        }
        let clock = state.life.clock_ms();
        let life = &mut state.life;
        if order.get_number("fence_token") < life.fence {
            return (409, "fence");
        }
        life.fence = order.get_number("fence_token");
        let expires = order.get_number("expires_ms");
        if expires <= clock {
            return (409, "late");
        }
        life.extend_lease(expires);
        if life.runs.get(&task).is_some_and(|run| run.attempt == attempt) {
            return (200, "");
        }
        if life.barred.get(&task).is_some_and(|barred| attempt <= *barred) {
            return (409, "old");
        }
        let spec = order.get_text("spec");
        let gpus = word(&spec, "gpus=").unwrap_or(1);
        let used: u64 = life.runs.values().map(|run| run.gpus).sum();
        if used + gpus > self.spec.gpus || life.runs.contains_key(&task) {
            return (409, "room");
        }
        let work = word(&spec, "work_ms=").map(Duration::from_millis);
        let run = Run { attempt, started: Instant::now(), work, gpus, stops_at: None };
        life.runs.insert(task.clone(), run);
        self.record.note(format!(
            "runner {}: {task} run {attempt} starts, fence {}",
            self.spec.id, life.fence
        ));
        let started = StartedRun {
            task,
            attempt,
            runner: self.spec.id.clone(),
            from: self.record.now(),
            end: None,
            noted: None,
        };
        self.log.lock().unwrap_or_else(PoisonError::into_inner).push(started);
        (200, "")
    }

    fn stop(&self, order: &Json) -> Reply {
        let (task, attempt) = (order.get_text("task"), order.get_number("attempt"));
        let mut state = self.lock();
        state.orders += 1;
        let life = &mut state.life;
        if order.get_number("fence_token") < life.fence {
            drop(state);
            return Reply::Answer(409, self.clock_body(Some("fence")));
        }
        life.fence = order.get_number("fence_token");
        let barred = life.barred.entry(task.clone()).or_default();
        *barred = (*barred).max(attempt);
        if let Some(run) = life.runs.get_mut(&task).filter(|run| run.attempt <= attempt) {
            run.stops_at.get_or_insert(Instant::now() + STOP_TIME);
        }
        drop(state);
        self.record.note(format!("runner {}: stop of {task} run {attempt}", self.spec.id));
        Reply::Answer(200, self.clock_body(None))
    }

    fn hold(&self, order: &Json) -> Reply {
        let wait = Duration::from_millis(order.get_number("wait_ms").min(2000));
        let ends_at = Instant::now() + wait;
        let mut state = self.lock();
        if order.get_number("fence_token") < state.life.fence {
            drop(state);
            return Reply::Answer(409, self.clock_body(Some("fence")));
        }
        state.life.fence = order.get_number("fence_token");
        let seen = order.get_number("last_seen");
        for end in state.life.ends.extract_if(.., |end| end.number <= seen) {
            self.log_noted(&end, seen);
        }
        if order.get("expires_ms").is_some() {
            state.life.extend_lease(order.get_number("expires_ms"));
        }
        let born = state.life.born_ms;
        loop {
            if !state.is_up || state.life.born_ms != born {
                return Reply::Close;
            }
            let left = ends_at.saturating_duration_since(Instant::now());
            if !state.life.ends.is_empty() || left.is_zero() {
                return Reply::Answer(200, state.life.report());
            }
            let waited = self.state.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

impl Life {
    fn new() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            born_ms: since_epoch.as_millis() as u64,
            started: Instant::now(),
            fence: 0,
            lease_end_ms: 0,
            runs: BTreeMap::new(),
            ends: Vec::new(),
            next_end: 1,
            barred: BTreeMap::new(),
        }
    }

    fn clock_ms(&self) -> u64 {
        FIRST_CLOCK_MS + self.started.elapsed().as_millis() as u64
    }

    fn extend_lease(&mut self, expires_ms: u64) {
        let latest = self.clock_ms() + HOLD_MAX_MS;
        self.lease_end_ms = self.lease_end_ms.max(expires_ms.min(latest));
    }

    fn end_run(&mut self, task: &str, how: &'static str) -> Option<u64> {
        let run = self.runs.remove(task)?;
        let barred = self.barred.entry(task.to_owned()).or_default();
        *barred = (*barred).max(run.attempt);
        let end = End { number: self.next_end, task: task.to_owned(), attempt: run.attempt, how };
        self.next_end += 1;
        self.ends.push(end);
        Some(run.attempt)
    }

    fn report(&self) -> Json {
        let running = self.runs.iter().map(|(task, run)| {
            let elapsed = run.started.elapsed();
            let percent = match run.work {
                Some(work) => (100.0 * elapsed.as_secs_f64() / work.as_secs_f64()).min(99.0),
                None if elapsed >= STARTUP => 100.0,
                None => 0.0,
            };
            Json::List(vec![
                Json::text(task),
                Json::number(run.attempt),
                Json::text(""),
                Json::number(percent as u64),
                Json::number(1000),
            ])
        });
        let finished = self.ends.iter().map(|end| {
            Json::List(vec![
                Json::number(end.number),
                Json::text(&end.task),
                Json::number(end.attempt),
                Json::text(end.how),
                Json::text(""),
            ])
        });
        Json::table(&[
            ("clock_ms", Json::number(self.clock_ms())),
            ("born", Json::number(self.born_ms)),
            ("running", Json::List(running.collect())),
            ("finished", Json::List(finished.collect())),
        ])
    }
}

/// Returns the number behind a word in the text of a job.
fn word(spec: &str, name: &str) -> Option<u64> {
    spec.split(' ').find_map(|part| part.strip_prefix(name)?.parse().ok())
}
