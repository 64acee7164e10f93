//! Rate limits per access token.
//!
//! Most calls read the key-value service, which serves about 2,000 reads per second in total.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Sustained rate of calls per second that one process accepts from one token.
pub const CALLS_PER_SECOND: f64 = 20.0;
/// Number of calls that one process accepts from one token in a burst.
pub const CALL_BURST: f64 = 60.0;
/// Number of buckets from which on full ones, which belong to idle tokens, are removed.
const BUCKET_PURGE_THRESHOLD: usize = 1_024;

/// Token buckets by digest of the access token; calls without a known token share one bucket.
#[derive(Debug, Default)]
pub(crate) struct RateLimiter {
    buckets: Mutex<HashMap<String, TokenBucket>>,
}

#[derive(Debug)]
struct TokenBucket {
    /// Calls that were available at `refilled_at`.
    available_calls: f64,
    refilled_at: Instant,
}

impl RateLimiter {
    /// Consumes one call from the bucket of a token.
    ///
    /// If the bucket is empty, the error is the time until the next call is accepted.
    pub(crate) fn acquire(&self, digest: &str) -> Result<(), Duration> {
        let now = Instant::now();
        let mut buckets = self.buckets.lock().unwrap_or_else(PoisonError::into_inner);
        if buckets.len() >= BUCKET_PURGE_THRESHOLD {
            buckets.retain(|_, bucket| bucket.available_calls_at(now) < CALL_BURST);
        }
        let bucket = buckets
            .entry(digest.to_owned())
            .or_insert_with(|| TokenBucket { available_calls: CALL_BURST, refilled_at: now });
        bucket.available_calls = bucket.available_calls_at(now);
        bucket.refilled_at = now;
        if bucket.available_calls < 1.0 {
            return Err(Duration::from_secs_f64((1.0 - bucket.available_calls) / CALLS_PER_SECOND));
        }
        bucket.available_calls -= 1.0;
        Ok(())
    }
}

impl TokenBucket {
    fn available_calls_at(&self, now: Instant) -> f64 {
        let refill = now.duration_since(self.refilled_at).as_secs_f64() * CALLS_PER_SECOND;
        (self.available_calls + refill).min(CALL_BURST)
    }
}
