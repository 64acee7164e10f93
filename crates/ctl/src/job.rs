//! Subcommands of `job`, which submit, list, explain, cancel and watch jobs.

use std::ffi::OsString;
use std::time::Duration;

use lacewingrail_model::admin::JobReason;
use lacewingrail_model::job::{JobRecord, JobSpec, JobState, WorkClass};
use lacewingrail_model::shape::{AdjacencyLevel, GangShape};
use lacewingrail_model::timer::TimerService;
use pico_args::Arguments;
use reqwest::Method;
use serde::de::DeserializeOwned;

use crate::client::{ApiCall, ApiClient};
use crate::error::CtlError;
use crate::options::{parse_duration, read_file};
use crate::table::{Printer, format_time, render_table, replace_control_chars};
use crate::{EXIT_OK, EXIT_REFUSED, expect_no_more_args, required_argument};

/// Time between two reads of the record of a watched job.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

pub(crate) async fn run(
    mut args: Arguments,
    command: Vec<OsString>,
    client: &ApiClient,
    printer: &mut Printer<'_>,
) -> Result<u8, CtlError> {
    let verb = args.subcommand()?.unwrap_or_default();
    if verb != "submit" && !command.is_empty() {
        return Err(CtlError::usage(
            "\"--\" is allowed only in \"job submit\", before the command of the job",
        ));
    }
    match verb.as_str() {
        "submit" => submit(args, command, client, printer).await,
        "list" => list(args, client, printer).await,
        "show" => show(args, client, printer).await,
        "cancel" => cancel(args, client, printer).await,
        "why" => why(args, client, printer).await,
        "watch" => watch(args, client, printer).await,
        _ => Err(CtlError::usage(
            "job requires a subcommand: submit, list, show, cancel, why or watch",
        )),
    }
}

async fn submit(
    mut args: Arguments,
    command: Vec<OsString>,
    client: &ApiClient,
    printer: &mut Printer<'_>,
) -> Result<u8, CtlError> {
    let key: Option<String> = args.opt_value_from_str("--key")?;
    let file: Option<String> = args.opt_value_from_str("--file")?;
    let mut spec = match file {
        Some(file) => read_spec(&file)?,
        None => parse_spec_args(&mut args)?,
    };
    expect_no_more_args(args)?;
    if !command.is_empty() {
        let words = command.iter().map(|word| word.to_string_lossy());
        spec.command = words.collect::<Vec<_>>().join(" ");
    }
    // With a key, the submission can be retried on the next server after a lost response.
    if key.is_some() || spec.idempotency_key.is_none() {
        spec.idempotency_key =
            Some(key.unwrap_or_else(|| format!("ctl-{:032x}", rand::random::<u128>())));
    }
    let body = serde_json::to_string(&spec)
        .map_err(|error| CtlError::usage(format!("the job cannot be encoded ({error})")))?;
    let record: JobRecord = client.call(&ApiCall::post(&["v1", "jobs"]).body(body)).await?;
    printer.print(&record, |record| format!("{}\n", replace_control_chars(&record.id)));
    Ok(EXIT_OK)
}

async fn list(
    mut args: Arguments,
    client: &ApiClient,
    printer: &mut Printer<'_>,
) -> Result<u8, CtlError> {
    let history = args.contains("--history");
    let mut call = ApiCall::get(&["v1", "jobs"]).query("history", history.then(|| "true".into()));
    for (option, name) in [
        ("--customer", "customer"),
        ("--domain", "domain"),
        ("--state", "state"),
        ("--class", "class"),
        ("--limit", "limit"),
    ] {
        call = call.query(name, args.opt_value_from_str(option)?);
    }
    expect_no_more_args(args)?;
    let records: Vec<JobRecord> = client.call(&call).await?;
    printer.print(&records, |records| {
        let rows: Vec<Vec<String>> = records
            .iter()
            .map(|record| {
                vec![
                    record.id.clone(),
                    record.spec.customer.clone(),
                    class_name(record.spec.class).to_owned(),
                    record.spec.shape.to_string(),
                    state_name(&record.state).to_owned(),
                    record.owner.clone(),
                    record.attempt.to_string(),
                    format_time(Some(record.submitted_at)),
                ]
            })
            .collect();
        let headers =
            ["JOB", "CUSTOMER", "CLASS", "SHAPE", "STATE", "DOMAIN", "ATTEMPT", "SUBMITTED"];
        render_table(&headers, &rows)
    });
    Ok(EXIT_OK)
}

async fn show(
    mut args: Arguments,
    client: &ApiClient,
    printer: &mut Printer<'_>,
) -> Result<u8, CtlError> {
    let id = required_argument(&mut args, "JOB")?;
    expect_no_more_args(args)?;
    let record = fetch_job(client, &id).await?;
    printer.print(&record, render_job);
    Ok(EXIT_OK)
}

async fn cancel(
    mut args: Arguments,
    client: &ApiClient,
    printer: &mut Printer<'_>,
) -> Result<u8, CtlError> {
    let id = required_argument(&mut args, "JOB")?;
    expect_no_more_args(args)?;
    let call = ApiCall::new(Method::DELETE, &["v1", "jobs", &id]);
    let record: JobRecord = client.call(&call).await?;
    printer
        .print(&record, |record| format!("{} is cancelled\n", replace_control_chars(&record.id)));
    Ok(EXIT_OK)
}

