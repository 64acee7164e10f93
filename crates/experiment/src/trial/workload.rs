//! Seeded workload of one trial.
//!
//! About half of the jobs of the load arrive in bursts, the others evenly. Jobs of exactly a
//! guaranteed shape arrive in two waves, so that every guarantee is reclaimed twice from borrowers.

use std::time::Duration;

use lacewingrail_model::config::ConfigView;
use lacewingrail_model::job::{JobSpec, WorkClass};
use lacewingrail_model::shape::{AdjacencyLevel, GangShape};
use lacewingrail_standins::worker_fleet::FAIL_START_PREFIX;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::trial::real_work::work_command;

/// Offered load as a share of the accelerators.
const OFFERED_LOAD_SHARE: f64 = 0.95;
/// Minimum and maximum real work of a job.
const WORK_RANGE_MS: (f64, f64) = (500.0, 15_000.0);
/// Real work of a job that reclaims a guarantee.
const GUARANTEED_WORK_MS: u64 = 3_000;
/// Times at which the guarantees are reclaimed, as shares of the load time.
const RECLAIM_OFFSETS: [f64; 2] = [0.3, 0.75];
/// Times at which the bursts arrive, as shares of the load time.
const BURST_OFFSETS: [f64; 4] = [0.05, 0.25, 0.5, 0.7];
/// Time over which the jobs of a burst arrive.
const BURST_DURATION_MS: u64 = 300;
/// Time at which jobs are cancelled, as a share of the load time.
const CANCEL_OFFSET: f64 = 0.55;
/// Share of jobs that are cancelled, of those that arrive in the quarter of the load time before
/// the cancellation.
const CANCEL_SHARE: f64 = 0.3;
/// Maximum error of a declared run time in either direction, as an exponent of ten.
const DECLARED_ERROR_DECADES: f64 = 1.0;

/// The purpose of a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobKind {
    /// Part of the random load.
    Load,
    /// Reclaims a guarantee: has exactly its shape, in its domain.
    Guaranteed,
    /// Can never be placed and should be refused at submission.
    Impossible,
    /// Fails at every start.
    Faulty,
    /// Runs alone before the load, to measure the scheduling overhead.
    Alone,
}

/// A job to submit.
#[derive(Clone, Debug)]
pub struct PlannedJob {
    /// The spec to submit; the idempotency key is added later.
    pub spec: JobSpec,
    /// The purpose of the job.
    pub kind: JobKind,
    /// The real work in milliseconds at nominal speed.
    pub work_ms: u64,
    /// The arrival time since the start of the load.
    pub arrival: Duration,
    /// The time of its cancellation since the start of the load; `None` if it isn't cancelled.
    pub cancel_at: Option<Duration>,
}

/// Shapes of the random load: weight, members, accelerators per member and adjacency.
const SHAPES: &[(u32, u32, u32, AdjacencyLevel)] = &[
    (16, 1, 1, AdjacencyLevel::Worker),
    (12, 1, 2, AdjacencyLevel::Worker),
    (10, 1, 4, AdjacencyLevel::Worker),
    (8, 1, 8, AdjacencyLevel::Worker),
    (8, 2, 3, AdjacencyLevel::Worker),
    (6, 4, 1, AdjacencyLevel::Rack),
    (8, 3, 4, AdjacencyLevel::Rack),
    (7, 2, 8, AdjacencyLevel::Rack),
    (6, 3, 8, AdjacencyLevel::Rack),
    (6, 4, 6, AdjacencyLevel::Domain),
    (4, 4, 8, AdjacencyLevel::Domain),
    (4, 5, 8, AdjacencyLevel::Rack),
    (3, 6, 8, AdjacencyLevel::Rack),
    (2, 8, 8, AdjacencyLevel::Domain),
    (2, 64, 1, AdjacencyLevel::Domain),
];

