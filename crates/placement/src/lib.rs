//! Placement decisions: cells, packing, guarantees, queue order and preemption victims.
//!
//! Everything here is synchronous and deterministic. Time comes in as a [`std::time::Duration`]
//! since an arbitrary start, and no decision reads a clock, so that a recorded sequence of events
//! gives the same decisions when it is replayed.

pub mod admission;
mod amount;
mod audit;
mod baseline;
mod board;
mod floor;
mod gang;
mod guaranteed;
pub mod health;
mod packing;
mod plan;
pub mod planner;
mod policy;
mod queue;
mod reason;
mod reclaim;
mod replan;
mod shape_policy;
mod status;
pub mod types;

pub use health::{FailureOutcome, HealthTracker, WorkerHealth};
pub use planner::DomainPlanner;
pub use types::{
    CustomerShare, DomainCounts, FragmentationStats, MemberPlacement, PendingJob, PlacementAction,
    RunningGang, ShapeGuarantee, WorkerCapacity,
};
