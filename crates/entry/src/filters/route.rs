//! Sends the request to backend servers; the last filter.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use http::StatusCode;
use tokio::time::Instant;

use crate::backend::pool::BackendPools;
use crate::chain::{NextFilter, RequestFilter};
use crate::exchange::{CallerAnswer, Refusal, RequestExchange, RequestOutcome};
use crate::filters::overload_limit::no_backend;
use crate::routing::answer::{TryError, since};
use crate::routing::router::{RequestRouter, RouteError};
use crate::routing::target::build_headers;

/// Time after which a caller may retry a request that could not be sent.
const CONNECT_RETRY: Duration = Duration::from_secs(1);

/// Routes requests.
pub struct RouteFilter {
    pools: Arc<BackendPools>,
    router: RequestRouter,
}

impl RouteFilter {
    /// Creates the filter.
    pub fn new(pools: Arc<BackendPools>, router: RequestRouter) -> Self {
        Self { pools, router }
    }
}

#[async_trait]
impl RequestFilter for RouteFilter {
    async fn apply(&self, mut exchange: Box<RequestExchange>, _next: NextFilter) -> CallerAnswer {
        let Some(pool) = self.pools.get(&exchange.service) else {
            return no_backend().into();
        };
        let ask_at = exchange.ask_path();
        let headers = Arc::new(build_headers(&mut exchange));
        let started = Instant::now();
        if let Some(permit) = exchange.overload_permit.as_mut() {
            permit.note_routed();
        }
        match self.router.route(&exchange, &pool, headers).await {
            Ok(answer) => {
                if let Some(permit) = exchange.overload_permit.as_mut() {
                    permit.note_answer(since(started));
                }
                CallerAnswer {
                    status: answer.status,
                    outcome: RequestOutcome::Done,
                    headers: answer.headers,
                    body: answer.body,
                    reason: "",
                }
            }
            Err(error) => fail(&exchange, error).ask_at(ask_at).into(),
        }
    }
}

/// Describes a request without an answer; it says "not run" only if nothing was handed over.
fn fail(exchange: &RequestExchange, error: RouteError) -> Refusal {
    let closed = exchange.hand_over.close();
    match error {
        RouteError::NoBackend if closed => no_backend(),
        RouteError::Failed(TryError::BadTarget) if closed => {
            let reason = TryError::BadTarget.to_string();
            Refusal::not_run(StatusCode::BAD_REQUEST, "bad-target", reason)
        }
        RouteError::Failed(error) if closed => {
            Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, error.name(), error.to_string())
                .retry_after(CONNECT_RETRY)
        }
        RouteError::Failed(error @ TryError::TimedOut) => {
            Refusal::unknown(StatusCode::GATEWAY_TIMEOUT, error.name(), error.to_string())
        }
        RouteError::Failed(error) => {
            let reason = format!("{error}; the request may have run");
            Refusal::unknown(StatusCode::BAD_GATEWAY, error.name(), reason)
        }
        RouteError::NoBackend => {
            let reason = "no backend server is left to try; the request may have run";
            Refusal::unknown(StatusCode::BAD_GATEWAY, "no-backend", reason)
        }
    }
}
