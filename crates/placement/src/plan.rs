//! The plan of guaranteed shapes.
//!
//! Every guaranteed shape is a unit with a footprint: accelerators on named workers that no other
//! unit may use. A unit is held by a running gang or unused; in both cases its footprint stays, so
//! that a gang's end never makes the plan invalid. Accelerators under the footprint of an unused unit
//! may be borrowed, since borrowers can be stopped. As long as the footprints lie within the usable
//! workers and do not overlap, every unused shape can be reclaimed.

use std::collections::{BTreeMap, HashMap};

use lacewingrail_model::CustomerName;
use lacewingrail_model::shape::{AdjacencyLevel, GangShape};

use crate::amount::{GangDemand, ResourceAmount, covers};
use crate::packing::{GangPlace, RackMap};
use crate::types::ShapeGuarantee;

/// Counts accelerators on one worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlanPart {
    /// Index of the worker.
    pub worker: usize,
    /// Accelerators.
    pub accelerators: u32,
}

/// Lists the accelerators that a unit occupies in the plan.
pub type Footprint = Vec<PlanPart>;

/// Accelerators of each worker outside some footprints.
///
/// The number is negative where gangs hold more than a worker may use now, as on one that was lost.
/// Sums stay exact that way when such a gang leaves.
pub type PlanRoom = Vec<i32>;

/// Says where a unit stands.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum UnitState {
    /// Has a footprint and no gang.
    Unused,
    /// Has a footprint and a gang in this slot.
    Held(usize),
    /// Has no footprint, for the reason given.
    Suspended(String),
}

/// Describes one guaranteed shape.
#[derive(Clone, Debug)]
pub struct PlanUnit {
    /// Index of the guarantee among [`GuaranteePlan::entries`].
    pub entry: usize,
    /// Shape.
    pub shape: GangShape,
    /// State.
    pub state: UnitState,
    /// Footprint; empty when suspended.
    pub footprint: Footprint,
}

impl PlanUnit {
    /// Returns whether the footprint holds the whole shape. That of a gang which was adopted or kept
    /// beside others may hold the gang alone.
    pub fn is_whole(&self, map: &RackMap) -> bool {
        holds_shape(&self.footprint, &self.shape, map)
    }

    /// Returns whether the unit could be reclaimed.
    pub fn is_unused(&self) -> bool {
        self.state == UnitState::Unused
    }
}

/// Holds the units in the order in which they are honoured.
#[derive(Clone, Debug, Default)]
pub struct GuaranteePlan {
    /// Guarantees by precedence, age and customer name.
    pub entries: Vec<ShapeGuarantee>,
    /// Units in the order of their guarantees.
    pub units: Vec<PlanUnit>,
    /// Accelerators of each worker outside all footprints.
    pub outside: PlanRoom,
    /// Accelerators of each worker outside the footprints of held units.
    pub open: PlanRoom,
    by_customer: HashMap<CustomerName, Vec<usize>>,
    by_slot: BTreeMap<usize, usize>,
}

impl GuaranteePlan {
    /// Creates a plan whose units have no footprints yet.
    ///
    /// Entries of one customer with the same shape are honoured in their order.
    pub fn new(mut entries: Vec<ShapeGuarantee>, capacity: &[u32]) -> Self {
        entries.sort_by(|left, right| {
            (left.precedence, left.since_version, &left.customer).cmp(&(
                right.precedence,
                right.since_version,
                &right.customer,
            ))
        });
        let room: PlanRoom = capacity.iter().map(|count| signed(*count)).collect();
        let mut plan = Self { outside: room.clone(), open: room, ..Self::default() };
        for (index, entry) in entries.iter().enumerate() {
            // Work on processors only is never guaranteed: there is nothing to set aside.
            let count = if entry.shape.total() == 0 { 0 } else { entry.count };
            for _ in 0..count {
                plan.by_customer.entry(entry.customer.clone()).or_default().push(plan.units.len());
                plan.units.push(PlanUnit {
                    entry: index,
                    shape: entry.shape,
                    state: UnitState::Suspended(String::new()),
                    footprint: Footprint::new(),
                });
            }
        }
        plan.entries = entries;
        plan
    }

    /// Returns the indices of a customer's units.
    pub fn units_of(&self, customer: &CustomerName) -> &[usize] {
        self.by_customer.get(customer).map_or(&[], Vec::as_slice)
    }

