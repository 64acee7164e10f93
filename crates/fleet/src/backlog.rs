//! A lower bound of the time that waiting work takes.
//!
//! Accepted work may exceed the capacity of the fleet for minutes. Work of a low rank would then
//! wait far beyond its objective for work that ranks before it, so it is refused at once, with the
//! time after which to retry. The bound uses declared run times and assumes that the whole fleet
//! works at its estimated speeds, with perfect packing and no further arrivals.

use std::time::Duration;

use crate::amount::ResourceAmount;
use crate::spec::StepSpec;

/// Sums resource use over time: each resource in its unit times seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResourceSeconds {
    cpu_milli: f64,
    memory_mb: f64,
    accelerators: f64,
}

impl ResourceSeconds {
    /// Adds an amount that is used for a number of seconds.
    pub fn add(&mut self, amount: &ResourceAmount, seconds: f64) {
        self.cpu_milli += amount.cpu_milli as f64 * seconds;
        self.memory_mb += amount.memory_mb as f64 * seconds;
        self.accelerators += amount.accelerators as f64 * seconds;
    }

    /// Adds tasks of a step for their declared run time. Continuous and best-effort tasks add
    /// nothing, since they have no end of their own.
    pub fn add_tasks(&mut self, spec: &StepSpec, tasks: u32) {
        if !spec.continuous && !spec.fills {
            self.add(&spec.demand, spec.estimate.as_secs_f64() * f64::from(tasks));
        }
    }

    /// Returns the minimum time in which a fleet that offers `per_second` can do this work;
    /// `None` if it never can.
    pub fn min_duration(&self, per_second: &Self) -> Option<Duration> {
        let time = |work: f64, rate: f64| if work > 0.0 { work / rate } else { 0.0 };
        let longest = time(self.cpu_milli, per_second.cpu_milli)
            .max(time(self.memory_mb, per_second.memory_mb))
            .max(time(self.accelerators, per_second.accelerators));
        Duration::try_from_secs_f64(longest).ok()
    }
}
