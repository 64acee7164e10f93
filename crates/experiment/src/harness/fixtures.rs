//! Generates settings trees and jobs of a given size.

use std::fmt::Write as _;

use lacewingrail_model::job::{JobRecord, JobSpec, WorkClass};
use lacewingrail_model::keys;
use lacewingrail_model::shape::{AdjacencyLevel, GangShape};
use lacewingrail_model::store::KeyValueService;

/// Workers in each rack.
pub const WORKERS_PER_RACK: u32 = 6;
/// Accelerators of each worker, rounded; at the target size, 890 workers have 1,700.
pub const ACCELERATORS_PER_WORKER: u32 = 2;
/// Mean number of tasks per worker; at the target size, 890 workers run 8,200.
pub const TASKS_PER_WORKER: f64 = 8_200.0 / 890.0;
/// Members of a gang without accelerators.
const CPU_GANG_MEMBERS: u32 = 16;
/// Members of a gang with accelerators; each member has one.
const ACCELERATOR_GANG_MEMBERS: u32 = 4;
/// Share of the accelerators that the generated jobs use.
const ACCELERATOR_UTILIZATION: f64 = 0.95;
/// Declared run time of each job in milliseconds; longer than any measurement, so that no job ends
/// during one.
const DECLARED_RUN_TIME_MS: u64 = 4 * 3_600_000;

/// Returns `count` names of failure domains, numbered from 1.
pub fn domain_names(count: u32) -> Vec<String> {
    (1..=count).map(|number| format!("domain-{number}")).collect()
}

/// Returns the YAML of a settings tree with equal failure domains and customers.
///
/// `workers` counts the workers of each domain.
pub fn settings_tree_yaml(domains: &[String], workers: u32, customers: u32) -> String {
    let mut yaml = String::from("regions:\n  region-1:\n    domains:\n");
    for domain in domains {
        let _ = writeln!(yaml, "      {domain}:\n        racks:");
        for rack in 0..workers.div_ceil(WORKERS_PER_RACK) {
            let size = (workers - rack * WORKERS_PER_RACK).min(WORKERS_PER_RACK);
            let accelerators = ACCELERATORS_PER_WORKER;
            let _ = writeln!(
                yaml,
                "          {domain}-r{rack:02}: {{ workers: {size}, accelerators: {accelerators} }}"
            );
        }
    }
    yaml.push_str("customers:\n");
    for number in 0..customers {
        let _ = writeln!(
            yaml,
            "  team-{number:03}:\n    precedence: {}\n    weight: 1\n    quota: 100000\n    policy: \
             {{ rate_limit: 1000000.0 }}",
            10 + number
        );
        // Every third customer has one guaranteed shape if there are more workers than customers;
        // the shapes are spread over the domains.
        if number % 3 == 0 && domains.len() * workers as usize > customers as usize {
            let domain = &domains[(number / 3) as usize % domains.len()];
            let _ = writeln!(
                yaml,
                "    guarantees:\n      - domain: {domain}\n        shape: {{ members: 1, \
                 accelerators: {ACCELERATORS_PER_WORKER}, adjacency: worker }}"
            );
        }
        let _ = writeln!(yaml, "    tokens:\n      - \"{number:064x}\"");
    }
    yaml.push_str("services:\n  previews: {}\n");
    let _ = writeln!(yaml, "access:\n  operators:\n    - \"{:064x}\"", u64::MAX);
    yaml
}

/// Writes queued jobs that load `workers` workers as heavily as at the target size; returns the
/// numbers of jobs and tasks.
///
/// Fails if the store rejects a write.
pub async fn write_jobs(
    store: &dyn KeyValueService,
    domain: &str,
    workers: u32,
    customers: u32,
) -> Result<(u32, u32), String> {
    let accelerators = f64::from(workers * ACCELERATORS_PER_WORKER) * ACCELERATOR_UTILIZATION;
    let accelerator_jobs = (accelerators / f64::from(ACCELERATOR_GANG_MEMBERS)) as u32;
    let tasks = f64::from(workers) * TASKS_PER_WORKER;
    let cpu_jobs = ((tasks - f64::from(accelerator_jobs * ACCELERATOR_GANG_MEMBERS))
        / f64::from(CPU_GANG_MEMBERS))
    .round() as u32;
    for number in 0..accelerator_jobs + cpu_jobs {
        let (members, accelerators) = if number < accelerator_jobs {
            (ACCELERATOR_GANG_MEMBERS, 1)
        } else {
            (CPU_GANG_MEMBERS, 0)
        };
        let spec = JobSpec {
            customer: format!("team-{:03}", number % customers.max(1)),
            shape: GangShape { members, accelerators, adjacency: AdjacencyLevel::Domain },
            class: WorkClass::Normal,
            declared_ms: DECLARED_RUN_TIME_MS,
            cores: 1,
            memory_mb: 256,
            checkpointable: true,
            domains: Vec::new(),
            command: "run".to_owned(),
            idempotency_key: None,
        };
        write_job(store, domain, &format!("{domain}-job-{number}"), spec).await?;
    }
    Ok((
        accelerator_jobs + cpu_jobs,
        accelerator_jobs * ACCELERATOR_GANG_MEMBERS + cpu_jobs * CPU_GANG_MEMBERS,
    ))
}

/// Writes the record of a queued job to the store.
///
/// Fails if the record exists already or the store rejects the write.
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
