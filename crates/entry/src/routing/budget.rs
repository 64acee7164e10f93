//! Retry budget of one service.
//!
//! Each request deposits a share of a token and each retry or hedge withdraws one. A failed request
//! deposits only half of the share: during an outage the tokens saved before it are spent as well,
//! and both together must stay below the share.

use std::sync::Mutex;

use crate::lock;

/// Maximum saved tokens, which bounds the burst of extra tries.
const MAX_TOKENS: f64 = 10.0;
/// Factor on the share that a failed request deposits.
const FAILED_DEPOSIT_FACTOR: f64 = 0.5;

/// Token bucket that limits the retries and hedges of one service in this process.
#[derive(Debug)]
pub struct RetryBudget {
    tokens: Mutex<f64>,
}

impl RetryBudget {
    /// Creates a budget with the maximum of saved tokens.
    pub fn new() -> Self {
        Self { tokens: Mutex::new(MAX_TOKENS) }
    }

    /// Deposits for one finished request; `share` is the maximum ratio of extra tries to requests.
    /// `succeeded` is false if no response arrived or it has a server error status.
    pub fn deposit(&self, share: f64, succeeded: bool) {
        let deposit = if succeeded { share } else { share * FAILED_DEPOSIT_FACTOR };
        let mut tokens = lock(&self.tokens);
        *tokens = (*tokens + deposit).min(MAX_TOKENS);
    }

    /// Withdraws the token for one extra try. Returns false if no whole token is available or a
    /// share of 0 forbids extra tries.
    pub fn withdraw(&self, share: f64) -> bool {
        let mut tokens = lock(&self.tokens);
        if share <= 0.0 || *tokens < 1.0 {
            return false;
        }
        *tokens -= 1.0;
        true
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
