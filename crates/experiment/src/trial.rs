//! One run of the scheduler processes of a user's region under a seeded load.
//!
//! Four scheduler processes, one for each failure domain, run within this process and reach the
//! key-value service, the instance list and the workers over HTTP. Time is real and tasks are short.

pub mod attempts;
pub mod client;
pub mod disabled_domain;
pub mod environment;
pub mod faults;
pub mod figures;
pub mod fragmentation;
pub mod real_work;
pub mod runner;
pub mod summary;
pub mod user;
pub mod workload;

use std::time::Duration;

use lacewingrail_model::config::{DomainOutAction, PlacementChoice};

use crate::trial::faults::DisablePlan;
use crate::trial::user::UserName;

/// Describes one run.
#[derive(Clone, Debug)]
pub struct TrialPlan {
    /// User whose region runs.
    pub user: UserName,
    /// Placement policy.
    pub placement: PlacementChoice,
    /// Policy for running gangs of a domain that is taken out.
    pub on_domain_out: DomainOutAction,
    /// Seed of the workload and of the workers' speeds.
    pub seed: u64,
    /// Time during which jobs arrive.
    pub load: Duration,
    /// Take-out of a failure domain, if any.
    pub disable: Option<DisablePlan>,
}

impl TrialPlan {
    /// Returns the failure domain that the run takes out.
    pub fn disabled_domain(&self, domains: &[String]) -> String {
        let index = usize::try_from(self.seed).unwrap_or_default() % domains.len().max(1);
        domains.get(index).cloned().unwrap_or_default()
    }
}

/// Returns the name of a policy as the settings tree writes it.
pub fn setting_name<T>(value: &T) -> String
where
    T: serde::Serialize,
{
    let value = serde_json::to_value(value).unwrap_or_default();
    value.as_str().unwrap_or_default().to_owned()
}
