//! Whether a shape fits the capacity of a healthy failure domain.

use lacewingrail_model::config::DomainConfig;
use lacewingrail_model::shape::{GangShape, MAX_GANG_MEMBERS};
use lacewingrail_placement::admission;

/// Maximum number of accelerators of one gang member; workers are assumed to have at most 8.
pub const MAX_MEMBER_ACCELERATORS: u32 = 8;

/// Returns whether a shape fits in a failure domain whose racks are all healthy and empty.
pub fn fits(domain: &DomainConfig, shape: GangShape) -> bool {
    (1..=MAX_GANG_MEMBERS).contains(&shape.members)
        && shape.accelerators <= MAX_MEMBER_ACCELERATORS
        && admission::check(&domain.nominal_racks, &[shape]).is_ok()
}
