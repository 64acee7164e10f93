//! How much of their share filling tasks may work beside tasks that serve.
//!
//! Answers tasks that fill what others leave unused and so disturb tasks with users of their own, by
//! amounts that nobody declares and that change within seconds. The share falls by half as soon as a
//! serving task comes near its target and rises in small steps while all are far from theirs:
//! additive increase and multiplicative decrease (D.-M. Chiu, R. Jain, "Analysis of the increase and
//! decrease algorithms for congestion avoidance in computer networks", 1989).

/// Full share in percent.
pub const FULL_PACE: u32 = 100;
/// Tail latency against the target above which the share falls.
const HIGH_PRESSURE: f64 = 0.85;
/// Tail latency against the target below which the share rises.
const LOW_PRESSURE: f64 = 0.6;
/// Percent points by which the share rises.
const PACE_STEP: u32 = 10;
/// Share below which filling tasks stand still instead: a step's size.
const LEAST_PACE: u32 = PACE_STEP;

/// Returns the share for the highest tail latency beside it, measured against its target.
pub fn next_pace(pace: u32, pressure: f64) -> u32 {
    if pressure > HIGH_PRESSURE {
        let halved = pace / 2;
        if halved < LEAST_PACE { 0 } else { halved }
    } else if pressure < LOW_PRESSURE {
        (pace + PACE_STEP).min(FULL_PACE)
    } else {
        pace
    }
}
