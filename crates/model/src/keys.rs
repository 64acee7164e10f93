//! Keys and key prefixes in the key-value service.

use crate::{DomainName, JobId};

/// Key of the settings tree; its value is a stored tree in JSON.
pub const CONFIG_TREE: &str = "config/tree";
/// Prefix of the records that map idempotency keys to their first submission.
pub const SUBMISSIONS: &str = "submissions/";
/// Prefix of the job records of all failure domains.
pub const JOBS: &str = "jobs/";

/// Returns the key that the active scheduler of a failure domain binds to its lease.
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

/// Returns the key of the jobs of a failure domain that ended on a day, counted from the Unix epoch.
pub fn history(domain: &DomainName, day: u64) -> String {
    format!("history/{domain}/{day}")
}

/// Returns the key of one shard of the claims, the records of idempotency keys of a service.
pub fn claims(service: &str, shard: u64) -> String {
    format!("claims/{service}/{shard:04}")
}

/// Returns the key of the record that stores the number of claim shards of a service.
pub fn claim_layout(service: &str) -> String {
    format!("claims/{service}/layout")
}

/// Returns the key of a recorded response that is too large to be stored in its claim.
pub fn archived_response(service: &str, hash: u64) -> String {
    format!("answers/{service}/{hash:016x}")
}
