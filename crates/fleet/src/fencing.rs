//! Fencing tokens: which of this scheduler's calls a worker still carries out.
//!
//! A call without an answer may be carried out seconds later, after newer ones, and even by the next
//! incarnation of its worker, which remembers nothing of the former one. A worker refuses a call
//! whose token is lower than the highest that it has seen. The tokens of each scheduler are higher
//! than those of all earlier ones. Within an epoch each worker has tokens of its own, which rise
//!
//! - when a call to the worker stays unanswered, and when its incarnation changes: whatever was sent
//!   before is refused from the next call on that the worker receives;
//! - when a start follows a renewal that may still take effect. A renewal holds for one incarnation:
//!   it names ends by their numbers there, and the end of the lease by the clock there. A later
//!   incarnation that has carried out the start refuses it, so the renewal neither takes the end of
//!   that run for an earlier one nor keeps the run alive for longer than the scheduler counts.

use lacewingrail_model::Epoch;

/// Number that a worker's calls carry; the worker refuses those that are lower than it has seen.
pub type FencingToken = u64;

/// Number of tokens that each worker has within an epoch. With 2^21 epochs, which is one a minute
/// for four years, tokens stay exact in JSON readers that use floating-point numbers.
const TOKENS_PER_EPOCH: FencingToken = 1 << 32;

/// Fencing token of one worker within an epoch.
#[derive(Clone, Debug)]
pub struct FencingState {
    /// How often the token was raised under this scheduler.
    raises: u64,
    /// Value of `raises` when the newest renewal with a lease or an acknowledgement was sent, unless
    /// it was answered.
    unanswered_renewal: Option<u64>,
}

impl FencingState {
    /// Creates the state of a worker that is listed anew, whose token was raised at most a number of
    /// times when it was listed before.
    pub fn new(raises: u64) -> Self {
        Self { raises, unanswered_renewal: None }
    }

    /// Returns how often the token was raised under this scheduler.
    pub fn raises(&self) -> u64 {
        self.raises
    }

    /// Returns the token of the next call to the worker.
    pub fn token(&self, epoch: Epoch) -> FencingToken {
        epoch * TOKENS_PER_EPOCH + self.raises
    }

    /// Raises the token, so that calls sent before can be refused.
    pub fn raise(&mut self) {
        self.raises += 1;
    }

    /// Raises the token for a start if a renewal with the present one may still take effect.
    pub fn raise_for_start(&mut self) {
        if self.unanswered_renewal == Some(self.raises) {
            self.raise();
        }
    }

    /// Records that a renewal with a lease or an acknowledgement is sent with the present token.
    pub fn record_renewal_sent(&mut self) {
        self.unanswered_renewal = Some(self.raises);
    }

    /// Records that the newest renewal was answered by the incarnation that it was sent to.
    pub fn record_renewal_answered(&mut self) {
        self.unanswered_renewal = None;
    }
}
