//! Reachability of the key-value service, as seen by this process and by its peers.
//!
//! A scheduler that cannot reach the store must distinguish an outage of the store from a network
//! partition of its own failure domain. It assumes an outage only while schedulers of every other
//! domain in service report that they cannot reach the store either.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use lacewingrail_model::DomainName;
use lacewingrail_model::message::Heartbeat;

/// Age at which a peer's report that it does or does not reach the store is no longer used.
pub const REPORT_TTL: Duration = Duration::from_secs(2);
/// Age at which a failed call of this process no longer shows that the store is unreachable.
///
/// Together with [`REPORT_TTL`] it stays below 3 s, the time after which no task may start in a
/// failure domain that was taken out of service.
pub const CALL_FAILURE_TTL: Duration = Duration::from_millis(800);

/// Send times of the newest successful and failed calls of this process to the key-value service.
#[derive(Debug, Default)]
pub struct StoreReachability {
    state: Mutex<CallTimes>,
}

#[derive(Debug, Default)]
struct CallTimes {
    success: Option<Instant>,
    failure: Option<Instant>,
}

impl StoreReachability {
    /// Records the outcome of a call that was sent at `sent`; calls may be recorded out of order.
    pub fn record(&self, sent: Instant, reached: bool) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let slot = if reached { &mut state.success } else { &mut state.failure };
        *slot = (*slot).max(Some(sent));
    }

    /// Returns the send time of the newest successful call, or `None` before the first.
    pub fn last_success(&self) -> Option<Instant> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).success
    }

    /// Returns whether the newest call succeeded.
    ///
    /// Returns `None` before the first call, and when the newest call failed over
    /// [`CALL_FAILURE_TTL`] ago.
    pub fn reached(&self, now: Instant) -> Option<bool> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let newest = state.success.max(state.failure)?;
        if state.success == Some(newest) {
            return Some(true);
        }
        (now.saturating_duration_since(newest) < CALL_FAILURE_TTL).then_some(false)
    }
}

/// Detects outages of the store from the newest reports of each failure domain's schedulers.
#[derive(Debug, Default)]
pub struct OutageDetector {
    domains: BTreeMap<DomainName, DomainReports>,
}

#[derive(Debug, Default)]
struct DomainReports {
    /// Request time of the newest report that the store is unreachable.
    last_unreached: Option<Instant>,
    /// Request time of the newest report that the store is reachable.
    last_reached: Option<Instant>,
}

impl OutageDetector {
    /// Records the report in a scheduler's heartbeat that was requested at `sent`.
    pub fn record(&mut self, heartbeat: &Heartbeat, sent: Instant) {
        let Some(reached) = heartbeat.store_reached else {
            return;
        };
        let reports = self.domains.entry(heartbeat.domain.clone()).or_default();
        let slot = if reached { &mut reports.last_reached } else { &mut reports.last_unreached };
        *slot = (*slot).max(Some(sent));
    }

    /// Returns the time of the oldest report needed to conclude that the store is down.
    ///
    /// Returns `None` when any scheduler reported within [`REPORT_TTL`] that it reaches the store,
    /// when a domain of `others` sent no report within that time, or when `others` is empty.
    pub fn oldest_outage_report<'a, I>(&self, others: I, now: Instant) -> Option<Instant>
    where
        I: IntoIterator<Item = &'a DomainName>,
    {
        let fresh = |time: Option<Instant>| {
            time.filter(|time| now.saturating_duration_since(*time) < REPORT_TTL)
        };
        if self.domains.values().any(|reports| fresh(reports.last_reached).is_some()) {
            return None;
        }
        let mut oldest = None;
        for domain in others {
            let unreached =
                fresh(self.domains.get(domain).and_then(|reports| reports.last_unreached))?;
            oldest = Some(oldest.map_or(unreached, |oldest: Instant| oldest.min(unreached)));
        }
        oldest
    }
}
