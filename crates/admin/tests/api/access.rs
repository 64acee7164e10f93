//! Tests of roles, limits, the status page and malformed input.

use std::sync::Mutex;

use lacewingrail_admin::CALL_BURST;
use lacewingrail_model::admin::{DomainAnswer, GuaranteeStatus};
use lacewingrail_model::shape::{AdjacencyLevel, GangShape};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::harness::{
    BANK_TOKEN, OPERATOR_TOKEN, READER_TOKEN, SHOP_TOKEN, TestContext, call, settings_tree,
};

const JOB_JSON: &str = r#"{"customer":"bank","class":"normal","declared_ms":1000,
    "shape":{"members":1,"accelerators":1,"adjacency":"worker"}}"#;

static LOG_LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct LogCollector;

impl log::Log for LogCollector {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        LOG_LINES.lock().expect("lock").push(record.args().to_string());
    }

    fn flush(&self) {}
}

/// Guards against customers that view or change records of others, and readers that change
/// anything.
#[tokio::test]
async fn customers_access_only_their_own_records() {
    let context = TestContext::with_tree().await;
    let shape = GangShape { members: 1, accelerators: 8, adjacency: AdjacencyLevel::Worker };
    let guarantee = |customer: &str| GuaranteeStatus {
        customer: customer.to_owned(),
        domain: "a".to_owned(),
        shape,
        count: 1,
        held: 0,
        reclaimable: 1,
        suspended: None,
    };
    context.add_answer("a", DomainAnswer::Guarantees(vec![guarantee("bank"), guarantee("shop")]));
    let submitted = context.call(BANK_TOKEN, "POST", "/v1/jobs", &[], JOB_JSON).await;
    assert_eq!(submitted.status, 201, "{}", submitted.text);
    let id = submitted.json()["id"].as_str().expect("id").to_owned();
    assert_eq!(context.call(SHOP_TOKEN, "POST", "/v1/jobs", &[], JOB_JSON).await.status, 403);
    for (method, path) in [
        ("GET", format!("/v1/jobs/{id}")),
        ("DELETE", format!("/v1/jobs/{id}")),
        ("GET", format!("/v1/jobs/{id}/why")),
    ] {
        assert_eq!(
            context.call(SHOP_TOKEN, method, &path, &[], "").await.status,
            404,
            "{method} {path}"
        );
    }
    assert_eq!(context.get(SHOP_TOKEN, "/v1/jobs").await.json(), serde_json::json!([]));
    assert_eq!(
        context.get(SHOP_TOKEN, "/v1/guarantees").await.json()["items"][0]["customer"],
        "shop"
    );
    for path in ["/v1/config", "/v1/domains", "/v1/workers", "/v1/status", "/"] {
        assert_eq!(context.get(SHOP_TOKEN, path).await.status, 403, "{path}");
    }
    for (method, path) in [
        ("POST", "/v1/domains/a/out"),
        ("POST", "/v1/domains/a/in"),
        ("PUT", "/v1/config"),
        ("POST", "/v1/jobs"),
        ("DELETE", &format!("/v1/jobs/{id}")),
    ] {
        let response =
            context.call(READER_TOKEN, method, path, &[("if-version", "1")], JOB_JSON).await;
        assert_eq!(response.status, 403, "{method} {path}: {}", response.text);
    }
}

/// Guards against access without a known token, and tokens in logs or responses.
#[tokio::test]
async fn tokens_are_required_and_never_revealed() {
    let _ = log::set_boxed_logger(Box::new(LogCollector));
    log::set_max_level(log::LevelFilter::Trace);
    let context = TestContext::with_tree().await;
    for path in ["/v1/config", "/v1/jobs", "/v1/status", "/", "/v1/domains", "/v1/guarantees"] {
        for token in ["", "unknown-secret"] {
            let response = context.get(token, path).await;
            assert_eq!(response.status, 401, "{path}");
            assert!(!response.text.contains("secret"), "{}", response.text);
        }
    }
    assert_eq!(
        (context.get("", "/healthz").await.status, context.get("", "/readyz").await.status),
        (200, 200)
    );
    assert_eq!(TestContext::without_tree().get("", "/readyz").await.status, 503);
    context.call(OPERATOR_TOKEN, "POST", "/v1/domains/a/out", &[], "").await;
    context.call(BANK_TOKEN, "POST", "/v1/jobs", &[], JOB_JSON).await;
    let lines = LOG_LINES.lock().expect("lock").join("\n");
    assert!(lines.contains("is queued in"), "{lines}");
    for token in [OPERATOR_TOKEN, BANK_TOKEN, "unknown-secret"] {
        assert!(!lines.contains(token), "{lines}");
    }
}

