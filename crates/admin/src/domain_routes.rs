//! Route handlers of failure domains, workers, guarantees and the system status.

use std::time::Duration;

use axum::Json;
use axum::extract::{Path, State};
use axum::http::HeaderMap;
use lacewingrail_model::DomainName;
use lacewingrail_model::admin::{
    DomainAnswer, DomainChange, DomainQuery, DomainReport, GuaranteeStatus, Listing, StatusReport,
    WaitingJob, WorkerStatus,
};
use lacewingrail_model::clock::unix_millis;
use lacewingrail_model::timer::TimerService;
use tokio::time::Instant;

use crate::access::Caller;
use crate::config_routes::read_author;
use crate::context::VetoOutcome;
use crate::error::RouteError;
use crate::{SharedState, domain_query, tree_writer};

/// Time after the write that takes a domain out of service. By then, every start permission issued
/// before the write has expired.
const VETO_TIMEOUT: Duration = Duration::from_secs(3);

/// Lists all failure domains with their state.
pub(crate) async fn list_domains(
    State(state): State<SharedState>,
    caller: Caller,
) -> Result<Json<Vec<DomainReport>>, RouteError> {
    caller.require_reader("the list of failure domains")?;
    Ok(Json(read_domains(&state).await))
}

/// Takes a failure domain out of service and responds once no task can start in it.
pub(crate) async fn take_out_of_service(
    State(state): State<SharedState>,
    caller: Caller,
    Path(domain): Path<DomainName>,
    headers: HeaderMap,
) -> Result<Json<DomainChange>, RouteError> {
    caller.require_operator("taking out a failure domain")?;
    let (version, changed) =
        tree_writer::set_out_of_service(&state, &domain, true, &read_author(&headers)).await?;
    let written_at = Instant::now();
    let mut steps = vec![describe_write(version, changed)];
    let remaining = VETO_TIMEOUT.saturating_sub(written_at.elapsed());
    let outcome = tokio::time::timeout(remaining, state.context.veto(&domain, version)).await;
    match outcome.unwrap_or(VetoOutcome::PermissionExpired) {
        VetoOutcome::ConfirmedBy(instance) => steps.push(format!("confirmed by {instance}")),
        VetoOutcome::PermissionExpired => {
            // The context may return before the timeout, while start permissions are still valid.
            let remaining = VETO_TIMEOUT.saturating_sub(written_at.elapsed());
            TimerService::new().wait(remaining).await;
            steps.push("permission expired".to_owned());
        }
    }
    log::info!("failure domain {domain} is out of service: {}", steps.join(", "));
    Ok(Json(DomainChange { domain, out: true, version, steps }))
}

/// Returns a failure domain to service.
pub(crate) async fn return_to_service(
    State(state): State<SharedState>,
    caller: Caller,
    Path(domain): Path<DomainName>,
    headers: HeaderMap,
) -> Result<Json<DomainChange>, RouteError> {
    caller.require_operator("bringing back a failure domain")?;
    let (version, changed) =
        tree_writer::set_out_of_service(&state, &domain, false, &read_author(&headers)).await?;
    log::info!("failure domain {domain} is back in service as of settings version {version}");
    let steps = vec![describe_write(version, changed)];
    Ok(Json(DomainChange { domain, out: false, version, steps }))
}

/// Lists workers with the gang members that run on them.
pub(crate) async fn list_workers(
    State(state): State<SharedState>,
    caller: Caller,
) -> Result<Json<Listing<WorkerStatus>>, RouteError> {
    caller.require_reader("the list of workers")?;
    Ok(Json(read_workers(&state).await))
}

/// Lists guarantees; customers receive only their own.
pub(crate) async fn list_guarantees(
    State(state): State<SharedState>,
    caller: Caller,
) -> Result<Json<Listing<GuaranteeStatus>>, RouteError> {
    let mut listing = read_guarantees(&state).await;
    listing.items.retain(|guarantee| caller.can_view(&guarantee.customer));
    Ok(Json(listing))
}

