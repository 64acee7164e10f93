//! Routing of one request: first try, retries and hedges.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use http::{HeaderMap, StatusCode};
use lacewingrail_model::BackendId;
use lacewingrail_model::invariant::{InvariantName, check};
use tokio::time::Instant;

use crate::backend::BackendPermit;
use crate::backend::health::FailureKind;
use crate::backend::pool::ServicePool;
use crate::backend::select::{SelectQuery, select};
use crate::exchange::RequestExchange;
use crate::metrics::EntryMetrics;
use crate::routing::backend_call::{
    BackendResponse, ResponseMemory, TryError, call_backend, elapsed_since,
};

/// Time after which a leaving backend server must get no new requests.
const MAX_LEAVING_DELAY: Duration = Duration::from_secs(3);
/// Maximum tries of one request, with retries and hedges.
const MAX_TRIES: usize = 3;
/// Multiple of the p95 latency above which an abandoned try counts as a failure of its backend.
/// Below it the try was merely slower than another one.
const ABANDONED_P95_FACTOR: u32 = 4;
/// Minimum time after which an abandoned try counts as a failure.
const MIN_ABANDONED_TIME: Duration = Duration::from_millis(200);
/// Minimum delay before a hedge; the timer resolution makes shorter delays random.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(2);

/// Sends requests to backend servers, with retries and hedges.
#[derive(Clone)]
pub struct RequestRouter {
    memory: ResponseMemory,
    metrics: Arc<EntryMetrics>,
}

/// Cause of a request without a whole response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RouteError {
    /// No backend server has capacity for the request; nothing was sent.
    NoBackend,
    /// The last try failed with this error, and no further try is allowed.
    Failed(TryError),
}

/// State of one request over all its tries.
struct RoutedRequest<'a> {
    router: &'a RequestRouter,
    exchange: &'a RequestExchange,
    pool: &'a Arc<ServicePool>,
    headers: Arc<HeaderMap>,
    tried: Vec<BackendId>,
    probed: bool,
}

struct FinishedTry {
    outcome: Result<BackendResponse, TryError>,
}

impl RequestRouter {
    /// Creates a router with its own memory budget for responses.
    pub fn new(metrics: Arc<EntryMetrics>) -> Self {
        Self { memory: ResponseMemory::default(), metrics }
    }

    /// Sends a request and returns the first response that is not retried.
    ///
    /// # Errors
    /// Reports that no backend server is available, or the error of the last try.
    pub async fn route(
        &self,
        exchange: &RequestExchange,
        pool: &Arc<ServicePool>,
        headers: Arc<HeaderMap>,
    ) -> Result<BackendResponse, RouteError> {
        let mut request = RoutedRequest {
            router: self,
            exchange,
            pool,
            headers,
            tried: Vec::new(),
            probed: false,
        };
        let result = request.run_tries().await;
        let succeeded = result.as_ref().is_ok_and(|response| !response.status.is_server_error());
        pool.budget.deposit(exchange.policy.retry_budget, succeeded);
        result
    }
}

