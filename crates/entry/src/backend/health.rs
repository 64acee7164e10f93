//! Outlier detection: when a backend server is ejected, and for how long.

use std::time::Duration;

use tokio::time::Instant;

/// Length of the sliding window of the failure rate.
const FAILURE_RATE_WINDOW: Duration = Duration::from_secs(5);
/// Number of buckets of the sliding window; the oldest bucket is dropped as a whole.
const FAILURE_RATE_BUCKETS: usize = 5;
/// Minimum number of requests in the window for which a failure rate is computed.
const MIN_RATE_SAMPLES: u32 = 10;
/// Failure rate above which a backend is ejected.
const MAX_FAILURE_RATE: f64 = 0.5;
/// Length of a first ejection; repeated ones double it.
const MIN_EJECTION_TIME: Duration = Duration::from_secs(2);
/// Maximum length of an ejection, however often it is repeated.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(30);
/// Time since the last ejection after which the next one has the minimum length again.
const EJECTION_RESET_TIME: Duration = Duration::from_secs(60);

/// Kind of a failed request, which determines how soon its backend is ejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureKind {
    /// The connection was refused: no process listens, so one failure ejects the backend.
    ConnectionRefused,
    /// No whole response arrived, or it has a server error status other than 503.
    Failed,
    /// The backend responded 503 for lack of capacity. Counts as a consecutive failure but not in
    /// the failure rate, because a backend under load mixes such responses with successful ones.
    Busy,
}

/// Recent failures and ejections of one backend server, which decide on the next ejection.
#[derive(Debug, Default)]
pub struct BackendHealth {
    consecutive_failures: u32,
    buckets: [RateBucket; FAILURE_RATE_BUCKETS],
    bucket_start: Option<Instant>,
    /// Number of ejections in a row, each within [`EJECTION_RESET_TIME`] of the previous one.
    ejections: u32,
    last_ejection: Option<Instant>,
}

#[derive(Clone, Copy, Debug, Default)]
struct RateBucket {
    succeeded: u32,
    failed: u32,
}

impl BackendHealth {
    /// Records a successful response and resets the consecutive failures.
    pub fn record_success(&mut self, now: Instant) {
        self.consecutive_failures = 0;
        self.advance_window(now);
        self.buckets[0].succeeded += 1;
    }

    /// Records a failure; returns whether the backend should be ejected.
    pub fn record_failure(&mut self, failure: FailureKind, eject_after: u32, now: Instant) -> bool {
        self.consecutive_failures += 1;
        self.advance_window(now);
        if failure != FailureKind::Busy {
            self.buckets[0].failed += 1;
        }
        failure == FailureKind::ConnectionRefused
            || self.consecutive_failures >= eject_after.max(1)
            || self.failure_rate().is_some_and(|rate| rate > MAX_FAILURE_RATE)
    }

    /// Starts an ejection and returns its length.
    pub fn eject(&mut self, now: Instant) -> Duration {
        let repeated = self
            .last_ejection
            .is_some_and(|last| now.saturating_duration_since(last) < EJECTION_RESET_TIME);
        self.ejections = if repeated { self.ejections + 1 } else { 1 };
        self.last_ejection = Some(now);
        self.buckets = Default::default();
        self.consecutive_failures = 0;
        let doublings = (self.ejections - 1).min(8);
        MIN_EJECTION_TIME.saturating_mul(1 << doublings).min(MAX_EJECTION_TIME)
    }

    /// Returns the failure rate over the window; `None` below [`MIN_RATE_SAMPLES`] requests.
    fn failure_rate(&self) -> Option<f64> {
        let succeeded: u32 = self.buckets.iter().map(|bucket| bucket.succeeded).sum();
        let failed: u32 = self.buckets.iter().map(|bucket| bucket.failed).sum();
        let total = succeeded + failed;
        (total >= MIN_RATE_SAMPLES).then(|| f64::from(failed) / f64::from(total))
    }

    /// Drops the buckets that are older than the sliding window at `now`.
    fn advance_window(&mut self, now: Instant) {
        let width = FAILURE_RATE_WINDOW / FAILURE_RATE_BUCKETS as u32;
        let mut start = *self.bucket_start.get_or_insert(now);
        for _ in 0..FAILURE_RATE_BUCKETS {
            if now.saturating_duration_since(start) < width {
                break;
            }
            self.buckets.rotate_right(1);
            self.buckets[0] = RateBucket::default();
            start += width;
        }
        if now.saturating_duration_since(start) >= width {
            start = now;
        }
        self.bucket_start = Some(start);
    }
}
