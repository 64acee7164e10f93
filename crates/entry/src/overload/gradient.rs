//! Concurrency limit that adapts to latency.
//!
//! After each window the limit moves part of the way towards `limit * gradient + sqrt(limit)`. The
//! gradient is 1 while the average latency of the window is within a multiple of the baseline, and
//! falls below 1 in proportion to the excess. The baseline is the lowest average so far, raised
//! slightly with each window.
//!
//! Source: the Gradient limit in Netflix, "Performance under load", 2018; the baseline replaces the
//! long-term average used there, which a lasting overload would raise.

use std::time::Duration;

use tokio::time::Instant;

/// Minimum length of the window over which latency is averaged.
const MIN_WINDOW: Duration = Duration::from_millis(100);
/// Minimum responses in a window; below it the window is extended.
const MIN_WINDOW_SAMPLES: u32 = 10;
/// Multiple of the baseline latency that still counts as normal variation.
const LATENCY_TOLERANCE: f64 = 1.5;
/// Lower bound of the gradient, the factor applied to the limit after one window.
const MIN_GRADIENT: f64 = 0.5;
/// Weight of the new target in the limit.
const LIMIT_SMOOTHING: f64 = 0.2;
/// Growth factor of the baseline in each window, so that it follows a lasting change within
/// minutes.
const BASELINE_GROWTH: f64 = 1.001;
/// Minimum limit, which keeps enough requests in flight to measure latency.
const MIN_LIMIT: f64 = 4.0;
/// Factor applied to the limit, at most once in a window, if a backend server lacks capacity.
const REFUSAL_FACTOR: f64 = 0.9;
/// Weight of a new sample in the smoothed service time and its mean deviation.
const SERVICE_TIME_WEIGHT: f64 = 0.05;

/// Adapts a concurrency limit to the measured latency.
#[derive(Debug)]
pub struct GradientLimit {
    limit: f64,
    capacity: f64,
    baseline_latency_s: f64,
    service_time_s: f64,
    service_time_deviation_s: f64,
    window: LatencyWindow,
}

#[derive(Debug)]
struct LatencyWindow {
    start: Instant,
    latency_sum_s: f64,
    samples: u32,
    peak_in_flight: u32,
    refused: bool,
}

impl LatencyWindow {
    fn new(start: Instant) -> Self {
        Self { start, latency_sum_s: 0.0, samples: 0, peak_in_flight: 0, refused: false }
    }
}

impl GradientLimit {
    /// Creates a limit whose upper bound is not set yet.
    pub fn new(now: Instant) -> Self {
        Self {
            limit: MIN_LIMIT,
            capacity: 0.0,
            baseline_latency_s: f64::INFINITY,
            service_time_s: 0.0,
            service_time_deviation_s: 0.0,
            window: LatencyWindow::new(now),
        }
    }

    /// Sets the upper bound. A limit at the previous bound follows it, so that a service starts at
    /// its full capacity.
    pub fn set_capacity(&mut self, slots: u32) {
        let capacity = f64::from(slots);
        if self.limit >= self.capacity || self.limit > capacity {
            self.limit = capacity;
        }
        self.capacity = capacity;
        self.limit = self.limit.max(MIN_LIMIT.min(capacity));
    }

    /// Returns the maximum requests in flight.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Returns the smoothed response time; zero before the first response.
    pub fn service_time(&self) -> Duration {
        Duration::from_secs_f64(self.service_time_s)
    }

    /// Returns the time within which most requests end: the smoothed response time plus twice its
    /// mean deviation.
    pub fn service_time_bound(&self) -> Duration {
        Duration::from_secs_f64(self.service_time_s + 2.0 * self.service_time_deviation_s)
    }

    /// Records that a backend server refused a request for lack of capacity; only the first refusal
    /// in a window lowers the limit.
    pub fn record_refusal(&mut self) {
        if !self.window.refused {
            self.window.refused = true;
            self.limit = (self.limit * REFUSAL_FACTOR).max(MIN_LIMIT.min(self.capacity));
        }
    }

    /// Records the response time of one request; `in_flight` includes it.
    pub fn record_latency(&mut self, latency: Duration, in_flight: u32, now: Instant) {
        let seconds = latency.as_secs_f64();
        if self.service_time_s == 0.0 {
            self.service_time_s = seconds;
        }
        self.service_time_deviation_s += SERVICE_TIME_WEIGHT
            * ((seconds - self.service_time_s).abs() - self.service_time_deviation_s);
        self.service_time_s += SERVICE_TIME_WEIGHT * (seconds - self.service_time_s);
        self.window.latency_sum_s += seconds;
        self.window.samples += 1;
        self.window.peak_in_flight = self.window.peak_in_flight.max(in_flight);
        if self.window.samples >= MIN_WINDOW_SAMPLES && now - self.window.start >= MIN_WINDOW {
            self.close_window(now);
        }
    }

    /// Adapts the limit to the average latency of the window and starts a new one.
    fn close_window(&mut self, now: Instant) {
        let window = std::mem::replace(&mut self.window, LatencyWindow::new(now));
        let average = window.latency_sum_s / f64::from(window.samples);
        self.baseline_latency_s = (self.baseline_latency_s * BASELINE_GROWTH).min(average);
        let gradient =
            (LATENCY_TOLERANCE * self.baseline_latency_s / average).clamp(MIN_GRADIENT, 1.0);
        let target = self.limit * gradient + self.limit.sqrt();
        let next = self.limit + LIMIT_SMOOTHING * (target - self.limit);
        // A window that used less than half of the limit is no evidence for a higher one.
        if next > self.limit && f64::from(window.peak_in_flight) < self.limit / 2.0 {
            return;
        }
        self.limit = next.clamp(MIN_LIMIT.min(self.capacity), self.capacity);
    }
}
