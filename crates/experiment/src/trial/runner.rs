//! Runs one trial and collects its records.

use std::sync::Arc;
use std::time::Duration;

use lacewingrail_clients::StoreFaults;
use lacewingrail_model::clock::millis;
use lacewingrail_model::config::ConfigView;
use lacewingrail_model::job::{HistoryPage, JobRecord};
use lacewingrail_model::keys;
use lacewingrail_model::store::KeyValueService;
use lacewingrail_model::worker::WorkerSpec;
use lacewingrail_standins::AllocationRecord;
use tokio::time::Instant;

use crate::trial::TrialPlan;
use crate::trial::environment::TrialEnvironment;
use crate::trial::faults::{
    DisableFault, DisablePlan, DisableTimes, PARTITION_LEAD_TIME, STORE_OUTAGE_DELAY,
    STORE_OUTAGE_DURATION,
};
use crate::trial::workload::{self, PlannedJob};

/// Time for which a submission or cancellation is retried.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(40);
/// Timeout after the load until all jobs have ended.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(60);
/// Time for which disabling or re-enabling a domain is retried.
const DOMAIN_CHANGE_TIMEOUT: Duration = Duration::from_secs(60);

/// The records of one trial; times are Unix milliseconds on the clock of the simulated workers.
pub struct TrialRecord {
    /// The configuration at the start.
    pub view: ConfigView,
    /// All workers, including the failing one.
    pub workers: Vec<WorkerSpec>,
    /// The id of the worker on which every start fails.
    pub failing_worker: String,
    /// The start and end of the load.
    pub load_ms: (u64, u64),
    /// The end of the trial, when the records were read.
    pub end_ms: u64,
    /// All jobs, including those that ran alone before the load.
    pub jobs: Vec<TrialJob>,
    /// The allocation records of all workers.
    pub allocations: Vec<AllocationRecord>,
    /// The number of records that the workers dropped; the invariant checks are complete only if it
    /// is 0.
    pub dropped_records: u64,
    /// When the failure domain was disabled and re-enabled; `None` if the trial disables none.
    pub disable_times: Option<DisableTimes>,
}

/// A job and its outcome.
pub struct TrialJob {
    /// The job as planned.
    pub plan: PlannedJob,
    /// The job's id; `None` if the submission was refused.
    pub id: Option<String>,
    /// When the submission was first sent.
    pub submitted_ms: u64,
    /// When the submission was accepted or finally refused.
    pub answered_ms: u64,
    /// The HTTP status and reason of a refusal; status 0 stands for a transport error.
    pub refusal: Option<(u16, String)>,
    /// The final record; `None` if the history has none, such as for a job that did not end.
    pub record: Option<JobRecord>,
}

/// Runs one trial.
///
/// Fails if the environment doesn't start or the failure domain can't be disabled or re-enabled.
pub async fn run(plan: &TrialPlan) -> Result<TrialRecord, String> {
    let environment = Arc::new(TrialEnvironment::start(plan).await?);
    let alone_jobs = workload::alone_jobs(&environment.view);
    let mut jobs = submit_all(&environment, alone_jobs, Instant::now(), plan.seed).await;
    wait_drained(&environment, Duration::from_secs(20)).await;
    let accelerators = environment.fleet.specs().iter().map(|spec| spec.accelerators).sum();
    let planned = workload::plan_jobs(&environment.view, accelerators, plan.load, plan.seed);
    let load_start = Instant::now();
    let load_ms = environment.fleet.now_ms();
    let disabling = async {
        match &plan.disable {
            Some(disable) => {
                disable_domain(&environment, plan, disable, load_start).await.map(Some)
            }
            None => Ok(None),
        }
    };
    let (submitted, disable_times) =
        tokio::join!(submit_all(&environment, planned, load_start, plan.seed), disabling);
    jobs.extend(submitted);
    let disable_times = disable_times?;
    tokio::time::sleep_until(load_start + plan.load).await;
    wait_drained(&environment, DRAIN_TIMEOUT).await;
    let mut records = read_history(&environment).await;
    for job in &mut jobs {
        job.record = job.id.as_ref().and_then(|id| {
            records
                .iter()
                .position(|record| record.id == *id)
                .map(|index| records.swap_remove(index))
        });
    }
    let journal = environment.fleet.journal();
    let end_ms = environment.fleet.now_ms();
    let record = TrialRecord {
        view: environment.view.clone(),
        workers: environment.fleet.specs(),
        failing_worker: environment.failing_worker.clone(),
        load_ms: (load_ms, load_ms + millis(plan.load)),
        end_ms,
        jobs,
        allocations: journal.entries,
        dropped_records: journal.dropped,
        disable_times,
    };
    if let Ok(environment) = Arc::try_unwrap(environment) {
        environment.shut_down().await;
    }
    Ok(record)
}

