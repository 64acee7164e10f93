//! The rate of starts after a failure domain returns.

use std::time::{Duration, Instant};

/// Gangs a second at the return.
const INITIAL_STARTS_PER_SECOND: f64 = 2.0;
/// Time in which the rate doubles.
const DOUBLING_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which the rate is no limit any more: it then exceeds 2,000 gangs a second.
const RAMP_DURATION: Duration = Duration::from_secs(10);

/// Admits gangs at a rate that starts low and doubles, so that a domain fills without a burst.
#[derive(Clone, Copy, Debug)]
pub struct StartLimiter {
    since: Instant,
    admitted: u32,
}

impl StartLimiter {
    /// Creates a ramp that begins now.
    pub fn new(now: Instant) -> Self {
        Self { since: now, admitted: 0 }
    }

    /// Takes one start if the rate allows it.
    pub fn try_admit(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.since);
        if elapsed >= RAMP_DURATION {
            return true;
        }
        let doublings = elapsed.as_secs_f64() / DOUBLING_INTERVAL.as_secs_f64();
        // Integral of the rate, and one start at once.
        let allowed =
            INITIAL_STARTS_PER_SECOND * (doublings.exp2() - 1.0) / std::f64::consts::LN_2 + 1.0;
        if f64::from(self.admitted) + 1.0 > allowed {
            return false;
        }
        self.admitted += 1;
        true
    }
}
