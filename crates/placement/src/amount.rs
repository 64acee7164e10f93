//! Amounts of a worker's resources and the demand of one gang.

use lacewingrail_model::job::JobSpec;
use lacewingrail_model::shape::{AdjacencyLevel, GangShape};

/// Holds an amount of each resource of a worker.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct ResourceAmount {
    /// Accelerators.
    pub accelerators: u32,
    /// Processor cores.
    pub cores: u32,
    /// Memory in megabytes.
    pub memory_mb: u64,
}

impl ResourceAmount {
    /// Returns an amount of accelerators with as many cores and as much memory as anyone asks for.
    pub fn unlimited(accelerators: u32) -> Self {
        Self { accelerators, cores: u32::MAX, memory_mb: u64::MAX }
    }

    /// Adds another amount.
    pub fn add(&mut self, other: Self) {
        self.accelerators = self.accelerators.saturating_add(other.accelerators);
        self.cores = self.cores.saturating_add(other.cores);
        self.memory_mb = self.memory_mb.saturating_add(other.memory_mb);
    }

    /// Subtracts another amount, down to zero.
    pub fn subtract(&mut self, other: Self) {
        self.accelerators = self.accelerators.saturating_sub(other.accelerators);
        self.cores = self.cores.saturating_sub(other.cores);
        self.memory_mb = self.memory_mb.saturating_sub(other.memory_mb);
    }

    /// Returns the amount a number of times.
    pub fn times(&self, count: u32) -> Self {
        Self {
            accelerators: self.accelerators.saturating_mul(count),
            cores: self.cores.saturating_mul(count),
            memory_mb: self.memory_mb.saturating_mul(u64::from(count)),
        }
    }

    /// Returns whether another amount is contained in this one.
    pub fn contains(&self, other: &Self) -> bool {
        self.accelerators >= other.accelerators
            && self.cores >= other.cores
            && self.memory_mb >= other.memory_mb
    }

    /// Returns the lesser of each resource.
    pub fn component_min(&self, other: &Self) -> Self {
        Self {
            accelerators: self.accelerators.min(other.accelerators),
            cores: self.cores.min(other.cores),
            memory_mb: self.memory_mb.min(other.memory_mb),
        }
    }

    /// Returns the greater of each resource.
    pub fn component_max(&self, other: &Self) -> Self {
        Self {
            accelerators: self.accelerators.max(other.accelerators),
            cores: self.cores.max(other.cores),
            memory_mb: self.memory_mb.max(other.memory_mb),
        }
    }

    /// Returns how many times another amount is contained in this one, at most `limit`.
    pub fn fit_count(&self, per_member: &Self, limit: u32) -> u32 {
        let mut count = limit;
        if let Some(slots) = self.accelerators.checked_div(per_member.accelerators) {
            count = count.min(slots);
        }
        if let Some(slots) = self.cores.checked_div(per_member.cores) {
            count = count.min(slots);
        }
        if let Some(slots) = self.memory_mb.checked_div(per_member.memory_mb) {
            count = count.min(u32::try_from(slots).unwrap_or(u32::MAX));
        }
        count
    }
}

/// Describes what one gang needs.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct GangDemand {
    /// Number of members.
    pub members: u32,
    /// Resources of each member.
    pub per_member: ResourceAmount,
    /// Closeness of the members.
    pub adjacency: AdjacencyLevel,
}

impl GangDemand {
    /// Returns the demand of a guaranteed shape, which names accelerators only.
    pub fn from_shape(shape: &GangShape) -> Self {
        let per_member =
            ResourceAmount { accelerators: shape.accelerators, cores: 0, memory_mb: 0 };
        Self { members: shape.members, per_member, adjacency: shape.adjacency }
    }

    /// Returns the demand of a job.
    pub fn from_job(spec: &JobSpec) -> Self {
        let per_member = ResourceAmount {
            accelerators: spec.shape.accelerators,
            cores: spec.cores,
            memory_mb: spec.memory_mb,
        };
        Self { members: spec.shape.members, per_member, adjacency: spec.shape.adjacency }
    }

    /// Returns the accelerators of all members.
    pub fn total(&self) -> u32 {
        self.members * self.per_member.accelerators
    }

    /// Returns whether a gang with this demand surely fails to fit wherever `other` does not fit.
    pub fn dominates(&self, other: &Self) -> bool {
        self.members >= other.members
            && self.per_member.contains(&other.per_member)
            && self.adjacency <= other.adjacency
    }
}

/// Returns whether a job of one shape can run within the accelerators of a guaranteed shape.
///
/// Each member of the guaranteed shape can hold several smaller members of the job. A shape on a
/// single worker can be divided in any way.
pub fn covers(guaranteed: &GangShape, job: &GangShape) -> bool {
    if guaranteed.adjacency > job.adjacency || job.accelerators == 0 {
        return false;
    }
    if guaranteed.adjacency == AdjacencyLevel::Worker {
        return job.total() <= guaranteed.total();
    }
    job.members <= guaranteed.members * (guaranteed.accelerators / job.accelerators)
}
