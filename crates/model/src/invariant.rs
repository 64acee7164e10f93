//! Invariant checks at run time.
//!
//! A violated invariant is logged and counted. If `LACEWINGRAIL_STRICT` is set, as in the randomised
//! runs, it also panics. In production the process continues, because stopping every instance at once
//! would cost more than the violation.

use std::collections::BTreeMap;
use std::sync::{Mutex, OnceLock, PoisonError};

/// Property that must always hold; the variant name is the label of the violation metric.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum InvariantName {
    /// A guaranteed shape can always be reclaimed from borrowers.
    GuaranteeReclaimable,
    /// No accelerator is held by two gang members at the same time.
    AcceleratorHeldOnce,
    /// No gang runs with only some of its members for longer than a task lease plus the tolerated
    /// clock drift and message delay.
    GangWhole,
    /// No task starts in a failure domain that is out of service.
    DomainOutNoStart,
    /// A caller gets the complete answer to its own request.
    AnswerWhole,
    /// A request answered with "not run" has not run on any backend server.
    NotRunTrue,
    /// A non-repeatable request runs at most once.
    AtMostOnce,
    /// A backend server that is leaving gets no new requests.
    LeavingNoWork,
    /// A process that shuts down gracefully completes all requests in flight.
    DrainCutsNone,
    /// A process never returns to an older settings tree, and no two trees share a version.
    ConfigMonotonic,
}

/// Logs and counts a violation unless `holds`; `details` is called only for a violation.
///
/// # Panics
/// Panics on a violation if `LACEWINGRAIL_STRICT` is set.
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

/// Returns the number of violations of each invariant since the process started.
pub fn violations() -> BTreeMap<InvariantName, u64> {
    counts().lock().unwrap_or_else(PoisonError::into_inner).clone()
}

fn counts() -> &'static Mutex<BTreeMap<InvariantName, u64>> {
    static COUNTS: OnceLock<Mutex<BTreeMap<InvariantName, u64>>> = OnceLock::new();
    COUNTS.get_or_init(Mutex::default)
}
