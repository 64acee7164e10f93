//! CPU limits of best-effort tasks that run on the same worker as serving tasks.
//!
//! Best-effort tasks use what others leave idle, and so disturb serving tasks by amounts that
//! nobody declares and that change within seconds. Their limit is halved as soon as a serving task
//! comes near its target latency, and rises in small steps while all are far from theirs: additive
//! increase and multiplicative decrease (D.-M. Chiu, R. Jain, "Analysis of the increase and
//! decrease algorithms for congestion avoidance in computer networks", 1989).

/// CPU limit of a task that may use all of its processor time, in percent.
pub const FULL_CPU_LIMIT_PERCENT: u32 = 100;
/// Ratio of tail latency to its target above which the limit is halved.
const DECREASE_LATENCY_RATIO: f64 = 0.85;
/// Ratio of tail latency to its target below which the limit rises.
const INCREASE_LATENCY_RATIO: f64 = 0.6;
/// Percent points by which the limit rises.
const LIMIT_INCREMENT_PERCENT: u32 = 10;
/// Minimum limit in percent; below it, best-effort tasks are halted.
const MIN_CPU_LIMIT_PERCENT: u32 = LIMIT_INCREMENT_PERCENT;

/// Returns the limit that follows `limit`, given the highest ratio of tail latency to its target
/// among the serving tasks on the same worker. Limits are in percent, 0 to 100.
pub fn next_cpu_limit(limit: u32, latency_ratio: f64) -> u32 {
    if latency_ratio > DECREASE_LATENCY_RATIO {
        let halved = limit / 2;
        if halved < MIN_CPU_LIMIT_PERCENT { 0 } else { halved }
    } else if latency_ratio < INCREASE_LATENCY_RATIO {
        (limit + LIMIT_INCREMENT_PERCENT).min(FULL_CPU_LIMIT_PERCENT)
    } else {
        limit
    }
}