/// Guards against one token that exhausts the rate limit of others, and against oversized bodies.
#[tokio::test(start_paused = true)]
async fn calls_and_bodies_are_limited() {
    let context = TestContext::with_tree().await;
    let router = context.router();
    let mut rejected_calls = 0;
    for _ in 0..(CALL_BURST as u32 + 10) {
        rejected_calls += u32::from(
            call(&router, READER_TOKEN, "GET", "/v1/config", &[], "").await.status == 429,
        );
    }
    assert_eq!(rejected_calls, 10);
    assert_eq!(call(&router, OPERATOR_TOKEN, "GET", "/v1/config", &[], "").await.status, 200);
    tokio::time::advance(std::time::Duration::from_secs(1)).await;
    assert_eq!(call(&router, READER_TOKEN, "GET", "/v1/config", &[], "").await.status, 200);
    let long = "x".repeat(1_100_000);
    let tree = context
        .call(OPERATOR_TOKEN, "PUT", "/v1/config", &[("if-version", "1")], long.clone())
        .await;
    assert_eq!(tree.status, 413, "{}", tree.text);
    assert_eq!(context.call(OPERATOR_TOKEN, "POST", "/v1/jobs", &[], long).await.status, 413);
}

/// Guards against HTML injection through names, and against basic authentication on the API routes.
#[tokio::test]
async fn status_page_escapes_names_and_accepts_basic_authentication() {
    use base64::Engine;
    let context = TestContext::with_tree().await;
    let page = context.get(READER_TOKEN, "/").await;
    assert_eq!(page.status, 200);
    assert!(page.text.contains("&lt;b&gt;entry&lt;/b&gt;") && !page.text.contains("<b>entry"));
    let encoded = base64::engine::general_purpose::STANDARD.encode(format!("any:{READER_TOKEN}"));
    let basic = format!("Basic {encoded}");
    let headers = [("authorization", basic.as_str())];
    assert_eq!(context.call("", "GET", "/", &headers, "").await.status, 200);
    assert_eq!(context.call("", "GET", "/v1/status", &headers, "").await.status, 401);
}

/// Runs a future on a runtime whose clock advances only when all tasks are idle.
fn run_with_paused_clock<F>(future: F)
where
    F: Future<Output = ()>,
{
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    runtime.expect("runtime").block_on(future);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Guards against bodies, headers and paths that make a route handler panic.
    #[test]
    fn malformed_requests_get_a_response(
        body in prop::collection::vec(any::<u8>(), 0..200),
        number in any::<i64>(),
        path in "[a-z0-9/%.-]{0,40}",
    ) {
        run_with_paused_clock(async {
            let context = TestContext::with_tree().await;
            let fields = ["members\":1", "accelerators\":1", "declared_ms\":1000"];
            let mut bodies = vec![body];
            bodies.extend(fields.map(|field| {
                let name = field.split(':').next().expect("name");
                JOB_JSON.replace(field, &format!("{name}:{number}")).into_bytes()
            }));
            for body in bodies {
                let job = context.call(OPERATOR_TOKEN, "POST", "/v1/jobs", &[], body.clone()).await;
                assert!([201, 400, 422].contains(&job.status), "{}", job.text);
                let headers = [("if-version", "1")];
                let put = context.call(OPERATOR_TOKEN, "PUT", "/v1/config", &headers, body).await;
                assert!([400, 422, 409].contains(&put.status), "{}", put.text);
            }
            let uri = format!("/v1/{path}").parse::<axum::http::Uri>();
            if uri.is_ok() {
                context.get(READER_TOKEN, &format!("/v1/{path}")).await;
            }
            let version = number.to_string();
            context
                .call(OPERATOR_TOKEN, "PUT", "/v1/config", &[("if-version", &version)], settings_tree())
                .await;
        });
    }
}
