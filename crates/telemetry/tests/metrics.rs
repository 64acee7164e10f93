//! The metrics endpoint of every process.

use lacewingrail_model::invariant::{InvariantName, check};
use lacewingrail_telemetry::MetricsRegistry;

/// Guards against a violated invariant that no metric of the process shows, as in the scheduler,
/// which alone of the two processes did not register the metric.
#[test]
fn violated_invariants_show_in_every_registry() {
    let registry = MetricsRegistry::new();
    check(InvariantName::GangWhole, true, || "holds".to_owned());
    assert!(!registry.encode().contains("GangWhole"));
    check(InvariantName::GangWhole, false, || "violated by the test".to_owned());
    let text = registry.encode();
    assert!(text.contains("lacewingrail_invariant_violations{name=\"GangWhole\"} 1"), "{text}");
}
