//! Guards against panics, false outcomes and refusals without a reason for arbitrary request
//! headers.

#[path = "support/test_system.rs"]
mod support;

use lacewingrail_model::config::PolicyOverlay;
use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};
use support::TestSystem;

const NAMES: [&str; 12] = [
    "x-customer",
    "x-class",
    "x-deadline-ms",
    "x-non-repeatable",
    "idempotency-key",
    "traceparent",
    "x-request-id",
    "x-outcome",
    "connection",
    "te",
    "expect",
    "x-other",
];

fn header() -> impl Strategy<Value = (usize, Vec<u8>)> {
    let known =
        prop::sample::select(vec!["north", "urgent", "100", "true", "false", "k-1", "close"]);
    let value = prop_oneof![
        known.prop_map(|text| text.as_bytes().to_vec()),
        prop::collection::vec(prop_oneof![Just(b'\t'), 0x20..0x7fu8, 0x80..=0xffu8], 0..40),
    ];
    (0..NAMES.len(), value)
}

/// Guards against a "not run" response to a request that reached a backend server, and against one
/// without a reason.
#[test]
fn any_headers_get_an_explained_response() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let (entry, backend, client) = runtime.block_on(async {
        let system = TestSystem::new(PolicyOverlay::default()).await;
        let backend = system.backend("backend", |settings| settings.median_ms = 0.0).await;
        (system.start(|_| {}).await, backend, reqwest::Client::new())
    });
    let mut runner =
        TestRunner::new(Config { cases: 300, failure_persistence: None, ..Config::default() });
    let strategy = (prop::collection::vec(header(), 0..6), "[a-z/.%?=]{0,20}");
    let result = runner.run(&strategy, |(headers, path)| {
        let before = backend.counts().requests;
        let url = format!("http://{}/desk/{path}", entry.caller_address());
        let mut request = client.post(url).header("x-customer", "north");
        for (name, value) in headers {
            let value = http::HeaderValue::from_bytes(&value).unwrap();
            request = request.header(NAMES[name], value);
        }
        let response = runtime.block_on(request.send());
        let Ok(response) = response else {
            return Ok(());
        };
        // The HTTP layer rejects malformed framing before the filters run.
        let Some(outcome) = response.headers().get("x-outcome").cloned() else {
            prop_assert_eq!(response.status().as_u16(), 400);
            return Ok(());
        };
        if outcome == "not-run" {
            prop_assert_eq!(backend.counts().requests, before);
            let body = runtime.block_on(response.bytes()).unwrap();
            let body: serde_json::Value = serde_json::from_slice(&body).unwrap();
            prop_assert!(!body["reason"].as_str().unwrap().is_empty());
        }
        Ok(())
    });
    result.unwrap();
}
