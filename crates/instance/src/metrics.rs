//! Metrics of the instance process, served in the Prometheus format.

use lacewingrail_telemetry::MetricsRegistry;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};

/// Labels of the counter of client calls.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct CallLabels {
    /// `submit`, `cancel` or `ask`.
    pub operation: &'static str,
    /// Name of the answer, as `ClientAnswer::name` returns it.
    pub outcome: &'static str,
}

/// Metrics of one process; clones share their values.
#[derive(Clone, Debug)]
pub struct InstanceMetrics {
    /// Registry from which the metrics are served.
    pub registry: MetricsRegistry,
    /// Number of client calls by operation and outcome.
    pub calls: Family<CallLabels, Counter>,
    /// Time to answer a client call, in seconds.
    pub call_seconds: Histogram,
    /// Time for which a step had waited for workers when its start was ordered, in seconds.
    pub start_wait_seconds: Histogram,
    /// Latency of start and stop orders, in seconds.
    pub order_seconds: Histogram,
    /// Epoch of the leadership that this process holds; 0 for none.
    pub epoch: Gauge,
    /// Number of start orders during this leadership.
    pub starts: Gauge,
    /// Number of those start orders that were refused or not answered.
    pub failed_starts: Gauge,
    /// Number of tasks whose start was not answered and may still be carried out.
    pub unclear_starts: Gauge,
    /// Number of borrowing tasks or gangs stopped for urgent work during this leadership.
    pub preemptions: Gauge,
    /// Version of the settings in force; 0 before the first.
    pub config_version: Gauge,
}

impl InstanceMetrics {
    /// Creates a registry and registers all metrics.
    pub fn new() -> Self {
        let registry = MetricsRegistry::new();
        // Buckets from 1 ms to about 4 s, the longest time that clients wait.
        let latency = || Histogram::new(exponential_buckets(0.001, 2.0, 13));
        // Buckets from 10 ms to about 80 s. If accepted work exceeds the fleet for a whole day, it
        // waits longer; such waits fall into the last bucket, which has no upper bound.
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
            unclear_starts: registry.register(
                "task_starts_unclear",
                "Tasks whose start was not answered and may still be carried out",
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
