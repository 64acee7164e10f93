//! Placement of gangs in a failure domain: packing, guarantees, queue order and preemption.
//!
//! The members of a gang run all together or not at all. The shape of a gang is its number of
//! members, the accelerators of each member and the adjacency: what all members must share. A
//! guarantee consists of units, each one shape, and the footprint of a unit is the accelerators
//! that are reserved for it. A gang that runs outside the guarantees of its customer is a borrower
//! and may be preempted. A claim is the placement of a job that waits until the gangs on it are
//! stopped.
//!
//! All code is synchronous and deterministic. The current time is passed in as a
//! [`std::time::Duration`] since an arbitrary start and no decision reads a clock, so a recorded
//! sequence of events gives the same decisions when it is replayed.

pub mod admission;
mod amount;
mod baseline;
mod gang;
mod guaranteed;
pub mod health;
mod invariants;
mod packing;
mod plan;
pub mod planner;
mod policy;
mod queue;
mod reclaim;
mod replan;
mod shape_policy;
mod state;
mod status;
pub mod types;
mod wait_reason;
mod worker_pool;

pub use health::{FailureOutcome, HealthTracker, WorkerHealth};
pub use planner::DomainPlanner;
pub use types::{
    CustomerShare, DomainCounts, FragmentationStats, MemberPlacement, PendingJob, PlacementAction,
    RunningGang, ShapeGuarantee, WorkerCapacity,
};
