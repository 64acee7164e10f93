//! Measures fragmentation from the workers' allocation records.
//!
//! The state of the fleet is reconstructed at regular intervals. A waiting gang counts only if its
//! customer's quota admits it.

use std::collections::BTreeMap;

use lacewingrail_model::shape::{AdjacencyLevel, GangShape};

use crate::trial::runner::TrialRecord;
use crate::trial::workload::JobKind;

/// Time between samples.
const SAMPLE_INTERVAL_MS: u64 = 200;
/// Accelerators of a full-size worker, and of each member of the large guaranteed gangs.
const ACCELERATORS_PER_WORKER: u32 = 8;
/// Accelerators of a full-size rack.
const ACCELERATORS_PER_RACK: u32 = 48;

/// Shares of the accelerator-time of the load, except for `largest_gang_share`.
#[derive(Clone, Copy, Debug, Default)]
pub struct FragmentationFigures {
    /// Free while no waiting gang fits any domain by shape, in domains with enough accelerators for
    /// one of them.
    pub fragmented: f64,
    /// Free while a waiting gang fits a domain by shape.
    pub idle_fitting: f64,
    /// The part of `idle_fitting` during which a gang fits the domain of its next attempt.
    pub idle_fitting_next: f64,
    /// Free while no gang waits.
    pub unneeded: f64,
    /// The mean ratio of the largest free gang of whole workers in one rack to the free
    /// accelerators of the domain, rounded down to whole workers and capped at a rack.
    pub largest_gang_share: f64,
}

/// The free accelerators of a worker at a sample.
struct FreeWorker<'a> {
    domain: &'a str,
    rack: &'a str,
    free_accelerators: u32,
}

/// Measures the fragmentation during the load.
pub fn measure(record: &TrialRecord) -> FragmentationFigures {
    let mut sums = FragmentationFigures::default();
    let (mut largest_sum, mut largest_count, mut samples) = (0.0, 0.0, 0.0);
    let capacity: u32 = record.workers.iter().map(|spec| spec.accelerators).sum();
    let mut at_ms = record.load_ms.0;
    while at_ms < record.load_ms.1 {
        let workers = free_workers(record, at_ms);
        let domains = free_by_domain(&workers);
        let waiting = waiting_gangs(record, at_ms);
        let fits_anywhere = |shape: &GangShape, allowed_domains: &[String]| {
            domains
                .keys()
                .any(|domain| allows(allowed_domains, domain) && fits(&workers, domain, shape))
        };
        let total_free: u32 = domains.values().sum();
        let unplaceable: Vec<_> = waiting
            .iter()
            .filter(|gang| !fits_anywhere(&gang.shape, gang.allowed_domains))
            .collect();
        if waiting.is_empty() {
            sums.unneeded += f64::from(total_free);
        } else if unplaceable.len() < waiting.len() {
            sums.idle_fitting += f64::from(total_free);
            let fits_next = waiting.iter().any(|gang| {
                gang.next_domain.is_some_and(|domain| fits(&workers, domain, &gang.shape))
            });
            sums.idle_fitting_next += if fits_next { f64::from(total_free) } else { 0.0 };
        } else {
            let fragmented_domains = domains.iter().filter(|(domain, free)| {
                unplaceable.iter().any(|gang| {
                    allows(gang.allowed_domains, domain) && **free >= gang.shape.total()
                })
            });
            sums.fragmented += f64::from(fragmented_domains.map(|(_, free)| free).sum::<u32>());
        }
        for (domain, free) in domains.iter().filter(|(_, free)| **free >= ACCELERATORS_PER_WORKER) {
            let max_gang = (free / ACCELERATORS_PER_WORKER * ACCELERATORS_PER_WORKER)
                .min(ACCELERATORS_PER_RACK);
            largest_sum += f64::from(largest_gang(&workers, domain)) / f64::from(max_gang);
            largest_count += 1.0;
        }
        samples += 1.0;
        at_ms += SAMPLE_INTERVAL_MS;
    }
    let capacity_samples = f64::from(capacity) * f64::max(samples, 1.0);
    FragmentationFigures {
        fragmented: sums.fragmented / capacity_samples,
        idle_fitting: sums.idle_fitting / capacity_samples,
        idle_fitting_next: sums.idle_fitting_next / capacity_samples,
        unneeded: sums.unneeded / capacity_samples,
        largest_gang_share: largest_sum / f64::max(largest_count, 1.0),
    }
}

/// Returns the free accelerators of all workers at a time, without the failing worker.
fn free_workers(record: &TrialRecord, at_ms: u64) -> Vec<FreeWorker<'_>> {
    let mut allocated_by_worker: BTreeMap<&str, u32> = BTreeMap::new();
    for allocation in &record.allocations {
        let ended_ms = allocation.ended_ms.unwrap_or(u64::MAX);
        if allocation.reserved_ms <= at_ms && at_ms < ended_ms {
            *allocated_by_worker.entry(&allocation.worker).or_default() += allocation.accelerators;
        }
    }
    let usable = record.workers.iter().filter(|spec| spec.id != record.failing_worker);
    let free = usable.map(|spec| FreeWorker {
        domain: &spec.domain,
        rack: &spec.rack,
        free_accelerators: spec.accelerators
            - allocated_by_worker
                .get(spec.id.as_str())
                .copied()
                .unwrap_or(0)
                .min(spec.accelerators),
    });
    free.collect()
}

