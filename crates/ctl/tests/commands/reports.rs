//! Tests of commands that print reports, and of invalid command lines.

use std::sync::atomic::Ordering;

use lacewingrail_model::admin::{DomainAnswer, DomainStatus};

use crate::harness::{OPERATOR_TOKEN, TestContext, settings_tree};
use crate::{run, serve, unreachable_address, write_file};

fn status_answer(domain: &str, out: bool, running: u32) -> DomainAnswer {
    DomainAnswer::Status(DomainStatus {
        domain: domain.to_owned(),
        out,
        gangs_running: running,
        scheduler: "s\u{1b}[2J".to_owned(),
        ..DomainStatus::default()
    })
}

/// Guards against a watch that ends early or never, and terminal escape sequences in names.
#[tokio::test]
async fn domain_watch_prints_progress_until_the_drain_ends() {
    let context = TestContext::with_tree().await;
    context.add_answer("a", status_answer("a", true, 2));
    let server = serve(context.router()).await;
    let drain = async {
        while context.query_count.load(Ordering::Relaxed) == 0 {
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
        context.answers.lock().expect("lock").clear();
        context.add_answer("a", status_answer("a", true, 0));
    };
    let servers = [server.as_str()];
    let args = ["domain", "out", "a", "--watch"];
    let (output, ()) = tokio::join!(run(&servers, &args), drain);
    assert_eq!(output.exit_code, 0, "{}", output.stderr);
    let steps =
        ["written as version 2", "confirmed by", "a: 2 gangs running", "a: 0 gangs running"];
    let positions: Vec<_> = steps.iter().map(|step| output.stdout.find(step)).collect();
    assert!(positions.iter().all(Option::is_some) && positions.is_sorted(), "{}", output.stdout);
    let listed = run(&[&server], &["domain", "list"]).await.stdout;
    assert!(listed.contains("out since version 2") && !listed.contains('\u{1b}'), "{listed}");
}

/// Guards against faults of the system that `doctor` does not report.
#[tokio::test]
async fn doctor_reports_faults() {
    let context = TestContext::with_tree().await;
    context.add_answer("a", status_answer("a", false, 0));
    let (server, unreachable_server) = (serve(context.router()).await, unreachable_address().await);
    let found = run(&[&server, &unreachable_server], &["doctor"]).await;
    assert_eq!(found.exit_code, 1, "{}", found.stdout);
    for part in [
        "ok    domain a: starts are permitted",
        "FAIL  domain b: b: no scheduler is active",
        "its clock agrees",
        "the key-value service answers",
        "the server cannot be reached",
    ] {
        assert!(found.stdout.contains(part), "{part}: {}", found.stdout);
    }
    assert_eq!(run(&[&unreachable_server], &["doctor"]).await.exit_code, 3);
    let path = write_file("doctor.yaml", &settings_tree());
    assert_eq!(run(&[], &["doctor", "--tree", &path]).await.exit_code, 0);
    let process = write_file("process.yaml", "name: x");
    assert_eq!(run(&[], &["doctor", "--process", &process]).await.exit_code, 1);
}

/// Guards against invalid command lines that have an effect, and tokens in messages.
#[tokio::test]
async fn invalid_command_lines_are_rejected() {
    let context = TestContext::with_tree().await;
    let server = serve(context.router()).await;
    for args in [
        vec![],
        vec!["jobs"],
        vec!["domain"],
        vec!["domain", "out"],
        vec!["domain", "out", "a", "b"],
        vec!["status", "--all"],
        vec!["job", "submit"],
        vec!["--output", "xml", "status"],
        vec!["status", "--", "x"],
        vec!["--server", "nowhere", "status"],
        vec!["worker"],
        vec!["job", "submit", "--customer", "bank", "--class", "fast"],
    ] {
        let output = run(&[&server], &args).await;
        assert_eq!(output.exit_code, 2, "{args:?}: {} {}", output.stdout, output.stderr);
        assert!(!output.stderr.contains(OPERATOR_TOKEN));
    }
    assert_eq!(run(&[], &["status"]).await.exit_code, 2, "no server is configured");
    assert_eq!(context.stored_tree().await.version, 1);
    for args in [vec!["--help"], vec!["help", "job"], vec!["job", "--help"], vec!["--version"]] {
        let output = run(&[], &args).await;
        assert_eq!((output.exit_code, output.stdout.is_empty()), (0, false), "{args:?}");
    }
    for topic in ["", "config", "job", "domain", "doctor"] {
        let help = run(&[], &["help", topic]).await.stdout;
        assert!(help.lines().all(|line| line.len() <= 100), "{help}");
    }
}
