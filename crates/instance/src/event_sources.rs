//! Tasks that send events to the active scheduler: accepted jobs and cancellations, the list of
//! workers, the operators' settings and periodic planning ticks.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use lacewingrail_fleet::{FleetEvent, JobKey, JobProgress, JobSubmission};
use lacewingrail_model::clock::unix_millis;
use lacewingrail_model::store::{StoreError, StoreEvent};
use tokio::task::JoinSet;

use crate::leadership::WATCH_TIMEOUT;
use crate::process::InstanceContext;
use crate::records::{
    INPUT_PREFIX, InputKey, PROGRESS_PREFIX, ROSTER_KEY, parse_input_key, parse_progress_key,
};
use crate::schedule_controller::{InputsLoaded, PlanNow, SchedulerHandle};

/// Time between reads of the list of workers; two reads fit into the minimum notice after which a
/// draining worker must receive no more work.
const WORKER_POLL_INTERVAL: Duration = Duration::from_millis(700);
/// Time between planning passes without other events.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Delay before a failed read is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Upper bound on a submission's computed age, since the wall clocks of instances may differ.
const MAX_SUBMISSION_AGE: Duration = Duration::from_secs(60);

/// Spawns all event sources into `tasks`.
pub fn spawn(tasks: &mut JoinSet<()>, context: &Arc<InstanceContext>, scheduler: &SchedulerHandle) {
    tasks.spawn(watch_inputs(context.clone(), scheduler.clone()));
    tasks.spawn(poll_workers(context.clone(), scheduler.clone()));
    tasks.spawn(forward_operator_state(context.clone(), scheduler.clone()));
    tasks.spawn(tick_planner(context.clone(), scheduler.clone()));
}

async fn tick_planner(context: Arc<InstanceContext>, scheduler: SchedulerHandle) {
    let mut ticks = context.timer.subscribe(PLAN_INTERVAL);
    loop {
        ticks.tick().await;
        if scheduler.0.tell(PlanNow).await.is_err() {
            return;
        }
    }
}

async fn forward_operator_state(context: Arc<InstanceContext>, scheduler: SchedulerHandle) {
    let mut operator_state = context.operator_state.clone();
    loop {
        let state = operator_state.borrow_and_update().clone();
        if let Some(tree) = &state.tree {
            let config = Arc::new(tree.fleet_config());
            scheduler.tell(FleetEvent::ConfigChanged(config)).await;
        }
        scheduler.tell(FleetEvent::DomainsDisabled(state.disabled_domains)).await;
        if operator_state.changed().await.is_err() {
            return;
        }
    }
}

async fn poll_workers(context: Arc<InstanceContext>, scheduler: SchedulerHandle) {
    let mut ticks = context.timer.subscribe(WORKER_POLL_INTERVAL);
    let mut reached = true;
    loop {
        ticks.tick().await;
        let listed = context.directory.list_workers().await;
        if reached != listed.is_ok() {
            reached = listed.is_ok();
            log::info!(reached = reached; "list of workers lost or regained");
        }
        if let Ok(workers) = listed {
            scheduler.tell(FleetEvent::WorkersListed(workers)).await;
        }
    }
}

async fn watch_inputs(context: Arc<InstanceContext>, scheduler: SchedulerHandle) {
    let mut revision = loop {
        match load_inputs(&context, &scheduler).await {
            Ok(revision) => break revision,
            Err(error) => {
                log::warn!(error = error.to_string(); "cannot read accepted jobs; retrying");
                context.timer.wait(RETRY_DELAY).await;
            }
        }
    };
    loop {
        match context.store.watch(INPUT_PREFIX, revision, WATCH_TIMEOUT).await {
            Ok(batch) => {
                revision = batch.revision;
                let listed = batch.reset.then(|| listed_jobs(&batch.events));
                for event in batch.events {
                    send_input(&scheduler, event, &BTreeMap::new()).await;
                }
                if let Some(jobs) = listed {
                    log::info!(jobs = jobs.len(), revision = revision; "accepted jobs read anew");
                    scheduler.tell(FleetEvent::JobsListed(jobs)).await;
                }
            }
            Err(error) => {
                log::debug!(error = error.to_string(); "cannot read accepted jobs; retrying");
                context.timer.wait(RETRY_DELAY).await;
            }
        }
    }
}

/// Sends what earlier schedulers accepted and stored; returns the revision to watch from.
async fn load_inputs(
    context: &InstanceContext,
    scheduler: &SchedulerHandle,
) -> Result<u64, StoreError> {
    let batch = context.store.watch(INPUT_PREFIX, 0, Duration::ZERO).await?;
    let mut progress: BTreeMap<JobKey, JobProgress> = BTreeMap::new();
    for entry in context.store.list(PROGRESS_PREFIX).await? {
        match (parse_progress_key(&entry.key), serde_json::from_str(&entry.value)) {
            (Some(job), Ok(stored)) => {
                progress.insert(job, stored);
            }
            _ => log::error!(key = entry.key, revision = entry.revision; "malformed progress"),
        }
    }
    if let Some(entry) = context.store.get(ROSTER_KEY).await? {
        match serde_json::from_str(&entry.value) {
            Ok(workers) => scheduler.tell(FleetEvent::RosterLoaded(workers)).await,
            Err(error) => log::error!(error = error.to_string(); "malformed worker roster"),
        }
    }
    log::info!(
        inputs = batch.events.len(), progress = progress.len(), revision = batch.revision;
        "accepted jobs loaded"
    );
    for event in batch.events {
        send_input(scheduler, event, &progress).await;
    }
    // Fails only if the scheduler has ended, which makes the message obsolete.
    let _ = scheduler.0.tell(InputsLoaded).await;
    Ok(batch.revision)
}

/// Returns the jobs whose submissions a list of all inputs contains.
fn listed_jobs(events: &[StoreEvent]) -> BTreeSet<JobKey> {
    let keys = events.iter().filter_map(|event| parse_input_key(&event.key));
    let job = |key| if let InputKey::Job(job) = key { Some(job) } else { None };
    keys.filter_map(job).collect()
}

async fn send_input(
    scheduler: &SchedulerHandle,
    event: StoreEvent,
    progress: &BTreeMap<JobKey, JobProgress>,
) {
    let Some(key) = parse_input_key(&event.key) else {
        return;
    };
    match (key, event.value) {
        (InputKey::Cancel(_), None) => {}
        (InputKey::Cancel(job), Some(_)) => scheduler.tell(FleetEvent::JobCancelled(job)).await,
        (InputKey::Job(job), None) => scheduler.tell(FleetEvent::JobDeleted(job)).await,
        (InputKey::Job(job), Some(value)) => match serde_json::from_str::<JobSubmission>(&value) {
            Ok(submission) => {
                let progress = progress.get(&job).cloned();
                scheduler.tell(job_accepted(submission, progress)).await;
            }
            Err(error) => {
                log::error!(
                    job = format!("{job:016x}"), revision = event.revision, error = error.to_string();
                    "malformed submission"
                );
            }
        },
    }
}

/// Builds the event of an accepted job, with its age by this instance's wall clock.
pub fn job_accepted(submission: JobSubmission, progress: Option<JobProgress>) -> FleetEvent {
    let age_ms = unix_millis().saturating_sub(submission.accepted_unix_ms);
    let age = Duration::from_millis(age_ms).min(MAX_SUBMISSION_AGE);
    FleetEvent::JobAccepted { submission: Arc::new(submission), progress, age }
}
