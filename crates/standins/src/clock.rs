//! Clock of all ground-truth records.

use lacewingrail_model::clock::{UnixMillis, unix_millis};
use tokio::time::Instant;

/// Counts Unix milliseconds by the monotonic clock, so that records never go backwards and those of
/// several stand-ins on one machine can be joined.
#[derive(Debug)]
pub struct MonotonicClock {
    unix_ms: UnixMillis,
    started: Instant,
}

impl Default for MonotonicClock {
    fn default() -> Self {
        Self { unix_ms: unix_millis(), started: Instant::now() }
    }
}

impl MonotonicClock {
    /// Returns the time in milliseconds since the Unix epoch.
    pub fn now_ms(&self) -> UnixMillis {
        let elapsed = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.unix_ms.saturating_add(elapsed)
    }
}
