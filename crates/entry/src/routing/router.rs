//! Tries, retries and hedges of one request.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use http::{HeaderMap, StatusCode};
use lacewingrail_model::BackendId;
use lacewingrail_model::invariant::{InvariantName, check};
use tokio::time::Instant;

use crate::backend::BackendUse;
use crate::backend::health::Verdict;
use crate::backend::pool::ServicePool;
use crate::backend::select::{SelectQuery, select};
use crate::exchange::RequestExchange;
use crate::metrics::EntryMetrics;
use crate::routing::answer::{AnswerMemory, BackendAnswer, TryError, exchange_once, since};

/// Time after which a leaving backend server must get no new work.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);
/// Most tries of one request.
const MAX_TRIES: usize = 3;
/// Multiple of the p95 latency after which a try that was given up counts as a failure of its
/// backend. Below it the try was merely slower than another.
const ABANDONED_FACTOR: u32 = 4;
/// Shortest time after which a try that was given up counts as a failure.
const ABANDONED_FLOOR: Duration = Duration::from_millis(200);
/// Shortest time before a hedge; below it timer resolution would hedge by chance.
const HEDGE_FLOOR: Duration = Duration::from_millis(2);

/// Sends requests to backend servers.
#[derive(Clone)]
pub struct RequestRouter {
    memory: AnswerMemory,
    metrics: Arc<EntryMetrics>,
}

/// States why no backend server gave a whole answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RouteError {
    /// No backend server can take the request; nothing was sent.
    NoBackend,
    /// The last try failed.
    Failed(TryError),
}

/// Holds the state of one request while it is routed.
struct RouteRun<'a> {
    router: &'a RequestRouter,
    exchange: &'a RequestExchange,
    pool: &'a Arc<ServicePool>,
    headers: Arc<HeaderMap>,
    tried: Vec<BackendId>,
    tests: bool,
}

struct TryEnd {
    outcome: Result<BackendAnswer, TryError>,
}

impl RequestRouter {
    /// Creates a router.
    pub fn new(metrics: Arc<EntryMetrics>) -> Self {
        Self { memory: AnswerMemory::default(), metrics }
    }

    /// Sends a request and returns the first whole answer.
    pub async fn route(
        &self,
        exchange: &RequestExchange,
        pool: &Arc<ServicePool>,
        headers: Arc<HeaderMap>,
    ) -> Result<BackendAnswer, RouteError> {
        let mut run =
            RouteRun { router: self, exchange, pool, headers, tried: Vec::new(), tests: false };
        let result = run.run().await;
        let answered = result.as_ref().is_ok_and(|answer| !answer.status.is_server_error());
        pool.budget.deposit(exchange.policy.retry_budget, answered);
        result
    }
}

