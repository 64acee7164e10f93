//! The command `doctor`, which checks settings, servers, the key-value service, workers and clocks.

use lacewingrail_model::admin::StatusReport;
use lacewingrail_model::clock::unix_millis;
use lacewingrail_settings::{ProcessSettings, parse};
use pico_args::Arguments;
use serde::Serialize;

use crate::client::{ApiCall, ApiClient, CallOutcome};
use crate::error::CtlError;
use crate::options::read_file;
use crate::table::{Printer, replace_control_chars_in_lines};
use crate::{EXIT_OK, EXIT_REFUSED, EXIT_UNREACHABLE, expect_no_more_args};

/// Maximum difference between two wall clocks, in milliseconds; above it, the times in records are
/// misleading.
const MAX_CLOCK_SKEW_MS: u64 = 2_000;

/// Result of one check.
#[derive(Clone, Debug, Serialize)]
struct CheckResult {
    /// Server, file or part of the system that was checked.
    subject: String,
    ok: bool,
    /// Fault and remedy if the check failed, or else what was found.
    text: String,
}

#[derive(Default)]
struct CheckList {
    results: Vec<CheckResult>,
}

impl CheckList {
    fn add(&mut self, subject: &str, ok: bool, text: impl Into<String>) {
        self.results.push(CheckResult { subject: subject.to_owned(), ok, text: text.into() });
    }
}

pub(crate) async fn run(
    mut args: Arguments,
    client: &ApiClient,
    printer: &mut Printer<'_>,
) -> Result<u8, CtlError> {
    let trees: Vec<String> = args.values_from_str("--tree")?;
    let processes: Vec<String> = args.values_from_str("--process")?;
    expect_no_more_args(args)?;
    let mut list = CheckList::default();
    for file in &trees {
        match parse(&read_file(file)?, file) {
            Ok(_) => list.add(file, true, "the settings tree is valid"),
            Err(errors) => list.add(file, false, errors.to_string()),
        }
    }
    for file in &processes {
        match ProcessSettings::load(std::path::Path::new(file)) {
            Ok(_) => list.add(file, true, "the settings of the process are valid"),
            Err(errors) => list.add(file, false, errors.to_string()),
        }
    }
    let servers = match client.servers() {
        Ok(servers) => servers,
        // Local files are checked without a server.
        Err(_) if !list.results.is_empty() => &[],
        Err(error) => return Err(error),
    };
    let mut latest_report: Option<StatusReport> = None;
    for server in servers {
        let Some(report) = check_server(server, client, &mut list).await else { continue };
        if latest_report.as_ref().is_none_or(|latest| latest.config_version < report.config_version)
        {
            latest_report = Some(report);
        }
    }
    if let Some(report) = &latest_report {
        check_system(report, &mut list);
    }
    printer.print(&list.results, |results| {
        let lines = results.iter().map(|result| {
            format!(
                "{}  {}: {}\n",
                if result.ok { "ok  " } else { "FAIL" },
                result.subject,
                result.text
            )
        });
        replace_control_chars_in_lines(&lines.collect::<String>())
    });
    let failed = list.results.iter().any(|result| !result.ok);
    Ok(match (&latest_report, failed) {
        (None, _) if !servers.is_empty() => EXIT_UNREACHABLE,
        (_, true) => EXIT_REFUSED,
        (_, false) => EXIT_OK,
    })
}

/// Checks one server and returns its status report if it sent one.
async fn check_server(
    server: &str,
    client: &ApiClient,
    list: &mut CheckList,
) -> Option<StatusReport> {
    let sent_at = unix_millis();
    let outcome = client.call_server(server, &ApiCall::get(&["v1", "status"])).await;
    let received_at = unix_millis();
    let report: StatusReport = match outcome {
        CallOutcome::Answered(report) => report,
        CallOutcome::Refused(error) => {
            list.add(server, false, error.to_string());
            return None;
        }
        CallOutcome::NotProcessed(cause) | CallOutcome::Unknown(cause) => {
            list.add(server, false, cause);
            return None;
        }
    };
    match &report.not_ready {
        None => list.add(server, true, "the server is ready"),
        Some(reason) => list.add(server, false, format!("the server is not ready: {reason}")),
    }
    match &report.store_error {
        None if report.stored_version == 0 => {
            list.add(server, false, "there is no settings tree; write one with `config init`");
        }
        None => list.add(server, true, "the key-value service answers"),
        Some(error) => {
            list.add(server, false, format!("{error}; check the key-value service"));
        }
    }
    if report.store_error.is_none() && report.config_version < report.stored_version {
        let text = format!(
            "the server follows version {} and version {} is stored; if this lasts for over 10 s, \
             read the server's log",
            report.config_version, report.stored_version
        );
        list.add(server, false, text);
    }
    // The server read its clock between the two local readings, so a time outside of them is skew.
    let skew = sent_at.saturating_sub(report.time).max(report.time.saturating_sub(received_at));
    if skew > MAX_CLOCK_SKEW_MS {
        let text = format!("its clock differs by {skew} ms; synchronise the clocks");
        list.add(server, false, text);
    } else {
        list.add(server, true, "its clock agrees");
    }
    Some(report)
}

/// Checks the failure domains, workers, guarantees and processes of a status report.
fn check_system(report: &StatusReport, list: &mut CheckList) {
    for domain in &report.domains {
        let subject = format!("domain {}", domain.domain);
        match (&domain.status, &domain.error) {
            (Some(status), _) if domain.out => {
                list.add(&subject, true, format!("out, {} gangs running", status.gangs_running));
            }
            (Some(status), _) => match &status.starts {
                None => list.add(&subject, true, "starts are permitted"),
                Some(reason) => list.add(&subject, false, format!("no starts: {reason}")),
            },
            (None, error) => {
                list.add(&subject, false, error.clone().unwrap_or_default());
            }
        }
    }
    let unhealthy: Vec<String> = report
        .workers
        .iter()
        .filter(|worker| worker.health != "healthy")
        .map(|worker| format!("{} is {}", worker.worker, worker.health))
        .collect();
    match unhealthy.as_slice() {
        [] => list.add("workers", true, format!("{} are healthy", report.workers.len())),
        unhealthy => list.add(
            "workers",
            false,
            format!("{}; check them or replace them", unhealthy.join(", ")),
        ),
    }
    for guarantee in &report.guarantees {
        if let Some(reason) = &guarantee.suspended {
            let subject = format!("guarantee of {} in {}", guarantee.customer, guarantee.domain);
            list.add(&subject, false, format!("{} is suspended: {reason}", guarantee.shape));
        }
    }
    for process in report.processes.iter().filter(|process| process.alive) {
        if process.config_version < report.config_version {
            let text = format!(
                "it follows version {} of {}; if this lasts for over 11 s, read its log",
                process.config_version, report.config_version
            );
            list.add(&format!("process {}", process.instance), false, text);
        }
    }
}
