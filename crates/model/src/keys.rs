//! Names of keys in the key-value service.

use crate::{DomainName, JobId};

/// Key of the settings tree.
pub const CONFIG_TREE: &str = "config/tree";
/// Prefix of the first submissions under each idempotency key.
pub const SUBMISSIONS: &str = "submissions/";
/// Prefix of all job records.
pub const JOBS: &str = "jobs/";

/// Returns the key that the active scheduler of a failure domain holds under its lease.
pub fn scheduler_lease(domain: &str) -> String {
    format!("lease/{domain}")
}

/// Returns the key of the epoch counter of a failure domain.
pub fn epoch_counter(domain: &str) -> String {
    format!("epoch/{domain}")
}

/// Returns the prefix of the job records that a failure domain owns.
pub fn domain_jobs(domain: &DomainName) -> String {
    format!("{JOBS}{domain}/")
}

/// Returns the key of a job record.
pub fn job(domain: &DomainName, id: &JobId) -> String {
    format!("{JOBS}{domain}/{id}")
}

/// Returns the key of the first submission of a customer under an idempotency key.
pub fn submission(customer: &str, key_hash: u64) -> String {
    format!("{SUBMISSIONS}{customer}/{key_hash:016x}")
}

/// Returns the key of the finished jobs of a failure domain on a day since the Unix epoch.
pub fn history(domain: &DomainName, day: u64) -> String {
    format!("history/{domain}/{day}")
}

/// Returns the key of a shard of claims of a service.
pub fn claims(service: &str, shard: u64) -> String {
    format!("claims/{service}/{shard:04}")
}

/// Returns the key of the number of shards of a service.
pub fn claim_layout(service: &str) -> String {
    format!("claims/{service}/layout")
}

/// Returns the key of a recorded answer that is too large for its claim.
pub fn answer(service: &str, hash: u64) -> String {
    format!("answers/{service}/{hash:016x}")
}