    /// Returns the smallest unit of a customer in a given state that covers a job's shape.
    pub fn find_covering<F>(
        &self,
        customer: &CustomerName,
        shape: &GangShape,
        admits: F,
    ) -> Option<usize>
    where
        F: Fn(&UnitState) -> bool,
    {
        let units = self.units_of(customer).iter().copied();
        units
            .filter(|unit| admits(&self.units[*unit].state))
            .filter(|unit| covers(&self.units[*unit].shape, shape))
            .min_by_key(|unit| (self.units[*unit].shape.total(), *unit))
    }

    /// Returns the unit that the gang in a slot holds.
    pub fn unit_of_slot(&self, slot: usize) -> Option<usize> {
        self.by_slot.get(&slot).copied()
    }

    /// Gives a unit a footprint and a state other than suspended.
    pub fn place(&mut self, unit: usize, footprint: Footprint, state: UnitState) {
        self.unplace(unit);
        subtract(&mut self.outside, &footprint);
        if let UnitState::Held(slot) = state {
            subtract(&mut self.open, &footprint);
            self.by_slot.insert(slot, unit);
        }
        self.units[unit].footprint = footprint;
        self.units[unit].state = state;
    }

    /// Takes a unit's footprint away.
    pub fn unplace(&mut self, unit: usize) {
        let footprint = std::mem::take(&mut self.units[unit].footprint);
        add(&mut self.outside, &footprint);
        if let UnitState::Held(slot) = self.units[unit].state {
            add(&mut self.open, &footprint);
            self.by_slot.remove(&slot);
        }
        self.units[unit].state = UnitState::Suspended(String::new());
    }

    /// Marks a held unit as unused; its footprint stays.
    pub fn vacate(&mut self, slot: usize) -> Option<usize> {
        let unit = self.by_slot.remove(&slot)?;
        add(&mut self.open, &self.units[unit].footprint);
        self.units[unit].state = UnitState::Unused;
        Some(unit)
    }

    /// Moves the footprint of a unit, and those of unused units that are in its way.
    ///
    /// Returns false and changes nothing when a displaced unit finds no other place, or when more
    /// than `limit` units would be displaced.
    pub fn shift(
        &mut self,
        unit: usize,
        footprint: &[PlanPart],
        map: &RackMap,
        limit: usize,
    ) -> bool {
        let mut outside = self.outside.clone();
        add(&mut outside, &self.units[unit].footprint);
        let mut displaced = Vec::new();
        for part in footprint {
            if outside[part.worker] >= signed(part.accelerators) {
                continue;
            }
            for (other, planned) in self.units.iter().enumerate() {
                if other == unit || !planned.is_unused() || displaced.contains(&other) {
                    continue;
                }
                if planned.footprint.iter().any(|planned| planned.worker == part.worker) {
                    add(&mut outside, &planned.footprint);
                    displaced.push(other);
                }
                if outside[part.worker] >= signed(part.accelerators) {
                    break;
                }
            }
            if outside[part.worker] < signed(part.accelerators) || displaced.len() > limit {
                return false;
            }
        }
        subtract(&mut outside, footprint);
        let mut room = accelerator_room(&outside);
        let demands: Vec<GangDemand> =
            displaced.iter().map(|other| GangDemand::of_shape(&self.units[*other].shape)).collect();
        let mut order: Vec<usize> = (0..demands.len()).collect();
        order.sort_by_key(|index| u32::MAX - demands[*index].total());
        let mut moved = Vec::new();
        for index in order {
            let Some(place) = map.fit(&room, &demands[index], 0) else {
                return false;
            };
            crate::packing::take(&mut room, &place, &demands[index].each);
            moved.push((displaced[index], footprint_of(&place, &demands[index])));
        }
        for (other, _) in &moved {
            self.unplace(*other);
        }
        let state = self.units[unit].state.clone();
        self.place(unit, footprint.to_vec(), state);
        for (other, footprint) in moved {
            self.place(other, footprint, UnitState::Unused);
        }
        true
    }

    /// Returns a description of a unit for people.
    pub fn describe(&self, unit: usize) -> String {
        let unit = &self.units[unit];
        format!("{} of {}", unit.shape, self.entries[unit.entry].customer)
    }
}

