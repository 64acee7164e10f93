//! Decisions of the active scheduler over jobs made of steps.
//!
//! A job has steps, a step has tasks, and some steps are gangs whose tasks run together or not at
//! all. The [`FleetPlanner`] receives events (a submission, the list of workers, the answer of a
//! worker, the passing of time) and returns orders (start, stop, renew, store). It reads no clock,
//! draws no random numbers and performs no input or output. So the same events give the same
//! orders, and a recorded load can be replayed as a test.
//!
//! A run is one execution of a task on a worker; a task may need several runs before it is done.
//! All runs on a worker share a lease and stop when it expires. An incarnation of a worker lasts
//! from one start of its process to the next. A recurring job has an occurrence for each time at
//! which it is due. The objective of a job is the time from its acceptance within which it is on
//! time.
//!
//! [`queue`] decides the order of waiting steps, [`admission`] and [`backlog`] which submissions
//! are refused, [`guarantee`] which urgent jobs a customer's guarantee covers, [`advice`] on which
//! workers a queue's adviser lets a step run, [`cpu_limit`] how much processor time best-effort
//! tasks get on the same worker as others, [`placement`] on which workers tasks start, and
//! [`preemption`] which runs are stopped for more urgent work. [`recovery`] holds what a new scheduler
//! has not been told yet, [`fencing`] makes late copies of calls harmless for the incarnation that
//! they were meant for, and [`open_start`] those of starts for the ones that follow.

pub mod admission;
pub mod advice;
pub mod amount;
pub mod backlog;
pub mod config;
pub mod cpu_limit;
pub mod end_log;
pub mod event;
pub mod fencing;
pub mod guarantee;
pub mod job;
pub mod open_start;
pub mod order;
pub mod placement;
pub mod planner;
pub mod preemption;
pub mod queue;
pub mod record;
pub mod recovery;
pub mod run;
pub mod spec;
pub mod speed;
pub mod step;
pub mod worker;

pub use advice::{AdviceCandidate, AdvicePolicy, WorkerTicket};
pub use amount::ResourceAmount;
pub use config::{CustomerGuarantee, FleetConfig, QueuePolicy};
pub use event::{
    ActiveRun, EndReason, EndedRun, FleetEvent, LeaseReport, StartOutcome, StartRefusal,
    WorkerListing,
};
pub use fencing::FencingToken;
pub use job::JobPhase;
pub use order::{AdviceRequest, FleetOrder, StartOrder, TaskRun};
pub use planner::{FleetPlanner, PlannerLogEvent, PlannerSettings};
pub use record::JobProgress;
pub use spec::{JobKey, JobSpec, JobSubmission, RunNumber, StepKey, StepSpec, TaskKey};
