//! What a healthy failure domain can hold.

use lacewingrail_model::config::DomainConfig;
use lacewingrail_model::shape::{GangShape, MAX_GANG_MEMBERS};
use lacewingrail_placement::admission;

/// Most accelerators of one member, from the workers that the design assumes.
pub const MAX_MEMBER_ACCELERATORS: u32 = 8;

/// Returns whether a shape fits on the empty healthy racks of a failure domain.
pub fn fits(domain: &DomainConfig, shape: GangShape) -> bool {
    (1..=MAX_GANG_MEMBERS).contains(&shape.members)
        && shape.accelerators <= MAX_MEMBER_ACCELERATORS
        && admission::check(&domain.nominal_racks, &[shape]).is_ok()
}
