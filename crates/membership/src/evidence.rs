//! Contact with the key-value service, one's own and that of peers.
//!
//! A scheduler without the store must tell an outage of the store from a cut of its own failure
//! domain. It counts as an outage only while schedulers of every other domain in service say that
//! they do not reach the store either.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use lacewingrail_model::DomainName;
use lacewingrail_model::message::Heartbeat;

/// Age at which evidence of peers no longer counts.
pub const EVIDENCE_TTL: Duration = Duration::from_secs(2);
/// Age at which an own failed call no longer says anything about the store.
///
/// With the time of the evidence it adds up to less than the 3 s after which no task may start in a
/// failure domain that was taken out.
pub const FAILURE_TTL: Duration = Duration::from_millis(800);

/// Records the outcome of the own calls to the key-value service.
#[derive(Debug, Default)]
pub struct StoreContact {
    state: Mutex<ContactState>,
}

#[derive(Debug, Default)]
struct ContactState {
    success: Option<Instant>,
    failure: Option<Instant>,
}

impl StoreContact {
    /// Records a call by the time at which it was sent.
    pub fn note(&self, sent: Instant, reached: bool) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let slot = if reached { &mut state.success } else { &mut state.failure };
        *slot = (*slot).max(Some(sent));
    }

    /// Returns when the newest successful call was sent.
    pub fn last_success(&self) -> Option<Instant> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).success
    }

    /// Returns whether the newest call succeeded; nothing when that is too long ago to tell.
    pub fn reached(&self, now: Instant) -> Option<bool> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let newest = state.success.max(state.failure)?;
        if state.success == Some(newest) {
            return Some(true);
        }
        (now.saturating_duration_since(newest) < FAILURE_TTL).then_some(false)
    }
}

/// Holds the newest word of each failure domain's schedulers on the store.
#[derive(Debug, Default)]
pub struct OutageEvidence {
    domains: BTreeMap<DomainName, DomainEvidence>,
}

#[derive(Debug, Default)]
struct DomainEvidence {
    without: Option<Instant>,
    with: Option<Instant>,
}

impl OutageEvidence {
    /// Records a scheduler's heartbeat by the time at which it was asked for.
    pub fn note(&mut self, heartbeat: &Heartbeat, sent: Instant) {
        let Some(reached) = heartbeat.store_reached else {
            return;
        };
        let evidence = self.domains.entry(heartbeat.domain.clone()).or_default();
        let slot = if reached { &mut evidence.with } else { &mut evidence.without };
        *slot = (*slot).max(Some(sent));
    }

    /// Returns the age-limiting time of the evidence that the store is out for everyone.
    ///
    /// Nothing is returned when any scheduler reaches the store, when a required domain was not
    /// heard within the evidence's time, or when there is no other domain to ask.
    pub fn common<'a, I>(&self, others: I, now: Instant) -> Option<Instant>
    where
        I: IntoIterator<Item = &'a DomainName>,
    {
        let fresh = |time: Option<Instant>| {
            time.filter(|time| now.saturating_duration_since(*time) < EVIDENCE_TTL)
        };
        if self.domains.values().any(|evidence| fresh(evidence.with).is_some()) {
            return None;
        }
        let mut oldest = None;
        for domain in others {
            let without = fresh(self.domains.get(domain).and_then(|evidence| evidence.without))?;
            oldest = Some(oldest.map_or(without, |oldest: Instant| oldest.min(without)));
        }
        oldest
    }
}
