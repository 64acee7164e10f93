//! Admission control of guarantees in a settings change.
//!
//! Guarantees are promised against the healthy domain. A change whose guarantees can't all be
//! placed together on the nominal racks is refused before a customer relies on it.

use std::collections::BTreeMap;

use lacewingrail_model::RackName;
use lacewingrail_model::shape::GangShape;

use crate::amount::{GangDemand, ResourceAmount};
use crate::packing::RackMap;

/// Checks that all guaranteed shapes can be placed together on healthy racks.
///
/// `racks` has the number of accelerators of each worker of each rack. Cores and memory are not
/// checked.
///
/// # Errors
///
/// Returns the index of the first shape that does not fit together with those before it.
pub fn check(racks: &BTreeMap<RackName, Vec<u32>>, shapes: &[GangShape]) -> Result<(), usize> {
    let names = racks.iter().flat_map(|(name, workers)| workers.iter().map(|_| name.as_str()));
    let map = RackMap::new(names);
    let available: Vec<ResourceAmount> =
        racks.values().flatten().map(|count| ResourceAmount::unlimited(*count)).collect();
    let demands: Vec<GangDemand> = shapes.iter().map(GangDemand::from_shape).collect();
    let fits = |count: usize| map.pack(&mut available.clone(), &demands[..count]).is_some();
    if fits(demands.len()) {
        return Ok(());
    }
    // If a list of shapes does not fit, neither does one that extends it, so a binary search finds
    // the first failure.
    let (mut fitting, mut failing) = (0, demands.len());
    while failing - fitting > 1 {
        let middle = fitting + (failing - fitting) / 2;
        if fits(middle) {
            fitting = middle;
        } else {
            failing = middle;
        }
    }
    Err(failing - 1)
}
