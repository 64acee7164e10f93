//! The clock for leases, epochs and timeouts of this process.
//!
//! A lease also expires while the instance is suspended. The monotonic clock stops during a
//! suspension, so this module reads the boot-time clock, which does not. Neither follows changes of
//! the time of day.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Returns the time since boot, including time in which the instance was suspended.
pub fn now() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    Duration::from_secs(seconds) + Duration::from_nanos(time.tv_nsec.unsigned_abs())
}
