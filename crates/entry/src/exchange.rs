//! A request as the filter chain processes it, and the response to its caller.

use std::fmt;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use axum::body::Body;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, Version, header};
use lacewingrail_listener::{BodyReader, MemoryCharge, RefusalReason, RequestRefusal};
use lacewingrail_model::config::Policy;
use serde::Serialize;
use tokio::time::Instant;

use crate::customer::CustomerPermit;
use crate::drain::InFlightGuard;
use crate::overload::ServicePermit;

/// Name of the customer that sends the request; set by the load balancer.
pub const X_CUSTOMER: HeaderName = HeaderName::from_static("x-customer");
/// Priority class of a request: `urgent`, `normal` or `slow`; `normal` if absent.
pub const X_CLASS: HeaderName = HeaderName::from_static("x-class");
/// Time left until the deadline of a request, in milliseconds.
pub const X_DEADLINE_MS: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Idempotency key, required on non-repeatable requests; scoped to the customer.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// `true` or `false`; overrides the policy on whether a request must run at most once.
pub const X_NON_REPEATABLE: HeaderName = HeaderName::from_static("x-non-repeatable");
/// Outcome of a request in a response; see [`RequestOutcome::name`].
pub const X_OUTCOME: HeaderName = HeaderName::from_static("x-outcome");
/// Id of one try; the backend server must echo it, so that responses cannot be mixed up.
pub const X_REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Set to `true` by a backend server that is draining and must get no new requests.
pub const X_LEAVING: HeaderName = HeaderName::from_static("x-leaving");
/// W3C trace context.
pub const TRACEPARENT: HeaderName =
    HeaderName::from_static(lacewingrail_telemetry::spans::TRACEPARENT);

/// Path under a service at which recorded outcomes are read, followed by the idempotency key.
const OUTCOME_PREFIX: &str = "/.outcome/";

/// Priority of a request in the queue of its service.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RequestClass {
    /// Granted a permit before all others.
    Urgent,
    /// Granted a permit before slow requests; the default.
    Normal,
    /// Granted a permit last, but promoted as its deadline approaches.
    Slow,
}

impl RequestClass {
    /// All classes, highest priority first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Normal, Self::Slow];

    /// Returns the class of a header value; `None` for an unknown name.
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|class| class.name() == text)
    }

    /// Returns the name in headers and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Normal => "normal",
            Self::Slow => "slow",
        }
    }
}

/// Whether a request has run, as far as this process knows; sent as `x-outcome`.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestOutcome {
    /// A backend server returned a whole response.
    Done,
    /// No part of it reached a backend server, so that it can be retried safely.
    NotRun,
    /// It may have run: it was sent, but no whole response arrived.
    Unknown,
}

impl RequestOutcome {
    /// Returns the name in headers and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Number of tries of a request that may have been sent to a backend server, and whether the
/// request is closed to further tries.
///
/// Closing a request and starting a try exclude each other, so that a "not run" response stays true
/// even if another task is about to start a try.
#[derive(Debug, Default)]
pub struct DispatchState(AtomicU32);

/// Bit that marks a closed request; the bits below count the tries that may have been sent.
const CLOSED: u32 = 1 << 31;

impl DispatchState {
    /// Counts a try that is about to be sent; returns false if the request is closed.
    pub fn begin(&self) -> bool {
        let count = |state: u32| (state & CLOSED == 0).then_some(state + 1);
        self.0.fetch_update(Ordering::AcqRel, Ordering::Acquire, count).is_ok()
    }

    /// Removes a try whose connection failed before anything was sent.
    pub fn retract(&self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }

    /// Returns the number of tries that may have been sent.
    pub fn count(&self) -> u32 {
        self.0.load(Ordering::Acquire) & !CLOSED
    }

    /// Closes the request if no try may have been sent; returns whether it is closed.
    pub fn close_if_unsent(&self) -> bool {
        match self.0.compare_exchange(0, CLOSED, Ordering::AcqRel, Ordering::Acquire) {
            Ok(_) => true,
            Err(state) => state == CLOSED,
        }
    }
}

/// Request of a caller, with the state that the filters add to it.
#[derive(Debug)]
pub struct RequestExchange {
    /// Instance id and a counter, unique over all processes.
    pub id: String,
    /// Time at which the request head was received.
    pub arrival: Instant,
    /// HTTP method, forwarded unchanged.
    pub method: Method,
    /// HTTP version used by the caller.
    pub version: Version,
    /// Service name, the first segment of the path.
    pub service: Arc<str>,
    /// Path after the service segment, with the query.
    pub target: String,
    /// Headers from the caller; empty once the headers for the backend servers are built.
    pub headers: HeaderMap,
    /// Unread body; empty once the body limit filter has read it. The mutex is never locked: it
    /// only makes the exchange `Sync`.
    pub unread_body: Mutex<Body>,
    /// Whole body; empty until the body limit filter has read it.
    pub body: Bytes,
    /// Customer name; empty until the identity filter has run.
    pub customer: Arc<str>,
    /// Priority class; normal until the identity filter has run.
    pub class: RequestClass,
    /// Policy for the failure domain, customer and service; the default policy until the identity
    /// filter has run.
    pub policy: Arc<Policy>,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Time by which the caller needs the response.
    pub deadline: Instant,
    /// Time until which a try waits for its response; later than the deadline if the outcome is
    /// recorded.
    pub response_deadline: Instant,
    /// Trace context sent to the backend server; empty for none.
    pub traceparent: String,
    /// Tries that may have been sent; shared with the filters that respond "not run".
    pub dispatch: Arc<DispatchState>,
    /// Reader of the body, which bounds its time and memory; `None` only outside a server.
    pub body_reader: Option<BodyReader>,
    /// Memory of the body; `None` without a body.
    pub body_charge: Option<MemoryCharge>,
    /// Permit under the customer's concurrency limit; `None` until the customer limit filter has
    /// run.
    pub customer_permit: Option<CustomerPermit>,
    /// Permit under the service's concurrency limit; `None` until the overload limit filter has run
    /// and for outcome queries.
    pub service_permit: Option<ServicePermit>,
    /// Guard for which a shutdown of the process waits.
    pub in_flight: InFlightGuard,
}

impl RequestExchange {
    /// Returns the unread body and leaves an empty one in its place.
    pub fn take_unread_body(&mut self) -> Body {
        let unread_body = self.unread_body.get_mut().unwrap_or_else(PoisonError::into_inner);
        std::mem::replace(unread_body, Body::empty())
    }

