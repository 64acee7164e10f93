//! Rate limit for starts after a failure domain returns to service.

use std::time::{Duration, Instant};

/// Initial rate in gangs per second.
const INITIAL_STARTS_PER_SECOND: f64 = 2.0;
/// Interval in which the rate doubles.
const DOUBLING_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which starts are no longer limited; the rate then exceeds 2,000 gangs per second.
const RAMP_DURATION: Duration = Duration::from_secs(10);

/// Admits starts at a rate that doubles at a fixed interval, so that a returning domain fills
/// without a burst.
#[derive(Clone, Copy, Debug)]
pub struct StartLimiter {
    ramp_started_at: Instant,
    admitted: u32,
}

impl StartLimiter {
    /// Creates a limiter whose ramp begins at `now`.
    pub fn new(now: Instant) -> Self {
        Self { ramp_started_at: now, admitted: 0 }
    }

    /// Admits one start if the rate allows it at `now`.
    pub fn try_admit(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.ramp_started_at);
        if elapsed >= RAMP_DURATION {
            return true;
        }
        let doublings = elapsed.as_secs_f64() / DOUBLING_INTERVAL.as_secs_f64();
        // The integral of the rate, plus one start that is admitted at once.
        let allowed =
            INITIAL_STARTS_PER_SECOND * (doublings.exp2() - 1.0) / std::f64::consts::LN_2 + 1.0;
        if f64::from(self.admitted) + 1.0 > allowed {
            return false;
        }
        self.admitted += 1;
        true
    }
}
