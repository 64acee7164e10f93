//! Figures of a run in which a failure domain is out for a while.

use std::time::Duration;

use lacewingrail_model::job::JobState;
use lacewingrail_standins::audit;

use crate::trial::drive::TrialRecord;
use crate::trial::figures::{FigureSet, seconds};
use crate::trial::holdings;

/// Latest start after a take-out, from the design page.
const OUT_LIMIT: Duration = Duration::from_secs(3);
/// Time before the take-out over which the former level is taken, in milliseconds.
const BEFORE_MS: u64 = 5_000;
/// Share of the former level at which the domain counts as filled again.
const FILLED_SHARE: f64 = 0.9;
/// Time between samples in milliseconds.
const STEP_MS: u64 = 100;

/// Adds the figures of the take-out.
pub fn measure(record: &TrialRecord, figures: &mut FigureSet) {
    let Some(out) = &record.out else {
        return;
    };
    let (from, to) = (out.accepted_ms, out.returned_ms);
    let attempts = holdings::group(&record.holdings, record.end_ms);
    let (mut useful, mut before, mut lost) = (0.0, 0.0, 0.0);
    for job in &record.jobs {
        let finished = job.record.as_ref().is_some_and(|record| record.state == JobState::Finished);
        let Some(runs) = job.id.as_ref().and_then(|id| attempts.get(id.as_str())) else {
            continue;
        };
        for attempt in runs {
            let parts = if finished { attempt.useful() } else { Vec::new() };
            useful += holdings::within(&parts, from, to);
            before += holdings::within(&parts, from - BEFORE_MS, from);
            let own = attempt.members.first().is_some_and(|member| member.domain == out.domain);
            let crossed = attempt.started_ms().is_some_and(|at| at <= to)
                && attempt
                    .members
                    .iter()
                    .any(|member| member.ended_ms.unwrap_or(u64::MAX) >= out.requested_ms);
            if own && crossed && job.plan.cancel_at.is_none() {
                lost += attempt.run() - holdings::within(&parts, 0, u64::MAX);
            }
        }
    }
    let sum = |own: bool| -> f64 {
        let specs = record.workers.iter().filter(|spec| (spec.domain == out.domain) == own);
        specs.map(|spec| f64::from(spec.accelerators)).sum()
    };
    let (remaining, whole) = (sum(false), sum(false) + sum(true));
    let window = (to - from) as f64;
    figures.set("31 take-out accepted after, s", seconds(from, out.requested_ms));
    figures.set("32 time out, s", window / 1_000.0);
    figures.set(
        "33 useful time while out, share of the remaining accelerators",
        useful / (remaining * window),
    );
    figures.set(
        "34 useful time in the 5 s before, share of all accelerators",
        before / (whole * BEFORE_MS as f64),
    );
    figures.set("35 lost in the domain by the take-out, accelerator-s", lost / 1_000.0);
    let late = audit::find_late_starts(&record.holdings, &out.domain, from, OUT_LIMIT, to);
    late.iter().for_each(|breach| eprintln!("breach: {breach}"));
    figures.set("36 starts later than 3 s after acceptance", late.len() as f64);
    let since = audit::find_late_starts(&record.holdings, &out.domain, from, Duration::ZERO, to);
    figures.set("37 starts after acceptance", since.len() as f64);
    let level = mean_held(record, &out.domain, from - BEFORE_MS, from);
    let drained = first(record, &out.domain, out.requested_ms, |held| held == 0.0, to);
    let filled = first(record, &out.domain, to, |held| held >= FILLED_SHARE * level, record.end_ms);
    figures.set("38 accelerators held in the domain before", level);
    figures.set("39 time until the domain is empty, s", seconds(drained, out.requested_ms));
    figures.set("40 time until the domain is filled again to 90%, s", seconds(filled, to));
}

/// Returns the first time at which the accelerators held satisfy a condition, or the end.
fn first<F>(record: &TrialRecord, domain: &str, from_ms: u64, condition: F, end_ms: u64) -> u64
where
    F: Fn(f64) -> bool,
{
    let mut at_ms = from_ms;
    while at_ms < end_ms && !condition(held(record, domain, at_ms)) {
        at_ms += STEP_MS;
    }
    at_ms.min(end_ms)
}

fn mean_held(record: &TrialRecord, domain: &str, from_ms: u64, to_ms: u64) -> f64 {
    let samples = (to_ms - from_ms) / STEP_MS;
    let sum: f64 = (0..samples).map(|step| held(record, domain, from_ms + step * STEP_MS)).sum();
    sum / samples.max(1) as f64
}

fn held(record: &TrialRecord, domain: &str, at_ms: u64) -> f64 {
    let holdings = record.holdings.iter().filter(|holding| {
        holding.domain == domain
            && holding.reserved_ms <= at_ms
            && at_ms < holding.ended_ms.unwrap_or(u64::MAX)
    });
    holdings.map(|holding| f64::from(holding.accelerators)).sum()
}
