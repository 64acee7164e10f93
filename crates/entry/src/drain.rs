//! Counts work in progress, so that a shutdown can wait for it.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use tokio::sync::Notify;

/// Counts requests in progress and knows whether the process is leaving.
#[derive(Clone, Debug, Default)]
pub struct DrainGate {
    state: Arc<DrainState>,
}

#[derive(Debug, Default)]
struct DrainState {
    count: AtomicUsize,
    leaving: AtomicBool,
    idle: Notify,
}

/// Counts one piece of work while it exists.
#[derive(Debug)]
pub struct InFlightGuard(Arc<DrainState>);

impl DrainGate {
    /// Counts one more piece of work.
    pub fn enter(&self) -> InFlightGuard {
        self.state.count.fetch_add(1, Ordering::AcqRel);
        InFlightGuard(self.state.clone())
    }

    /// Returns the pieces of work in progress.
    pub fn count(&self) -> usize {
        self.state.count.load(Ordering::Acquire)
    }

    /// Marks the process as leaving.
    pub fn leave(&self) {
        self.state.leaving.store(true, Ordering::Release);
    }

    /// Returns whether the process is leaving.
    pub fn is_leaving(&self) -> bool {
        self.state.leaving.load(Ordering::Acquire)
    }

    /// Waits until no work is in progress.
    pub async fn wait_idle(&self) {
        loop {
            let notified = self.state.idle.notified();
            tokio::pin!(notified);
            // Registers before the check, so that the last piece of work is not missed.
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
