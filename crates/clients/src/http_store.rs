//! Client of the key-value service over HTTP and JSON.
//!
//! A write that was sent without a complete answer fails with [`StoreError::Unclear`]. A refused
//! connection, or a status by which the service states that it did nothing, fails with
//! [`StoreError::Unavailable`].

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use lacewingrail_model::clock::millis;
use lacewingrail_model::store::{
    KeyValueService, LeaseId, MAX_VALUE_BYTES, Revision, StoreEntry, StoreError, WatchBatch,
};
use reqwest::{Method, RequestBuilder, StatusCode};
use serde::de::DeserializeOwned;

use crate::calls::{CallCounter, CallKind};
use crate::http::{
    ExchangeError, HttpAnswer, ReplaceableClient, TIMEOUT_MESSAGE, exchange, join_url,
};
use crate::protocol::{
    ConflictAnswer, GetAnswer, LeaseAnswer, LeaseRequest, ListAnswer, WriteAnswer,
};

/// Default timeout of a call; the scheduler lease of 4 s must survive two failed renewals.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time that the answer of a watch may take beyond the wait that it asks for.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);
/// Largest answer in bytes; bounds the memory that a faulty service can claim.
const MAX_ANSWER_BYTES: usize = 256_000_000;
/// Idle connections kept to the service.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// Calls the key-value service over HTTP.
#[derive(Clone, Debug)]
pub struct HttpStore {
    address: String,
    client: Arc<ReplaceableClient>,
    timeout: Duration,
    counter: Arc<CallCounter>,
}

impl HttpStore {
    /// Creates a client for a base address such as `http://127.0.0.1:7000`.
    pub fn new(address: impl Into<String>) -> Self {
        Self {
            address: address.into(),
            client: Arc::new(ReplaceableClient::new(MAX_IDLE_CONNECTIONS)),
            timeout: CALL_TIMEOUT,
            counter: Arc::default(),
        }
    }

    /// Sets the timeout of calls other than watches; 1 s by default.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Returns the counters of calls and failures, shared by all clones.
    pub fn counter(&self) -> &Arc<CallCounter> {
        &self.counter
    }

    fn request(&self, method: Method, segments: &[&str]) -> Result<StoreRequest, StoreError> {
        let url =
            join_url(&self.address, segments).map_err(|error| into_store_error(error, false))?;
        let (generation, client) = self.client.get();
        Ok(StoreRequest { generation, builder: client.request(method, url) })
    }

    /// Sends a request, counts the call and its failure, and replaces the client after a timeout.
    async fn call(
        &self,
        kind: CallKind,
        request: StoreRequest,
        timeout: Duration,
    ) -> Result<HttpAnswer, StoreError> {
        self.counter.count(kind);
        let outcome = match exchange(request.builder, timeout, MAX_ANSWER_BYTES).await {
            Ok(answer) => check_status(kind, answer),
            Err(error) => {
                if matches!(error, ExchangeError::TimedOut) {
                    self.client.replace(request.generation);
                }
                Err(into_store_error(error, kind.is_write()))
            }
        };
        if let Err(StoreError::Unavailable(_) | StoreError::Unclear(_)) = &outcome {
            let unclear = matches!(outcome, Err(StoreError::Unclear(_)));
            self.counter.count_failure(kind, unclear);
        }
        outcome
    }
}

/// Request and the generation of the client that sends it; a timeout replaces that client.
struct StoreRequest {
    generation: u64,
    builder: RequestBuilder,
}

impl StoreRequest {
    fn map_builder<F>(self, map: F) -> Self
    where
        F: FnOnce(RequestBuilder) -> RequestBuilder,
    {
        Self { builder: map(self.builder), ..self }
    }
}

#[async_trait]
impl KeyValueService for HttpStore {
    async fn get(&self, key: &str) -> Result<Option<StoreEntry>, StoreError> {
        let request = self.request(Method::GET, &["v1", "kv", key])?;
        let answer = self.call(CallKind::Get, request, self.timeout).await?;
        Ok(parse::<GetAnswer>(CallKind::Get, &answer)?.entry)
    }

