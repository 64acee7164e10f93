//! Stand-in of a backend server: HTTP/1.1 and HTTP/2 with slots, a queue and a configurable speed.
//!
//! Service times are log-normal around a median. A run continues when its caller disconnects, as on
//! a real accelerator, and is recorded when it gets its slot.

pub mod faults;
pub mod runs;

mod service;

use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use lacewingrail_model::clock::UnixMillis;
use lacewingrail_model::instance::{InstanceEntry, InstanceRole};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::Semaphore;

use crate::backend_server::faults::{AnswerFault, BackendFaults};
use crate::backend_server::runs::{BackendCounts, RunCounts, RunJournal, RunRecord};
use crate::clock::MonotonicClock;
use crate::journal::JournalPage;
use crate::server::{ConnectionLimiter, ServerHandle};

/// Size, speed and seed of a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendSettings {
    /// Name in the instance list.
    pub name: String,
    /// Service that the server belongs to.
    pub service: String,
    /// Failure domain that the server is in.
    pub domain: String,
    /// Requests that run concurrently.
    pub slots: usize,
    /// Requests that wait for a slot; further ones are refused with 503.
    pub queue: usize,
    /// Open connections that the server admits, including those to its control endpoints.
    pub connections: usize,
    /// Speed relative to nominal; service times are divided by it.
    pub speed: f64,
    /// Median service time at nominal speed, in milliseconds.
    pub median_ms: f64,
    /// Standard deviation of the logarithm of the service time; 0 for a constant time.
    pub sigma: f64,
    /// Seed from which service times and faults are drawn.
    pub seed: u64,
}

impl Default for BackendSettings {
    fn default() -> Self {
        Self {
            name: "backend".into(),
            service: "service".into(),
            domain: "domain-1".into(),
            slots: 8,
            queue: 64,
            connections: 64,
            speed: 1.0,
            median_ms: 20.0,
            sigma: 0.5,
            seed: 0,
        }
    }
}

/// Serves requests as a backend server would, until it is dropped.
#[derive(Debug)]
pub struct BackendServer {
    shared: Arc<SharedBackend>,
    handle: ServerHandle,
}

impl BackendServer {
    /// Serves on an address such as `127.0.0.1:0`; fails if it cannot be bound.
    pub async fn spawn(address: &str, settings: BackendSettings) -> io::Result<Self> {
        log::info!("backend server {} uses seed {}", settings.name, settings.seed);
        let limiter = Arc::new(ConnectionLimiter::new(settings.connections));
        let shared = Arc::new(SharedBackend::new(settings, Arc::clone(&limiter)));
        let router = service::router(Arc::clone(&shared));
        let handle = ServerHandle::spawn_limited(address, router, limiter).await?;
        Ok(Self { shared, handle })
    }

    /// Returns the handle of the HTTP server.
    pub fn handle(&self) -> &ServerHandle {
        &self.handle
    }

    /// Returns the base URL for clients, without a trailing slash.
    pub fn url(&self) -> String {
        self.handle.url()
    }

    /// Returns the entry for the instance list.
    pub fn entry(&self) -> InstanceEntry {
        let settings = &self.shared.settings;
        InstanceEntry {
            name: settings.name.clone(),
            role: InstanceRole::Backend,
            service: settings.service.clone(),
            domain: settings.domain.clone(),
            address: self.url(),
            peer_address: String::new(),
            leaving: self.shared.lock().leaving_since.is_some(),
            slots: u32::try_from(settings.slots).unwrap_or(u32::MAX),
            connections: u32::try_from(settings.connections).unwrap_or(u32::MAX),
        }
    }

    /// Replaces the faults; the fault of a request is drawn when it arrives.
    pub fn set_faults(&self, faults: BackendFaults) {
        self.shared.set_faults(faults);
    }

    /// Sets whether the server announces in its answers that it is leaving.
    pub fn set_leaving(&self, leaving: bool) {
        self.shared.set_leaving(leaving);
    }

    /// Returns the recorded runs, ended ones first.
    pub fn journal(&self) -> JournalPage<RunRecord> {
        self.shared.lock().journal.page()
    }

    /// Returns the number of runs by idempotency key and by request id.
    pub fn runs(&self) -> RunCounts {
        self.shared.lock().journal.counts().clone()
    }

    /// Returns the counts since the start.
    pub fn counts(&self) -> BackendCounts {
        self.shared.counts()
    }
}

/// State shared by all requests of a server.
#[derive(Debug)]
struct SharedBackend {
    settings: BackendSettings,
    slots: Arc<Semaphore>,
    limiter: Arc<ConnectionLimiter>,
    clock: MonotonicClock,
    state: Mutex<BackendState>,
}

#[derive(Debug)]
struct BackendState {
    faults: BackendFaults,
    leaving_since: Option<UnixMillis>,
    journal: RunJournal,
    counts: BackendCounts,
    /// Requests admitted to the queue that have no slot yet.
    queued: u64,
    random: ChaCha8Rng,
    /// Request id and body of the newest answer, to be sent again as a crossed answer.
    last_answer: Option<(String, Bytes)>,
}

impl SharedBackend {
    fn new(settings: BackendSettings, limiter: Arc<ConnectionLimiter>) -> Self {
        let state = BackendState {
            faults: BackendFaults::default(),
            leaving_since: None,
            journal: RunJournal::new(),
            counts: BackendCounts::default(),
            queued: 0,
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            last_answer: None,
        };
        Self {
            slots: Arc::new(Semaphore::new(settings.slots)),
            settings,
            limiter,
            clock: MonotonicClock::default(),
            state: Mutex::new(state),
        }
    }

    fn lock(&self) -> MutexGuard<'_, BackendState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_faults(&self, faults: BackendFaults) {
        self.limiter.set_limit(if faults.refuse_connections {
            0
        } else {
            self.settings.connections
        });
        self.lock().faults = faults;
    }

    fn set_leaving(&self, leaving: bool) {
        let now_ms = self.clock.now_ms();
        let mut state = self.lock();
        state.leaving_since = leaving.then(|| state.leaving_since.unwrap_or(now_ms));
    }

    fn counts(&self) -> BackendCounts {
        BackendCounts {
            connections: self.limiter.open() as u64,
            refused_connections: self.limiter.refused(),
            ..self.lock().counts
        }
    }

    /// Returns the service time in milliseconds: drawn, or as requested, and scaled by the speed.
    fn draw_service_time_ms(&self, state: &mut BackendState, requested_ms: Option<f64>) -> f64 {
        let nominal_ms = requested_ms.unwrap_or_else(|| {
            let normal = draw_normal(&mut state.random);
            self.settings.median_ms * (self.settings.sigma * normal).exp()
        });
        nominal_ms / (self.settings.speed * state.faults.speed).max(f64::MIN_POSITIVE)
    }
}

/// Returns a draw from the standard normal distribution.
///
/// Source: Box and Muller, "A note on the generation of random normal deviates", 1958.
fn draw_normal(random: &mut ChaCha8Rng) -> f64 {
    let radius = (-2.0 * (1.0 - random.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * random.random::<f64>()).cos()
}

/// Draws the fault of a request; called in order of arrival, so that a seed repeats the faults.
fn draw_fault(state: &mut BackendState) -> Option<AnswerFault> {
    let faults = state.faults;
    faults.draw(&mut state.random)
}
