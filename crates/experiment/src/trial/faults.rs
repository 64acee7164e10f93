//! When a trial disables a failure domain, and the faults that it injects around that time.
//!
//! Disabling takes the domain out of service through the administration API until it is re-enabled.

use std::time::Duration;

use serde::Serialize;

/// A fault injected around the time at which a failure domain is disabled.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DisableFault {
    /// The domain is disabled and re-enabled while all processes reach the key-value service.
    None,
    /// The key-value service is unavailable for [`STORE_OUTAGE_DURATION`], from
    /// [`STORE_OUTAGE_DELAY`] after the disabling.
    StoreOutage,
    /// The processes of the domain are partitioned from the key-value service, from
    /// [`PARTITION_LEAD_TIME`] before the disabling until the planned re-enabling.
    DomainCut,
}

/// When and under which fault a failure domain is disabled.
#[derive(Clone, Copy, Debug)]
pub struct DisablePlan {
    /// The time from the start of the load until the domain is disabled.
    pub offset: Duration,
    /// The time from disabling to re-enabling.
    pub duration: Duration,
    /// The fault injected around that time.
    pub fault: DisableFault,
}

/// Time for which the key-value service is unavailable.
pub const STORE_OUTAGE_DURATION: Duration = Duration::from_secs(20);
/// Time from the acceptance of the disabling to the outage; the disabling itself needs the store.
pub const STORE_OUTAGE_DELAY: Duration = Duration::from_secs(1);
/// Time from the partition of the domain until it is disabled.
pub const PARTITION_LEAD_TIME: Duration = Duration::from_millis(500);

/// When the failure domain was disabled and re-enabled, in Unix milliseconds on the clock of the
/// simulated workers.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DisableTimes {
    /// The name of the disabled failure domain.
    pub domain: String,
    /// When disabling was first requested.
    pub requested_ms: u64,
    /// When disabling was accepted.
    pub accepted_ms: u64,
    /// When re-enabling was accepted.
    pub returned_ms: u64,
    /// The steps that the API reported for both changes.
    pub steps: Vec<String>,
}