/// Returns the jobs of one trial, sorted by arrival, for a region with `accelerators` accelerators.
pub fn plan_jobs(
    view: &ConfigView,
    accelerators: u32,
    load: Duration,
    seed: u64,
) -> Vec<PlannedJob> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut jobs = guaranteed_jobs(view, load);
    let guaranteed_accelerator_ms: f64 =
        jobs.iter().map(|job| f64::from(job.spec.shape.total()) * job.work_ms as f64).sum();
    let mut remaining_accelerator_ms =
        f64::from(accelerators) * load.as_secs_f64() * 1_000.0 * OFFERED_LOAD_SHARE
            - guaranteed_accelerator_ms;
    while remaining_accelerator_ms > 0.0 {
        let job = random_load_job(view, load, &mut rng);
        remaining_accelerator_ms -= f64::from(job.spec.shape.total()) * job.work_ms as f64;
        jobs.push(job);
    }
    jobs.extend(impossible_and_faulty_jobs(view, load));
    jobs.sort_by_key(|job| job.arrival);
    jobs
}

/// Returns one small job for each failure domain, to measure the scheduling overhead without
/// contention.
pub fn alone_jobs(view: &ConfigView) -> Vec<PlannedJob> {
    let customer = view.customers.keys().next().cloned().unwrap_or_default();
    let shape = GangShape { members: 1, accelerators: 1, adjacency: AdjacencyLevel::Worker };
    let plan = |domain: &String| {
        let mut spec = job_spec(&customer, shape, 1_000, 1_000);
        spec.domains = vec![domain.clone()];
        PlannedJob {
            spec,
            kind: JobKind::Alone,
            work_ms: 1_000,
            arrival: Duration::ZERO,
            cancel_at: None,
        }
    };
    view.domains.keys().map(plan).collect()
}

/// Returns a random job of a customer, who is chosen with a probability proportional to its quota.
fn random_load_job(view: &ConfigView, load: Duration, rng: &mut ChaCha8Rng) -> PlannedJob {
    let (low, high) = (WORK_RANGE_MS.0.ln(), WORK_RANGE_MS.1.ln());
    let work_ms = (low + (high - low) * rng.random::<f64>()).exp().round() as u64;
    let declared_factor = 10f64.powf(DECLARED_ERROR_DECADES * (2.0 * rng.random::<f64>() - 1.0));
    let declared_ms = (work_ms as f64 * declared_factor).round().max(1.0) as u64;
    let (customer, shape) = loop {
        let customers: Vec<_> = view.customers.iter().collect();
        let total: u32 = customers.iter().map(|(_, customer)| customer.quota).sum();
        let mut remaining_weight = rng.random_range(0..total.max(1));
        let chosen = customers.iter().find(|(_, customer)| {
            let selected = remaining_weight < customer.quota;
            remaining_weight = remaining_weight.saturating_sub(customer.quota);
            selected
        });
        let Some((name, customer)) = chosen else { continue };
        let shape = pick_shape(rng);
        // A load job of a guaranteed shape would occupy the guarantee that a wave reclaims.
        let guaranteed = customer.guarantees.iter().any(|entry| entry.shape == shape);
        if shape.total() <= customer.quota && !guaranteed {
            break ((*name).clone(), shape);
        }
    };
    let mut spec = job_spec(&customer, shape, work_ms, declared_ms);
    let class_draw = rng.random::<f64>();
    spec.class = match class_draw {
        _ if class_draw < 0.2 && shape.total() <= 8 => WorkClass::Urgent,
        _ if class_draw < 0.75 => WorkClass::Normal,
        _ => WorkClass::Slow,
    };
    spec.checkpointable = rng.random::<f64>() < 0.8;
    let load_ms = load.as_millis() as f64;
    let arrival_ms = if rng.random::<bool>() {
        load_ms * rng.random::<f64>()
    } else {
        let burst_offset = BURST_OFFSETS[rng.random_range(0..BURST_OFFSETS.len())];
        load_ms * burst_offset + rng.random_range(0..BURST_DURATION_MS) as f64
    };
    let cancel_ms = load_ms * CANCEL_OFFSET;
    let arrived_recently = arrival_ms < cancel_ms && arrival_ms > cancel_ms - load_ms / 4.0;
    let cancelled = arrived_recently && rng.random::<f64>() < CANCEL_SHARE;
    let cancel_at = cancelled.then(|| Duration::from_millis(cancel_ms as u64));
    let arrival = Duration::from_millis(arrival_ms as u64);
    PlannedJob { spec, kind: JobKind::Load, work_ms, arrival, cancel_at }
}

