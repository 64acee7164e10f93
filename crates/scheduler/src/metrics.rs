//! Metrics of a scheduler process.

use lacewingrail_telemetry::MetricsRegistry;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};

/// Label with the failure domain of a metric.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct DomainLabel {
    /// Name of the failure domain.
    pub domain: String,
}

/// Metrics of a scheduler process.
#[derive(Clone, Debug)]
pub struct SchedulerMetrics {
    /// Epoch under which this process schedules a domain; 0 if it does not.
    pub epoch: Family<DomainLabel, Gauge>,
    /// Gangs of which all members ran.
    pub starts: Family<DomainLabel, Counter>,
    /// Attempts that ended before the gang ran.
    pub aborts: Family<DomainLabel, Counter>,
    /// Gangs preempted for other jobs.
    pub preemptions: Family<DomainLabel, Counter>,
    /// Jobs handed over to another failure domain.
    pub handovers: Family<DomainLabel, Counter>,
    /// Accelerator time in milliseconds whose result was checkpointed or finished.
    pub useful_ms: Family<DomainLabel, Counter>,
    /// Accelerator time in milliseconds whose result was lost.
    pub lost_ms: Family<DomainLabel, Counter>,
    /// Accelerator time in milliseconds during which two attempts of a job ran; must stay 0.
    pub doubly_spent_ms: Family<DomainLabel, Counter>,
    /// Members that were found on workers and belong to no gang.
    pub orphans: Family<DomainLabel, Counter>,
    /// Duration of a rebuild after a takeover, in seconds.
    pub rebuild_duration: Histogram,
    /// Time from the placement decision until the gang runs, in seconds.
    pub start_duration: Histogram,
    /// Duration of a placement decision, in seconds.
    pub decision_duration: Histogram,
}

impl SchedulerMetrics {
    /// Registers all metrics under the prefix of the registry.
    pub fn new(registry: &MetricsRegistry) -> Self {
        let times = || Histogram::new(exponential_buckets(0.000_25, 2.0, 16));
        Self {
            epoch: registry.register(
                "scheduler_epoch",
                "Epoch under which this process schedules the domain",
                Family::default(),
            ),
            starts: registry.register("gang_starts", "Gangs started", Family::default()),
            aborts: registry.register(
                "gang_aborts",
                "Attempts that ended before the gang ran",
                Family::default(),
            ),
            preemptions: registry.register(
                "gang_preemptions",
                "Gangs stopped for others",
                Family::default(),
            ),
            handovers: registry.register(
                "job_handovers",
                "Jobs handed to another failure domain",
                Family::default(),
            ),
            useful_ms: registry.register(
                "accelerator_useful_milliseconds",
                "Accelerator time whose result was kept",
                Family::default(),
            ),
            lost_ms: registry.register(
                "accelerator_lost_milliseconds",
                "Accelerator time whose result was lost",
                Family::default(),
            ),
            doubly_spent_ms: registry.register(
                "accelerator_doubly_spent_milliseconds",
                "Accelerator time in which two attempts of a job ran",
                Family::default(),
            ),
            orphans: registry.register(
                "orphan_members",
                "Members found on workers that belong to no gang",
                Family::default(),
            ),
            rebuild_duration: registry.register(
                "rebuild_seconds",
                "Time of a rebuild after a takeover",
                times(),
            ),
            start_duration: registry.register(
                "gang_start_seconds",
                "Time from the decision until the gang runs",
                times(),
            ),
            decision_duration: registry.register(
                "decision_seconds",
                "Time of one placement decision",
                times(),
            ),
        }
    }
}
