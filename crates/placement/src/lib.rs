//! Placement of gangs in a failure domain: packing, guarantees, queue order and preemption.
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
