//! Figures of a trial in which a failure domain is disabled and re-enabled.

use std::time::Duration;

use lacewingrail_model::job::JobState;
use lacewingrail_standins::audit;

use crate::trial::attempts;
use crate::trial::figures::{FigureSet, seconds};
use crate::trial::runner::TrialRecord;

/// Maximum time after a disabling is accepted at which tasks may still start in the domain, as
/// stated in `docs/design.md`.
const MAX_START_AFTER_DISABLING: Duration = Duration::from_secs(3);
/// Time before the acceptance over which the baseline is averaged.
const BASELINE_MS: u64 = 5_000;
/// Share of the baseline at which the domain counts as refilled.
const REFILLED_SHARE: f64 = 0.9;
/// Time between samples of the allocated accelerators.
const SAMPLE_INTERVAL_MS: u64 = 100;

/// Adds the figures of the disabled period; does nothing if the trial disabled no domain.
pub fn measure(record: &TrialRecord, figures: &mut FigureSet) {
    let Some(times) = &record.disable_times else {
        return;
    };
    let (from_ms, to_ms) = (times.accepted_ms, times.returned_ms);
    let attempts_by_job = attempts::group_attempts(&record.allocations, record.end_ms);
    let (mut useful_ms, mut useful_before_ms, mut lost_ms) = (0.0, 0.0, 0.0);
    for job in &record.jobs {
        let finished = job.record.as_ref().is_some_and(|record| record.state == JobState::Finished);
        let Some(attempts) = job.id.as_ref().and_then(|id| attempts_by_job.get(id.as_str())) else {
            continue;
        };
        for attempt in attempts {
            let spans = if finished { attempt.useful_spans() } else { Vec::new() };
            useful_ms += attempts::accelerator_ms_between(&spans, from_ms, to_ms);
            useful_before_ms +=
                attempts::accelerator_ms_between(&spans, from_ms - BASELINE_MS, from_ms);
            let in_domain =
                attempt.members.first().is_some_and(|member| member.domain == times.domain);
            let overlaps_disabled_period = attempt.started_ms().is_some_and(|at| at <= to_ms)
                && attempt
                    .members
                    .iter()
                    .any(|member| member.ended_ms.unwrap_or(u64::MAX) >= times.requested_ms);
            if in_domain && overlaps_disabled_period && job.plan.cancel_at.is_none() {
                lost_ms += attempt.run_accelerator_ms()
                    - attempts::accelerator_ms_between(&spans, 0, u64::MAX);
            }
        }
    }
    let accelerators_in = |in_domain: bool| -> f64 {
        let specs = record.workers.iter().filter(|spec| (spec.domain == times.domain) == in_domain);
        specs.map(|spec| f64::from(spec.accelerators)).sum()
    };
    let (remaining_accelerators, total_accelerators) =
        (accelerators_in(false), accelerators_in(false) + accelerators_in(true));
    let disabled_ms = (to_ms - from_ms) as f64;
    figures.set("31 take-out accepted after, s", seconds(from_ms, times.requested_ms));
    figures.set("32 time out, s", disabled_ms / 1_000.0);
    figures.set(
        "33 useful time while out, share of the remaining accelerators",
        useful_ms / (remaining_accelerators * disabled_ms),
    );
    figures.set(
        "34 useful time in the 5 s before, share of all accelerators",
        useful_before_ms / (total_accelerators * BASELINE_MS as f64),
    );
    figures.set("35 lost in the domain by the take-out, accelerator-s", lost_ms / 1_000.0);
    let late_starts = audit::find_late_starts(
        &record.allocations,
        &times.domain,
        from_ms,
        MAX_START_AFTER_DISABLING,
        to_ms,
    );
    late_starts.iter().for_each(|violation| eprintln!("breach: {violation}"));
    figures.set("36 starts later than 3 s after acceptance", late_starts.len() as f64);
    let starts_after_acceptance =
        audit::find_late_starts(&record.allocations, &times.domain, from_ms, Duration::ZERO, to_ms);
    figures.set("37 starts after acceptance", starts_after_acceptance.len() as f64);
    let baseline =
        mean_allocated_accelerators(record, &times.domain, from_ms - BASELINE_MS, from_ms);
    let drained_at_ms = first_time_ms(
        record,
        &times.domain,
        times.requested_ms,
        |allocated| allocated == 0.0,
        to_ms,
    );
    let refilled_at_ms = first_time_ms(
        record,
        &times.domain,
        to_ms,
        |allocated| allocated >= REFILLED_SHARE * baseline,
        record.end_ms,
    );
    figures.set("38 accelerators held in the domain before", baseline);
    figures.set("39 time until the domain is empty, s", seconds(drained_at_ms, times.requested_ms));
    figures
        .set("40 time until the domain is filled again to 90%, s", seconds(refilled_at_ms, to_ms));
}

/// Returns the first sampled time at which the accelerators allocated in a domain satisfy a
/// condition, or `end_ms` if none does.
fn first_time_ms<F>(
    record: &TrialRecord,
    domain: &str,
    from_ms: u64,
    condition: F,
    end_ms: u64,
) -> u64
where
    F: Fn(f64) -> bool,
{
    let mut at_ms = from_ms;
    while at_ms < end_ms && !condition(allocated_accelerators(record, domain, at_ms)) {
        at_ms += SAMPLE_INTERVAL_MS;
    }
    at_ms.min(end_ms)
}

fn mean_allocated_accelerators(
    record: &TrialRecord,
    domain: &str,
    from_ms: u64,
    to_ms: u64,
) -> f64 {
    let samples = (to_ms - from_ms) / SAMPLE_INTERVAL_MS;
    let sum: f64 = (0..samples)
        .map(|step| allocated_accelerators(record, domain, from_ms + step * SAMPLE_INTERVAL_MS))
        .sum();
    sum / samples.max(1) as f64
}

fn allocated_accelerators(record: &TrialRecord, domain: &str, at_ms: u64) -> f64 {
    let allocations = record.allocations.iter().filter(|allocation| {
        allocation.domain == domain
            && allocation.reserved_ms <= at_ms
            && at_ms < allocation.ended_ms.unwrap_or(u64::MAX)
    });
    allocations.map(|allocation| f64::from(allocation.accelerators)).sum()
}
