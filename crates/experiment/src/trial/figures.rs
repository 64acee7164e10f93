//! Computes the figures of one trial.

use std::collections::BTreeMap;
use std::time::Duration;

use lacewingrail_model::job::JobState;
use lacewingrail_standins::audit;
use serde::Serialize;

use crate::trial::attempts::{self, Attempt};
use crate::trial::fragmentation;
use crate::trial::runner::{TrialJob, TrialRecord};
use crate::trial::serialized_name;
use crate::trial::workload::JobKind;

/// Maximum delay until urgent work starts or a guarantee is reclaimed, as stated in
/// `docs/design.md`.
pub const MAX_START_DELAY_S: f64 = 6.4;
/// Maximum time for which only part of a gang may run, as stated in `docs/design.md`.
const MAX_PARTIAL_GANG_DURATION: Duration = Duration::from_millis(10_400);

/// The figures of one trial by name.
#[derive(Clone, Debug, Default, Serialize)]
pub struct FigureSet {
    /// Figures with one value per job.
    pub samples: BTreeMap<String, Vec<f64>>,
    /// Figures with one value for the whole trial.
    pub values: BTreeMap<String, f64>,
}

impl FigureSet {
    /// Adds the value of one job to a figure.
    pub fn add_sample(&mut self, name: impl Into<String>, value: f64) {
        self.samples.entry(name.into()).or_default().push(value);
    }

    /// Sets a figure of the whole trial.
    pub fn set(&mut self, name: impl Into<String>, value: f64) {
        self.values.insert(name.into(), value);
    }
}

/// Computes all figures except those of a disabled domain.
pub fn measure(record: &TrialRecord) -> FigureSet {
    let mut figures = FigureSet::default();
    let attempts_by_job = attempts::group_attempts(&record.allocations, record.end_ms);
    let no_attempts = Vec::new();
    let attempts_of = |job: &TrialJob| -> &Vec<Attempt<'_>> {
        job.id.as_ref().and_then(|id| attempts_by_job.get(id.as_str())).unwrap_or(&no_attempts)
    };
    let overhead_s = median_alone_overhead_s(record, &attempts_of);
    figures.set("01 start and end of a job alone, s", overhead_s);
    let (mut unfinished, mut late_urgent, mut urgent) = (0.0, 0.0, 0.0);
    let (mut reclaimed, mut reclaimed_unused) = (ShareCount::default(), ShareCount::default());
    for job in record.jobs.iter().filter(|job| job.plan.kind != JobKind::Alone) {
        let job_attempts = attempts_of(job);
        let start = job_attempts.iter().find_map(|attempt| Some((attempt, attempt.started_ms()?)));
        let start_s = start.as_ref().map(|(_, started_ms)| seconds(*started_ms, job.submitted_ms));
        let waited_s = seconds(record.end_ms, job.submitted_ms);
        match job.plan.kind {
            JobKind::Impossible => {
                if job.refusal.as_ref().is_some_and(|(status, _)| *status == 422) {
                    figures.add_sample(
                        "impossible refused, ms",
                        (job.answered_ms - job.submitted_ms) as f64,
                    );
                }
            }
            JobKind::Faulty => {
                let failed_record = job.record.as_ref().filter(|record| is_failed(&record.state));
                if let Some(ended) = failed_record.and_then(|record| record.ended_at) {
                    figures.add_sample("faulty refused, s", seconds(ended, job.submitted_ms));
                }
            }
            JobKind::Guaranteed => {
                let reclaim_s = start_s.unwrap_or(waited_s);
                figures.add_sample("reclaim, s", reclaim_s);
                let shape = job.plan.spec.shape;
                let in_shape =
                    start.as_ref().is_some_and(|(attempt, _)| attempt.meets_adjacency(&shape));
                let reclaimed_in_time =
                    f64::from(u8::from(in_shape && reclaim_s <= MAX_START_DELAY_S));
                reclaimed.add(reclaimed_in_time);
                let until_ms = start.as_ref().map_or(record.end_ms, |(_, started_ms)| *started_ms);
                if is_guarantee_used_by_own_jobs(record, &attempts_by_job, job, until_ms) {
                    figures.add_sample("reclaim while smaller own jobs hold a unit, s", reclaim_s);
                } else {
                    figures.add_sample("reclaim of an unused unit, s", reclaim_s);
                    reclaimed_unused.add(reclaimed_in_time);
                    if reclaimed_in_time == 0.0 {
                        let (customer, domains) = (&job.plan.spec.customer, &job.plan.spec.domains);
                        eprintln!(
                            "late reclaim: {customer}, {shape}, {domains:?}, after {reclaim_s} s, \
                             in shape {in_shape}, job {:?}, submitted {}",
                            job.id, job.submitted_ms
                        );
                    }
                }
            }
            JobKind::Load | JobKind::Alone => {}
        }
        if !matches!(job.plan.kind, JobKind::Load) || job.id.is_none() {
            continue;
        }
        let class = serialized_name(&job.plan.spec.class);
        if class == "urgent" && job.plan.cancel_at.is_none() {
            urgent += 1.0;
            let start_s = start_s.unwrap_or(waited_s);
            figures.add_sample("urgent start, s", start_s);
            late_urgent += f64::from(u8::from(start_s > MAX_START_DELAY_S));
        }
        if job.plan.cancel_at.is_some() {
            continue;
        }
        let finished = job.record.as_ref().filter(|record| record.state == JobState::Finished);
        let ended = finished.and_then(|record| record.ended_at);
        unfinished += f64::from(u8::from(ended.is_none()));
        let completion_s = ended.map_or(waited_s, |ended| seconds(ended, job.submitted_ms));
        let size = size_name(job.plan.spec.shape.total());
        let slowdown = completion_s / (job.plan.work_ms as f64 / 1_000.0 + overhead_s);
        let finished_attempt = job_attempts.iter().rfind(|attempt| attempt.is_finished());
        let last_member_ended_ms = finished_attempt
            .and_then(|attempt| attempt.members.iter().filter_map(|member| member.ended_ms).max());
        if let (Some(last_member_ended_ms), Some(ended)) = (last_member_ended_ms, ended) {
            figures.add_sample(
                "end recorded after the last member finished, s",
                seconds(ended, last_member_ended_ms),
            );
        }
        figures.add_sample("completion all, s", completion_s);
        figures.add_sample(format!("completion {class} {size}, s"), completion_s);
        figures.add_sample(format!("completion {size}, s"), completion_s);
        figures.add_sample(format!("completion {class}, s"), completion_s);
        figures.add_sample("slowdown all", slowdown);
        figures.add_sample(format!("slowdown {size}"), slowdown);
    }
    figures.set("02 jobs not finished", unfinished);
    figures.set("03 urgent starts after 6.4 s, share", late_urgent / f64::max(urgent, 1.0));
    figures.set("04 guarantees reclaimed in shape within 6.4 s, share", reclaimed.share());
    figures.set(
        "04 unused guarantees reclaimed in shape within 6.4 s, share",
        reclaimed_unused.share(),
    );
    let count =
        |kind: JobKind| record.jobs.iter().filter(|job| job.plan.kind == kind).count() as f64;
    let refused = figures.samples.get("impossible refused, ms").map_or(0, Vec::len) as f64;
    figures.set(
        "05 impossible jobs refused at submission, share",
        refused / count(JobKind::Impossible),
    );
    let refused = figures.samples.get("faulty refused, s").map_or(0, Vec::len) as f64;
    figures.set("06 faulty jobs refused, share", refused / count(JobKind::Faulty));
    let fragmentation = fragmentation::measure(record);
    figures.set("07 fragmented accelerator-time, share", fragmentation.fragmented);
    figures.set("08 free while a waiting gang fits in shape, share", fragmentation.idle_fitting);
    figures.set(
        "08 of it in the domain where the gang runs next, share",
        fragmentation.idle_fitting_next,
    );
    figures.set("09 free while nothing waits, share", fragmentation.unneeded);
    figures.set(
        "10 largest whole-worker gang over free accelerators",
        fragmentation.largest_gang_share,
    );
    add_accelerator_time(record, &attempts_by_job, &mut figures);
    add_violations(record, &mut figures);
    figures
}

