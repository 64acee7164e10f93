//! Drives one run and collects what happened.

use std::sync::Arc;
use std::time::Duration;

use lacewingrail_clients::StoreFaults;
use lacewingrail_model::clock::millis;
use lacewingrail_model::config::ConfigView;
use lacewingrail_model::job::{HistoryPage, JobRecord};
use lacewingrail_model::keys;
use lacewingrail_model::store::KeyValueService;
use lacewingrail_model::worker::WorkerSpec;
use lacewingrail_standins::HoldingRecord;
use tokio::time::Instant;

use crate::trial::TrialPlan;
use crate::trial::environment::TrialEnvironment;
use crate::trial::faults::{
    DisableFault, DisablePlan, DisableTimes, PARTITION_LEAD_TIME, STORE_OUTAGE_DELAY,
    STORE_OUTAGE_DURATION,
};
use crate::trial::workload::{self, PlannedJob};

/// Longest time for which a submission is repeated.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(40);
/// Longest time after the load until the jobs have ended.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest time until a domain is out or back.
const DOMAIN_CHANGE_TIMEOUT: Duration = Duration::from_secs(60);

/// Holds what one run showed; times are in the fleet's clock.
pub struct TrialRecord {
    /// Configuration.
    pub view: ConfigView,
    /// Workers.
    pub workers: Vec<WorkerSpec>,
    /// Worker on which every start fails.
    pub failing_worker: String,
    /// Start and end of the load.
    pub load_ms: (u64, u64),
    /// End of the run.
    pub end_ms: u64,
    /// Jobs, with those that ran alone before the load.
    pub jobs: Vec<TrialJob>,
    /// Records of all workers.
    pub holdings: Vec<HoldingRecord>,
    /// Records that the workers dropped; the verdicts need 0.
    pub dropped_records: u64,
    /// Take-out, if any.
    pub disable_times: Option<DisableTimes>,
}

/// Holds what became of one job.
pub struct TrialJob {
    /// Plan.
    pub plan: PlannedJob,
    /// Id, unless the submission was refused.
    pub id: Option<String>,
    /// First attempt to submit it.
    pub submitted_ms: u64,
    /// Answer to the submission.
    pub answered_ms: u64,
    /// Status and reason of a refusal.
    pub refusal: Option<(u16, String)>,
    /// Record after its end, if it ended.
    pub record: Option<JobRecord>,
}

/// Runs one trial.
pub async fn run(plan: &TrialPlan) -> Result<TrialRecord, String> {
    let environment = Arc::new(TrialEnvironment::start(plan).await?);
    let alone_jobs = workload::alone_jobs(&environment.view);
    let mut jobs = submit_all(&environment, alone_jobs, Instant::now(), plan.seed).await;
    wait_drained(&environment, Duration::from_secs(20)).await;
    let accelerators = environment.fleet.specs().iter().map(|spec| spec.accelerators).sum();
    let planned = workload::plan_jobs(&environment.view, accelerators, plan.load, plan.seed);
    let load_start = Instant::now();
    let load_ms = environment.fleet.now_ms();
    let disable_times = async {
        match &plan.disable {
            Some(disable) => {
                disable_domain(&environment, plan, disable, load_start).await.map(Some)
            }
            None => Ok(None),
        }
    };
    let (submitted, disable_times) =
        tokio::join!(submit_all(&environment, planned, load_start, plan.seed), disable_times);
    jobs.extend(submitted);
    let disable_times = disable_times?;
    tokio::time::sleep_until(load_start + plan.load).await;
    wait_drained(&environment, DRAIN_TIMEOUT).await;
    let mut records = read_history(&environment).await;
    for job in &mut jobs {
        job.record = job.id.as_ref().and_then(|id| {
            records.iter().position(|record| record.id == *id).map(|at| records.swap_remove(at))
        });
    }
    let page = environment.fleet.journal();
    let end_ms = environment.fleet.now_ms();
    let record = TrialRecord {
        view: environment.view.clone(),
        workers: environment.fleet.specs(),
        failing_worker: environment.failing_worker.clone(),
        load_ms: (load_ms, load_ms + millis(plan.load)),
        end_ms,
        jobs,
        holdings: page.entries,
        dropped_records: page.dropped,
        disable_times,
    };
    if let Ok(environment) = Arc::try_unwrap(environment) {
        environment.shut_down().await;
    }
    Ok(record)
}

async fn submit_all(
    environment: &Arc<TrialEnvironment>,
    jobs: Vec<PlannedJob>,
    load_start: Instant,
    seed: u64,
) -> Vec<TrialJob> {
    let calls = jobs.into_iter().enumerate().map(|(number, plan)| {
        let environment = environment.clone();
        tokio::spawn(async move { submit_job(&environment, plan, number, load_start, seed).await })
    });
    let calls: Vec<_> = calls.collect();
    futures::future::join_all(calls).await.into_iter().flatten().collect()
}

async fn submit_job(
    environment: &TrialEnvironment,
    plan: PlannedJob,
    number: usize,
    load_start: Instant,
    seed: u64,
) -> TrialJob {
    tokio::time::sleep_until(load_start + plan.arrival).await;
    let mut spec = plan.spec.clone();
    // A repeated submission must not create a second job.
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
        // A job that ended before is not cancelled, which the record shows.
        let _ = environment.client.cancel(number, &spec.customer, id, SUBMIT_TIMEOUT).await;
    }
    TrialJob { plan, id, submitted_ms, answered_ms, refusal, record: None }
}

async fn disable_domain(
    environment: &TrialEnvironment,
    plan: &TrialPlan,
    disable: &DisablePlan,
    load_start: Instant,
) -> Result<DisableTimes, String> {
    let domain = plan.disabled_domain(&environment.domains);
    let domain_index =
        environment.domains.iter().position(|name| *name == domain).unwrap_or_default();
    // Operators reach the process of another domain.
    let other_process = domain_index + 1;
    let at = load_start + disable.offset;
    if disable.fault == DisableFault::DomainCut {
        tokio::time::sleep_until(at - PARTITION_LEAD_TIME).await;
        environment.set_store_partition(&domain, true);
    }
    tokio::time::sleep_until(at).await;
    let requested_ms = environment.fleet.now_ms();
    let to_error = |what: &str, reason: String| format!("{domain} is not {what}: {reason}");
    let change = environment
        .client
        .set_domain_disabled(other_process, &domain, true, DOMAIN_CHANGE_TIMEOUT)
        .await;
    let change = change.map_err(|error| to_error("taken out", error.reason))?;
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
    let ((), enable) = tokio::join!(outage, enable);
    let enable = enable.map_err(|error| to_error("brought back", error.reason))?;
    let returned_ms = environment.fleet.now_ms();
    let steps = change.steps.into_iter().chain(enable.steps).collect();
    Ok(DisableTimes { domain, requested_ms, accepted_ms, returned_ms, steps })
}

/// Waits until no job is left in the store.
async fn wait_drained(environment: &TrialEnvironment, timeout: Duration) {
    let start = Instant::now();
    while start.elapsed() < timeout {
        match environment.store.list(keys::JOBS).await {
            Ok(entries) if entries.is_empty() => return,
            _ => tokio::time::sleep(Duration::from_millis(100)).await,
        }
    }
}

async fn read_history(environment: &TrialEnvironment) -> Vec<JobRecord> {
    let pages = environment.store.list("history/").await.unwrap_or_default();
    let pages = pages.iter().filter_map(|page| {
        serde_json::from_str::<HistoryPage>(&page.value).ok().map(|page| page.jobs)
    });
    pages.flatten().collect()
}
