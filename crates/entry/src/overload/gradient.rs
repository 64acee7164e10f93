//! The concurrency limit that follows latency.
//!
//! The limit shrinks when the average latency of a window rises above a multiple of the lowest
//! latency known, and grows by the square root of itself otherwise. Source: the Gradient limit of
//! Netflix' article "Performance under load", 2018; the lowest latency is used instead of a long
//! average, which a lasting overload would pull up.

use std::time::Duration;

use tokio::time::Instant;

/// Shortest window over which latency is averaged.
const WINDOW: Duration = Duration::from_millis(100);
/// Answers that a window needs before it counts.
const WINDOW_SAMPLES: u32 = 10;
/// Multiple of the lowest latency that is still taken for normal variation.
const TOLERANCE: f64 = 1.5;
/// Strongest shrinking in one window.
const LOWEST_GRADIENT: f64 = 0.5;
/// Share of a new estimate that enters the limit.
const SMOOTHING: f64 = 0.2;
/// Growth of the lowest latency in each window, so that a lasting change is learnt in minutes.
const BASELINE_GROWTH: f64 = 1.001;
/// Lowest limit, which keeps some work going to learn from.
const LOWEST_LIMIT: f64 = 4.0;
/// Factor on the limit when a backend server refuses work for lack of capacity.
const REFUSED_FACTOR: f64 = 0.9;
/// Share of a new value that enters the average of the service time and of its deviation.
const SERVICE_TIME_WEIGHT: f64 = 0.05;

/// Adapts a concurrency limit to latency.
#[derive(Debug)]
pub struct GradientLimit {
    limit: f64,
    capacity: f64,
    baseline: f64,
    mean: f64,
    deviation: f64,
    window: LatencyWindow,
}

#[derive(Debug)]
struct LatencyWindow {
    start: Instant,
    sum: f64,
    samples: u32,
    peak_in_flight: u32,
    refused: bool,
}

impl LatencyWindow {
    fn new(start: Instant) -> Self {
        Self { start, sum: 0.0, samples: 0, peak_in_flight: 0, refused: false }
    }
}

impl GradientLimit {
    /// Creates a limit without capacity.
    pub fn new(now: Instant) -> Self {
        Self {
            limit: LOWEST_LIMIT,
            capacity: 0.0,
            baseline: f64::INFINITY,
            mean: 0.0,
            deviation: 0.0,
            window: LatencyWindow::new(now),
        }
    }

    /// Sets the upper bound. A limit that was at the former bound moves with it, so that a service
    /// starts at its full capacity.
    pub fn set_capacity(&mut self, slots: u32) {
        let capacity = f64::from(slots);
        if self.limit >= self.capacity || self.limit > capacity {
            self.limit = capacity;
        }
        self.capacity = capacity;
        self.limit = self.limit.max(LOWEST_LIMIT.min(capacity));
    }

    /// Returns the requests that may be in flight.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Returns the average time that a request holds its place.
    pub fn service_time(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }

    /// Returns a time within which most requests end: the average and twice the mean deviation.
    pub fn service_time_high(&self) -> Duration {
        Duration::from_secs_f64(self.mean + 2.0 * self.deviation)
    }

    /// Notes that a backend server refused work for lack of capacity.
    pub fn note_refused(&mut self) {
        if !self.window.refused {
            self.window.refused = true;
            self.limit = (self.limit * REFUSED_FACTOR).max(LOWEST_LIMIT.min(self.capacity));
        }
    }

    /// Records the time of one answered request.
    pub fn observe(&mut self, latency: Duration, in_flight: u32, now: Instant) {
        let seconds = latency.as_secs_f64();
        if self.mean == 0.0 {
            self.mean = seconds;
        }
        self.deviation += SERVICE_TIME_WEIGHT * ((seconds - self.mean).abs() - self.deviation);
        self.mean += SERVICE_TIME_WEIGHT * (seconds - self.mean);
        self.window.sum += seconds;
        self.window.samples += 1;
        self.window.peak_in_flight = self.window.peak_in_flight.max(in_flight);
        if self.window.samples >= WINDOW_SAMPLES && now - self.window.start >= WINDOW {
            self.close_window(now);
        }
    }

    fn close_window(&mut self, now: Instant) {
        let window = std::mem::replace(&mut self.window, LatencyWindow::new(now));
        let average = window.sum / f64::from(window.samples);
        self.baseline = (self.baseline * BASELINE_GROWTH).min(average);
        let gradient = (TOLERANCE * self.baseline / average).clamp(LOWEST_GRADIENT, 1.0);
        let target = self.limit * gradient + self.limit.sqrt();
        let next = self.limit + SMOOTHING * (target - self.limit);
        // A limit that is not used says nothing about a higher one.
        if next > self.limit && f64::from(window.peak_in_flight) < self.limit / 2.0 {
            return;
        }
        self.limit = next.clamp(LOWEST_LIMIT.min(self.capacity), self.capacity);
    }
}
