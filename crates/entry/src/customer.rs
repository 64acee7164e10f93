//! Rate and concurrency limits of customers within one process.
//!
//! The rate is a token bucket that fills by `rate_limit` a second up to `rate_burst`. Only customers
//! of the settings tree get here, so the table does not grow with what callers send.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::StatusCode;
use lacewingrail_model::config::Policy;
use tokio::time::Instant;

use crate::exchange::Refusal;
use crate::lock;

/// Time after which a customer over its concurrency limit is told to retry.
const CONCURRENCY_RETRY: Duration = Duration::from_millis(100);

/// Keeps the use of each customer.
#[derive(Clone, Debug, Default)]
pub struct CustomerLimits {
    uses: Arc<Mutex<HashMap<Arc<str>, CustomerUse>>>,
}

#[derive(Debug)]
struct CustomerUse {
    tokens: f64,
    filled: Instant,
    in_flight: u32,
}

/// Holds one request of a customer's concurrency; dropping it frees the place.
#[derive(Debug)]
pub struct CustomerPermit {
    limits: CustomerLimits,
    customer: Arc<str>,
}

impl CustomerLimits {
    /// Takes a token and a place for one request.
    pub fn acquire(
        &self,
        customer: &Arc<str>,
        policy: &Policy,
        now: Instant,
    ) -> Result<CustomerPermit, Refusal> {
        let burst = f64::from(policy.rate_burst.max(1));
        let mut uses = lock(&self.uses);
        let current = uses.entry(customer.clone()).or_insert(CustomerUse {
            tokens: burst,
            filled: now,
            in_flight: 0,
        });
        if policy.concurrency_limit > 0 && current.in_flight >= policy.concurrency_limit {
            let reason = format!(
                "the customer has {} requests in flight, its limit; wait for one to end",
                current.in_flight
            );
            return Err(refuse("customer-concurrency", reason).retry_after(CONCURRENCY_RETRY));
        }
        if policy.rate_limit > 0.0 {
            let elapsed = now.saturating_duration_since(current.filled).as_secs_f64();
            current.tokens = (current.tokens + elapsed * policy.rate_limit).min(burst);
            current.filled = now;
            if current.tokens < 1.0 {
                let wait = Duration::from_secs_f64((1.0 - current.tokens) / policy.rate_limit);
                let reason = format!(
                    "the customer is over its rate of {} requests a second; retry later",
                    policy.rate_limit
                );
                return Err(refuse("customer-rate", reason).retry_after(wait));
            }
            current.tokens -= 1.0;
        }
        current.in_flight += 1;
        Ok(CustomerPermit { limits: self.clone(), customer: customer.clone() })
    }
}

impl Drop for CustomerPermit {
    fn drop(&mut self) {
        if let Some(current) = lock(&self.limits.uses).get_mut(&self.customer) {
            current.in_flight = current.in_flight.saturating_sub(1);
        }
    }
}

fn refuse(name: &'static str, reason: String) -> Refusal {
    Refusal::not_run(StatusCode::TOO_MANY_REQUESTS, name, reason)
}
