//! One request on its way through the filters, and the answer that its caller gets.

use std::fmt;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use axum::body::Body;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, Version, header};
use lacewingrail_model::config::Policy;
use serde::Serialize;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;

use crate::customer::CustomerPermit;
use crate::drain::InFlightGuard;
use crate::overload::OverloadPermit;

/// Customer for which a request is made.
pub const X_CUSTOMER: HeaderName = HeaderName::from_static("x-customer");
/// Class of a request: `urgent`, `normal` or `slow`.
pub const X_CLASS: HeaderName = HeaderName::from_static("x-class");
/// Time that a request has left, in milliseconds.
pub const X_DEADLINE_MS: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Key under which a non-repeatable request runs at most once.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// States whether a request must run at most once.
pub const X_NON_REPEATABLE: HeaderName = HeaderName::from_static("x-non-repeatable");
/// Outcome of a request.
pub const X_OUTCOME: HeaderName = HeaderName::from_static("x-outcome");
/// Id of one try; the backend server returns it.
pub const X_REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Set by a backend server that must get no new work.
pub const X_LEAVING: HeaderName = HeaderName::from_static("x-leaving");
/// Trace context.
pub const TRACEPARENT: HeaderName =
    HeaderName::from_static(lacewingrail_telemetry::spans::TRACEPARENT);

/// Path under a service at which recorded outcomes are found, followed by the key.
const OUTCOME_PREFIX: &str = "/.outcome/";

/// Orders requests under load; urgent goes first.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RequestClass {
    /// Served before all others.
    Urgent,
    /// Served before slow work.
    Normal,
    /// Served last, yet by its own deadline.
    Slow,
}

impl RequestClass {
    /// Every class, in order of service.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Normal, Self::Slow];

    /// Returns the class that a header value names.
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

/// States what became of a request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestOutcome {
    /// A backend server answered it.
    Done,
    /// It surely did not run.
    NotRun,
    /// It may have run.
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

/// Records whether any byte of a request may have been handed to a transport.
///
/// Closing and handing over exclude each other, so that an answer "not run" stays true even where a
/// try is about to start in another task.
#[derive(Debug, Default)]
pub struct HandOver(AtomicU32);

/// Bit that marks a closed request; the bits below count tries that may have reached a transport.
const CLOSED: u32 = 1 << 31;

impl HandOver {
    /// Counts a try that is about to be sent; returns false when the request is closed.
    pub fn hand(&self) -> bool {
        let count = |state: u32| (state & CLOSED == 0).then_some(state + 1);
        self.0.fetch_update(Ordering::AcqRel, Ordering::Acquire, count).is_ok()
    }

    /// Takes back a try whose connection failed before anything was sent.
    pub fn take_back(&self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }

    /// Returns the tries that may have reached a transport.
    pub fn count(&self) -> u32 {
        self.0.load(Ordering::Acquire) & !CLOSED
    }

    /// Closes the request if nothing was handed over; returns whether it is closed.
    pub fn close(&self) -> bool {
        match self.0.compare_exchange(0, CLOSED, Ordering::AcqRel, Ordering::Acquire) {
            Ok(_) => true,
            Err(state) => state == CLOSED,
        }
    }
}

/// Holds one request with what the filters have learnt of it.
#[derive(Debug)]
pub struct RequestExchange {
    /// Id, unique over all processes.
    pub id: String,
    /// Arrival.
    pub arrival: Instant,
    /// Method.
    pub method: Method,
    /// Protocol version of the caller.
    pub version: Version,
    /// Service, the first segment of the path.
    pub service: Arc<str>,
    /// Path after the service, with the query.
    pub target: String,
    /// Headers of the caller.
    pub headers: HeaderMap,
    /// Body as it arrives; taken by the body limit. The mutex is never locked: it only lets other
    /// threads hold references to the exchange.
    pub incoming: Mutex<Body>,
    /// Whole body once the body limit has read it.
    pub body: Bytes,
    /// Customer once known.
    pub customer: Arc<str>,
    /// Class.
    pub class: RequestClass,
    /// Policy for the failure domain, customer and service.
    pub policy: Arc<Policy>,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Time at which the caller gives up.
    pub deadline: Instant,
    /// Time up to which a try waits for its answer; later than the deadline where the outcome is
    /// recorded for a later question.
    pub give_up: Instant,
    /// Trace context that goes to the backend server; empty for none.
    pub traceparent: String,
    /// Whether anything was handed to a transport.
    pub hand_over: Arc<HandOver>,
    /// Memory of the body.
    pub body_permit: Option<OwnedSemaphorePermit>,
    /// Share of the customer's limit.
    pub customer_permit: Option<CustomerPermit>,
    /// Share of the service's concurrency.
    pub overload_permit: Option<OverloadPermit>,
    /// Keeps the process from ending while the request runs.
    pub in_flight: InFlightGuard,
}

impl RequestExchange {
    /// Takes the body as it arrives.
    pub fn take_incoming(&mut self) -> Body {
        let incoming = self.incoming.get_mut().unwrap_or_else(PoisonError::into_inner);
        std::mem::replace(incoming, Body::empty())
    }

