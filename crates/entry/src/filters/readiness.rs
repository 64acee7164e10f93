//! Refuses requests while the process does not know the settings.
//!
//! A process that is leaving still serves, because the load balancer learns of it with a lag.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use http::StatusCode;
use lacewingrail_membership::Membership;

use crate::chain::{NextFilter, RequestFilter};
use crate::exchange::{CallerAnswer, Refusal, RequestExchange};

/// Time after which a caller may find the settings known.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Refuses requests before the settings are known.
pub struct ReadinessFilter {
    membership: Membership,
    settled: AtomicBool,
}

impl ReadinessFilter {
    /// Creates the filter.
    pub fn new(membership: Membership) -> Self {
        Self { membership, settled: AtomicBool::new(false) }
    }

    fn is_settled(&self) -> bool {
        if !self.settled.load(Ordering::Acquire) && self.membership.ready() {
            self.settled.store(true, Ordering::Release);
        }
        self.settled.load(Ordering::Acquire)
    }
}

#[async_trait]
impl RequestFilter for ReadinessFilter {
    async fn apply(&self, exchange: Box<RequestExchange>, next: NextFilter) -> CallerAnswer {
        if self.is_settled() {
            return next.run(exchange).await;
        }
        let reason = "the process does not know the settings yet; ask another instance";
        Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "not-ready", reason)
            .retry_after(RETRY_AFTER)
            .into()
    }
}
