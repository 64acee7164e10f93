//! Settings trees and jobs of a given size.

use std::fmt::Write as _;

use lacewingrail_model::job::{JobRecord, JobSpec, WorkClass};
use lacewingrail_model::keys;
use lacewingrail_model::shape::{AdjacencyLevel, GangShape};
use lacewingrail_model::store::KeyValueService;

/// Workers of a rack.
pub const RACK_WORKERS: u32 = 6;
/// Accelerators of a worker at the target size, where 890 workers have 1,700.
pub const WORKER_ACCELERATORS: u32 = 2;
/// Tasks of a worker at the target size, where 890 workers run 8,200.
pub const WORKER_TASKS: f64 = 8_200.0 / 890.0;
/// Members of a gang that uses processors only.
const PROCESSOR_GANG: u32 = 16;
/// Members of a gang with accelerators.
const ACCELERATOR_GANG: u32 = 4;
/// Share of the accelerators that the jobs use.
const BUSY_SHARE: f64 = 0.95;
/// Work of each job in milliseconds; longer than any measurement.
const WORK_MS: u64 = 4 * 3_600_000;

/// Returns the names of failure domains.
pub fn domain_names(count: u32) -> Vec<String> {
    (1..=count).map(|number| format!("domain-{number}")).collect()
}

/// Returns a settings tree with equal failure domains and customers.
pub fn tree_text(domains: &[String], workers: u32, customers: u32) -> String {
    let mut text = String::from("regions:\n  region-1:\n    domains:\n");
    for domain in domains {
        let _ = writeln!(text, "      {domain}:\n        racks:");
        for rack in 0..workers.div_ceil(RACK_WORKERS) {
            let rest = (workers - rack * RACK_WORKERS).min(RACK_WORKERS);
            let accelerators = WORKER_ACCELERATORS;
            let _ = writeln!(
                text,
                "          {domain}-r{rack:02}: {{ workers: {rest}, accelerators: {accelerators} }}"
            );
        }
    }
    text.push_str("customers:\n");
    for number in 0..customers {
        let _ = writeln!(
            text,
            "  team-{number:03}:\n    precedence: {}\n    weight: 1\n    quota: 100000\n    policy: \
             {{ rate_limit: 1000000.0 }}",
            10 + number
        );
        // A third of the teams holds one guaranteed shape, spread over the domains.
        if number % 3 == 0 && domains.len() * workers as usize > customers as usize {
            let domain = &domains[(number / 3) as usize % domains.len()];
            let _ = writeln!(
                text,
                "    guarantees:\n      - domain: {domain}\n        shape: {{ members: 1, \
                 accelerators: {WORKER_ACCELERATORS}, adjacency: worker }}"
            );
        }
        let _ = writeln!(text, "    tokens:\n      - \"{number:064x}\"");
    }
    text.push_str("services:\n  previews: {}\n");
    let _ = writeln!(text, "access:\n  operators:\n    - \"{:064x}\"", u64::MAX);
    text
}

/// Writes the jobs that fill a number of workers as at the target size; returns their number and
/// that of their tasks.
pub async fn write_jobs(
    store: &dyn KeyValueService,
    domain: &str,
    workers: u32,
    customers: u32,
) -> Result<(u32, u32), String> {
    let accelerators = f64::from(workers * WORKER_ACCELERATORS) * BUSY_SHARE;
    let with = (accelerators / f64::from(ACCELERATOR_GANG)) as u32;
    let tasks = f64::from(workers) * WORKER_TASKS;
    let without =
        ((tasks - f64::from(with * ACCELERATOR_GANG)) / f64::from(PROCESSOR_GANG)).round() as u32;
    for number in 0..with + without {
        let (members, accelerators) =
            if number < with { (ACCELERATOR_GANG, 1) } else { (PROCESSOR_GANG, 0) };
        let spec = JobSpec {
            customer: format!("team-{:03}", number % customers.max(1)),
            shape: GangShape { members, accelerators, adjacency: AdjacencyLevel::Domain },
            class: WorkClass::Normal,
            declared_ms: WORK_MS,
            cores: 1,
            memory_mb: 256,
            checkpointable: true,
            domains: Vec::new(),
            command: "run".to_owned(),
            idempotency_key: None,
        };
        write_job(store, domain, &format!("{domain}-job-{number}"), spec).await?;
    }
    Ok((with + without, with * ACCELERATOR_GANG + without * PROCESSOR_GANG))
}

/// Writes one queued job.
pub async fn write_job(
    store: &dyn KeyValueService,
    domain: &str,
    id: &str,
    spec: JobSpec,
) -> Result<(), String> {
    let record =
        JobRecord::queued(id.to_owned(), spec, domain.to_owned(), format!("experiment#{id}"));
    let value = serde_json::to_string(&record).map_err(|error| error.to_string())?;
    let key = keys::job(&domain.to_owned(), &record.id);
    store.put(&key, value, 0, None).await.map_err(|error| error.to_string())?;
    Ok(())
}