impl<'a> RouteRun<'a> {
    async fn run(&mut self) -> Result<BackendAnswer, RouteError> {
        let mut tries: FuturesUnordered<BoxFuture<'a, TryEnd>> = FuturesUnordered::new();
        let first = self.start().ok_or(RouteError::NoBackend)?;
        tries.push(first);
        let mut hedge_at = self.hedge_time();
        loop {
            let hedge = async {
                match hedge_at {
                    Some(at) => tokio::time::sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            let end = tokio::select! {
                biased;
                end = tries.next() => end,
                () = hedge => {
                    hedge_at = None;
                    // While requests wait, a hedge takes a place that one of them needs.
                    if !self.pool.limiter.is_saturated()
                        && let Some(extra) = self.start_extra("hedge")
                    {
                        tries.push(extra);
                    }
                    continue;
                }
            };
            let Some(end) = end else {
                return Err(RouteError::NoBackend);
            };
            let retryable = self.may_retry(&end.outcome);
            if !retryable {
                return end.outcome.map_err(RouteError::Failed);
            }
            if let Some(extra) = self.start_extra("retry") {
                tries.push(extra);
            } else if tries.is_empty() {
                return end.outcome.map_err(RouteError::Failed);
            }
        }
    }

    /// Returns whether another try is allowed after this one by its nature.
    fn may_retry(&self, outcome: &Result<BackendAnswer, TryError>) -> bool {
        match outcome {
            Ok(answer) => self.exchange.repeatable && is_retryable(answer.status),
            Err(TryError::Closed | TryError::BadTarget) => false,
            Err(error) => error.is_unsent() || self.exchange.repeatable,
        }
    }

    fn hedge_time(&self) -> Option<Instant> {
        let policy = &self.exchange.policy;
        if !self.exchange.repeatable || !policy.hedging || policy.retry_budget <= 0.0 {
            return None;
        }
        // Several percent of the requests pass the p95; hedging stays within the budget by tokens.
        let at = Instant::now() + self.pool.latency.p95()?.max(HEDGE_FLOOR);
        (at < self.exchange.deadline).then_some(at)
    }

    fn start_extra(&mut self, kind: &'static str) -> Option<BoxFuture<'a, TryEnd>> {
        let expired = Instant::now() >= self.exchange.deadline;
        if expired || self.tried.len() >= MAX_TRIES {
            return None;
        }
        if !self.pool.budget.withdraw(self.exchange.policy.retry_budget) {
            self.router.metrics.note_budget_empty(&self.pool.service);
            return None;
        }
        let extra = self.start()?;
        self.router.metrics.note_extra_try(&self.pool.service, kind);
        Some(extra)
    }

    fn start(&mut self) -> Option<BoxFuture<'a, TryEnd>> {
        let query = SelectQuery {
            routing: self.exchange.policy.routing,
            tried: &self.tried,
            // One test for each request, so that its retry goes to a backend in service.
            may_test: self.exchange.repeatable && !self.tests,
        };
        let used = select(self.pool, query)?;
        check(
            InvariantName::LeavingNoWork,
            used.backend().leaving_for().is_none_or(|leaving| leaving < LEAVING_LIMIT),
            || format!("backend {} gets new work although it is leaving", used.backend().id),
        );
        self.tests |= used.is_trial();
        self.tried.push(used.backend().id.clone());
        let id = format!("{}-{}", self.exchange.id, self.tried.len());
        let guard = TryGuard {
            pool: self.pool.clone(),
            used,
            started: Instant::now(),
            eject_after: self.exchange.policy.eject_after,
            ended: false,
        };
        let (exchange, router, headers) = (self.exchange, self.router, self.headers.clone());
        router.metrics.note_try(&self.pool.service);
        Some(Box::pin(async move {
            let backend = guard.used.backend().clone();
            let outcome = exchange_once(exchange, &backend, &headers, id, &router.memory).await;
            check(
                InvariantName::AtMostOnce,
                exchange.repeatable || exchange.hand_over.count() <= 1,
                || format!("request {} was handed over more than once", exchange.id),
            );
            guard.finish(&outcome);
            if let Err(error) = &outcome {
                router.metrics.note_failed_try(&exchange.service, error.name());
                log::debug!("try of {} at {} failed: {error}", exchange.id, backend.id);
            }
            TryEnd { outcome }
        }))
    }
}

/// Records how a try ended, also when it is given up.
struct TryGuard {
    pool: Arc<ServicePool>,
    used: BackendUse,
    started: Instant,
    eject_after: u32,
    ended: bool,
}

impl TryGuard {
    fn finish(mut self, outcome: &Result<BackendAnswer, TryError>) {
        self.ended = true;
        let latency = since(self.started);
        match outcome {
            Ok(BackendAnswer { status: StatusCode::SERVICE_UNAVAILABLE, .. })
            | Err(TryError::Unnamed(StatusCode::SERVICE_UNAVAILABLE)) => {
                self.pool.limiter.note_refused();
                self.fail(Verdict::Busy, latency);
            }
            Ok(answer) if answer.status.is_server_error() => self.fail(Verdict::Failed, latency),
            Ok(_) => {
                self.pool.latency.record(latency);
                self.used.note_success(latency);
            }
            Err(TryError::NotSent { gone: true, .. }) => self.fail(Verdict::Gone, latency),
            Err(
                TryError::NotSent { .. }
                | TryError::Lost(_)
                | TryError::Crossed
                | TryError::Unnamed(_),
            ) => {
                self.fail(Verdict::Failed, latency);
            }
            Err(TryError::TimedOut) => self.note_abandoned(latency),
            Err(TryError::Closed | TryError::BadTarget) => {}
        }
    }

    /// Counts a try without an answer as a failure if it took far longer than others do. A short
    /// deadline or a lost race against a hedge says nothing against the backend.
    fn note_abandoned(&self, latency: Duration) {
        let usual = self.pool.latency.p95().unwrap_or(Duration::from_secs(1));
        if latency > (usual * ABANDONED_FACTOR).max(ABANDONED_FLOOR) {
            self.fail(Verdict::Failed, latency);
        }
    }

    fn fail(&self, verdict: Verdict, latency: Duration) {
        if self.used.note_failure(verdict, latency, self.eject_after) {
            self.pool.eject(self.used.backend());
        }
    }
}

impl Drop for TryGuard {
    fn drop(&mut self) {
        if !self.ended {
            self.note_abandoned(since(self.started));
        }
    }
}

fn is_retryable(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::BAD_GATEWAY | StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
    )
}
