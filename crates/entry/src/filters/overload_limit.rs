//! Waits for a permit under the concurrency limit of the service.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use http::StatusCode;

use crate::backend::pool::BackendPools;
use crate::chain::{FilterChain, RequestFilter};
use crate::exchange::{CallerResponse, Refusal, RequestExchange};

/// Retry delay sent with a refusal for lack of an available backend server.
const NO_BACKEND_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Limits the concurrent requests of each service; stores the permit in the exchange.
pub struct OverloadLimitFilter {
    pools: Arc<BackendPools>,
}

impl OverloadLimitFilter {
    /// Creates a filter that applies the limiters of `pools`.
    pub fn new(pools: Arc<BackendPools>) -> Self {
        Self { pools }
    }
}

#[async_trait]
impl RequestFilter for OverloadLimitFilter {
    async fn apply(&self, mut exchange: Box<RequestExchange>, next: FilterChain) -> CallerResponse {
        // A query for a recorded outcome needs no backend server.
        if exchange.outcome_key().is_some() {
            return next.run(exchange).await;
        }
        let pool = self.pools.get(&exchange.service).filter(|pool| pool.limiter.has_capacity());
        let Some(pool) = pool else {
            return no_backend().into();
        };
        match pool.limiter.acquire(exchange.class, exchange.deadline).await {
            Ok(permit) => {
                exchange.service_permit = Some(permit);
                next.run(exchange).await
            }
            Err(refusal) => refusal.into(),
        }
    }
}

/// Refuses a request with 503 for lack of a backend server with capacity.
pub fn no_backend() -> Refusal {
    let message = "no backend server of the service can take the request; retry later";
    Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "no-backend", message)
        .retry_after(NO_BACKEND_RETRY_DELAY)
}
