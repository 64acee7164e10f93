//! What clients of an HTTP server see of its limits.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::extract::State;
use bytes::Bytes;
use lacewingrail_listener::limits::{BODY_TIMEOUT, HEAD_TIMEOUT, MAX_HEAD_BYTES};
use lacewingrail_listener::{
    HttpProtocol, HttpServer, HttpSettings, ListenerRole, ListenerState, PlainFormat, RefusalReason,
};
use lacewingrail_model::ProcessResources;
use lacewingrail_model::timer::TimerService;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Resources with which a listener for clients accepts 8 connections, serves 6 requests at a time and
/// holds 12 KB of them.
const FEW: ProcessResources = ProcessResources { memory_bytes: 96 << 10, descriptors: 0 };
/// Largest body that the server accepts, in bytes.
const MAX_BODY_BYTES: usize = 10_000;
/// Bound against tests without an end.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Server that answers with the body of the request, or holds the request while it has no permit.
struct EchoServer {
    address: SocketAddr,
    state: ListenerState,
    permits: Arc<Semaphore>,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl EchoServer {
    async fn start() -> Self {
        Self::start_with(HttpProtocol::Http1).await
    }

    async fn start_with(protocol: HttpProtocol) -> Self {
        let state = ListenerState::with_resources("test", &FEW, ListenerRole::Clients);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let permits = Arc::new(Semaphore::new(100));
        let echo = |State(permits): State<Arc<Semaphore>>, body: String| async move {
            let _permit = permits.acquire().await.expect("the semaphore stays open");
            body
        };
        let router = Router::new().fallback(echo).with_state(permits.clone());
        let settings = HttpSettings {
            protocol,
            max_body_bytes: Some(MAX_BODY_BYTES),
            format: Arc::new(PlainFormat),
        };
        let server =
            HttpServer::new(listener, state.clone(), TimerService::new(), router, settings);
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(server.serve(stopped));
        Self { address, state, permits, stop, task }
    }

    /// Opens a connection and sends bytes on it.
    async fn send(&self, bytes: impl AsRef<[u8]>) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).await.expect("the server listens");
        stream.write_all(bytes.as_ref()).await.expect("the server reads");
        stream
    }

    /// Waits until a condition of the server holds.
    async fn wait_until(&self, holds: impl Fn(&ListenerState) -> bool) {
        let wait = async {
            while !holds(&self.state) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(TIMEOUT, wait).await.expect("the condition holds in the end");
    }
}

/// Reads until the server closes the connection.
async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let read = tokio::time::timeout(TIMEOUT, stream.read_to_end(&mut bytes)).await;
    read.expect("the server closes the connection").expect("an orderly close");
    String::from_utf8(bytes).expect("text")
}

/// Reads until the answer contains a text.
async fn read_until(stream: &mut TcpStream, text: &str) -> String {
    let mut answer = String::new();
    while !answer.contains(text) {
        let mut bytes = [0; 1024];
        let read = tokio::time::timeout(TIMEOUT, stream.read(&mut bytes)).await;
        let count = read.expect("the server answers").expect("the connection is open");
        assert!(count > 0, "the connection ended after {answer:?}");
        answer.push_str(std::str::from_utf8(&bytes[..count]).expect("text"));
    }
    answer
}

/// Guards against bodies that are changed while their parts are copied.
#[tokio::test]
async fn tiny_chunks_arrive_complete() {
    let server = EchoServer::start().await;
    let body: String = ('a'..='z').cycle().take(3000).collect();
    let chunks: String = body.chars().map(|byte| format!("1\r\n{byte}\r\n")).collect();
    let request = format!(
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n\
         {chunks}0\r\nTrailer: x\r\n\r\n"
    );
    let mut stream = server.send(request).await;
    let answer = read_to_end(&mut stream).await;
    assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with(&body), "{answer}");
    assert_eq!(server.state.memory().used(), 0);
}

/// Guards against heads at the limit of the pages that are refused, and against larger ones that are
/// kept.
#[tokio::test]
async fn heads_are_limited() {
    let server = EchoServer::start().await;
    let head = |bytes: usize| format!("GET / HTTP/1.1\r\nHost: a\r\nX: {}\r\n", "x".repeat(bytes));
    let mut legal = server.send(head(16_384) + "Connection: close\r\n\r\n").await;
    assert!(read_to_end(&mut legal).await.starts_with("HTTP/1.1 200"));
    let mut large = server.send(head(MAX_HEAD_BYTES)).await;
    assert!(read_until(&mut large, "\r\n").await.starts_with("HTTP/1.1 431"));
    server.wait_until(|state| state.refusals().total(RefusalReason::HeadLimit) == 1).await;
}

/// Guards against a body over the limit that is read before it is refused.
#[tokio::test]
async fn bodies_over_the_limit_are_refused_by_their_heads() {
    let server = EchoServer::start().await;
    let length = MAX_BODY_BYTES + 1;
    let request = format!("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n");
    let mut stream = server.send(request).await;
    assert!(read_to_end(&mut stream).await.starts_with("HTTP/1.1 413"));
}

