//! Checks the invariants of a board.

use lacewingrail_model::invariant::{self, InvariantName};

use crate::board::PlacementBoard;
use crate::gang::{GangPhase, PlacedGang};
use crate::plan::{PlanUnit, UnitState};

/// Checks all invariants and returns the violations.
pub fn check(board: &PlacementBoard) -> Vec<String> {
    let mut violations = Vec::new();
    let mut expect = |name: InvariantName, holds: bool, details: &dyn Fn() -> String| {
        invariant::check(name, holds, details);
        if !holds {
            violations.push(format!("{name:?}: {}", details()));
        }
    };
    for worker in &board.floor.workers {
        let mut held = worker.held;
        held.add(worker.stopping);
        let mut later = worker.held;
        later.add(worker.claimed);
        let holds = worker.best.contains(&held) && worker.best.contains(&later);
        expect(InvariantName::AcceleratorHeldOnce, holds, &|| {
            format!("worker {} has {:?} and holds {held:?}", worker.id, worker.capacity)
        });
    }
    for (_, gang) in board.gangs.iter() {
        let members: u32 = gang.place.iter().map(|part| part.members).sum();
        expect(InvariantName::GangWhole, members == gang.demand.members, &|| {
            format!("job {} holds {members} of {} members", gang.job, gang.demand.members)
        });
    }
    if board.dirty {
        return violations;
    }
    let mut planned = vec![0_u32; board.floor.workers.len()];
    for unit in &board.plan.units {
        for part in &unit.footprint {
            planned[part.worker] += part.accelerators;
        }
        let reclaimable = !unit.is_unused() || is_placed(board, unit);
        expect(InvariantName::GuaranteeReclaimable, reclaimable, &|| {
            format!("unit {} has the footprint {:?}", unit.shape, unit.footprint)
        });
        if let UnitState::Held(slot) = unit.state {
            let inside = board.gangs.get(slot).is_some_and(|gang| is_covered(unit, gang));
            expect(InvariantName::GuaranteeReclaimable, inside, &|| {
                format!("unit {} does not contain its gang in slot {slot}", unit.shape)
            });
        }
    }
    for (worker, planned) in board.floor.workers.iter().zip(&planned) {
        let holds = !worker.is_usable() || *planned <= worker.capacity.accelerators;
        expect(InvariantName::GuaranteeReclaimable, holds, &|| {
            format!("worker {} is planned for {planned} accelerators", worker.id)
        });
    }
    for (slot, gang) in board.gangs.iter() {
        let held = board.plan.unit_of_slot(slot).is_some();
        let shape = board.choice == lacewingrail_model::config::PlacementChoice::Shape;
        let holds = !shape || gang.protected == held || gang.phase == GangPhase::Stopping;
        expect(InvariantName::GuaranteeReclaimable, holds, &|| {
            format!("job {} is protected without a unit of the plan", gang.job)
        });
    }
    violations
}

/// Returns whether an unused unit has a whole footprint on usable workers.
fn is_placed(board: &PlacementBoard, unit: &PlanUnit) -> bool {
    let usable = |worker: usize| board.floor.workers[worker].is_usable();
    unit.footprint.iter().all(|part| usable(part.worker)) && unit.is_whole(&board.floor.map)
}

/// Returns whether a gang lies within the footprint of its unit.
fn is_covered(unit: &PlanUnit, gang: &PlacedGang) -> bool {
    gang.place.iter().all(|part| {
        let needed = part.members * gang.demand.each.accelerators;
        unit.footprint
            .iter()
            .any(|planned| planned.worker == part.worker && planned.accelerators >= needed)
    })
}