/// Returns the accelerators of a gang's place.
pub fn footprint_of(place: &GangPlace, demand: &GangDemand) -> Footprint {
    let each = demand.each.accelerators;
    place
        .iter()
        .map(|part| PlanPart { worker: part.worker, accelerators: part.members * each })
        .collect()
}

/// Returns a footprint of a shape that contains a gang which already runs.
///
/// Workers of the gang are extended first. Returns none when the shape does not fit around it.
pub fn footprint_around(
    outside: &[i32],
    map: &RackMap,
    shape: &GangShape,
    core: &[PlanPart],
) -> Option<Footprint> {
    if is_inside(outside, core) && holds_shape(core, shape, map) {
        return Some(core.to_vec());
    }
    let first = core.first()?;
    let one_rack = core.iter().all(|part| map.rack_of[part.worker] == map.rack_of[first.worker]);
    let whole = accelerator_room(outside);
    let mut room = vec![ResourceAmount::default(); outside.len()];
    let mut footprint = Footprint::new();
    match shape.adjacency {
        AdjacencyLevel::Worker => {
            let part = PlanPart { worker: first.worker, accelerators: shape.total() };
            let fits = core.len() == 1 && is_inside(outside, &[part]);
            return fits.then(|| vec![part]);
        }
        AdjacencyLevel::Rack if !one_rack => return None,
        AdjacencyLevel::Rack => {
            for worker in &map.racks[map.rack_of[first.worker]] {
                room[*worker] = whole[*worker];
            }
        }
        AdjacencyLevel::Domain => room = whole,
    }
    let mut demand = GangDemand::of_shape(shape);
    for part in core {
        let members = part.accelerators.div_ceil(shape.accelerators);
        let accelerators = members * shape.accelerators;
        if room[part.worker].accelerators < accelerators || demand.members < members {
            return None;
        }
        demand.members -= members;
        room[part.worker].accelerators -= accelerators;
        footprint.push(PlanPart { worker: part.worker, accelerators });
    }
    let rest = if demand.members == 0 { GangPlace::new() } else { map.fit(&room, &demand, 0)? };
    for extra in footprint_of(&rest, &demand) {
        match footprint.iter_mut().find(|part| part.worker == extra.worker) {
            Some(part) => part.accelerators += extra.accelerators,
            None => footprint.push(extra),
        }
    }
    Some(footprint)
}

/// Returns whether a footprint has the members and the adjacency of a shape.
pub fn holds_shape(footprint: &[PlanPart], shape: &GangShape, map: &RackMap) -> bool {
    let total: u32 = footprint.iter().map(|part| part.accelerators).sum();
    let whole = footprint.iter().all(|part| part.accelerators % shape.accelerators == 0);
    let Some(first) = footprint.first() else {
        return false;
    };
    let rack = map.rack_of[first.worker];
    let adjacent = match shape.adjacency {
        AdjacencyLevel::Worker => footprint.len() == 1,
        AdjacencyLevel::Rack => footprint.iter().all(|part| map.rack_of[part.worker] == rack),
        AdjacencyLevel::Domain => true,
    };
    total == shape.total() && whole && adjacent
}

/// Returns whether a footprint lies within the accelerators of each worker.
pub fn is_inside(outside: &[i32], footprint: &[PlanPart]) -> bool {
    footprint.iter().all(|part| outside[part.worker] >= signed(part.accelerators))
}

/// Returns accelerators as room whose other resources never limit.
pub fn accelerator_room(room: &[i32]) -> Vec<ResourceAmount> {
    room.iter().map(|count| ResourceAmount::unlimited(unsigned(*count))).collect()
}

/// Returns the accelerators that may be used.
pub fn unsigned(count: i32) -> u32 {
    u32::try_from(count).unwrap_or(0)
}

/// Takes a footprint out of the room.
pub fn subtract(room: &mut [i32], footprint: &[PlanPart]) {
    for part in footprint {
        room[part.worker] -= signed(part.accelerators);
    }
}

/// Puts a footprint back into the room.
pub fn add(room: &mut [i32], footprint: &[PlanPart]) {
    for part in footprint {
        room[part.worker] += signed(part.accelerators);
    }
}

fn signed(count: u32) -> i32 {
    i32::try_from(count).unwrap_or(i32::MAX)
}
