//! Coverage of urgent jobs by their customers' guarantees.
//!
//! One customer's urgent jobs may fill the fleet far beyond its guarantee while another customer
//! claims its own. Urgent jobs of a customer are covered in the order of their acceptance, as long
//! as together they need no more than the customer's guaranteed accelerators. A covered job comes
//! before all others and may preempt urgent work that is not covered. The end of a job only ever
//! extends the coverage of others, so running work does not lose its coverage while the settings
//! stay the same.

use std::collections::{BTreeMap, BTreeSet};

use lacewingrail_model::CustomerName;

use crate::config::FleetConfig;
use crate::job::JobEntry;
use crate::queue::URGENT_PRIORITY;
use crate::spec::JobKey;

/// Returns the active urgent jobs that their customers' guarantees cover.
pub fn covered_jobs(jobs: &BTreeMap<JobKey, JobEntry>, config: &FleetConfig) -> BTreeSet<JobKey> {
    let mut urgent: Vec<(&JobKey, &JobEntry)> =
        jobs.iter().filter(|(_, entry)| is_urgent(entry, config)).collect();
    urgent.sort_by_key(|(key, entry)| (entry.accepted_at, **key));
    let mut claimed: BTreeMap<&CustomerName, i64> = BTreeMap::new();
    let mut covered = BTreeSet::new();
    for (key, entry) in urgent {
        let customer = &entry.submission.customer;
        let total = claimed.entry(customer).or_default();
        *total += peak_accelerators(entry);
        if *total <= guaranteed_accelerators(customer, config) {
            covered.insert(*key);
        }
    }
    covered
}

/// Returns whether a guarantee would cover an urgent job that is accepted next.
pub fn would_cover(
    next: &JobEntry,
    jobs: &BTreeMap<JobKey, JobEntry>,
    config: &FleetConfig,
) -> bool {
    let customer = &next.submission.customer;
    let own = jobs.values().filter(|entry| entry.submission.customer == *customer);
    let claimed: i64 = own.filter(|entry| is_urgent(entry, config)).map(peak_accelerators).sum();
    claimed + peak_accelerators(next) <= guaranteed_accelerators(customer, config)
}

fn is_urgent(entry: &JobEntry, config: &FleetConfig) -> bool {
    let policy = config.queues.get(&entry.submission.queue);
    !entry.phase.is_final() && policy.is_some_and(|policy| policy.priority == URGENT_PRIORITY)
}

fn guaranteed_accelerators(customer: &CustomerName, config: &FleetConfig) -> i64 {
    config.customers.get(customer).map_or(0, |guarantee| guarantee.guaranteed)
}

/// Returns the maximum number of accelerators that one step of a job takes at a time.
fn peak_accelerators(entry: &JobEntry) -> i64 {
    let steps = entry.submission.spec.steps.iter();
    steps.map(|step| step.demand.accelerators * i64::from(step.count)).max().unwrap_or_default()
}
