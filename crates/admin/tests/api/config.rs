//! Tests of changes to settings and failure domains.

use std::time::Duration;

use lacewingrail_admin::VetoOutcome;
use lacewingrail_clients::StoreFaults;
use lacewingrail_model::admin::DomainAnswer;
use tokio::task::JoinSet;

use crate::harness::{BANK_TOKEN, OPERATOR_TOKEN, READER_TOKEN, TestContext, settings_tree};

/// Guards against two concurrent writes of the same version that both report success.
#[tokio::test(start_paused = true)]
async fn one_of_concurrent_writes_succeeds() {
    let context = TestContext::with_tree().await;
    // The delay makes all requests read the tree before the first one writes it.
    context.store.set_faults(StoreFaults::slow(Duration::from_millis(10)));
    let mut tasks = JoinSet::new();
    for quota in 33..45 {
        let context = context.clone();
        tasks.spawn(async move {
            let text = settings_tree().replace("quota: 32", &format!("quota: {quota}"));
            let headers = [("if-version", "1")];
            context.call(OPERATOR_TOKEN, "PUT", "/v1/config", &headers, text).await
        });
    }
    let responses = tasks.join_all().await;
    let (accepted, rejected): (Vec<_>, Vec<_>) =
        responses.iter().partition(|response| response.status == 200);
    assert_eq!((accepted.len(), rejected.len()), (1, 11));
    for response in rejected {
        assert_eq!((response.status, &response.json()["current_version"]), (409, &2.into()));
    }
    assert_eq!(context.stored_tree().await.version, 2);
}

/// Guards against a write that reports failure or takes effect twice after a lost store response.
#[tokio::test(start_paused = true)]
async fn lost_store_responses_are_resolved_by_the_mark() {
    for faults in [
        StoreFaults::lost_answers(1),
        StoreFaults::lost_answers(3),
        StoreFaults { lost_requests: 2, ..StoreFaults::default() },
    ] {
        let context = TestContext::with_tree().await;
        context.store.set_faults(faults.clone());
        let text = settings_tree().replace("quota: 32", "quota: 33");
        let response =
            context.call(OPERATOR_TOKEN, "PUT", "/v1/config", &[("if-version", "1")], text).await;
        assert_eq!((response.status, &response.json()["version"]), (200, &2.into()), "{faults:?}");
        assert_eq!(context.stored_tree().await.version, 2);
    }
}

/// Guards against an invalid tree that is applied in part, and a response that omits some faults.
#[tokio::test]
async fn invalid_trees_change_nothing() {
    let context = TestContext::with_tree().await;
    let text = settings_tree().replace("quota: 32", "quota: 3").replace("quota: 8", "quote: 8");
    for (method, path) in [("PUT", "/v1/config"), ("POST", "/v1/config/dry-run")] {
        let response =
            context.call(OPERATOR_TOKEN, method, path, &[("if-version", "1")], text.clone()).await;
        assert_eq!(response.status, 422, "{}", response.text);
        assert_eq!(
            response.json()["faults"].as_array().map(Vec::len),
            Some(3),
            "{}",
            response.text
        );
    }
    let response = context.call(OPERATOR_TOKEN, "PUT", "/v1/config", &[], settings_tree()).await;
    assert_eq!(response.status, 428);
    assert_eq!(context.stored_tree().await.version, 1);
}

/// Guards against a tree, in particular an empty one, that locks out all operators.
#[tokio::test]
async fn trees_without_operators_are_refused() {
    let context = TestContext::with_tree().await;
    for text in ["", "# only a comment", "policy: { hedging: false }"] {
        let response =
            context.call(OPERATOR_TOKEN, "PUT", "/v1/config", &[("if-version", "1")], text).await;
        assert_eq!((response.status, response.text.contains("no operator")), (422, true), "{text}");
    }
    assert_eq!(context.stored_tree().await.version, 1);
}

/// Guards against an unauthorised caller that writes the first tree, or replaces an existing one.
#[tokio::test]
async fn first_tree_must_list_the_token_of_its_author_as_operator() {
    let context = TestContext::without_tree();
    let headers = [("if-version", "0")];
    for (token, status) in [("", 503), (READER_TOKEN, 401), ("stranger", 401)] {
        let response = context.call(token, "PUT", "/v1/config", &headers, settings_tree()).await;
        assert_eq!(response.status, status, "{token}");
    }
    assert_eq!(context.get(OPERATOR_TOKEN, "/v1/status").await.status, 503, "no token is known");
    let other_process = TestContext::without_tree();
    let response =
        context.call(OPERATOR_TOKEN, "PUT", "/v1/config", &headers, settings_tree()).await;
    assert_eq!(response.status, 200, "{}", response.text);
    // A process that has not received the stored tree yet must not accept another first tree.
    let source_store = context.store.clone();
    let copied =
        lacewingrail_model::store::KeyValueService::get(&source_store, "config/tree").await;
    let text = copied.expect("get").expect("tree").value;
    let put = lacewingrail_model::store::KeyValueService::put(
        &other_process.store,
        "config/tree",
        text,
        0,
        None,
    );
    put.await.expect("put");
    let response =
        other_process.call(OPERATOR_TOKEN, "PUT", "/v1/config", &headers, settings_tree()).await;
    assert_eq!(response.status, 401);
}

