//! Callers that send requests without a pause and check every answer.
//!
//! A request that its caller marked as non-repeatable is sent again through another instance, with
//! its key, until its outcome is known.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use lacewingrail_model::CustomerName;
use lacewingrail_model::hash::digest;
use lacewingrail_model::timer::TimerService;
use rand::seq::IndexedRandom;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;

/// Requests a second of all callers together.
const REQUESTS_PER_SECOND: f64 = 150.0;
/// Share of requests that must not run twice.
const NON_REPEATABLE_SHARE: f64 = 0.1;
/// Longest time that a caller waits for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);
/// Tries of a request, the first included.
const MAX_TRIES: u32 = 8;
/// Pause before a try, as `retry_after_ms` of a refusal asks for at least.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Longest latency that the histogram keeps, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
const OUTCOME_HEADER: &str = "x-outcome";

/// States how one try ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TryOutcome {
    /// The whole answer to the own request.
    Done,
    /// An answer to another request, or one that is not whole.
    Wrong(String),
    /// Surely not run, with the reason.
    NotRun(String),
    /// Perhaps run: no answer, or one that says so.
    Unknown(String),
}

/// Describes one request.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Service.
    pub service: String,
    /// Customer.
    pub customer: CustomerName,
    /// Class.
    pub class: &'static str,
    /// Key; a request with a key must not run twice.
    pub key: Option<String>,
    /// Body.
    pub body: String,
    /// Service time at nominal speed in milliseconds, if it matters.
    pub work_ms: Option<u64>,
}

/// Sends requests through instances.
#[derive(Clone, Debug)]
pub struct CallerClient {
    http: reqwest::Client,
}

impl Default for CallerClient {
    fn default() -> Self {
        let builder = reqwest::Client::builder().no_proxy();
        Self { http: builder.build().unwrap_or_default() }
    }
}

impl CallerClient {
    /// Sends a request once and checks the answer.
    pub async fn send(&self, base: &str, request: &CallerRequest, timeout: Duration) -> TryOutcome {
        let call = self.http.post(format!("{base}/{}/work", request.service)).timeout(timeout);
        let mut call = call
            .header("x-customer", &request.customer)
            .header("x-class", request.class)
            .header("x-non-repeatable", request.key.is_some().to_string())
            .body(request.body.clone());
        if let Some(key) = &request.key {
            call = call.header("idempotency-key", key);
        }
        if let Some(work_ms) = request.work_ms {
            call = call.header("x-work-ms", work_ms);
        }
        let response = match call.send().await {
            Ok(response) => response,
            // A connection that was not made carried no byte of the request.
            Err(error) if error.is_connect() => return TryOutcome::NotRun("connect".to_owned()),
            Err(error) if error.is_timeout() => {
                return TryOutcome::Unknown("time limit".to_owned());
            }
            Err(error) => return TryOutcome::Unknown(error.to_string()),
        };
        let header = |name| response.headers().get(name).and_then(|value| value.to_str().ok());
        let outcome = header(OUTCOME_HEADER).unwrap_or_default().to_owned();
        let without_body = header("x-recorded") == Some("without-body");
        let body: serde_json::Value = match response.json().await {
            Ok(body) => body,
            Err(_) if without_body => return TryOutcome::Done,
            Err(error) if error.is_decode() => return TryOutcome::Wrong(error.to_string()),
            Err(error) => return TryOutcome::Unknown(error.to_string()),
        };
        let reason = || body["reason"].as_str().unwrap_or_default().to_owned();
        match outcome.as_str() {
            "done" if body["body_digest"] == digest(request.body.as_bytes()) => TryOutcome::Done,
            "done" => TryOutcome::Wrong(format!("another request's answer: {body}")),
            "not-run" => TryOutcome::NotRun(reason()),
            "unknown" => TryOutcome::Unknown(reason()),
            other => TryOutcome::Wrong(format!("the outcome \"{other}\"")),
        }
    }
}

/// Counts what callers met.
#[derive(Debug)]
pub struct CallerCounts {
    /// Requests, each counted once.
    pub requests: u64,
    /// Requests with a whole answer.
    pub done: u64,
    /// Tries beyond the first.
    pub retries: u64,
    /// Requests without an outcome after all tries, by cause.
    pub failures: BTreeMap<String, u64>,
    /// Tries with a wrong answer.
    pub wrong_answers: Vec<String>,
    /// Keys of requests that must not run twice.
    pub keys: Vec<String>,
    /// Time from the first try to the answer, in microseconds.
    pub latency_us: Histogram<u64>,
}

