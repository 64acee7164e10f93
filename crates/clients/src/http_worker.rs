//! Client of the workers over HTTP and JSON.
//!
//! A start carries a deadline on the worker's own clock, so that the worker refuses a start that
//! the network delayed. The client learns that clock from a header of earlier answers. The worker
//! read its clock before the answer arrived, so the reading plus the time since arrival is a lower
//! bound of the clock, and the deadline is never later than the caller intended.
//!
//! After a timeout, calls to the worker use new connections until the idle ones have expired: all
//! of them may have stopped delivering, and each would cost one call its timeout.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use lacewingrail_model::clock::millis;
use lacewingrail_model::worker::{
    MemberId, RenewItem, ReserveRequest, WorkerError, WorkerReport, WorkerService, WorkerSpec,
};
use lacewingrail_model::{Epoch, WorkerId};
use reqwest::{Client, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::Semaphore;
use tokio::time::Instant;

use crate::http::{
    ExchangeError, HttpAnswer, IDLE_TIMEOUT, TIMEOUT_MESSAGE, build_client, exchange, join_url,
};
use crate::protocol::{
    CheckpointAnswer, CommitBody, MemberBody, RenewBody, ReserveBody, StartBody, ThrottleBody,
    WORKER_CLOCK_HEADER,
};

/// Default timeout of a call; half of the reservation TTL, so that an aborted gang start releases
/// its reservations explicitly before they expire.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest answer in bytes; bounds the memory that a faulty worker can claim.
const MAX_ANSWER_BYTES: usize = 4_000_000;
/// Time after a timeout during which calls to the worker use no idle connection; outlasts
/// [`IDLE_TIMEOUT`], so that the old ones have expired.
const UNPOOLED_PERIOD: Duration = IDLE_TIMEOUT.saturating_add(Duration::from_secs(1));
/// Idle connections kept to each worker address.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// Largest number of concurrent calls; further ones wait.
///
/// Each call uses a connection of some 30 KB. Without a bound, starting all members of a full
/// failure domain opened one connection for each of the 1,750 members, and the process did not
/// return the memory. The bound exceeds the number of workers in a domain, so that unresponsive
/// workers delay calls to others by at most one timeout.
const MAX_CONCURRENT_CALLS: usize = 128;
/// Workers whose state is kept; before the state of a further one is stored, all are dropped, and the
/// next answers restore them.
const MAX_WORKER_STATES: usize = 10_000;

/// Calls workers over HTTP.
#[derive(Clone, Debug)]
pub struct HttpWorkerClient {
    client: Client,
    /// Opens a new connection for every call.
    unpooled_client: Client,
    timeout: Duration,
    call_permits: Arc<Semaphore>,
    worker_states: Arc<Mutex<HashMap<WorkerId, WorkerState>>>,
}

/// What earlier calls showed about a worker.
#[derive(Clone, Copy, Debug, Default)]
struct WorkerState {
    /// Most recent reading of the worker's clock.
    reading: Option<ClockReading>,
    /// Time of the most recent timeout of a call.
    last_timeout: Option<Instant>,
}

/// Worker clock stated in an answer, and the local time at which the answer arrived.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    clock_ms: u64,
    arrived: Instant,
}

impl Default for HttpWorkerClient {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpWorkerClient {
    /// Creates a client that serves calls to any worker.
    pub fn new() -> Self {
        Self {
            client: build_client(MAX_IDLE_CONNECTIONS),
            unpooled_client: build_client(0),
            timeout: CALL_TIMEOUT,
            call_permits: Arc::new(Semaphore::new(MAX_CONCURRENT_CALLS)),
            worker_states: Arc::default(),
        }
    }

    /// Sets the timeout of each call; 1 s by default.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    async fn post<B, T>(&self, worker: &WorkerSpec, call: &str, body: &B) -> Result<T, WorkerError>
    where
        B: Serialize + Sync,
        T: DeserializeOwned,
    {
        let url = join_url(&worker.address, &["v1", call]).map_err(into_worker_error)?;
        self.send(worker, self.client_for(&worker.id).post(url).json(body)).await
    }

    async fn send<T>(
        &self,
        worker: &WorkerSpec,
        request: reqwest::RequestBuilder,
    ) -> Result<T, WorkerError>
    where
        T: DeserializeOwned,
    {
        let _permit = self.call_permits.acquire().await;
        let answer = exchange(request, self.timeout, MAX_ANSWER_BYTES).await.map_err(|error| {
            if matches!(error, ExchangeError::TimedOut) {
                self.update_state(&worker.id, |state| state.last_timeout = Some(Instant::now()));
            }
            into_worker_error(error)
        })?;
        self.record_clock(&worker.id, &answer);
        if answer.status == StatusCode::OK {
            return serde_json::from_slice(&answer.body)
                .map_err(|error| WorkerError::Unclear { reason: error.to_string() });
        }
        if let Ok(error) = serde_json::from_slice::<WorkerError>(&answer.body) {
            return Err(error);
        }
        let reason = answer.describe();
        if answer.status.is_client_error() || answer.status == StatusCode::SERVICE_UNAVAILABLE {
            return Err(WorkerError::Unreachable { reason });
        }
        Err(WorkerError::Unclear { reason })
    }

