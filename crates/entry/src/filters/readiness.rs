//! Refuses requests until the process has received the settings.
//!
//! A leaving process still serves requests, because the load balancer detects its state with a
//! delay.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use http::StatusCode;
use lacewingrail_membership::Membership;

use crate::chain::{FilterChain, RequestFilter};
use crate::exchange::{CallerResponse, Refusal, RequestExchange};

/// Retry delay sent to a caller until the settings are received.
const SETTINGS_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Refuses requests until the settings have been received once; later outages of their source have
/// no effect.
pub struct ReadinessFilter {
    membership: Membership,
    settings_known: AtomicBool,
}

impl ReadinessFilter {
    /// Creates a filter that waits for the settings of `membership`.
    pub fn new(membership: Membership) -> Self {
        Self { membership, settings_known: AtomicBool::new(false) }
    }

    /// Returns whether the settings have been received since the start.
    fn knows_settings(&self) -> bool {
        if !self.settings_known.load(Ordering::Acquire) && self.membership.ready() {
            self.settings_known.store(true, Ordering::Release);
        }
        self.settings_known.load(Ordering::Acquire)
    }
}

#[async_trait]
impl RequestFilter for ReadinessFilter {
    async fn apply(&self, exchange: Box<RequestExchange>, next: FilterChain) -> CallerResponse {
        if self.knows_settings() {
            return next.run(exchange).await;
        }
        let message = "the process does not know the settings yet; ask another instance";
        Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "not-ready", message)
            .retry_after(SETTINGS_RETRY_DELAY)
            .into()
    }
}
