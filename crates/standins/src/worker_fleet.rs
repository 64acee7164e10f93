//! Stand-in of many workers in one process, on one listener.
//!
//! Each worker answers under its own path, `http://ip:port/w/<worker id>`, which is its address in
//! the instance list. Workers execute nothing: the progress of a task is computed from elapsed
//! time. The fleet records each allocation, the time in which a member occupies resources of a
//! worker, for tests to check against.

pub mod allocation;
pub mod audit;
pub mod faults;
pub mod simulated_worker;

mod routes;
mod task;

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use lacewingrail_model::WorkerId;
use lacewingrail_model::clock::UnixMillis;
use lacewingrail_model::worker::WorkerSpec;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::net::TcpListener;

use crate::clock::MonotonicClock;
use crate::journal::JournalPage;
use crate::server::{ConnectionLimiter, ServerHandle};
use crate::worker_fleet::allocation::AllocationRecord;
use crate::worker_fleet::faults::{WorkerFaults, WorkerSelection};
use crate::worker_fleet::simulated_worker::{SimulatedWorker, WorkerCounts};

pub use task::{FAIL_AFTER_PREFIX, FAIL_START_PREFIX, USAGE_PREFIX};

/// Parameters that all workers of a fleet share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetSettings {
    /// Age of the usage and progress in reports, in milliseconds.
    pub lag_ms: u64,
    /// Largest deviation of a worker's speed from nominal, as a share from 0 to below 1.
    pub speed_spread: f64,
    /// Seed from which the speeds are drawn.
    pub seed: u64,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self { lag_ms: 1_000, speed_spread: 0.0, seed: 0 }
    }
}

/// Number and resources of identical workers in one failure domain.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetLayout {
    /// Failure domain; also the prefix of the workers' ids.
    pub domain: String,
    /// Number of workers.
    pub workers: u32,
    /// Number of workers in a rack; the last rack may have fewer.
    pub per_rack: u32,
    /// Number of accelerators of each worker.
    pub accelerators: u32,
    /// Number of processor cores of each worker.
    pub cores: u32,
    /// Memory of each worker in megabytes.
    pub memory_mb: u64,
}

impl FleetLayout {
    /// Returns the descriptions of the workers, with empty addresses.
    pub fn specs(&self) -> Vec<WorkerSpec> {
        (0..self.workers)
            .map(|number| WorkerSpec {
                id: format!("{}-w{number:03}", self.domain),
                domain: self.domain.clone(),
                rack: format!("{}-r{:02}", self.domain, number / self.per_rack.max(1)),
                accelerators: self.accelerators,
                cores: self.cores,
                memory_mb: self.memory_mb,
                address: String::new(),
            })
            .collect()
    }
}

/// Serves many workers over HTTP until it is dropped.
#[derive(Debug)]
pub struct WorkerFleet {
    shared: Arc<SharedFleet>,
    handle: ServerHandle,
}

impl WorkerFleet {
    /// Serves workers on an address such as `127.0.0.1:0` and sets their addresses.
    ///
    /// Fails if the address cannot be bound.
    pub async fn spawn(
        address: &str,
        mut specs: Vec<WorkerSpec>,
        settings: FleetSettings,
    ) -> io::Result<Self> {
        log::info!("worker fleet uses seed {}", settings.seed);
        let listener = TcpListener::bind(address).await?;
        let bound = listener.local_addr()?;
        let mut random = ChaCha8Rng::seed_from_u64(settings.seed);
        let spread = settings.speed_spread.clamp(0.0, 0.99);
        let workers = specs.iter_mut().map(|spec| {
            spec.address = format!("http://{bound}/w/{}", spec.id);
            let speed = 1.0 + spread * (2.0 * random.random::<f64>() - 1.0);
            let worker = SimulatedWorker::new(spec.clone(), speed, settings.lag_ms);
            (spec.id.clone(), Mutex::new(worker))
        });
        let shared =
            Arc::new(SharedFleet { workers: workers.collect(), clock: MonotonicClock::default() });
        let router = routes::router(Arc::clone(&shared));
        let limiter = Arc::new(ConnectionLimiter::new(usize::MAX));
        let handle = ServerHandle::serve(listener, router, limiter)?;
        Ok(Self { shared, handle })
    }

