//! Reasons for refused requests and closed connections, their counter and their log lines.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use axum::http::StatusCode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

/// Delay after which clients should repeat a refused request.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Why a request was refused or a connection was closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// A connection could not be accepted, as when descriptors run out.
    AcceptFailed,
    /// A connection without a whole request was closed to accept another.
    UnfinishedClosed,
    /// A connection between requests was closed to accept another.
    IdleClosed,
    /// A new connection was closed, since all others had whole requests in progress.
    ConnectionLimit,
    /// The head of a request was not complete in time.
    HeadTimeout,
    /// The head of a request was too large.
    HeadLimit,
    /// A connection was idle for too long.
    IdleTimeout,
    /// An answer was not read in time.
    AnswerTimeout,
    /// Too many requests were in progress.
    RequestLimit,
    /// A body was not complete in time.
    BodyTimeout,
    /// A body was too large.
    BodyLimit,
    /// The memory for requests was used up.
    MemoryLimit,
}

impl RefusalReason {
    /// All reasons, in the order of their definition.
    pub const ALL: [Self; 12] = [
        Self::AcceptFailed,
        Self::UnfinishedClosed,
        Self::IdleClosed,
        Self::ConnectionLimit,
        Self::HeadTimeout,
        Self::HeadLimit,
        Self::IdleTimeout,
        Self::AnswerTimeout,
        Self::RequestLimit,
        Self::BodyTimeout,
        Self::BodyLimit,
        Self::MemoryLimit,
    ];

    /// Returns the name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::AcceptFailed => "accept-failed",
            Self::UnfinishedClosed => "unfinished-closed",
            Self::IdleClosed => "idle-closed",
            Self::ConnectionLimit => "connection-limit",
            Self::HeadTimeout => "head-timeout",
            Self::HeadLimit => "head-limit",
            Self::IdleTimeout => "idle-timeout",
            Self::AnswerTimeout => "answer-timeout",
            Self::RequestLimit => "request-limit",
            Self::BodyTimeout => "body-timeout",
            Self::BodyLimit => "body-limit",
            Self::MemoryLimit => "memory-limit",
        }
    }

    /// Returns whether clients within the limits may meet it on any day, so that it is no sign of
    /// trouble.
    fn is_ordinary(self) -> bool {
        self == Self::IdleTimeout
    }
}

/// Refusal of a request that was not passed on, and so never runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestRefusal {
    /// Why the request is refused.
    pub reason: RefusalReason,
    /// Status of the answer.
    pub status: StatusCode,
    /// Text for the client.
    pub message: &'static str,
    /// Delay after which the client may repeat it; `None` if that would not help.
    pub retry: Option<Duration>,
}

impl From<RefusalReason> for RequestRefusal {
    fn from(reason: RefusalReason) -> Self {
        let (status, message) = match reason {
            RefusalReason::BodyTimeout => {
                (StatusCode::REQUEST_TIMEOUT, "the body came too slowly; send it within 10 s")
            }
            RefusalReason::BodyLimit => (StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"),
            RefusalReason::MemoryLimit => (
                StatusCode::SERVICE_UNAVAILABLE,
                "the process holds too many unanswered requests; this one has not run",
            ),
            _ => (
                StatusCode::SERVICE_UNAVAILABLE,
                "the process has too many clients; the request has not run",
            ),
        };
        let retry = (status == StatusCode::SERVICE_UNAVAILABLE).then_some(RETRY_DELAY);
        Self { reason, status, message, retry }
    }
}

/// Labels of the counter of refusals.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct RefusalLabels {
    /// Name of the listener.
    pub listener: &'static str,
    /// Name of the reason.
    pub reason: &'static str,
}

/// Counts the refusals of one listener.
#[derive(Debug)]
pub struct RefusalCounter {
    listener: &'static str,
    family: Family<RefusalLabels, Counter>,
    /// Number of refusals by reason since they were last logged.
    unlogged: [AtomicU64; RefusalReason::ALL.len()],
}

impl RefusalCounter {
    /// Creates a counter of a listener with a name.
    pub fn new(listener: &'static str, family: Family<RefusalLabels, Counter>) -> Self {
        Self { listener, family, unlogged: Default::default() }
    }

    /// Counts a refusal.
    pub fn count(&self, reason: RefusalReason) {
        self.family.get_or_create(&self.labels(reason)).inc();
        self.unlogged[reason as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of refusals for a reason.
    pub fn total(&self, reason: RefusalReason) -> u64 {
        self.family.get_or_create(&self.labels(reason)).get()
    }

    /// Logs the refusals since the last call, in one line for each reason.
    pub fn log(&self) {
        for reason in RefusalReason::ALL {
            let count = self.unlogged[reason as usize].swap(0, Ordering::Relaxed);
            if count > 0 && !reason.is_ordinary() {
                log::warn!(
                    listener = self.listener, reason = reason.name(), count = count;
                    "clients refused"
                );
            }
        }
    }

    fn labels(&self, reason: RefusalReason) -> RefusalLabels {
        RefusalLabels { listener: self.listener, reason: reason.name() }
    }
}