/// Returns the free accelerators of each failure domain.
fn free_by_domain<'a>(workers: &[FreeWorker<'a>]) -> BTreeMap<&'a str, u32> {
    let mut domains = BTreeMap::new();
    for worker in workers {
        *domains.entry(worker.domain).or_default() += worker.free_accelerators;
    }
    domains
}

/// A gang that waits at a sample.
struct WaitingGang<'a> {
    shape: GangShape,
    /// The failure domains in which it may run; empty for any.
    allowed_domains: &'a [String],
    /// The failure domain of its next attempt; `None` if there was none.
    next_domain: Option<&'a str>,
}

/// Returns the gangs that wait at a time and fit the free quota of their customer.
fn waiting_gangs(record: &TrialRecord, at_ms: u64) -> Vec<WaitingGang<'_>> {
    let mut allocated_by_customer: BTreeMap<&str, u32> = BTreeMap::new();
    let mut waiting = Vec::new();
    let mut allocated_by_job: BTreeMap<&str, u32> = BTreeMap::new();
    for allocation in &record.allocations {
        if allocation.reserved_ms <= at_ms && at_ms < allocation.ended_ms.unwrap_or(u64::MAX) {
            *allocated_by_job.entry(&allocation.member.job).or_default() += allocation.accelerators;
        }
    }
    for job in &record.jobs {
        let Some(id) = &job.id else { continue };
        let spec = &job.plan.spec;
        let ended = job.record.as_ref().and_then(|record| record.ended_at).unwrap_or(u64::MAX);
        if let Some(accelerators) = allocated_by_job.get(id.as_str()) {
            *allocated_by_customer.entry(&spec.customer).or_default() += accelerators;
        } else if job.answered_ms <= at_ms && at_ms < ended && job.plan.kind != JobKind::Faulty {
            // A job that has finished no longer waits, even before the scheduler records its end.
            let finished = record.allocations.iter().any(|allocation| {
                allocation.member.job == *id
                    && allocation.reason == Some(lacewingrail_standins::EndReason::Finished)
                    && allocation.ended_ms.is_some_and(|ended| ended <= at_ms)
            });
            if !finished {
                waiting.push((id, spec));
            }
        }
    }
    let within_quota = waiting.into_iter().filter(|(_, spec)| {
        let quota = record.view.customers.get(&spec.customer).map_or(0, |customer| customer.quota);
        allocated_by_customer.get(spec.customer.as_str()).copied().unwrap_or(0) + spec.shape.total()
            <= quota
    });
    let next_domain = |id: &String| {
        let later_allocations = record
            .allocations
            .iter()
            .filter(|allocation| allocation.member.job == *id && allocation.reserved_ms > at_ms);
        later_allocations
            .min_by_key(|allocation| allocation.reserved_ms)
            .map(|allocation| allocation.domain.as_str())
    };
    within_quota
        .map(|(id, spec)| WaitingGang {
            shape: spec.shape,
            allowed_domains: &spec.domains,
            next_domain: next_domain(id),
        })
        .collect()
}

/// Returns whether a list of allowed failure domains, empty for all, admits a domain.
fn allows(allowed_domains: &[String], domain: &str) -> bool {
    allowed_domains.is_empty() || allowed_domains.iter().any(|name| name == domain)
}

/// Returns whether a gang fits the free accelerators of a failure domain by shape.
fn fits(workers: &[FreeWorker<'_>], domain: &str, shape: &GangShape) -> bool {
    let member_slots = |worker: &FreeWorker<'_>| {
        worker.free_accelerators.checked_div(shape.accelerators).unwrap_or(0)
    };
    let domain_workers = workers.iter().filter(|worker| worker.domain == domain);
    match shape.adjacency {
        AdjacencyLevel::Worker => {
            domain_workers.into_iter().any(|worker| member_slots(worker) >= shape.members)
        }
        AdjacencyLevel::Domain => domain_workers.map(member_slots).sum::<u32>() >= shape.members,
        AdjacencyLevel::Rack => {
            let mut racks: BTreeMap<&str, u32> = BTreeMap::new();
            for worker in domain_workers {
                *racks.entry(worker.rack).or_default() += member_slots(worker);
            }
            racks.values().any(|member_slots| *member_slots >= shape.members)
        }
    }
}

/// Returns the accelerators of the largest gang of whole workers that fits one rack of a domain.
fn largest_gang(workers: &[FreeWorker<'_>], domain: &str) -> u32 {
    let mut racks: BTreeMap<&str, u32> = BTreeMap::new();
    for worker in workers.iter().filter(|worker| worker.domain == domain) {
        *racks.entry(worker.rack).or_default() +=
            worker.free_accelerators / ACCELERATORS_PER_WORKER * ACCELERATORS_PER_WORKER;
    }
    racks.values().copied().max().unwrap_or(0)
}
