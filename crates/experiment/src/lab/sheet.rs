//! Load sheets: descriptions of queues and workers, from which the jobs of a replay are generated.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use lacewingrail_fleet::{
    CustomerGuarantee, FleetConfig, JobKey, JobSpec, JobSubmission, QueuePolicy, ResourceAmount,
    StepSpec, WorkerListing,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;

/// The service of all workers and queues.
const SERVICE_NAME: &str = "desk";
/// Failed runs after which a task isn't retried.
const MAX_TASK_FAILURES: u32 = 4;
/// Uniform samples whose sum approximates a normal distribution; 12 give it a variance of 1.
const NORMAL_TERMS: usize = 12;

/// A region and its load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadSheet {
    /// The names of the failure domains.
    pub domains: Vec<String>,
    /// The number of workers, distributed evenly over the domains.
    pub workers: usize,
    /// The number of workers in a rack.
    pub rack: usize,
    /// The relative speeds of the workers, assigned cyclically; 1 is nominal.
    pub speeds: Vec<f64>,
    /// The capacity of each worker.
    pub capacity: SheetAmount,
    /// The factor by which work takes longer outside the rack of its data or gang.
    pub away_factor: f64,
    /// The checkpoint interval in seconds.
    pub checkpoint_s: f64,
    /// The time to restore a task from a checkpoint, in milliseconds.
    pub restore_ms: u64,
    /// The guaranteed accelerators of each customer.
    pub customers: BTreeMap<String, i64>,
    /// The queues with their arriving jobs; the position of a queue selects its random stream.
    pub queues: Vec<QueueSheet>,
}

/// An amount of resources: processor cores, memory in megabytes and accelerators.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SheetAmount {
    cores: f64,
    memory_mb: i64,
    accelerators: i64,
}

/// A log-normal distribution with an upper bound.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SpreadNumber {
    /// The mean without the upper bound.
    mean: f64,
    /// The standard deviation of the logarithm.
    spread: f64,
    /// The upper bound.
    most: f64,
}

/// A queue and the jobs that arrive in it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueueSheet {
    /// The name of the queue.
    pub name: String,
    /// The priority class; a lower number comes first, and class 0 may preempt others.
    pub priority: u32,
    /// The credit of a job of mean work that completes on time.
    pub worth: f64,
    /// The share of its credit that a late job earns, from 0 to 1.
    pub late_share: f64,
    /// The mean arrival rate in jobs per second.
    pub per_second: f64,
    /// The multiple of a job's critical path within which it is on time.
    pub stretch: f64,
    /// The slack in milliseconds added to that multiple.
    pub slack_ms: u64,
    /// The run time of a step in seconds at speed 1, about which the run times of its tasks vary.
    run_s: SpreadNumber,
    /// The number of tasks of a step.
    tasks: SpreadNumber,
    /// The mean number of steps, from 1 to 2; each depends on the one before.
    steps: f64,
    /// The cores of a task.
    cores: f64,
    /// The memory of a task in megabytes.
    memory_mb: i64,
    /// The accelerators of a task, drawn uniformly from this list.
    accelerators: Vec<i64>,
    /// The probability that every step of a job is a gang.
    gang: f64,
    /// The probability that a step of such a job must run within one rack.
    one_rack: f64,
    /// The probability that the data of a job is in one rack.
    data_rack: f64,
    /// The probability that a step supports checkpoints.
    checkpoints: f64,
    /// The standard deviation of the logarithm of the tasks' run times within a step.
    task_spread: f64,
    /// The standard deviation of the logarithm of the declared run time over the real one.
    declared_spread: f64,
}

/// A generated job with its arrival time and real work.
#[derive(Clone, Debug)]
pub struct LabJob {
    /// The submission as the planner sees it.
    pub submission: Arc<JobSubmission>,
    /// The arrival time since the start of the load.
    pub arrival: Duration,
    /// The real work of each task by step, in seconds at speed 1.
    pub work: Vec<Vec<f64>>,
}

