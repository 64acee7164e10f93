//! The plan that reserves accelerators for guaranteed shapes.
//!
//! Every guaranteed shape is a unit with a footprint: a number of accelerators on each of some
//! workers that no other unit may use. A unit is unused or held by a gang. It keeps its footprint
//! in both cases, so the plan stays valid when a gang ends. Borrowers may use the accelerators of
//! an unused unit, since they are preemptible. As long as the footprints lie on usable workers and
//! do not overlap, every unused unit can be reclaimed.

use std::collections::{BTreeMap, HashMap};

use lacewingrail_model::CustomerName;
use lacewingrail_model::shape::{AdjacencyLevel, GangShape};

use crate::amount::{GangDemand, ResourceAmount, covers};
use crate::packing::{GangPlacement, RackMap};
use crate::types::ShapeGuarantee;

/// The accelerators of a footprint on one worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FootprintPart {
    /// Index of the worker in the pool.
    pub worker: usize,
    pub accelerators: u32,
}

/// The accelerators that a unit reserves, with at most one part for each worker.
pub type Footprint = Vec<FootprintPart>;

/// Number of accelerators of each worker that remain after some footprints are subtracted.
///
/// The number is negative where gangs hold more than is usable, such as on a lost worker. It is not
/// clamped to zero, so that it is exact again once the footprint of such a gang is added back.
pub type PlanCapacity = Vec<i32>;

/// Whether a unit has a footprint and is in use.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum UnitState {
    /// Has a footprint but no gang, so it can be reclaimed.
    Unused,
    /// Has a footprint and is held by the gang in this slot.
    Held(usize),
    /// Has no footprint, for the given reason.
    Suspended(String),
}

/// One guaranteed shape. A guarantee of several shapes has as many units.
#[derive(Clone, Debug)]
pub struct PlanUnit {
    /// Index of the guarantee in [`GuaranteePlan::guarantees`].
    pub guarantee: usize,
    pub shape: GangShape,
    pub state: UnitState,
    /// Reserved accelerators; empty while the unit is suspended.
    pub footprint: Footprint,
}

impl PlanUnit {
    /// Returns whether the footprint holds the whole shape. If the shape does not fit around a
    /// running gang, the footprint covers only that gang.
    pub fn has_whole_footprint(&self, map: &RackMap) -> bool {
        holds_shape(&self.footprint, &self.shape, map)
    }

    /// Returns whether the unit has a footprint and no gang.
    pub fn is_unused(&self) -> bool {
        self.state == UnitState::Unused
    }
}

/// All guaranteed units of a failure domain, in the order in which they are honoured.
#[derive(Clone, Debug, Default)]
pub struct GuaranteePlan {
    /// Guarantees, sorted by precedence, age and customer name.
    pub guarantees: Vec<ShapeGuarantee>,
    /// Units in the order of their guarantees.
    pub units: Vec<PlanUnit>,
    /// Accelerators of each worker outside all footprints.
    pub unplanned: PlanCapacity,
    /// Accelerators of each worker outside the footprints of held units.
    pub unheld: PlanCapacity,
    /// Units of each customer.
    by_customer: HashMap<CustomerName, Vec<usize>>,
    /// Unit held by the gang in each slot.
    by_slot: BTreeMap<usize, usize>,
}

impl GuaranteePlan {
    /// Creates a plan whose units have no footprints yet. `capacity` is the number of usable
    /// accelerators of each worker.
    ///
    /// Guarantees that are equal in precedence, age and customer keep their order.
    pub fn new(mut guarantees: Vec<ShapeGuarantee>, capacity: &[u32]) -> Self {
        guarantees.sort_by(|left, right| {
            (left.precedence, left.since_version, &left.customer).cmp(&(
                right.precedence,
                right.since_version,
                &right.customer,
            ))
        });
        let available: PlanCapacity = capacity.iter().map(|count| signed_count(*count)).collect();
        let mut plan = Self { unplanned: available.clone(), unheld: available, ..Self::default() };
        for (index, guarantee) in guarantees.iter().enumerate() {
            // A shape without accelerators is never guaranteed, since there is nothing to reserve.
            let count = if guarantee.shape.total() == 0 { 0 } else { guarantee.count };
            for _ in 0..count {
                plan.by_customer
                    .entry(guarantee.customer.clone())
                    .or_default()
                    .push(plan.units.len());
                plan.units.push(PlanUnit {
                    guarantee: index,
                    shape: guarantee.shape,
                    state: UnitState::Suspended(String::new()),
                    footprint: Footprint::new(),
                });
            }
        }
        plan.guarantees = guarantees;
        plan
    }

