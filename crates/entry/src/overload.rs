//! Adaptive concurrency limit of each service, with a priority queue.
//!
//! A request gets a permit at once if one is free. Others wait: urgent before normal before slow,
//! in order of arrival within a class. A request that is expected to miss its deadline is refused
//! early, because late work wastes capacity.

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
use crate::overload::queue::{Admission, AdmitError, LimiterState, QueuedRequest};

/// Limiters of this process, one for each service; created on first use. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct ServiceLimiters {
    services: Arc<Mutex<HashMap<Arc<str>, Arc<ServiceLimiter>>>>,
}

/// Limits the concurrent requests of one service in this process.
#[derive(Debug)]
pub struct ServiceLimiter {
    state: Mutex<LimiterState<oneshot::Sender<ServicePermit>>>,
}

/// Load and limit of one service in this process, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimiterStatus {
    /// Requests in flight.
    pub in_flight: u32,
    /// Maximum requests in flight.
    pub limit: u32,
    /// Requests waiting for a permit.
    pub waiting: usize,
}

/// Permit for one request of a service in flight. Dropping it releases it and adapts the limit to
/// the latency of the request.
#[derive(Debug)]
pub struct ServicePermit {
    limiter: Arc<ServiceLimiter>,
    routing_started_at: Option<Instant>,
    latency: Option<Duration>,
    releases_on_drop: bool,
}

impl ServiceLimiters {
    /// Returns the limiter of a service. It is never removed, so `service` must be validated.
    pub fn limiter(&self, service: &Arc<str>) -> Arc<ServiceLimiter> {
        let mut services = lock(&self.services);
        services.entry(service.clone()).or_default().clone()
    }

    /// Returns the status of each limiter by service.
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
    /// Sets the upper bound of the limit to the slots of the available backend servers.
    pub fn set_capacity(self: &Arc<Self>, slots: u32) {
        let granted = {
            let mut state = lock(&self.state);
            state.set_capacity(slots);
            state.grant(Instant::now())
        };
        self.send_permits(granted);
    }

    /// Waits for a permit until the deadline.
    ///
    /// # Errors
    /// Refuses the request if it is expected to miss its deadline, if the queue is full or if no
    /// permit became free in time.
    pub async fn acquire(
        self: &Arc<Self>,
        class: RequestClass,
        deadline: Instant,
    ) -> Result<ServicePermit, Refusal> {
        let (sender, receiver) = oneshot::channel();
        let admission = {
            let mut state = lock(&self.state);
            state.admit(QueuedRequest { class, deadline, sender }, Instant::now())
        };
        match admission {
            Ok(Admission::Granted) => Ok(self.new_permit()),
            Ok(Admission::Queued) => {
                let granted = tokio::time::timeout_at(deadline, receiver).await;
                granted.ok().and_then(Result::ok).ok_or_else(|| {
                    build_refusal("queue-expired", "no place became free before the deadline", None)
                })
            }
            Err(AdmitError::TooLate { wait, excess }) => {
                let message = format!(
                    "the expected wait of {} ms passes the deadline; retry later",
                    wait.as_millis()
                );
                Err(build_refusal("overload", &message, Some(excess)))
            }
            Err(AdmitError::QueueFull) => Err(build_refusal(
                "queue-full",
                "too many requests wait",
                Some(Duration::from_secs(1)),
            )),
        }
    }

    /// Returns whether the limit allows any request; false without an available backend server.
    pub fn has_capacity(&self) -> bool {
        lock(&self.state).status().limit > 0
    }

    /// Returns whether requests are waiting for a permit.
    pub fn is_saturated(&self) -> bool {
        lock(&self.state).is_saturated()
    }

    /// Returns the requests in flight, the limit and the queue length.
    pub fn status(&self) -> LimiterStatus {
        lock(&self.state).status()
    }

    /// Returns the smoothed response time of the backend servers; zero before the first response.
    pub fn service_time(&self) -> Duration {
        lock(&self.state).service_time()
    }

    /// Records that a backend server refused a request for lack of capacity, which lowers the
    /// limit.
    pub fn record_refusal(&self) {
        lock(&self.state).record_refusal();
    }

    fn new_permit(self: &Arc<Self>) -> ServicePermit {
        ServicePermit {
            limiter: self.clone(),
            routing_started_at: None,
            latency: None,
            releases_on_drop: true,
        }
    }

    /// Releases a permit and sends the permits that are now free to waiting requests.
    fn release(self: &Arc<Self>, latency: Option<Duration>) {
        let granted = {
            let mut state = lock(&self.state);
            state.release(latency, Instant::now());
            state.grant(Instant::now())
        };
        self.send_permits(granted);
    }

    /// Sends permits to waiting requests. A permit whose receiver is gone passes to the next
    /// request in this loop; dropping it would recurse once for each such receiver.
    fn send_permits(self: &Arc<Self>, mut granted: Vec<oneshot::Sender<ServicePermit>>) {
        while !granted.is_empty() {
            let unreceived =
                granted.into_iter().filter_map(|sender| sender.send(self.new_permit()).err());
            let unreceived = unreceived.map(ServicePermit::forget).count();
            if unreceived == 0 {
                return;
            }
            let mut state = lock(&self.state);
            (0..unreceived).for_each(|_| state.release(None, Instant::now()));
            granted = state.grant(Instant::now());
        }
    }
}

impl ServicePermit {
    /// Starts the measurement of the response time; called when the request is routed.
    pub fn record_routing_start(&mut self) {
        self.routing_started_at = Some(Instant::now());
    }

    /// Records the response time of the backend servers, which adapts the limit on release.
    pub fn record_latency(&mut self, latency: Duration) {
        self.latency = Some(latency);
    }

    /// Drops the permit without releasing it; the caller has to release it.
    fn forget(mut self) {
        self.releases_on_drop = false;
    }
}

impl Drop for ServicePermit {
    fn drop(&mut self) {
        if !self.releases_on_drop {
            return;
        }
        // An abandoned request counts with its elapsed time; otherwise a service whose requests all
        // miss their deadlines would appear to respond fast.
        let abandoned = || {
            let elapsed = self.routing_started_at?.elapsed();
            (elapsed > self.limiter.service_time()).then_some(elapsed)
        };
        self.limiter.release(self.latency.or_else(abandoned));
    }
}

fn build_refusal(
    reason_code: &'static str,
    message: &str,
    retry_delay: Option<Duration>,
) -> Refusal {
    let refusal = Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason_code, message);
    match retry_delay {
        Some(retry_delay) => refusal.retry_after(retry_delay),
        None => refusal,
    }
}
