//! Reads the request body up to the size limit of the policy.
//!
//! The whole body is read before anything is sent, because retries send it again and a claim
//! includes its digest. The memory of all bodies is bounded.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use axum::body::HttpBody;
use http::{HeaderMap, StatusCode, header};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::chain::{FilterChain, RequestFilter};
use crate::exchange::{CallerResponse, Refusal, RequestExchange};

/// Maximum memory of all request bodies, in units of [`MEMORY_UNIT_BYTES`].
const BODY_MEMORY_UNITS: usize = 64 << 10;
/// Unit in which the memory of bodies is counted, in bytes.
const MEMORY_UNIT_BYTES: u64 = 1 << 10;
/// Maximum time for a caller to send its body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads request bodies and reserves memory for them.
pub struct BodyLimitFilter {
    memory: Arc<Semaphore>,
}

impl BodyLimitFilter {
    /// Creates a filter with its own memory budget.
    pub fn new() -> Self {
        Self { memory: Arc::new(Semaphore::new(BODY_MEMORY_UNITS)) }
    }

    /// Reads the body into the exchange and returns the reserved memory; `None` without a body.
    async fn read(
        &self,
        exchange: &mut RequestExchange,
    ) -> Result<Option<OwnedSemaphorePermit>, Refusal> {
        let limit = exchange.policy.max_body_bytes;
        let unread_body = exchange.take_unread_body();
        if unread_body.is_end_stream() {
            return Ok(None);
        }
        let declared = declared_length(&exchange.headers)?;
        if declared.is_some_and(|declared| declared > limit) {
            return Err(too_large(limit));
        }
        // A body of unknown length reserves as much memory as the limit allows.
        let units = declared.unwrap_or(limit).div_ceil(MEMORY_UNIT_BYTES);
        let permit = self.reserve(units)?;
        let limit_usize = usize::try_from(limit).unwrap_or(usize::MAX);
        let read =
            tokio::time::timeout(BODY_TIMEOUT, axum::body::to_bytes(unread_body, limit_usize));
        exchange.body = match read.await {
            Ok(Ok(body)) => body,
            Ok(Err(error)) if is_length_limit(&error) => return Err(too_large(limit)),
            Ok(Err(_)) => {
                let message = "the request body ended early; send it whole";
                return Err(Refusal::not_run(StatusCode::BAD_REQUEST, "body-broken", message));
            }
            Err(_) => {
                let message = "the request body came too slowly; send it within 10 s";
                return Err(Refusal::not_run(StatusCode::REQUEST_TIMEOUT, "body-slow", message));
            }
        };
        Ok(Some(permit))
    }

    /// Reserves memory without waiting, or refuses the request with 503.
    fn reserve(&self, units: u64) -> Result<OwnedSemaphorePermit, Refusal> {
        let units = u32::try_from(units).unwrap_or(u32::MAX);
        self.memory.clone().try_acquire_many_owned(units).map_err(|_| {
            let message = "the process holds too many request bodies; retry later";
            Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "body-memory", message)
                .retry_after(Duration::from_secs(1))
        })
    }
}

impl Default for BodyLimitFilter {
    fn default() -> Self {
        Self::new()
    }
}

#[async_trait]
impl RequestFilter for BodyLimitFilter {
    async fn apply(&self, mut exchange: Box<RequestExchange>, next: FilterChain) -> CallerResponse {
        match self.read(&mut exchange).await {
            Ok(permit) => {
                exchange.body_permit = permit;
                next.run(exchange).await
            }
            Err(refusal) => refusal.into(),
        }
    }
}

fn declared_length(headers: &HeaderMap) -> Result<Option<u64>, Refusal> {
    let Some(value) = headers.get(header::CONTENT_LENGTH) else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    parsed.map(Some).ok_or_else(|| {
        let message = "content-length is not a number; send the length of the body";
        Refusal::not_run(StatusCode::BAD_REQUEST, "bad-header", message)
    })
}

fn too_large(limit: u64) -> Refusal {
    let message = format!("the body is over {limit} bytes; send less or raise max_body_bytes");
    Refusal::not_run(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large", message)
}

/// Returns whether reading failed because the body exceeds the size limit.
fn is_length_limit(error: &axum::Error) -> bool {
    let first: Option<&(dyn std::error::Error + 'static)> = Some(error);
    std::iter::successors(first, |source| source.source())
        .any(|source| source.is::<http_body_util::LengthLimitError>())
}
