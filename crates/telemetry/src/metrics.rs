//! The metrics registry and its HTTP endpoint.

use std::sync::{Arc, Mutex, PoisonError};

use axum::Router;
use axum::http::header::CONTENT_TYPE;
use axum::response::IntoResponse;
use axum::routing::get;
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::{Metric, Registry};

/// Collects the metrics of one process.
#[derive(Clone, Debug)]
pub struct MetricsRegistry {
    registry: Arc<Mutex<Registry>>,
}

impl MetricsRegistry {
    /// Creates an empty registry whose names begin with `lacewingrail`.
    pub fn new() -> Self {
        Self { registry: Arc::new(Mutex::new(Registry::with_prefix("lacewingrail"))) }
    }

    /// Registers a metric and returns it.
    pub fn register<M>(&self, name: &str, help: &str, metric: M) -> M
    where
        M: Metric + Clone,
    {
        let mut registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        registry.register(name, help, metric.clone());
        metric
    }

    /// Returns all metrics as OpenMetrics text.
    pub fn encode(&self) -> String {
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();
        // Writing to a string cannot fail; a metric that fails to encode is left out.
        let _ = encode(&mut text, &registry);
        text
    }

    /// Returns a router that serves `/metrics`.
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
