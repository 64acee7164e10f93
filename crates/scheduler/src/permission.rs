//! Permission to start tasks in a failure domain.
//!
//! A start requires evidence, at most 2 s old, that operators have not taken the domain out. The
//! evidence is a read of the store, or, during a store outage, the reports of all other domains
//! that they cannot reach the store either. Its age is measured from the time at which the read was
//! sent, because the answer may have been delayed in a queue.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use lacewingrail_membership::Membership;
use lacewingrail_model::DomainName;
use lacewingrail_model::invariant::{InvariantName, check};
use tokio::sync::Notify;

use crate::start_limiter::StartLimiter;

/// Age at which evidence no longer permits a start.
///
/// Together with the delay of one message it stays below the 3 s after which no task may start in a
/// failure domain that was taken out.
pub const PERMISSION_TTL: Duration = Duration::from_secs(2);

/// Decides whether tasks may start in one failure domain.
pub struct StartPermission {
    domain: DomainName,
    membership: Membership,
    state: Mutex<PermissionState>,
    revoked: AtomicBool,
    calls: Mutex<StartCalls>,
    call_completed: Notify,
}

/// Start calls whose outcome is not known yet, with the time at which the permission of each
/// expires.
#[derive(Debug, Default)]
struct StartCalls {
    next_id: u64,
    in_flight: BTreeMap<u64, Instant>,
}

#[derive(Debug, Default)]
struct PermissionState {
    /// Send time of the newest successful read of the domain's state.
    last_read: Option<Instant>,
    /// Send time of the newest failed read.
    last_failed_read: Option<Instant>,
    /// Time at which the domain was last observed to be out.
    out_seen_at: Option<Instant>,
    start_limiter: Option<StartLimiter>,
}

/// Reason why no task may start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PermissionDenial {
    /// Operators have taken the domain out.
    DomainOut,
    /// The domain was returned to service, and the store has not confirmed it yet.
    ReturnUnconfirmed,
    /// The newest evidence is too old.
    EvidenceExpired,
    /// The rate limit on starts after the domain returns to service is exhausted.
    RateLimited,
    /// This process is not the active scheduler.
    Revoked,
}

impl fmt::Display for PermissionDenial {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::DomainOut => "operators have taken the failure domain out; take it in again",
            Self::ReturnUnconfirmed => {
                "the failure domain returns; its state is being read from the store"
            }
            Self::EvidenceExpired => {
                "the state of the failure domain cannot be read and this is not known to be an \
                 outage of the store; check the network of the domain"
            }
            Self::Revoked => "this process is not the active scheduler; ask the one that is",
            Self::RateLimited => "the failure domain returns; starts are admitted at a rising rate",
        })
    }
}

impl std::error::Error for PermissionDenial {}

impl StartPermission {
    /// Creates a permission without evidence, which denies starts until there is some.
    pub fn new(domain: DomainName, membership: Membership) -> Self {
        Self {
            domain,
            membership,
            state: Mutex::default(),
            revoked: AtomicBool::new(false),
            calls: Mutex::default(),
            call_completed: Notify::new(),
        }
    }

    /// Denies all further starts because this process is no longer the active scheduler.
    pub fn revoke(&self) {
        self.revoked.store(true, Ordering::Release);
    }

    /// Records the outcome of a read of the domain's state that was sent at `sent`.
    pub fn record_read(&self, sent: Instant, succeeded: bool) {
        let mut state = self.lock();
        let newest = if succeeded { &mut state.last_read } else { &mut state.last_failed_read };
        *newest = (*newest).max(Some(sent));
    }

    /// Returns the time for which starts are still permitted.
    ///
    /// # Errors
    /// Returns the reason why no task may start.
    pub fn remaining(&self) -> Result<Duration, PermissionDenial> {
        if self.revoked.load(Ordering::Acquire) {
            return Err(PermissionDenial::Revoked);
        }
        let now = Instant::now();
        let evidence = {
            let mut state = self.lock();
            self.update_domain_state(&mut state, now)?;
            self.evidence(&state, now)?
        };
        let age = now.saturating_duration_since(evidence);
        let remaining = PERMISSION_TTL
            .checked_sub(age)
            .filter(|left| !left.is_zero())
            .ok_or(PermissionDenial::EvidenceExpired)?;
        check(InvariantName::DomainOutNoStart, age < PERMISSION_TTL, || {
            format!("a start in {} relies on evidence that is {age:?} old", self.domain)
        });
        Ok(remaining)
    }

