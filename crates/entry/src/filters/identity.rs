//! Identifies the customer, class and policy of a request.
//!
//! The platform's load balancer authenticates callers and sets `x-customer`; this filter only
//! checks that the customer and the service are known, which bounds the tables keyed by their
//! names.

use std::sync::Arc;

use async_trait::async_trait;
use http::{HeaderMap, HeaderName, StatusCode};
use lacewingrail_membership::Membership;

use crate::backend::pool::BackendPools;
use crate::chain::{FilterChain, RequestFilter};
use crate::exchange::{
    CallerResponse, Refusal, RequestClass, RequestExchange, X_CLASS, X_CUSTOMER, X_NON_REPEATABLE,
};
use crate::policy::PolicyCache;
use crate::routing::target::is_single_valued;

/// Sets customer, class, policy and repeatability of a request from its headers and the settings.
pub struct IdentityFilter {
    membership: Membership,
    pools: Arc<BackendPools>,
    policies: PolicyCache,
}

impl IdentityFilter {
    /// Creates a filter that accepts the customers of the settings, and the services of the
    /// settings and of `pools`.
    pub fn new(membership: Membership, pools: Arc<BackendPools>) -> Self {
        let policies = PolicyCache::new(membership.settings().domain.clone());
        Self { membership, pools, policies }
    }

    /// Sets customer, class, policy and repeatability, or refuses an unknown customer or service.
    fn identify(&self, exchange: &mut RequestExchange) -> Result<(), Refusal> {
        check_single_valued(&exchange.headers)?;
        let config = self.membership.current();
        let customer = header_text(&exchange.headers, &X_CUSTOMER)?.ok_or_else(|| {
            Refusal::not_run(
                StatusCode::UNAUTHORIZED,
                "no-customer",
                "the header x-customer is missing; send it with the customer's name",
            )
        })?;
        // Without a settings tree no customer is known; the readiness filter refuses the request.
        if config.version > 0 && !config.customers.contains_key(customer) {
            let message = "the customer is unknown; check x-customer or add it to the settings";
            return Err(Refusal::not_run(StatusCode::FORBIDDEN, "unknown-customer", message));
        }
        let service = &exchange.service;
        let known = config.services.contains_key(&**service) || self.pools.get(service).is_some();
        if config.version > 0 && !known {
            let message = "the service is unknown; check the first segment of the path";
            return Err(Refusal::not_run(StatusCode::NOT_FOUND, "unknown-service", message));
        }
        exchange.customer = customer.into();
        if let Some(class) = header_text(&exchange.headers, &X_CLASS)? {
            exchange.class = RequestClass::parse(class).ok_or_else(|| {
                invalid_header("x-class is not a class; write urgent, normal or slow")
            })?;
        }
        exchange.policy = self.policies.get(&config, &exchange.customer, &exchange.service);
        exchange.repeatable = match header_text(&exchange.headers, &X_NON_REPEATABLE)? {
            None => !exchange.policy.non_repeatable,
            Some("true") => false,
            Some("false") => true,
            Some(_) => {
                return Err(invalid_header("x-non-repeatable is neither true nor false"));
            }
        };
        Ok(())
    }
}

#[async_trait]
impl RequestFilter for IdentityFilter {
    async fn apply(&self, mut exchange: Box<RequestExchange>, next: FilterChain) -> CallerResponse {
        match self.identify(&mut exchange) {
            Ok(()) => next.run(exchange).await,
            Err(refusal) => refusal.into(),
        }
    }
}

/// Returns the trimmed value of a header; `None` if it is missing.
///
/// # Errors
/// Refuses a value that is not visible ASCII.
pub fn header_text<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Result<Option<&'a str>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(header_text) => Ok(Some(header_text.trim())),
        Err(_) => Err(invalid_header(&format!("{name} is not text; write it in ASCII"))),
    }
}

/// Refuses a request with 400 because of an invalid header.
pub fn invalid_header(message: &str) -> Refusal {
    Refusal::not_run(StatusCode::BAD_REQUEST, "bad-header", message)
}

/// Refuses a request in which a header that this process interprets occurs more than once.
fn check_single_valued(headers: &HeaderMap) -> Result<(), Refusal> {
    let repeated = headers
        .keys()
        .find(|name| is_single_valued(name) && headers.get_all(*name).iter().count() > 1);
    match repeated {
        None => Ok(()),
        Some(name) => Err(invalid_header(&format!("{name} occurs more than once; send it once"))),
    }
}
