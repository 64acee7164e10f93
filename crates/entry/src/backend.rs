//! Backend servers: their connections, load, health and choice.

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

use crate::backend::connection::{BackendConnections, HttpChoice};
use crate::backend::health::{BackendHealth, Verdict};
use crate::lock;

/// Share of a new value in the smoothed latency.
const LATENCY_WEIGHT: f64 = 0.2;
/// Time in which an unused backend's smoothed latency moves most of the way to the average.
const LATENCY_MEMORY: Duration = Duration::from_secs(1);
/// Time for which a backend that said it is leaving counts as leaving although the list still shows
/// it as staying. It bounds the effect of a wrong header.
const LEAVING_MEMORY: Duration = Duration::from_secs(600);

/// Holds what one process knows of one backend server.
#[derive(Debug)]
pub struct Backend {
    /// Name.
    pub id: BackendId,
    /// Failure domain.
    pub domain: DomainName,
    /// Base address.
    pub address: String,
    /// Whether the backend is in the failure domain of the process.
    pub local: bool,
    /// Connections.
    pub connections: BackendConnections,
    slots: AtomicU32,
    in_flight: AtomicU32,
    latency_us: AtomicU64,
    /// Milliseconds of the process clock at the newest change of the smoothed latency.
    sampled_ms: AtomicU64,
    health: Mutex<BackendHealth>,
    /// Milliseconds of the process clock until which the backend is ejected; 0 when it is not.
    ejected_until_ms: AtomicU64,
    on_trial: AtomicBool,
    leaving: Mutex<LeavingState>,
    started: Instant,
}

#[derive(Debug, Default)]
struct LeavingState {
    listed: bool,
    since: Option<Instant>,
    said: Option<Instant>,
    /// Lists that showed the backend as leaving since it said so.
    confirmed: bool,
}

/// States whether a backend may get a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Availability {
    /// It takes requests.
    Open,
    /// Its ejection has ended, and one request may test it.
    Trial,
    /// It takes none.
    Closed,
}

/// Counts one request of a backend while it exists.
#[derive(Debug)]
pub struct BackendUse {
    backend: Arc<Backend>,
    trial: bool,
}

impl Backend {
    /// Creates a backend from its entry in the list.
    pub fn new(entry: &InstanceEntry, own_domain: &str, http: HttpChoice) -> Self {
        Self {
            id: entry.name.clone(),
            domain: entry.domain.clone(),
            address: entry.address.trim_end_matches('/').to_owned(),
            local: entry.domain == own_domain,
            connections: BackendConnections::new(http, entry.connections),
            slots: AtomicU32::new(entry.slots.max(1)),
            in_flight: AtomicU32::new(0),
            latency_us: AtomicU64::new(0),
            sampled_ms: AtomicU64::new(0),
            health: Mutex::default(),
            ejected_until_ms: AtomicU64::new(0),
            on_trial: AtomicBool::new(false),
            leaving: Mutex::new(LeavingState { listed: entry.leaving, ..Default::default() }),
            started: Instant::now(),
        }
    }

    /// Takes over what a newer list says.
    pub fn update(&self, entry: &InstanceEntry) {
        self.slots.store(entry.slots.max(1), Ordering::Relaxed);
        let mut leaving = lock(&self.leaving);
        leaving.listed = entry.leaving;
        if entry.leaving {
            leaving.since.get_or_insert_with(Instant::now);
        }
        leaving.confirmed |= entry.leaving;
        // A backend that left and came back under its name is in service again.
        if leaving.confirmed && !entry.leaving {
            *leaving = LeavingState::default();
        }
    }

    /// Notes that the backend said it is leaving.
    pub fn note_leaving(&self) {
        lock(&self.leaving).said.get_or_insert_with(|| {
            log::info!("backend {} says it is leaving; it gets no new work", self.id);
            Instant::now()
        });
    }

    /// Returns whether the backend is leaving.
    pub fn is_leaving(&self) -> bool {
        let leaving = lock(&self.leaving);
        leaving.listed || leaving.said.is_some_and(|said| said.elapsed() < LEAVING_MEMORY)
    }

    /// Returns how long this process has known that the backend is leaving.
    pub fn leaving_for(&self) -> Option<Duration> {
        let leaving = lock(&self.leaving);
        let said = leaving.said.filter(|said| said.elapsed() < LEAVING_MEMORY);
        leaving.since.into_iter().chain(said).min().map(|since| since.elapsed())
    }

    /// Returns the number of requests that the backend serves at a time.
    pub fn slots(&self) -> u32 {
        self.slots.load(Ordering::Relaxed)
    }

    /// Returns the requests of this process in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the smoothed latency in microseconds; 0 before the first answer.
    pub fn latency_us(&self) -> u64 {
        self.latency_us.load(Ordering::Relaxed)
    }

