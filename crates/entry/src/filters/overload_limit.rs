//! Waits for a place in the concurrency limit of the service.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use http::StatusCode;

use crate::backend::pool::BackendPools;
use crate::chain::{NextFilter, RequestFilter};
use crate::exchange::{CallerAnswer, Refusal, RequestExchange};

/// Time after which backend servers may be listed again.
const NO_BACKEND_RETRY: Duration = Duration::from_millis(500);

/// Limits the concurrency of services.
pub struct OverloadLimitFilter {
    pools: Arc<BackendPools>,
}

impl OverloadLimitFilter {
    /// Creates the filter.
    pub fn new(pools: Arc<BackendPools>) -> Self {
        Self { pools }
    }
}

#[async_trait]
impl RequestFilter for OverloadLimitFilter {
    async fn apply(&self, mut exchange: Box<RequestExchange>, next: NextFilter) -> CallerAnswer {
        // A question for a recorded outcome uses no backend server.
        if exchange.outcome_key().is_some() {
            return next.run(exchange).await;
        }
        let pool = self.pools.get(&exchange.service).filter(|pool| pool.limiter.has_capacity());
        let Some(pool) = pool else {
            return no_backend().into();
        };
        match pool.limiter.acquire(exchange.class, exchange.deadline).await {
            Ok(permit) => {
                exchange.overload_permit = Some(permit);
                next.run(exchange).await
            }
            Err(refusal) => refusal.into(),
        }
    }
}

/// Describes a request that no backend server can take.
pub fn no_backend() -> Refusal {
    let reason = "no backend server of the service can take the request; retry later";
    Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "no-backend", reason)
        .retry_after(NO_BACKEND_RETRY)
}
