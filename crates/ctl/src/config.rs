//! Subcommands of `config`, which read and write the settings tree.

use lacewingrail_model::admin::{DryRunReport, TreeReport, WriteReport};
use lacewingrail_settings::{EffectiveValue, parse};
use pico_args::Arguments;
use reqwest::Method;

use crate::client::{ApiCall, ApiClient, RetryPolicy};
use crate::error::CtlError;
use crate::options::read_file;
use crate::table::{Printer, render_table};
use crate::{EXIT_OK, expect_no_more_args, required_argument};

pub(crate) async fn run(
    mut args: Arguments,
    client: &ApiClient,
    printer: &mut Printer<'_>,
) -> Result<u8, CtlError> {
    match args.subcommand()?.as_deref() {
        Some("init") => init(args, client, printer).await,
        Some("get") => get(args, client, printer).await,
        Some("put") => put(args, client, printer).await,
        Some("dry-run") => dry_run(args, client, printer).await,
        Some("effective") => effective(args, client, printer).await,
        Some("check") => check(args, printer),
        _ => Err(CtlError::usage(
            "config requires a subcommand: init, get, put, dry-run, effective or check",
        )),
    }
}

/// Writes the first tree; fails if a tree is already stored.
async fn init(
    mut args: Arguments,
    client: &ApiClient,
    printer: &mut Printer<'_>,
) -> Result<u8, CtlError> {
    let file = required_argument(&mut args, "FILE")?;
    expect_no_more_args(args)?;
    write_tree(client, printer, &file, 0).await
}

async fn get(
    args: Arguments,
    client: &ApiClient,
    printer: &mut Printer<'_>,
) -> Result<u8, CtlError> {
    expect_no_more_args(args)?;
    let report: TreeReport = client.call(&ApiCall::get(&["v1", "config"])).await?;
    if !report.from_store {
        printer.print_note("the key-value service is unavailable; this is the tree in force");
    }
    printer.print_note(&format!("version {} by {}", report.version, report.author));
    printer.print(&report, |report| report.text.clone());
    Ok(EXIT_OK)
}

async fn put(
    mut args: Arguments,
    client: &ApiClient,
    printer: &mut Printer<'_>,
) -> Result<u8, CtlError> {
    let if_version = args.opt_value_from_str::<_, u64>("--if-version")?.ok_or_else(|| {
        CtlError::usage("--if-version is missing; give the version that `config get` printed")
    })?;
    let file = required_argument(&mut args, "FILE")?;
    expect_no_more_args(args)?;
    write_tree(client, printer, &file, if_version).await
}

async fn write_tree(
    client: &ApiClient,
    printer: &mut Printer<'_>,
    file: &str,
    if_version: u64,
) -> Result<u8, CtlError> {
    let text = read_file(file)?;
    parse(&text, file)?;
    let call = ApiCall::new(Method::PUT, &["v1", "config"])
        .header("if-version", if_version.to_string())
        .body(text.clone())
        .retry_policy(RetryPolicy::OnlyIfNotProcessed);
    let report = match client.call::<WriteReport>(&call).await {
        Err(CtlError::Unreachable(attempts)) => {
            // The write may have taken effect even though its response was lost.
            let found: Result<TreeReport, _> = client.call(&ApiCall::get(&["v1", "config"])).await;
            match found {
                Ok(tree) if tree.version == if_version + 1 && tree.text == text => {
                    WriteReport { version: tree.version }
                }
                _ => return Err(CtlError::Unreachable(attempts)),
            }
        }
        outcome => outcome?,
    };
    printer.print(&report, |report| format!("written as version {}\n", report.version));
    Ok(EXIT_OK)
}

async fn dry_run(
    mut args: Arguments,
    client: &ApiClient,
    printer: &mut Printer<'_>,
) -> Result<u8, CtlError> {
    let file = required_argument(&mut args, "FILE")?;
    expect_no_more_args(args)?;
    let text = read_file(&file)?;
    parse(&text, &file)?;
    let call = ApiCall::post(&["v1", "config", "dry-run"]).body(text);
    let report: DryRunReport = client.call(&call).await?;
    printer.print(&report, |report| {
        let mut lines = vec![format!("compared with version {}", report.against_version)];
        lines.extend(report.changes.iter().cloned());
        if report.changes.is_empty() {
            lines.push("no setting changes".to_owned());
        }
        for domain in &report.domains {
            let effects =
                domain.effects.iter().map(|effect| format!("{}: {effect}", domain.domain));
            lines.extend(effects);
            lines.extend(domain.error.as_ref().map(|error| format!("effects unknown: {error}")));
        }
        crate::table::replace_control_chars_in_lines(&lines.join("\n")) + "\n"
    });
    Ok(EXIT_OK)
}

async fn effective(
    mut args: Arguments,
    client: &ApiClient,
    printer: &mut Printer<'_>,
) -> Result<u8, CtlError> {
    let path = args.opt_free_from_str::<String>()?.unwrap_or_default();
    expect_no_more_args(args)?;
    let mut segments = vec!["v1", "config", "effective"];
    segments.extend(path.split('/').filter(|part| !part.is_empty()));
    let values: Vec<EffectiveValue> = client.call(&ApiCall::get(&segments)).await?;
    printer.print(&values, |values| {
        let rows: Vec<Vec<String>> = values
            .iter()
            .map(|value| {
                let text = match &value.value {
                    serde_json::Value::String(text) => text.clone(),
                    other => other.to_string(),
                };
                vec![value.name.clone(), text, value.origin.clone(), value.replaces.join(", ")]
            })
            .collect();
        render_table(&["NAME", "VALUE", "ORIGIN", "REPLACES"], &rows)
    });
    Ok(EXIT_OK)
}

/// Validates a tree locally, without a server.
fn check(mut args: Arguments, printer: &mut Printer<'_>) -> Result<u8, CtlError> {
    let file = required_argument(&mut args, "FILE")?;
    expect_no_more_args(args)?;
    let tree = parse(&read_file(&file)?, &file)?;
    let domains: usize = tree.regions.values().map(|region| region.domains.len()).sum();
    printer.print_note(&format!(
        "{file} is valid: {domains} failure domains, {} customers, {} services",
        tree.customers.len(),
        tree.services.len()
    ));
    Ok(EXIT_OK)
}
