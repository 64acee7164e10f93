//! Amounts of worker resources, and the demand of a gang.

use lacewingrail_model::job::JobSpec;
use lacewingrail_model::shape::{AdjacencyLevel, GangShape};

/// An amount of each resource that workers have.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct ResourceAmount {
    pub accelerators: u32,
    /// Number of CPU cores.
    pub cores: u32,
    /// Megabytes of memory.
    pub memory_mb: u64,
}

impl ResourceAmount {
    /// Returns a number of accelerators with cores and memory that never limit.
    pub fn unlimited(accelerators: u32) -> Self {
        Self { accelerators, cores: u32::MAX, memory_mb: u64::MAX }
    }

    /// Adds another amount; each resource saturates.
    pub fn add(&mut self, other: Self) {
        self.accelerators = self.accelerators.saturating_add(other.accelerators);
        self.cores = self.cores.saturating_add(other.cores);
        self.memory_mb = self.memory_mb.saturating_add(other.memory_mb);
    }

    /// Subtracts another amount; each resource stops at zero.
    pub fn subtract(&mut self, other: Self) {
        self.accelerators = self.accelerators.saturating_sub(other.accelerators);
        self.cores = self.cores.saturating_sub(other.cores);
        self.memory_mb = self.memory_mb.saturating_sub(other.memory_mb);
    }

    /// Returns the amount multiplied by a count; each resource saturates.
    pub fn times(&self, count: u32) -> Self {
        Self {
            accelerators: self.accelerators.saturating_mul(count),
            cores: self.cores.saturating_mul(count),
            memory_mb: self.memory_mb.saturating_mul(u64::from(count)),
        }
    }

    /// Returns whether each resource is at least that of another amount.
    pub fn contains(&self, other: &Self) -> bool {
        self.accelerators >= other.accelerators
            && self.cores >= other.cores
            && self.memory_mb >= other.memory_mb
    }

    /// Returns the smaller value of each resource.
    pub fn component_min(&self, other: &Self) -> Self {
        Self {
            accelerators: self.accelerators.min(other.accelerators),
            cores: self.cores.min(other.cores),
            memory_mb: self.memory_mb.min(other.memory_mb),
        }
    }

    /// Returns the greater value of each resource.
    pub fn component_max(&self, other: &Self) -> Self {
        Self {
            accelerators: self.accelerators.max(other.accelerators),
            cores: self.cores.max(other.cores),
            memory_mb: self.memory_mb.max(other.memory_mb),
        }
    }

    /// Returns how many members fit into this amount, at most `limit`. A resource that members
    /// don't need does not limit.
    pub fn fit_count(&self, per_member: &Self, limit: u32) -> u32 {
        let mut count = limit;
        if let Some(fitting) = self.accelerators.checked_div(per_member.accelerators) {
            count = count.min(fitting);
        }
        if let Some(fitting) = self.cores.checked_div(per_member.cores) {
            count = count.min(fitting);
        }
        if let Some(fitting) = self.memory_mb.checked_div(per_member.memory_mb) {
            count = count.min(u32::try_from(fitting).unwrap_or(u32::MAX));
        }
        count
    }
}

/// The resources that a gang needs and how close together its members must be.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct GangDemand {
    pub members: u32,
    pub per_member: ResourceAmount,
    /// What all members must share: one worker, one rack or only the domain.
    pub adjacency: AdjacencyLevel,
}

impl GangDemand {
    /// Returns the demand of a guaranteed shape. Guarantees cover accelerators, so it has neither
    /// cores nor memory.
    pub fn from_shape(shape: &GangShape) -> Self {
        let per_member =
            ResourceAmount { accelerators: shape.accelerators, cores: 0, memory_mb: 0 };
        Self { members: shape.members, per_member, adjacency: shape.adjacency }
    }

    /// Returns the demand of a job as submitted.
    pub fn from_job(spec: &JobSpec) -> Self {
        let per_member = ResourceAmount {
            accelerators: spec.shape.accelerators,
            cores: spec.cores,
            memory_mb: spec.memory_mb,
        };
        Self { members: spec.shape.members, per_member, adjacency: spec.shape.adjacency }
    }

    /// Returns the number of accelerators of all members together.
    pub fn total(&self) -> u32 {
        self.members * self.per_member.accelerators
    }

    /// Returns whether this demand is at least as hard to place as `other`: where `other` does not
    /// fit, this one does not fit either.
    pub fn dominates(&self, other: &Self) -> bool {
        self.members >= other.members
            && self.per_member.contains(&other.per_member)
            && self.adjacency <= other.adjacency
    }
}

/// Returns whether a job can run on the accelerators of a guaranteed shape.
///
/// Each member of the guaranteed shape can hold several smaller members of the job. A guaranteed
/// shape on a single worker can be divided in any way. A job without accelerators is never covered.
pub fn covers(guaranteed: &GangShape, job: &GangShape) -> bool {
    if guaranteed.adjacency > job.adjacency || job.accelerators == 0 {
        return false;
    }
    if guaranteed.adjacency == AdjacencyLevel::Worker {
        return job.total() <= guaranteed.total();
    }
    job.members <= guaranteed.members * (guaranteed.accelerators / job.accelerators)
}