    /// Returns the latency to expect in microseconds, given the average of the service.
    ///
    /// Without answers the smoothed latency moves towards the average. A backend with one very slow
    /// answer would otherwise get no request that could show it to be fast again.
    pub fn expected_latency_us(&self, average_us: u64) -> f64 {
        let (known, average) = (self.latency_us(), average_us as f64);
        if known == 0 {
            return average;
        }
        average + (known as f64 - average) * self.memory_weight()
    }

    /// Returns how much the smoothed latency still counts, from 1 down to 0 by its age.
    fn memory_weight(&self) -> f64 {
        let age_ms = self.clock_ms().saturating_sub(self.sampled_ms.load(Ordering::Relaxed));
        (-(age_ms as f64) / LATENCY_MEMORY.as_millis() as f64).exp()
    }

    /// Returns whether the backend may get a request.
    pub fn availability(&self) -> Availability {
        let until = self.ejected_until_ms.load(Ordering::Acquire);
        if until == 0 {
            return if self.is_leaving() { Availability::Closed } else { Availability::Open };
        }
        let closed = self.clock_ms() < until || self.on_trial.load(Ordering::Acquire);
        if closed || self.is_leaving() { Availability::Closed } else { Availability::Trial }
    }

    /// Returns whether the backend is ejected or on trial.
    pub fn is_ejected(&self) -> bool {
        self.ejected_until_ms.load(Ordering::Acquire) != 0
    }

    /// Counts a request; nothing when another request already tests the backend.
    pub fn acquire(self: &Arc<Self>) -> Option<BackendUse> {
        let trial = self.is_ejected();
        if trial && self.on_trial.swap(true, Ordering::AcqRel) {
            return None;
        }
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        Some(BackendUse { backend: self.clone(), trial })
    }

    /// Ejects the backend for a time that doubles with each ejection in a row.
    pub fn eject(&self) {
        let time = lock(&self.health).eject(Instant::now());
        let until = self.clock_ms() + u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        self.ejected_until_ms.store(until.max(1), Ordering::Release);
        log::warn!("backend {} is ejected for {} ms", self.id, time.as_millis());
    }

    /// Takes an answer into the smoothed latency; what was known before counts less with its age.
    fn smooth(&self, latency: Duration) {
        let sample = latency.as_micros() as f64;
        let old_weight = (1.0 - LATENCY_WEIGHT) * self.memory_weight();
        self.sampled_ms.store(self.clock_ms(), Ordering::Relaxed);
        let blend = |old: u64| {
            let old = if old == 0 { sample } else { old as f64 };
            Some((sample + old_weight * (old - sample)).max(1.0) as u64)
        };
        let _ = self.latency_us.fetch_update(Ordering::Relaxed, Ordering::Relaxed, blend);
    }

    fn clock_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

impl BackendUse {
    /// Returns whether the request tests a backend whose ejection has ended.
    pub fn is_trial(&self) -> bool {
        self.trial
    }

    /// Records that the request was answered. The answer of a trial returns the backend to service;
    /// a request sent before the ejection says nothing of the time since.
    pub fn note_success(&self, latency: Duration) {
        let backend = &self.backend;
        backend.smooth(latency);
        if self.precedes_ejection() {
            return;
        }
        lock(&backend.health).note_success(Instant::now());
        if backend.ejected_until_ms.swap(0, Ordering::AcqRel) != 0 {
            log::info!("backend {} answered its trial request and is back in service", backend.id);
        }
    }

    /// Records that the request failed; returns whether the backend should be ejected. Requests that
    /// were in flight at an ejection do not lengthen it.
    ///
    /// `latency` enters the smoothed latency only where it raises it, because a backend that fails
    /// fast must not look attractive.
    pub fn note_failure(&self, verdict: Verdict, latency: Duration, eject_after: u32) -> bool {
        let backend = &self.backend;
        if latency.as_micros() > u128::from(backend.latency_us()) {
            backend.smooth(latency);
        }
        if self.precedes_ejection() {
            return false;
        }
        let now = Instant::now();
        let due = lock(&backend.health).note_failure(verdict, eject_after, now);
        due || self.trial
    }

    /// Returns whether the backend was ejected while the request was in flight.
    fn precedes_ejection(&self) -> bool {
        !self.trial && self.backend.is_ejected()
    }

    /// Returns the backend.
    pub fn backend(&self) -> &Arc<Backend> {
        &self.backend
    }
}

impl Drop for BackendUse {
    fn drop(&mut self) {
        self.backend.in_flight.fetch_sub(1, Ordering::AcqRel);
        if self.trial {
            self.backend.on_trial.store(false, Ordering::Release);
        }
    }
}