impl CallerCounts {
    fn new() -> Self {
        Self {
            requests: 0,
            done: 0,
            retries: 0,
            failures: BTreeMap::new(),
            wrong_answers: Vec::new(),
            keys: Vec::new(),
            // Three digits are valid for every bound above 1, so this cannot fail.
            latency_us: Histogram::new_with_max(MAX_LATENCY_US, 3).expect("valid bounds"),
        }
    }

    /// Returns a quantile of the latency in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latency_us.value_at_quantile(quantile) as f64 / 1_000.0
    }
}

/// Runs the request load until it is stopped.
#[derive(Debug)]
pub struct CallerLoad {
    shared: Arc<LoadState>,
    task: tokio::task::JoinHandle<()>,
}

#[derive(Debug)]
struct LoadState {
    client: CallerClient,
    timer: TimerService,
    instances: Vec<String>,
    service: String,
    customers: Vec<CustomerName>,
    stopping: AtomicBool,
    next_number: AtomicU64,
    counts: Mutex<CallerCounts>,
}

impl CallerLoad {
    /// Starts the load over instances with the given addresses.
    pub fn start(
        instances: Vec<String>,
        service: &str,
        customers: Vec<CustomerName>,
        seed: u64,
    ) -> Self {
        let shared = Arc::new(LoadState {
            client: CallerClient::default(),
            timer: TimerService::new(),
            instances,
            service: service.to_owned(),
            customers,
            stopping: AtomicBool::new(false),
            next_number: AtomicU64::new(0),
            counts: Mutex::new(CallerCounts::new()),
        });
        let task = tokio::spawn(generate_load(shared.clone(), seed));
        Self { shared, task }
    }

    /// Returns the requests sent and answered so far.
    pub fn progress(&self) -> (u64, u64) {
        let counts = self.shared.lock();
        (counts.requests, counts.done)
    }

    /// Stops the load and returns the counts once every request has ended.
    pub async fn stop(self) -> CallerCounts {
        self.shared.stopping.store(true, Ordering::Release);
        if let Err(error) = self.task.await {
            log::error!("the request load ended early: {error}");
        }
        std::mem::replace(&mut *self.shared.lock(), CallerCounts::new())
    }
}

impl LoadState {
    fn lock(&self) -> MutexGuard<'_, CallerCounts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn next_request<R>(&self, random: &mut R) -> CallerRequest
    where
        R: Rng,
    {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let non_repeatable = random.random::<f64>() < NON_REPEATABLE_SHARE;
        CallerRequest {
            service: self.service.clone(),
            customer: self.customers.choose(random).cloned().unwrap_or_default(),
            class: ["urgent", "normal", "slow"].choose(random).copied().unwrap_or("normal"),
            key: non_repeatable.then(|| format!("request-{number}")),
            body: format!("{{\"number\":{number}}}"),
            work_ms: None,
        }
    }

    /// Sends a request until its outcome is known, each time through another instance.
    async fn send_with_retries(&self, request: CallerRequest, first_instance: usize) {
        let started = Instant::now();
        let mut last_cause = String::new();
        for number in 0..MAX_TRIES {
            if number > 0 {
                self.lock().retries += 1;
                self.timer.wait(RETRY_DELAY).await;
            }
            let base = &self.instances[(first_instance + number as usize) % self.instances.len()];
            match self.client.send(base, &request, ANSWER_TIMEOUT).await {
                TryOutcome::Done => {
                    let mut counts = self.lock();
                    counts.done += 1;
                    let elapsed =
                        u64::try_from(started.elapsed().as_micros()).unwrap_or(MAX_LATENCY_US);
                    counts.latency_us.saturating_record(elapsed);
                    return;
                }
                TryOutcome::Wrong(cause) => {
                    self.lock().wrong_answers.push(cause);
                    return;
                }
                TryOutcome::NotRun(cause) | TryOutcome::Unknown(cause) => last_cause = cause,
            }
        }
        *self.lock().failures.entry(last_cause).or_default() += 1;
    }
}

async fn generate_load(shared: Arc<LoadState>, seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut ticks = shared.timer.subscribe(Duration::from_secs_f64(1.0 / REQUESTS_PER_SECOND));
    let mut calls = JoinSet::new();
    while !shared.stopping.load(Ordering::Acquire) {
        ticks.tick().await;
        let request = shared.next_request(&mut random);
        let first_instance = random.random_range(0..shared.instances.len());
        {
            let mut counts = shared.lock();
            counts.requests += 1;
            counts.keys.extend(request.key.clone());
        }
        let shared = shared.clone();
        calls.spawn(async move { shared.send_with_retries(request, first_instance).await });
        while calls.try_join_next().is_some() {}
    }
    calls.join_all().await;
}