    /// Returns the indices of a customer's units.
    pub fn units_of(&self, customer: &CustomerName) -> &[usize] {
        self.by_customer.get(customer).map_or(&[], Vec::as_slice)
    }

    /// Returns the smallest unit of a customer that covers a job's shape and whose state `admits`
    /// accepts.
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

    /// Sets the footprint of a unit and its state, which must be unused or held.
    pub fn assign(&mut self, unit: usize, footprint: Footprint, state: UnitState) {
        self.unassign(unit);
        subtract_footprint(&mut self.unplanned, &footprint);
        if let UnitState::Held(slot) = state {
            subtract_footprint(&mut self.unheld, &footprint);
            self.by_slot.insert(slot, unit);
        }
        self.units[unit].footprint = footprint;
        self.units[unit].state = state;
    }

    /// Removes the footprint of a unit and suspends it without a reason.
    pub fn unassign(&mut self, unit: usize) {
        let footprint = std::mem::take(&mut self.units[unit].footprint);
        add_footprint(&mut self.unplanned, &footprint);
        if let UnitState::Held(slot) = self.units[unit].state {
            add_footprint(&mut self.unheld, &footprint);
            self.by_slot.remove(&slot);
        }
        self.units[unit].state = UnitState::Suspended(String::new());
    }

    /// Marks the unit held by the gang in a slot as unused and returns it. It keeps its footprint.
    pub fn release_slot(&mut self, slot: usize) -> Option<usize> {
        let unit = self.by_slot.remove(&slot)?;
        add_footprint(&mut self.unheld, &self.units[unit].footprint);
        self.units[unit].state = UnitState::Unused;
        Some(unit)
    }

    /// Replaces the footprint of a unit, and moves unused units whose accelerators it needs.
    ///
    /// Returns false and changes nothing if a displaced unit fits nowhere else, or if more than
    /// `max_displaced` units would be displaced.
    pub fn move_unit(
        &mut self,
        unit: usize,
        footprint: &[FootprintPart],
        map: &RackMap,
        max_displaced: usize,
    ) -> bool {
        let mut unplanned = self.unplanned.clone();
        add_footprint(&mut unplanned, &self.units[unit].footprint);
        let mut displaced = Vec::new();
        for part in footprint {
            if unplanned[part.worker] >= signed_count(part.accelerators) {
                continue;
            }
            for (other, planned) in self.units.iter().enumerate() {
                if other == unit || !planned.is_unused() || displaced.contains(&other) {
                    continue;
                }
                if planned.footprint.iter().any(|planned| planned.worker == part.worker) {
                    add_footprint(&mut unplanned, &planned.footprint);
                    displaced.push(other);
                }
                if unplanned[part.worker] >= signed_count(part.accelerators) {
                    break;
                }
            }
            if unplanned[part.worker] < signed_count(part.accelerators)
                || displaced.len() > max_displaced
            {
                return false;
            }
        }
        subtract_footprint(&mut unplanned, footprint);
        let mut available = accelerators_only(&unplanned);
        let demands: Vec<GangDemand> = displaced
            .iter()
            .map(|other| GangDemand::from_shape(&self.units[*other].shape))
            .collect();
        let mut order: Vec<usize> = (0..demands.len()).collect();
        order.sort_by_key(|index| u32::MAX - demands[*index].total());
        let mut moved = Vec::new();
        for index in order {
            let Some(placement) = map.fit(&available, &demands[index], 0) else {
                return false;
            };
            crate::packing::subtract_placement(
                &mut available,
                &placement,
                &demands[index].per_member,
            );
            moved.push((displaced[index], footprint_of(&placement, &demands[index])));
        }
        for (other, _) in &moved {
            self.unassign(*other);
        }
        let state = self.units[unit].state.clone();
        self.assign(unit, footprint.to_vec(), state);
        for (other, footprint) in moved {
            self.assign(other, footprint, UnitState::Unused);
        }
        true
    }

    /// Returns the shape and customer of a unit for messages.
    pub fn describe(&self, unit: usize) -> String {
        let unit = &self.units[unit];
        format!("{} of {}", unit.shape, self.guarantees[unit.guarantee].customer)
    }
}

/// Returns the accelerators that a gang uses in a placement.
pub fn footprint_of(placement: &GangPlacement, demand: &GangDemand) -> Footprint {
    let per_member = demand.per_member.accelerators;
    placement
        .iter()
        .map(|part| FootprintPart { worker: part.worker, accelerators: part.members * per_member })
        .collect()
}

