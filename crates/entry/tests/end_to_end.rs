//! Guards against requests that reach a backend server changed, and responses that reach the caller
//! incomplete.

#[path = "support/test_system.rs"]
mod support;

use axum::Router;
use axum::extract::Request;
use axum::response::IntoResponse;
use lacewingrail_entry::server::http_settings;
use lacewingrail_listener::{HttpServer, ListenerRole, ListenerState};
use lacewingrail_model::config::PolicyOverlay;
use lacewingrail_model::timer::TimerService;
use support::{DOMAIN, TestSystem, backend_entry, outcome, request};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Responds with the method, path, deadline and body length of the request.
async fn echo(request: Request) -> impl IntoResponse {
    let (parts, body) = request.into_parts();
    let body = axum::body::to_bytes(body, 1 << 20).await.unwrap();
    let id = parts.headers["x-request-id"].to_str().unwrap().to_owned();
    let deadline = parts.headers["x-deadline-ms"].to_str().unwrap().to_owned();
    let text = format!(
        "{} {} {deadline} {}",
        parts.method,
        parts.uri.path_and_query().unwrap(),
        body.len()
    );
    ([("x-request-id", id)], text)
}

async fn spawn_echo() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = format!("http://{}", listener.local_addr().unwrap());
    let (stop, stopped) = watch::channel(false);
    tokio::spawn(async move {
        let state = ListenerState::detached("backend", ListenerRole::Clients);
        let router = Router::new().fallback(echo);
        HttpServer::new(listener, state, TimerService::new(), router, http_settings())
            .serve(stopped)
            .await;
        drop(stop);
    });
    address
}

/// Guards against a changed path or query, a lost body and a deadline that is not forwarded.
#[tokio::test]
async fn request_reaches_backend_unchanged() {
    let system = TestSystem::new(PolicyOverlay::default()).await;
    system.list.set(vec![backend_entry("b1", DOMAIN, &spawn_echo().await)]);
    let entry = system.start(|_| {}).await;
    let client = reqwest::Client::new();
    let response = request(&client, &entry, "/a/b%20c?x=1&y")
        .header("x-deadline-ms", "5000")
        .body(vec![7; 100_000])
        .send()
        .await
        .unwrap();
    assert_eq!((response.status().as_u16(), outcome(&response).as_str()), (200, "done"));
    let text = response.text().await.unwrap();
    let parts: Vec<&str> = text.split(' ').collect();
    assert_eq!((parts[0], parts[1], parts[3]), ("POST", "/a/b%20c?x=1&y", "100000"));
    let deadline: u64 = parts[2].parse().unwrap();
    assert!((4_000..=5_000).contains(&deadline), "{text}");
}

/// Guards against a second run of a non-repeatable request, and against a lost recorded response.
#[tokio::test]
async fn non_repeatable_request_is_answered_from_its_record() {
    let system = TestSystem::new(PolicyOverlay::default()).await;
    system.list.set(vec![backend_entry("b1", DOMAIN, &spawn_echo().await)]);
    let entry = system.start(|_| {}).await;
    let client = reqwest::Client::new();
    let send = |body: &'static str| {
        let request = request(&client, &entry, "/pay").body(body);
        request.header("x-non-repeatable", "true").header("idempotency-key", "k1").send()
    };
    let first = send("10").await.unwrap();
    assert_eq!(outcome(&first), "done");
    let first = first.text().await.unwrap();
    tokio::time::sleep(std::time::Duration::from_millis(300)).await;
    let second = send("10").await.unwrap();
    assert_eq!(
        (outcome(&second).as_str(), &second.headers()["x-recorded"]),
        ("done", &"true".parse::<http::HeaderValue>().unwrap())
    );
    assert_eq!(second.text().await.unwrap(), first);
    let other = send("11").await.unwrap();
    assert_eq!((other.status().as_u16(), outcome(&other).as_str()), (422, "not-run"));
}

/// Guards against a refusal without a reason or outcome.
#[tokio::test]
async fn refusals_are_explained() {
    let system = TestSystem::new(PolicyOverlay::default()).await;
    let entry = system.start(|_| {}).await;
    let client = reqwest::Client::new();
    let cases = [
        (request(&client, &entry, "/x"), 503),
        (request(&client, &entry, "/x").header("x-class", "fast"), 400),
        (request(&client, &entry, "/x").header("x-customer", "other"), 400),
        (request(&client, &entry, "/x").header("x-non-repeatable", "true"), 503),
        (client.post(format!("http://{}/none/x", entry.caller_address())), 401),
    ];
    for (request, status) in cases {
        let response = request.send().await.unwrap();
        assert_eq!((response.status().as_u16(), outcome(&response).as_str()), (status, "not-run"));
        let body: serde_json::Value = response.json().await.unwrap();
        assert_eq!(body["outcome"], "not-run");
        assert!(!body["reason"].as_str().unwrap().is_empty());
    }
}
