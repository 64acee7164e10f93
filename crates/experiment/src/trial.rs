//! Trials: simulations of a user's region under a seeded load.
//!
//! One scheduler process for each of the four failure domains runs within this process and reaches
//! the key-value service, the instance list and the workers over HTTP. Time is real and tasks are
//! short.

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

/// The parameters of one trial.
#[derive(Clone, Debug)]
pub struct TrialPlan {
    /// The user whose region is simulated.
    pub user: UserName,
    /// The placement policy.
    pub placement: PlacementChoice,
    /// The policy for running gangs of a domain that is disabled.
    pub on_domain_out: DomainOutAction,
    /// The seed of the workload, the workers' speeds and the other stand-ins.
    pub seed: u64,
    /// The time during which jobs arrive.
    pub load: Duration,
    /// When to disable a failure domain; `None` for never.
    pub disable: Option<DisablePlan>,
}

impl TrialPlan {
    /// Returns the failure domain that the trial disables, chosen by the seed; empty if there are
    /// no domains.
    pub fn disabled_domain(&self, domains: &[String]) -> String {
        let index = usize::try_from(self.seed).unwrap_or_default() % domains.len().max(1);
        domains.get(index).cloned().unwrap_or_default()
    }
}

/// Returns the serialized name of a value, such as of a policy in the settings tree; empty if the
/// value isn't serialized as a string.
pub fn serialized_name<T>(value: &T) -> String
where
    T: serde::Serialize,
{
    let value = serde_json::to_value(value).unwrap_or_default();
    value.as_str().unwrap_or_default().to_owned()
}
