//! How fast workers are, learned from the progress of what they run.
//!
//! A task's rate of progress is its worker's speed divided by its work. The work is declared only
//! roughly, but alike for all tasks of a step, so each step keeps an estimate of its own work that
//! starts at the declared one and is corrected by the rates seen on workers of known speed; the rest
//! is the worker's. Both are averages of logarithms, since speeds and errors are ratios.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Shortest time over which a rate is measured.
const SHORTEST_SPAN: Duration = Duration::from_millis(700);
/// Smallest progress over which a rate is measured, in percent points: it is reported in whole ones.
const SMALLEST_PROGRESS: u32 = 3;
/// Number of measurements that the declared work counts as.
const DECLARED_WEIGHT: f64 = 1.5;
/// Least weight of a new measurement of a worker, so that a change is followed within seconds.
const LEAST_WEIGHT: f64 = 0.25;
/// Share by which a worker that was never measured may be slower than thought.
const UNCERTAINTY: f64 = 0.35;
/// Bounds of a speed against the mean.
const SLOWEST: f64 = 0.05;
const FASTEST: f64 = 10.0;

/// Estimates the work of the tasks of a step.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StepPace {
    sum: f64,
    count: f64,
}

/// Estimates the speed of a worker.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WorkerSpeed {
    log: f64,
    count: f64,
}

/// Marks a point in the progress of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProgressMark {
    /// Time.
    pub at: Duration,
    /// Share of the work done, 0 to 100.
    pub percent: u32,
}

impl WorkerSpeed {
    /// Returns the speed; 1 is that of a worker on which declared run times hold.
    pub fn value(&self) -> f64 {
        self.log.exp()
    }

    /// Returns whether the speed has ever been measured.
    pub fn is_measured(&self) -> bool {
        self.count > 0.0
    }

    /// Returns the speed that may be relied on: lower as long as little has been measured.
    pub fn cautious(&self) -> f64 {
        self.value() * (1.0 - UNCERTAINTY / (1.0 + self.count))
    }

    fn note(&mut self, log: f64) {
        self.count += 1.0;
        let weight = (1.0 / (self.count + 1.0)).max(LEAST_WEIGHT);
        self.log += weight * (log - self.log);
        self.log = self.log.clamp(SLOWEST.ln(), FASTEST.ln());
    }
}

impl StepPace {
    /// Returns the run time of a task on a worker of speed 1.
    pub fn work(&self, declared: Duration) -> Duration {
        let log = self.rate_log(declared);
        Duration::from_secs_f64((-log).exp().clamp(0.001, 1e6))
    }

    fn rate_log(&self, declared: Duration) -> f64 {
        let prior = -declared.as_secs_f64().max(0.001).ln();
        (DECLARED_WEIGHT * prior + self.sum) / (DECLARED_WEIGHT + self.count)
    }

    fn note(&mut self, log: f64) {
        self.sum += log;
        self.count += 1.0;
    }
}

/// Notes the progress of a run between two marks; returns whether the span was long enough.
pub fn note_progress(
    pace: &mut StepPace,
    speed: &mut WorkerSpeed,
    declared: Duration,
    from: ProgressMark,
    to: ProgressMark,
) -> bool {
    let span = to.at.saturating_sub(from.at);
    let progress = to.percent.saturating_sub(from.percent);
    if span < SHORTEST_SPAN || progress < SMALLEST_PROGRESS || to.percent >= 100 {
        return false;
    }
    let rate = (f64::from(progress) / 100.0 / span.as_secs_f64()).ln();
    pace.note(rate - speed.log);
    speed.note(rate - pace.rate_log(declared));
    true
}
