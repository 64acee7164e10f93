//! The admission test of a settings change.
//!
//! Guarantees are promised against the healthy domain. A change whose guarantees cannot all be
//! placed together on the nominal racks is refused before anyone relies on it.

use std::collections::BTreeMap;

use lacewingrail_model::RackName;
use lacewingrail_model::shape::GangShape;

use crate::amount::{GangDemand, ResourceAmount};
use crate::packing::RackMap;

/// Checks that all shapes can be placed together on whole healthy racks.
///
/// A rack is given by the accelerators of each of its workers.
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
    // A longer list never fits where a shorter one does not, so the first failure can be bisected.
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