/// Guards against a client that is sent away without learning that its request has not run.
#[tokio::test]
async fn the_oldest_unfinished_body_is_refused_for_others() {
    let server = EchoServer::start().await;
    let unfinished = format!(
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {MAX_BODY_BYTES}\r\n\r\n{}",
        "x".repeat(MAX_BODY_BYTES - 1)
    );
    let mut first = server.send(&unfinished).await;
    server.wait_until(|state| state.memory().used() as usize >= MAX_BODY_BYTES - 1).await;
    let mut second = server.send(&unfinished).await;
    let answer = read_to_end(&mut first).await;
    assert!(answer.starts_with("HTTP/1.1 503") && answer.contains("has not run"), "{answer}");
    assert!(answer.to_ascii_lowercase().contains("retry-after: 1\r\n"), "{answer}");
    second.write_all(b"x").await.expect("the second client goes on");
    assert!(read_until(&mut second, "\r\n").await.starts_with("HTTP/1.1 200"));
}

/// Guards against bodies that stop short and are kept in calm.
#[tokio::test]
async fn slow_bodies_are_refused() {
    let server = EchoServer::start().await;
    let request = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nx";
    let mut stream = server.send(request).await;
    server.wait_until(|state| state.memory().used() > 0).await;
    server.state.memory().revoke_overdue(Instant::now() + BODY_TIMEOUT * 2);
    assert!(read_to_end(&mut stream).await.starts_with("HTTP/1.1 408"));
    assert_eq!(server.state.refusals().total(RefusalReason::BodyTimeout), 1);
}

/// Guards against more requests than may be in progress, and against refused ones that wait.
#[tokio::test]
async fn requests_over_the_limit_are_refused_at_once() {
    let server = EchoServer::start().await;
    let _permits = server.permits.acquire_many(100).await.expect("all permits are free");
    let request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    let mut held = Vec::new();
    for _ in 0..server.state.limits().max_requests {
        held.push(server.send(request).await);
    }
    server.wait_until(|state| state.connections().requests() == state.limits().max_requests).await;
    let mut refused = server.send(request).await;
    let answer = read_to_end(&mut refused).await;
    assert!(answer.starts_with("HTTP/1.1 503") && answer.contains("has not run"), "{answer}");
    assert_eq!(server.state.refusals().total(RefusalReason::RequestLimit), 1);
}

/// Guards against connections that are closed under their callers, who would rather be told before.
#[tokio::test]
async fn callers_are_told_to_close_where_connections_run_short() {
    let server = EchoServer::start().await;
    let request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    let mut early = server.send(request).await;
    assert!(!read_until(&mut early, "\r\n\r\n").await.contains("connection: close"));
    let mut silent = Vec::new();
    for _ in 0..6 {
        silent.push(server.send("").await);
    }
    server.wait_until(|state| state.connections().is_crowded()).await;
    early.write_all(request.as_bytes()).await.expect("the connection is open");
    assert!(read_to_end(&mut early).await.contains("connection: close"));
}

/// Guards against a shutdown that interrupts requests, or waits for idle connections.
#[tokio::test]
async fn a_stopped_server_answers_what_it_serves() {
    let server = EchoServer::start().await;
    let request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    let mut idle = server.send(request).await;
    read_until(&mut idle, "\r\n\r\n").await;
    server.wait_until(|state| state.connections().requests() == 0).await;
    let permits = server.permits.acquire_many(100).await.expect("all permits are free");
    let mut served = server.send(request).await;
    server.wait_until(|state| state.connections().requests() == 1).await;
    server.stop.send_replace(true);
    assert_eq!(read_to_end(&mut idle).await, "");
    drop(permits);
    assert!(read_to_end(&mut served).await.starts_with("HTTP/1.1 200"));
    let ended = tokio::time::timeout(TIMEOUT, server.task).await;
    assert!(ended.is_ok_and(|ended| ended.is_ok()), "the server ends");
}

/// Sends a request over HTTP/2; the stream keeps its body open.
fn begin_stream(
    sender: &mut h2::client::SendRequest<Bytes>,
    part: &'static str,
) -> (h2::client::ResponseFuture, h2::SendStream<Bytes>) {
    let request = http::Request::post("http://a/").body(()).expect("a valid request");
    let (response, mut stream) = sender.send_request(request, false).expect("a new stream");
    stream.send_data(Bytes::from_static(part.as_bytes()), false).expect("an open stream");
    (response, stream)
}

/// Guards against an unfinished body that closes the other requests of its HTTP/2 connection, and
/// against frames between requests that count as a slow head.
#[tokio::test]
async fn unfinished_streams_are_refused_one_by_one() {
    let server = EchoServer::start_with(HttpProtocol::Http1And2).await;
    let socket = TcpStream::connect(server.address).await.expect("the server listens");
    let (mut sender, connection) = h2::client::handshake(socket).await.expect("HTTP/2");
    tokio::spawn(connection);
    let (unfinished, _stream) = begin_stream(&mut sender, "x");
    server.wait_until(|state| state.memory().used() > 0).await;
    server.state.memory().revoke_overdue(Instant::now() + BODY_TIMEOUT * 2);
    let refused = unfinished.await.expect("an answer");
    assert_eq!(refused.status(), 408);
    server.state.connections().close_overdue(Instant::now() + HEAD_TIMEOUT * 2);
    let (response, mut stream) = begin_stream(&mut sender, "y");
    stream.send_data(Bytes::new(), true).expect("an open stream");
    assert_eq!(response.await.expect("an answer").status(), 200);
    assert_eq!(server.state.refusals().total(RefusalReason::HeadTimeout), 0);
}
