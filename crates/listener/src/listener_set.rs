//! The listeners of one process: their limits, their metrics, and the task that enforces time
//! limits.

use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::Duration;

use lacewingrail_model::ProcessResources;
use lacewingrail_model::timer::TimerService;
use lacewingrail_telemetry::MetricsRegistry;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::connection_table::ConnectionTable;
use crate::limits::{ListenerLimits, ListenerRole};
use crate::memory_budget::MemoryBudget;
use crate::refusal::{RefusalCounter, RefusalLabels};

/// Interval between checks of the time limits.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Number of checks between two log lines for one reason.
const CHECKS_PER_LOG: u32 = 5;

/// Listeners of one process; dropping it ends the enforcement of time limits.
#[derive(Debug)]
pub struct ListenerSet {
    resources: ProcessResources,
    metrics: ListenerMetrics,
    listeners: SharedListeners,
    checks: JoinHandle<()>,
}

type SharedListeners = Arc<Mutex<Vec<Weak<SharedListener>>>>;

/// Limits of one listener, and what its clients use of them; clones share it.
#[derive(Clone, Debug)]
pub struct ListenerState {
    shared: Arc<SharedListener>,
}

#[derive(Debug)]
struct SharedListener {
    limits: ListenerLimits,
    connections: ConnectionTable,
    memory: MemoryBudget,
    refusals: Arc<RefusalCounter>,
}

/// Labels of the gauges of a listener.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ListenerLabels {
    listener: &'static str,
}

#[derive(Clone, Debug, Default)]
struct ListenerMetrics {
    refusals: Family<RefusalLabels, Counter>,
    connections: Family<ListenerLabels, Gauge>,
    connection_limit: Family<ListenerLabels, Gauge>,
    memory: Family<ListenerLabels, Gauge>,
    memory_limit: Family<ListenerLabels, Gauge>,
}

impl ListenerSet {
    /// Creates a set without listeners, and starts the checks of time limits.
    pub fn new(
        resources: ProcessResources,
        registry: &MetricsRegistry,
        timer: &TimerService,
    ) -> Self {
        let listeners = SharedListeners::default();
        let checks = tokio::spawn(check_listeners(listeners.clone(), timer.clone()));
        Self { resources, metrics: ListenerMetrics::register(registry), listeners, checks }
    }

    /// Adds a listener; `name` is its label in metrics and logs.
    pub fn add(&self, name: &'static str, role: ListenerRole) -> ListenerState {
        let state = ListenerState::new(name, &self.resources, role, &self.metrics);
        let mut listeners = self.listeners.lock().unwrap_or_else(PoisonError::into_inner);
        listeners.push(Arc::downgrade(&state.shared));
        state
    }
}

impl Drop for ListenerSet {
    fn drop(&mut self) {
        self.checks.abort();
    }
}

impl ListenerState {
    fn new(
        name: &'static str,
        resources: &ProcessResources,
        role: ListenerRole,
        metrics: &ListenerMetrics,
    ) -> Self {
        let limits = ListenerLimits::derive(resources, role);
        let labels = ListenerLabels { listener: name };
        let gauge = |family: &Family<ListenerLabels, Gauge>| family.get_or_create(&labels).clone();
        let limit = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        gauge(&metrics.connection_limit).set(limit(limits.max_connections as u64));
        gauge(&metrics.memory_limit).set(limit(limits.request_memory));
        let refusals = Arc::new(RefusalCounter::new(name, metrics.refusals.clone()));
        let connections = gauge(&metrics.connections);
        let shared = SharedListener {
            limits,
            connections: ConnectionTable::new(limits, refusals.clone(), connections),
            memory: MemoryBudget::new(limits.request_memory, gauge(&metrics.memory)),
            refusals,
        };
        Self { shared: Arc::new(shared) }
    }

    /// Creates a listener with the default resources outside a set, so that its time limits are not
    /// enforced.
    pub fn detached(name: &'static str, role: ListenerRole) -> Self {
        Self::with_resources(name, &ProcessResources::default(), role)
    }

    /// Creates a listener with these resources outside a set; see [`Self::detached`].
    pub fn with_resources(
        name: &'static str,
        resources: &ProcessResources,
        role: ListenerRole,
    ) -> Self {
        Self::new(name, resources, role, &ListenerMetrics::default())
    }

    /// Returns the limits.
    pub fn limits(&self) -> &ListenerLimits {
        &self.shared.limits
    }

    /// Returns the open connections.
    pub fn connections(&self) -> &ConnectionTable {
        &self.shared.connections
    }

    /// Returns the memory of requests.
    pub fn memory(&self) -> &MemoryBudget {
        &self.shared.memory
    }

    /// Returns the counter of refusals.
    pub fn refusals(&self) -> &Arc<RefusalCounter> {
        &self.shared.refusals
    }
}

impl SharedListener {
    fn check(&self, now: Instant) {
        self.connections.close_overdue(now);
        self.memory.revoke_overdue(now);
    }
}

impl ListenerMetrics {
    fn register(registry: &MetricsRegistry) -> Self {
        let gauge = |name: &str, help: &str| registry.register(name, help, Family::default());
        Self {
            refusals: registry.register(
                "listener_refusals",
                "Requests refused and connections closed by listeners, by reason",
                Family::default(),
            ),
            connections: gauge("listener_connections", "Open connections"),
            connection_limit: gauge("listener_connection_limit", "Maximum of open connections"),
            memory: gauge("listener_request_bytes", "Memory of unanswered requests"),
            memory_limit: gauge("listener_request_bytes_limit", "Maximum of that memory"),
        }
    }
}

/// Checks the time limits of all listeners, and logs their refusals, until the task is aborted.
async fn check_listeners(listeners: SharedListeners, timer: TimerService) {
    let mut ticks = timer.subscribe(CHECK_INTERVAL);
    let mut checks = 0_u32;
    loop {
        let now = ticks.tick().await;
        checks = checks.wrapping_add(1);
        let mut listeners = listeners.lock().unwrap_or_else(PoisonError::into_inner);
        listeners.retain(|listener| listener.strong_count() > 0);
        for listener in listeners.iter().filter_map(Weak::upgrade) {
            listener.check(now);
            if checks.is_multiple_of(CHECKS_PER_LOG) {
                listener.refusals.log();
            }
        }
    }
}
