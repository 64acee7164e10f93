//! The backend servers of each service.

use std::collections::HashMap;
use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex, PoisonError, RwLock};

use lacewingrail_model::instance::{InstanceEntry, InstanceRole};
use lacewingrail_model::{DomainName, ServiceName};

use crate::backend::Backend;
use crate::backend::connection::HttpChoice;
use crate::lock;
use crate::overload::{OverloadLimits, ServiceLimiter};
use crate::routing::budget::RetryBudget;
use crate::routing::latency::LatencyTracker;

/// Holds the backend servers of all services.
#[derive(Debug)]
pub struct BackendPools {
    domain: DomainName,
    limits: OverloadLimits,
    services: RwLock<HashMap<ServiceName, Arc<ServicePool>>>,
}

/// Holds the backend servers of one service and what is shared by its requests.
#[derive(Debug)]
pub struct ServicePool {
    /// Service.
    pub service: Arc<str>,
    /// Budget of retries and hedges.
    pub budget: RetryBudget,
    /// Latency of answers.
    pub latency: LatencyTracker,
    /// Concurrency limit.
    pub limiter: Arc<ServiceLimiter>,
    /// Position of the round-robin baseline.
    pub cursor: AtomicUsize,
    backends: RwLock<Arc<Vec<Arc<Backend>>>>,
    /// Serializes ejections, so that the share of ejected backends is exact.
    ejecting: Mutex<()>,
}

impl BackendPools {
    /// Creates empty pools.
    pub fn new(domain: DomainName, limits: OverloadLimits) -> Self {
        Self { domain, limits, services: RwLock::default() }
    }

    /// Returns the pool of a service, if any backend server of it is or was listed.
    pub fn get(&self, service: &str) -> Option<Arc<ServicePool>> {
        self.services.read().unwrap_or_else(PoisonError::into_inner).get(service).cloned()
    }

    /// Returns all pools.
    pub fn all(&self) -> Vec<Arc<ServicePool>> {
        let services = self.services.read().unwrap_or_else(PoisonError::into_inner);
        services.values().cloned().collect()
    }

    /// Takes over a newer instance list; `http` names the protocol of a service.
    pub fn update<F>(&self, entries: &[InstanceEntry], http: F)
    where
        F: Fn(&str) -> HttpChoice,
    {
        let mut listed: HashMap<&str, Vec<&InstanceEntry>> = HashMap::new();
        for entry in entries.iter().filter(|entry| entry.role == InstanceRole::Backend) {
            listed.entry(&entry.service).or_default().push(entry);
        }
        for pool in self.all() {
            if !listed.contains_key(&*pool.service) {
                pool.update(&[], &self.domain, HttpChoice::default());
            }
        }
        for (service, entries) in listed {
            let pool = self.get(service).unwrap_or_else(|| self.create(service));
            pool.update(&entries, &self.domain, http(service));
        }
    }

    /// Sets each service's concurrency bound to the slots of its usable backends.
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
            limiter: self.limits.limiter(&name),
            cursor: AtomicUsize::new(0),
            backends: RwLock::default(),
            ejecting: Mutex::new(()),
            service: name,
        });
        let mut services = self.services.write().unwrap_or_else(PoisonError::into_inner);
        services.entry(service.to_owned()).or_insert(pool).clone()
    }
}

impl ServicePool {
    /// Returns the listed backend servers.
    pub fn backends(&self) -> Arc<Vec<Arc<Backend>>> {
        self.backends.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Ejects a backend unless that would eject more than half of the service's backends.
    pub fn eject(&self, backend: &Backend) -> bool {
        {
            let _ejecting = lock(&self.ejecting);
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

    /// Sets the concurrency bound to the slots of the usable backends.
    pub fn refresh_capacity(&self) {
        let backends = self.backends();
        let usable =
            backends.iter().filter(|backend| !backend.is_ejected() && !backend.is_leaving());
        let slots = usable.map(|backend| backend.slots()).sum();
        self.limiter.set_capacity(slots);
    }

    fn update(&self, entries: &[&InstanceEntry], domain: &str, http: HttpChoice) {
        let known = self.backends();
        let next: Vec<Arc<Backend>> = entries
            .iter()
            .map(|entry| {
                let address = entry.address.trim_end_matches('/');
                let same =
                    |other: &&Arc<Backend>| other.id == entry.name && other.address == address;
                match known.iter().find(same) {
                    Some(backend) => {
                        backend.update(entry);
                        backend.clone()
                    }
                    None => Arc::new(Backend::new(entry, domain, http)),
                }
            })
            .collect();
        *self.backends.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(next);
        self.refresh_capacity();
    }
}
