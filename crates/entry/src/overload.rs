//! Adaptive concurrency of each service with a queue by class.
//!
//! A request that finds a free place goes on at once. Others wait: urgent before normal before slow,
//! in order of arrival within a class. A request is refused early when its expected wait passes its
//! deadline, because work that ends too late costs capacity and helps nobody.

pub mod gradient;
pub mod queue;

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::StatusCode;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::exchange::{Refusal, RequestClass};
use crate::lock;
use crate::overload::queue::{Admission, AdmitError, LimiterState, QueueTicket};

/// Keeps one limiter for each service.
#[derive(Clone, Debug, Default)]
pub struct OverloadLimits {
    services: Arc<Mutex<HashMap<Arc<str>, Arc<ServiceLimiter>>>>,
}

/// Limits the requests of one service in flight in this process.
#[derive(Debug)]
pub struct ServiceLimiter {
    state: Mutex<LimiterState<oneshot::Sender<OverloadPermit>>>,
}

/// Describes a limiter for metrics and the status page.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimiterStatus {
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests that may be in flight.
    pub limit: u32,
    /// Requests that wait.
    pub waiting: usize,
}

/// Holds one place of a service; dropping it frees the place.
#[derive(Debug)]
pub struct OverloadPermit {
    limiter: Arc<ServiceLimiter>,
    routed: Option<Instant>,
    sample: Option<Duration>,
    armed: bool,
}

impl OverloadLimits {
    /// Returns the limiter of a service; callers ask only for known services.
    pub fn limiter(&self, service: &Arc<str>) -> Arc<ServiceLimiter> {
        let mut services = lock(&self.services);
        services.entry(service.clone()).or_default().clone()
    }

    /// Returns the state of each limiter.
    pub fn status(&self) -> Vec<(Arc<str>, LimiterStatus)> {
        let services = lock(&self.services);
        services.iter().map(|(name, limiter)| (name.clone(), limiter.status())).collect()
    }
}

impl Default for ServiceLimiter {
    fn default() -> Self {
        Self { state: Mutex::new(LimiterState::new(Instant::now())) }
    }
}

impl ServiceLimiter {
    /// Sets the slots of the usable backend servers, the upper bound of the limit.
    pub fn set_capacity(self: &Arc<Self>, slots: u32) {
        let granted = {
            let mut state = lock(&self.state);
            state.set_capacity(slots);
            state.grant(Instant::now())
        };
        self.send(granted);
    }

    /// Waits for a place until the deadline.
    pub async fn acquire(
        self: &Arc<Self>,
        class: RequestClass,
        deadline: Instant,
    ) -> Result<OverloadPermit, Refusal> {
        let (sender, receiver) = oneshot::channel();
        let admission = {
            let mut state = lock(&self.state);
            state.admit(QueueTicket { class, deadline, sender }, Instant::now())
        };
        match admission {
            Ok(Admission::Granted) => Ok(self.permit()),
            Ok(Admission::Queued) => {
                let granted = tokio::time::timeout_at(deadline, receiver).await;
                granted.ok().and_then(Result::ok).ok_or_else(|| {
                    refuse("queue-expired", "no place became free before the deadline", None)
                })
            }
            Err(AdmitError::TooLate { wait, excess }) => {
                let reason = format!(
                    "the expected wait of {} ms passes the deadline; retry later",
                    wait.as_millis()
                );
                Err(refuse("overload", &reason, Some(excess)))
            }
            Err(AdmitError::QueueFull) => {
                Err(refuse("queue-full", "too many requests wait", Some(Duration::from_secs(1))))
            }
        }
    }

    /// Returns whether any request may be in flight.
    pub fn has_capacity(&self) -> bool {
        lock(&self.state).status().limit > 0
    }

    /// Returns whether requests wait for a place.
    pub fn is_saturated(&self) -> bool {
        lock(&self.state).is_saturated()
    }

    /// Returns the current state.
    pub fn status(&self) -> LimiterStatus {
        lock(&self.state).status()
    }

    /// Returns the average time in which backend servers answer.
    pub fn service_time(&self) -> Duration {
        lock(&self.state).service_time()
    }

    /// Notes that a backend server refused work for lack of capacity.
    pub fn note_refused(&self) {
        lock(&self.state).note_refused();
    }

    fn permit(self: &Arc<Self>) -> OverloadPermit {
        OverloadPermit { limiter: self.clone(), routed: None, sample: None, armed: true }
    }

    fn release(self: &Arc<Self>, sample: Option<Duration>) {
        let granted = {
            let mut state = lock(&self.state);
            state.release(sample, Instant::now());
            state.grant(Instant::now())
        };
        self.send(granted);
    }

    /// Hands out places. One whose waiter is gone goes to the next in this loop, not by the drop of
    /// the permit, which would recurse once for each waiter that is gone.
    fn send(self: &Arc<Self>, mut granted: Vec<oneshot::Sender<OverloadPermit>>) {
        while !granted.is_empty() {
            let unsent = granted.into_iter().filter_map(|sender| sender.send(self.permit()).err());
            let unsent = unsent.map(OverloadPermit::disarm).count();
            if unsent == 0 {
                return;
            }
            let mut state = lock(&self.state);
            (0..unsent).for_each(|_| state.release(None, Instant::now()));
            granted = state.grant(Instant::now());
        }
    }
}

impl OverloadPermit {
    /// Records that the request is now sent to backend servers.
    pub fn note_routed(&mut self) {
        self.routed = Some(Instant::now());
    }

    /// Records the time in which backend servers answered the request, which adapts the limit.
    pub fn note_answer(&mut self, latency: Duration) {
        self.sample = Some(latency);
    }

    fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for OverloadPermit {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        // A request that was given up counts with the time it took so far; without it a service
        // whose requests all pass their deadlines would look fast.
        let given_up = || {
            let elapsed = self.routed?.elapsed();
            (elapsed > self.limiter.service_time()).then_some(elapsed)
        };
        self.limiter.release(self.sample.or_else(given_up));
    }
}

fn refuse(name: &'static str, reason: &str, after: Option<Duration>) -> Refusal {
    let refusal = Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, name, reason);
    match after {
        Some(after) => refusal.retry_after(after),
        None => refusal,
    }
}
