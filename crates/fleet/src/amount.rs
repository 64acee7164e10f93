//! Vectors of processor time, memory and accelerators.

use std::ops::{Add, AddAssign, Sub, SubAssign};

use serde::{Deserialize, Serialize};

/// Amount of processor time, memory and accelerators.
///
/// Amounts are signed because a worker may be overcommitted once it reports a smaller capacity.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ResourceAmount {
    /// Processor time, in thousandths of a core.
    pub cpu_milli: i64,
    /// Memory, in megabytes.
    pub memory_mb: i64,
    /// Number of accelerators.
    pub accelerators: i64,
}

impl ResourceAmount {
    /// Returns whether a demand fits into this amount in every resource.
    pub fn covers(&self, demand: &Self) -> bool {
        self.cpu_milli >= demand.cpu_milli
            && self.memory_mb >= demand.memory_mb
            && self.accelerators >= demand.accelerators
    }

    /// Returns how many times a demand fits into this amount; [`i64::MAX`] for a demand of nothing.
    pub fn multiples(&self, demand: &Self) -> i64 {
        let times = |part: i64, whole: i64| if part <= 0 { i64::MAX } else { whole.max(0) / part };
        times(demand.cpu_milli, self.cpu_milli)
            .min(times(demand.memory_mb, self.memory_mb))
            .min(times(demand.accelerators, self.accelerators))
    }

    /// Returns the dominant share: the largest fraction of a capacity that this amount takes in any
    /// one resource.
    pub fn dominant_share(&self, capacity: &Self) -> f64 {
        let share = |part: i64, whole: i64| part as f64 / whole.max(1) as f64;
        share(self.cpu_milli, capacity.cpu_milli)
            .max(share(self.memory_mb, capacity.memory_mb))
            .max(share(self.accelerators, capacity.accelerators))
    }
}

impl Add for ResourceAmount {
    type Output = Self;

    fn add(mut self, other: Self) -> Self {
        self += other;
        self
    }
}

impl AddAssign for ResourceAmount {
    fn add_assign(&mut self, other: Self) {
        self.cpu_milli += other.cpu_milli;
        self.memory_mb += other.memory_mb;
        self.accelerators += other.accelerators;
    }
}

impl Sub for ResourceAmount {
    type Output = Self;

    fn sub(mut self, other: Self) -> Self {
        self -= other;
        self
    }
}

impl SubAssign for ResourceAmount {
    fn sub_assign(&mut self, other: Self) {
        self.cpu_milli -= other.cpu_milli;
        self.memory_mb -= other.memory_mb;
        self.accelerators -= other.accelerators;
    }
}