/// Returns the status of the whole system.
pub(crate) async fn get_status(
    State(state): State<SharedState>,
    caller: Caller,
) -> Result<Json<StatusReport>, RouteError> {
    caller.require_reader("the status")?;
    Ok(Json(read_status(&state).await))
}

/// Collects the status of the whole system; the report lists each part that could not be read.
pub(crate) async fn read_status(state: &SharedState) -> StatusReport {
    let (stored, domains, workers, guarantees, queue) = tokio::join!(
        tree_writer::read(state),
        read_domains(state),
        read_workers(state),
        read_guarantees(state),
        read_queue(state),
    );
    let (stored_version, store_error) = match stored {
        Ok(current) => (current.version(), None),
        Err(error) => (0, Some(error.body().reason.clone())),
    };
    let mut errors: Vec<String> = [workers.errors, guarantees.errors, queue.errors].concat();
    errors.sort();
    errors.dedup();
    StatusReport {
        instance: state.context.instance(),
        time: unix_millis(),
        not_ready: state.context.not_ready_reason(),
        config_version: state.context.config().version,
        stored_version,
        store_error,
        domains,
        workers: workers.items,
        guarantees: guarantees.items,
        queue: queue.items,
        processes: state.context.processes(),
        errors,
    }
}

async fn read_domains(state: &SharedState) -> Vec<DomainReport> {
    let config = state.context.config();
    let answers =
        domain_query::query_domains(state, domain_query::all_domains(state), &DomainQuery::Status)
            .await;
    answers
        .into_iter()
        .filter_map(|(domain, answer)| {
            let settings = config.domains.get(&domain)?;
            let (status, error) = match answer {
                DomainAnswer::Status(status) => (Some(status), None),
                answer => (None, Some(domain_query::describe_error(&domain, answer))),
            };
            Some(DomainReport {
                region: settings.region.clone(),
                out: settings.out,
                out_since: settings.out_since,
                domain,
                status,
                error,
            })
        })
        .collect()
}

async fn read_workers(state: &SharedState) -> Listing<WorkerStatus> {
    collect_listing(state, DomainQuery::Workers, |answer| match answer {
        DomainAnswer::Workers(items) => Ok(items),
        answer => Err(Box::new(answer)),
    })
    .await
}

async fn read_guarantees(state: &SharedState) -> Listing<GuaranteeStatus> {
    collect_listing(state, DomainQuery::Guarantees, |answer| match answer {
        DomainAnswer::Guarantees(items) => Ok(items),
        answer => Err(Box::new(answer)),
    })
    .await
}

async fn read_queue(state: &SharedState) -> Listing<WaitingJob> {
    collect_listing(state, DomainQuery::Queue, |answer| match answer {
        DomainAnswer::Queue(items) => Ok(items),
        answer => Err(Box::new(answer)),
    })
    .await
}

/// Queries all failure domains and concatenates the items of their answers.
///
/// `extract_items` returns refusals and answers of another kind as errors, which the listing
/// reports with their domain.
async fn collect_listing<T, F>(
    state: &SharedState,
    query: DomainQuery,
    extract_items: F,
) -> Listing<T>
where
    F: Fn(DomainAnswer) -> Result<Vec<T>, Box<DomainAnswer>>,
{
    let mut listing = Listing { items: Vec::new(), errors: Vec::new() };
    for (domain, answer) in
        domain_query::query_domains(state, domain_query::all_domains(state), &query).await
    {
        match extract_items(answer) {
            Ok(items) => listing.items.extend(items),
            Err(answer) => listing.errors.push(domain_query::describe_error(&domain, *answer)),
        }
    }
    listing
}

/// Returns the step that the response reports for the write; `changed` is false if none was needed.
fn describe_write(version: u64, changed: bool) -> String {
    if changed {
        format!("written as version {version}")
    } else {
        format!("already so in version {version}")
    }
}
