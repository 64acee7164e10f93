//! The commands `worker`, `guarantee` and `status`, which print reports.

use lacewingrail_model::admin::{
    GuaranteeStatus, Listing, ProcessStatus, StatusReport, WaitingJob, WorkerStatus,
};
use pico_args::Arguments;

use crate::client::{ApiCall, ApiClient};
use crate::error::CtlError;
use crate::table::{Printer, render_table, replace_control_chars};
use crate::{EXIT_OK, domain, expect_no_more_args};

pub(crate) async fn run_workers(
    mut args: Arguments,
    client: &ApiClient,
    printer: &mut Printer<'_>,
) -> Result<u8, CtlError> {
    expect_list_subcommand(&mut args, "worker")?;
    let domain_filter: Option<String> = args.opt_value_from_str("--domain")?;
    expect_no_more_args(args)?;
    let mut listing: Listing<WorkerStatus> = client.call(&ApiCall::get(&["v1", "workers"])).await?;
    listing
        .items
        .retain(|worker| domain_filter.as_ref().is_none_or(|domain| *domain == worker.domain));
    listing.errors.iter().for_each(|error| printer.print_note(error));
    printer.print(&listing, |listing| render_workers(&listing.items));
    Ok(EXIT_OK)
}

pub(crate) async fn run_guarantees(
    mut args: Arguments,
    client: &ApiClient,
    printer: &mut Printer<'_>,
) -> Result<u8, CtlError> {
    expect_list_subcommand(&mut args, "guarantee")?;
    expect_no_more_args(args)?;
    let listing: Listing<GuaranteeStatus> =
        client.call(&ApiCall::get(&["v1", "guarantees"])).await?;
    listing.errors.iter().for_each(|error| printer.print_note(error));
    printer.print(&listing, |listing| render_guarantees(&listing.items));
    Ok(EXIT_OK)
}

pub(crate) async fn run(
    args: Arguments,
    client: &ApiClient,
    printer: &mut Printer<'_>,
) -> Result<u8, CtlError> {
    expect_no_more_args(args)?;
    let report: StatusReport = client.call(&ApiCall::get(&["v1", "status"])).await?;
    printer.print(&report, render);
    Ok(EXIT_OK)
}

fn expect_list_subcommand(args: &mut Arguments, command: &str) -> Result<(), CtlError> {
    match args.subcommand()?.as_deref() {
        Some("list") => Ok(()),
        _ => Err(CtlError::usage(format!("{command} requires the subcommand list"))),
    }
}

fn render(report: &StatusReport) -> String {
    let mut text = format!(
        "{} follows settings version {} (stored: {})\n",
        replace_control_chars(&report.instance),
        report.config_version,
        report.stored_version
    );
    for warning in report.not_ready.iter().chain(&report.store_error).chain(&report.errors) {
        text.push_str(&format!("warning: {}\n", replace_control_chars(warning)));
    }
    text.push_str(&format!("\n{}", domain::render(&report.domains)));
    text.push_str(&format!("\n{}", render_guarantees(&report.guarantees)));
    text.push_str(&format!("\n{}", render_queue(&report.queue)));
    text.push_str(&format!("\n{}", render_processes(&report.processes)));
    text
}

fn render_workers(workers: &[WorkerStatus]) -> String {
    let rows: Vec<Vec<String>> = workers
        .iter()
        .map(|worker| {
            let held: u32 = worker.members.iter().map(|member| member.accelerators).sum();
            let holders: Vec<String> = worker
                .members
                .iter()
                .map(|member| {
                    let suffix = if member.borrowed { " (borrowed)" } else { "" };
                    format!("{} x {}{suffix}", member.accelerators, member.customer)
                })
                .collect();
            vec![
                worker.worker.clone(),
                worker.domain.clone(),
                worker.rack.clone(),
                worker.health.clone(),
                format!("{}/{}", worker.accelerators.saturating_sub(held), worker.accelerators),
                format!("{:.2}", worker.speed),
                holders.join(", "),
            ]
        })
        .collect();
    render_table(&["WORKER", "DOMAIN", "RACK", "HEALTH", "FREE", "SPEED", "HOLDERS"], &rows)
}

fn render_guarantees(guarantees: &[GuaranteeStatus]) -> String {
    let rows: Vec<Vec<String>> = guarantees
        .iter()
        .map(|guarantee| {
            vec![
                guarantee.customer.clone(),
                guarantee.domain.clone(),
                guarantee.shape.to_string(),
                guarantee.count.to_string(),
                guarantee.held.to_string(),
                guarantee.reclaimable.to_string(),
                guarantee.suspended.clone().unwrap_or_default(),
            ]
        })
        .collect();
    let headers = ["CUSTOMER", "DOMAIN", "SHAPE", "COUNT", "HELD", "RECLAIMABLE", "SUSPENDED"];
    render_table(&headers, &rows)
}

fn render_queue(queue: &[WaitingJob]) -> String {
    let rows: Vec<Vec<String>> = queue
        .iter()
        .map(|waiting| {
            vec![
                waiting.record.owner.clone(),
                waiting.position.to_string(),
                waiting.record.id.clone(),
                waiting.record.spec.customer.clone(),
                waiting.reason.clone(),
            ]
        })
        .collect();
    render_table(&["DOMAIN", "POSITION", "WAITING JOB", "CUSTOMER", "REASON"], &rows)
}

fn render_processes(processes: &[ProcessStatus]) -> String {
    let rows: Vec<Vec<String>> = processes
        .iter()
        .map(|process| {
            let state = match (process.alive, process.leaving) {
                (true, true) => "leaving",
                (true, false) => "alive",
                (false, _) => "not heard lately",
            };
            vec![
                process.instance.clone(),
                process.role.clone(),
                process.domain.clone(),
                process.address.clone(),
                process.config_version.to_string(),
                state.to_owned(),
            ]
        })
        .collect();
    render_table(&["PROCESS", "ROLE", "DOMAIN", "ADDRESS", "VERSION", "STATE"], &rows)
}
