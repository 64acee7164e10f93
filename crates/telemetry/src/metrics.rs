//! The metrics registry and its HTTP endpoint.
//!
//! Invariant violations are counted for the whole process, so every registry exports them.

use std::sync::{Arc, Mutex, PoisonError};

use axum::Router;
use axum::http::header::CONTENT_TYPE;
use axum::response::IntoResponse;
use axum::routing::get;
use lacewingrail_model::invariant;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Metric, Registry};

/// Metrics of one process; clones share the same metrics.
#[derive(Clone, Debug)]
pub struct MetricsRegistry {
    registry: Arc<Mutex<Registry>>,
    violations: Family<InvariantLabels, Gauge>,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct InvariantLabels {
    name: String,
}

impl MetricsRegistry {
    /// Creates a registry that has only the metric of invariant violations. All names get the
    /// prefix `lacewingrail_`.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("lacewingrail");
        let violations = Family::default();
        registry.register("invariant_violations", "Violated invariants", violations.clone());
        Self { registry: Arc::new(Mutex::new(registry)), violations }
    }

    /// Registers a metric under `name` without the prefix, and returns it.
    pub fn register<M>(&self, name: &str, help: &str, metric: M) -> M
    where
        M: Metric + Clone,
    {
        let mut registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        registry.register(name, help, metric.clone());
        metric
    }

    /// Encodes all metrics in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        for (name, count) in invariant::violations() {
            let labels = InvariantLabels { name: format!("{name:?}") };
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            self.violations.get_or_create(&labels).set(count);
        }
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();
        // Writing to a string cannot fail; if a metric fails to encode, the text is incomplete.
        let _ = encode(&mut text, &registry);
        text
    }

    /// Creates a router that serves the metrics at `/metrics`.
    pub fn router<S>(&self) -> Router<S>
    where
        S: Clone + Send + Sync + 'static,
    {
        let registry = self.clone();
        Router::new().route("/metrics", get(move || async move { respond(&registry) }))
    }
}

impl Default for MetricsRegistry {
    fn default() -> Self {
        Self::new()
    }
}

fn respond(registry: &MetricsRegistry) -> impl IntoResponse + use<> {
    const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    ([(CONTENT_TYPE, OPEN_METRICS)], registry.encode())
}
