//! What operators and customers are told about the board.

use lacewingrail_model::JobId;
use lacewingrail_model::admin::GuaranteeStatus;

use crate::amount::covers;
use crate::board::PlacementBoard;
use crate::gang::GangPhase;
use crate::plan::UnitState;
use crate::types::{DomainCounts, FragmentationStats};

/// Accelerators of a usual whole worker.
const WHOLE_WORKER: u32 = 8;

/// Returns one sentence on where a job stands and what is in its way.
pub fn explain(board: &PlacementBoard, job: &JobId) -> String {
    let Some(waiting) = board.queue.find(job).and_then(|key| board.queue.get(key)) else {
        let slot = board.gangs.slot(job).and_then(|slot| board.gangs.get(slot));
        return match slot.map(|gang| (gang.phase, gang.protected)) {
            None => format!("The job {job} is not known in {}.", board.domain),
            Some((GangPhase::Stopping, _)) => "The job is being stopped.".to_owned(),
            Some((_, true)) => "The job runs under a guarantee.".to_owned(),
            Some((_, false)) => "The job runs as a preemptible borrower.".to_owned(),
        };
    };
    let spec = &waiting.entry.record.spec;
    let suspended = board.plan.units_of(&spec.customer).iter().find_map(|unit| {
        let planned = &board.plan.units[*unit];
        match &planned.state {
            UnitState::Suspended(reason) if covers(&planned.shape, &spec.shape) => {
                Some(format!("{} is suspended because {reason}", board.plan.describe(*unit)))
            }
            _ => None,
        }
    });
    let unused = board.plan.units_of(&spec.customer).iter().any(|unit| {
        board.plan.units[*unit].is_unused() && covers(&board.plan.units[*unit].shape, &spec.shape)
    });
    let reason = waiting.reason.to_string();
    match suspended {
        Some(guarantee) if !unused && board.gangs.slot(job).is_none() => {
            format!("The guarantee {guarantee}; meanwhile the job waits as a borrower: {reason}")
        }
        _ => reason,
    }
}

/// Returns the state of all guarantees.
pub fn guarantees(board: &PlacementBoard) -> Vec<GuaranteeStatus> {
    if board.plan.entries.is_empty() {
        return unplanned_guarantees(board);
    }
    let mut all: Vec<GuaranteeStatus> = board
        .plan
        .entries
        .iter()
        .map(|entry| GuaranteeStatus {
            customer: entry.customer.clone(),
            domain: board.domain.clone(),
            shape: entry.shape,
            count: entry.count,
            held: 0,
            reclaimable: 0,
            suspended: None,
        })
        .collect();
    let mut suspended = vec![0_u32; all.len()];
    for unit in &board.plan.units {
        let status = &mut all[unit.entry];
        match &unit.state {
            UnitState::Unused => status.reclaimable += 1,
            UnitState::Held(_) => status.held += 1,
            UnitState::Suspended(reason) => {
                suspended[unit.entry] += 1;
                let count = suspended[unit.entry];
                status.suspended = Some(format!("{count} of {} suspended: {reason}", status.count));
            }
        }
    }
    all
}

/// The baselines keep no plan, so nothing is known to be reclaimable in shape.
fn unplanned_guarantees(board: &PlacementBoard) -> Vec<GuaranteeStatus> {
    board
        .entries
        .iter()
        .map(|entry| {
            let held = board.gangs.iter().filter(|(_, gang)| {
                gang.guaranteed && gang.customer == entry.customer && gang.shape == entry.shape
            });
            GuaranteeStatus {
                customer: entry.customer.clone(),
                domain: board.domain.clone(),
                shape: entry.shape,
                count: entry.count,
                held: u32::try_from(held.count()).unwrap_or(u32::MAX),
                reclaimable: 0,
                suspended: Some("the policy in force keeps no shapes free".to_owned()),
            }
        })
        .collect()
}