/// Returns a footprint of a shape that includes the accelerators that a running gang occupies, or
/// none if the shape does not fit around them.
///
/// A shape with worker adjacency stays on the gang's worker. Otherwise the gang's accelerators on
/// each worker are rounded up to whole members of the shape, and the remaining members are placed
/// by best fit.
pub fn footprint_around(
    unplanned: &[i32],
    map: &RackMap,
    shape: &GangShape,
    occupied: &[FootprintPart],
) -> Option<Footprint> {
    if fits_within(unplanned, occupied) && holds_shape(occupied, shape, map) {
        return Some(occupied.to_vec());
    }
    let first = occupied.first()?;
    let one_rack =
        occupied.iter().all(|part| map.rack_of[part.worker] == map.rack_of[first.worker]);
    let on_all_workers = accelerators_only(unplanned);
    let mut available = vec![ResourceAmount::default(); unplanned.len()];
    let mut footprint = Footprint::new();
    match shape.adjacency {
        AdjacencyLevel::Worker => {
            let part = FootprintPart { worker: first.worker, accelerators: shape.total() };
            let fits = occupied.len() == 1 && fits_within(unplanned, &[part]);
            return fits.then(|| vec![part]);
        }
        AdjacencyLevel::Rack if !one_rack => return None,
        AdjacencyLevel::Rack => {
            for worker in &map.racks[map.rack_of[first.worker]] {
                available[*worker] = on_all_workers[*worker];
            }
        }
        AdjacencyLevel::Domain => available = on_all_workers,
    }
    let mut demand = GangDemand::from_shape(shape);
    for part in occupied {
        let members = part.accelerators.div_ceil(shape.accelerators);
        let accelerators = members * shape.accelerators;
        if available[part.worker].accelerators < accelerators || demand.members < members {
            return None;
        }
        demand.members -= members;
        available[part.worker].accelerators -= accelerators;
        footprint.push(FootprintPart { worker: part.worker, accelerators });
    }
    let remaining =
        if demand.members == 0 { GangPlacement::new() } else { map.fit(&available, &demand, 0)? };
    for extra in footprint_of(&remaining, &demand) {
        match footprint.iter_mut().find(|part| part.worker == extra.worker) {
            Some(part) => part.accelerators += extra.accelerators,
            None => footprint.push(extra),
        }
    }
    Some(footprint)
}

/// Returns whether a footprint has exactly the members and the adjacency of a shape.
pub fn holds_shape(footprint: &[FootprintPart], shape: &GangShape, map: &RackMap) -> bool {
    let total: u32 = footprint.iter().map(|part| part.accelerators).sum();
    let whole_members = footprint.iter().all(|part| part.accelerators % shape.accelerators == 0);
    let Some(first) = footprint.first() else {
        return false;
    };
    let rack = map.rack_of[first.worker];
    let adjacent = match shape.adjacency {
        AdjacencyLevel::Worker => footprint.len() == 1,
        AdjacencyLevel::Rack => footprint.iter().all(|part| map.rack_of[part.worker] == rack),
        AdjacencyLevel::Domain => true,
    };
    total == shape.total() && whole_members && adjacent
}

/// Returns whether each worker has the accelerators of a footprint available.
pub fn fits_within(available: &[i32], footprint: &[FootprintPart]) -> bool {
    footprint.iter().all(|part| available[part.worker] >= signed_count(part.accelerators))
}

/// Converts available accelerators to resource amounts whose cores and memory never limit.
pub fn accelerators_only(available: &[i32]) -> Vec<ResourceAmount> {
    available.iter().map(|count| ResourceAmount::unlimited(usable_count(*count))).collect()
}

/// Returns the number of available accelerators, with zero for a negative one.
pub fn usable_count(count: i32) -> u32 {
    u32::try_from(count).unwrap_or(0)
}

/// Subtracts a footprint from the available accelerators of each worker.
pub fn subtract_footprint(available: &mut [i32], footprint: &[FootprintPart]) {
    for part in footprint {
        available[part.worker] -= signed_count(part.accelerators);
    }
}

/// Adds a footprint back to the available accelerators of each worker.
pub fn add_footprint(available: &mut [i32], footprint: &[FootprintPart]) {
    for part in footprint {
        available[part.worker] += signed_count(part.accelerators);
    }
}

fn signed_count(count: u32) -> i32 {
    i32::try_from(count).unwrap_or(i32::MAX)
}