impl<'a> RoutedRequest<'a> {
    /// Runs the first try, a hedge and retries until one response is final or no further try is
    /// allowed.
    async fn run_tries(&mut self) -> Result<BackendResponse, RouteError> {
        let mut tries: FuturesUnordered<BoxFuture<'a, FinishedTry>> = FuturesUnordered::new();
        let first = self.start_try().ok_or(RouteError::NoBackend)?;
        tries.push(first);
        let mut hedge_at = self.hedge_time();
        loop {
            let hedge = async {
                match hedge_at {
                    Some(at) => tokio::time::sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            let finished = tokio::select! {
                biased;
                finished = tries.next() => finished,
                () = hedge => {
                    hedge_at = None;
                    // While requests are queued, a hedge would take capacity that they need.
                    if !self.pool.limiter.is_saturated()
                        && let Some(extra) = self.start_extra_try("hedge")
                    {
                        tries.push(extra);
                    }
                    continue;
                }
            };
            let Some(finished) = finished else {
                return Err(RouteError::NoBackend);
            };
            let retryable = self.may_retry(&finished.outcome);
            if !retryable {
                return finished.outcome.map_err(RouteError::Failed);
            }
            if let Some(extra) = self.start_extra_try("retry") {
                tries.push(extra);
            } else if tries.is_empty() {
                return finished.outcome.map_err(RouteError::Failed);
            }
        }
    }

    /// Returns whether the request and the outcome of a try permit another try.
    fn may_retry(&self, outcome: &Result<BackendResponse, TryError>) -> bool {
        match outcome {
            Ok(response) => self.exchange.repeatable && is_retryable(response.status),
            Err(TryError::Closed | TryError::BadTarget) => false,
            Err(error) => error.is_unsent() || self.exchange.repeatable,
        }
    }

    /// Returns the time at which a hedge may start; `None` if the request must not be hedged.
    fn hedge_time(&self) -> Option<Instant> {
        let policy = &self.exchange.policy;
        if !self.exchange.repeatable || !policy.hedging || policy.retry_budget <= 0.0 {
            return None;
        }
        // Several percent of the requests exceed the p95; the retry budget limits their hedges.
        let at = Instant::now() + self.pool.latency.p95()?.max(MIN_HEDGE_DELAY);
        (at < self.exchange.deadline).then_some(at)
    }

    /// Starts a retry or hedge if the deadline, [`MAX_TRIES`] and the retry budget allow it.
    fn start_extra_try(&mut self, kind: &'static str) -> Option<BoxFuture<'a, FinishedTry>> {
        let expired = Instant::now() >= self.exchange.deadline;
        if expired || self.tried.len() >= MAX_TRIES {
            return None;
        }
        if !self.pool.budget.withdraw(self.exchange.policy.retry_budget) {
            self.router.metrics.record_budget_empty(&self.pool.service);
            return None;
        }
        let extra = self.start_try()?;
        self.router.metrics.record_extra_try(&self.pool.service, kind);
        Some(extra)
    }

    /// Starts a try at a backend server that this request has not tried; `None` if there is none.
    fn start_try(&mut self) -> Option<BoxFuture<'a, FinishedTry>> {
        let query = SelectQuery {
            routing: self.exchange.policy.routing,
            tried: &self.tried,
            // At most one probe for each request, so that its retry goes to an available backend.
            may_probe: self.exchange.repeatable && !self.probed,
        };
        let permit = select(self.pool, query)?;
        check(
            InvariantName::LeavingNoWork,
            permit.backend().leaving_for().is_none_or(|leaving| leaving < MAX_LEAVING_DELAY),
            || format!("leaving backend {} gets a new request", permit.backend().id),
        );
        self.probed |= permit.is_probe();
        self.tried.push(permit.backend().id.clone());
        let id = format!("{}-{}", self.exchange.id, self.tried.len());
        let guard = TryGuard {
            pool: self.pool.clone(),
            permit,
            started: Instant::now(),
            eject_after: self.exchange.policy.eject_after,
            recorded: false,
        };
        let (exchange, router, headers) = (self.exchange, self.router, self.headers.clone());
        router.metrics.record_try(&self.pool.service);
        Some(Box::pin(async move {
            let backend = guard.permit.backend().clone();
            let outcome = call_backend(exchange, &backend, &headers, id, &router.memory).await;
            check(
                InvariantName::AtMostOnce,
                exchange.repeatable || exchange.dispatch.count() <= 1,
                || format!("request {} was sent more than once", exchange.id),
            );
            guard.record(&outcome);
            if let Err(error) = &outcome {
                router.metrics.record_failed_try(&exchange.service, error.reason_code());
                log::debug!(
                    "try of request {} at backend {} failed: {error}",
                    exchange.id,
                    backend.id
                );
            }
            FinishedTry { outcome }
        }))
    }
}

/// Guard that records the outcome of a try, also if the try is dropped before it ends.
struct TryGuard {
    pool: Arc<ServicePool>,
    permit: BackendPermit,
    started: Instant,
    eject_after: u32,
    recorded: bool,
}

impl TryGuard {
    fn record(mut self, outcome: &Result<BackendResponse, TryError>) {
        self.recorded = true;
        let latency = elapsed_since(self.started);
        match outcome {
            Ok(BackendResponse { status: StatusCode::SERVICE_UNAVAILABLE, .. })
            | Err(TryError::MissingId(StatusCode::SERVICE_UNAVAILABLE)) => {
                self.pool.limiter.record_refusal();
                self.record_failure(FailureKind::Busy, latency);
            }
            Ok(response) if response.status.is_server_error() => {
                self.record_failure(FailureKind::Failed, latency)
            }
            Ok(_) => {
                self.pool.latency.record(latency);
                self.permit.record_success(latency);
            }
            Err(TryError::NotSent { refused: true, .. }) => {
                self.record_failure(FailureKind::ConnectionRefused, latency)
            }
            Err(
                TryError::NotSent { .. }
                | TryError::Lost(_)
                | TryError::MismatchedId
                | TryError::MissingId(_),
            ) => {
                self.record_failure(FailureKind::Failed, latency);
            }
            Err(TryError::TimedOut) => self.record_abandoned(latency),
            Err(TryError::Closed | TryError::BadTarget) => {}
        }
    }

    /// Counts a try without a response as a failure if it took far longer than usual. A try that
    /// ended by a short deadline or a faster hedge is no failure of the backend.
    fn record_abandoned(&self, latency: Duration) {
        let usual_latency = self.pool.latency.p95().unwrap_or(Duration::from_secs(1));
        if latency > (usual_latency * ABANDONED_P95_FACTOR).max(MIN_ABANDONED_TIME) {
            self.record_failure(FailureKind::Failed, latency);
        }
    }

    /// Records a failure at the backend and ejects it if it has failed too often.
    fn record_failure(&self, failure: FailureKind, latency: Duration) {
        if self.permit.record_failure(failure, latency, self.eject_after) {
            self.pool.eject(self.permit.backend());
        }
    }
}

impl Drop for TryGuard {
    fn drop(&mut self) {
        if !self.recorded {
            self.record_abandoned(elapsed_since(self.started));
        }
    }
}

fn is_retryable(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::BAD_GATEWAY | StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
    )
}
