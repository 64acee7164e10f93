//! The rate of starts after a failure domain returns.

use std::time::{Duration, Instant};

use lacewingrail_scheduler::start_limiter::StartLimiter;

/// Returns how many starts a limiter has admitted when it is asked every 10 ms.
fn admitted(limiter: &mut StartLimiter, begun: Instant, from: u64, to: u64) -> usize {
    let asks = (from..to).step_by(10).map(|millis| begun + Duration::from_millis(millis));
    asks.filter(|now| limiter.try_admit(*now)).count()
}

/// Guards against a burst when a domain returns, and against a limiter that never ends.
#[test]
fn the_rate_begins_at_two_and_doubles() {
    let begun = Instant::now();
    let mut limiter = StartLimiter::new(begun);
    let seconds: Vec<usize> = (0..5)
        .map(|second| admitted(&mut limiter, begun, second * 1_000, second * 1_000 + 1_000))
        .collect();
    for (second, starts) in seconds.iter().enumerate() {
        let rate = 2_usize << second;
        assert!((rate..=rate * 2).contains(starts), "second {second}: {starts} starts of {rate}");
    }
    assert_eq!(admitted(&mut limiter, begun, 11_000, 12_000), 100, "the rate is no limit any more");
}
