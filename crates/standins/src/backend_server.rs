//! Stand-in of a backend server: HTTP/1.1 and HTTP/2 with slots, a queue and unequal speed.
//!
//! Service times are log-normal around a median. A run goes on when its caller leaves, as on a real
//! accelerator, and is recorded when it gets its slot.

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

/// Sets the size and speed of a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendSettings {
    /// Name in the instance list.
    pub name: String,
    /// Service.
    pub service: String,
    /// Failure domain.
    pub domain: String,
    /// Requests that run at once.
    pub slots: usize,
    /// Requests that wait for a slot; further ones are refused with 503.
    pub queue: usize,
    /// Connections that the server takes; those of its control endpoints count too.
    pub connections: usize,
    /// Factor of the speed; 1 is nominal.
    pub speed: f64,
    /// Median service time at nominal speed, in milliseconds.
    pub median_ms: f64,
    /// Standard deviation of the logarithm of the service time; 0 for equal times.
    pub sigma: f64,
    /// Seed of service times and faults.
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

/// Serves requests as a backend server does.
#[derive(Debug)]
pub struct BackendServer {
    shared: Arc<SharedBackend>,
    handle: ServerHandle,
}

impl BackendServer {
    /// Serves on an address such as `127.0.0.1:0`.
    pub async fn spawn(address: &str, settings: BackendSettings) -> io::Result<Self> {
        log::info!("backend server {} uses seed {}", settings.name, settings.seed);
        let limiter = Arc::new(ConnectionLimiter::new(settings.connections));
        let shared = Arc::new(SharedBackend::new(settings, Arc::clone(&limiter)));
        let router = service::router(Arc::clone(&shared));
        let handle = ServerHandle::spawn_limited(address, router, limiter).await?;
        Ok(Self { shared, handle })
    }

    /// Returns the server's handle.
    pub fn handle(&self) -> &ServerHandle {
        &self.handle
    }

    /// Returns the base URL.
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

    /// Replaces the faults.
    pub fn set_faults(&self, faults: BackendFaults) {
        self.shared.set_faults(faults);
    }

    /// Sets whether the server states that it is leaving.
    pub fn set_leaving(&self, leaving: bool) {
        self.shared.set_leaving(leaving);
    }

    /// Returns the recorded runs.
    pub fn journal(&self) -> JournalPage<RunRecord> {
        self.shared.lock().journal.page()
    }

    /// Returns the runs by key and request id.
    pub fn runs(&self) -> RunCounts {
        self.shared.lock().journal.counts().clone()
    }

    /// Returns the counts since the start.
    pub fn counts(&self) -> BackendCounts {
        self.shared.counts()
    }
}

/// Holds what all requests of a server share.
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
    queued: u64,
    random: ChaCha8Rng,
    /// Newest answer that was given, for crossed answers.
    newest: Option<(String, Bytes)>,
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
            newest: None,
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

    /// Draws the service time in milliseconds, or scales the time that the request asks for.
    fn draw_time(&self, state: &mut BackendState, asked_ms: Option<f64>) -> f64 {
        let nominal = asked_ms.unwrap_or_else(|| {
            let normal = draw_normal(&mut state.random);
            self.settings.median_ms * (self.settings.sigma * normal).exp()
        });
        nominal / (self.settings.speed * state.faults.speed).max(f64::MIN_POSITIVE)
    }
}

/// Draws from the standard normal distribution.
///
/// Source: Box and Muller, "A note on the generation of random normal deviates", 1958.
fn draw_normal(random: &mut ChaCha8Rng) -> f64 {
    let radius = (-2.0 * (1.0 - random.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * random.random::<f64>()).cos()
}

/// Returns the fault of a request, drawn in order of arrival.
fn draw_fault(state: &mut BackendState) -> Option<AnswerFault> {
    let faults = state.faults;
    faults.draw(&mut state.random)
}
