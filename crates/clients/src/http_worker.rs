//! Client of the workers over HTTP and JSON.
//!
//! A start carries the end of its permission on the worker's own clock, so that a start delayed by
//! the network is refused. The client learns that clock from the header of earlier answers: the
//! worker read its clock before the answer arrived, so reading plus time since arrival is a lower
//! bound of the clock, and the permission never ends later than the caller meant.
//!
//! After a timeout the worker's calls use fresh connections until its idle ones have expired, because
//! all of them may be silent and each would cost one call its timeout.

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
    ExchangeError, HttpAnswer, IDLE_TIMEOUT, TIMEOUT_MESSAGE, build_client, exchange, join,
};
use crate::protocol::{
    CheckpointAnswer, CommitBody, MemberBody, RenewBody, ReserveBody, StartBody, ThrottleBody,
    WORKER_CLOCK_HEADER,
};

/// Default time for a call; half of the reservation TTL, so that an aborted gang frees its
/// reservations by request rather than by lapse.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest answer in bytes.
const ANSWER_LIMIT: usize = 4_000_000;
/// Time after a timeout during which no idle connection is used: until the last one has expired.
const SUSPICION: Duration = IDLE_TIMEOUT.saturating_add(Duration::from_secs(1));
/// Idle connections kept to each worker address.
const IDLE_CONNECTIONS: usize = 64;
/// Calls under way at a time.
///
/// Each call holds a connection of some 30 KB. Without a bound, the start of a full failure domain
/// opened one for each of its 1,750 members, and the memory stayed with the process. The bound is
/// above the workers of a domain, so that workers that do not answer delay the calls to others by
/// one time-out at most.
const CALLS: usize = 128;
/// Workers whose contact is kept; past it all are dropped, and each returns with the next answer.
const CONTACTS: usize = 10_000;

/// Calls workers over HTTP.
#[derive(Clone, Debug)]
pub struct HttpWorkerClient {
    client: Client,
    /// Keeps no idle connections.
    fresh_client: Client,
    timeout: Duration,
    calls: Arc<Semaphore>,
    contacts: Arc<Mutex<HashMap<WorkerId, WorkerContact>>>,
}

#[derive(Clone, Copy, Debug, Default)]
struct WorkerContact {
    reading: Option<ClockReading>,
    /// Time of the newest timeout.
    timed_out: Option<Instant>,
}

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
    /// Creates a client for all workers.
    pub fn new() -> Self {
        Self {
            client: build_client(IDLE_CONNECTIONS),
            fresh_client: build_client(0),
            timeout: CALL_TIMEOUT,
            calls: Arc::new(Semaphore::new(CALLS)),
            contacts: Arc::default(),
        }
    }

    /// Sets the time after which a call fails.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    async fn post<B, T>(&self, worker: &WorkerSpec, call: &str, body: &B) -> Result<T, WorkerError>
    where
        B: Serialize + Sync,
        T: DeserializeOwned,
    {
        let url = join(&worker.address, &["v1", call]).map_err(convert)?;
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
        let _permit = self.calls.acquire().await;
        let answer = exchange(request, self.timeout, ANSWER_LIMIT).await.map_err(|error| {
            if matches!(error, ExchangeError::TimedOut) {
                self.change_contact(&worker.id, |contact| contact.timed_out = Some(Instant::now()));
            }
            convert(error)
        })?;
        self.keep_clock(&worker.id, &answer);
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

    fn keep_clock(&self, worker: &WorkerId, answer: &HttpAnswer) {
        let header = answer.headers.get(WORKER_CLOCK_HEADER).and_then(|value| value.to_str().ok());
        let Some(clock_ms) = header.and_then(|value| value.parse().ok()) else {
            return;
        };
        let reading = ClockReading { clock_ms, arrived: Instant::now() };
        self.change_contact(worker, |contact| contact.reading = Some(reading));
    }

    /// Returns the instant `remaining` from now on the worker's clock, never later than meant.
    fn on_clock(&self, worker: &WorkerId, remaining: Duration) -> Option<u64> {
        let reading = self.contact(worker).reading?;
        Some(reading.clock_ms + millis(reading.arrived.elapsed()) + millis(remaining))
    }

    /// Returns the client whose connections to the worker are not suspected to be silent.
    fn client_for(&self, worker: &WorkerId) -> &Client {
        let timed_out = self.contact(worker).timed_out;
        let suspected = timed_out.is_some_and(|at| at.elapsed() < SUSPICION);
        if suspected { &self.fresh_client } else { &self.client }
    }

    fn contact(&self, worker: &WorkerId) -> WorkerContact {
        self.lock().get(worker).copied().unwrap_or_default()
    }

    fn change_contact<F>(&self, worker: &WorkerId, change: F)
    where
        F: FnOnce(&mut WorkerContact),
    {
        let mut contacts = self.lock();
        if contacts.len() >= CONTACTS && !contacts.contains_key(worker) {
            contacts.clear();
        }
        change(contacts.entry(worker.clone()).or_default());
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<WorkerId, WorkerContact>> {
        self.contacts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[async_trait]
impl WorkerService for HttpWorkerClient {
    async fn report(&self, worker: &WorkerSpec, epoch: Epoch) -> Result<WorkerReport, WorkerError> {
        let url = join(&worker.address, &["v1", "tasks"]).map_err(convert)?;
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
            not_after_clock_ms: self.on_clock(&worker.id, not_after),
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

fn convert(error: ExchangeError) -> WorkerError {
    match error {
        ExchangeError::NotSent(reason) => WorkerError::Unreachable { reason },
        ExchangeError::AnswerLost(reason) => WorkerError::Unclear { reason },
        ExchangeError::TimedOut => WorkerError::Unclear { reason: TIMEOUT_MESSAGE.into() },
    }
}