    /// Registers a start call; returns its id and the time for which it is permitted.
    ///
    /// # Errors
    /// Returns the reason why no task may start.
    pub fn register_call(&self) -> Result<(u64, Duration), PermissionDenial> {
        // Take the lock first. Otherwise a call that was permitted before a veto could be
        // registered after `drain_calls` has found no calls.
        let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        let remaining = self.remaining()?;
        calls.next_id += 1;
        let call_id = calls.next_id;
        calls.in_flight.insert(call_id, Instant::now() + remaining);
        Ok((call_id, remaining))
    }

    /// Records that the outcome of a start call is known.
    pub fn complete_call(&self, call_id: u64) {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner).in_flight.remove(&call_id);
        self.call_completed.notify_waiters();
    }

    /// Waits until no registered start call can take effect any longer.
    pub async fn drain_calls(&self) {
        loop {
            let notified = self.call_completed.notified();
            tokio::pin!(notified);
            notified.as_mut().enable();
            let now = Instant::now();
            let last = {
                let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
                calls.in_flight.retain(|_, until| *until > now);
                calls.in_flight.values().max().copied()
            };
            let Some(last) = last else {
                return;
            };
            let _ = tokio::time::timeout(last - now, notified).await;
        }
    }

    /// Returns whether starts are permitted only because of a store outage that affects every
    /// domain.
    pub fn is_store_outage(&self) -> bool {
        let now = Instant::now();
        let read = self.lock().last_read;
        let reached = read.is_some_and(|read| now.saturating_duration_since(read) < PERMISSION_TTL);
        !reached && self.remaining().is_ok()
    }

    /// Admits one start under the rate limit that applies after a return of the domain.
    ///
    /// # Errors
    /// Returns the reason why no task may start.
    pub fn admit_start(&self) -> Result<Duration, PermissionDenial> {
        let remaining = self.remaining()?;
        let mut state = self.lock();
        if let Some(start_limiter) = &mut state.start_limiter
            && !start_limiter.try_admit(Instant::now())
        {
            return Err(PermissionDenial::RateLimited);
        }
        Ok(remaining)
    }

    /// Updates the state with the domain's settings. A return takes effect only once the store has
    /// confirmed it.
    fn update_domain_state(
        &self,
        state: &mut PermissionState,
        now: Instant,
    ) -> Result<(), PermissionDenial> {
        if self.membership.is_out(&self.domain) {
            state.out_seen_at = Some(now);
            state.start_limiter = None;
            return Err(PermissionDenial::DomainOut);
        }
        let Some(out_seen_at) = state.out_seen_at else {
            return Ok(());
        };
        if state.last_read.is_none_or(|read| read <= out_seen_at) {
            return Err(PermissionDenial::ReturnUnconfirmed);
        }
        state.out_seen_at = None;
        state.start_limiter = Some(StartLimiter::new(now));
        Ok(())
    }

    fn evidence(&self, state: &PermissionState, now: Instant) -> Result<Instant, PermissionDenial> {
        let fresh = |time: &Instant| now.saturating_duration_since(*time) < PERMISSION_TTL;
        if let Some(read) = state.last_read.filter(fresh) {
            return Ok(read);
        }
        // Only a failed read after the last successful one shows that this process cannot reach the
        // store. An old read alone may result from a pause of the process.
        let failed = state
            .last_failed_read
            .filter(fresh)
            .is_some_and(|failed| Some(failed) > state.last_read);
        let policy = self.membership.current().policy(&self.domain, None, None);
        if !failed || !policy.starts_during_store_outage {
            return Err(PermissionDenial::EvidenceExpired);
        }
        self.membership
            .oldest_outage_report()
            .filter(fresh)
            .ok_or(PermissionDenial::EvidenceExpired)
    }

    fn lock(&self) -> MutexGuard<'_, PermissionState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
