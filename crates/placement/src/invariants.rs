//! Checks of the invariants of a domain's state.

use lacewingrail_model::invariant::{self, InvariantName};

use crate::gang::{GangPhase, PlacedGang};
use crate::plan::{PlanUnit, UnitState};
use crate::state::DomainState;

/// Checks all invariants and returns one message for each violation, which is also counted.
pub fn check(state: &DomainState) -> Vec<String> {
    let mut violations = Vec::new();
    let mut expect = |name: InvariantName, holds: bool, details: &dyn Fn() -> String| {
        invariant::check(name, holds, details);
        if !holds {
            violations.push(format!("{name:?}: {}", details()));
        }
    };
    for worker in &state.pool.workers {
        let mut held = worker.held;
        held.add(worker.stopping);
        let mut after_stops = worker.held;
        after_stops.add(worker.claimed);
        let holds =
            worker.max_capacity.contains(&held) && worker.max_capacity.contains(&after_stops);
        expect(InvariantName::AcceleratorHeldOnce, holds, &|| {
            format!(
                "worker {} reported at most {:?}; its gangs hold {held:?}, and {after_stops:?} \
                 once the claims start",
                worker.id, worker.max_capacity
            )
        });
    }
    for (_, gang) in state.gangs.iter() {
        let members: u32 = gang.placement.iter().map(|part| part.members).sum();
        expect(InvariantName::GangWhole, members == gang.demand.members, &|| {
            format!("job {} holds {members} of {} members", gang.job, gang.demand.members)
        });
    }
    if state.plan_outdated {
        return violations;
    }
    let mut planned = vec![0_u32; state.pool.workers.len()];
    for unit in &state.plan.units {
        for part in &unit.footprint {
            planned[part.worker] += part.accelerators;
        }
        let reclaimable = !unit.is_unused() || has_valid_footprint(state, unit);
        expect(InvariantName::GuaranteeReclaimable, reclaimable, &|| {
            format!("unused unit {} has the invalid footprint {:?}", unit.shape, unit.footprint)
        });
        if let UnitState::Held(slot) = unit.state {
            let inside = state.gangs.get(slot).is_some_and(|gang| contains_gang(unit, gang));
            expect(InvariantName::GuaranteeReclaimable, inside, &|| {
                format!(
                    "the footprint of unit {} does not contain its gang in slot {slot}",
                    unit.shape
                )
            });
        }
    }
    for (worker, planned) in state.pool.workers.iter().zip(&planned) {
        let holds = !worker.is_usable() || *planned <= worker.capacity.accelerators;
        expect(InvariantName::GuaranteeReclaimable, holds, &|| {
            format!(
                "the footprints on worker {} need {planned} accelerators, more than it has",
                worker.id
            )
        });
    }
    for (slot, gang) in state.gangs.iter() {
        let held = state.plan.unit_of_slot(slot).is_some();
        let has_plan = state.policy_choice == lacewingrail_model::config::PlacementChoice::Shape;
        let holds = !has_plan || gang.protected == held || gang.phase == GangPhase::Stopping;
        expect(InvariantName::GuaranteeReclaimable, holds, &|| {
            format!("the protection of job {} does not match the units of the plan", gang.job)
        });
    }
    violations
}

/// Returns whether a unit has a whole footprint on usable workers.
fn has_valid_footprint(state: &DomainState, unit: &PlanUnit) -> bool {
    let usable = |worker: usize| state.pool.workers[worker].is_usable();
    unit.footprint.iter().all(|part| usable(part.worker))
        && unit.has_whole_footprint(&state.pool.rack_map)
}

/// Returns whether the footprint of a unit contains the accelerators of the gang that holds it.
fn contains_gang(unit: &PlanUnit, gang: &PlacedGang) -> bool {
    gang.placement.iter().all(|part| {
        let needed = part.members * gang.demand.per_member.accelerators;
        unit.footprint
            .iter()
            .any(|planned| planned.worker == part.worker && planned.accelerators >= needed)
    })
}
