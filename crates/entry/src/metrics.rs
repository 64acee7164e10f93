//! Metrics exported by an entry process.

use std::sync::Arc;
use std::time::Duration;

use lacewingrail_telemetry::MetricsRegistry;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};

use crate::backend::pool::ServicePool;
use crate::exchange::{CallerResponse, RequestClass};

/// Upper bound of the first latency bucket.
const FIRST_BUCKET_SECONDS: f64 = 0.001;
/// Number of latency buckets; each upper bound is twice the previous one, and the last is 65 s.
const BUCKET_COUNT: u16 = 17;

/// Counters, histograms and gauges of an entry process, labelled by service.
#[derive(Debug)]
pub struct EntryMetrics {
    requests: Family<RequestLabels, Counter>,
    latency: Family<LatencyLabels, Histogram>,
    tries: Family<KindLabels, Counter>,
    failed_tries: Family<KindLabels, Counter>,
    budget_empty: Family<ServiceLabels, Counter>,
    backends: Family<KindLabels, Gauge>,
    limiter: Family<KindLabels, Gauge>,
    claims: Family<KindLabels, Counter>,
    claim_latency: Histogram,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct RequestLabels {
    service: Arc<str>,
    class: &'static str,
    outcome: &'static str,
    reason: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct LatencyLabels {
    service: Arc<str>,
    class: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct KindLabels {
    service: Arc<str>,
    kind: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ServiceLabels {
    service: Arc<str>,
}

impl EntryMetrics {
    /// Creates the metrics and registers them under their exported names.
    pub fn new(registry: &MetricsRegistry) -> Self {
        let histogram: fn() -> Histogram =
            || Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKET_COUNT));
        Self {
            requests: registry.register(
                "requests",
                "Requests by outcome and reason",
                Family::default(),
            ),
            latency: registry.register(
                "request_seconds",
                "Time from arrival to the answer",
                Family::new_with_constructor(histogram),
            ),
            tries: registry.register("tries", "Tries by kind", Family::default()),
            failed_tries: registry.register(
                "failed_tries",
                "Tries without a whole answer by cause",
                Family::default(),
            ),
            budget_empty: registry.register(
                "retry_budget_empty",
                "Retries and hedges left out for lack of budget",
                Family::default(),
            ),
            backends: registry.register("backends", "Backend servers by state", Family::default()),
            limiter: registry.register(
                "concurrency",
                "Requests in flight and waiting, and the limit",
                Family::default(),
            ),
            claims: registry.register(
                "claim_events",
                "Claims, group commits and conflicts",
                Family::default(),
            ),
            claim_latency: registry.register(
                "claim_seconds",
                "Time until a claim is confirmed",
                histogram(),
            ),
        }
    }

    /// Counts a response to a caller and records the time since the request arrived.
    pub fn record_request(
        &self,
        service: &Arc<str>,
        class: RequestClass,
        response: &CallerResponse,
        elapsed: Duration,
    ) {
        let labels = RequestLabels {
            service: service.clone(),
            class: class.name(),
            outcome: response.outcome.name(),
            reason: response.reason_code,
        };
        self.requests.get_or_create(&labels).inc();
        let labels = LatencyLabels { service: service.clone(), class: class.name() };
        self.latency.get_or_create(&labels).observe(elapsed.as_secs_f64());
    }

    /// Counts a try of any kind.
    pub fn record_try(&self, service: &Arc<str>) {
        self.tries.get_or_create(&kind_labels(service, "all")).inc();
    }

    /// Counts a retry or hedge; `kind` is its label.
    pub fn record_extra_try(&self, service: &Arc<str>, kind: &'static str) {
        self.tries.get_or_create(&kind_labels(service, kind)).inc();
    }

    /// Counts a try without a whole response; `cause` is its `kind` label.
    pub fn record_failed_try(&self, service: &Arc<str>, cause: &'static str) {
        self.failed_tries.get_or_create(&kind_labels(service, cause)).inc();
    }

    /// Counts a retry or hedge that was skipped for lack of budget.
    pub fn record_budget_empty(&self, service: &Arc<str>) {
        self.budget_empty.get_or_create(&ServiceLabels { service: service.clone() }).inc();
    }

    /// Counts claim events; `event` is their `kind` label.
    pub fn record_claim_events(&self, service: &Arc<str>, event: &'static str, count: u64) {
        self.claims.get_or_create(&kind_labels(service, event)).inc_by(count);
    }

    /// Records the time from the start of an acquisition of a claim to its confirmation.
    pub fn record_claim_latency(&self, elapsed: Duration) {
        self.claim_latency.observe(elapsed.as_secs_f64());
    }

    /// Returns the numbers of all tries, of retries and of hedges since the start.
    pub fn tries(&self, service: &Arc<str>) -> (u64, u64, u64) {
        let read = |name| self.tries.get_or_create(&kind_labels(service, name)).get();
        (read("all"), read("retry"), read("hedge"))
    }

    /// Updates the gauges of a service from the state of its pool.
    pub fn refresh(&self, pool: &ServicePool) {
        let backends = pool.backends();
        let ejected = backends.iter().filter(|backend| backend.is_ejected()).count();
        let leaving = backends.iter().filter(|backend| backend.is_leaving()).count();
        for (name, count) in
            [("listed", backends.len()), ("ejected", ejected), ("leaving", leaving)]
        {
            let gauge = self.backends.get_or_create(&kind_labels(&pool.service, name));
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
        let status = pool.limiter.status();
        let waiting = i64::try_from(status.waiting).unwrap_or(i64::MAX);
        for (name, value) in [
            ("in-flight", i64::from(status.in_flight)),
            ("limit", i64::from(status.limit)),
            ("waiting", waiting),
        ] {
            self.limiter.get_or_create(&kind_labels(&pool.service, name)).set(value);
        }
    }
}

/// Builds the labels of a counter or gauge that is divided by kind.
fn kind_labels(service: &Arc<str>, kind: &'static str) -> KindLabels {
    KindLabels { service: service.clone(), kind }
}
