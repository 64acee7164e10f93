//! Establishes customer, class and policy of the request.
//!
//! The platform's load balancer authenticates callers and sets `x-customer`; this filter only checks
//! that the customer and the service are known, so that tables by name stay bounded.

use std::sync::Arc;

use async_trait::async_trait;
use http::{HeaderMap, HeaderName, StatusCode};
use lacewingrail_membership::Membership;

use crate::backend::pool::BackendPools;
use crate::chain::{NextFilter, RequestFilter};
use crate::exchange::{
    CallerAnswer, Refusal, RequestClass, RequestExchange, X_CLASS, X_CUSTOMER, X_NON_REPEATABLE,
};
use crate::policy::PolicyCache;
use crate::routing::target::is_single;

/// Establishes who asks for what.
pub struct IdentityFilter {
    membership: Membership,
    pools: Arc<BackendPools>,
    policies: PolicyCache,
}

impl IdentityFilter {
    /// Creates the filter.
    pub fn new(membership: Membership, pools: Arc<BackendPools>) -> Self {
        let policies = PolicyCache::new(membership.settings().domain.clone());
        Self { membership, pools, policies }
    }

    fn identify(&self, exchange: &mut RequestExchange) -> Result<(), Refusal> {
        check_single(&exchange.headers)?;
        let config = self.membership.current();
        let customer = text(&exchange.headers, &X_CUSTOMER)?.ok_or_else(|| {
            Refusal::not_run(
                StatusCode::UNAUTHORIZED,
                "no-customer",
                "the header x-customer is missing; send it with the customer's name",
            )
        })?;
        // Before the first settings tree nobody is known; the readiness filter answers then.
        if config.version > 0 && !config.customers.contains_key(customer) {
            let reason = "the customer is unknown; check x-customer or add it to the settings";
            return Err(Refusal::not_run(StatusCode::FORBIDDEN, "unknown-customer", reason));
        }
        let service = &exchange.service;
        let known = config.services.contains_key(&**service) || self.pools.get(service).is_some();
        if config.version > 0 && !known {
            let reason = "the service is unknown; check the first segment of the path";
            return Err(Refusal::not_run(StatusCode::NOT_FOUND, "unknown-service", reason));
        }
        exchange.customer = customer.into();
        if let Some(class) = text(&exchange.headers, &X_CLASS)? {
            exchange.class = RequestClass::parse(class).ok_or_else(|| {
                bad_header("x-class is not a class; write urgent, normal or slow")
            })?;
        }
        exchange.policy = self.policies.get(&config, &exchange.customer, &exchange.service);
        exchange.repeatable = match text(&exchange.headers, &X_NON_REPEATABLE)? {
            None => !exchange.policy.non_repeatable,
            Some("true") => false,
            Some("false") => true,
            Some(_) => return Err(bad_header("x-non-repeatable is neither true nor false")),
        };
        Ok(())
    }
}

#[async_trait]
impl RequestFilter for IdentityFilter {
    async fn apply(&self, mut exchange: Box<RequestExchange>, next: NextFilter) -> CallerAnswer {
        match self.identify(&mut exchange) {
            Ok(()) => next.run(exchange).await,
            Err(refusal) => refusal.into(),
        }
    }
}

/// Returns the text of a header, if it is there.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) => Ok(Some(text.trim())),
        Err(_) => Err(bad_header(&format!("{name} is not text; write it in ASCII"))),
    }
}

/// Describes a header that cannot be used.
pub fn bad_header(reason: &str) -> Refusal {
    Refusal::not_run(StatusCode::BAD_REQUEST, "bad-header", reason)
}

fn check_single(headers: &HeaderMap) -> Result<(), Refusal> {
    let doubled =
        headers.keys().find(|name| is_single(name) && headers.get_all(*name).iter().count() > 1);
    match doubled {
        None => Ok(()),
        Some(name) => Err(bad_header(&format!("{name} occurs more than once; send it once"))),
    }
}
