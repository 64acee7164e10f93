//! Guards the backend stand-in against unrecorded runs, ineffective limits and faults that callers
//! do not see.

use std::time::Duration;

use lacewingrail_standins::{
    BackendFaults, BackendServer, BackendSettings, RunCounts, find_repeated_runs,
};
use reqwest::{Client, Response};

async fn server(change: impl FnOnce(&mut BackendSettings)) -> BackendServer {
    let mut settings = BackendSettings { sigma: 0.0, median_ms: 1.0, ..BackendSettings::default() };
    change(&mut settings);
    BackendServer::spawn("127.0.0.1:0", settings).await.unwrap()
}

fn client() -> Client {
    Client::builder().http2_prior_knowledge().build().unwrap()
}

async fn call(client: &Client, server: &BackendServer, id: &str) -> reqwest::Result<Response> {
    let request = client.post(format!("{}/run", server.url())).header("x-request-id", id);
    request.header("idempotency-key", format!("key-{id}")).body("work").send().await
}

/// Makes a call and disconnects when its run has lasted for `wait` without an answer.
async fn call_and_disconnect(client: &Client, server: &BackendServer, id: &str, wait: Duration) {
    let runs = server.counts().runs;
    let started = async {
        while server.counts().runs == runs {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        tokio::time::sleep(wait).await;
    };
    tokio::select! {
        answer = call(client, server, id) => panic!("{answer:?}"),
        () = started => {}
    }
}

fn id(response: &Response) -> &str {
    response.headers()["x-request-id"].to_str().unwrap()
}

/// Guards against an answer without the id of its request and against uncounted runs.
#[tokio::test]
async fn answers_carry_their_request_id() {
    let server = server(|_| {}).await;
    for client in [client(), Client::new()] {
        let response = call(&client, &server, "r1").await.unwrap();
        assert_eq!(id(&response), "r1");
        let body: serde_json::Value = response.json().await.unwrap();
        assert_eq!(body["request_id"], "r1");
    }
    call(&client(), &server, "r2").await.unwrap();
    let runs: RunCounts =
        reqwest::get(format!("{}/v1/runs", server.url())).await.unwrap().json().await.unwrap();
    assert_eq!(runs, server.runs());
    assert_eq!((runs.by_request["r1"], runs.by_request["r2"]), (2, 1));
    assert_eq!(find_repeated_runs(&[runs]), ["key key-r1 ran 2 times"]);
    assert!(find_repeated_runs(&[RunCounts::default()]).is_empty());
}

/// Guards against faults that the caller does not see or that are missing from the record.
#[tokio::test]
async fn faults_reach_the_caller() {
    let server = server(|_| {}).await;
    let none = BackendFaults::default();
    for client in [client(), Client::new()] {
        server.set_faults(none);
        call(&client, &server, "first").await.unwrap();
        server.set_faults(BackendFaults { crossed: 1.0, ..none });
        let crossed = call(&client, &server, "second").await.unwrap();
        assert_eq!(id(&crossed), "first");
        assert!(crossed.text().await.unwrap().contains("\"first\""));

        server.set_faults(BackendFaults { truncated: 1.0, ..none });
        let truncated = call(&client, &server, "third").await.unwrap();
        assert!(truncated.content_length().unwrap() > 10);
        assert!(truncated.bytes().await.is_err());

        server.set_faults(BackendFaults { dropped: 1.0, ..none });
        let dropped = match call(&client, &server, "fourth").await {
            Ok(response) => response.bytes().await.map(drop),
            Err(error) => Err(error),
        };
        assert!(dropped.is_err());

        server.set_faults(BackendFaults { error: 1.0, ..none });
        assert_eq!(call(&client, &server, "fifth").await.unwrap().status().as_u16(), 500);
        server.set_faults(BackendFaults { hang: 1.0, ..none });
        call_and_disconnect(&client, &server, "sixth", Duration::from_millis(50)).await;

        let runs = server.counts().runs;
        server.set_faults(BackendFaults { refused: 1.0, ..none });
        assert_eq!(call(&client, &server, "seventh").await.unwrap().status().as_u16(), 503);
        assert_eq!(server.counts().runs, runs);
    }
    let faults: Vec<_> = server.journal().entries.iter().filter_map(|run| run.fault).collect();
    assert_eq!(faults.len(), 10);
}

/// Guards against a late answer without its delay.
#[tokio::test]
async fn late_answers_are_delayed() {
    let server = server(|_| {}).await;
    server.set_faults(BackendFaults { late: 1.0, late_ms: 100, ..BackendFaults::default() });
    let sent = std::time::Instant::now();
    assert_eq!(id(&call(&client(), &server, "late").await.unwrap()), "late");
    assert!(sent.elapsed() >= Duration::from_millis(100));
}

/// Guards against more concurrent runs than slots and against an unbounded queue.
#[tokio::test]
async fn slots_and_queue_are_limited() {
    let server = server(|settings| {
        (settings.slots, settings.queue, settings.median_ms) = (2, 3, 400.0);
    })
    .await;
    let client = client();
    call(&client, &server, "warm").await.unwrap();
    let calls = (0..9).map(|number| {
        let request = client.post(server.url()).header("x-request-id", number.to_string());
        tokio::spawn(request.send())
    });
    let mut statuses = Vec::new();
    for call in calls.collect::<Vec<_>>() {
        statuses.push(call.await.unwrap().unwrap().status().as_u16());
    }
    let refused = statuses.iter().filter(|status| **status == 503).count();
    assert_eq!(refused, 4, "{statuses:?}");
    let counts = server.counts();
    assert_eq!((counts.peak_running, counts.runs, counts.refused), (2, 6, 4));
}

/// Guards against a run that is missing from the record after its caller disconnected.
#[tokio::test]
async fn run_continues_after_disconnect() {
    let server = server(|settings| settings.median_ms = 500.0).await;
    call_and_disconnect(&client(), &server, "left", Duration::ZERO).await;
    assert_eq!(server.journal().entries[0].ended_ms, None);
    while server.counts().ended == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(server.runs().by_request["left"], 1);
}

/// Guards against more open connections than the limit.
#[tokio::test]
async fn connections_are_limited() {
    let server = server(|settings| settings.connections = 1).await;
    let first = client();
    call(&first, &server, "first").await.unwrap();
    assert!(call(&client(), &server, "second").await.is_err());
    assert!(call(&first, &server, "third").await.is_ok());
    drop(first);
    while server.counts().connections > 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(call(&client(), &server, "fourth").await.is_ok());
    assert_eq!(server.counts().refused_connections, 1);
}

/// Guards against a leaving server that does not announce it, and against runs recorded without the
/// time since then.
#[tokio::test]
async fn leaving_is_announced_and_recorded() {
    let server = server(|_| {}).await;
    let response = call(&client(), &server, "before").await.unwrap();
    assert!(!response.headers().contains_key("x-leaving"));
    let leaving = serde_json::json!({ "leaving": true });
    let url = format!("{}/v1/leaving", server.url());
    Client::new().post(url).json(&leaving).send().await.unwrap();
    tokio::time::sleep(Duration::from_millis(20)).await;
    let response = call(&client(), &server, "after").await.unwrap();
    assert_eq!(response.headers()["x-leaving"], "true");
    let health = reqwest::get(format!("{}/health", server.url())).await.unwrap();
    assert_eq!(health.headers()["x-leaving"], "true");
    assert!(server.entry().leaving);
    let times: Vec<_> = server.journal().entries.iter().map(|run| run.leaving_ms).collect();
    assert_eq!(times[0], None);
    assert!(times[1].unwrap() >= 20);
}

/// Guards against faults that differ between two servers with the same seed.
#[tokio::test]
async fn seed_repeats_faults() {
    let mut outcomes = Vec::new();
    for _ in 0..2 {
        let server = server(|settings| settings.seed = 7).await;
        server.set_faults(BackendFaults { error: 0.5, ..BackendFaults::default() });
        let client = client();
        let mut statuses = Vec::new();
        for number in 0..20 {
            let response = call(&client, &server, &number.to_string()).await.unwrap();
            statuses.push(response.status().as_u16());
        }
        outcomes.push(statuses);
    }
    assert_eq!(outcomes[0], outcomes[1]);
    assert!(outcomes[0].contains(&200) && outcomes[0].contains(&500));
}
