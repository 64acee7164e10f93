//! Response latency of one service: the mean, and the p95 after which a hedge may start.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::lock;

/// Maximum latency that is recorded, in microseconds; longer ones are clamped.
const MAX_LATENCY_US: u64 = 300_000_000;
/// Samples after which the p95 is recomputed.
const P95_REFRESH_SAMPLES: u64 = 64;
/// Samples after which the histogram is reset.
const WINDOW_SAMPLES: u64 = 4096;
/// Samples below which there is no p95 and no mean.
const MIN_SAMPLES: u64 = 64;
/// Weight of a new sample in the mean. The mean follows a change within some thirty samples, so
/// that an idle backend is not compared with a slow period that is over.
const MEAN_WEIGHT: f64 = 1.0 / 32.0;
/// Quantile of the latency after which a hedge may start.
const HEDGE_QUANTILE: f64 = 0.95;

/// Mean and p95 of the latency of successful responses of one service.
#[derive(Debug)]
pub struct LatencyTracker {
    window: Mutex<LatencyWindow>,
    p95_us: AtomicU64,
    mean_us: AtomicU64,
}

#[derive(Debug)]
struct LatencyWindow {
    histogram: Option<Histogram<u32>>,
    /// Exponentially weighted mean in microseconds.
    mean_us: f64,
    /// Samples recorded so far.
    samples: u64,
}

impl LatencyTracker {
    /// Creates a tracker without samples.
    pub fn new() -> Self {
        // The bounds are valid constants, so creating the histogram never fails.
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, 2).ok();
        Self {
            window: Mutex::new(LatencyWindow { histogram, mean_us: 0.0, samples: 0 }),
            p95_us: AtomicU64::new(0),
            mean_us: AtomicU64::new(0),
        }
    }

    /// Records the latency of one response.
    pub fn record(&self, latency: Duration) {
        let micros =
            u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US).clamp(1, MAX_LATENCY_US);
        let mut window = lock(&self.window);
        if let Some(mean) = window.update_mean(micros) {
            self.mean_us.store(mean, Ordering::Relaxed);
        }
        let Some(histogram) = window.histogram.as_mut() else {
            return;
        };
        histogram.saturating_record(micros);
        let count = histogram.len();
        if count >= MIN_SAMPLES && count % P95_REFRESH_SAMPLES == 0 {
            let p95 = histogram.value_at_quantile(HEDGE_QUANTILE);
            self.p95_us.store(p95, Ordering::Relaxed);
        }
        if count >= WINDOW_SAMPLES {
            histogram.reset();
        }
    }

    /// Returns the p95; `None` before `MIN_SAMPLES` responses.
    pub fn p95(&self) -> Option<Duration> {
        match self.p95_us.load(Ordering::Relaxed) {
            0 => None,
            micros => Some(Duration::from_micros(micros)),
        }
    }

    /// Returns the mean in microseconds; 0 before `MIN_SAMPLES` responses, so that every backend is
    /// tried at first.
    pub fn mean_us(&self) -> u64 {
        self.mean_us.load(Ordering::Relaxed)
    }
}

impl LatencyWindow {
    /// Adds a sample to the mean; returns the mean once there are [`MIN_SAMPLES`] samples.
    fn update_mean(&mut self, micros: u64) -> Option<u64> {
        self.samples += 1;
        let weight = MEAN_WEIGHT.max(1.0 / self.samples as f64);
        self.mean_us += weight * (micros as f64 - self.mean_us);
        (self.samples >= MIN_SAMPLES).then_some(self.mean_us.round() as u64)
    }
}

impl Default for LatencyTracker {
    fn default() -> Self {
        Self::new()
    }
}
