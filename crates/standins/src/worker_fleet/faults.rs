//! Faults that workers inject, and the selection of workers.

use lacewingrail_model::worker::WorkerSpec;
use serde::{Deserialize, Serialize};

/// Faults of one worker; the default is none.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerFaults {
    /// Whether every start fails.
    pub fail_starts: bool,
    /// Whether the worker has lost all tasks and answers no call; it restarts when the fault ends.
    pub dead: bool,
    /// Whether the worker answers no call; its tasks run until their leases expire.
    pub silent: bool,
    /// Factor applied to the worker's speed; 1 for no change.
    pub speed: f64,
    /// Time added to every call in milliseconds, half of it before and half after it takes effect.
    pub delay_ms: u64,
    /// Number of failed accelerators; tasks that no longer fit fail, the newest first.
    pub unhealthy: u32,
    /// Number of coming calls that take effect and whose answers are lost.
    pub lost_answers: u32,
}

impl Default for WorkerFaults {
    fn default() -> Self {
        Self {
            fail_starts: false,
            dead: false,
            silent: false,
            speed: 1.0,
            delay_ms: 0,
            unhealthy: 0,
            lost_answers: 0,
        }
    }
}

/// Selects workers by exact values; an absent field matches all.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerSelection {
    /// Failure domain of the workers to select.
    pub domain: Option<String>,
    /// Rack of the workers to select; the name may exist in several domains.
    pub rack: Option<String>,
    /// Id of the only worker to select.
    pub worker: Option<String>,
}

impl WorkerSelection {
    /// Selects the worker with an id.
    pub fn worker(id: impl Into<String>) -> Self {
        Self { worker: Some(id.into()), ..Self::default() }
    }

    /// Selects the workers of one rack of a failure domain.
    pub fn rack(domain: impl Into<String>, rack: impl Into<String>) -> Self {
        Self { domain: Some(domain.into()), rack: Some(rack.into()), worker: None }
    }

    /// Selects the workers of a failure domain.
    pub fn domain(name: impl Into<String>) -> Self {
        Self { domain: Some(name.into()), ..Self::default() }
    }

    /// Returns whether a worker is selected.
    pub fn matches(&self, spec: &WorkerSpec) -> bool {
        let selected = |required: &Option<String>, name: &String| {
            required.as_ref().is_none_or(|required| required == name)
        };
        selected(&self.domain, &spec.domain)
            && selected(&self.rack, &spec.rack)
            && selected(&self.worker, &spec.id)
    }
}
