//! The test bed: stand-ins, proxied links, real processes and a request load.

pub mod bed;
pub mod front;
pub mod load;
pub mod process;

use std::future::Future;
use std::time::{Duration, Instant};

/// Time between looks at a condition.
const LOOK_PERIOD: Duration = Duration::from_millis(20);

/// Waits until a condition holds and returns the time it took; fails the test after the limit.
pub async fn eventually<F>(what: &str, limit: Duration, condition: F) -> Duration
where
    F: Fn() -> bool,
{
    eventually_async(what, limit, || std::future::ready(condition())).await
}

/// Waits as [`eventually`] does, on a condition that needs calls.
pub async fn eventually_async<F, R>(what: &str, limit: Duration, mut condition: F) -> Duration
where
    F: FnMut() -> R,
    R: Future<Output = bool>,
{
    let begun = Instant::now();
    while !condition().await {
        assert!(begun.elapsed() < limit, "{what}: not within {limit:?}");
        tokio::time::sleep(LOOK_PERIOD).await;
    }
    begun.elapsed()
}