/// A number of jobs, and how many of them satisfy a condition.
#[derive(Default)]
struct ShareCount {
    satisfied: f64,
    total: f64,
}

impl ShareCount {
    /// Counts one job; `satisfied` is 1 if it satisfies the condition and 0 otherwise.
    fn add(&mut self, satisfied: f64) {
        self.satisfied += satisfied;
        self.total += 1.0;
    }

    fn share(&self) -> f64 {
        self.satisfied / f64::max(self.total, 1.0)
    }
}

/// Returns whether load jobs of the customer used its guarantee in the domain while a job waited.
///
/// A job that runs under its customer's guarantee occupies a whole unit of it, which is one gang of
/// the guaranteed shape, even if the job is smaller.
fn is_guarantee_used_by_own_jobs(
    record: &TrialRecord,
    attempts_by_job: &BTreeMap<&str, Vec<Attempt<'_>>>,
    waiting: &TrialJob,
    until_ms: u64,
) -> bool {
    let spec = &waiting.plan.spec;
    record.jobs.iter().any(|job| {
        let is_own_load = job.plan.kind == JobKind::Load && job.plan.spec.customer == spec.customer;
        let guaranteed = job.record.as_ref().is_some_and(|record| record.guaranteed);
        let job_attempts = job.id.as_ref().and_then(|id| attempts_by_job.get(id.as_str()));
        let mut members = job_attempts.into_iter().flatten().flat_map(|attempt| &attempt.members);
        is_own_load
            && guaranteed
            && members.any(|member| {
                spec.domains.contains(&member.domain)
                    && member.reserved_ms < until_ms
                    && member.ended_ms.unwrap_or(u64::MAX) > waiting.submitted_ms
            })
    })
}

