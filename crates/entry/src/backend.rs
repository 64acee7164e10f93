//! Backend servers: connections, load, health and selection.

pub mod connection;
pub mod health;
pub mod list_controller;
pub mod pool;
pub mod select;

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use lacewingrail_model::instance::InstanceEntry;
use lacewingrail_model::{BackendId, DomainName};
use tokio::time::Instant;

use crate::backend::connection::{BackendConnections, BackendProtocol};
use crate::backend::health::{BackendHealth, FailureKind};
use crate::lock;

/// Weight of a new sample in the smoothed latency.
const LATENCY_WEIGHT: f64 = 0.2;
/// Time constant with which the smoothed latency of an idle backend decays to the service average.
const LATENCY_DECAY_TIME: Duration = Duration::from_secs(1);
/// Time for which a backend that reported `x-leaving` counts as leaving even if the instance list
/// does not show it. It bounds the effect of a wrong header.
const LEAVING_REPORT_RETENTION: Duration = Duration::from_secs(600);

/// Load, latency, health and leaving state of one backend server, as this process sees it.
#[derive(Debug)]
pub struct Backend {
    /// Name in the instance list.
    pub id: BackendId,
    /// Failure domain in which the backend runs.
    pub domain: DomainName,
    /// Base URL without a trailing slash.
    pub address: String,
    /// Whether the backend is in the failure domain of the process.
    pub local: bool,
    /// HTTP clients that manage the connections.
    pub connections: BackendConnections,
    slots: AtomicU32,
    in_flight: AtomicU32,
    /// Smoothed latency in microseconds; 0 before the first response.
    latency_us: AtomicU64,
    /// Milliseconds from `created_at` to the last update of the smoothed latency.
    latency_updated_ms: AtomicU64,
    health: Mutex<BackendHealth>,
    /// Milliseconds from `created_at` to the end of the ejection; 0 if the backend is not ejected.
    ejected_until_ms: AtomicU64,
    probe_in_flight: AtomicBool,
    leaving: Mutex<LeavingState>,
    created_at: Instant,
}

#[derive(Debug, Default)]
struct LeavingState {
    /// Whether the newest instance list shows the backend as leaving.
    listed: bool,
    /// First list update that showed it as leaving.
    listed_at: Option<Instant>,
    /// First response in which the backend reported that it is leaving.
    reported_at: Option<Instant>,
    /// Whether any list update has shown it as leaving.
    was_listed: bool,
}

/// Whether a backend may get requests now; see [`Backend::availability`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Availability {
    /// It is neither ejected nor leaving.
    Available,
    /// Its ejection has ended, and one request at a time may probe it.
    ProbeDue,
    /// It is ejected, being probed or leaving.
    Unavailable,
}

/// Permit for one request in flight to a backend; released on drop.
#[derive(Debug)]
pub struct BackendPermit {
    backend: Arc<Backend>,
    probe: bool,
}

impl Backend {
    /// Creates a backend from its entry in the instance list; no connection is opened yet.
    pub fn new(entry: &InstanceEntry, own_domain: &str, protocol: BackendProtocol) -> Self {
        Self {
            id: entry.name.clone(),
            domain: entry.domain.clone(),
            address: entry.address.trim_end_matches('/').to_owned(),
            local: entry.domain == own_domain,
            connections: BackendConnections::new(protocol, entry.connections),
            slots: AtomicU32::new(entry.slots.max(1)),
            in_flight: AtomicU32::new(0),
            latency_us: AtomicU64::new(0),
            latency_updated_ms: AtomicU64::new(0),
            health: Mutex::default(),
            ejected_until_ms: AtomicU64::new(0),
            probe_in_flight: AtomicBool::new(false),
            leaving: Mutex::new(LeavingState { listed: entry.leaving, ..Default::default() }),
            created_at: Instant::now(),
        }
    }

    /// Applies slots and leaving state of a newer instance list.
    pub fn update(&self, entry: &InstanceEntry) {
        self.slots.store(entry.slots.max(1), Ordering::Relaxed);
        let mut leaving = lock(&self.leaving);
        leaving.listed = entry.leaving;
        if entry.leaving {
            leaving.listed_at.get_or_insert_with(Instant::now);
        }
        leaving.was_listed |= entry.leaving;
        // A backend that left and returned under the same name is in service again.
        if leaving.was_listed && !entry.leaving {
            *leaving = LeavingState::default();
        }
    }

    /// Records that the backend reported `x-leaving`; the first report counts.
    pub fn record_leaving(&self) {
        lock(&self.leaving).reported_at.get_or_insert_with(|| {
            log::info!(
                "backend {} reports that it is leaving; sending it no new requests",
                self.id
            );
            Instant::now()
        });
    }

    /// Returns whether the newest list or a recent response shows the backend as leaving. A
    /// response counts for `LEAVING_REPORT_RETENTION`.
    pub fn is_leaving(&self) -> bool {
        let leaving = lock(&self.leaving);
        leaving.listed
            || leaving
                .reported_at
                .is_some_and(|reported_at| reported_at.elapsed() < LEAVING_REPORT_RETENTION)
    }

    /// Returns the time since a list update or a response first showed the backend as leaving;
    /// `None` if neither has.
    pub fn leaving_for(&self) -> Option<Duration> {
        let leaving = lock(&self.leaving);
        let reported_at = leaving
            .reported_at
            .filter(|reported_at| reported_at.elapsed() < LEAVING_REPORT_RETENTION);
        leaving.listed_at.into_iter().chain(reported_at).min().map(|since| since.elapsed())
    }

