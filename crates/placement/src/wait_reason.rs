//! Reasons for which a job waits, as one sentence for its customer.

use std::fmt;

/// Says what is in a job's way.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WaitReason {
    /// Nothing was tried yet, or jobs before it took the decision's time.
    NotConsidered,
    /// The customer is not in the settings.
    UnknownCustomer(String),
    /// The customer's quota is used up.
    Quota {
        /// Accelerators in use over all failure domains.
        in_use: u32,
        /// Accelerators that the job needs.
        needed: u32,
        /// Most accelerators.
        quota: u32,
    },
    /// Its earlier attempt is still being torn down.
    Teardown,
    /// Others are being stopped for it.
    Preempting(u32),
    /// Its members ask for more cores or memory than its guaranteed accelerators carry.
    OverGuaranteedShare(String),
    /// Fewer accelerators are free than it needs.
    TooFewFree {
        /// Free accelerators.
        free: u32,
        /// Accelerators that the job needs.
        needed: u32,
    },
    /// Enough accelerators are free, but not in its shape.
    ShapeNotFree {
        /// Free accelerators.
        free: u32,
        /// Shape of the job.
        shape: String,
    },
    /// Enough accelerators are free in its shape, but cores or memory beside them are not.
    HostResources {
        /// Shape of the job.
        shape: String,
    },
    /// Workers that it needs are lost for the time being.
    WorkersLost(String),
    /// The policy starts jobs strictly in order.
    StrictOrder(String),
}

impl WaitReason {
    /// Returns whether the customer's own limits are in the way and not the use by others.
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
