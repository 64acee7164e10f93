//! Reads the request body up to the size limit of the policy.
//!
//! The whole body is read before anything is sent, because retries send it again and a claim
//! includes its digest. The listener bounds the memory of all bodies and the time of each.

use async_trait::async_trait;
use axum::body::HttpBody;
use http::{HeaderMap, StatusCode, header};
use lacewingrail_listener::{BodyError, ReceivedBody, RefusalReason};

use crate::chain::{FilterChain, RequestFilter};
use crate::exchange::{CallerResponse, Refusal, RequestExchange};

/// Reads request bodies.
#[derive(Debug, Default)]
pub struct BodyLimitFilter;

impl BodyLimitFilter {
    /// Reads the body; `None` without one.
    async fn read(exchange: &mut RequestExchange) -> Result<Option<ReceivedBody>, Refusal> {
        let unread_body = exchange.take_unread_body();
        if unread_body.is_end_stream() {
            return Ok(None);
        }
        check_declared_length(&exchange.headers)?;
        let Some(reader) = exchange.body_reader.take() else {
            let message = "the server has no reader for the body; report this fault";
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            return Err(Refusal::not_run(status, "no-body-reader", message));
        };
        let limit = exchange.policy.max_body_bytes;
        let limit_usize = usize::try_from(limit).unwrap_or(usize::MAX);
        match reader.read(unread_body, limit_usize).await {
            Ok(body) => Ok(Some(body)),
            Err(BodyError::Refused(refusal)) if refusal.reason == RefusalReason::BodyLimit => {
                Err(too_large(limit))
            }
            Err(BodyError::Refused(refusal)) => Err(refusal.into()),
            Err(BodyError::Broken(_)) => {
                let message = "the request body ended early; send it whole";
                Err(Refusal::not_run(StatusCode::BAD_REQUEST, "body-broken", message))
            }
        }
    }
}

#[async_trait]
impl RequestFilter for BodyLimitFilter {
    async fn apply(&self, mut exchange: Box<RequestExchange>, next: FilterChain) -> CallerResponse {
        match Self::read(&mut exchange).await {
            Ok(Some(body)) => {
                exchange.body = body.bytes;
                exchange.body_charge = Some(body.charge);
                next.run(exchange).await
            }
            Ok(None) => next.run(exchange).await,
            Err(refusal) => refusal.into(),
        }
    }
}

fn check_declared_length(headers: &HeaderMap) -> Result<(), Refusal> {
    let Some(value) = headers.get(header::CONTENT_LENGTH) else {
        return Ok(());
    };
    let parsed = value.to_str().ok().and_then(|text| text.parse::<u64>().ok());
    parsed.map(|_| ()).ok_or_else(|| {
        let message = "content-length is not a number; send the length of the body";
        Refusal::not_run(StatusCode::BAD_REQUEST, "bad-header", message)
    })
}

fn too_large(limit: u64) -> Refusal {
    let message = format!("the body is over {limit} bytes; send less or raise max_body_bytes");
    Refusal::not_run(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large", message)
}