/// Returns counts for operators.
pub fn counts(board: &PlacementBoard) -> DomainCounts {
    let mut counts = DomainCounts {
        jobs_waiting: u32::try_from(board.queue.len()).unwrap_or(u32::MAX),
        starts_total: board.starts_total,
        preemptions_total: board.preemptions_total,
        ..DomainCounts::default()
    };
    for worker in &board.floor.workers {
        counts.workers += 1;
        counts.accelerators_free += worker.free().accelerators;
        if worker.is_usable() {
            counts.workers_healthy += 1;
            counts.accelerators += worker.capacity.accelerators;
        }
    }
    for (_, gang) in board.gangs.iter().filter(|(_, gang)| gang.phase != GangPhase::Claimed) {
        counts.gangs_running += 1;
        if gang.protected {
            counts.accelerators_guaranteed += gang.demand.total();
        } else {
            counts.accelerators_borrowed += gang.demand.total();
        }
    }
    counts
}

/// Returns what could be placed at once without preemption.
pub fn fragmentation(board: &PlacementBoard) -> FragmentationStats {
    let free: Vec<u32> =
        board.floor.workers.iter().map(|worker| worker.free().accelerators).collect();
    let mut figures = FragmentationStats {
        accelerators_free: free.iter().sum(),
        largest_on_worker: free.iter().copied().max().unwrap_or(0),
        ..FragmentationStats::default()
    };
    for rack in &board.floor.map.racks {
        let in_rack = rack.iter().map(|worker| free[*worker]).sum();
        let whole = rack.iter().filter(|worker| free[**worker] >= WHOLE_WORKER).count();
        figures.largest_in_rack = figures.largest_in_rack.max(in_rack);
        let whole = u32::try_from(whole).unwrap_or(u32::MAX);
        figures.whole_workers_in_rack = figures.whole_workers_in_rack.max(whole);
    }
    if figures.accelerators_free > 0 {
        let largest = f64::from(figures.largest_in_rack);
        figures.scattered_share = 1.0 - largest / f64::from(figures.accelerators_free);
    }
    figures
}

/// Returns what differs between two plans, one sentence for each effect.
pub fn compare(before: &PlacementBoard, after: &PlacementBoard) -> Vec<String> {
    let mut effects = Vec::new();
    let old = guarantees(before);
    for status in guarantees(after) {
        let earlier = old.iter().find(|earlier| {
            earlier.customer == status.customer
                && earlier.shape == status.shape
                && earlier.count == status.count
        });
        let name = format!("{} x ({}) of {}", status.count, status.shape, status.customer);
        match (earlier, &status.suspended) {
            (None, None) => effects.push(format!("Guarantee {name} comes into force at once.")),
            (None, Some(reason)) => effects.push(format!("Guarantee {name} begins with {reason}.")),
            (Some(earlier), Some(reason)) if earlier.suspended != status.suspended => {
                effects.push(format!("Guarantee {name} changes to {reason}."));
            }
            (Some(earlier), None) if earlier.suspended.is_some() => {
                effects.push(format!("Guarantee {name} is suspended no more."));
            }
            _ => {}
        }
    }
    for earlier in &old {
        let kept = after
            .entries
            .iter()
            .any(|entry| entry.customer == earlier.customer && entry.shape == earlier.shape);
        if !kept {
            let shape = earlier.shape;
            effects.push(format!("Guarantee ({shape}) of {} ends.", earlier.customer));
        }
    }
    for (slot, gang) in before.gangs.iter() {
        let protected = after.gangs.get(slot).is_some_and(|gang| gang.protected);
        if gang.protected && !protected {
            effects.push(format!(
                "Job {} of {} goes on running but becomes preemptible.",
                gang.job, gang.customer
            ));
        } else if !gang.protected && protected {
            effects.push(format!("Job {} of {} is protected again.", gang.job, gang.customer));
        }
    }
    effects
}
