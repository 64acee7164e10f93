//! When a backend server is ejected, and for how long.

use std::time::Duration;

use tokio::time::Instant;

/// Time over which the failure rate counts.
const RATE_WINDOW: Duration = Duration::from_secs(5);
/// Parts of the window; the oldest part is forgotten as a whole.
const RATE_BUCKETS: usize = 5;
/// Requests in the window below which the rate says nothing.
const RATE_SAMPLES: u32 = 10;
/// Share of failures above which a backend is ejected.
const RATE_LIMIT: f64 = 0.5;
/// Time of the first ejection.
const FIRST_EJECTION: Duration = Duration::from_secs(2);
/// Longest ejection.
const LONGEST_EJECTION: Duration = Duration::from_secs(30);
/// Time in service after which the next ejection is a first one again.
const FORGIVEN_AFTER: Duration = Duration::from_secs(60);

/// States how a request failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The connection was refused: nothing listens any more, so one failure is enough.
    Gone,
    /// No whole answer came, or one that states a server error.
    Failed,
    /// The backend had no capacity. Such answers count in a row but not in the rate, because a
    /// backend under load gives them between good ones.
    Busy,
}

/// Counts the failures of one backend server.
#[derive(Debug, Default)]
pub struct BackendHealth {
    consecutive: u32,
    buckets: [RateBucket; RATE_BUCKETS],
    bucket_start: Option<Instant>,
    ejections: u32,
    last_ejection: Option<Instant>,
}

#[derive(Clone, Copy, Debug, Default)]
struct RateBucket {
    good: u32,
    failed: u32,
}

impl BackendHealth {
    /// Records an answer.
    pub fn note_success(&mut self, now: Instant) {
        self.consecutive = 0;
        self.rotate(now);
        self.buckets[0].good += 1;
    }

    /// Records a failure; returns whether the backend should be ejected.
    pub fn note_failure(&mut self, verdict: Verdict, eject_after: u32, now: Instant) -> bool {
        self.consecutive += 1;
        self.rotate(now);
        if verdict != Verdict::Busy {
            self.buckets[0].failed += 1;
        }
        verdict == Verdict::Gone
            || self.consecutive >= eject_after.max(1)
            || self.rate().is_some_and(|rate| rate > RATE_LIMIT)
    }

    /// Starts an ejection and returns its length.
    pub fn eject(&mut self, now: Instant) -> Duration {
        let in_row = self
            .last_ejection
            .is_some_and(|last| now.saturating_duration_since(last) < FORGIVEN_AFTER);
        self.ejections = if in_row { self.ejections + 1 } else { 1 };
        self.last_ejection = Some(now);
        self.buckets = Default::default();
        self.consecutive = 0;
        let doublings = (self.ejections - 1).min(8);
        FIRST_EJECTION.saturating_mul(1 << doublings).min(LONGEST_EJECTION)
    }

    fn rate(&self) -> Option<f64> {
        let good: u32 = self.buckets.iter().map(|bucket| bucket.good).sum();
        let failed: u32 = self.buckets.iter().map(|bucket| bucket.failed).sum();
        let all = good + failed;
        (all >= RATE_SAMPLES).then(|| f64::from(failed) / f64::from(all))
    }

    fn rotate(&mut self, now: Instant) {
        let width = RATE_WINDOW / RATE_BUCKETS as u32;
        let mut start = *self.bucket_start.get_or_insert(now);
        for _ in 0..RATE_BUCKETS {
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
