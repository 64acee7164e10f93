//! One try: sends a request to one backend server and reads the whole response.
//!
//! A caller never gets a truncated response or that of another request: the body must have its
//! declared length, and the backend must echo the id of this try.

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
use crate::routing::target::{build_url, remove_internal_headers};

/// Maximum size of a response body, in bytes; a larger one counts as lost.
const MAX_RESPONSE_BYTES: u64 = 16 << 20;
/// Maximum memory of all responses, in units of [`MEMORY_UNIT_BYTES`].
const RESPONSE_MEMORY_UNITS: usize = 64 << 10;
/// Unit in which the memory of responses is counted, in bytes.
const MEMORY_UNIT_BYTES: u64 = 1 << 10;
/// Responses up to this size are not counted, because the concurrency limit bounds their memory.
const MAX_UNCOUNTED_BYTES: u64 = 4 << 10;

/// Memory budget of the responses that are read from backends or sent to callers; clones share it.
#[derive(Clone, Debug)]
pub struct ResponseMemory(Arc<Semaphore>);

impl Default for ResponseMemory {
    fn default() -> Self {
        Self(Arc::new(Semaphore::new(RESPONSE_MEMORY_UNITS)))
    }
}

/// Whole response of a backend server, checked against its declared length and the id of the try.
#[derive(Debug)]
pub struct BackendResponse {
    /// HTTP status, also of a server error.
    pub status: StatusCode,
    /// Headers for the caller, without hop-by-hop and internal ones.
    pub headers: HeaderMap,
    /// Whole body, as long as declared.
    pub body: Bytes,
    /// Id of the try, as echoed by the backend.
    pub echoed_id: String,
}

/// Cause of a try without a whole response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TryError {
    /// The request was closed by a "not run" response; nothing was sent.
    Closed,
    /// Parsing the URL would change the path of the caller, or the id of the try is no valid header
    /// value; nothing was sent.
    BadTarget,
    /// The connection failed; nothing was sent.
    NotSent {
        /// Whether the connection was refused, so that no process listens at the address.
        refused: bool,
        /// Innermost error, for logs and callers.
        cause: String,
    },
    /// The response was lost, truncated or too large, for the given reason.
    Lost(String),
    /// The response has the id of another try, or has none without being a server error.
    MismatchedId,
    /// The backend responded with a server error and no id.
    MissingId(StatusCode),
    /// No whole response arrived before [`RequestExchange::response_deadline`].
    TimedOut,
}

impl TryError {
    /// Returns whether nothing was sent to the backend.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Closed | Self::BadTarget | Self::NotSent { .. })
    }

    /// Returns the value of the `kind` label of failed tries and the `reason` label of refusals.
    pub fn reason_code(&self) -> &'static str {
        match self {
            Self::Closed => "closed",
            Self::BadTarget => "bad-target",
            Self::NotSent { .. } => "connect",
            Self::Lost(_) => "lost",
            Self::MismatchedId => "crossed",
            Self::MissingId(StatusCode::SERVICE_UNAVAILABLE) => "busy",
            Self::MissingId(_) => "server-error",
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
            Self::MismatchedId => formatter.write_str("the answer does not belong to the request"),
            Self::MissingId(status) => {
                write!(formatter, "the backend server answered {status}")
            }
            Self::TimedOut => formatter.write_str("no whole answer came before the deadline"),
        }
    }
}

/// Sends a request to a backend server and reads the whole response.
///
/// # Errors
/// Reports why no whole response arrived, and whether anything was sent.
pub async fn call_backend(
    exchange: &RequestExchange,
    backend: &Backend,
    headers: &HeaderMap,
    id: String,
    memory: &ResponseMemory,
) -> Result<BackendResponse, TryError> {
    let url = build_url(&backend.address, &exchange.target).ok_or(TryError::BadTarget)?;
    let id_value = HeaderValue::from_str(&id).map_err(|_| TryError::BadTarget)?;
    let permit = backend.connections.acquire();
    if !exchange.dispatch.begin() {
        return Err(TryError::Closed);
    }
    let remaining = u64::try_from(exchange.remaining().as_millis()).unwrap_or(u64::MAX);
    let mut request = reqwest::Request::new(exchange.method.clone(), url);
    *request.headers_mut() = headers.clone();
    request.headers_mut().insert(X_REQUEST_ID, id_value);
    request.headers_mut().insert(X_DEADLINE_MS, HeaderValue::from(remaining));
    *request.body_mut() = Some(exchange.body.clone().into());
    let receive = async {
        let response = permit.client.execute(request).await.map_err(|error| {
            if error.is_connect() {
                exchange.dispatch.retract();
                TryError::NotSent { refused: is_refused(&error), cause: innermost_cause(&error) }
            } else {
                TryError::Lost(innermost_cause(&error))
            }
        })?;
        read_whole(response, exchange, backend, id, memory).await
    };
    let result = match tokio::time::timeout_at(exchange.response_deadline, receive).await {
        Ok(result) => result,
        Err(_) => Err(TryError::TimedOut),
    };
    if matches!(result, Err(TryError::TimedOut)) {
        permit.replace();
    }
    result
}

