//! The read-only status page.
//!
//! Plain HTML without scripts. Text values are escaped with [`escape`], because customer names and
//! reasons are untrusted input.

use std::fmt::Write;

use axum::extract::State;
use axum::http::header;
use axum::response::{IntoResponse, Response};
use lacewingrail_model::admin::{DomainReport, StatusReport, WorkerStatus};

use crate::SharedState;
use crate::access::Caller;
use crate::domain_routes::read_status;
use crate::error::RouteError;

/// Maximum number of waiting jobs on the page; the job list of the API contains the others.
const MAX_QUEUE_ROWS: usize = 200;

/// HTML up to the start of the page content. The browser reloads the page every 10 s.
const PAGE_HEAD: &str = r#"<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>lacewingrail status</title>
<meta name="viewport" content="width=device-width, initial-scale=1">
<meta http-equiv="refresh" content="10">
<style>
:root{color-scheme:light dark;--line:#8886;--bad:#b3261e;--good:#1b6e3c;--borrowed:#a15c00}
@media(prefers-color-scheme:dark){:root{--bad:#ff8a80;--good:#7bd88f;--borrowed:#ffb454}}
body{font:15px/1.45 system-ui,sans-serif;margin:0 auto;max-width:76rem;padding:1rem}
h1{font-size:1.4rem;margin:.2rem 0}h2{font-size:1.1rem;margin:1.6rem 0 .4rem}
.wide{overflow-x:auto}table{border-collapse:collapse;width:100%}
th,td{text-align:left;padding:.25rem .6rem .25rem 0;border-bottom:1px solid var(--line);vertical-align:top}
th{font-weight:600;white-space:nowrap}
.bad{color:var(--bad)}.good{color:var(--good)}
.racks{display:grid;grid-template-columns:repeat(auto-fill,minmax(17rem,1fr));gap:.8rem}
.rack{border:1px solid var(--line);border-radius:.4rem;padding:.5rem}
.rack h3{font-size:1rem;margin:0 0 .3rem}.worker{display:flex;gap:.4rem;flex-wrap:wrap;align-items:baseline}
.worker b{font-weight:500;overflow-wrap:anywhere}.held{border:1px solid;border-radius:.25rem;padding:0 .3rem;overflow-wrap:anywhere}
.lent{color:var(--borrowed);border-style:dashed}
</style></head><body>
"#;

/// Serves the status page to operators and readers.
pub(crate) async fn serve(
    State(state): State<SharedState>,
    caller: Caller,
) -> Result<Response, RouteError> {
    caller.require_reader("the status page")?;
    let page = render(&read_status(&state).await);
    let headers = [
        (header::CONTENT_TYPE, "text/html; charset=utf-8"),
        (header::CACHE_CONTROL, "no-store"),
        (header::CONTENT_SECURITY_POLICY, "default-src 'none'; style-src 'unsafe-inline'"),
    ];
    Ok((headers, page).into_response())
}

/// Renders a status report as an HTML document.
pub(crate) fn render(report: &StatusReport) -> String {
    let mut page = PAGE_HEAD.to_owned();
    let _ = write!(
        page,
        "<h1>lacewingrail</h1><p>Process {} follows settings version {}.</p>",
        escape(&report.instance),
        report.config_version
    );
    let warnings = report.not_ready.iter().chain(&report.store_error).chain(&report.errors);
    for warning in warnings {
        let _ = write!(page, "<p class=\"bad\">{}</p>", escape(warning));
    }
    render_domains(&mut page, &report.domains);
    render_racks(&mut page, report);
    render_guarantees(&mut page, report);
    render_queue(&mut page, report);
    render_processes(&mut page, report);
    page.push_str("</body></html>\n");
    page
}

fn render_domains(page: &mut String, domains: &[DomainReport]) {
    let headers = [
        "Domain",
        "State",
        "Scheduler",
        "Workers",
        "Accelerators",
        "Free",
        "Guaranteed",
        "Borrowed",
        "Running",
        "Waiting",
    ];
    open_table(page, "Failure domains", &headers);
    for domain in domains {
        let status = domain.status.clone().unwrap_or_default();
        let state = match (&domain.error, domain.out, &status.starts) {
            (_, true, _) => {
                format!("<span class=\"bad\">out since version {}</span>", domain.out_since)
            }
            (Some(error), false, _) => format!("<span class=\"bad\">{}</span>", escape(error)),
            (None, false, Some(reason)) => {
                format!("<span class=\"bad\">no starts: {}</span>", escape(reason))
            }
            (None, false, None) => "<span class=\"good\">in service</span>".to_owned(),
        };
        let scheduler = format!("{} (epoch {})", escape(&status.scheduler), status.epoch);
        let workers = format!("{} of {}", status.workers_healthy, status.workers);
        push_row(
            page,
            &[
                escape(&domain.domain),
                state,
                scheduler,
                workers,
                status.accelerators.to_string(),
                status.accelerators_free.to_string(),
                status.accelerators_guaranteed.to_string(),
                status.accelerators_borrowed.to_string(),
                status.gangs_running.to_string(),
                status.jobs_waiting.to_string(),
            ],
        );
    }
    close_table(page);
}

fn render_racks(page: &mut String, report: &StatusReport) {
    page.push_str("<h2>Racks and accelerators</h2><p>Dashed entries are borrowed and can be reclaimed.</p><div class=\"racks\">");
    let mut workers: Vec<&WorkerStatus> = report.workers.iter().collect();
    workers.sort_by_key(|worker| (&worker.domain, &worker.rack, &worker.worker));
    for rack in
        workers.chunk_by(|left, right| (&left.domain, &left.rack) == (&right.domain, &right.rack))
    {
        let Some(first) = rack.first() else { continue };
        let _ = write!(
            page,
            "<section class=\"rack\"><h3>{} / {}</h3>",
            escape(&first.domain),
            escape(&first.rack)
        );
        for worker in rack {
            render_worker(page, worker);
        }
        page.push_str("</section>");
    }
    page.push_str("</div>");
}

fn render_worker(page: &mut String, worker: &WorkerStatus) {
    let used: u32 = worker.members.iter().map(|member| member.accelerators).sum();
    let _ = write!(
        page,
        "<div class=\"worker\"><b>{}</b><span>{} of {} free</span>",
        escape(&worker.worker),
        worker.accelerators.saturating_sub(used),
        worker.accelerators
    );
    if worker.health != "healthy" {
        let _ = write!(page, "<span class=\"bad\">{}</span>", escape(&worker.health));
    }
    for member in &worker.members {
        let class = if member.borrowed { "held lent" } else { "held" };
        let _ = write!(
            page,
            "<span class=\"{class}\" title=\"{}\">{} x {}</span>",
            escape(&member.job),
            member.accelerators,
            escape(&member.customer)
        );
    }
    page.push_str("</div>");
}

fn render_guarantees(page: &mut String, report: &StatusReport) {
    open_table(
        page,
        "Guarantees",
        &["Customer", "Domain", "Shape", "Count", "Held", "Reclaimable", "Suspended"],
    );
    for guarantee in &report.guarantees {
        push_row(
            page,
            &[
                escape(&guarantee.customer),
                escape(&guarantee.domain),
                escape(&guarantee.shape.to_string()),
                guarantee.count.to_string(),
                guarantee.held.to_string(),
                guarantee.reclaimable.to_string(),
                format!(
                    "<span class=\"bad\">{}</span>",
                    escape(guarantee.suspended.as_deref().unwrap_or_default())
                ),
            ],
        );
    }
    close_table(page);
}

fn render_queue(page: &mut String, report: &StatusReport) {
    open_table(page, "Waiting jobs", &["Domain", "Position", "Job", "Customer", "Shape", "Reason"]);
    for waiting in report.queue.iter().take(MAX_QUEUE_ROWS) {
        push_row(
            page,
            &[
                escape(&waiting.record.owner),
                waiting.position.to_string(),
                escape(&waiting.record.id),
                escape(&waiting.record.spec.customer),
                escape(&waiting.record.spec.shape.to_string()),
                escape(&waiting.reason),
            ],
        );
    }
    close_table(page);
    if report.queue.len() > MAX_QUEUE_ROWS {
        let _ = write!(page, "<p>{} more jobs wait.</p>", report.queue.len() - MAX_QUEUE_ROWS);
    }
}

fn render_processes(page: &mut String, report: &StatusReport) {
    open_table(
        page,
        "Processes",
        &["Process", "Role", "Domain", "Address", "Settings version", "State"],
    );
    for process in &report.processes {
        let state = match (process.alive, process.leaving, process.silent_s) {
            (true, true, _) => "leaving".to_owned(),
            (true, false, _) => "<span class=\"good\">alive</span>".to_owned(),
            // Processes of other failure domains are contacted only occasionally, so a long time
            // since the last message does not indicate a failure.
            (false, _, Some(silent_s)) => format!("heard {silent_s:.0} s ago"),
            (false, _, None) => "not heard by this process".to_owned(),
        };
        push_row(
            page,
            &[
                escape(&process.instance),
                escape(&process.role),
                escape(&process.domain),
                escape(&process.address),
                process.config_version.to_string(),
                state,
            ],
        );
    }
    close_table(page);
}

fn open_table(page: &mut String, title: &str, headers: &[&str]) {
    let _ = write!(page, "<h2>{title}</h2><div class=\"wide\"><table><thead><tr>");
    for name in headers {
        let _ = write!(page, "<th>{name}</th>");
    }
    page.push_str("</tr></thead><tbody>");
}

/// Appends a table row; the cells must already be escaped.
fn push_row(page: &mut String, cells: &[String]) {
    page.push_str("<tr>");
    for cell in cells {
        let _ = write!(page, "<td>{cell}</td>");
    }
    page.push_str("</tr>");
}

fn close_table(page: &mut String) {
    page.push_str("</tbody></table></div>");
}

/// Escapes a text for use in HTML elements and attribute values.
pub(crate) fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for character in text.chars() {
        match character {
            '&' => escaped.push_str("&amp;"),
            '<' => escaped.push_str("&lt;"),
            '>' => escaped.push_str("&gt;"),
            '"' => escaped.push_str("&quot;"),
            '\'' => escaped.push_str("&#39;"),
            character => escaped.push(character),
        }
    }
    escaped
}
