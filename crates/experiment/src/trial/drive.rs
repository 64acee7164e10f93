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
use crate::trial::faults::{CUT_BEFORE, OUTAGE, OUTAGE_AFTER, OutFault, OutPlan, OutTimes};
use crate::trial::site::TrialSite;
use crate::trial::workload::{self, PlannedJob};

/// Longest time for which a submission is repeated.
const SUBMIT_LIMIT: Duration = Duration::from_secs(40);
/// Longest time after the load until the jobs have ended.
const DRAIN_LIMIT: Duration = Duration::from_secs(60);
/// Longest time until a domain is out or back.
const OUT_LIMIT: Duration = Duration::from_secs(60);

/// Holds what one run showed; times are in the fleet's clock.
pub struct TrialRecord {
    /// Configuration.
    pub view: ConfigView,
    /// Workers.
    pub workers: Vec<WorkerSpec>,
    /// Worker on which every start fails.
    pub failing: String,
    /// Start and end of the load.
    pub load_ms: (u64, u64),
    /// End of the run.
    pub end_ms: u64,
    /// Jobs, with those that ran alone before the load.
    pub jobs: Vec<TrialJob>,
    /// Records of all workers.
    pub holdings: Vec<HoldingRecord>,
    /// Records that the workers dropped; the verdicts need 0.
    pub dropped: u64,
    /// Take-out, if any.
    pub out: Option<OutTimes>,
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
    let site = Arc::new(TrialSite::start(plan).await?);
    let alone = workload::alone_jobs(&site.view);
    let mut jobs = submit_all(&site, alone, Instant::now(), plan.seed).await;
    wait_drained(&site, Duration::from_secs(20)).await;
    let accelerators = site.fleet.specs().iter().map(|spec| spec.accelerators).sum();
    let planned = workload::plan_jobs(&site.view, accelerators, plan.load, plan.seed);
    let begun = Instant::now();
    let load_ms = site.fleet.now_ms();
    let out = async {
        match &plan.out {
            Some(out) => take_out(&site, plan, out, begun).await.map(Some),
            None => Ok(None),
        }
    };
    let (submitted, out) = tokio::join!(submit_all(&site, planned, begun, plan.seed), out);
    jobs.extend(submitted);
    let out = out?;
    tokio::time::sleep_until(begun + plan.load).await;
    wait_drained(&site, DRAIN_LIMIT).await;
    let mut records = read_history(&site).await;
    for job in &mut jobs {
        job.record = job.id.as_ref().and_then(|id| {
            records.iter().position(|record| record.id == *id).map(|at| records.swap_remove(at))
        });
    }
    let page = site.fleet.journal();
    let end_ms = site.fleet.now_ms();
    let record = TrialRecord {
        view: site.view.clone(),
        workers: site.fleet.specs(),
        failing: site.failing.clone(),
        load_ms: (load_ms, load_ms + millis(plan.load)),
        end_ms,
        jobs,
        holdings: page.entries,
        dropped: page.dropped,
        out,
    };
    if let Ok(site) = Arc::try_unwrap(site) {
        site.shut_down().await;
    }
    Ok(record)
}

async fn submit_all(
    site: &Arc<TrialSite>,
    jobs: Vec<PlannedJob>,
    begun: Instant,
    seed: u64,
) -> Vec<TrialJob> {
    let calls = jobs.into_iter().enumerate().map(|(number, plan)| {
        let site = site.clone();
        tokio::spawn(async move { submit(&site, plan, number, begun, seed).await })
    });
    let calls: Vec<_> = calls.collect();
    futures::future::join_all(calls).await.into_iter().flatten().collect()
}

async fn submit(
    site: &TrialSite,
    plan: PlannedJob,
    number: usize,
    begun: Instant,
    seed: u64,
) -> TrialJob {
    tokio::time::sleep_until(begun + plan.at).await;
    let mut spec = plan.spec.clone();
    // A repeated submission must not create a second job.
    spec.idempotency_key = Some(format!("experiment-{seed}-{:?}-{number}", plan.kind));
    let submitted_ms = site.fleet.now_ms();
    let outcome = site.client.submit(number, &spec, SUBMIT_LIMIT).await;
    let answered_ms = site.fleet.now_ms();
    let (id, refusal) = match outcome {
        Ok(record) => (Some(record.id), None),
        Err(refusal) => (None, Some((refusal.status, refusal.reason))),
    };
    if let (Some(id), Some(at)) = (&id, plan.cancel_at) {
        tokio::time::sleep_until(begun + at).await;
        // A job that ended before is not cancelled, which the record shows.
        let _ = site.client.cancel(number, &spec.customer, id, SUBMIT_LIMIT).await;
    }
    TrialJob { plan, id, submitted_ms, answered_ms, refusal, record: None }
}

async fn take_out(
    site: &TrialSite,
    plan: &TrialPlan,
    out: &OutPlan,
    begun: Instant,
) -> Result<OutTimes, String> {
    let domain = plan.out_domain(&site.domains);
    let own = site.domains.iter().position(|name| *name == domain).unwrap_or_default();
    // Operators reach the process of another domain.
    let other = own + 1;
    let at = begun + out.at;
    if out.fault == OutFault::DomainCut {
        tokio::time::sleep_until(at - CUT_BEFORE).await;
        site.set_cut(&domain, true);
    }
    tokio::time::sleep_until(at).await;
    let requested_ms = site.fleet.now_ms();
    let fail = |what: &str, reason: String| format!("{domain} is not {what}: {reason}");
    let change = site.client.set_out(other, &domain, true, OUT_LIMIT).await;
    let change = change.map_err(|refusal| fail("taken out", refusal.reason))?;
    let accepted_ms = site.fleet.now_ms();
    let outage = async {
        if out.fault == OutFault::StoreOutage {
            tokio::time::sleep(OUTAGE_AFTER).await;
            site.store.set_faults(StoreFaults::outage());
            tokio::time::sleep(OUTAGE).await;
            site.store.set_faults(StoreFaults::default());
        }
    };
    let back = async {
        tokio::time::sleep_until(at + out.length).await;
        site.set_cut(&domain, false);
        site.client.set_out(other, &domain, false, OUT_LIMIT).await
    };
    let ((), back) = tokio::join!(outage, back);
    let back = back.map_err(|refusal| fail("brought back", refusal.reason))?;
    let returned_ms = site.fleet.now_ms();
    let steps = change.steps.into_iter().chain(back.steps).collect();
    Ok(OutTimes { domain, requested_ms, accepted_ms, returned_ms, steps })
}

/// Waits until no job is left in the store.
async fn wait_drained(site: &TrialSite, limit: Duration) {
    let begun = Instant::now();
    while begun.elapsed() < limit {
        match site.store.list(keys::JOBS).await {
            Ok(entries) if entries.is_empty() => return,
            _ => tokio::time::sleep(Duration::from_millis(100)).await,
        }
    }
}

async fn read_history(site: &TrialSite) -> Vec<JobRecord> {
    let pages = site.store.list("history/").await.unwrap_or_default();
    let pages = pages.iter().filter_map(|page| {
        serde_json::from_str::<HistoryPage>(&page.value).ok().map(|page| page.jobs)
    });
    pages.flatten().collect()
}