    /// Returns the maximum number of requests that the backend serves concurrently; at least 1.
    pub fn slots(&self) -> u32 {
        self.slots.load(Ordering::Relaxed)
    }

    /// Returns the number of requests in flight from this process.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the smoothed latency in microseconds; 0 before the first response.
    pub fn latency_us(&self) -> u64 {
        self.latency_us.load(Ordering::Relaxed)
    }

    /// Returns the expected latency in microseconds, given the average of the service.
    ///
    /// Without new samples the smoothed latency decays to the average. Otherwise a backend with one
    /// very slow response would get no request that could show that it is fast again.
    pub fn expected_latency_us(&self, average_us: u64) -> f64 {
        let (smoothed, average) = (self.latency_us(), average_us as f64);
        if smoothed == 0 {
            return average;
        }
        average + (smoothed as f64 - average) * self.decay_weight()
    }

    /// Returns the weight of the smoothed latency, which decays with its age from 1 to 0.
    fn decay_weight(&self) -> f64 {
        let age_ms =
            self.clock_ms().saturating_sub(self.latency_updated_ms.load(Ordering::Relaxed));
        (-(age_ms as f64) / LATENCY_DECAY_TIME.as_millis() as f64).exp()
    }

    /// Returns whether the backend may get requests now.
    pub fn availability(&self) -> Availability {
        let until = self.ejected_until_ms.load(Ordering::Acquire);
        if until == 0 {
            return if self.is_leaving() {
                Availability::Unavailable
            } else {
                Availability::Available
            };
        }
        let blocked = self.clock_ms() < until || self.probe_in_flight.load(Ordering::Acquire);
        if blocked || self.is_leaving() {
            Availability::Unavailable
        } else {
            Availability::ProbeDue
        }
    }

    /// Returns whether the backend is ejected. It stays so until a probe succeeds, also after the
    /// time of the ejection has passed.
    pub fn is_ejected(&self) -> bool {
        self.ejected_until_ms.load(Ordering::Acquire) != 0
    }

    /// Reserves a request in flight; `None` if the backend is ejected and already being probed.
    pub fn acquire(self: &Arc<Self>) -> Option<BackendPermit> {
        let probe = self.is_ejected();
        if probe && self.probe_in_flight.swap(true, Ordering::AcqRel) {
            return None;
        }
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        Some(BackendPermit { backend: self.clone(), probe })
    }

    /// Ejects the backend for a time that doubles with each repeated ejection.
    pub fn eject(&self) {
        let time = lock(&self.health).eject(Instant::now());
        let until = self.clock_ms() + u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        self.ejected_until_ms.store(until.max(1), Ordering::Release);
        log::warn!("backend {} is ejected for {} ms", self.id, time.as_millis());
    }

    /// Adds a sample to the smoothed latency; the previous value loses weight with its age.
    fn update_latency(&self, latency: Duration) {
        let sample = latency.as_micros() as f64;
        let old_weight = (1.0 - LATENCY_WEIGHT) * self.decay_weight();
        self.latency_updated_ms.store(self.clock_ms(), Ordering::Relaxed);
        let blend = |old: u64| {
            let old = if old == 0 { sample } else { old as f64 };
            Some((sample + old_weight * (old - sample)).max(1.0) as u64)
        };
        let _ = self.latency_us.fetch_update(Ordering::Relaxed, Ordering::Relaxed, blend);
    }

    /// Returns the milliseconds since `created_at`.
    fn clock_ms(&self) -> u64 {
        u64::try_from(self.created_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

impl BackendPermit {
    /// Returns whether the request probes a backend whose ejection has ended.
    pub fn is_probe(&self) -> bool {
        self.probe
    }

    /// Records a successful response. A successful probe ends the ejection; the response to a
    /// request sent before the ejection does not.
    pub fn record_success(&self, latency: Duration) {
        let backend = &self.backend;
        backend.update_latency(latency);
        if self.predates_ejection() {
            return;
        }
        lock(&backend.health).record_success(Instant::now());
        if backend.ejected_until_ms.swap(0, Ordering::AcqRel) != 0 {
            log::info!(
                "backend {} responded to its probe request and is back in service",
                backend.id
            );
        }
    }

    /// Records a failed request; returns whether the backend should be ejected. Requests that were
    /// in flight at an ejection do not extend it.
    ///
    /// `latency` enters the smoothed latency only if it raises it, so that a backend that fails
    /// fast does not attract requests.
    pub fn record_failure(
        &self,
        failure: FailureKind,
        latency: Duration,
        eject_after: u32,
    ) -> bool {
        let backend = &self.backend;
        if latency.as_micros() > u128::from(backend.latency_us()) {
            backend.update_latency(latency);
        }
        if self.predates_ejection() {
            return false;
        }
        let now = Instant::now();
        let eject = lock(&backend.health).record_failure(failure, eject_after, now);
        eject || self.probe
    }

    /// Returns whether the backend was ejected after the request was sent.
    fn predates_ejection(&self) -> bool {
        !self.probe && self.backend.is_ejected()
    }

    /// Returns the backend that the request is sent to.
    pub fn backend(&self) -> &Arc<Backend> {
        &self.backend
    }
}

impl Drop for BackendPermit {
    fn drop(&mut self) {
        self.backend.in_flight.fetch_sub(1, Ordering::AcqRel);
        if self.probe {
            self.backend.probe_in_flight.store(false, Ordering::Release);
        }
    }
}
