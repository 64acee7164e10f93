//! Export of trace spans and propagation of their context.

use std::collections::HashMap;
use std::time::{Duration, UNIX_EPOCH};

use opentelemetry::global;
use opentelemetry::propagation::{Extractor, Injector};
use opentelemetry::trace::TracerProvider;
use opentelemetry_otlp::{SpanExporter, WithExportConfig};
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::{
    BatchConfigBuilder, BatchSpanProcessor, SdkTracerProvider, SpanData,
};
use tracing::Span;
use tracing_opentelemetry::OpenTelemetrySpanExt;
use tracing_subscriber::layer::SubscriberExt;

/// Maximum number of spans waiting for export; further ones are dropped.
const MAX_QUEUED_SPANS: usize = 2048;
/// Interval between exports of queued spans.
const EXPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Name of the HTTP header that contains the W3C trace context.
pub const TRACEPARENT: &str = "traceparent";

/// Span export of the process; dropping it exports the queued spans, within 500 ms.
#[derive(Debug)]
pub struct SpanPipeline {
    provider: SdkTracerProvider,
}

impl SpanPipeline {
    /// Installs span export for the whole process, to an OTLP endpoint or, without one, to the log.
    ///
    /// # Errors
    ///
    /// Returns an error if the endpoint is invalid or a subscriber is already installed.
    pub fn install(component: &'static str, endpoint: Option<&str>) -> Result<Self, String> {
        global::set_text_map_propagator(TraceContextPropagator::new());
        let batch = BatchConfigBuilder::default()
            .with_max_queue_size(MAX_QUEUED_SPANS)
            .with_scheduled_delay(EXPORT_INTERVAL)
            .build();
        let builder = SdkTracerProvider::builder();
        let provider = match endpoint {
            Some(endpoint) => {
                let exporter =
                    SpanExporter::builder().with_http().with_endpoint(endpoint).build().map_err(
                        |error| format!("the address of the trace collector is invalid: {error}"),
                    )?;
                let processor =
                    BatchSpanProcessor::builder(exporter).with_batch_config(batch).build();
                builder.with_span_processor(processor).build()
            }
            None => {
                let processor =
                    BatchSpanProcessor::builder(LogExporter).with_batch_config(batch).build();
                builder.with_span_processor(processor).build()
            }
        };
        let layer = tracing_opentelemetry::layer().with_tracer(provider.tracer(component));
        let subscriber = tracing_subscriber::registry().with(layer);
        tracing::subscriber::set_global_default(subscriber)
            .map_err(|error| format!("a tracing subscriber is already installed: {error}"))?;
        Ok(Self { provider })
    }
}

impl Drop for SpanPipeline {
    fn drop(&mut self) {
        let _ = self.provider.shutdown_with_timeout(Duration::from_millis(500));
    }
}

/// Sets the context in a `traceparent` value as the parent of a span; an invalid value is ignored.
pub fn set_parent(span: &Span, traceparent: &str) {
    let carrier = HeaderCarrier(HashMap::from([(TRACEPARENT.to_owned(), traceparent.to_owned())]));
    let context = global::get_text_map_propagator(|propagator| propagator.extract(&carrier));
    let _ = span.set_parent(context);
}

/// Returns the `traceparent` value of a span; empty if no span export is installed.
pub fn traceparent(span: &Span) -> String {
    let mut carrier = HeaderCarrier(HashMap::new());
    global::get_text_map_propagator(|propagator| {
        propagator.inject_context(&span.context(), &mut carrier);
    });
    carrier.0.remove(TRACEPARENT).unwrap_or_default()
}

/// Headers from which the propagator reads the trace context and to which it writes it.
struct HeaderCarrier(HashMap<String, String>);

impl Extractor for HeaderCarrier {
    fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).map(String::as_str)
    }

    fn keys(&self) -> Vec<&str> {
        self.0.keys().map(String::as_str).collect()
    }
}

impl Injector for HeaderCarrier {
    fn set(&mut self, key: &str, value: String) {
        self.0.insert(key.to_owned(), value);
    }
}

/// Exporter that writes finished spans to the log at debug level.
#[derive(Debug)]
struct LogExporter;

impl opentelemetry_sdk::trace::SpanExporter for LogExporter {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        for span in batch {
            let start = span.start_time.duration_since(UNIX_EPOCH).unwrap_or_default();
            let elapsed = span.end_time.duration_since(span.start_time).unwrap_or_default();
            log::debug!(
                "span {} trace={} id={} parent={} start_us={} elapsed_us={}",
                span.name,
                span.span_context.trace_id(),
                span.span_context.span_id(),
                span.parent_span_id,
                start.as_micros(),
                elapsed.as_micros(),
            );
        }
        Ok(())
    }
}
