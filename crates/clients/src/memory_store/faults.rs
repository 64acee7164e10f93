//! Faults that the in-memory store injects.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// Faults that a store injects; the default is none.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Whether every call is refused.
    pub unavailable: bool,
    /// Time added to every call in milliseconds, half of it before and half after it takes effect.
    pub delay_ms: u64,
    /// Number of coming writes that take effect and whose answers are lost.
    pub lost_answers: u32,
    /// Share of writes from 0 to 1 that take effect and whose answers are lost.
    pub lost_answer_share: f64,
    /// Number of coming writes that are lost before they take effect, with an unclear outcome.
    pub lost_requests: u32,
    /// Number of coming writes whose answers are lost and that take effect late.
    pub late_writes: u32,
    /// Share of writes from 0 to 1 whose answers are lost and that take effect late.
    pub late_write_share: f64,
    /// Time after which a late write takes effect, in milliseconds.
    pub late_ms: u64,
    /// Writes accepted each second; further ones are refused. 0 for no limit.
    pub writes_per_second: u64,
    /// Reads and waiting watches accepted each second; further ones are refused. 0 for no limit.
    pub reads_per_second: u64,
}

impl StoreFaults {
    /// Returns faults that refuse every call.
    pub fn outage() -> Self {
        Self { unavailable: true, ..Self::default() }
    }

    /// Returns faults that add `delay` to every call.
    pub fn slow(delay: Duration) -> Self {
        let delay_ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        Self { delay_ms, ..Self::default() }
    }

    /// Returns faults that lose the answers of the next `writes` writes after they took effect.
    pub fn lost_answers(writes: u32) -> Self {
        Self { lost_answers: writes, ..Self::default() }
    }

    /// Returns faults that lose the answers of the next `writes` writes and delay their effect by
    /// `after`.
    pub fn late_writes(writes: u32, after: Duration) -> Self {
        let late_ms = u64::try_from(after.as_millis()).unwrap_or(u64::MAX);
        Self { late_writes: writes, late_ms, ..Self::default() }
    }
}

/// Fault that applies to a write, or none.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum InjectedOutcome {
    /// No fault: the write is performed and the caller receives its result.
    Answered,
    /// The write takes effect and its answer is lost.
    AnswerLost,
    /// The write has no effect; its outcome is unclear to the caller.
    RequestLost,
    /// The write takes effect after this delay; its outcome is unclear to the caller.
    Late(Duration),
}

/// Decides from the faults and a seeded random generator which fault applies to each write.
#[derive(Debug)]
pub(super) struct FaultInjector {
    pub faults: StoreFaults,
    random: ChaCha8Rng,
}

impl FaultInjector {
    pub fn new(seed: u64) -> Self {
        Self { faults: StoreFaults::default(), random: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Draws the outcome of the next write and decrements the number of writes left for its fault.
    pub fn next_outcome(&mut self) -> InjectedOutcome {
        if self.faults.lost_requests > 0 {
            self.faults.lost_requests -= 1;
            return InjectedOutcome::RequestLost;
        }
        if self.faults.lost_answers > 0 {
            self.faults.lost_answers -= 1;
            return InjectedOutcome::AnswerLost;
        }
        let late = Duration::from_millis(self.faults.late_ms);
        if self.faults.late_writes > 0 {
            self.faults.late_writes -= 1;
            return InjectedOutcome::Late(late);
        }
        let share = self.faults.late_write_share;
        if share > 0.0 && self.random.random::<f64>() < share {
            return InjectedOutcome::Late(late);
        }
        let share = self.faults.lost_answer_share;
        if share > 0.0 && self.random.random::<f64>() < share {
            return InjectedOutcome::AnswerLost;
        }
        InjectedOutcome::Answered
    }

    /// Returns half of the injected delay.
    pub fn half_delay(&self) -> Duration {
        Duration::from_millis(self.faults.delay_ms) / 2
    }
}
