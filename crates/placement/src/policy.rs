//! The placement policies behind one trait.

use std::time::Duration;

use lacewingrail_model::config::PlacementChoice;

use crate::baseline::{CountPolicy, FifoPolicy};
use crate::board::PlacementBoard;
use crate::shape_policy::ShapePolicy;
use crate::types::PlacementAction;

/// Decides what to start, preempt and refuse.
pub trait PlacementPolicy: Send + Sync {
    /// Takes one decision; the board already holds its effects when the actions are returned.
    fn decide(&self, board: &mut PlacementBoard, now: Duration) -> Vec<PlacementAction>;
}

/// Returns the policy that settings choose.
pub fn policy_of(choice: PlacementChoice) -> Box<dyn PlacementPolicy> {
    match choice {
        PlacementChoice::Shape => Box::new(ShapePolicy),
        PlacementChoice::Count => Box::new(CountPolicy),
        PlacementChoice::Fifo => Box::new(FifoPolicy),
    }
}
