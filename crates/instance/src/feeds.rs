//! Feeds the scheduler of one leadership: accepted jobs, workers, settings and the passing of time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use lacewingrail_fleet::{FleetEvent, JobKey, JobProgress, JobSubmission};
use lacewingrail_model::clock::unix_millis;
use lacewingrail_model::store::{StoreError, StoreEvent};
use tokio::task::JoinSet;

use crate::leadership::WATCH_WAIT;
use crate::process::InstanceContext;
use crate::records::{
    INPUT_PREFIX, InputKey, PROGRESS_PREFIX, ROSTER_KEY, parse_input, parse_progress,
};
use crate::schedule_controller::{Loaded, PlanNow, ScheduleSender};

/// Time between readings of the list of workers; two fit into the shortest time within which a
/// leaving worker must get no more work.
const WORKER_PERIOD: Duration = Duration::from_millis(700);
/// Time between planning passes when nothing happens.
const PLAN_PERIOD: Duration = Duration::from_millis(100);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Largest age that is believed of a submission; wall clocks may differ.
const LARGEST_AGE: Duration = Duration::from_secs(60);

/// Starts all feeds.
pub fn spawn(tasks: &mut JoinSet<()>, context: &Arc<InstanceContext>, schedule: &ScheduleSender) {
    tasks.spawn(feed_inputs(context.clone(), schedule.clone()));
    tasks.spawn(feed_workers(context.clone(), schedule.clone()));
    tasks.spawn(feed_operators(context.clone(), schedule.clone()));
    tasks.spawn(feed_time(context.clone(), schedule.clone()));
}

async fn feed_time(context: Arc<InstanceContext>, schedule: ScheduleSender) {
    let mut ticks = context.timer.subscribe(PLAN_PERIOD);
    loop {
        ticks.tick().await;
        if schedule.0.tell(PlanNow).await.is_err() {
            return;
        }
    }
}

async fn feed_operators(context: Arc<InstanceContext>, schedule: ScheduleSender) {
    let mut operators = context.operators.clone();
    loop {
        let state = operators.borrow_and_update().clone();
        if let Some(tree) = &state.tree {
            let config = Arc::new(tree.fleet_config());
            schedule.tell(FleetEvent::ConfigChanged(config)).await;
        }
        schedule.tell(FleetEvent::DomainsOut(state.domains_out)).await;
        if operators.changed().await.is_err() {
            return;
        }
    }
}

async fn feed_workers(context: Arc<InstanceContext>, schedule: ScheduleSender) {
    let mut ticks = context.timer.subscribe(WORKER_PERIOD);
    let mut reached = true;
    loop {
        ticks.tick().await;
        let list = context.directory.workers().await;
        if reached != list.is_ok() {
            reached = list.is_ok();
            log::info!(reached = reached; "list of workers lost or regained");
        }
        if let Ok(listings) = list {
            schedule.tell(FleetEvent::WorkersListed(listings)).await;
        }
    }
}

async fn feed_inputs(context: Arc<InstanceContext>, schedule: ScheduleSender) {
    let mut revision = loop {
        match load(&context, &schedule).await {
            Ok(revision) => break revision,
            Err(error) => {
                log::warn!(error = error.to_string(); "accepted jobs not readable");
                context.timer.wait(RETRY_PAUSE).await;
            }
        }
    };
    loop {
        match context.store.watch(INPUT_PREFIX, revision, WATCH_WAIT).await {
            Ok(batch) => {
                revision = batch.revision;
                for event in batch.events {
                    feed_input(&schedule, event, &BTreeMap::new()).await;
                }
            }
            Err(error) => {
                log::debug!(error = error.to_string(); "accepted jobs not readable");
                context.timer.wait(RETRY_PAUSE).await;
            }
        }
    }
}

/// Reads everything that was accepted before this leadership.
async fn load(context: &InstanceContext, schedule: &ScheduleSender) -> Result<u64, StoreError> {
    let batch = context.store.watch(INPUT_PREFIX, 0, Duration::ZERO).await?;
    let mut progress: BTreeMap<JobKey, JobProgress> = BTreeMap::new();
    for entry in context.store.list(PROGRESS_PREFIX).await? {
        match (parse_progress(&entry.key), serde_json::from_str(&entry.value)) {
            (Some(job), Ok(stored)) => {
                progress.insert(job, stored);
            }
            _ => log::error!(key = entry.key, revision = entry.revision; "progress malformed"),
        }
    }
    if let Some(entry) = context.store.get(ROSTER_KEY).await? {
        match serde_json::from_str(&entry.value) {
            Ok(workers) => schedule.tell(FleetEvent::RosterLoaded(workers)).await,
            Err(error) => log::error!(error = error.to_string(); "list of workers malformed"),
        }
    }
    log::info!(
        inputs = batch.events.len(), progress = progress.len(), revision = batch.revision;
        "accepted jobs loaded"
    );
    for event in batch.events {
        feed_input(schedule, event, &progress).await;
    }
    // The scheduler ends with its leadership; then nobody waits for this.
    let _ = schedule.0.tell(Loaded).await;
    Ok(batch.revision)
}

async fn feed_input(
    schedule: &ScheduleSender,
    event: StoreEvent,
    progress: &BTreeMap<JobKey, JobProgress>,
) {
    let (Some(key), Some(value)) = (parse_input(&event.key), event.value) else {
        return;
    };
    match key {
        InputKey::Cancel(job) => schedule.tell(FleetEvent::JobCancelled(job)).await,
        InputKey::Job(job) => match serde_json::from_str::<JobSubmission>(&value) {
            Ok(submission) => {
                let progress = progress.get(&job).cloned();
                schedule.tell(accepted(submission, progress)).await;
            }
            Err(error) => {
                log::error!(
                    job = format!("{job:016x}"), revision = event.revision, error = error.to_string();
                    "submission malformed"
                );
            }
        },
    }
}

/// Returns the event of an accepted job.
pub fn accepted(submission: JobSubmission, progress: Option<JobProgress>) -> FleetEvent {
    let age_ms = unix_millis().saturating_sub(submission.accepted_unix_ms);
    let age = Duration::from_millis(age_ms).min(LARGEST_AGE);
    FleetEvent::JobAccepted { submission: Arc::new(submission), progress, age }
}
