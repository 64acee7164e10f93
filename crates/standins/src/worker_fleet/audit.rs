//! Checks of the scheduler's guarantees on the records of all workers.
//!
//! Records of several fleets on one machine can be combined, because all follow its clock. The
//! `find_` functions return one sentence for each violation, so that a test asserts that there is
//! none.

use std::collections::BTreeMap;
use std::time::Duration;

use lacewingrail_model::clock::UnixMillis;
use lacewingrail_model::worker::WorkerSpec;

use crate::worker_fleet::allocation::{AllocationRecord, EndReason};

/// Finds members that ran twice concurrently and jobs of which two attempts ran concurrently.
pub fn find_overlapping_runs(records: &[AllocationRecord], now_ms: UnixMillis) -> Vec<String> {
    let mut jobs: BTreeMap<&str, Vec<&AllocationRecord>> = BTreeMap::new();
    for record in records.iter().filter(|record| record.started_ms.is_some()) {
        jobs.entry(&record.member.job).or_default().push(record);
    }
    let mut violations = Vec::new();
    for runs in jobs.values() {
        for (index, first) in runs.iter().enumerate() {
            let conflicting = runs[index + 1..].iter().filter(|second| {
                first.member.attempt != second.member.attempt || first.member == second.member
            });
            violations.extend(conflicting.filter(|second| overlap(first, second, now_ms)).map(
                |second| {
                    format!(
                        "{} on {} and {} on {} ran at once",
                        first.member, first.worker, second.member, second.worker
                    )
                },
            ));
        }
    }
    violations
}

/// Finds attempts in which some but not all members ran for longer than `bound` without
/// interruption.
///
/// A member that finished its work does not count as missing.
pub fn find_partial_gangs(
    records: &[AllocationRecord],
    now_ms: UnixMillis,
    bound: Duration,
) -> Vec<String> {
    let bound_ms = u64::try_from(bound.as_millis()).unwrap_or(u64::MAX);
    let partial = longest_partial_runs(records, now_ms);
    let over = partial.into_iter().filter(|(_, longest_ms)| *longest_ms > bound_ms);
    over.map(|((job, attempt), longest_ms)| {
        format!("{job}/{attempt} ran partially for {longest_ms} ms, over {bound_ms} ms")
    })
    .collect()
}

/// Returns, for each job and attempt that ran, the longest time in milliseconds during which only
/// some of its members ran.
pub fn longest_partial_runs(
    records: &[AllocationRecord],
    now_ms: UnixMillis,
) -> BTreeMap<(String, u32), UnixMillis> {
    let mut attempts: BTreeMap<(String, u32), Vec<&AllocationRecord>> = BTreeMap::new();
    for record in records.iter().filter(|record| record.started_ms.is_some()) {
        let attempt = (record.member.job.clone(), record.member.attempt);
        attempts.entry(attempt).or_default().push(record);
    }
    attempts
        .into_iter()
        .map(|(attempt, runs)| (attempt, longest_partial_run_ms(&runs, now_ms)))
        .collect()
}

/// Finds tasks that started in a failure domain later than `bound` after it was disabled.
///
/// The domain is disabled from `disabled_ms` to `enabled_ms`.
pub fn find_late_starts(
    records: &[AllocationRecord],
    domain: &str,
    disabled_ms: UnixMillis,
    bound: Duration,
    enabled_ms: UnixMillis,
) -> Vec<String> {
    let latest_ms = disabled_ms + u64::try_from(bound.as_millis()).unwrap_or(u64::MAX);
    let late = records.iter().filter(|record| {
        record.domain == domain
            && record.started_ms.is_some_and(|at_ms| at_ms > latest_ms && at_ms < enabled_ms)
    });
    late.map(|record| {
        let after_ms = record.started_ms.unwrap_or_default() - disabled_ms;
        format!("{} started on {} {after_ms} ms after the take-out", record.member, record.worker)
    })
    .collect()
}

/// Finds workers on which more accelerators were allocated concurrently than exist.
pub fn find_overcommits(
    records: &[AllocationRecord],
    workers: &[WorkerSpec],
    now_ms: UnixMillis,
) -> Vec<String> {
    let mut violations = Vec::new();
    for spec in workers {
        let on_worker = records.iter().filter(|record| record.worker == spec.id);
        let mut changes: Vec<(UnixMillis, i64)> = on_worker
            .flat_map(|record| {
                let accelerators = i64::from(record.accelerators);
                let ended_ms = record.ended_ms.unwrap_or(now_ms);
                [(record.reserved_ms, accelerators), (ended_ms, -accelerators)]
            })
            .collect();
        // Sorting puts an end before a reservation in the same millisecond.
        changes.sort_unstable();
        let mut used = 0;
        for (at_ms, change) in changes {
            used += change;
            if used > i64::from(spec.accelerators) {
                violations.push(format!("{} held {used} accelerators at {at_ms}", spec.id));
            }
        }
    }
    violations
}

fn overlap(first: &AllocationRecord, second: &AllocationRecord, now_ms: UnixMillis) -> bool {
    let (Some(first), Some(second)) = (first.run_interval(now_ms), second.run_interval(now_ms))
    else {
        return false;
    };
    first.0 < second.1 && second.0 < first.1
}

fn longest_partial_run_ms(runs: &[&AllocationRecord], now_ms: UnixMillis) -> UnixMillis {
    let members = runs.iter().map(|record| record.gang_members).max().unwrap_or_default();
    // Time, change in running members and change in finished members.
    let mut changes: Vec<(UnixMillis, i64, i64)> = runs
        .iter()
        .filter_map(|record| Some((record, record.run_interval(now_ms)?)))
        .flat_map(|(record, (started_ms, ended_ms))| {
            let finished = i64::from(record.reason == Some(EndReason::Finished));
            [(started_ms, 1, 0), (ended_ms, -1, finished)]
        })
        .collect();
    changes.sort_unstable();
    let (mut running, mut finished, mut longest_ms) = (0, 0, 0);
    let mut since: Option<UnixMillis> = None;
    for (at_ms, running_change, newly_finished) in changes {
        running += running_change;
        finished += newly_finished;
        let partial = running > 0 && running + finished < i64::from(members);
        match since {
            None if partial => since = Some(at_ms),
            Some(from_ms) if !partial => {
                longest_ms = longest_ms.max(at_ms - from_ms);
                since = None;
            }
            _ => {}
        }
    }
    longest_ms
}
