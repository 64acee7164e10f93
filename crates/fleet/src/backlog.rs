//! When waiting work can be served at the earliest.
//!
//! Answers the load pattern in which accepted work exceeds the fleet for minutes. Work of a low rank
//! would wait far beyond its objective behind what comes first; its customer is told so at once and
//! when to come back. The time is a lower bound by declared run times: it takes the whole fleet at its
//! learned speeds, perfect packing, and no further arrivals.

use std::time::Duration;

use crate::amount::ResourceAmount;
use crate::spec::StepSpec;

/// Sums what tasks take of the workers, in seconds of each resource.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResourceSeconds {
    cpu_milli: f64,
    memory_mb: f64,
    accelerators: f64,
}

impl ResourceSeconds {
    /// Adds an amount for a number of seconds.
    pub fn add(&mut self, amount: &ResourceAmount, seconds: f64) {
        self.cpu_milli += amount.cpu_milli as f64 * seconds;
        self.memory_mb += amount.memory_mb as f64 * seconds;
        self.accelerators += amount.accelerators as f64 * seconds;
    }

    /// Adds tasks of a step. Those without an end of their own take no time that could pass.
    pub fn add_tasks(&mut self, spec: &StepSpec, tasks: usize) {
        if !spec.continuous && !spec.fills {
            self.add(&spec.demand, spec.estimate.as_secs_f64() * tasks as f64);
        }
    }

    /// Returns the least time in which a fleet that offers `each_second` does this work; nothing if
    /// it never does.
    pub fn least_time(&self, each_second: &Self) -> Option<Duration> {
        let time = |work: f64, rate: f64| if work > 0.0 { work / rate } else { 0.0 };
        let longest = time(self.cpu_milli, each_second.cpu_milli)
            .max(time(self.memory_mb, each_second.memory_mb))
            .max(time(self.accelerators, each_second.accelerators));
        Duration::try_from_secs_f64(longest).ok()
    }
}
