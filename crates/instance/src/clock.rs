//! The process's clock.
//!
//! Leases have to count the time during which an instance is suspended, which the monotonic clock
//! does not. This clock does, and like the monotonic clock it does not follow changes of the time
//! of day.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Returns the time since the instance booted, suspension included.
pub fn now() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    Duration::from_secs(seconds) + Duration::from_nanos(time.tv_nsec.unsigned_abs())
}
