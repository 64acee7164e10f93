//! Request load generator that checks every answer.
//!
//! A request that did not run, or whose outcome is unknown, is retried through the next instance.
//! One that must not run twice carries an idempotency key, the same for every try.

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

/// Request rate of all callers together, per second.
const REQUESTS_PER_SECOND: f64 = 150.0;
/// Share of requests that must not run twice, from 0 to 1.
const NON_REPEATABLE_SHARE: f64 = 0.1;
/// Timeout of one try.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);
/// Maximum number of tries of a request, including the first.
const MAX_TRIES: u32 = 8;
/// Delay before a retry, used in place of the `retry_after_ms` of a refusal.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Upper bound of the latency histogram in microseconds; longer latencies count as this one.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Response header with the outcome of a request.
const OUTCOME_HEADER: &str = "x-outcome";

/// Outcome of one try of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TryOutcome {
    /// The complete answer to this request arrived.
    Done,
    /// The answer belongs to another request, or is incomplete or invalid; the text says which.
    Wrong(String),
    /// The request did not run, for the given reason.
    NotRun(String),
    /// The request may have run: no answer arrived, or the answer says so; the text gives the
    /// cause.
    Unknown(String),
}

/// One request of a caller; retries send it unchanged.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Name of the service that is called.
    pub service: String,
    /// Customer on whose behalf the request is sent.
    pub customer: CustomerName,
    /// Priority class: `urgent`, `normal` or `slow`.
    pub class: &'static str,
    /// Idempotency key of a request that must not run twice; `None` if it may be repeated.
    pub key: Option<String>,
    /// Request body, whose digest the answer repeats.
    pub body: String,
    /// Service time at nominal speed in milliseconds; `None` if the backend server draws it.
    pub work_ms: Option<u64>,
}

/// HTTP client that sends requests through the entry processes of instances.
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
    /// Sends a request once to the instance at the URL `base_url` and checks the answer.
    pub async fn send(
        &self,
        base_url: &str,
        request: &CallerRequest,
        timeout: Duration,
    ) -> TryOutcome {
        let call = self.http.post(format!("{base_url}/{}/work", request.service)).timeout(timeout);
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
            // Without a connection, no byte of the request was sent.
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

/// Results of a request load.
#[derive(Debug)]
pub struct CallerCounts {
    /// Requests sent, each counted once regardless of retries.
    pub requests: u64,
    /// Requests with a complete answer.
    pub done: u64,
    /// Tries beyond the first of each request.
    pub retries: u64,
    /// Requests without a complete answer after all tries, by the cause of the last failed try.
    pub failures: BTreeMap<String, u64>,
    /// Causes of wrong answers, one for each request that got one.
    pub wrong_answers: Vec<String>,
    /// Idempotency keys of the requests that must not run twice.
    pub keys: Vec<String>,
    /// Time from the first try to the complete answer, in microseconds.
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
            // Three significant digits are valid for every upper bound above 1.
            latency_us: Histogram::new_with_max(MAX_LATENCY_US, 3)
                .expect("histogram bounds are valid"),
        }
    }

    /// Returns a quantile, from 0 to 1, of the latency in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latency_us.value_at_quantile(quantile) as f64 / 1_000.0
    }
}

/// Running request load; dropping it does not stop the load, only [`CallerLoad::stop`] does.
#[derive(Debug)]
pub struct CallerLoad {
    shared: Arc<LoadState>,
    task: tokio::task::JoinHandle<()>,
}

/// State shared by the load generator and its requests.
#[derive(Debug)]
struct LoadState {
    client: CallerClient,
    timer: TimerService,
    instances: Vec<String>,
    service: String,
    customers: Vec<CustomerName>,
    stopping: AtomicBool,
    next_request_number: AtomicU64,
    counts: Mutex<CallerCounts>,
}

impl CallerLoad {
    /// Starts a load over the instances with the given base URLs, for one service and random
    /// customers.
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
            next_request_number: AtomicU64::new(0),
            counts: Mutex::new(CallerCounts::new()),
        });
        let task = tokio::spawn(generate_load(shared.clone(), seed));
        Self { shared, task }
    }

    /// Returns the numbers of requests sent and answered so far.
    pub fn progress(&self) -> (u64, u64) {
        let counts = self.shared.lock_counts();
        (counts.requests, counts.done)
    }

    /// Stops the load and returns the counts once every request has ended.
    pub async fn stop(self) -> CallerCounts {
        self.shared.stopping.store(true, Ordering::Release);
        if let Err(error) = self.task.await {
            log::error!("request load task failed: {error}");
        }
        std::mem::replace(&mut *self.shared.lock_counts(), CallerCounts::new())
    }
}

impl LoadState {
    fn lock_counts(&self) -> MutexGuard<'_, CallerCounts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Creates the next request with a random customer and class.
    fn next_request<R>(&self, random: &mut R) -> CallerRequest
    where
        R: Rng,
    {
        let number = self.next_request_number.fetch_add(1, Ordering::Relaxed);
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

    /// Sends a request until it is answered, each try through the next instance, and records the
    /// result.
    async fn send_with_retries(&self, request: CallerRequest, first_instance: usize) {
        let started = Instant::now();
        let mut last_cause = String::new();
        for try_number in 0..MAX_TRIES {
            if try_number > 0 {
                self.lock_counts().retries += 1;
                self.timer.wait(RETRY_DELAY).await;
            }
            let base_url =
                &self.instances[(first_instance + try_number as usize) % self.instances.len()];
            match self.client.send(base_url, &request, ANSWER_TIMEOUT).await {
                TryOutcome::Done => {
                    let mut counts = self.lock_counts();
                    counts.done += 1;
                    let elapsed_us =
                        u64::try_from(started.elapsed().as_micros()).unwrap_or(MAX_LATENCY_US);
                    counts.latency_us.saturating_record(elapsed_us);
                    return;
                }
                TryOutcome::Wrong(cause) => {
                    self.lock_counts().wrong_answers.push(cause);
                    return;
                }
                TryOutcome::NotRun(cause) | TryOutcome::Unknown(cause) => last_cause = cause,
            }
        }
        *self.lock_counts().failures.entry(last_cause).or_default() += 1;
    }
}

/// Sends requests at a constant rate until the load is stopped, then waits for those in flight.
async fn generate_load(shared: Arc<LoadState>, seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut ticks = shared.timer.subscribe(Duration::from_secs_f64(1.0 / REQUESTS_PER_SECOND));
    let mut calls = JoinSet::new();
    while !shared.stopping.load(Ordering::Acquire) {
        ticks.tick().await;
        let request = shared.next_request(&mut random);
        let first_instance = random.random_range(0..shared.instances.len());
        {
            let mut counts = shared.lock_counts();
            counts.requests += 1;
            counts.keys.extend(request.key.clone());
        }
        let shared = shared.clone();
        calls.spawn(async move { shared.send_with_retries(request, first_instance).await });
        while calls.try_join_next().is_some() {}
    }
    calls.join_all().await;
}
