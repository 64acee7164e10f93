//! Sets the deadline of a request and responds with 504 when it passes.

use std::time::Duration;

use async_trait::async_trait;
use http::StatusCode;

use crate::chain::{FilterChain, RequestFilter};
use crate::exchange::{CallerResponse, Refusal, RequestExchange, X_DEADLINE_MS};
use crate::filters::identity::{header_text, invalid_header};

/// Enforces the deadline of each request: `x-deadline-ms` or the policy default, up to the policy
/// maximum.
pub struct DeadlineFilter;

#[async_trait]
impl RequestFilter for DeadlineFilter {
    async fn apply(&self, mut exchange: Box<RequestExchange>, next: FilterChain) -> CallerResponse {
        let timeout = match parse_deadline(&exchange) {
            Ok(timeout) => timeout,
            Err(refusal) => return refusal.into(),
        };
        exchange.deadline = exchange.arrival + timeout;
        exchange.response_deadline = exchange.deadline;
        let (deadline, dispatch) = (exchange.deadline, exchange.dispatch.clone());
        let outcome_path = exchange.outcome_path();
        if let Ok(response) = tokio::time::timeout_at(deadline, next.run(exchange)).await {
            return response;
        }
        let status = StatusCode::GATEWAY_TIMEOUT;
        if dispatch.close_if_unsent() {
            let message = "the deadline passed before the request was sent; allow more time";
            Refusal::not_run(status, "deadline", message).into()
        } else {
            let message = "no answer came before the deadline; the request may have run";
            Refusal::unknown(status, "deadline", message).outcome_path(outcome_path).into()
        }
    }
}

fn parse_deadline(exchange: &RequestExchange) -> Result<Duration, Refusal> {
    let policy = &exchange.policy;
    let Some(value) = header_text(&exchange.headers, &X_DEADLINE_MS)? else {
        return Ok(policy.default_deadline.0.min(policy.max_deadline.0));
    };
    let milliseconds = value
        .parse()
        .map_err(|_| invalid_header("x-deadline-ms is not a number; write whole milliseconds"))?;
    Ok(Duration::from_millis(milliseconds).min(policy.max_deadline.0))
}
