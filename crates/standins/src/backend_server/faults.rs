//! Faults that a backend server injects.

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

/// Faults of a backend server; the default is none.
///
/// Each share is the probability from 0 to 1 that a request is subject to the fault; at most one
/// fault applies to a request. All but `refused` apply after the request ran.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendFaults {
    /// Share refused with 503 before it runs.
    pub refused: f64,
    /// Share answered with 500.
    pub error: f64,
    /// Share whose answer breaks off after half of its declared length.
    pub truncated: f64,
    /// Share whose answer carries the id and body of another request.
    pub crossed: f64,
    /// Share whose connection or stream breaks before the answer begins.
    pub dropped: f64,
    /// Share held without an answer until the caller gives up.
    pub hang: f64,
    /// Share whose answer is late by `late_ms`.
    pub late: f64,
    /// Time added to a late answer in milliseconds.
    pub late_ms: u64,
    /// Factor applied to the configured speed of the server; 1 for no change.
    pub speed: f64,
    /// Whether new connections are refused.
    pub refuse_connections: bool,
}

impl Default for BackendFaults {
    fn default() -> Self {
        Self {
            refused: 0.0,
            error: 0.0,
            truncated: 0.0,
            crossed: 0.0,
            dropped: 0.0,
            hang: 0.0,
            late: 0.0,
            late_ms: 1_000,
            speed: 1.0,
            refuse_connections: false,
        }
    }
}

/// Fault that applies to a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AnswerFault {
    /// Refused with status 503 before it ran.
    Refused,
    /// Answered with status 500 after it ran.
    Error,
    /// Answer broken off after half of its declared length.
    Truncated,
    /// Answered with another request's id and body.
    Crossed,
    /// Connection or stream broken before the answer began.
    Dropped,
    /// Held without an answer until the caller gives up.
    Hang,
    /// Answered after an additional delay.
    Late,
}

impl BackendFaults {
    /// Draws the fault of one request, or nothing.
    pub(super) fn draw<R>(&self, random: &mut R) -> Option<AnswerFault>
    where
        R: Rng,
    {
        let shares = [
            (AnswerFault::Refused, self.refused),
            (AnswerFault::Error, self.error),
            (AnswerFault::Truncated, self.truncated),
            (AnswerFault::Crossed, self.crossed),
            (AnswerFault::Dropped, self.dropped),
            (AnswerFault::Hang, self.hang),
            (AnswerFault::Late, self.late),
        ];
        let mut remaining = random.random::<f64>();
        shares.into_iter().find_map(|(fault, share)| {
            remaining -= share;
            (remaining < 0.0).then_some(fault)
        })
    }
}
