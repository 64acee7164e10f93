//! Latency of the answers of one service: the average and the p95 after which a hedge may start.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::lock;

/// Largest latency that is told apart, in microseconds.
const MAX_US: u64 = 300_000_000;
/// Answers after which the p95 is computed again.
const REFRESH_SAMPLES: u64 = 64;
/// Answers after which older ones are forgotten.
const WINDOW_SAMPLES: u64 = 4096;
/// Answers below which there is no p95 and no average.
const FEWEST_SAMPLES: u64 = 64;
/// Share of a new answer in the average: it follows a change within some thirty answers, so that an
/// unused backend is not measured against a slow time that has passed.
const AVERAGE_WEIGHT: f64 = 1.0 / 32.0;
/// Quantile after which a hedge may start.
const HEDGE_QUANTILE: f64 = 0.95;

/// Tracks the latency of answers.
#[derive(Debug)]
pub struct LatencyTracker {
    window: Mutex<LatencyWindow>,
    p95_us: AtomicU64,
    mean_us: AtomicU64,
}

#[derive(Debug)]
struct LatencyWindow {
    histogram: Option<Histogram<u32>>,
    /// Smoothed average in microseconds.
    average_us: f64,
    /// Answers in the average.
    answers: u64,
}

impl LatencyTracker {
    /// Creates a tracker without answers.
    pub fn new() -> Self {
        // The bounds are valid constants, so that a histogram is always made.
        let histogram = Histogram::new_with_bounds(1, MAX_US, 2).ok();
        Self {
            window: Mutex::new(LatencyWindow { histogram, average_us: 0.0, answers: 0 }),
            p95_us: AtomicU64::new(0),
            mean_us: AtomicU64::new(0),
        }
    }

    /// Records one answer.
    pub fn record(&self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_US).clamp(1, MAX_US);
        let mut window = lock(&self.window);
        if let Some(mean) = window.average(micros) {
            self.mean_us.store(mean, Ordering::Relaxed);
        }
        let Some(histogram) = window.histogram.as_mut() else {
            return;
        };
        histogram.saturating_record(micros);
        let count = histogram.len();
        if count >= FEWEST_SAMPLES && count % REFRESH_SAMPLES == 0 {
            let p95 = histogram.value_at_quantile(HEDGE_QUANTILE);
            self.p95_us.store(p95, Ordering::Relaxed);
        }
        if count >= WINDOW_SAMPLES {
            histogram.reset();
        }
    }

    /// Returns the p95; nothing before enough answers.
    pub fn p95(&self) -> Option<Duration> {
        match self.p95_us.load(Ordering::Relaxed) {
            0 => None,
            micros => Some(Duration::from_micros(micros)),
        }
    }

    /// Returns the smoothed average in microseconds; 0 before enough answers, so that every backend
    /// is tried at first.
    pub fn mean_us(&self) -> u64 {
        self.mean_us.load(Ordering::Relaxed)
    }
}

impl LatencyWindow {
    /// Takes an answer into the average and returns it once it rests on enough answers.
    fn average(&mut self, micros: u64) -> Option<u64> {
        self.answers += 1;
        let weight = AVERAGE_WEIGHT.max(1.0 / self.answers as f64);
        self.average_us += weight * (micros as f64 - self.average_us);
        (self.answers >= FEWEST_SAMPLES).then_some(self.average_us.round() as u64)
    }
}

impl Default for LatencyTracker {
    fn default() -> Self {
        Self::new()
    }
}