impl LoadSheet {
    /// Reads and validates a sheet; the error names the file.
    pub fn read(path: &Path) -> Result<Self, String> {
        let to_error = |error: String| format!("cannot read {}: {error}", path.display());
        let text = std::fs::read_to_string(path).map_err(|error| to_error(error.to_string()))?;
        let sheet: Self =
            serde_norway::from_str(&text).map_err(|error| to_error(error.to_string()))?;
        match sheet.validation_error() {
            None => Ok(sheet),
            Some(validation_error) => Err(to_error(validation_error)),
        }
    }

    /// Returns why the sheet can't be replayed; `None` if it is valid.
    fn validation_error(&self) -> Option<String> {
        let names_missing = self.domains.is_empty() || self.customers.is_empty();
        if names_missing || self.workers == 0 || self.rack == 0 {
            return Some("domains, customers, workers or rack is empty or 0".into());
        }
        let factors = [self.away_factor, self.checkpoint_s];
        let mut positive_values = self.speeds.iter().copied().chain(factors);
        if self.speeds.is_empty() || !positive_values.all(is_positive) {
            return Some("speeds, away_factor and checkpoint_s must be above 0".into());
        }
        self.queues.iter().find_map(|queue| {
            let validation_error = queue.validation_error()?;
            Some(format!("queue {}: {validation_error}", queue.name))
        })
    }

    /// Returns the planner's settings.
    pub fn config(&self) -> FleetConfig {
        let queues = self.queues.iter().map(|queue| {
            let policy = QueuePolicy {
                service: SERVICE_NAME.into(),
                priority: queue.priority,
                max_failures: MAX_TASK_FAILURES,
                stretch: queue.stretch,
                slack: Duration::from_millis(queue.slack_ms),
                advice: None,
            };
            (queue.name.clone(), policy)
        });
        let customers = self.customers.iter().map(|(name, guaranteed)| {
            (name.clone(), CustomerGuarantee { guaranteed: *guaranteed })
        });
        FleetConfig { version: 1, queues: queues.collect(), customers: customers.collect() }
    }

    /// Returns the listings of all workers.
    pub fn listings(&self) -> Vec<WorkerListing> {
        let workers_per_domain = self.workers.div_ceil(self.domains.len());
        let listing = |index: usize| {
            let domain = &self.domains[index / workers_per_domain];
            let rack = self.rack_name(index);
            WorkerListing {
                id: format!("worker-{index}"),
                address: format!("worker-{index}:80"),
                service: SERVICE_NAME.into(),
                domain: domain.clone(),
                rack: Some(rack.clone()),
                labels: vec![rack],
                capacity: self.capacity.to_resource_amount(),
                draining: false,
                remaining: None,
                incarnation: 1,
            }
        };
        (0..self.workers).map(listing).collect()
    }

    /// Returns the jobs that arrive within `duration`, sorted by arrival, at `factor` times the
    /// sheet's rates.
    pub fn generate_jobs(&self, factor: f64, duration: Duration, seed: u64) -> Vec<LabJob> {
        let mut jobs = Vec::new();
        for (index, queue) in self.queues.iter().enumerate() {
            // Each queue has its own random stream, so that its jobs don't depend on the other
            // queues.
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            rng.set_stream(index as u64);
            let mut arrival_s = 0.0;
            loop {
                arrival_s -=
                    rng.random::<f64>().max(f64::MIN_POSITIVE).ln() / (queue.per_second * factor);
                if arrival_s >= duration.as_secs_f64() {
                    break;
                }
                let key = (index as JobKey + 1) << 32 | jobs.len() as JobKey;
                jobs.push(self.generate_job(
                    queue,
                    key,
                    Duration::from_secs_f64(arrival_s),
                    &mut rng,
                ));
            }
        }
        jobs.sort_by_key(|job| job.arrival);
        jobs
    }

