//! Decisions of the active scheduler over jobs made of steps.
//!
//! A job has steps, a step has tasks, and some steps are gangs whose tasks run together or not at
//! all. The [`FleetPlanner`] takes events (a submission, the list of workers, the answer of a worker,
//! the passing of time) and returns orders (start, stop, renew, store). It reads no clock, draws no
//! random numbers and performs no input or output, so the same events give the same orders and a
//! recorded load replays as a test.
//!
//! What waits and in which order is decided in [`queue`], what is turned away in [`admission`], which
//! urgent jobs are covered by a customer's guarantee in [`guarantee`], which workers a queue's policy
//! allows in [`advice`], how much filling tasks work beside others in [`pace`], where work runs in
//! [`placement`], and what is stopped for more urgent work in [`reclaim`].

pub mod admission;
pub mod advice;
pub mod amount;
pub mod backlog;
pub mod config;
pub mod event;
pub mod guarantee;
pub mod job;
pub mod order;
pub mod pace;
pub mod placement;
pub mod planner;
pub mod queue;
pub mod reclaim;
pub mod record;
pub mod spec;
pub mod speed;
pub mod worker;

pub use advice::{AdviceCandidate, AdvicePolicy, WorkerTicket};
pub use amount::ResourceAmount;
pub use config::{CustomerGuarantee, FleetConfig, QueuePolicy};
pub use event::{
    ActiveRun, EndReason, EndedRun, FleetEvent, LeaseReport, StartOutcome, StartRefusal,
    WorkerListing,
};
pub use job::JobPhase;
pub use order::{AdviceRequest, FleetOrder, StartOrder, TaskRun};
pub use planner::{FleetPlanner, PlannerNote, PlannerSettings};
pub use record::JobProgress;
pub use spec::{JobKey, JobSpec, JobSubmission, RunNumber, StepKey, StepSpec, TaskKey};