/// Adds useful, lost and doubly spent accelerator-time, the preemptions and the time until all jobs
/// finished.
fn add_accelerator_time(
    record: &TrialRecord,
    attempts_by_job: &BTreeMap<&str, Vec<Attempt<'_>>>,
    figures: &mut FigureSet,
) {
    let capacity: u32 = record.workers.iter().map(|spec| spec.accelerators).sum();
    let capacity_ms = f64::from(capacity) * (record.load_ms.1 - record.load_ms.0) as f64;
    let (
        mut total_useful_ms,
        mut useful_in_load_ms,
        mut run_ms,
        mut overlapping_ms,
        mut outside_adjacency_ms,
    ) = (0.0, 0.0, 0.0, 0.0, 0.0);
    let mut preemptions = 0.0;
    let mut last_end_ms = record.load_ms.1;
    for job in &record.jobs {
        let Some(job_attempts) = job.id.as_ref().and_then(|id| attempts_by_job.get(id.as_str()))
        else {
            continue;
        };
        let job_record = job.record.as_ref();
        preemptions += job_record.map_or(0.0, |record| f64::from(record.preemptions));
        let finished = job_record.is_some_and(|record| record.state == JobState::Finished);
        if finished {
            last_end_ms =
                last_end_ms.max(job_record.and_then(|record| record.ended_at).unwrap_or(0));
        }
        for attempt in job_attempts {
            run_ms += attempt.run_accelerator_ms();
            if finished {
                let spans = attempt.useful_spans();
                let useful_ms = attempts::accelerator_ms_between(&spans, 0, u64::MAX);
                total_useful_ms += useful_ms;
                useful_in_load_ms +=
                    attempts::accelerator_ms_between(&spans, record.load_ms.0, record.load_ms.1);
                if !attempt.meets_adjacency(&job.plan.spec.shape) {
                    outside_adjacency_ms += useful_ms;
                }
            }
        }
        overlapping_ms += attempts::overlapping_accelerator_ms(job_attempts, record.end_ms);
    }
    figures
        .set("11 useful accelerator-time during the load, share", useful_in_load_ms / capacity_ms);
    figures.set("12 useful accelerator-time, accelerator-s", total_useful_ms / 1_000.0);
    figures.set("13 lost accelerator-time, accelerator-s", (run_ms - total_useful_ms) / 1_000.0);
    figures.set("14 doubly spent accelerator-time, accelerator-s", overlapping_ms / 1_000.0);
    figures.set(
        "15 useful time outside the adjacency asked for, share",
        outside_adjacency_ms / total_useful_ms.max(1.0),
    );
    figures.set("16 preemptions", preemptions);
    figures.set("17 time until all jobs finished, s", seconds(last_end_ms, record.load_ms.0));
}

/// Adds the numbers of invariant violations found in the workers' records.
fn add_violations(record: &TrialRecord, figures: &mut FigureSet) {
    let (records, now) = (&record.allocations, record.end_ms);
    let double_runs = audit::find_overlapping_runs(records, now);
    let partial_gangs = audit::find_partial_gangs(records, now, MAX_PARTIAL_GANG_DURATION);
    let overcommits = audit::find_overcommits(records, &record.workers, now);
    for violation in double_runs.iter().chain(&partial_gangs).chain(&overcommits) {
        eprintln!("breach: {violation}");
    }
    figures.set("18 double runs", double_runs.len() as f64);
    figures.set("19 gangs partial for over 10.4 s", partial_gangs.len() as f64);
    figures.set("20 overcommitted workers", overcommits.len() as f64);
    figures.set("21 records dropped by the workers", record.dropped_records as f64);
}

/// Returns the median scheduling overhead of a job that runs alone, in seconds: its completion time
/// without its run time.
fn median_alone_overhead_s<'a, F>(record: &'a TrialRecord, attempts_of: &F) -> f64
where
    F: Fn(&'a TrialJob) -> &'a Vec<Attempt<'a>>,
{
    let alone = record.jobs.iter().filter(|job| job.plan.kind == JobKind::Alone);
    let mut times: Vec<f64> = alone
        .filter_map(|job| {
            let ended = job.record.as_ref()?.ended_at?;
            // A job that runs alone holds one accelerator, so its accelerator-time is its run time.
            let run_s: f64 =
                attempts_of(job).iter().map(Attempt::run_accelerator_ms).sum::<f64>() / 1_000.0;
            Some(seconds(ended, job.submitted_ms) - run_s)
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times.get(times.len() / 2).copied().unwrap_or(0.0)
}

/// Returns the seconds between two times; 0 if `later_ms` is earlier.
pub fn seconds(later_ms: u64, earlier_ms: u64) -> f64 {
    later_ms.saturating_sub(earlier_ms) as f64 / 1_000.0
}

fn is_failed(state: &JobState) -> bool {
    matches!(state, JobState::Failed { .. })
}

/// Returns the size class of a gang by its total number of accelerators.
fn size_name(accelerators: u32) -> &'static str {
    match accelerators {
        0..=8 => "small",
        9..=32 => "medium",
        _ => "large",
    }
}