/// Returns a random shape, chosen by weight.
fn pick_shape(rng: &mut ChaCha8Rng) -> GangShape {
    let total: u32 = SHAPES.iter().map(|(weight, ..)| weight).sum();
    let mut remaining_weight = rng.random_range(0..total);
    let chosen = SHAPES.iter().find(|(weight, ..)| {
        let selected = remaining_weight < *weight;
        remaining_weight = remaining_weight.saturating_sub(*weight);
        selected
    });
    let (_, members, accelerators, adjacency) = *chosen.unwrap_or(&SHAPES[0]);
    GangShape { members, accelerators, adjacency }
}

/// Returns the jobs that reclaim every guarantee at each of the reclaim times.
fn guaranteed_jobs(view: &ConfigView, load: Duration) -> Vec<PlannedJob> {
    let mut jobs = Vec::new();
    for (name, customer) in &view.customers {
        for entry in &customer.guarantees {
            for offset in
                RECLAIM_OFFSETS.iter().flat_map(|offset| (0..entry.count).map(move |_| offset))
            {
                let mut spec = job_spec(name, entry.shape, GUARANTEED_WORK_MS, GUARANTEED_WORK_MS);
                spec.domains = vec![entry.domain.clone()];
                jobs.push(PlannedJob {
                    spec,
                    kind: JobKind::Guaranteed,
                    work_ms: GUARANTEED_WORK_MS,
                    arrival: load.mul_f64(*offset),
                    cancel_at: None,
                });
            }
        }
    }
    jobs
}

/// Returns jobs that exceed a worker, a rack, a failure domain or a quota, and jobs whose program
/// fails on every worker.
fn impossible_and_faulty_jobs(view: &ConfigView, load: Duration) -> Vec<PlannedJob> {
    let large = view.customers.iter().max_by_key(|(_, customer)| customer.quota);
    let small = view.customers.iter().min_by_key(|(_, customer)| customer.quota);
    let (Some((large, _)), Some((small, customer))) = (large, small) else {
        return Vec::new();
    };
    let shapes = [
        (large, GangShape { members: 2, accelerators: 8, adjacency: AdjacencyLevel::Worker }),
        (large, GangShape { members: 7, accelerators: 8, adjacency: AdjacencyLevel::Rack }),
        (large, GangShape { members: 64, accelerators: 2, adjacency: AdjacencyLevel::Domain }),
        (
            small,
            GangShape {
                members: customer.quota + 1,
                accelerators: 1,
                adjacency: AdjacencyLevel::Domain,
            },
        ),
    ];
    let mut jobs = Vec::new();
    for share in [0.1, 0.25, 0.6] {
        let arrival = load.mul_f64(share);
        jobs.extend(shapes.iter().map(|(customer, shape)| PlannedJob {
            spec: job_spec(customer, *shape, 2_000, 2_000),
            kind: JobKind::Impossible,
            work_ms: 2_000,
            arrival,
            cancel_at: None,
        }));
        let shape = GangShape { members: 1, accelerators: 2, adjacency: AdjacencyLevel::Worker };
        let mut spec = job_spec(large, shape, 2_000, 2_000);
        spec.command = FAIL_START_PREFIX.to_owned();
        jobs.push(PlannedJob {
            spec,
            kind: JobKind::Faulty,
            work_ms: 2_000,
            arrival,
            cancel_at: None,
        });
    }
    jobs
}

fn job_spec(customer: &str, shape: GangShape, work_ms: u64, declared_ms: u64) -> JobSpec {
    JobSpec {
        customer: customer.to_owned(),
        shape,
        class: WorkClass::Normal,
        declared_ms,
        cores: 1,
        memory_mb: 100,
        checkpointable: true,
        domains: Vec::new(),
        command: work_command(work_ms, declared_ms),
        idempotency_key: None,
    }
}
