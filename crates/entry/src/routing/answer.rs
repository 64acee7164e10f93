//! One try at one backend server, up to its whole answer.
//!
//! A caller never sees part of an answer or another request's answer: the body is read to its
//! declared length, and the id that the backend returns must be the one of this try.

use std::error::Error;
use std::fmt;
use std::io::ErrorKind;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

use crate::backend::Backend;
use crate::exchange::{RequestExchange, X_DEADLINE_MS, X_LEAVING, X_REQUEST_ID};
use crate::routing::target::{build_url, clean_answer};

/// Largest answer in bytes.
const MAX_ANSWER_BYTES: u64 = 16 << 20;
/// Memory of all answers together, in units of [`MEMORY_UNIT`].
const ANSWER_MEMORY_UNITS: usize = 64 << 10;
/// Unit in which the memory of answers is counted, in bytes.
const MEMORY_UNIT: u64 = 1 << 10;
/// Answers up to this size are not counted, since the concurrency limit bounds them already.
const UNCOUNTED_BYTES: u64 = 4 << 10;

/// Bounds the memory of answers on their way from backends to callers.
#[derive(Clone, Debug)]
pub struct AnswerMemory(Arc<Semaphore>);

impl Default for AnswerMemory {
    fn default() -> Self {
        Self(Arc::new(Semaphore::new(ANSWER_MEMORY_UNITS)))
    }
}

/// Holds the whole answer of a backend server.
#[derive(Debug)]
pub struct BackendAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers without those of the connection.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Id of the try that the backend returned.
    pub echoed_id: String,
}

/// States why a try gave no whole answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TryError {
    /// The caller has been told "not run" already; nothing was sent.
    Closed,
    /// The path cannot be sent unchanged; nothing was sent.
    BadTarget,
    /// No connection; nothing was sent. `gone` states that nothing listens at the address.
    NotSent {
        /// Whether the connection was refused.
        gone: bool,
        /// Cause.
        cause: String,
    },
    /// The answer was lost or truncated.
    Lost(String),
    /// The answer belongs to another request or names none.
    Crossed,
    /// The backend answered with a server error that names no request.
    Unnamed(StatusCode),
    /// No whole answer came in time.
    TimedOut,
}

impl TryError {
    /// Returns whether nothing was handed to a transport.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Closed | Self::BadTarget | Self::NotSent { .. })
    }

    /// Returns the name for metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Closed => "closed",
            Self::BadTarget => "bad-target",
            Self::NotSent { .. } => "connect",
            Self::Lost(_) => "lost",
            Self::Crossed => "crossed",
            Self::Unnamed(StatusCode::SERVICE_UNAVAILABLE) => "busy",
            Self::Unnamed(_) => "server-error",
            Self::TimedOut => "timeout",
        }
    }
}

impl fmt::Display for TryError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Closed => formatter.write_str("the request was closed before it was sent"),
            Self::BadTarget => {
                formatter.write_str("the path is not in normal form; remove dot segments from it")
            }
            Self::NotSent { cause, .. } => {
                write!(formatter, "no connection to the backend server ({cause}); retry later")
            }
            Self::Lost(cause) => write!(formatter, "the answer was lost ({cause})"),
            Self::Crossed => formatter.write_str("the answer does not belong to the request"),
            Self::Unnamed(status) => write!(formatter, "the backend server answered {status}"),
            Self::TimedOut => formatter.write_str("no whole answer came before the deadline"),
        }
    }
}

/// Sends a request to a backend server and reads the whole answer.
pub async fn exchange_once(
    exchange: &RequestExchange,
    backend: &Backend,
    headers: &HeaderMap,
    id: String,
    memory: &AnswerMemory,
) -> Result<BackendAnswer, TryError> {
    let url = build_url(&backend.address, &exchange.target).ok_or(TryError::BadTarget)?;
    let id_value = HeaderValue::from_str(&id).map_err(|_| TryError::BadTarget)?;
    let lane = backend.connections.lend();
    if !exchange.hand_over.hand() {
        return Err(TryError::Closed);
    }
    let remaining = u64::try_from(exchange.remaining().as_millis()).unwrap_or(u64::MAX);
    let mut request = reqwest::Request::new(exchange.method.clone(), url);
    *request.headers_mut() = headers.clone();
    request.headers_mut().insert(X_REQUEST_ID, id_value);
    request.headers_mut().insert(X_DEADLINE_MS, HeaderValue::from(remaining));
    *request.body_mut() = Some(exchange.body.clone().into());
    let receive = async {
        let response = lane.client.execute(request).await.map_err(|error| {
            if error.is_connect() {
                exchange.hand_over.take_back();
                TryError::NotSent { gone: is_refused(&error), cause: describe(&error) }
            } else {
                TryError::Lost(describe(&error))
            }
        })?;
        read_whole(response, exchange, backend, id, memory).await
    };
    let result = match tokio::time::timeout_at(exchange.give_up, receive).await {
        Ok(result) => result,
        Err(_) => Err(TryError::TimedOut),
    };
    if matches!(result, Err(TryError::TimedOut)) {
        lane.replace();
    }
    result
}

