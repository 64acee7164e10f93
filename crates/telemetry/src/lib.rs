//! Logs, spans and metrics.
//!
//! Logs are JSON lines written through the `log` facade. Spans are created with `tracing` in each
//! process that a request passes through, and propagated in the W3C `traceparent` header. They are
//! exported to a collector over OTLP if one is configured, and otherwise written to the log at
//! debug level. Export never blocks a request: the queue is bounded, and spans that do not fit are
//! dropped.

pub mod logger;
pub mod metrics;
pub mod spans;

pub use logger::JsonLogger;
pub use metrics::MetricsRegistry;
