//! Tests of the admission control of guarantees.

use std::collections::BTreeMap;

use lacewingrail_model::shape::{AdjacencyLevel, GangShape};
use lacewingrail_placement::admission::check;

fn shape(members: u32, accelerators: u32, adjacency: AdjacencyLevel) -> GangShape {
    GangShape { members, accelerators, adjacency }
}

fn racks(workers: &[&[u32]]) -> BTreeMap<String, Vec<u32>> {
    workers.iter().enumerate().map(|(index, rack)| (format!("r{index}"), rack.to_vec())).collect()
}

/// Guards against an admission by number of accelerators: there are 12, but no rack holds 8
/// members.
#[test]
fn refuses_shape_that_fits_only_by_count() {
    let domain = racks(&[&[2, 2, 2], &[2, 2, 2]]);
    assert_eq!(check(&domain, &[shape(8, 1, AdjacencyLevel::Rack)]), Err(0));
    assert_eq!(check(&domain, &[shape(8, 1, AdjacencyLevel::Domain)]), Ok(()));
}

/// Guards against naming the wrong guarantee: the first two shapes fit, and the third one no longer
/// does.
#[test]
fn names_first_shape_that_does_not_fit() {
    let domain = racks(&[&[8; 6]]);
    let shapes = [
        shape(2, 8, AdjacencyLevel::Rack),
        shape(3, 8, AdjacencyLevel::Rack),
        shape(2, 8, AdjacencyLevel::Rack),
        shape(1, 8, AdjacencyLevel::Worker),
    ];
    assert_eq!(check(&domain, &shapes), Err(2));
}

/// Guards against refusing shapes that fit together only if each gang goes to the rack that it
/// fills, among racks with unequal workers. Without racks nothing fits, and without shapes
/// everything does.
#[test]
fn packs_racks_of_six_with_unequal_workers() {
    let domain = racks(&[&[8, 8, 8, 8, 4, 4], &[8, 8, 8, 8, 8, 8], &[4, 4, 4, 4, 0, 0]]);
    let shapes = [
        shape(4, 8, AdjacencyLevel::Rack),
        shape(6, 8, AdjacencyLevel::Rack),
        shape(4, 4, AdjacencyLevel::Rack),
        shape(2, 4, AdjacencyLevel::Rack),
    ];
    assert_eq!(check(&domain, &shapes), Ok(()));
    assert_eq!(check(&racks(&[]), &shapes), Err(0));
    assert_eq!(check(&racks(&[]), &[]), Ok(()));
}
