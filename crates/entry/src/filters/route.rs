//! Last filter: sends the request to backend servers.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use http::StatusCode;
use tokio::time::Instant;

use crate::backend::pool::BackendPools;
use crate::chain::{FilterChain, RequestFilter};
use crate::exchange::{CallerResponse, Refusal, RequestExchange, RequestOutcome};
use crate::filters::overload_limit::no_backend;
use crate::routing::backend_call::{TryError, elapsed_since};
use crate::routing::router::{RequestRouter, RouteError};
use crate::routing::target::build_headers;

/// Retry delay sent to a caller whose request could not be sent.
const CONNECT_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Routes requests and translates failures into refusals.
pub struct RouteFilter {
    pools: Arc<BackendPools>,
    router: RequestRouter,
}

impl RouteFilter {
    /// Creates a filter that sends requests with `router`.
    pub fn new(pools: Arc<BackendPools>, router: RequestRouter) -> Self {
        Self { pools, router }
    }
}

#[async_trait]
impl RequestFilter for RouteFilter {
    async fn apply(
        &self,
        mut exchange: Box<RequestExchange>,
        _next: FilterChain,
    ) -> CallerResponse {
        let Some(pool) = self.pools.get(&exchange.service) else {
            return no_backend().into();
        };
        let outcome_path = exchange.outcome_path();
        let headers = Arc::new(build_headers(&mut exchange));
        let started = Instant::now();
        if let Some(permit) = exchange.service_permit.as_mut() {
            permit.record_routing_start();
        }
        match self.router.route(&exchange, &pool, headers).await {
            Ok(response) => {
                if let Some(permit) = exchange.service_permit.as_mut() {
                    permit.record_latency(elapsed_since(started));
                }
                CallerResponse {
                    status: response.status,
                    outcome: RequestOutcome::Done,
                    headers: response.headers,
                    body: response.body,
                    reason_code: "",
                }
            }
            Err(error) => build_refusal(&exchange, error).outcome_path(outcome_path).into(),
        }
    }
}

/// Builds the refusal of a request without a response: "not run" only if nothing was sent.
fn build_refusal(exchange: &RequestExchange, error: RouteError) -> Refusal {
    let closed = exchange.dispatch.close_if_unsent();
    match error {
        RouteError::NoBackend if closed => no_backend(),
        RouteError::Failed(TryError::BadTarget) if closed => {
            let message = TryError::BadTarget.to_string();
            Refusal::not_run(StatusCode::BAD_REQUEST, "bad-target", message)
        }
        RouteError::Failed(error) if closed => Refusal::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            error.reason_code(),
            error.to_string(),
        )
        .retry_after(CONNECT_RETRY_DELAY),
        RouteError::Failed(error @ TryError::TimedOut) => {
            Refusal::unknown(StatusCode::GATEWAY_TIMEOUT, error.reason_code(), error.to_string())
        }
        RouteError::Failed(error) => {
            let message = format!("{error}; the request may have run");
            Refusal::unknown(StatusCode::BAD_GATEWAY, error.reason_code(), message)
        }
        RouteError::NoBackend => {
            let message = "no backend server is left to try; the request may have run";
            Refusal::unknown(StatusCode::BAD_GATEWAY, "no-backend", message)
        }
    }
}
