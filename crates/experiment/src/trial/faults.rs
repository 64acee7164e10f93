//! Faults of one run besides those of the workload.

use std::time::Duration;

use serde::Serialize;

/// Names what goes wrong while a failure domain is out.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DisableFault {
    /// Nothing.
    None,
    /// The key-value service answers nothing for 20 s.
    StoreOutage,
    /// The processes of the domain do not reach the key-value service.
    DomainCut,
}

/// Describes the take-out of a failure domain.
#[derive(Clone, Copy, Debug)]
pub struct DisablePlan {
    /// Time of the take-out since the start of the load.
    pub offset: Duration,
    /// Time from the take-out to the return.
    pub duration: Duration,
    /// Fault at the same time.
    pub fault: DisableFault,
}

/// Time for which the key-value service is out.
pub const STORE_OUTAGE_DURATION: Duration = Duration::from_secs(20);
/// Time from the acceptance of the take-out to the outage, so that the take-out itself is possible.
pub const STORE_OUTAGE_DELAY: Duration = Duration::from_secs(1);
/// Time from the cut of the domain to the take-out.
pub const PARTITION_LEAD_TIME: Duration = Duration::from_millis(500);

/// Holds what happened to the failure domain, in the fleet's clock.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DisableTimes {
    /// Failure domain.
    pub domain: String,
    /// Request to take it out.
    pub requested_ms: u64,
    /// Acceptance of the take-out.
    pub accepted_ms: u64,
    /// Acceptance of the return.
    pub returned_ms: u64,
    /// Steps that the API reported.
    pub steps: Vec<String>,
}
