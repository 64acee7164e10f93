//! The interface of placement policies and the choice of one from settings.

use std::time::Duration;

use lacewingrail_model::config::PlacementChoice;

use crate::baseline::{CountPolicy, FifoPolicy};
use crate::shape_policy::ShapePolicy;
use crate::state::DomainState;
use crate::types::PlacementAction;

/// Decides which jobs to start, preempt and refuse.
pub trait PlacementPolicy: Send + Sync {
    /// Makes one decision. The returned actions are already applied to `state`, so a later decision
    /// doesn't repeat them.
    fn decide(&self, state: &mut DomainState, now: Duration) -> Vec<PlacementAction>;
}

/// Returns the implementation of a policy named in settings.
pub fn policy_of(policy_choice: PlacementChoice) -> Box<dyn PlacementPolicy> {
    match policy_choice {
        PlacementChoice::Shape => Box::new(ShapePolicy),
        PlacementChoice::Count => Box::new(CountPolicy),
        PlacementChoice::Fifo => Box::new(FifoPolicy),
    }
}
