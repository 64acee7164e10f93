//! Rate limit for starts after a failure domain returns to service.

use std::time::{Duration, Instant};

use lacewingrail_scheduler::start_limiter::StartLimiter;

/// Returns the number of starts that a limiter admits between two times, queried every 10 ms.
fn admitted(limiter: &mut StartLimiter, started_at: Instant, from: u64, to: u64) -> usize {
    let times = (from..to).step_by(10).map(|millis| started_at + Duration::from_millis(millis));
    times.filter(|now| limiter.try_admit(*now)).count()
}

/// Guards against a burst when a domain returns, and against a limit that never ends.
#[test]
fn the_rate_begins_at_two_and_doubles() {
    let started_at = Instant::now();
    let mut limiter = StartLimiter::new(started_at);
    let seconds: Vec<usize> = (0..5)
        .map(|second| admitted(&mut limiter, started_at, second * 1_000, second * 1_000 + 1_000))
        .collect();
    for (second, starts) in seconds.iter().enumerate() {
        let rate = 2_usize << second;
        assert!((rate..=rate * 2).contains(starts), "second {second}: {starts} starts of {rate}");
    }
    assert_eq!(
        admitted(&mut limiter, started_at, 11_000, 12_000),
        100,
        "starts are no longer limited"
    );
}
