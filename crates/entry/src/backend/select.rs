//! Selection of a backend server for one try.
//!
//! Backends in the failure domain of the process are preferred; others are used once all slots of
//! the local ones are in use, before a request would queue. Among the candidates, the adaptive
//! policy compares two at random (Mitzenmacher, "The power of two choices in randomized load
//! balancing", 2001).

use std::sync::Arc;
use std::sync::atomic::Ordering;

use lacewingrail_model::BackendId;
use lacewingrail_model::config::RoutingChoice;
use rand::RngExt;

use crate::backend::pool::ServicePool;
use crate::backend::{Availability, Backend, BackendPermit};

/// Multiple of its slots up to which a backend gets requests once the slots of all are in use.
const OVERCOMMIT_FACTOR: u32 = 2;

/// Constraints on the selection of a backend for one try.
#[derive(Clone, Copy, Debug)]
pub struct SelectQuery<'a> {
    /// Load-balancing policy of the service.
    pub routing: RoutingChoice,
    /// Backends already tried for this request.
    pub tried: &'a [BackendId],
    /// Whether the try may probe a backend whose ejection has ended.
    pub may_probe: bool,
}

/// Selects a backend server and reserves the try on it; `None` if no backend has capacity.
pub fn select(pool: &ServicePool, query: SelectQuery<'_>) -> Option<BackendPermit> {
    let backends = pool.backends();
    let untried = |backend: &&Arc<Backend>| !query.tried.contains(&backend.id);
    if query.may_probe {
        let probe_due = |backend: &&Arc<Backend>| backend.availability() == Availability::ProbeDue;
        let probe = backends.iter().filter(untried).filter(probe_due).find_map(Backend::acquire);
        if probe.is_some() {
            return probe;
        }
    }
    let below_limit = |factor: u32| {
        move |backend: &&Arc<Backend>| {
            let limit = backend.slots().saturating_mul(factor);
            backend.in_flight() < limit.min(backend.connections.max_in_flight())
        }
    };
    let available = |backend: &&Arc<Backend>| backend.availability() == Availability::Available;
    let usable: Vec<&Arc<Backend>> = backends.iter().filter(untried).filter(available).collect();
    let stages: [(bool, u32); 4] =
        [(true, 1), (false, 1), (true, OVERCOMMIT_FACTOR), (false, OVERCOMMIT_FACTOR)];
    for (local, factor) in stages {
        let candidates: Vec<&Arc<Backend>> = usable
            .iter()
            .copied()
            .filter(|backend| backend.local == local)
            .filter(below_limit(factor))
            .collect();
        if let Some(backend) = choose(pool, query.routing, &candidates) {
            return backend.acquire();
        }
    }
    None
}

/// Selects one of the candidates by the load-balancing policy; `None` if there are none.
fn choose<'a>(
    pool: &ServicePool,
    routing: RoutingChoice,
    candidates: &[&'a Arc<Backend>],
) -> Option<&'a Arc<Backend>> {
    if candidates.len() <= 1 {
        return candidates.first().copied();
    }
    match routing {
        RoutingChoice::Adaptive => Some(choose_adaptive(pool, candidates)),
        RoutingChoice::RoundRobin => {
            let index = pool.round_robin_index.fetch_add(1, Ordering::Relaxed);
            candidates.get(index % candidates.len()).copied()
        }
        RoutingChoice::LeastConnections => {
            let start = rand::rng().random_range(0..candidates.len());
            let (before, after) = candidates.split_at(start);
            after.iter().chain(before).copied().min_by_key(|backend| backend.in_flight())
        }
    }
}

/// Compares two random candidates and returns the one with the lower cost.
fn choose_adaptive<'a>(pool: &ServicePool, candidates: &[&'a Arc<Backend>]) -> &'a Arc<Backend> {
    let mut random = rand::rng();
    let first = random.random_range(0..candidates.len());
    let step = random.random_range(1..candidates.len());
    let second = (first + step) % candidates.len();
    let (one, other) = (candidates[first], candidates[second]);
    // A backend without responses counts as average, which neither overloads nor starves it.
    let average = pool.latency.mean_us().max(1);
    if cost(one, average) <= cost(other, average) { one } else { other }
}

/// Returns the relative cost of one more request: expected latency times load per slot.
fn cost(backend: &Backend, average_us: u64) -> f64 {
    let latency = backend.expected_latency_us(average_us);
    f64::from(backend.in_flight() + 1) * latency / f64::from(backend.slots())
}