async fn why(
    mut args: Arguments,
    client: &ApiClient,
    printer: &mut Printer<'_>,
) -> Result<u8, CtlError> {
    let id = required_argument(&mut args, "JOB")?;
    expect_no_more_args(args)?;
    let reason: JobReason = client.call(&ApiCall::get(&["v1", "jobs", &id, "why"])).await?;
    printer.print(&reason, |reason| format!("{}\n", replace_control_chars(&reason.reason)));
    Ok(EXIT_OK)
}

/// Prints each change of a job until it ends. The exit code is 1 if it failed or was cancelled.
async fn watch(
    mut args: Arguments,
    client: &ApiClient,
    printer: &mut Printer<'_>,
) -> Result<u8, CtlError> {
    let id = required_argument(&mut args, "JOB")?;
    expect_no_more_args(args)?;
    let mut interval = TimerService::new().subscribe(POLL_INTERVAL);
    let mut last_line = String::new();
    loop {
        interval.tick().await;
        let record = fetch_job(client, &id).await?;
        let reason = match record.state {
            JobState::Queued => {
                let call = ApiCall::get(&["v1", "jobs", &id, "why"]);
                client.call::<JobReason>(&call).await.map(|reason| reason.reason)
            }
            _ => Ok(String::new()),
        };
        let reason = reason.unwrap_or_default();
        let line = format!(
            "{} in {}, attempt {}{}",
            state_name(&record.state),
            record.owner,
            record.attempt,
            if reason.is_empty() { reason } else { format!(": {reason}") }
        );
        if line != last_line {
            printer.print(&record, |_| format!("{}\n", replace_control_chars(&line)));
            last_line = line;
        }
        match &record.state {
            JobState::Finished => return Ok(EXIT_OK),
            JobState::Failed { reason } => {
                printer.print_note(&format!("the job failed: {reason}"));
                return Ok(EXIT_REFUSED);
            }
            JobState::Cancelled => return Ok(EXIT_REFUSED),
            JobState::Queued | JobState::Running => {}
        }
    }
}

async fn fetch_job(client: &ApiClient, id: &str) -> Result<JobRecord, CtlError> {
    client.call(&ApiCall::get(&["v1", "jobs", id])).await
}

fn read_spec(file: &str) -> Result<JobSpec, CtlError> {
    serde_norway::from_str(&read_file(file)?).map_err(|error| {
        CtlError::refused(
            format!("{file} is not a job ({error})"),
            "write customer, shape, class and declared_ms as YAML or JSON",
        )
    })
}

fn parse_spec_args(args: &mut Arguments) -> Result<JobSpec, CtlError> {
    let declared = args.opt_value_from_fn("--declared", parse_duration)?;
    let declared = declared.unwrap_or(Duration::from_secs(3_600)).as_millis();
    let adjacency = args.opt_value_from_fn("--adjacency", parse_enum_name::<AdjacencyLevel>)?;
    let shape = GangShape {
        members: args.opt_value_from_str("--members")?.unwrap_or(1),
        accelerators: args.opt_value_from_str("--accelerators")?.unwrap_or(1),
        adjacency: adjacency.unwrap_or(AdjacencyLevel::Rack),
    };
    let class = args.opt_value_from_fn("--class", parse_enum_name::<WorkClass>)?;
    let customer = args.opt_value_from_str("--customer")?;
    Ok(JobSpec {
        customer: customer.ok_or_else(|| CtlError::usage("--customer is missing"))?,
        shape,
        class: class.unwrap_or(WorkClass::Normal),
        declared_ms: u64::try_from(declared).unwrap_or(u64::MAX),
        cores: args.opt_value_from_str("--cores")?.unwrap_or(0),
        memory_mb: args.opt_value_from_str("--memory-mb")?.unwrap_or(0),
        checkpointable: args.contains("--checkpointable"),
        domains: args.values_from_str("--domain")?,
        command: String::new(),
        idempotency_key: None,
    })
}

/// Parses the name of an enum value in the spelling that the API uses.
fn parse_enum_name<T>(text: &str) -> Result<T, String>
where
    T: DeserializeOwned,
{
    serde_json::from_value(serde_json::Value::from(text)).map_err(|error| error.to_string())
}

fn render_job(record: &JobRecord) -> String {
    let mut rows = vec![
        ("job", record.id.clone()),
        ("customer", record.spec.customer.clone()),
        ("class", class_name(record.spec.class).to_owned()),
        ("shape", record.spec.shape.to_string()),
        ("state", state_name(&record.state).to_owned()),
        ("domain", record.owner.clone()),
        ("attempt", record.attempt.to_string()),
        ("preemptions", record.preemptions.to_string()),
        ("checkpoint", format!("{} ms of work", record.checkpoint_ms)),
        ("submitted", format_time(Some(record.submitted_at))),
        ("started", format_time(record.started_at)),
        ("ended", format_time(record.ended_at)),
        ("command", record.spec.command.clone()),
    ];
    if let JobState::Failed { reason } = &record.state {
        rows.push(("reason", reason.clone()));
    }
    rows.iter()
        .map(|(name, value)| format!("{name:<12}{}\n", replace_control_chars(value)))
        .collect()
}

pub(crate) fn class_name(class: WorkClass) -> &'static str {
    match class {
        WorkClass::Urgent => "urgent",
        WorkClass::Normal => "normal",
        WorkClass::Slow => "slow",
    }
}

fn state_name(state: &JobState) -> &'static str {
    match state {
        JobState::Queued => "queued",
        JobState::Running => "running",
        JobState::Finished => "finished",
        JobState::Failed { .. } => "failed",
        JobState::Cancelled => "cancelled",
    }
}
