//! Which urgent jobs their customers' guarantees cover.
//!
//! Answers the load pattern in which one customer's urgent jobs fill the fleet far beyond its
//! guarantee while another customer claims its own. Urgent jobs of a customer are covered in the
//! order of their acceptance as long as together they need no more than the customer's guaranteed
//! accelerators. A covered job comes before all others and may displace urgent work that is not
//! covered. Jobs that end only ever add to what is covered, so running work does not lose its cover
//! while the settings stay.

use std::collections::{BTreeMap, BTreeSet};

use lacewingrail_model::CustomerName;

use crate::config::FleetConfig;
use crate::job::JobEntry;
use crate::queue::URGENT;
use crate::spec::JobKey;

/// Returns the active urgent jobs that are covered.
pub fn covered_jobs(jobs: &BTreeMap<JobKey, JobEntry>, config: &FleetConfig) -> BTreeSet<JobKey> {
    let mut urgent: Vec<(&JobKey, &JobEntry)> =
        jobs.iter().filter(|(_, entry)| is_urgent(entry, config)).collect();
    urgent.sort_by_key(|(key, entry)| (entry.accepted, **key));
    let mut claimed: BTreeMap<&CustomerName, i64> = BTreeMap::new();
    let mut covered = BTreeSet::new();
    for (key, entry) in urgent {
        let customer = &entry.submission.customer;
        let total = claimed.entry(customer).or_default();
        *total += widest_step(entry);
        if *total <= guaranteed(customer, config) {
            covered.insert(*key);
        }
    }
    covered
}

/// Returns whether a new urgent job would be covered.
pub fn covers_next(
    next: &JobEntry,
    jobs: &BTreeMap<JobKey, JobEntry>,
    config: &FleetConfig,
) -> bool {
    let customer = &next.submission.customer;
    let own = jobs.values().filter(|entry| entry.submission.customer == *customer);
    let claimed: i64 = own.filter(|entry| is_urgent(entry, config)).map(widest_step).sum();
    claimed + widest_step(next) <= guaranteed(customer, config)
}

fn is_urgent(entry: &JobEntry, config: &FleetConfig) -> bool {
    let policy = config.queues.get(&entry.submission.queue);
    !entry.phase.is_final() && policy.is_some_and(|policy| policy.priority == URGENT)
}

fn guaranteed(customer: &CustomerName, config: &FleetConfig) -> i64 {
    config.customers.get(customer).map_or(0, |share| share.guaranteed)
}

/// Returns the most accelerators that one step of a job holds at a time.
fn widest_step(entry: &JobEntry) -> i64 {
    let steps = entry.submission.spec.steps.iter();
    steps.map(|step| step.demand.accelerators * i64::from(step.count)).max().unwrap_or_default()
}
