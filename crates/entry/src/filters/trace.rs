//! Opens the span of the request and counts its outcome.

use std::sync::Arc;

use async_trait::async_trait;
use lacewingrail_model::invariant::{InvariantName, check};
use lacewingrail_telemetry::spans;
use tracing::Instrument;

use crate::chain::{NextFilter, RequestFilter};
use crate::exchange::{CallerAnswer, RequestExchange, RequestOutcome, TRACEPARENT};
use crate::metrics::EntryMetrics;
use crate::routing::answer::since;

/// Opens spans and counts outcomes.
pub struct TraceFilter {
    metrics: Arc<EntryMetrics>,
}

impl TraceFilter {
    /// Creates the filter.
    pub fn new(metrics: Arc<EntryMetrics>) -> Self {
        Self { metrics }
    }
}

#[async_trait]
impl RequestFilter for TraceFilter {
    async fn apply(&self, mut exchange: Box<RequestExchange>, next: NextFilter) -> CallerAnswer {
        let received = exchange.headers.get(TRACEPARENT).and_then(|value| value.to_str().ok());
        // Without a collector `tracing` writes spans to the log, where one line for each request at
        // the default level would cost more than the request.
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
        let (hand_over, id) = (exchange.hand_over.clone(), exchange.id.clone());
        let run = next.run(exchange);
        let answer = if span.is_disabled() { run.await } else { run.instrument(span).await };
        check(
            InvariantName::NotRunTrue,
            answer.outcome != RequestOutcome::NotRun || hand_over.close(),
            || format!("request {id} was answered \"not run\" after it was handed over"),
        );
        self.metrics.note_request(&service, class, &answer, since(arrival));
        answer
    }
}
