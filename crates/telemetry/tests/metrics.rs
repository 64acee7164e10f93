//! Metrics that every process exports.

use lacewingrail_model::invariant::{InvariantName, check};
use lacewingrail_telemetry::MetricsRegistry;

/// Guards against a process that does not export invariant violations, as happened when the
/// scheduler did not register the metric that the entry process registered.
#[test]
fn every_registry_exports_invariant_violations() {
    let registry = MetricsRegistry::new();
    check(InvariantName::GangWhole, true, || "holds".to_owned());
    assert!(!registry.encode().contains("GangWhole"));
    check(InvariantName::GangWhole, false, || "violated by the test".to_owned());
    let text = registry.encode();
    assert!(text.contains("lacewingrail_invariant_violations{name=\"GangWhole\"} 1"), "{text}");
}