    fn generate_job(
        &self,
        queue: &QueueSheet,
        key: JobKey,
        arrival: Duration,
        rng: &mut ChaCha8Rng,
    ) -> LabJob {
        let gang = rng.random_bool(queue.gang);
        let rack = rng.random_range(0..self.workers);
        let data_rack = rng.random_bool(queue.data_rack).then(|| self.rack_name(rack));
        let extra_steps = queue.steps - 1.0;
        let count = 1 + usize::from(rng.random_bool(extra_steps.clamp(0.0, 1.0)));
        let (mut steps, mut work) = (Vec::new(), Vec::new());
        for index in 0..count {
            let run_s = queue.run_s.sample(rng);
            let tasks = queue.tasks.sample(rng).round().max(1.0) as usize;
            let task_run_s =
                |rng: &mut ChaCha8Rng| run_s * lognormal_factor(queue.task_spread, rng);
            work.push((0..tasks).map(|_| task_run_s(rng)).collect());
            let declared_s = run_s * lognormal_factor(queue.declared_spread, rng);
            let accelerators = queue.accelerators[rng.random_range(0..queue.accelerators.len())];
            steps.push(StepSpec {
                count: tasks as u32,
                demand: ResourceAmount {
                    cpu_milli: (queue.cores * 1000.0) as i64,
                    memory_mb: queue.memory_mb,
                    accelerators,
                },
                estimate: Duration::from_secs_f64(declared_s),
                after: index.checked_sub(1).map(|previous| previous as u32).into_iter().collect(),
                gang,
                one_rack: gang && rng.random_bool(queue.one_rack),
                data_rack: data_rack.clone(),
                checkpoints: rng.random_bool(queue.checkpoints),
                ..StepSpec::default()
            });
        }
        let customer_index = rng.random_range(0..self.customers.len());
        let customer = self.customers.keys().nth(customer_index).cloned().unwrap_or_default();
        let submission = JobSubmission {
            key,
            queue: queue.name.clone(),
            customer,
            spec: JobSpec { payload: String::new(), steps, schedule: None },
            accepted_unix_ms: 0,
        };
        LabJob { submission: Arc::new(submission), arrival, work }
    }

    fn rack_name(&self, worker: usize) -> String {
        format!("rack-{}", worker / self.rack)
    }
}

impl QueueSheet {
    /// Returns why the queue is invalid; `None` if it is valid.
    fn validation_error(&self) -> Option<&'static str> {
        let positive = [self.per_second, self.run_s.mean, self.tasks.mean, self.worth];
        let shares = [self.gang, self.one_rack, self.data_rack, self.checkpoints, self.late_share];
        if !positive.into_iter().all(is_positive) {
            Some("per_second, worth and the means of run_s and tasks must be above 0")
        } else if !shares.iter().all(|share| (0.0..=1.0).contains(share)) {
            Some("shares must be between 0 and 1")
        } else if self.accelerators.is_empty() {
            Some("accelerators are empty")
        } else {
            None
        }
    }
}

impl SheetAmount {
    fn to_resource_amount(self) -> ResourceAmount {
        ResourceAmount {
            cpu_milli: (self.cores * 1000.0) as i64,
            memory_mb: self.memory_mb,
            accelerators: self.accelerators,
        }
    }
}

impl SpreadNumber {
    fn sample(self, rng: &mut ChaCha8Rng) -> f64 {
        (self.mean * lognormal_factor(self.spread, rng)).min(self.most)
    }
}

fn is_positive(value: f64) -> bool {
    value.is_finite() && value > 0.0
}

/// Returns a log-normal factor of mean 1; `spread` is the standard deviation of its logarithm.
fn lognormal_factor(spread: f64, rng: &mut ChaCha8Rng) -> f64 {
    let sum: f64 = (0..NORMAL_TERMS).map(|_| rng.random::<f64>()).sum();
    let normal = sum - NORMAL_TERMS as f64 / 2.0;
    (spread * normal - spread * spread / 2.0).exp()
}
