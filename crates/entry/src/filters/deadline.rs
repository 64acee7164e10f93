//! Sets the deadline of the request and answers when it passes.

use std::time::Duration;

use async_trait::async_trait;
use http::StatusCode;

use crate::chain::{NextFilter, RequestFilter};
use crate::exchange::{CallerAnswer, Refusal, RequestExchange, X_DEADLINE_MS};
use crate::filters::identity::{bad_header, text};

/// Enforces deadlines.
pub struct DeadlineFilter;

#[async_trait]
impl RequestFilter for DeadlineFilter {
    async fn apply(&self, mut exchange: Box<RequestExchange>, next: NextFilter) -> CallerAnswer {
        let time = match read_deadline(&exchange) {
            Ok(time) => time,
            Err(refusal) => return refusal.into(),
        };
        exchange.deadline = exchange.arrival + time;
        exchange.give_up = exchange.deadline;
        let (deadline, hand_over) = (exchange.deadline, exchange.hand_over.clone());
        let ask_at = exchange.ask_path();
        if let Ok(answer) = tokio::time::timeout_at(deadline, next.run(exchange)).await {
            return answer;
        }
        let status = StatusCode::GATEWAY_TIMEOUT;
        if hand_over.close() {
            let reason = "the deadline passed before the request was sent; allow more time";
            Refusal::not_run(status, "deadline", reason).into()
        } else {
            let reason = "no answer came before the deadline; the request may have run";
            Refusal::unknown(status, "deadline", reason).ask_at(ask_at).into()
        }
    }
}

fn read_deadline(exchange: &RequestExchange) -> Result<Duration, Refusal> {
    let policy = &exchange.policy;
    let Some(text) = text(&exchange.headers, &X_DEADLINE_MS)? else {
        return Ok(policy.default_deadline.0.min(policy.max_deadline.0));
    };
    let milliseconds = text
        .parse()
        .map_err(|_| bad_header("x-deadline-ms is not a number; write whole milliseconds"))?;
    Ok(Duration::from_millis(milliseconds).min(policy.max_deadline.0))
}
