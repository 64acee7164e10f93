//! Rebuilds the plan of guaranteed shapes after a change of workers or guarantees.
//!
//! Units keep their footprints where these are still valid, and the others are placed on what
//! remains. If that fails, all units that no gang holds are packed from scratch. If that fails too,
//! the units are honoured in the order of precedence, age and customer name, and those that don't
//! fit are suspended.

use std::collections::BTreeMap;

use lacewingrail_model::CustomerName;
use lacewingrail_model::shape::GangShape;

use crate::amount::GangDemand;
use crate::gang::{GangTable, PlacedGang};
use crate::packing::{RackMap, subtract_placement};
use crate::plan::{
    Footprint, FootprintPart, GuaranteePlan, UnitState, accelerators_only, add_footprint,
    fits_within, footprint_around, footprint_of, subtract_footprint,
};
use crate::types::ShapeGuarantee;
use crate::worker_pool::WorkerPool;

/// Footprints of unused units in the previous plan, which units of the same customer and shape may
/// keep.
type FootprintMap = BTreeMap<(CustomerName, GangShape), Vec<Footprint>>;

/// Returns a new plan for the guarantees. Gangs that hold a unit in it become protected, all others
/// preemptible.
pub fn rebuild(
    guarantees: Vec<ShapeGuarantee>,
    previous: &GuaranteePlan,
    pool: &WorkerPool,
    gangs: &mut GangTable,
) -> GuaranteePlan {
    let capacity: Vec<u32> =
        pool.workers.iter().map(|worker| worker.usable_capacity().accelerators).collect();
    let mut plan = GuaranteePlan::new(guarantees, &capacity);
    assign_running_gangs(&mut plan, previous, pool, gangs);
    reuse_footprints(&mut plan, previous, &pool.rack_map);
    if !place_suspended(&mut plan, &pool.rack_map) && !repack_unheld(&mut plan, &pool.rack_map) {
        place_by_precedence(&mut plan, &pool.rack_map);
    }
    let slots: Vec<usize> = gangs.iter().map(|(slot, _)| slot).collect();
    for slot in slots {
        let protected = plan.unit_of_slot(slot).is_some();
        if let Some(gang) = gangs.get_mut(slot) {
            gang.protected = protected;
        }
    }
    plan
}

/// Assigns units to the gangs that were started under a guarantee, in the order of their starts.
fn assign_running_gangs(
    plan: &mut GuaranteePlan,
    previous: &GuaranteePlan,
    pool: &WorkerPool,
    gangs: &GangTable,
) {
    let mut guaranteed: Vec<(usize, &PlacedGang)> =
        gangs.iter().filter(|(_, gang)| gang.guaranteed).collect();
    guaranteed.sort_by_key(|(_, gang)| gang.sequence);
    let mut unassigned = Vec::new();
    for (slot, gang) in guaranteed {
        // A gang keeps a unit of the shape that it held before, because a unit of a larger shape
        // might not fit around it.
        let old = previous.unit_of_slot(slot).map(|unit| &previous.units[unit]);
        let kept = old.and_then(|old| {
            let units = plan.units_of(&gang.customer).iter().copied();
            let mut same = units.filter(|unit| plan.units[*unit].shape == old.shape);
            let unit = same.find(|unit| matches!(plan.units[*unit].state, UnitState::Suspended(_)));
            Some((unit?, old.footprint.clone()))
        });
        let kept = kept.filter(|(_, footprint)| is_footprint_free(plan, pool, footprint));
        match kept {
            Some((unit, footprint)) => plan.assign(unit, footprint, UnitState::Held(slot)),
            None => unassigned.push((slot, gang)),
        }
    }
    for (slot, gang) in unassigned {
        let without_footprint = |state: &UnitState| matches!(state, UnitState::Suspended(_));
        let Some(unit) = plan.find_covering(&gang.customer, &gang.shape, without_footprint) else {
            continue;
        };
        let occupied = footprint_of(&gang.placement, &gang.demand);
        let shape = plan.units[unit].shape;
        let footprint = footprint_around(&plan.unplanned, &pool.rack_map, &shape, &occupied)
            .unwrap_or(occupied);
        // The accelerators of a gang that lost its guarantee may belong to another unit by now.
        if !is_footprint_free(plan, pool, &footprint) {
            continue;
        }
        plan.assign(unit, footprint, UnitState::Held(slot));
    }
}

/// Returns whether the footprint of a running gang overlaps no other. Workers that may not get new
/// members are not checked: they have no capacity in the plan, but gangs on them may continue.
fn is_footprint_free(plan: &GuaranteePlan, pool: &WorkerPool, footprint: &[FootprintPart]) -> bool {
    footprint.iter().all(|part| {
        !pool.workers[part.worker].is_usable() || fits_within(&plan.unplanned, &[*part])
    })
}

/// Reuses footprints of unused units in the previous plan for units of the same customer and shape.
fn reuse_footprints(plan: &mut GuaranteePlan, previous: &GuaranteePlan, map: &RackMap) {
    let mut reusable = FootprintMap::new();
    for unit in
        previous.units.iter().filter(|unit| unit.is_unused() && unit.has_whole_footprint(map))
    {
        let customer = previous.guarantees[unit.guarantee].customer.clone();
        reusable.entry((customer, unit.shape)).or_default().push(unit.footprint.clone());
    }
    for unit in suspended_units(plan) {
        let customer = plan.guarantees[plan.units[unit].guarantee].customer.clone();
        let Some(footprints) = reusable.get_mut(&(customer, plan.units[unit].shape)) else {
            continue;
        };
        while let Some(footprint) = footprints.pop() {
            if fits_within(&plan.unplanned, &footprint) {
                plan.assign(unit, footprint, UnitState::Unused);
                break;
            }
        }
    }
}

