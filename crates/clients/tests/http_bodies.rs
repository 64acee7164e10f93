//! Guards the HTTP clients against panics and false successes on malformed or missing answers.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use assert_matches::assert_matches;
use axum::Router;
use axum::http::StatusCode;
use lacewingrail_clients::{CallKind, HttpInstanceList, HttpStore, HttpWorkerClient};
use lacewingrail_model::instance::InstanceList;
use lacewingrail_model::store::{KeyValueService, StoreError};
use lacewingrail_model::worker::{MemberId, WorkerError, WorkerService, WorkerSpec};
use proptest::prelude::*;
use proptest::test_runner::TestRunner;

type Reply = Arc<Mutex<(u16, Vec<u8>)>>;

async fn serve(reply: Reply) -> String {
    let router = Router::new().fallback(move || {
        let (status, body) = reply.lock().unwrap().clone();
        async move { (StatusCode::from_u16(status).unwrap(), body) }
    });
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = format!("http://{}", listener.local_addr().unwrap());
    tokio::spawn(async move { axum::serve(listener, router).await.unwrap() });
    address
}

fn worker(address: String) -> WorkerSpec {
    WorkerSpec {
        id: "w".into(),
        domain: "d".into(),
        rack: "r".into(),
        accelerators: 8,
        cores: 64,
        memory_mb: 1,
        address,
    }
}

fn answers() -> impl Strategy<Value = (u16, Vec<u8>)> {
    let status = prop_oneof![Just(200_u16), Just(409), Just(410), Just(413), 400..600_u16];
    let text = prop_oneof![
        Just(r#"{"revision":18446744073709551616}"#.to_owned()),
        Just(r#"{"entry":{"key":"k","value":1}}"#.to_owned()),
        Just(r#"{"current":-1}"#.to_owned()),
        Just(r#"{"error":"stale-epoch","seen":7}"#.to_owned()),
        Just("[".repeat(5_000)),
        r#"\{"[a-z]{1,8}":("[^"]{0,20}"|[0-9]{1,24}|null|\[\])\}"#,
    ];
    let body =
        prop_oneof![prop::collection::vec(any::<u8>(), 0..200), text.prop_map(String::into_bytes)];
    (status, body)
}

/// Guards against a panic on a malformed answer and against confirming a write because of one.
#[test]
fn malformed_answers_are_handled() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let reply: Reply = Arc::new(Mutex::new((200, Vec::new())));
    let address = runtime.block_on(serve(Arc::clone(&reply)));
    let store = HttpStore::new(address.clone());
    let workers = HttpWorkerClient::new();
    let list = HttpInstanceList::new(address.clone());
    let spec = worker(address);
    let member = MemberId { job: "j".into(), attempt: 1, index: 0 };
    let mut runner = TestRunner::new(ProptestConfig::with_cases(150));
    runner
        .run(&answers(), |(status, body)| {
            *reply.lock().unwrap() = (status, body.clone());
            runtime.block_on(async {
                let _ = store.get("a/b").await;
                let _ = store.list("").await;
                let _ = store.watch("", 0, Duration::ZERO).await;
                let _ = store.grant_lease(Duration::from_secs(1)).await;
                let _ = list.read().await;
                let _ = list.workers().await;
                let _ = workers.report(&spec, 1).await;
                let put = store.put("a", "v".into(), 0, None).await;
                if status >= 300 {
                    prop_assert!(put.is_err());
                    prop_assert!(workers.start(&spec, 1, &member, Duration::ZERO).await.is_err());
                }
                if status >= 500 && status != 503 {
                    prop_assert!(matches!(put, Err(StoreError::Unclear(_))), "{put:?}");
                }
                Ok(())
            })
        })
        .unwrap();
}

/// Guards against reporting a refused connection as unclear, and a lost answer as refused.
#[tokio::test]
async fn refused_connection_and_lost_answer_differ() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = format!("http://{}", listener.local_addr().unwrap());
    let unresponsive = tokio::spawn(async move {
        let mut streams = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            streams.push(stream);
        }
    });
    let timeout = Duration::from_millis(100);
    let store = HttpStore::new(address.clone()).with_timeout(timeout);
    let workers = HttpWorkerClient::new().with_timeout(timeout);
    let member = MemberId { job: "j".into(), attempt: 1, index: 0 };
    assert_matches!(store.put("a", "v".into(), 0, None).await, Err(StoreError::Unclear(_)));
    assert_matches!(store.get("a").await, Err(StoreError::Unavailable(_)));
    let stop = workers.stop(&worker(address.clone()), 1, &member).await;
    assert_matches!(stop, Err(WorkerError::Unclear { .. }));

    unresponsive.abort();
    let _ = unresponsive.await;
    assert_matches!(store.put("a", "v".into(), 0, None).await, Err(StoreError::Unavailable(_)));
    let stop = workers.stop(&worker(address), 1, &member).await;
    assert_matches!(stop, Err(WorkerError::Unreachable { .. }));

    let counts = store.counter().counts();
    let puts = counts.iter().find(|counts| counts.kind == CallKind::Put).unwrap();
    assert_eq!((puts.calls, puts.failures, store.counter().unclear()), (2, 2, 1));
}

/// Guards against keys that resolve to another path of the service.
#[tokio::test]
async fn dot_keys_are_refused() {
    let store = HttpStore::new("http://127.0.0.1:9");
    for key in ["", ".", ".."] {
        assert_matches!(store.get(key).await, Err(StoreError::Unavailable(_)));
    }
}