/// Submits all jobs concurrently; jobs whose task panics are left out.
async fn submit_all(
    environment: &Arc<TrialEnvironment>,
    jobs: Vec<PlannedJob>,
    load_start: Instant,
    seed: u64,
) -> Vec<TrialJob> {
    let submissions = jobs.into_iter().enumerate().map(|(number, plan)| {
        let environment = environment.clone();
        tokio::spawn(async move { submit_job(&environment, plan, number, load_start, seed).await })
    });
    let submissions: Vec<_> = submissions.collect();
    futures::future::join_all(submissions).await.into_iter().flatten().collect()
}

/// Submits a job at its arrival time and cancels it at the planned time, if any.
async fn submit_job(
    environment: &TrialEnvironment,
    plan: PlannedJob,
    number: usize,
    load_start: Instant,
    seed: u64,
) -> TrialJob {
    tokio::time::sleep_until(load_start + plan.arrival).await;
    let mut spec = plan.spec.clone();
    // The key keeps a retried submission from creating a second job.
    spec.idempotency_key = Some(format!("experiment-{seed}-{:?}-{number}", plan.kind));
    let submitted_ms = environment.fleet.now_ms();
    let outcome = environment.client.submit(number, &spec, SUBMIT_TIMEOUT).await;
    let answered_ms = environment.fleet.now_ms();
    let (id, refusal) = match outcome {
        Ok(record) => (Some(record.id), None),
        Err(error) => (None, Some((error.status, error.reason))),
    };
    if let (Some(id), Some(at)) = (&id, plan.cancel_at) {
        tokio::time::sleep_until(load_start + at).await;
        // Cancelling a job that has ended fails; the job's record shows the outcome.
        let _ = environment.client.cancel(number, &spec.customer, id, SUBMIT_TIMEOUT).await;
    }
    TrialJob { plan, id, submitted_ms, answered_ms, refusal, record: None }
}

/// Disables the failure domain and re-enables it, with the fault of the plan.
async fn disable_domain(
    environment: &TrialEnvironment,
    plan: &TrialPlan,
    disable: &DisablePlan,
    load_start: Instant,
) -> Result<DisableTimes, String> {
    let domain = plan.disabled_domain(&environment.domains);
    let domain_index =
        environment.domains.iter().position(|name| *name == domain).unwrap_or_default();
    // Operators call the process of another domain; `DomainCut` partitions only the process of
    // `domain` from the store.
    let other_process = domain_index + 1;
    let at = load_start + disable.offset;
    if disable.fault == DisableFault::DomainCut {
        tokio::time::sleep_until(at - PARTITION_LEAD_TIME).await;
        environment.set_store_partition(&domain, true);
    }
    tokio::time::sleep_until(at).await;
    let requested_ms = environment.fleet.now_ms();
    let to_error =
        |action: &str, reason: String| format!("cannot {action} domain {domain}: {reason}");
    let disabling = environment
        .client
        .set_domain_disabled(other_process, &domain, true, DOMAIN_CHANGE_TIMEOUT)
        .await;
    let disabling = disabling.map_err(|error| to_error("disable", error.reason))?;
    let accepted_ms = environment.fleet.now_ms();
    let outage = async {
        if disable.fault == DisableFault::StoreOutage {
            tokio::time::sleep(STORE_OUTAGE_DELAY).await;
            environment.store.set_faults(StoreFaults::outage());
            tokio::time::sleep(STORE_OUTAGE_DURATION).await;
            environment.store.set_faults(StoreFaults::default());
        }
    };
    let enable = async {
        tokio::time::sleep_until(at + disable.duration).await;
        environment.set_store_partition(&domain, false);
        environment
            .client
            .set_domain_disabled(other_process, &domain, false, DOMAIN_CHANGE_TIMEOUT)
            .await
    };
    let ((), enabling) = tokio::join!(outage, enable);
    let enabling = enabling.map_err(|error| to_error("re-enable", error.reason))?;
    let returned_ms = environment.fleet.now_ms();
    let steps = disabling.steps.into_iter().chain(enabling.steps).collect();
    Ok(DisableTimes { domain, requested_ms, accepted_ms, returned_ms, steps })
}

/// Waits until no job is left in the store or the timeout has passed.
async fn wait_drained(environment: &TrialEnvironment, timeout: Duration) {
    let start = Instant::now();
    while start.elapsed() < timeout {
        match environment.store.list(keys::JOBS).await {
            Ok(entries) if entries.is_empty() => return,
            _ => tokio::time::sleep(Duration::from_millis(100)).await,
        }
    }
}

/// Returns the records of all ended jobs; empty if the store is unavailable.
async fn read_history(environment: &TrialEnvironment) -> Vec<JobRecord> {
    let pages = environment.store.list("history/").await.unwrap_or_default();
    let pages = pages.iter().filter_map(|page| {
        serde_json::from_str::<HistoryPage>(&page.value).ok().map(|page| page.jobs)
    });
    pages.flatten().collect()
}