/// Checks the id and the declared length of a response and reads its whole body.
async fn read_whole(
    mut response: reqwest::Response,
    exchange: &RequestExchange,
    backend: &Backend,
    id: String,
    memory: &ResponseMemory,
) -> Result<BackendResponse, TryError> {
    let status = response.status();
    let mut headers = std::mem::take(response.headers_mut());
    if headers.get(X_LEAVING).is_some_and(|value| value == "true") {
        backend.record_leaving();
    }
    match headers.get(X_REQUEST_ID) {
        Some(echoed) if echoed.as_bytes() == id.as_bytes() => {}
        // Servers and proxies may reject a request before they read its headers.
        None if status.is_server_error() => return Err(TryError::MissingId(status)),
        _ => return Err(TryError::MismatchedId),
    }
    let bodiless = exchange.method == Method::HEAD
        || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let declared = match declared_length(&headers) {
        _ if bodiless => 0,
        Some(declared) => declared,
        None => return Err(TryError::Lost("the answer declares no length".into())),
    };
    if declared > MAX_RESPONSE_BYTES {
        return Err(TryError::Lost(format!(
            "the answer declares {declared} bytes, over {MAX_RESPONSE_BYTES}"
        )));
    }
    let permit = memory.reserve(declared).await;
    let body = read_body(&mut response, declared).await?;
    if exchange.method != Method::HEAD {
        headers.remove(header::CONTENT_LENGTH);
    }
    remove_internal_headers(&mut headers);
    let body = match permit {
        Some(permit) => Bytes::from_owner(CountedBody { body, _permit: permit }),
        None => body,
    };
    Ok(BackendResponse { status, headers, body, echoed_id: id })
}

/// Reads a body, which must have exactly the declared length.
async fn read_body(response: &mut reqwest::Response, declared: u64) -> Result<Bytes, TryError> {
    let lost = |error: reqwest::Error| TryError::Lost(innermost_cause(&error));
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

impl ResponseMemory {
    /// Waits for the memory of one response; returns `None` for small ones, which are not counted.
    async fn reserve(&self, bytes: u64) -> Option<OwnedSemaphorePermit> {
        if bytes <= MAX_UNCOUNTED_BYTES {
            return None;
        }
        let units = u32::try_from(bytes.div_ceil(MEMORY_UNIT_BYTES)).unwrap_or(u32::MAX);
        // The semaphore is never closed.
        self.0.clone().acquire_many_owned(units).await.ok()
    }
}

/// Body of a response whose memory stays reserved until its last byte is sent.
struct CountedBody {
    body: Bytes,
    _permit: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for CountedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

/// Returns whether the connection was refused, rather than timed out or unreachable.
fn is_refused(error: &reqwest::Error) -> bool {
    sources(error).any(|source| {
        source
            .downcast_ref::<std::io::Error>()
            .is_some_and(|error| error.kind() == ErrorKind::ConnectionRefused)
    })
}

/// Returns the innermost error, which names the cause for operators.
fn innermost_cause(error: &reqwest::Error) -> String {
    sources(error).last().map_or_else(|| error.to_string(), |source| source.to_string())
}

fn sources<'a>(error: &'a reqwest::Error) -> impl Iterator<Item = &'a (dyn Error + 'static)> {
    std::iter::successors(error.source(), |source| {
        let inner: &'a (dyn Error + 'static) = *source;
        inner.source()
    })
}

/// Returns the time elapsed since `start`; zero if `start` is in the future.
pub fn elapsed_since(start: Instant) -> std::time::Duration {
    Instant::now().saturating_duration_since(start)
}
