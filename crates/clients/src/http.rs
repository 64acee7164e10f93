//! Shared parts of the HTTP clients.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use reqwest::{Client, RequestBuilder, StatusCode, Url};

/// Time to establish a connection; instances are at most a few milliseconds apart.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which an idle connection is kept.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// States how an exchange failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ExchangeError {
    /// No connection was established, so the request was not sent.
    NotSent(String),
    /// The request may have been processed, but its whole answer did not arrive.
    AnswerLost(String),
    /// The same, because no answer arrived in time; the connection may be silent.
    TimedOut,
}

/// Holds a whole answer.
#[derive(Clone, Debug)]
pub struct HttpAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: reqwest::header::HeaderMap,
    /// Body.
    pub body: Vec<u8>,
}

impl HttpAnswer {
    /// Returns the status and the start of the body for error messages.
    pub fn describe(&self) -> String {
        const SHOWN_BYTES: usize = 120;
        let shown = &self.body[..self.body.len().min(SHOWN_BYTES)];
        format!("status {}: {}", self.status.as_u16(), String::from_utf8_lossy(shown))
    }
}

/// Builds a client that keeps up to `idle` connections to each host.
pub fn build_client(idle: usize) -> Client {
    Client::builder()
        .connect_timeout(CONNECT_TIMEOUT)
        .no_proxy()
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(idle)
        .redirect(reqwest::redirect::Policy::none())
        .tcp_nodelay(true)
        .build()
        .unwrap_or_default()
}

/// Holds a client that can be replaced together with its idle connections.
///
/// When a network path goes silent, every idle connection of the pool is silent. Without the
/// replacement each of them would cost one call its timeout, and three in a row cost a lease.
#[derive(Debug)]
pub struct ReplaceableClient {
    idle: usize,
    current: Mutex<(u64, Client)>,
}

impl ReplaceableClient {
    /// Creates a client that keeps up to `idle` connections to each host.
    pub fn new(idle: usize) -> Self {
        Self { idle, current: Mutex::new((0, build_client(idle))) }
    }

    /// Returns the client in use and its generation.
    pub fn get(&self) -> (u64, Client) {
        self.lock().clone()
    }

    /// Replaces the client unless a later generation is already in use.
    pub fn replace(&self, generation: u64) {
        let mut current = self.lock();
        if current.0 == generation {
            *current = (generation + 1, build_client(self.idle));
        }
    }

    fn lock(&self) -> MutexGuard<'_, (u64, Client)> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends a request and reads the whole answer of at most `limit` bytes.
///
/// A connection whose exchange times out is closed.
pub async fn exchange(
    request: RequestBuilder,
    timeout: Duration,
    limit: usize,
) -> Result<HttpAnswer, ExchangeError> {
    let mut response = request.timeout(timeout).send().await.map_err(classify)?;
    let mut answer = HttpAnswer {
        status: response.status(),
        headers: std::mem::take(response.headers_mut()),
        body: Vec::new(),
    };
    while let Some(chunk) = response.chunk().await.map_err(classify)? {
        if answer.body.len() + chunk.len() > limit {
            return Err(ExchangeError::AnswerLost(format!("the answer is over {limit} bytes")));
        }
        answer.body.extend_from_slice(&chunk);
    }
    Ok(answer)
}

/// Joins a base address and path segments, each percent-encoded.
pub fn join(base: &str, segments: &[&str]) -> Result<Url, ExchangeError> {
    let malformed = |cause: &str| ExchangeError::NotSent(format!("address {base:?}: {cause}"));
    if segments.iter().any(|segment| matches!(*segment, "" | "." | "..")) {
        return Err(malformed("a path segment is empty or a dot segment"));
    }
    let mut url = Url::parse(base).map_err(|error| malformed(&error.to_string()))?;
    url.path_segments_mut()
        .map_err(|()| malformed("it has no path"))?
        .pop_if_empty()
        .extend(segments);
    Ok(url)
}

/// Cause of a timeout in error messages.
pub const TIMEOUT_MESSAGE: &str = "no answer in time";

fn classify(error: reqwest::Error) -> ExchangeError {
    let cause = root_cause(&error);
    if error.is_connect() || error.is_builder() {
        return ExchangeError::NotSent(cause);
    }
    if error.is_timeout() {
        return ExchangeError::TimedOut;
    }
    ExchangeError::AnswerLost(cause)
}

fn root_cause(error: &dyn std::error::Error) -> String {
    let mut last = error;
    while let Some(source) = last.source() {
        last = source;
    }
    last.to_string()
}
