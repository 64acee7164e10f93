//! Scores a replayed load by the credit that its jobs earn for completing on time.

use std::collections::BTreeMap;
use std::time::Duration;

use lacewingrail_fleet::queue::job_work;
use serde::Serialize;

use crate::lab::replay::ReplayRecord;
use crate::lab::sheet::{LabJob, LoadSheet, QueueSheet};

/// Share of a job's credit that doesn't depend on its work.
const FIXED_CREDIT: f64 = 0.3;
/// Maximum credit of a job relative to that of a job of mean work in its queue.
const MAX_RELATIVE_CREDIT: f64 = 4.0;
/// Multiple of the completion objective beyond which a job earns no credit.
const ZERO_CREDIT_MULTIPLE: f64 = 3.0;
/// Share of the jobs of a queue that count as large.
const LARGE_SHARE: f64 = 0.1;
/// Share of the jobs of a queue that count as medium, next below the large ones.
const MEDIUM_SHARE: f64 = 0.2;

/// The credit that a group of jobs earned and could have earned.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct CreditShare {
    /// The credit earned.
    pub earned: f64,
    /// The credit if all jobs had completed on time.
    pub owed: f64,
}

/// The figures of one replay by name.
pub type CreditFigures = BTreeMap<String, f64>;

impl CreditShare {
    /// Adds the credit of one job.
    pub fn add(&mut self, earned: f64, owed: f64) {
        self.earned += earned;
        self.owed += owed;
    }

    /// Returns the share of the possible credit that was earned; 1 if no credit was possible.
    pub fn share(&self) -> f64 {
        if self.owed > 0.0 { self.earned / self.owed } else { 1.0 }
    }
}

/// Computes the share of the credit that was earned by queue, size class and customer and overall,
/// and the counts of the replay, such as its starts and stops.
pub fn measure(sheet: &LoadSheet, jobs: &[LabJob], record: &ReplayRecord) -> CreditFigures {
    let mut groups: BTreeMap<String, CreditShare> = BTreeMap::new();
    for queue in &sheet.queues {
        let mut queue_jobs: Vec<&LabJob> =
            jobs.iter().filter(|job| job.submission.queue == queue.name).collect();
        queue_jobs.sort_by(|left, right| total_work(right).total_cmp(&total_work(left)));
        let mean_work = queue_jobs.iter().map(|job| total_work(job)).sum::<f64>()
            / queue_jobs.len().max(1) as f64;
        for (position, job) in queue_jobs.iter().enumerate() {
            let relative_credit = FIXED_CREDIT + (1.0 - FIXED_CREDIT) * total_work(job) / mean_work;
            let owed = queue.worth * relative_credit.min(MAX_RELATIVE_CREDIT);
            let completed = record.completed.get(&job.submission.key);
            let earned =
                owed * completed.map_or(0.0, |completion| earned_share(queue, job, *completion));
            let size = size_name(position as f64 / queue_jobs.len() as f64);
            let customer = &job.submission.customer;
            let names = [
                format!("queue {}", queue.name),
                size,
                format!("customer {customer}"),
                "all".into(),
            ];
            for name in names {
                groups.entry(name).or_default().add(earned, owed);
            }
        }
    }
    let credit = groups.iter().map(|(name, share)| (format!("credit {name}"), share.share()));
    let mut figures: CreditFigures = credit.collect();
    let run_figures = [
        ("jobs completed, share", record.completed.len() as f64 / jobs.len().max(1) as f64),
        ("jobs refused, share", record.rejected_jobs as f64 / jobs.len().max(1) as f64),
        ("work lost, core-s", record.lost_core_seconds),
        ("starts", record.starts as f64),
        ("starts refused", record.refused_starts as f64),
        ("stops", record.stops as f64),
        ("stops of borrowers", record.preemptions as f64),
        ("renewals", record.renewals as f64),
        ("store writes", record.writes as f64),
    ];
    figures.extend(run_figures.map(|(name, value)| (name.to_owned(), value)));
    figures
}

/// Returns the share of its credit that a job earns for its completion time.
///
/// The completion objective is the job's critical path times the stretch of the queue, plus its
/// slack.
fn earned_share(queue: &QueueSheet, job: &LabJob, completion: Duration) -> f64 {
    let critical_path_s: f64 =
        job.work.iter().map(|step| step.iter().copied().fold(0.0, f64::max)).sum();
    let objective_s =
        critical_path_s * queue.stretch + Duration::from_millis(queue.slack_ms).as_secs_f64();
    if completion.as_secs_f64() <= objective_s {
        1.0
    } else if completion.as_secs_f64() <= objective_s * ZERO_CREDIT_MULTIPLE {
        queue.late_share
    } else {
        0.0
    }
}

/// Returns the declared work of all tasks of a job, in core-seconds.
fn total_work(job: &LabJob) -> f64 {
    job_work(&job.submission.spec.steps)
}

/// Returns the label of a job's size class, given the share of larger jobs in its queue.
fn size_name(larger_share: f64) -> String {
    if larger_share < LARGE_SHARE {
        "size largest tenth".into()
    } else if larger_share < LARGE_SHARE + MEDIUM_SHARE {
        "size fifth below".into()
    } else {
        "size smaller".into()
    }
}
