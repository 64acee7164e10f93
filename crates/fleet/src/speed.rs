//! Speeds of workers, learned from the progress of their runs.
//!
//! The work of a task is its run time on a worker of speed 1, and the rate of progress of a run is
//! the worker's speed divided by that work. Work is declared only roughly, but with the same error
//! for all tasks of a step. So each step keeps an estimate of its own work, which starts at the
//! declared value and is corrected by the rates seen on workers of known speed; the remaining
//! difference is attributed to the worker. Both estimates are averages of logarithms, since speeds
//! and errors are ratios.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Minimum time over which a rate is measured.
const MIN_MEASUREMENT_SPAN: Duration = Duration::from_millis(700);
/// Minimum progress over which a rate is measured, in percent points, which are reported as whole
/// numbers.
const MIN_PROGRESS_PERCENT: u32 = 3;
/// Number of measurements that the declared work counts as.
const DECLARED_WORK_WEIGHT: f64 = 1.5;
/// Minimum weight of a new measurement of a worker, so that a change of its speed shows within
/// seconds.
const MIN_SAMPLE_WEIGHT: f64 = 0.25;
/// Share by which a worker that was never measured may be slower than estimated.
const UNMEASURED_UNCERTAINTY: f64 = 0.35;
/// Minimum estimate of a speed; declared run times hold at speed 1.
const MIN_SPEED: f64 = 0.05;
/// Maximum estimate of a speed; declared run times hold at speed 1.
const MAX_SPEED: f64 = 10.0;

/// Estimate of the work of a task of one step; the declared run time before any measurement.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkEstimate {
    /// Sum of the logarithms of the measured rates, each as on a worker of speed 1.
    log_rate_sum: f64,
    /// Number of measurements.
    count: f64,
}

/// Estimate of the speed of one worker; 1 before any measurement.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WorkerSpeed {
    /// Natural logarithm of the speed.
    log: f64,
    /// Number of measurements.
    count: f64,
}

/// Progress of a run at one time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProgressSample {
    /// When the progress was reported, on the scheduler's clock.
    pub at: Duration,
    /// Share of the work that is done, 0 to 100.
    pub percent: u32,
}

impl WorkerSpeed {
    /// Returns the estimated speed, where 1 is that of a worker on which declared run times hold.
    pub fn value(&self) -> f64 {
        self.log.exp()
    }

    /// Returns whether the speed was ever measured.
    pub fn is_measured(&self) -> bool {
        self.count > 0.0
    }

    /// Returns the speed that may be relied on: the estimate, reduced the more the fewer
    /// measurements it has.
    pub fn lower_bound(&self) -> f64 {
        self.value() * (1.0 - UNMEASURED_UNCERTAINTY / (1.0 + self.count))
    }

    fn record(&mut self, log_speed: f64) {
        self.count += 1.0;
        let weight = (1.0 / (self.count + 1.0)).max(MIN_SAMPLE_WEIGHT);
        self.log += weight * (log_speed - self.log);
        self.log = self.log.clamp(MIN_SPEED.ln(), MAX_SPEED.ln());
    }
}

impl WorkEstimate {
    /// Returns the estimated run time of a task on a worker of speed 1, between a
    /// millisecond and a million seconds.
    pub fn work(&self, declared: Duration) -> Duration {
        let log_rate = self.log_rate(declared);
        Duration::from_secs_f64((-log_rate).exp().clamp(0.001, 1e6))
    }

    fn log_rate(&self, declared: Duration) -> f64 {
        let prior = -declared.as_secs_f64().max(0.001).ln();
        (DECLARED_WORK_WEIGHT * prior + self.log_rate_sum) / (DECLARED_WORK_WEIGHT + self.count)
    }

    fn record(&mut self, log_rate: f64) {
        self.log_rate_sum += log_rate;
        self.count += 1.0;
    }
}

/// Updates both estimates from the progress of a run between two samples. Returns whether the
/// samples were far enough apart to count.
pub fn record_progress(
    estimate: &mut WorkEstimate,
    speed: &mut WorkerSpeed,
    declared: Duration,
    from: ProgressSample,
    to: ProgressSample,
) -> bool {
    let span = to.at.saturating_sub(from.at);
    let progress = to.percent.saturating_sub(from.percent);
    if span < MIN_MEASUREMENT_SPAN || progress < MIN_PROGRESS_PERCENT || to.percent >= 100 {
        return false;
    }
    let rate = (f64::from(progress) / 100.0 / span.as_secs_f64()).ln();
    estimate.record(rate - speed.log);
    speed.record(rate - estimate.log_rate(declared));
    true
}