    /// Returns the time left until the deadline.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the key whose recorded outcome the request asks for, if it asks for one.
    pub fn outcome_key(&self) -> Option<&str> {
        if self.method != Method::GET {
            return None;
        }
        self.target.strip_prefix(OUTCOME_PREFIX)
    }

    /// Returns the path at which the caller can ask for the outcome of a non-repeatable request.
    pub fn ask_path(&self) -> Option<String> {
        let key = self.headers.get(IDEMPOTENCY_KEY)?.to_str().ok()?;
        (!self.repeatable).then(|| format!("/{}{OUTCOME_PREFIX}{}", self.service, key.trim()))
    }
}

/// Holds the answer for a caller.
#[derive(Debug)]
pub struct CallerAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Outcome of the request.
    pub outcome: RequestOutcome,
    /// Headers besides the outcome.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Reason of a refusal or failure, for logs and metrics; empty for an answer of a backend.
    pub reason: &'static str,
}

impl CallerAnswer {
    /// Builds the HTTP response.
    pub fn into_response(self) -> http::Response<Body> {
        let mut response = http::Response::new(Body::from(self.body));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response.headers_mut().insert(X_OUTCOME, HeaderValue::from_static(self.outcome.name()));
        response
    }
}

/// Describes why a request gets no answer of a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// HTTP status.
    pub status: StatusCode,
    /// Whether the request may have run.
    pub outcome: RequestOutcome,
    /// Short name of the reason for metrics.
    pub name: &'static str,
    /// Fault and remedy.
    pub reason: String,
    /// Time after which a retry may succeed; nothing where a retry is of no use.
    pub retry_after: Option<Duration>,
    /// Path at which the caller can ask for the outcome.
    pub ask_at: Option<String>,
}

#[derive(Serialize)]
struct RefusalBody<'a> {
    outcome: RequestOutcome,
    reason: &'a str,
    retry_after_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    ask_at: Option<&'a str>,
}

impl Refusal {
    /// Describes a request of which nothing was handed to a transport.
    pub fn not_run<R>(status: StatusCode, name: &'static str, reason: R) -> Self
    where
        R: Into<String>,
    {
        let (reason, outcome) = (reason.into(), RequestOutcome::NotRun);
        Self { status, outcome, name, reason, retry_after: None, ask_at: None }
    }

    /// Describes a request that may have run.
    pub fn unknown<R>(status: StatusCode, name: &'static str, reason: R) -> Self
    where
        R: Into<String>,
    {
        Self { outcome: RequestOutcome::Unknown, ..Self::not_run(status, name, reason) }
    }

    /// Sets the time after which a retry may succeed.
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Sets the path at which the caller can ask for the outcome.
    pub fn ask_at(mut self, path: Option<String>) -> Self {
        self.ask_at = path;
        self
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.outcome.name(), self.reason)
    }
}

impl From<Refusal> for CallerAnswer {
    fn from(refusal: Refusal) -> Self {
        let retry_after_ms =
            refusal.retry_after.map(|after| u64::try_from(after.as_millis()).unwrap_or(u64::MAX));
        let body = RefusalBody {
            outcome: refusal.outcome,
            reason: &refusal.reason,
            retry_after_ms,
            ask_at: refusal.ask_at.as_deref(),
        };
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(milliseconds) = retry_after_ms {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(milliseconds.div_ceil(1000)));
        }
        // The body has only text, numbers and a unit variant, which always serialize.
        let body = Bytes::from(serde_json::to_vec(&body).unwrap_or_default());
        Self {
            status: refusal.status,
            outcome: refusal.outcome,
            headers,
            body,
            reason: refusal.name,
        }
    }
}
