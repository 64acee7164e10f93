//! Verdicts over the records of the stand-ins.

use std::time::Duration;

use lacewingrail_model::JobId;
use lacewingrail_model::invariant::violations;
use lacewingrail_standins::{EndReason, HoldingRecord, RunCounts, audit, find_repeated_runs};

use crate::callers::CallerCounts;
use crate::outside::OutsideWorld;
use crate::report::CheckTable;

/// Longest time for which a gang may run partially.
const PARTIAL_LIMIT: Duration = Duration::from_millis(10_400);
/// Largest share of requests that may stay without an answer.
const FAILURE_SHARE: f64 = 0.001;

/// Returns whether the newest attempt of a job finished with all members.
pub fn is_finished(runs: &[HoldingRecord]) -> bool {
    let Some(attempt) = runs.iter().map(|run| run.member.attempt).max() else {
        return false;
    };
    let newest: Vec<_> = runs.iter().filter(|run| run.member.attempt == attempt).collect();
    let finished = newest.iter().filter(|run| run.reason == Some(EndReason::Finished)).count();
    newest.iter().all(|run| run.gang_members as usize == finished)
}

/// Returns how often a request with an idempotency key ran.
pub fn runs_of_key(outside: &OutsideWorld, key: &str) -> u32 {
    let counts: Vec<RunCounts> = outside.backends.iter().map(|backend| backend.runs()).collect();
    counts
        .iter()
        .flat_map(|counts| &counts.by_key)
        .filter(|(name, _)| is_key(name, key))
        .map(|(_, runs)| runs)
        .sum()
}

/// Adds the verdicts over the workers' records.
pub fn check_jobs(table: &mut CheckTable, outside: &OutsideWorld, jobs: &[JobId]) {
    let page = outside.workers.journal();
    let now_ms = outside.workers.now_ms();
    let records = &page.entries;
    table.add(
        "workers' records complete",
        "0 dropped",
        format!("{} dropped, {} records of {} jobs", page.dropped, records.len(), jobs.len()),
        page.dropped == 0,
    );
    table.add_breaches(
        "members or attempts run twice at once",
        &audit::find_double_runs(records, now_ms),
    );
    table.add_breaches(
        "gangs partial for over 10.4 s",
        &audit::find_partial_gangs(records, now_ms, PARTIAL_LIMIT),
    );
    let longest = audit::partial_runs(records, now_ms).into_values().max().unwrap_or_default();
    table.add(
        "longest partial run of a gang",
        "<= 10,400 ms",
        format!("{longest} ms"),
        u128::from(longest) <= PARTIAL_LIMIT.as_millis(),
    );
    let overcommits = audit::find_overcommits(records, &outside.workers.specs(), now_ms);
    table.add_breaches("accelerators held twice", &overcommits);
}

/// Adds the verdicts over what callers got and backend servers ran.
pub fn check_requests(table: &mut CheckTable, outside: &OutsideWorld, counts: &CallerCounts) {
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
        failed as f64 <= counts.requests as f64 * FAILURE_SHARE,
    );
    table.add_breaches("wrong or partial answers", &counts.wrong);
    table.add(
        "latency of requests p50, p99",
        "p99 <= 1 s",
        format!("{:.0} ms, {:.0} ms", counts.quantile_ms(0.5), counts.quantile_ms(0.99)),
        counts.quantile_ms(0.99) <= 1_000.0,
    );
    let runs: Vec<RunCounts> = outside.backends.iter().map(|backend| backend.runs()).collect();
    let dropped: u64 = runs.iter().map(|counts| counts.dropped).sum();
    let repeated = find_repeated_runs(&runs);
    table.add_breaches(
        format!("non-repeatable requests run twice, of {}", counts.keys.len() + 1),
        &repeated,
    );
    let unrun: Vec<String> = counts
        .keys
        .iter()
        .filter(|key| !runs.iter().any(|counts| counts.by_key.keys().any(|name| is_key(name, key))))
        .cloned()
        .collect();
    let answered = counts.keys.len().saturating_sub(unrun.len());
    table.add(
        "backend servers' records: dropped, keys run",
        format!("0, {}", counts.keys.len()),
        format!("{dropped}, {answered}"),
        dropped == 0 && unrun.len() as u64 <= failed,
    );
}

/// Adds the invariants that the processes check on themselves.
pub fn check_invariants(table: &mut CheckTable) {
    let breaches: Vec<String> =
        violations().iter().map(|(name, count)| format!("{name:?} {count} times")).collect();
    table.add_breaches("invariants violated in the processes", &breaches);
}

/// Returns whether a backend server's key is a caller's; the entry process may put the customer
/// before it.
fn is_key(name: &str, key: &str) -> bool {
    name == key || name.rsplit('/').next() == Some(key)
}
