//! Logs, spans and metrics.
//!
//! Logs are JSON lines through the `log` facade. Spans are made with `tracing` at each hop and carry
//! the W3C `traceparent` header; they go to a collector over OTLP where one is set, else into the
//! log at debug level. Export never blocks a request: the batch queue has a bound and drops.

pub mod logger;
pub mod metrics;
pub mod spans;

pub use logger::JsonLogger;
pub use metrics::MetricsRegistry;
