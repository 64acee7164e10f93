//! Limits on the rate of calls of each token.
//!
//! Most calls read the key-value service, which takes about 2,000 reads a second for everyone.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Calls a second that one token may make through one process in the long run.
pub const CALLS_PER_SECOND: f64 = 20.0;
/// Calls that one token may make at once.
pub const CALL_BURST: f64 = 60.0;
/// Number of tokens above which those that have been idle are forgotten.
const MAX_BUCKETS: usize = 1_024;

/// Counts calls by token digest; calls without a known token share one count.
#[derive(Debug, Default)]
pub(crate) struct RateLimiter {
    buckets: Mutex<HashMap<String, TokenBucket>>,
}

#[derive(Debug)]
struct TokenBucket {
    level: f64,
    refilled_at: Instant,
}

impl RateLimiter {
    /// Takes one call of a token, or returns the time to wait.
    pub(crate) fn acquire(&self, digest: &str) -> Result<(), Duration> {
        let now = Instant::now();
        let mut buckets = self.buckets.lock().unwrap_or_else(PoisonError::into_inner);
        if buckets.len() >= MAX_BUCKETS {
            buckets.retain(|_, bucket| bucket.level_at(now) < CALL_BURST);
        }
        let bucket = buckets
            .entry(digest.to_owned())
            .or_insert_with(|| TokenBucket { level: CALL_BURST, refilled_at: now });
        bucket.level = bucket.level_at(now);
        bucket.refilled_at = now;
        if bucket.level < 1.0 {
            return Err(Duration::from_secs_f64((1.0 - bucket.level) / CALLS_PER_SECOND));
        }
        bucket.level -= 1.0;
        Ok(())
    }
}

impl TokenBucket {
    fn level_at(&self, now: Instant) -> f64 {
        let refill = now.duration_since(self.refilled_at).as_secs_f64() * CALLS_PER_SECOND;
        (self.level + refill).min(CALL_BURST)
    }
}
