//! Faults of single workers.

use lacewingrail_model::worker::WorkerSpec;
use serde::{Deserialize, Serialize};

/// Describes the faults of one worker; the default is none.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerFaults {
    /// Fails every start.
    pub fail_starts: bool,
    /// Ends all tasks and answers nothing; the worker restarts when the fault ends.
    pub dead: bool,
    /// Answers nothing while tasks run until their leases lapse.
    pub silent: bool,
    /// Factor of the work speed; 1 is nominal.
    pub speed: f64,
    /// Time added to every call in milliseconds, half of it before and half after it takes effect.
    pub delay_ms: u64,
    /// Accelerators out of order; tasks that no longer fit fail, the newest first.
    pub unhealthy: u32,
    /// Number of next calls that take effect and whose answers are lost.
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

/// Selects workers; an empty field matches all.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerSelection {
    /// Failure domain.
    pub domain: Option<String>,
    /// Rack.
    pub rack: Option<String>,
    /// Worker.
    pub worker: Option<String>,
}

impl WorkerSelection {
    /// Selects one worker.
    pub fn worker(id: impl Into<String>) -> Self {
        Self { worker: Some(id.into()), ..Self::default() }
    }

    /// Selects the workers of a rack; rack names may repeat in other domains.
    pub fn rack(domain: impl Into<String>, rack: impl Into<String>) -> Self {
        Self { domain: Some(domain.into()), rack: Some(rack.into()), worker: None }
    }

    /// Selects the workers of a failure domain.
    pub fn domain(name: impl Into<String>) -> Self {
        Self { domain: Some(name.into()), ..Self::default() }
    }

    /// Returns whether a worker is selected.
    pub fn matches(&self, spec: &WorkerSpec) -> bool {
        let fits = |wanted: &Option<String>, name: &String| {
            wanted.as_ref().is_none_or(|wanted| wanted == name)
        };
        fits(&self.domain, &spec.domain)
            && fits(&self.rack, &spec.rack)
            && fits(&self.worker, &spec.id)
    }
}
