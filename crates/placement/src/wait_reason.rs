//! Reasons why a job waits, each shown to its customer as one sentence.

use std::fmt;

/// Why a waiting job was not started by the last decision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WaitReason {
    /// No decision has considered the job yet; each one places a limited number of jobs.
    NotConsidered,
    /// The settings have no such customer.
    UnknownCustomer(String),
    /// The job would exceed its customer's quota.
    Quota {
        /// Accelerators that the customer uses in all failure domains.
        in_use: u32,
        /// Accelerators that the job needs.
        needed: u32,
        /// Maximum number of accelerators of the customer.
        quota: u32,
    },
    /// The previous attempt of the job is still being torn down.
    Teardown,
    /// The job has a placement and waits for this number of preempted gangs to stop.
    Preempting(u32),
    /// The job is within a guarantee of its customer, given here by shape, but its members need
    /// more cores or memory than their share of a worker's accelerators allows.
    OverGuaranteedShare(String),
    /// Fewer accelerators are free than the job needs.
    TooFewFree {
        /// Accelerators free on all usable workers.
        free: u32,
        /// Accelerators that the job needs.
        needed: u32,
    },
    /// Enough accelerators are free, but not in the job's shape.
    ShapeNotFree {
        /// Accelerators free on all usable workers.
        free: u32,
        /// Shape of the job.
        shape: String,
    },
    /// Enough accelerators are free in the job's shape, but the same workers lack free cores or
    /// memory.
    HostResources {
        /// Shape of the job.
        shape: String,
    },
    /// The job's shape fits the healthy domain, but not the workers that are usable now.
    WorkersLost(String),
    /// The policy starts jobs strictly in order, and the job with this id is ahead.
    StrictOrder(String),
}

impl WaitReason {
    /// Returns whether the job waits because of its own customer or attempt, not because others use
    /// the accelerators.
    pub fn is_customer_limit(&self) -> bool {
        matches!(self, Self::UnknownCustomer(_) | Self::Quota { .. } | Self::Teardown)
    }
}

impl fmt::Display for WaitReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotConsidered => formatter.write_str("The job waits for the next decision."),
            Self::UnknownCustomer(customer) => {
                write!(formatter, "The settings do not name the customer {customer}; add it.")
            }
            Self::Quota { in_use, needed, quota } => write!(
                formatter,
                "The customer uses {in_use} accelerators of its quota of {quota}, and the job needs \
                 {needed} more."
            ),
            Self::Teardown => {
                formatter.write_str("The job's earlier attempt is still being torn down.")
            }
            Self::Preempting(count) => write!(
                formatter,
                "The job has a place and waits until {count} other jobs have left it."
            ),
            Self::OverGuaranteedShare(shape) => write!(
                formatter,
                "The job asks for more cores or memory than the guarantee {shape} carries with its \
                 accelerators, so it waits for free accelerators as a borrower."
            ),
            Self::TooFewFree { free, needed } => {
                write!(formatter, "The job needs {needed} accelerators and {free} are free.")
            }
            Self::ShapeNotFree { free, shape } => write!(
                formatter,
                "{free} accelerators are free, but not in the shape {shape} that the job needs."
            ),
            Self::HostResources { shape } => write!(
                formatter,
                "Accelerators for {shape} are free, but not with the cores and memory that the job \
                 needs beside them."
            ),
            Self::WorkersLost(shape) => write!(
                formatter,
                "The usable workers cannot hold {shape} now; the job waits until lost workers return."
            ),
            Self::StrictOrder(job) => {
                write!(formatter, "The job {job} is before it, and the policy keeps strict order.")
            }
        }
    }
}
