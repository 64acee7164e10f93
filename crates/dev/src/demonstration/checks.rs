//! Checks of the stand-ins' records and the callers' results at the end of the demonstration.

use std::time::Duration;

use lacewingrail_model::JobId;
use lacewingrail_model::invariant::violations;
use lacewingrail_standins::{AllocationRecord, EndReason, RunCounts, audit, find_repeated_runs};

use crate::callers::CallerCounts;
use crate::environment::StandinEnvironment;
use crate::report::CheckTable;

/// Maximum time for which only some members of a gang may run.
const MAX_PARTIAL_RUN: Duration = Duration::from_millis(10_400);
/// Maximum share of requests that may remain without a complete answer, from 0 to 1.
const MAX_FAILURE_SHARE: f64 = 0.001;

/// Returns whether all members of the newest attempt in the records of a job have finished; false
/// without records.
pub fn is_finished(runs: &[AllocationRecord]) -> bool {
    let Some(attempt) = runs.iter().map(|run| run.member.attempt).max() else {
        return false;
    };
    let newest: Vec<_> = runs.iter().filter(|run| run.member.attempt == attempt).collect();
    let finished = newest.iter().filter(|run| run.reason == Some(EndReason::Finished)).count();
    newest.iter().all(|run| run.gang_members as usize == finished)
}

/// Returns how often the backend servers ran a request with an idempotency key.
pub fn count_runs_of_key(environment: &StandinEnvironment, key: &str) -> u32 {
    let counts: Vec<RunCounts> =
        environment.backends.iter().map(|backend| backend.runs()).collect();
    counts
        .iter()
        .flat_map(|counts| &counts.by_key)
        .filter(|(name, _)| matches_key(name, key))
        .map(|(_, runs)| runs)
        .sum()
}

/// Adds the checks of the workers' records: no double runs, partial gangs or overcommitment.
pub fn check_jobs(table: &mut CheckTable, environment: &StandinEnvironment, jobs: &[JobId]) {
    let journal = environment.workers.journal();
    let now_ms = environment.workers.now_ms();
    let records = &journal.entries;
    table.add(
        "workers' records complete",
        "0 dropped",
        format!("{} dropped, {} records of {} jobs", journal.dropped, records.len(), jobs.len()),
        journal.dropped == 0,
    );
    table.add_violations(
        "members or attempts run twice at once",
        &audit::find_overlapping_runs(records, now_ms),
    );
    table.add_violations(
        "gangs partial for over 10.4 s",
        &audit::find_partial_gangs(records, now_ms, MAX_PARTIAL_RUN),
    );
    let longest_ms =
        audit::longest_partial_runs(records, now_ms).into_values().max().unwrap_or_default();
    table.add(
        "longest partial run of a gang",
        "<= 10,400 ms",
        format!("{longest_ms} ms"),
        u128::from(longest_ms) <= MAX_PARTIAL_RUN.as_millis(),
    );
    let overcommits = audit::find_overcommits(records, &environment.workers.specs(), now_ms);
    table.add_violations("accelerators held twice", &overcommits);
}

/// Adds the checks of the callers' results and the backend servers' records.
pub fn check_requests(
    table: &mut CheckTable,
    environment: &StandinEnvironment,
    counts: &CallerCounts,
) {
    let failed: u64 = counts.failures.values().sum();
    let causes: Vec<String> =
        counts.failures.iter().map(|(cause, count)| format!("{count} x {cause}")).collect();
    table.add(
        "requests answered",
        "99.9 %",
        format!(
            "{} of {}, {} retries{}{}",
            counts.done,
            counts.requests,
            counts.retries,
            if causes.is_empty() { "" } else { "; " },
            causes.join(", ")
        ),
        failed as f64 <= counts.requests as f64 * MAX_FAILURE_SHARE,
    );
    table.add_violations("wrong or partial answers", &counts.wrong_answers);
    table.add(
        "latency of requests p50, p99",
        "p99 <= 1 s",
        format!("{:.0} ms, {:.0} ms", counts.quantile_ms(0.5), counts.quantile_ms(0.99)),
        counts.quantile_ms(0.99) <= 1_000.0,
    );
    let runs: Vec<RunCounts> = environment.backends.iter().map(|backend| backend.runs()).collect();
    let dropped: u64 = runs.iter().map(|counts| counts.dropped).sum();
    let repeated = find_repeated_runs(&runs);
    table.add_violations(
        format!("non-repeatable requests run twice, of {}", counts.keys.len() + 1),
        &repeated,
    );
    let keys_not_run: Vec<String> = counts
        .keys
        .iter()
        .filter(|key| {
            !runs.iter().any(|counts| counts.by_key.keys().any(|name| matches_key(name, key)))
        })
        .cloned()
        .collect();
    let keys_run = counts.keys.len().saturating_sub(keys_not_run.len());
    table.add(
        "backend servers' records: dropped, keys run",
        format!("0, {}", counts.keys.len()),
        format!("{dropped}, {keys_run}"),
        dropped == 0 && keys_not_run.len() as u64 <= failed,
    );
}

/// Adds the check that the processes detected no violation of their own invariants.
pub fn check_invariants(table: &mut CheckTable) {
    let violations: Vec<String> =
        violations().iter().map(|(name, count)| format!("{name:?} {count} times")).collect();
    table.add_violations("invariants violated in the processes", &violations);
}

/// Returns whether a key recorded by a backend server belongs to a caller's request.
///
/// The entry process may prefix the caller's key with the customer and a slash.
fn matches_key(recorded_key: &str, key: &str) -> bool {
    recorded_key == key || recorded_key.rsplit('/').next() == Some(key)
}
