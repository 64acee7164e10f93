//! The budget of extra tries of one service.
//!
//! Each request adds a share of a token and each extra try takes one. A request that failed adds
//! half of the share only: tokens saved before an outage and those added in it then stay below the
//! share together.

use std::sync::Mutex;

use crate::lock;

/// Most tokens that can be saved.
const MAX_TOKENS: f64 = 10.0;
/// Part of the share that a failed request adds.
const FAILED_PART: f64 = 0.5;

/// Counts the tokens for extra tries.
#[derive(Debug)]
pub struct RetryBudget {
    tokens: Mutex<f64>,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new() -> Self {
        Self { tokens: Mutex::new(MAX_TOKENS) }
    }

    /// Adds the share of one finished request.
    pub fn deposit(&self, share: f64, answered: bool) {
        let part = if answered { share } else { share * FAILED_PART };
        let mut tokens = lock(&self.tokens);
        *tokens = (*tokens + part).min(MAX_TOKENS);
    }

    /// Takes the token for one extra try, if there is one and extra tries are allowed at all.
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