    async fn list(&self, prefix: &str) -> Result<Vec<StoreEntry>, StoreError> {
        let request = self
            .request(Method::GET, &["v1", "kv"])?
            .map_builder(|request| request.query(&[("prefix", prefix)]));
        let answer = self.call(CallKind::List, request, self.timeout).await?;
        Ok(parse::<ListAnswer>(CallKind::List, &answer)?.entries)
    }

    async fn put(
        &self,
        key: &str,
        value: String,
        expected: Revision,
        lease: Option<LeaseId>,
    ) -> Result<Revision, StoreError> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(StoreError::TooLarge { bytes: value.len() });
        }
        let mut request = self
            .request(Method::PUT, &["v1", "kv", key])?
            .map_builder(|request| request.query(&[("revision", expected)]).body(value));
        if let Some(lease) = lease {
            request = request.map_builder(|request| request.query(&[("lease", lease)]));
        }
        let answer = self.call(CallKind::Put, request, self.timeout).await?;
        Ok(parse::<WriteAnswer>(CallKind::Put, &answer)?.revision)
    }

    async fn delete(&self, key: &str, expected: Revision) -> Result<(), StoreError> {
        let request = self
            .request(Method::DELETE, &["v1", "kv", key])?
            .map_builder(|request| request.query(&[("revision", expected)]));
        self.call(CallKind::Delete, request, self.timeout).await.map(drop)
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchBatch, StoreError> {
        let request = self.request(Method::GET, &["v1", "watch"])?.map_builder(|request| {
            let parameters = [("after", after), ("wait_ms", millis(wait))];
            request.query(&[("prefix", prefix)]).query(&parameters)
        });
        let answer = self.call(CallKind::Watch, request, wait + WATCH_TIMEOUT_MARGIN).await?;
        parse(CallKind::Watch, &answer)
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let request = self
            .request(Method::POST, &["v1", "leases"])?
            .map_builder(|request| request.json(&LeaseRequest { ttl_ms: millis(ttl) }));
        let answer = self.call(CallKind::GrantLease, request, self.timeout).await?;
        Ok(parse::<LeaseAnswer>(CallKind::GrantLease, &answer)?.lease)
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        let request = self.request(Method::POST, &["v1", "leases", &lease.to_string(), "renew"])?;
        self.call(CallKind::RenewLease, request, self.timeout).await.map(drop)
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        let request = self.request(Method::DELETE, &["v1", "leases", &lease.to_string()])?;
        self.call(CallKind::RevokeLease, request, self.timeout).await.map(drop)
    }
}

/// Converts every status other than success into an error.
fn check_status(kind: CallKind, answer: HttpAnswer) -> Result<HttpAnswer, StoreError> {
    match answer.status {
        StatusCode::OK => Ok(answer),
        StatusCode::CONFLICT => {
            let conflict: ConflictAnswer = parse(kind, &answer)?;
            Err(StoreError::Conflict { current: conflict.current })
        }
        StatusCode::GONE => Err(StoreError::LeaseLapsed),
        StatusCode::PAYLOAD_TOO_LARGE => Err(StoreError::TooLarge { bytes: MAX_VALUE_BYTES + 1 }),
        status if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE => {
            Err(StoreError::Unavailable(answer.describe()))
        }
        _ if kind.is_write() => Err(StoreError::Unclear(answer.describe())),
        _ => Err(StoreError::Unavailable(answer.describe())),
    }
}

/// Parses the body of an answer; a write whose answer is malformed may have taken effect.
fn parse<T>(kind: CallKind, answer: &HttpAnswer) -> Result<T, StoreError>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(&answer.body).map_err(|error| {
        let cause = format!("{error} in {}", answer.describe());
        if kind.is_write() { StoreError::Unclear(cause) } else { StoreError::Unavailable(cause) }
    })
}

fn into_store_error(error: ExchangeError, is_write: bool) -> StoreError {
    let (sent, cause) = match error {
        ExchangeError::NotSent(cause) => (false, cause),
        ExchangeError::AnswerLost(cause) => (true, cause),
        ExchangeError::TimedOut => (true, TIMEOUT_MESSAGE.into()),
    };
    if sent && is_write { StoreError::Unclear(cause) } else { StoreError::Unavailable(cause) }
}
