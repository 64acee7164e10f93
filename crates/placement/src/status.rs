//! Reports on a domain's state for operators and customers.

use lacewingrail_model::JobId;
use lacewingrail_model::admin::GuaranteeStatus;

use crate::amount::covers;
use crate::gang::GangPhase;
use crate::plan::UnitState;
use crate::state::DomainState;
use crate::types::{DomainCounts, FragmentationStats};

/// Accelerators of a worker that counts as whole in [`FragmentationStats`].
const WHOLE_WORKER_ACCELERATORS: u32 = 8;

/// Returns one sentence on the state of a job and, if it waits, why.
pub fn explain(state: &DomainState, job: &JobId) -> String {
    let Some(waiting) = state.queue.find(job).and_then(|key| state.queue.get(key)) else {
        let gang = state.gangs.find(job).and_then(|slot| state.gangs.get(slot));
        return match gang.map(|gang| (gang.phase, gang.protected)) {
            None => format!("The job {job} is not known in {}.", state.domain),
            Some((GangPhase::Stopping, _)) => "The job is being stopped.".to_owned(),
            Some((_, true)) => "The job runs under a guarantee.".to_owned(),
            Some((_, false)) => "The job runs as a preemptible borrower.".to_owned(),
        };
    };
    let spec = &waiting.pending.record.spec;
    let suspended = state.plan.units_of(&spec.customer).iter().find_map(|unit| {
        let planned = &state.plan.units[*unit];
        match &planned.state {
            UnitState::Suspended(reason) if covers(&planned.shape, &spec.shape) => {
                Some(format!("{} is suspended because {reason}", state.plan.describe(*unit)))
            }
            _ => None,
        }
    });
    let unused = state.plan.units_of(&spec.customer).iter().any(|unit| {
        state.plan.units[*unit].is_unused() && covers(&state.plan.units[*unit].shape, &spec.shape)
    });
    let reason = waiting.reason.to_string();
    match suspended {
        Some(guarantee) if !unused && state.gangs.find(job).is_none() => {
            format!("The guarantee {guarantee}; meanwhile the job waits as a borrower: {reason}")
        }
        _ => reason,
    }
}

/// Returns how many shapes of each guarantee are held, reclaimable or suspended.
pub fn guarantees(state: &DomainState) -> Vec<GuaranteeStatus> {
    if state.plan.guarantees.is_empty() {
        return guarantees_without_plan(state);
    }
    let mut statuses: Vec<GuaranteeStatus> = state
        .plan
        .guarantees
        .iter()
        .map(|guarantee| GuaranteeStatus {
            customer: guarantee.customer.clone(),
            domain: state.domain.clone(),
            shape: guarantee.shape,
            count: guarantee.count,
            held: 0,
            reclaimable: 0,
            suspended: None,
        })
        .collect();
    let mut suspended = vec![0_u32; statuses.len()];
    for unit in &state.plan.units {
        let status = &mut statuses[unit.guarantee];
        match &unit.state {
            UnitState::Unused => status.reclaimable += 1,
            UnitState::Held(_) => status.held += 1,
            UnitState::Suspended(reason) => {
                suspended[unit.guarantee] += 1;
                let count = suspended[unit.guarantee];
                status.suspended = Some(format!("{count} of {} suspended: {reason}", status.count));
            }
        }
    }
    statuses
}

/// Returns the guarantees under a baseline policy, or before there is a plan. Without a plan no
/// shape is known to be reclaimable.
fn guarantees_without_plan(state: &DomainState) -> Vec<GuaranteeStatus> {
    state
        .guarantees
        .iter()
        .map(|guarantee| {
            let held = state.gangs.iter().filter(|(_, gang)| {
                gang.guaranteed
                    && gang.customer == guarantee.customer
                    && gang.shape == guarantee.shape
            });
            GuaranteeStatus {
                customer: guarantee.customer.clone(),
                domain: state.domain.clone(),
                shape: guarantee.shape,
                count: guarantee.count,
                held: u32::try_from(held.count()).unwrap_or(u32::MAX),
                reclaimable: 0,
                suspended: Some("the policy in force keeps no shapes free".to_owned()),
            }
        })
        .collect()
}

/// Returns the counts of workers, accelerators, gangs and jobs.
pub fn counts(state: &DomainState) -> DomainCounts {
    let mut counts = DomainCounts {
        jobs_waiting: u32::try_from(state.queue.len()).unwrap_or(u32::MAX),
        starts_total: state.starts_total,
        preemptions_total: state.preemptions_total,
        ..DomainCounts::default()
    };
    for worker in &state.pool.workers {
        counts.workers += 1;
        counts.accelerators_free += worker.free().accelerators;
        if worker.is_usable() {
            counts.workers_healthy += 1;
            counts.accelerators += worker.capacity.accelerators;
        }
    }
    for (_, gang) in state.gangs.iter().filter(|(_, gang)| gang.phase != GangPhase::Claimed) {
        counts.gangs_running += 1;
        if gang.protected {
            counts.accelerators_guaranteed += gang.demand.total();
        } else {
            counts.accelerators_borrowed += gang.demand.total();
        }
    }
    counts
}

/// Returns how the free accelerators are spread over workers and racks.
pub fn fragmentation(state: &DomainState) -> FragmentationStats {
    let free: Vec<u32> =
        state.pool.workers.iter().map(|worker| worker.free().accelerators).collect();
    let mut stats = FragmentationStats {
        accelerators_free: free.iter().sum(),
        largest_on_worker: free.iter().copied().max().unwrap_or(0),
        ..FragmentationStats::default()
    };
    for rack in &state.pool.rack_map.racks {
        let in_rack = rack.iter().map(|worker| free[*worker]).sum();
        let whole_workers =
            rack.iter().filter(|worker| free[**worker] >= WHOLE_WORKER_ACCELERATORS).count();
        stats.largest_in_rack = stats.largest_in_rack.max(in_rack);
        let whole_workers = u32::try_from(whole_workers).unwrap_or(u32::MAX);
        stats.whole_workers_in_rack = stats.whole_workers_in_rack.max(whole_workers);
    }
    if stats.accelerators_free > 0 {
        let largest = f64::from(stats.largest_in_rack);
        stats.scattered_share = 1.0 - largest / f64::from(stats.accelerators_free);
    }
    stats
}

/// Returns the effects of a change of guarantees, one sentence for each guarantee or job affected.
pub fn describe_changes(before: &DomainState, after: &DomainState) -> Vec<String> {
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
        let kept = after.guarantees.iter().any(|guarantee| {
            guarantee.customer == earlier.customer && guarantee.shape == earlier.shape
        });
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
