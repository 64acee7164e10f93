//! Waits until a condition holds.

use std::future::Future;
use std::time::{Duration, Instant};

/// Interval at which a condition is evaluated.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until a condition holds and returns the time it took; panics after the timeout.
pub async fn eventually<F>(description: &str, timeout: Duration, condition: F) -> Duration
where
    F: Fn() -> bool,
{
    eventually_async(description, timeout, || std::future::ready(condition())).await
}

/// Variant of [`eventually`] for an asynchronous condition.
pub async fn eventually_async<F, R>(
    description: &str,
    timeout: Duration,
    mut condition: F,
) -> Duration
where
    F: FnMut() -> R,
    R: Future<Output = bool>,
{
    let started_at = Instant::now();
    while !condition().await {
        assert!(started_at.elapsed() < timeout, "{description}: does not hold after {timeout:?}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    started_at.elapsed()
}
