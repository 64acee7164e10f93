//! HTTP client construction and request exchange shared by the clients.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use reqwest::{Client, RequestBuilder, StatusCode, Url};

/// Timeout of a connection attempt; instances are at most a few milliseconds apart.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which an idle connection is closed.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Failure of an HTTP exchange; tells whether the request may have had an effect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ExchangeError {
    /// No connection was established or the request was invalid, so it was not sent.
    NotSent(String),
    /// The request may have been processed, but no complete answer arrived.
    AnswerLost(String),
    /// The request may have been processed, but no complete answer arrived before the timeout; the
    /// connection may have stopped delivering.
    TimedOut,
}

/// Complete HTTP answer.
#[derive(Clone, Debug)]
pub struct HttpAnswer {
    /// HTTP status code.
    pub status: StatusCode,
    /// Header fields of the answer.
    pub headers: reqwest::header::HeaderMap,
    /// Complete body, at most as long as the limit of the exchange.
    pub body: Vec<u8>,
}

impl HttpAnswer {
    /// Returns the status and the start of the body for error messages.
    pub fn describe(&self) -> String {
        const MAX_EXCERPT_BYTES: usize = 120;
        let shown = &self.body[..self.body.len().min(MAX_EXCERPT_BYTES)];
        format!("status {}: {}", self.status.as_u16(), String::from_utf8_lossy(shown))
    }
}

/// Builds a client that keeps up to `max_idle` idle connections to each host.
pub fn build_client(max_idle: usize) -> Client {
    Client::builder()
        .connect_timeout(CONNECT_TIMEOUT)
        .no_proxy()
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(max_idle)
        .redirect(reqwest::redirect::Policy::none())
        .tcp_nodelay(true)
        .build()
        .unwrap_or_default()
}

/// HTTP client that can be replaced by one without idle connections.
///
/// When a network path stops answering, every idle connection of the pool is affected. Without the
/// replacement, each of them would cost one call its timeout, and three timeouts in a row would let
/// a lease expire.
#[derive(Debug)]
pub struct ReplaceableClient {
    max_idle: usize,
    /// Client in use and its generation, the number of replacements so far.
    current: Mutex<(u64, Client)>,
}

impl ReplaceableClient {
    /// Creates a client that keeps up to `max_idle` idle connections to each host.
    pub fn new(max_idle: usize) -> Self {
        Self { max_idle, current: Mutex::new((0, build_client(max_idle))) }
    }

    /// Returns the generation of the client in use and a clone of that client.
    pub fn get(&self) -> (u64, Client) {
        self.lock().clone()
    }

    /// Replaces the client if it still has this `generation`, so that concurrent timeouts of one
    /// client replace it only once.
    pub fn replace(&self, generation: u64) {
        let mut current = self.lock();
        if current.0 == generation {
            *current = (generation + 1, build_client(self.max_idle));
        }
    }

    fn lock(&self) -> MutexGuard<'_, (u64, Client)> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends a request and reads the complete answer of at most `max_bytes` bytes.
///
/// A connection whose exchange times out is closed. A longer answer fails with
/// [`ExchangeError::AnswerLost`].
pub async fn exchange(
    request: RequestBuilder,
    timeout: Duration,
    max_bytes: usize,
) -> Result<HttpAnswer, ExchangeError> {
    let mut response = request.timeout(timeout).send().await.map_err(into_exchange_error)?;
    let mut answer = HttpAnswer {
        status: response.status(),
        headers: std::mem::take(response.headers_mut()),
        body: Vec::new(),
    };
    while let Some(chunk) = response.chunk().await.map_err(into_exchange_error)? {
        if answer.body.len() + chunk.len() > max_bytes {
            return Err(ExchangeError::AnswerLost(format!("the answer is over {max_bytes} bytes")));
        }
        answer.body.extend_from_slice(&chunk);
    }
    Ok(answer)
}

/// Joins a base address and path segments, each percent-encoded.
///
/// An invalid address and an empty or dot segment fail with [`ExchangeError::NotSent`].
pub fn join_url(base: &str, segments: &[&str]) -> Result<Url, ExchangeError> {
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

/// Cause that error messages give for a timeout.
pub const TIMEOUT_MESSAGE: &str = "no answer in time";

fn into_exchange_error(error: reqwest::Error) -> ExchangeError {
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
