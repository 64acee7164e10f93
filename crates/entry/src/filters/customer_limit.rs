//! Applies the rate and concurrency limits of the customer.

use async_trait::async_trait;
use tokio::time::Instant;

use crate::chain::{FilterChain, RequestFilter};
use crate::customer::CustomerLimits;
use crate::exchange::{CallerResponse, RequestExchange};

/// Refuses requests of a customer over its limits; stores the permit in the exchange.
#[derive(Default)]
pub struct CustomerLimitFilter {
    limits: CustomerLimits,
}

#[async_trait]
impl RequestFilter for CustomerLimitFilter {
    async fn apply(&self, mut exchange: Box<RequestExchange>, next: FilterChain) -> CallerResponse {
        match self.limits.acquire(&exchange.customer, &exchange.policy, Instant::now()) {
            Ok(permit) => {
                exchange.customer_permit = Some(permit);
                next.run(exchange).await
            }
            Err(refusal) => refusal.into(),
        }
    }
}
