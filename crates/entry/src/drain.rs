//! Tracks requests and outcome records in progress, so that a shutdown can wait for them.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use tokio::sync::Notify;

/// Number of requests and outcome records in progress, and whether the process is leaving; clones
/// share both.
#[derive(Clone, Debug, Default)]
pub struct DrainTracker {
    state: Arc<DrainState>,
}

#[derive(Debug, Default)]
struct DrainState {
    count: AtomicUsize,
    leaving: AtomicBool,
    idle: Notify,
}

/// Guard of one request or outcome record in progress; each clone counts as another one.
#[derive(Debug)]
pub struct InFlightGuard(Arc<DrainState>);

impl DrainTracker {
    /// Counts a request or outcome record as in progress until the guard is dropped.
    pub fn track(&self) -> InFlightGuard {
        self.state.count.fetch_add(1, Ordering::AcqRel);
        InFlightGuard(self.state.clone())
    }

    /// Returns the number of requests and outcome records in progress.
    pub fn count(&self) -> usize {
        self.state.count.load(Ordering::Acquire)
    }

    /// Marks the process as leaving, which cannot be undone.
    pub fn set_leaving(&self) {
        self.state.leaving.store(true, Ordering::Release);
    }

    /// Returns whether a shutdown has started.
    pub fn is_leaving(&self) -> bool {
        self.state.leaving.load(Ordering::Acquire)
    }

    /// Waits until no request or record is in progress.
    pub async fn wait_idle(&self) {
        loop {
            let notified = self.state.idle.notified();
            tokio::pin!(notified);
            // Registers before the check, so that the last notification is not missed.
            notified.as_mut().enable();
            if self.count() == 0 {
                return;
            }
            notified.await;
        }
    }
}

impl Clone for InFlightGuard {
    fn clone(&self) -> Self {
        self.0.count.fetch_add(1, Ordering::AcqRel);
        Self(self.0.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if self.0.count.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.0.idle.notify_waiters();
        }
    }
}
