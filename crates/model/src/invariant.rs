//! Counted invariant checks.
//!
//! A violated invariant is logged and counted, and ends the process where `LACEWINGRAIL_STRICT` is
//! set, as the randomised runs do. In production the process goes on, because stopping every
//! instance at once would cost more than the one violation.

use std::collections::BTreeMap;
use std::sync::{Mutex, OnceLock, PoisonError};

/// Names the invariants of the design page.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum InvariantName {
    /// A guaranteed shape can always be reclaimed.
    GuaranteeReclaimable,
    /// No accelerator is held twice.
    AcceleratorHeldOnce,
    /// No gang runs partially beyond the bound.
    GangWhole,
    /// No task starts in a domain that is out.
    DomainOutNoStart,
    /// A caller gets the whole answer to its own request.
    AnswerWhole,
    /// An answer "not run" is true.
    NotRunTrue,
    /// A non-repeatable request runs at most once.
    AtMostOnce,
    /// A leaving backend server gets no new work.
    LeavingNoWork,
    /// Graceful shutdown cuts no request.
    DrainCutsNone,
    /// Accepted configuration never reverts.
    ConfigMonotonic,
}

/// Checks an invariant; counts and logs a violation with its details.
pub fn check<F>(name: InvariantName, holds: bool, details: F)
where
    F: FnOnce() -> String,
{
    if holds {
        return;
    }
    let text = details();
    log::error!("invariant {name:?} is violated: {text}");
    *counts().lock().unwrap_or_else(PoisonError::into_inner).entry(name).or_insert(0) += 1;
    assert!(
        std::env::var_os("LACEWINGRAIL_STRICT").is_none(),
        "invariant {name:?} is violated: {text}"
    );
}

/// Returns the violations counted so far.
pub fn violations() -> BTreeMap<InvariantName, u64> {
    counts().lock().unwrap_or_else(PoisonError::into_inner).clone()
}

fn counts() -> &'static Mutex<BTreeMap<InvariantName, u64>> {
    static COUNTS: OnceLock<Mutex<BTreeMap<InvariantName, u64>>> = OnceLock::new();
    COUNTS.get_or_init(Mutex::default)
}