/// Places the units that have no footprint on accelerators outside all footprints, the largest
/// first. Returns false if one does not fit; those before it keep their footprints.
fn place_suspended(plan: &mut GuaranteePlan, map: &RackMap) -> bool {
    let mut missing = suspended_units(plan);
    missing.sort_by_key(|unit| {
        let shape = plan.units[*unit].shape;
        (u32::MAX - shape.total(), shape.adjacency)
    });
    let mut available = accelerators_only(&plan.unplanned);
    for unit in missing {
        let demand = GangDemand::from_shape(&plan.units[unit].shape);
        let Some(placement) = map.fit(&available, &demand, 0) else {
            return false;
        };
        subtract_placement(&mut available, &placement, &demand.per_member);
        plan.assign(unit, footprint_of(&placement, &demand), UnitState::Unused);
    }
    true
}

/// Packs all units that no gang holds from scratch. Returns false and changes nothing if they don't
/// fit together.
fn repack_unheld(plan: &mut GuaranteePlan, map: &RackMap) -> bool {
    let units: Vec<usize> = (0..plan.units.len())
        .filter(|unit| !matches!(plan.units[*unit].state, UnitState::Held(_)))
        .collect();
    pack_units(plan, map, &units)
}

/// Packs some units that no gang holds, where only held units take up capacity. Returns false and
/// changes nothing if they don't fit together.
fn pack_units(plan: &mut GuaranteePlan, map: &RackMap, units: &[usize]) -> bool {
    let demands: Vec<GangDemand> =
        units.iter().map(|unit| GangDemand::from_shape(&plan.units[*unit].shape)).collect();
    let Some(placements) = map.pack(&mut accelerators_only(&plan.unheld), &demands) else {
        return false;
    };
    for unit in units {
        plan.unassign(*unit);
    }
    for ((unit, placement), demand) in units.iter().zip(placements).zip(&demands) {
        plan.assign(*unit, footprint_of(&placement, demand), UnitState::Unused);
    }
    true
}

/// Places the units that no gang holds one after the other, and suspends those that don't fit
/// outside the footprints of the units placed before.
fn place_by_precedence(plan: &mut GuaranteePlan, map: &RackMap) {
    let units: Vec<usize> = (0..plan.units.len())
        .filter(|unit| !matches!(plan.units[*unit].state, UnitState::Held(_)))
        .collect();
    for unit in &units {
        plan.unassign(*unit);
    }
    let unheld = accelerators_only(&plan.unheld);
    let mut available = accelerators_only(&plan.unplanned);
    let mut accepted = Vec::new();
    let mut rejected: Vec<GangDemand> = Vec::new();
    for unit in units {
        let demand = GangDemand::from_shape(&plan.units[unit].shape);
        if !rejected.iter().any(|other| demand.dominates(other)) {
            accepted.push(unit);
            if let Some(placement) = map.fit(&available, &demand, 0) {
                subtract_placement(&mut available, &placement, &demand.per_member);
                plan.assign(unit, footprint_of(&placement, &demand), UnitState::Unused);
                continue;
            }
            if pack_units(plan, map, &accepted) || revoke_lower_guarantees(plan, map, unit, &demand)
            {
                available = accelerators_only(&plan.unplanned);
                continue;
            }
            accepted.pop();
            rejected.push(demand);
        }
        let reason = if map.fit(&unheld, &demand, 0).is_some() {
            "the usable workers cannot hold it beside guarantees that go before it"
        } else {
            "the usable workers outside running guaranteed jobs cannot hold it"
        };
        plan.units[unit].state = UnitState::Suspended(reason.to_owned());
    }
}

/// Revokes guarantees of running gangs of other customers with lower precedence than a unit, the
/// lowest first, until the unit fits. Returns false and changes nothing if it never does.
fn revoke_lower_guarantees(
    plan: &mut GuaranteePlan,
    map: &RackMap,
    unit: usize,
    demand: &GangDemand,
) -> bool {
    let customer = plan.guarantees[plan.units[unit].guarantee].customer.clone();
    let mut unplanned = plan.unplanned.clone();
    let mut revoked: Vec<usize> = Vec::new();
    for lower in (unit + 1..plan.units.len()).rev() {
        let held = matches!(plan.units[lower].state, UnitState::Held(_));
        if !held || plan.guarantees[plan.units[lower].guarantee].customer == customer {
            continue;
        }
        revoked.push(lower);
        add_footprint(&mut unplanned, &plan.units[lower].footprint);
        let Some(placement) = map.fit(&accelerators_only(&unplanned), demand, 0) else {
            continue;
        };
        let footprint = footprint_of(&placement, demand);
        subtract_footprint(&mut unplanned, &footprint);
        // Of the revoked units, the ones with the highest precedence are restored first where the
        // new footprint doesn't overlap theirs.
        while let Some(candidate) = revoked.pop() {
            let old = plan.units[candidate].footprint.clone();
            if fits_within(&unplanned, &old) {
                subtract_footprint(&mut unplanned, &old);
                continue;
            }
            plan.unassign(candidate);
            plan.units[candidate].state = UnitState::Suspended(format!(
                "its place is needed for {}, which goes before it; its running job is preemptible",
                plan.describe(unit)
            ));
        }
        plan.assign(unit, footprint, UnitState::Unused);
        return true;
    }
    false
}

/// Returns the units without a footprint.
fn suspended_units(plan: &GuaranteePlan) -> Vec<usize> {
    (0..plan.units.len())
        .filter(|unit| matches!(plan.units[*unit].state, UnitState::Suspended(_)))
        .collect()
}
