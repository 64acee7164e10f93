//! The choice of a backend server for one try.
//!
//! The failure domain of the process goes first; others are used when every local backend is at its
//! slots, before a request would queue. Among the candidates of a domain the adaptive choice compares
//! two at random (Mitzenmacher, "The power of two choices in randomized load balancing", 2001).

use std::sync::Arc;
use std::sync::atomic::Ordering;

use lacewingrail_model::BackendId;
use lacewingrail_model::config::RoutingChoice;
use rand::RngExt;

use crate::backend::pool::ServicePool;
use crate::backend::{Availability, Backend, BackendUse};

/// Multiple of its slots up to which a backend gets requests when all are at their slots.
const OVERCOMMIT: u32 = 2;

/// Describes what a try needs.
#[derive(Clone, Copy, Debug)]
pub struct SelectQuery<'a> {
    /// Way to choose.
    pub routing: RoutingChoice,
    /// Backends already tried for this request.
    pub tried: &'a [BackendId],
    /// Whether the request may test a backend whose ejection has ended.
    pub may_test: bool,
}

/// Chooses a backend server and counts the try on it.
pub fn select(pool: &ServicePool, query: SelectQuery<'_>) -> Option<BackendUse> {
    let backends = pool.backends();
    let fresh = |backend: &&Arc<Backend>| !query.tried.contains(&backend.id);
    if query.may_test {
        let due = |backend: &&Arc<Backend>| backend.availability() == Availability::Trial;
        let tested = backends.iter().filter(fresh).filter(due).find_map(Backend::acquire);
        if tested.is_some() {
            return tested;
        }
    }
    let below = |factor: u32| {
        move |backend: &&Arc<Backend>| {
            let limit = backend.slots().saturating_mul(factor);
            backend.in_flight() < limit.min(backend.connections.max_in_flight())
        }
    };
    let open = |backend: &&Arc<Backend>| backend.availability() == Availability::Open;
    let usable: Vec<&Arc<Backend>> = backends.iter().filter(fresh).filter(open).collect();
    let stages: [(bool, u32); 4] = [(true, 1), (false, 1), (true, OVERCOMMIT), (false, OVERCOMMIT)];
    for (local, factor) in stages {
        let candidates: Vec<&Arc<Backend>> = usable
            .iter()
            .copied()
            .filter(|backend| backend.local == local)
            .filter(below(factor))
            .collect();
        if let Some(backend) = choose(pool, query.routing, &candidates) {
            return backend.acquire();
        }
    }
    None
}

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
            let turn = pool.cursor.fetch_add(1, Ordering::Relaxed);
            candidates.get(turn % candidates.len()).copied()
        }
        RoutingChoice::LeastConnections => {
            let start = rand::rng().random_range(0..candidates.len());
            let (before, after) = candidates.split_at(start);
            after.iter().chain(before).copied().min_by_key(|backend| backend.in_flight())
        }
    }
}

fn choose_adaptive<'a>(pool: &ServicePool, candidates: &[&'a Arc<Backend>]) -> &'a Arc<Backend> {
    let mut random = rand::rng();
    let first = random.random_range(0..candidates.len());
    let step = random.random_range(1..candidates.len());
    let second = (first + step) % candidates.len();
    let (one, other) = (candidates[first], candidates[second]);
    // A backend without answers counts as average, which neither floods nor starves it.
    let average = pool.latency.mean_us().max(1);
    if cost(one, average) <= cost(other, average) { one } else { other }
}

/// Returns the expected time for one more request, relative to other backends.
fn cost(backend: &Backend, average_us: u64) -> f64 {
    let latency = backend.expected_latency_us(average_us);
    f64::from(backend.in_flight() + 1) * latency / f64::from(backend.slots())
}