    /// Returns the time left until the deadline; zero once it has passed.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the idempotency key if the request queries a recorded outcome.
    pub fn outcome_key(&self) -> Option<&str> {
        if self.method != Method::GET {
            return None;
        }
        self.target.strip_prefix(OUTCOME_PREFIX)
    }

    /// Returns the path at which the caller can query the outcome of a non-repeatable request.
    pub fn outcome_path(&self) -> Option<String> {
        let key = self.headers.get(IDEMPOTENCY_KEY)?.to_str().ok()?;
        (!self.repeatable).then(|| format!("/{}{OUTCOME_PREFIX}{}", self.service, key.trim()))
    }
}

/// Response to a caller, with the outcome of the request.
#[derive(Debug)]
pub struct CallerResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Whether the request has run; sent as `x-outcome`.
    pub outcome: RequestOutcome,
    /// Headers besides the outcome.
    pub headers: HeaderMap,
    /// Whole body; empty for none.
    pub body: Bytes,
    /// Code of a refusal or failure for metrics; empty for the response of a backend server.
    pub reason_code: &'static str,
}

impl CallerResponse {
    /// Builds the HTTP response with the outcome header.
    pub fn into_response(self) -> http::Response<Body> {
        let mut response = http::Response::new(Body::from(self.body));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response.headers_mut().insert(X_OUTCOME, HeaderValue::from_static(self.outcome.name()));
        response
    }
}

/// Response to a request that got none from a backend server, with the cause.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// HTTP status.
    pub status: StatusCode,
    /// Whether the request may have run.
    pub outcome: RequestOutcome,
    /// Short code of the cause, used as a metric label.
    pub reason_code: &'static str,
    /// Cause and remedy, for the caller.
    pub message: String,
    /// Delay after which a retry may succeed; `None` if a retry cannot help.
    pub retry_after: Option<Duration>,
    /// Path at which the caller can query the outcome; `None` if none is recorded.
    pub outcome_path: Option<String>,
}

/// JSON body of a refusal; the field names are part of the API.
#[derive(Serialize)]
struct RefusalBody<'a> {
    outcome: RequestOutcome,
    reason: &'a str,
    retry_after_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    ask_at: Option<&'a str>,
}

impl Refusal {
    /// Creates the refusal of a request of which nothing was sent to a backend server.
    pub fn not_run<M>(status: StatusCode, reason_code: &'static str, message: M) -> Self
    where
        M: Into<String>,
    {
        let (message, outcome) = (message.into(), RequestOutcome::NotRun);
        Self { status, outcome, reason_code, message, retry_after: None, outcome_path: None }
    }

    /// Creates the refusal of a request that may have run.
    pub fn unknown<M>(status: StatusCode, reason_code: &'static str, message: M) -> Self
    where
        M: Into<String>,
    {
        Self { outcome: RequestOutcome::Unknown, ..Self::not_run(status, reason_code, message) }
    }

    /// Sets the delay after which a retry may succeed.
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Sets the path at which the caller can query the outcome.
    pub fn outcome_path(mut self, path: Option<String>) -> Self {
        self.outcome_path = path;
        self
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.outcome.name(), self.message)
    }
}

impl From<RequestRefusal> for Refusal {
    fn from(refusal: RequestRefusal) -> Self {
        let reason_code = match refusal.reason {
            RefusalReason::BodyLimit => "body-too-large",
            RefusalReason::BodyTimeout => "body-slow",
            RefusalReason::MemoryLimit => "body-memory",
            reason => reason.name(),
        };
        let converted = Self::not_run(refusal.status, reason_code, refusal.message);
        match refusal.retry {
            Some(delay) => converted.retry_after(delay),
            None => converted,
        }
    }
}

impl From<Refusal> for CallerResponse {
    fn from(refusal: Refusal) -> Self {
        let retry_after_ms =
            refusal.retry_after.map(|delay| u64::try_from(delay.as_millis()).unwrap_or(u64::MAX));
        let body = RefusalBody {
            outcome: refusal.outcome,
            reason: &refusal.message,
            retry_after_ms,
            ask_at: refusal.outcome_path.as_deref(),
        };
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(milliseconds) = retry_after_ms {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(milliseconds.div_ceil(1000)));
        }
        // Serialization cannot fail: the body contains only text, numbers and a unit variant.
        let body = Bytes::from(serde_json::to_vec(&body).unwrap_or_default());
        Self {
            status: refusal.status,
            outcome: refusal.outcome,
            headers,
            body,
            reason_code: refusal.reason_code,
        }
    }
}
