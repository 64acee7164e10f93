//! Wall-clock time and milliseconds.
//!
//! Durations and deadlines use the monotonic clock. The wall clock is used only for timestamps that
//! people read, because operators may set it back.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Wall-clock time in milliseconds since the Unix epoch; not monotonic.
pub type UnixMillis = u64;

/// Returns the wall-clock time in milliseconds since the Unix epoch; 0 for a clock set before it.
pub fn unix_millis() -> UnixMillis {
    millis(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO))
}

/// Returns a duration in whole milliseconds, rounded down; saturates at `u64::MAX`.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
