//! Rate and concurrency limits of customers within one process.
//!
//! The rate limit is a token bucket, refilled by `rate_limit` tokens a second up to `rate_burst`.
//! The identity filter refuses unknown customers, so the table is bounded by the settings tree.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::StatusCode;
use lacewingrail_model::config::Policy;
use tokio::time::Instant;

use crate::exchange::Refusal;
use crate::lock;

/// Retry delay sent with a refusal because of the concurrency limit.
const CONCURRENCY_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Token bucket and requests in flight of each customer in this process; clones share them.
#[derive(Clone, Debug, Default)]
pub struct CustomerLimits {
    usage: Arc<Mutex<HashMap<Arc<str>, CustomerUsage>>>,
}

#[derive(Debug)]
struct CustomerUsage {
    tokens: f64,
    refilled_at: Instant,
    in_flight: u32,
}

/// Permit for one request under a customer's concurrency limit; released on drop.
#[derive(Debug)]
pub struct CustomerPermit {
    limits: CustomerLimits,
    customer: Arc<str>,
}

impl CustomerLimits {
    /// Takes a token and a concurrency permit for one request.
    ///
    /// # Errors
    /// Refuses the request with 429 and a retry delay if either limit is reached.
    pub fn acquire(
        &self,
        customer: &Arc<str>,
        policy: &Policy,
        now: Instant,
    ) -> Result<CustomerPermit, Refusal> {
        let burst = f64::from(policy.rate_burst.max(1));
        let mut usage = lock(&self.usage);
        let current = usage.entry(customer.clone()).or_insert(CustomerUsage {
            tokens: burst,
            refilled_at: now,
            in_flight: 0,
        });
        if policy.concurrency_limit > 0 && current.in_flight >= policy.concurrency_limit {
            let message = format!(
                "the customer has {} requests in flight, its limit; wait for one to end",
                current.in_flight
            );
            return Err(
                refuse("customer-concurrency", message).retry_after(CONCURRENCY_RETRY_DELAY)
            );
        }
        if policy.rate_limit > 0.0 {
            let elapsed = now.saturating_duration_since(current.refilled_at).as_secs_f64();
            current.tokens = (current.tokens + elapsed * policy.rate_limit).min(burst);
            current.refilled_at = now;
            if current.tokens < 1.0 {
                let wait = Duration::from_secs_f64((1.0 - current.tokens) / policy.rate_limit);
                let message = format!(
                    "the customer is over its rate of {} requests a second; retry later",
                    policy.rate_limit
                );
                return Err(refuse("customer-rate", message).retry_after(wait));
            }
            current.tokens -= 1.0;
        }
        current.in_flight += 1;
        Ok(CustomerPermit { limits: self.clone(), customer: customer.clone() })
    }
}

impl Drop for CustomerPermit {
    fn drop(&mut self) {
        if let Some(current) = lock(&self.limits.usage).get_mut(&self.customer) {
            current.in_flight = current.in_flight.saturating_sub(1);
        }
    }
}

fn refuse(reason_code: &'static str, message: String) -> Refusal {
    Refusal::not_run(StatusCode::TOO_MANY_REQUESTS, reason_code, message)
}
