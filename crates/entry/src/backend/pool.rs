//! Pools of backend servers, one for each service.

use std::collections::HashMap;
use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex, PoisonError, RwLock};

use lacewingrail_model::instance::{InstanceEntry, InstanceRole};
use lacewingrail_model::{DomainName, ServiceName};

use crate::backend::Backend;
use crate::backend::connection::BackendProtocol;
use crate::lock;
use crate::overload::{ServiceLimiter, ServiceLimiters};
use crate::routing::budget::RetryBudget;
use crate::routing::latency::LatencyTracker;

/// Pools of this process, one for each service that has ever been listed.
#[derive(Debug)]
pub struct BackendPools {
    domain: DomainName,
    limiters: ServiceLimiters,
    services: RwLock<HashMap<ServiceName, Arc<ServicePool>>>,
}

/// Backend servers of one service, and the limits and latency that its requests share.
#[derive(Debug)]
pub struct ServicePool {
    /// Name of the service.
    pub service: Arc<str>,
    /// Budget that limits retries and hedges to a share of the requests.
    pub budget: RetryBudget,
    /// Latency of successful responses, over all backends.
    pub latency: LatencyTracker,
    /// Concurrency limit and queue of the service.
    pub limiter: Arc<ServiceLimiter>,
    /// Counter of the round-robin selection.
    pub round_robin_index: AtomicUsize,
    backends: RwLock<Arc<Vec<Arc<Backend>>>>,
    /// Serializes ejections, so that concurrent ones cannot exceed the maximum share.
    ejection_lock: Mutex<()>,
}

impl BackendPools {
    /// Creates an empty set; `domain` is the failure domain of this process.
    pub fn new(domain: DomainName, limiters: ServiceLimiters) -> Self {
        Self { domain, limiters, services: RwLock::default() }
    }

    /// Returns the pool of a service; `None` if no backend server of it has ever been listed.
    pub fn get(&self, service: &str) -> Option<Arc<ServicePool>> {
        self.services.read().unwrap_or_else(PoisonError::into_inner).get(service).cloned()
    }

    /// Returns all pools, including those without backend servers.
    pub fn all(&self) -> Vec<Arc<ServicePool>> {
        let services = self.services.read().unwrap_or_else(PoisonError::into_inner);
        services.values().cloned().collect()
    }

    /// Applies a newer instance list; `protocol` returns the HTTP version of a service.
    pub fn update<F>(&self, entries: &[InstanceEntry], protocol: F)
    where
        F: Fn(&str) -> BackendProtocol,
    {
        let mut listed: HashMap<&str, Vec<&InstanceEntry>> = HashMap::new();
        for entry in entries.iter().filter(|entry| entry.role == InstanceRole::Backend) {
            listed.entry(&entry.service).or_default().push(entry);
        }
        for pool in self.all() {
            if !listed.contains_key(&*pool.service) {
                pool.update(&[], &self.domain, BackendProtocol::default());
            }
        }
        for (service, entries) in listed {
            let pool = self.get(service).unwrap_or_else(|| self.create(service));
            pool.update(&entries, &self.domain, protocol(service));
        }
    }

    /// Sets each service's concurrency bound to the slots of its available backends.
    pub fn refresh_capacity(&self) {
        for pool in self.all() {
            pool.refresh_capacity();
        }
    }

    fn create(&self, service: &str) -> Arc<ServicePool> {
        let name: Arc<str> = service.into();
        let pool = Arc::new(ServicePool {
            budget: RetryBudget::new(),
            latency: LatencyTracker::new(),
            limiter: self.limiters.limiter(&name),
            round_robin_index: AtomicUsize::new(0),
            backends: RwLock::default(),
            ejection_lock: Mutex::new(()),
            service: name,
        });
        let mut services = self.services.write().unwrap_or_else(PoisonError::into_inner);
        services.entry(service.to_owned()).or_insert(pool).clone()
    }
}

impl ServicePool {
    /// Returns the backend servers in the newest instance list, also ejected and leaving ones.
    pub fn backends(&self) -> Arc<Vec<Arc<Backend>>> {
        self.backends.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Ejects a backend unless more than half of the service's backends would then be ejected;
    /// returns whether it was ejected.
    pub fn eject(&self, backend: &Backend) -> bool {
        {
            let _ejecting = lock(&self.ejection_lock);
            let backends = self.backends();
            let others = backends.iter().filter(|other| other.id != backend.id);
            let ejected = others.filter(|other| other.is_ejected()).count();
            if (ejected + 1) * 2 > backends.len() {
                return false;
            }
            backend.eject();
        }
        self.refresh_capacity();
        true
    }

    /// Sets the concurrency bound to the slots of the backends that are neither ejected nor
    /// leaving.
    pub fn refresh_capacity(&self) {
        let backends = self.backends();
        let usable =
            backends.iter().filter(|backend| !backend.is_ejected() && !backend.is_leaving());
        let slots = usable.map(|backend| backend.slots()).sum();
        self.limiter.set_capacity(slots);
    }

    /// Replaces the backends by those of a newer list; keeps the state of a backend whose name and
    /// address are unchanged.
    fn update(&self, entries: &[&InstanceEntry], domain: &str, protocol: BackendProtocol) {
        let current = self.backends();
        let next: Vec<Arc<Backend>> = entries
            .iter()
            .map(|entry| {
                let address = entry.address.trim_end_matches('/');
                let same =
                    |other: &&Arc<Backend>| other.id == entry.name && other.address == address;
                match current.iter().find(same) {
                    Some(backend) => {
                        backend.update(entry);
                        backend.clone()
                    }
                    None => Arc::new(Backend::new(entry, domain, protocol)),
                }
            })
            .collect();
        *self.backends.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(next);
        self.refresh_capacity();
    }
}
