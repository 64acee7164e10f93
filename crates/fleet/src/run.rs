//! The state of one run, as known to the scheduler.

use std::time::Duration;

use crate::amount::ResourceAmount;
use crate::cpu_limit::FULL_CPU_LIMIT_PERCENT;
use crate::fencing::FencingToken;
use crate::spec::CheckpointName;
use crate::speed::ProgressSample;

/// Stage of a run between its start order and its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunPhase {
    /// The start was ordered but not yet answered.
    Starting,
    /// The worker has confirmed the start.
    Running,
    /// A stop was ordered.
    Stopping {
        /// When the stop order was last sent.
        ordered: Duration,
        /// When the worker confirmed the stop.
        confirmed: Option<Duration>,
    },
}

/// State of one run that is, or may be, on a worker.
#[derive(Clone, Debug)]
pub struct RunEntry {
    /// Whether the run is starting, running or being stopped.
    pub phase: RunPhase,
    /// When the start was ordered, or when the run of an earlier scheduler was found.
    pub since: Duration,
    /// When the worker confirmed the start, or `None` before.
    pub confirmed: Option<Duration>,
    /// When the start was answered, or its answer no longer awaited; `None` before.
    pub start_settled: Option<Duration>,
    /// Whether a report of the present incarnation has named the run.
    pub reported: bool,
    /// Fencing token of the start order; 0 if an earlier scheduler sent it.
    pub token: FencingToken,
    /// Resources that the run takes on the worker.
    pub demand: ResourceAmount,
    /// Newest checkpoint, if the worker has reported any.
    pub checkpoint: Option<CheckpointName>,
    /// Share of the work that is done, 0 to 100.
    pub percent: u32,
    /// When `percent` last rose.
    pub progressed_at: Duration,
    /// Sample from which the rate of progress is measured, or `None` before the first report.
    pub measured_from: Option<ProgressSample>,
    /// CPU limit of a best-effort task, in percent of its processor time, or `None` if not known.
    pub cpu_limit: Option<u32>,
    /// Newest [`ActiveRun::usage`](crate::event::ActiveRun::usage) that was reported.
    pub usage: f64,
}

impl RunEntry {
    /// Returns to the state of a start that had no answer, after its worker has lost the run.
    pub fn restart(&mut self, checkpoint: Option<CheckpointName>, now: Duration) {
        self.checkpoint = checkpoint;
        self.phase = RunPhase::Starting;
        self.confirmed = None;
        self.start_settled = Some(now);
        self.reported = false;
        self.percent = 0;
        self.progressed_at = now;
        self.measured_from = None;
        self.cpu_limit = Some(FULL_CPU_LIMIT_PERCENT);
        self.usage = 0.0;
    }

    /// Returns when the worker answered the newest order for the run; `None` before.
    pub fn answered_at(&self) -> Option<Duration> {
        match self.phase {
            RunPhase::Starting => None,
            RunPhase::Running => self.confirmed,
            RunPhase::Stopping { confirmed, .. } => confirmed,
        }
    }

    /// Returns when the newest order for the run was answered, or its answer no longer awaited.
    pub fn settled_at(&self) -> Option<Duration> {
        self.start_settled.max(self.answered_at())
    }

    /// Returns whether the worker had answered the newest order for the run before a time.
    pub fn was_answered_before(&self, time: Duration) -> bool {
        self.answered_at().is_some_and(|at| at < time)
    }
}
