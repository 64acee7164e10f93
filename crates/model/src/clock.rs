//! Time readings.
//!
//! Durations and deadlines use the monotonic clock. The wall clock serves only for records that
//! people read, since operators may set it back.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Milliseconds since the Unix epoch.
pub type UnixMillis = u64;

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub fn unix_millis() -> UnixMillis {
    millis(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO))
}

/// Returns the whole milliseconds of a duration, for logs and messages.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