async fn read_whole(
    mut response: reqwest::Response,
    exchange: &RequestExchange,
    backend: &Backend,
    id: String,
    memory: &AnswerMemory,
) -> Result<BackendAnswer, TryError> {
    let status = response.status();
    let mut headers = std::mem::take(response.headers_mut());
    if headers.get(X_LEAVING).is_some_and(|value| value == "true") {
        backend.note_leaving();
    }
    match headers.get(X_REQUEST_ID) {
        Some(echoed) if echoed.as_bytes() == id.as_bytes() => {}
        // Servers and proxies refuse work without looking at its headers.
        None if status.is_server_error() => return Err(TryError::Unnamed(status)),
        _ => return Err(TryError::Crossed),
    }
    let bodiless = exchange.method == Method::HEAD
        || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let declared = match declared_length(&headers) {
        _ if bodiless => 0,
        Some(declared) => declared,
        None => return Err(TryError::Lost("the answer declares no length".into())),
    };
    if declared > MAX_ANSWER_BYTES {
        return Err(TryError::Lost(format!(
            "the answer declares {declared} bytes, over {MAX_ANSWER_BYTES}"
        )));
    }
    let permit = memory.reserve(declared).await;
    let body = read_body(&mut response, declared).await?;
    if exchange.method != Method::HEAD {
        headers.remove(header::CONTENT_LENGTH);
    }
    clean_answer(&mut headers);
    let body = match permit {
        Some(permit) => Bytes::from_owner(CountedBody { body, _permit: permit }),
        None => body,
    };
    Ok(BackendAnswer { status, headers, body, echoed_id: id })
}

async fn read_body(response: &mut reqwest::Response, declared: u64) -> Result<Bytes, TryError> {
    let lost = |error: reqwest::Error| TryError::Lost(describe(&error));
    let mut body = response.chunk().await.map_err(lost)?.unwrap_or_default();
    if (body.len() as u64) < declared {
        let mut whole = BytesMut::with_capacity(declared as usize);
        whole.extend_from_slice(&body);
        while let Some(chunk) = response.chunk().await.map_err(lost)? {
            if (whole.len() + chunk.len()) as u64 > declared {
                return Err(TryError::Lost("the answer is longer than declared".into()));
            }
            whole.extend_from_slice(&chunk);
        }
        body = whole.freeze();
    } else if response.chunk().await.map_err(lost)?.is_some_and(|chunk| !chunk.is_empty()) {
        return Err(TryError::Lost("the answer is longer than declared".into()));
    }
    if body.len() as u64 != declared {
        let cause = format!("{} of {declared} bytes came", body.len());
        return Err(TryError::Lost(cause));
    }
    Ok(body)
}

fn declared_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

impl AnswerMemory {
    /// Waits for the memory of one answer; nothing is counted for small ones.
    async fn reserve(&self, bytes: u64) -> Option<OwnedSemaphorePermit> {
        if bytes <= UNCOUNTED_BYTES {
            return None;
        }
        let units = u32::try_from(bytes.div_ceil(MEMORY_UNIT)).unwrap_or(u32::MAX);
        // The semaphore is never closed.
        self.0.clone().acquire_many_owned(units).await.ok()
    }
}

/// Keeps the memory of an answer reserved until its last byte is sent.
struct CountedBody {
    body: Bytes,
    _permit: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for CountedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

fn is_refused(error: &reqwest::Error) -> bool {
    sources(error).any(|source| {
        source
            .downcast_ref::<std::io::Error>()
            .is_some_and(|error| error.kind() == ErrorKind::ConnectionRefused)
    })
}

/// Returns the innermost cause, which is the one that operators need.
fn describe(error: &reqwest::Error) -> String {
    sources(error).last().map_or_else(|| error.to_string(), |source| source.to_string())
}

fn sources<'a>(error: &'a reqwest::Error) -> impl Iterator<Item = &'a (dyn Error + 'static)> {
    std::iter::successors(error.source(), |source| {
        let inner: &'a (dyn Error + 'static) = *source;
        inner.source()
    })
}

/// Returns the time since a start in a form that cannot be negative.
pub fn since(start: Instant) -> std::time::Duration {
    Instant::now().saturating_duration_since(start)
}
