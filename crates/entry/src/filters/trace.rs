//! Traces a request and counts its outcome.

use std::sync::Arc;

use async_trait::async_trait;
use lacewingrail_model::invariant::{InvariantName, check};
use lacewingrail_telemetry::spans;
use tracing::Instrument;

use crate::chain::{FilterChain, RequestFilter};
use crate::exchange::{CallerResponse, RequestExchange, RequestOutcome, TRACEPARENT};
use crate::metrics::EntryMetrics;
use crate::routing::backend_call::elapsed_since;

/// Opens the span of each request, propagates its trace context and counts the outcome.
pub struct TraceFilter {
    metrics: Arc<EntryMetrics>,
}

impl TraceFilter {
    /// Creates a filter that counts outcomes in `metrics`.
    pub fn new(metrics: Arc<EntryMetrics>) -> Self {
        Self { metrics }
    }
}

#[async_trait]
impl RequestFilter for TraceFilter {
    async fn apply(&self, mut exchange: Box<RequestExchange>, next: FilterChain) -> CallerResponse {
        let received = exchange.headers.get(TRACEPARENT).and_then(|value| value.to_str().ok());
        // Without a collector `tracing` writes spans to the log; at the default level, a line for
        // each request would cost more than the request.
        let span = tracing::debug_span!("request", service = &*exchange.service, id = exchange.id);
        if span.is_disabled() {
            exchange.traceparent = received.unwrap_or_default().to_owned();
        } else {
            if let Some(received) = received {
                spans::set_parent(&span, received);
            }
            exchange.traceparent = spans::traceparent(&span);
        }
        let (service, class, arrival) =
            (exchange.service.clone(), exchange.class, exchange.arrival);
        let (dispatch, id) = (exchange.dispatch.clone(), exchange.id.clone());
        let run = next.run(exchange);
        let response = if span.is_disabled() { run.await } else { run.instrument(span).await };
        check(
            InvariantName::NotRunTrue,
            response.outcome != RequestOutcome::NotRun || dispatch.close_if_unsent(),
            || format!("request {id} got the response \"not run\" after it was sent"),
        );
        self.metrics.record_request(&service, class, &response, elapsed_since(arrival));
        response
    }
}
