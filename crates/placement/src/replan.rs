//! Rebuilds the plan of guaranteed shapes after a change of workers or guarantees.
//!
//! Footprints that are still valid stay. Missing ones are placed beside them; if that fails, all
//! unused units are packed anew; if that fails too, the units are honoured in order of precedence,
//! age and customer name and the rest is suspended.

use std::collections::BTreeMap;

use lacewingrail_model::CustomerName;
use lacewingrail_model::shape::GangShape;

use crate::amount::GangDemand;
use crate::floor::WorkerFloor;
use crate::gang::{GangTable, PlacedGang};
use crate::packing::{RackMap, take};
use crate::plan::{
    Footprint, GuaranteePlan, PlanPart, UnitState, accelerator_room, add, footprint_around,
    footprint_of, is_inside, subtract,
};
use crate::types::ShapeGuarantee;

type FootprintPool = BTreeMap<(CustomerName, GangShape), Vec<Footprint>>;

/// Returns a new plan for the guarantees, and marks the gangs that it protects.
pub fn rebuild(
    entries: Vec<ShapeGuarantee>,
    previous: &GuaranteePlan,
    floor: &WorkerFloor,
    gangs: &mut GangTable,
) -> GuaranteePlan {
    let capacity: Vec<u32> =
        floor.workers.iter().map(|worker| worker.usable_capacity().accelerators).collect();
    let mut plan = GuaranteePlan::new(entries, &capacity);
    assign_held(&mut plan, previous, floor, gangs);
    keep_footprints(&mut plan, previous, &floor.map);
    if !place_missing(&mut plan, &floor.map) && !repack(&mut plan, &floor.map) {
        honour_by_precedence(&mut plan, &floor.map);
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

/// Assigns units to the gangs that run under a guarantee, the oldest start first.
fn assign_held(
    plan: &mut GuaranteePlan,
    previous: &GuaranteePlan,
    floor: &WorkerFloor,
    gangs: &GangTable,
) {
    let mut holders: Vec<(usize, &PlacedGang)> =
        gangs.iter().filter(|(_, gang)| gang.guaranteed).collect();
    holders.sort_by_key(|(_, gang)| gang.order);
    let mut homeless = Vec::new();
    for (slot, gang) in holders {
        // A gang keeps the kind of unit it had: a change could leave a larger shape without place.
        let old = previous.unit_of_slot(slot).map(|unit| &previous.units[unit]);
        let kept = old.and_then(|old| {
            let units = plan.units_of(&gang.customer).iter().copied();
            let mut same = units.filter(|unit| plan.units[*unit].shape == old.shape);
            let unit = same.find(|unit| matches!(plan.units[*unit].state, UnitState::Suspended(_)));
            Some((unit?, old.footprint.clone()))
        });
        let kept = kept.filter(|(_, footprint)| is_clear(plan, floor, footprint));
        match kept {
            Some((unit, footprint)) => plan.place(unit, footprint, UnitState::Held(slot)),
            None => homeless.push((slot, gang)),
        }
    }
    for (slot, gang) in homeless {
        let free = |state: &UnitState| matches!(state, UnitState::Suspended(_));
        let Some(unit) = plan.find_covering(&gang.customer, &gang.shape, free) else {
            continue;
        };
        let core = footprint_of(&gang.place, &gang.demand);
        let shape = plan.units[unit].shape;
        let footprint = footprint_around(&plan.outside, &floor.map, &shape, &core).unwrap_or(core);
        // A gang that lost its guarantee may run where another unit was given its place since.
        if !is_clear(plan, floor, &footprint) {
            continue;
        }
        plan.place(unit, footprint, UnitState::Held(slot));
    }
}

/// Returns whether a running gang's footprint is free of others. Workers that may not get new
/// members have no room in the plan, but gangs on them may go on.
fn is_clear(plan: &GuaranteePlan, floor: &WorkerFloor, footprint: &[PlanPart]) -> bool {
    footprint
        .iter()
        .all(|part| !floor.workers[part.worker].is_usable() || is_inside(&plan.outside, &[*part]))
}

/// Gives unused units the footprints that units of the same customer and shape had.
fn keep_footprints(plan: &mut GuaranteePlan, previous: &GuaranteePlan, map: &RackMap) {
    let mut pool = FootprintPool::new();
    for unit in previous.units.iter().filter(|unit| unit.is_unused() && unit.is_whole(map)) {
        let customer = previous.entries[unit.entry].customer.clone();
        pool.entry((customer, unit.shape)).or_default().push(unit.footprint.clone());
    }
    for unit in missing_units(plan) {
        let customer = plan.entries[plan.units[unit].entry].customer.clone();
        let Some(footprints) = pool.get_mut(&(customer, plan.units[unit].shape)) else {
            continue;
        };
        while let Some(footprint) = footprints.pop() {
            if is_inside(&plan.outside, &footprint) {
                plan.place(unit, footprint, UnitState::Unused);
                break;
            }
        }
    }
}

/// Places units without footprint beside the others, the largest first.
fn place_missing(plan: &mut GuaranteePlan, map: &RackMap) -> bool {
    let mut missing = missing_units(plan);
    missing.sort_by_key(|unit| {
        let shape = plan.units[*unit].shape;
        (u32::MAX - shape.total(), shape.adjacency)
    });
    let mut room = accelerator_room(&plan.outside);
    for unit in missing {
        let demand = GangDemand::of_shape(&plan.units[unit].shape);
        let Some(place) = map.fit(&room, &demand, 0) else {
            return false;
        };
        take(&mut room, &place, &demand.each);
        plan.place(unit, footprint_of(&place, &demand), UnitState::Unused);
    }
    true
}

/// Packs all units that no gang holds from the start.
fn repack(plan: &mut GuaranteePlan, map: &RackMap) -> bool {
    let units: Vec<usize> = (0..plan.units.len())
        .filter(|unit| !matches!(plan.units[*unit].state, UnitState::Held(_)))
        .collect();
    pack_units(plan, map, &units)
}

fn pack_units(plan: &mut GuaranteePlan, map: &RackMap, units: &[usize]) -> bool {
    let demands: Vec<GangDemand> =
        units.iter().map(|unit| GangDemand::of_shape(&plan.units[*unit].shape)).collect();
    let Some(places) = map.pack(&mut accelerator_room(&plan.open), &demands) else {
        return false;
    };
    for unit in units {
        plan.unplace(*unit);
    }
    for ((unit, place), demand) in units.iter().zip(places).zip(&demands) {
        plan.place(*unit, footprint_of(&place, demand), UnitState::Unused);
    }
    true
}

/// Accepts units one after the other and suspends those that do not fit beside the accepted.
fn honour_by_precedence(plan: &mut GuaranteePlan, map: &RackMap) {
    let unheld: Vec<usize> = (0..plan.units.len())
        .filter(|unit| !matches!(plan.units[*unit].state, UnitState::Held(_)))
        .collect();
    for unit in &unheld {
        plan.unplace(*unit);
    }
    let empty = accelerator_room(&plan.open);
    let mut room = accelerator_room(&plan.outside);
    let mut accepted = Vec::new();
    let mut failed: Vec<GangDemand> = Vec::new();
    for unit in unheld {
        let demand = GangDemand::of_shape(&plan.units[unit].shape);
        if !failed.iter().any(|other| demand.is_at_least(other)) {
            accepted.push(unit);
            if let Some(place) = map.fit(&room, &demand, 0) {
                take(&mut room, &place, &demand.each);
                plan.place(unit, footprint_of(&place, &demand), UnitState::Unused);
                continue;
            }
            if pack_units(plan, map, &accepted) || demote_for(plan, map, unit, &demand) {
                room = accelerator_room(&plan.outside);
                continue;
            }
            accepted.pop();
            failed.push(demand);
        }
        let reason = if map.fit(&empty, &demand, 0).is_some() {
            "the usable workers cannot hold it beside guarantees that go before it"
        } else {
            "the usable workers outside running guaranteed jobs cannot hold it"
        };
        plan.units[unit].state = UnitState::Suspended(reason.to_owned());
    }
}

/// Takes the guarantee of running gangs of other customers that go after a unit, the last first,
/// until the unit fits.
fn demote_for(plan: &mut GuaranteePlan, map: &RackMap, unit: usize, demand: &GangDemand) -> bool {
    let customer = plan.entries[plan.units[unit].entry].customer.clone();
    let mut outside = plan.outside.clone();
    let mut demoted: Vec<usize> = Vec::new();
    for lower in (unit + 1..plan.units.len()).rev() {
        let held = matches!(plan.units[lower].state, UnitState::Held(_));
        if !held || plan.entries[plan.units[lower].entry].customer == customer {
            continue;
        }
        demoted.push(lower);
        add(&mut outside, &plan.units[lower].footprint);
        let Some(place) = map.fit(&accelerator_room(&outside), demand, 0) else {
            continue;
        };
        let footprint = footprint_of(&place, demand);
        subtract(&mut outside, &footprint);
        // Those that go first are kept where the unit leaves their place alone.
        while let Some(kept) = demoted.pop() {
            let old = plan.units[kept].footprint.clone();
            if is_inside(&outside, &old) {
                subtract(&mut outside, &old);
                continue;
            }
            plan.unplace(kept);
            plan.units[kept].state = UnitState::Suspended(format!(
                "its place is needed for {}, which goes before it; its running job is preemptible",
                plan.describe(unit)
            ));
        }
        plan.place(unit, footprint, UnitState::Unused);
        return true;
    }
    false
}

fn missing_units(plan: &GuaranteePlan) -> Vec<usize> {
    (0..plan.units.len())
        .filter(|unit| matches!(plan.units[*unit].state, UnitState::Suspended(_)))
        .collect()
}
