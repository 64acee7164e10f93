//! Metrics of the instance process.

use lacewingrail_telemetry::MetricsRegistry;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};

/// Labels a client call.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct CallLabels {
    /// Operation.
    pub operation: &'static str,
    /// Outcome.
    pub outcome: &'static str,
}

/// Counts what one process does.
#[derive(Clone, Debug)]
pub struct InstanceMetrics {
    /// Registry that serves the metrics.
    pub registry: MetricsRegistry,
    /// Client calls by operation and outcome.
    pub calls: Family<CallLabels, Counter>,
    /// Time to answer a client call, in seconds.
    pub call_seconds: Histogram,
    /// Time for which work had waited when its start was ordered, in seconds.
    pub start_wait_seconds: Histogram,
    /// Time until a worker answered a start or a stop, in seconds.
    pub order_seconds: Histogram,
    /// Number of the leadership that this process holds; 0 for none.
    pub epoch: Gauge,
    /// Start orders sent.
    pub starts: Gauge,
    /// Start orders refused or not answered.
    pub failed_starts: Gauge,
    /// Borrowers stopped for urgent work.
    pub preemptions: Gauge,
    /// Version of the settings in force.
    pub config_version: Gauge,
}

impl InstanceMetrics {
    /// Registers all metrics.
    pub fn new() -> Self {
        let registry = MetricsRegistry::new();
        // From one millisecond to about four seconds, the longest time that clients wait.
        let latency = || Histogram::new(exponential_buckets(0.001, 2.0, 13));
        // From ten milliseconds to about 80 seconds; work may wait for most of a day's load.
        let waits = Histogram::new(exponential_buckets(0.01, 2.0, 14));
        Self {
            calls: registry.register("client_calls", "Client calls", Family::default()),
            call_seconds: registry.register("client_call_seconds", "Time to answer", latency()),
            start_wait_seconds: registry.register(
                "start_wait_seconds",
                "Time for which work had waited when its start was ordered",
                waits,
            ),
            order_seconds: registry.register(
                "order_seconds",
                "Time until a worker answered a start or a stop",
                latency(),
            ),
            epoch: registry.register("leadership_epoch", "Leadership held", Gauge::default()),
            starts: registry.register("task_starts", "Start orders", Gauge::default()),
            failed_starts: registry.register(
                "task_starts_failed",
                "Start orders refused or not answered",
                Gauge::default(),
            ),
            preemptions: registry.register("preemptions", "Borrowers stopped", Gauge::default()),
            config_version: registry.register(
                "config_version",
                "Version of the settings in force",
                Gauge::default(),
            ),
            registry,
        }
    }
}

impl Default for InstanceMetrics {
    fn default() -> Self {
        Self::new()
    }
}
