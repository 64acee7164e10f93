//! Clock of the records that stand-ins keep for tests.

use lacewingrail_model::clock::{UnixMillis, unix_millis};
use tokio::time::Instant;

/// Reads Unix time once and advances it by the monotonic clock, so that record times never go
/// backwards and records of several stand-ins on one machine can be compared.
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
