//! Tests of commands that change settings, jobs or failure domains.

use lacewingrail_model::keys;
use lacewingrail_model::store::KeyValueService;

use crate::harness::{TestContext, settings_tree};
use crate::{run, serve, serve_losing_write_responses, unreachable_address, write_file};

/// Guards against exit codes that hide a conflicting write or a rejected tree.
#[tokio::test]
async fn settings_commands_report_their_outcome() {
    let context = TestContext::without_tree();
    let server = serve(context.router()).await;
    let servers = [server.as_str()];
    let first = write_file("first.yaml", &settings_tree());
    assert_eq!(run(&servers, &["config", "init", &first]).await.exit_code, 0);
    let repeated = run(&servers, &["config", "init", &first]).await;
    assert_eq!(
        (repeated.exit_code, repeated.stderr.contains("version is 1 now")),
        (4, true),
        "{}",
        repeated.stderr
    );
    let current = run(&servers, &["config", "get"]).await;
    assert_eq!(
        (current.exit_code, current.stdout, current.stderr),
        (0, settings_tree(), "version 1 by ada\n".to_owned())
    );

    let changed = write_file("changed.yaml", &settings_tree().replace("quota: 32", "quota: 40"));
    let dry_run = run(&servers, &["config", "dry-run", &changed]).await;
    assert!(dry_run.stdout.contains("customers.bank.quota: 32 -> 40"), "{}", dry_run.stdout);
    let put = run(&servers, &["config", "put", "--if-version", "1", &changed]).await;
    assert_eq!((put.exit_code, put.stdout.as_str()), (0, "written as version 2\n"));
    assert_eq!(run(&servers, &["config", "put", "--if-version", "1", &changed]).await.exit_code, 4);
    assert_eq!(run(&servers, &["config", "put", &changed]).await.exit_code, 2);

    let faulty =
        write_file("faulty.yaml", "customers: { bank: { quota: -1 } }\npolicy: { hedge: true }");
    for args in
        [vec!["config", "check", &faulty], vec!["config", "put", "--if-version", "2", &faulty]]
    {
        let output = run(&servers, &args).await;
        assert_eq!(output.exit_code, 1);
        for path in ["customers.bank.quota", "policy.hedge"] {
            assert!(output.stderr.contains(path), "{path}: {}", output.stderr);
        }
    }
    assert_eq!(run(&[], &["config", "check", &first]).await.exit_code, 0, "no server is needed");
}

/// Guards against a command that fails although another server is available, or that writes twice.
#[tokio::test]
async fn failover_to_the_next_server_has_no_second_effect() {
    let context = TestContext::with_tree().await;
    let (unreachable_server, server) = (unreachable_address().await, serve(context.router()).await);
    let lossy_server = serve_losing_write_responses(&context).await;
    assert_eq!(run(&[&unreachable_server, &server], &["status"]).await.exit_code, 0);
    let output = run(&[&unreachable_server], &["status"]).await;
    assert_eq!(
        (output.exit_code, output.stderr.contains(&unreachable_server)),
        (3, true),
        "{}",
        output.stderr
    );

    let submit =
        ["job", "submit", "--customer", "bank", "--accelerators", "8", "--", "train", "-v"];
    let output = run(&[&lossy_server, &server], &submit).await;
    assert_eq!(output.exit_code, 0, "{}", output.stderr);
    assert_eq!(context.store.list(keys::JOBS).await.expect("list").len(), 1);

    let changed = write_file("lost.yaml", &settings_tree().replace("quota: 32", "quota: 40"));
    let put =
        run(&[&lossy_server, &server], &["config", "put", "--if-version", "1", &changed]).await;
    assert_eq!(
        (put.exit_code, put.stdout.as_str()),
        (0, "written as version 2\n"),
        "{}",
        put.stderr
    );
    assert_eq!(run(&[&lossy_server, &server], &["domain", "out", "a"]).await.exit_code, 0);
    assert_eq!(context.stored_tree().await.version, 3);
}

/// Guards against a job that cannot be tracked from its submission to its end.
#[tokio::test]
async fn jobs_are_tracked_from_submission_to_end() {
    let context = TestContext::with_tree().await;
    let server = serve(context.router()).await;
    let servers = [server.as_str()];
    let submit = [
        "job",
        "submit",
        "--customer",
        "bank",
        "--class",
        "urgent",
        "--declared",
        "2h",
        "--key",
        "k",
    ];
    let id = run(&servers, &submit).await.stdout.trim().to_owned();
    assert_eq!(run(&servers, &submit).await.stdout.trim(), id, "the key returns the first job");
    let shown = run(&servers, &["--output", "json", "job", "show", &id]).await.stdout;
    let record: lacewingrail_model::job::JobRecord = serde_json::from_str(&shown).expect("record");
    assert_eq!((record.spec.declared_ms, record.id.as_str()), (7_200_000, id.as_str()));
    assert!(run(&servers, &["job", "list", "--state", "queued"]).await.stdout.contains(&id));
    assert!(run(&servers, &["job", "why", &id]).await.stdout.contains("no scheduler is active"));
    assert_eq!(run(&servers, &["job", "cancel", &id]).await.exit_code, 0);
    let watched = run(&servers, &["job", "watch", &id]).await;
    assert_eq!(
        (watched.exit_code, watched.stdout.starts_with("cancelled")),
        (1, true),
        "{}",
        watched.stdout
    );
    let impossible = ["job", "submit", "--customer", "bank", "--members", "64"];
    let refused = run(&servers, &impossible).await;
    assert_eq!((refused.exit_code, refused.stderr.contains("; ")), (1, true), "{}", refused.stderr);
    assert_eq!(run(&servers, &["job", "show", "../status"]).await.exit_code, 1);
}