    /// Returns the handle of the HTTP server.
    pub fn handle(&self) -> &ServerHandle {
        &self.handle
    }

    /// Returns the base URL of the fleet's control endpoints, without a trailing slash.
    pub fn url(&self) -> String {
        self.handle.url()
    }

    /// Returns the descriptions of all workers with their addresses.
    pub fn specs(&self) -> Vec<WorkerSpec> {
        self.shared.specs()
    }

    /// Returns the time in milliseconds since the Unix epoch, by the clock that also times the
    /// records.
    pub fn now_ms(&self) -> UnixMillis {
        self.shared.clock.now_ms()
    }

    /// Returns the allocations on all workers, current ones included.
    pub fn journal(&self) -> JournalPage<AllocationRecord> {
        self.shared.journal(&WorkerSelection::default())
    }

    /// Returns the counts of one worker, or nothing if the fleet has no worker with that id.
    pub fn counts(&self, worker: &str) -> Option<WorkerCounts> {
        Some(self.shared.lock(worker)?.counts())
    }

    /// Replaces the faults of the selected workers and returns how many there are.
    pub fn set_faults(&self, selection: &WorkerSelection, faults: WorkerFaults) -> usize {
        self.shared.set_faults(selection, faults)
    }

    /// Restarts the selected workers and returns how many there are; if `forget_epoch` is set, they
    /// also lose the scheduler epoch that they have seen.
    pub fn restart(&self, selection: &WorkerSelection, forget_epoch: bool) -> usize {
        self.shared.restart(selection, forget_epoch)
    }
}

/// Workers of a fleet and the clock that they share.
#[derive(Debug)]
struct SharedFleet {
    workers: BTreeMap<WorkerId, Mutex<SimulatedWorker>>,
    clock: MonotonicClock,
}

impl SharedFleet {
    fn lock(&self, worker: &str) -> Option<MutexGuard<'_, SimulatedWorker>> {
        self.workers.get(worker).map(lock)
    }

    fn selected(&self, selection: &WorkerSelection) -> Vec<MutexGuard<'_, SimulatedWorker>> {
        self.workers.values().map(lock).filter(|worker| selection.matches(worker.spec())).collect()
    }

    fn specs(&self) -> Vec<WorkerSpec> {
        self.workers.values().map(|worker| lock(worker).spec().clone()).collect()
    }

    fn journal(&self, selection: &WorkerSelection) -> JournalPage<AllocationRecord> {
        let mut merged = JournalPage { entries: Vec::new(), dropped: 0 };
        for mut worker in self.selected(selection) {
            let page = worker.journal(self.clock.now_ms());
            merged.entries.extend(page.entries);
            merged.dropped += page.dropped;
        }
        merged
    }

    fn set_faults(&self, selection: &WorkerSelection, faults: WorkerFaults) -> usize {
        let mut workers = self.selected(selection);
        let now_ms = self.clock.now_ms();
        workers.iter_mut().for_each(|worker| worker.set_faults(faults, now_ms));
        workers.len()
    }

    fn restart(&self, selection: &WorkerSelection, forget_epoch: bool) -> usize {
        let mut workers = self.selected(selection);
        let now_ms = self.clock.now_ms();
        workers.iter_mut().for_each(|worker| worker.restart(forget_epoch, now_ms));
        workers.len()
    }
}

fn lock(worker: &Mutex<SimulatedWorker>) -> MutexGuard<'_, SimulatedWorker> {
    worker.lock().unwrap_or_else(PoisonError::into_inner)
}
