//! Subcommands of `domain`, which list and change failure domains.

use std::time::Duration;

use lacewingrail_model::admin::{DomainChange, DomainReport};
use lacewingrail_model::timer::TimerService;
use pico_args::Arguments;

use crate::client::{ApiCall, ApiClient};
use crate::error::CtlError;
use crate::table::{Printer, render_table, replace_control_chars};
use crate::{EXIT_OK, expect_no_more_args, required_argument};

/// Time between two status requests while a domain is watched.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

pub(crate) async fn run(
    mut args: Arguments,
    client: &ApiClient,
    printer: &mut Printer<'_>,
) -> Result<u8, CtlError> {
    match args.subcommand()?.as_deref() {
        Some("list") => list(args, client, printer).await,
        Some(verb @ ("out" | "in")) => change(args, verb, client, printer).await,
        _ => Err(CtlError::usage("domain requires a subcommand: list, out or in")),
    }
}

async fn list(
    args: Arguments,
    client: &ApiClient,
    printer: &mut Printer<'_>,
) -> Result<u8, CtlError> {
    expect_no_more_args(args)?;
    let domains: Vec<DomainReport> = client.call(&ApiCall::get(&["v1", "domains"])).await?;
    printer.print(&domains, |domains| render(domains));
    Ok(EXIT_OK)
}

async fn change(
    mut args: Arguments,
    verb: &str,
    client: &ApiClient,
    printer: &mut Printer<'_>,
) -> Result<u8, CtlError> {
    let watch_requested = args.contains("--watch");
    let domain = required_argument(&mut args, "DOMAIN")?;
    expect_no_more_args(args)?;
    let call = ApiCall::post(&["v1", "domains", &domain, verb]);
    let change: DomainChange = client.call(&call).await?;
    printer.print(&change, |change| {
        let steps = change.steps.iter().map(|step| format!("{}: {step}\n", change.domain));
        crate::table::replace_control_chars_in_lines(&steps.collect::<String>())
    });
    if watch_requested {
        watch(&domain, change.out, client, printer).await?;
    }
    Ok(EXIT_OK)
}

/// Prints the progress of a change until it is complete: no gang runs after `domain out`, or starts
/// are permitted after `domain in`.
async fn watch(
    domain: &str,
    out: bool,
    client: &ApiClient,
    printer: &mut Printer<'_>,
) -> Result<(), CtlError> {
    let mut interval = TimerService::new().subscribe(POLL_INTERVAL);
    let mut last_line = String::new();
    loop {
        interval.tick().await;
        let domains: Vec<DomainReport> = client.call(&ApiCall::get(&["v1", "domains"])).await?;
        let Some(report) = domains.into_iter().find(|report| report.domain == domain) else {
            return Err(CtlError::refused(
                format!("failure domain \"{domain}\" is no longer in the settings"),
                "check the settings tree",
            ));
        };
        let (line, done) = match &report.status {
            None => (report.error.clone().unwrap_or_default(), false),
            Some(status) => {
                let starts = match &status.starts {
                    None => "starts permitted".to_owned(),
                    Some(reason) => format!("no starts: {reason}"),
                };
                let line = format!(
                    "{domain}: {} gangs running, {} jobs waiting, {starts}",
                    status.gangs_running, status.jobs_waiting
                );
                let is_applied = report.out == out && status.out == out;
                let done = if out { status.gangs_running == 0 } else { status.starts.is_none() };
                (line, is_applied && done)
            }
        };
        if line != last_line {
            printer.print(&report, |_| format!("{}\n", replace_control_chars(&line)));
            last_line = line;
        }
        if done {
            return Ok(());
        }
    }
}

pub(crate) fn render(domains: &[DomainReport]) -> String {
    let headers = [
        "DOMAIN",
        "REGION",
        "STATE",
        "WORKERS",
        "ACCELERATORS",
        "FREE",
        "GUARANTEED",
        "BORROWED",
        "RUNNING",
        "WAITING",
        "SCHEDULER",
    ];
    let rows: Vec<Vec<String>> = domains
        .iter()
        .map(|report| {
            let status = report.status.clone().unwrap_or_default();
            let state = match (&report.error, report.out, &status.starts) {
                (_, true, _) => format!("out since version {}", report.out_since),
                (Some(_), false, _) => "unknown".to_owned(),
                (None, false, Some(reason)) => format!("no starts: {reason}"),
                (None, false, None) => "in service".to_owned(),
            };
            vec![
                report.domain.clone(),
                report.region.clone(),
                state,
                format!("{}/{}", status.workers_healthy, status.workers),
                status.accelerators.to_string(),
                status.accelerators_free.to_string(),
                status.accelerators_guaranteed.to_string(),
                status.accelerators_borrowed.to_string(),
                status.gangs_running.to_string(),
                status.jobs_waiting.to_string(),
                status.scheduler,
            ]
        })
        .collect();
    let mut text = render_table(&headers, &rows);
    for error in domains.iter().filter_map(|report| report.error.as_ref()) {
        text.push_str(&replace_control_chars(error));
        text.push('\n');
    }
    text
}