    /// Stores the worker clock stated in the header of an answer, if it is valid.
    fn record_clock(&self, worker: &WorkerId, answer: &HttpAnswer) {
        let header = answer.headers.get(WORKER_CLOCK_HEADER).and_then(|value| value.to_str().ok());
        let Some(clock_ms) = header.and_then(|value| value.parse().ok()) else {
            return;
        };
        let reading = ClockReading { clock_ms, arrived: Instant::now() };
        self.update_state(worker, |state| state.reading = Some(reading));
    }

    /// Returns a lower bound of the worker's clock `remaining` from now, in milliseconds, or
    /// nothing if no answer has stated that clock yet.
    fn deadline_on_worker_clock(&self, worker: &WorkerId, remaining: Duration) -> Option<u64> {
        let reading = self.worker_state(worker).reading?;
        Some(reading.clock_ms + millis(reading.arrived.elapsed()) + millis(remaining))
    }

    /// Returns the client for the next call: for [`UNPOOLED_PERIOD`] after a timeout the one
    /// without idle connections.
    fn client_for(&self, worker: &WorkerId) -> &Client {
        let last_timeout = self.worker_state(worker).last_timeout;
        let avoid_idle = last_timeout.is_some_and(|at| at.elapsed() < UNPOOLED_PERIOD);
        if avoid_idle { &self.unpooled_client } else { &self.client }
    }

    fn worker_state(&self, worker: &WorkerId) -> WorkerState {
        self.lock().get(worker).copied().unwrap_or_default()
    }

    fn update_state<F>(&self, worker: &WorkerId, change: F)
    where
        F: FnOnce(&mut WorkerState),
    {
        let mut worker_states = self.lock();
        if worker_states.len() >= MAX_WORKER_STATES && !worker_states.contains_key(worker) {
            worker_states.clear();
        }
        change(worker_states.entry(worker.clone()).or_default());
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<WorkerId, WorkerState>> {
        self.worker_states.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[async_trait]
impl WorkerService for HttpWorkerClient {
    async fn report(&self, worker: &WorkerSpec, epoch: Epoch) -> Result<WorkerReport, WorkerError> {
        let url = join_url(&worker.address, &["v1", "tasks"]).map_err(into_worker_error)?;
        let request = self.client_for(&worker.id).get(url).query(&[("epoch", epoch)]);
        self.send(worker, request).await
    }

    async fn reserve(
        &self,
        worker: &WorkerSpec,
        epoch: Epoch,
        request: ReserveRequest,
    ) -> Result<(), WorkerError> {
        self.post(worker, "reserve", &ReserveBody { epoch, request }).await
    }

    async fn commit(
        &self,
        worker: &WorkerSpec,
        epoch: Epoch,
        member: &MemberId,
        ttl: Duration,
    ) -> Result<(), WorkerError> {
        let body = CommitBody { epoch, member: member.clone(), ttl_ms: millis(ttl) };
        self.post(worker, "commit", &body).await
    }

    async fn start(
        &self,
        worker: &WorkerSpec,
        epoch: Epoch,
        member: &MemberId,
        not_after: Duration,
    ) -> Result<(), WorkerError> {
        let body = StartBody {
            epoch,
            member: member.clone(),
            not_after_ms: millis(not_after),
            not_after_clock_ms: self.deadline_on_worker_clock(&worker.id, not_after),
        };
        self.post(worker, "start", &body).await
    }

    async fn renew(
        &self,
        worker: &WorkerSpec,
        epoch: Epoch,
        items: Vec<RenewItem>,
    ) -> Result<WorkerReport, WorkerError> {
        self.post(worker, "renew", &RenewBody { epoch, items }).await
    }

    async fn checkpoint(
        &self,
        worker: &WorkerSpec,
        epoch: Epoch,
        member: &MemberId,
    ) -> Result<u64, WorkerError> {
        let body = MemberBody { epoch, member: member.clone() };
        let answer: CheckpointAnswer = self.post(worker, "checkpoint", &body).await?;
        Ok(answer.checkpoint_ms)
    }

    async fn throttle(
        &self,
        worker: &WorkerSpec,
        epoch: Epoch,
        member: &MemberId,
        share: f64,
    ) -> Result<(), WorkerError> {
        let body = ThrottleBody { epoch, member: member.clone(), share };
        self.post(worker, "throttle", &body).await
    }

    async fn stop(
        &self,
        worker: &WorkerSpec,
        epoch: Epoch,
        member: &MemberId,
    ) -> Result<(), WorkerError> {
        let body = MemberBody { epoch, member: member.clone() };
        self.post(worker, "stop", &body).await
    }
}

fn into_worker_error(error: ExchangeError) -> WorkerError {
    match error {
        ExchangeError::NotSent(reason) => WorkerError::Unreachable { reason },
        ExchangeError::AnswerLost(reason) => WorkerError::Unclear { reason },
        ExchangeError::TimedOut => WorkerError::Unclear { reason: TIMEOUT_MESSAGE.into() },
    }
}