/// Guards against concurrent domain changes that overwrite each other or lose comments of the tree.
#[tokio::test(start_paused = true)]
async fn concurrent_domain_changes_are_both_kept() {
    let context = TestContext::with_tree().await;
    context.store.set_faults(StoreFaults::slow(Duration::from_millis(10)));
    let (first, second) = tokio::join!(
        context.call(OPERATOR_TOKEN, "POST", "/v1/domains/a/out", &[], ""),
        context.call(OPERATOR_TOKEN, "POST", "/v1/domains/b/out", &[], ""),
    );
    assert_eq!((first.status, second.status), (200, 200));
    assert_eq!(first.json()["steps"][1], "confirmed by scheduler-a");
    let stored = context.stored_tree().await;
    let view = stored.view().expect("view");
    assert!(view.domains["a"].out && view.domains["b"].out);
    assert!(stored.text.starts_with("# Kept comment."));
    let response = context.call(OPERATOR_TOKEN, "POST", "/v1/domains/a/in", &[], "").await;
    assert_eq!((response.status, context.stored_tree().await.version), (200, 4));
    let response = context.call(OPERATOR_TOKEN, "POST", "/v1/domains/none/out", &[], "").await;
    assert_eq!(response.status, 422, "{}", response.text);
}

/// Guards against a domain reported as out of service while earlier start permissions are valid.
#[tokio::test(start_paused = true)]
async fn unconfirmed_veto_waits_for_permission_expiry() {
    for outcome in [None, Some(VetoOutcome::PermissionExpired)] {
        let context = TestContext::with_tree().await;
        *context.veto.lock().expect("lock") = outcome;
        let started = tokio::time::Instant::now();
        let response = context.call(OPERATOR_TOKEN, "POST", "/v1/domains/a/out", &[], "").await;
        assert_eq!(response.json()["steps"][1], "permission expired");
        assert!(started.elapsed() >= Duration::from_secs(3), "{:?}", started.elapsed());
        assert!(started.elapsed() < Duration::from_secs(4), "{:?}", started.elapsed());
    }
}

/// Guards against a dry run that writes the tree or omits an effect.
#[tokio::test]
async fn dry_run_reports_and_changes_nothing() {
    let context = TestContext::with_tree().await;
    context.add_answer("a", DomainAnswer::DryRun(vec!["job-1 is preempted".to_owned()]));
    let text = settings_tree().replace("quota: 32", "quota: 40");
    let response = context.call(READER_TOKEN, "POST", "/v1/config/dry-run", &[], text).await;
    let report = response.json();
    assert_eq!(report["changes"], serde_json::json!(["customers.bank.quota: 32 -> 40"]));
    assert_eq!(report["domains"][0]["effects"][0], "job-1 is preempted");
    assert!(report["domains"][1]["error"].is_string(), "{report}");
    assert_eq!(context.stored_tree().await.version, 1);
}

/// Guards against missing reports, or false success, while the key-value service is unavailable.
#[tokio::test]
async fn store_outage_is_reported() {
    let context = TestContext::with_tree().await;
    context.store.set_faults(StoreFaults::outage());
    let tree_response = context.get(READER_TOKEN, "/v1/config").await;
    assert_eq!((tree_response.status, &tree_response.json()["from_store"]), (200, &false.into()));
    let put = context
        .call(OPERATOR_TOKEN, "PUT", "/v1/config", &[("if-version", "1")], settings_tree())
        .await;
    assert_eq!(put.status, 503);
    assert_eq!(
        context.call(OPERATOR_TOKEN, "POST", "/v1/domains/a/out", &[], "").await.status,
        503
    );
    let status = context.get(READER_TOKEN, "/v1/status").await.json();
    assert!(status["store_error"].is_string());
}

/// Guards against effective values without their origin, and customers that read values of others.
#[tokio::test]
async fn effective_values_are_served() {
    let context = TestContext::with_tree().await;
    let response = context.get(BANK_TOKEN, "/v1/config/effective/domain/a/customer/bank").await;
    assert_eq!(response.json()[0]["origin"], "default", "{}", response.text);
    assert_eq!(context.get(BANK_TOKEN, "/v1/config/effective/customer/shop").await.status, 403);
    assert_eq!(context.get(READER_TOKEN, "/v1/config/effective/domain/none").await.status, 404);
    assert_eq!(context.get(READER_TOKEN, "/v1/config/effective/rack").await.status, 400);
    assert_eq!(context.get(READER_TOKEN, "/v1/config/effective").await.status, 200);
}
