//! The HTTP server for callers.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::extract::{Request, State};
use axum::routing::get;
use http::{HeaderValue, Method, Response, StatusCode, Version, header};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use lacewingrail_membership::Membership;
use lacewingrail_model::InstanceId;
use lacewingrail_model::config::Policy;
use lacewingrail_telemetry::MetricsRegistry;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time::Instant;

use crate::chain::NextFilter;
use crate::drain::DrainGate;
use crate::exchange::{CallerAnswer, HandOver, Refusal, RequestClass, RequestExchange};

/// Connections of callers at a time; bounds memory.
const MAX_CONNECTIONS: usize = 8192;
/// Requests at a time on one HTTP/2 connection.
const MAX_STREAMS: u32 = 256;
/// Time for a caller to send the head of a request, counted from the end of the one before. Load
/// balancers keep idle connections for up to 60 s, and closing one earlier would race with its use.
const HEAD_TIMEOUT: Duration = Duration::from_secs(75);
/// Buffer for reading on one HTTP/1 connection, in bytes.
const READ_BUFFER_BYTES: usize = 64 << 10;
/// Time after which an HTTP/2 connection without a sign of life is closed.
const KEEP_ALIVE: Duration = Duration::from_secs(20);
/// Pause after a failed accept; it fails when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Holds what the handlers of requests share.
pub struct ServerState {
    /// Prefix of request ids.
    pub instance: InstanceId,
    /// Filters.
    pub chain: NextFilter,
    /// Requests in progress.
    pub gate: DrainGate,
    /// View of the other processes.
    pub membership: Membership,
    /// Policy before the customer is known.
    pub default_policy: Arc<Policy>,
    /// Counts requests.
    pub next_id: AtomicU64,
}

/// Builds the routes: probes, metrics, and everything else through the filters.
pub fn build_router(state: Arc<ServerState>, metrics: &MetricsRegistry) -> Router {
    Router::new()
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/readyz", get(answer_readiness))
        .merge(metrics.router())
        .fallback(answer_request)
        .with_state(state)
}

/// Serves callers until `stop` turns true, and then until every connection has ended.
pub async fn serve(listener: TcpListener, router: Router, mut stop: watch::Receiver<bool>) {
    let graceful = GracefulShutdown::new();
    let places = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(READ_BUFFER_BYTES);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_STREAMS)
        .keep_alive_interval(KEEP_ALIVE);
    loop {
        // The semaphore is never closed.
        let Ok(place) = places.clone().acquire_owned().await else {
            return;
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("cannot accept a connection: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let _ = TcpStream::set_nodelay(&stream, true);
        let service = TowerToHyperService::new(router.clone());
        let connection = builder.serve_connection(TokioIo::new(stream), service).into_owned();
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("a connection of a caller ended: {error}");
            }
            drop(place);
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

async fn answer_readiness(State(state): State<Arc<ServerState>>) -> (StatusCode, &'static str) {
    if state.gate.is_leaving() {
        return (StatusCode::SERVICE_UNAVAILABLE, "leaving\n");
    }
    if !state.membership.ready() {
        return (StatusCode::SERVICE_UNAVAILABLE, "the settings are not known yet\n");
    }
    (StatusCode::OK, "ready\n")
}

async fn answer_request(State(state): State<Arc<ServerState>>, request: Request) -> Response<Body> {
    let version = request.version();
    let answer = match state.build_exchange(request) {
        Ok(exchange) => state.chain.clone().run(Box::new(exchange)).await,
        Err(refusal) => CallerAnswer::from(refusal),
    };
    let mut response = answer.into_response();
    // Callers on a kept connection come back through the load balancer, to another process.
    if state.gate.is_leaving() && version < Version::HTTP_2 {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

impl ServerState {
    fn build_exchange(&self, request: Request) -> Result<RequestExchange, Refusal> {
        let in_flight = self.gate.enter();
        let (parts, incoming) = request.into_parts();
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let (service, target) = split_path(path);
        if service.is_empty() || parts.method == Method::CONNECT {
            let reason = "the path names no service; write it as /<service>/<path>";
            return Err(Refusal::not_run(StatusCode::NOT_FOUND, "no-service", reason));
        }
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        let arrival = Instant::now();
        let policy = self.default_policy.clone();
        Ok(RequestExchange {
            id: format!("{}-{number}", self.instance),
            arrival,
            method: parts.method,
            version: parts.version,
            service: service.into(),
            target,
            headers: parts.headers,
            incoming: Mutex::new(incoming),
            body: bytes::Bytes::new(),
            customer: "".into(),
            class: RequestClass::Normal,
            repeatable: true,
            deadline: arrival + policy.default_deadline.0,
            give_up: arrival + policy.default_deadline.0,
            policy,
            traceparent: String::new(),
            hand_over: Arc::new(HandOver::default()),
            body_permit: None,
            customer_permit: None,
            overload_permit: None,
            in_flight,
        })
    }
}

/// Splits a path into the service and the path that its backend servers see.
fn split_path(path: &str) -> (&str, String) {
    let path = path.strip_prefix('/').unwrap_or(path);
    let end = path.find(['/', '?']).unwrap_or(path.len());
    let (service, rest) = path.split_at(end);
    let target = if rest.starts_with('/') { rest.to_owned() } else { format!("/{rest}") };
    (service, target)
}

/// Selects a free port where an address has port 0.
pub fn resolve_port(address: SocketAddr) -> std::io::Result<SocketAddr> {
    if address.port() != 0 {
        return Ok(address);
    }
    std::net::TcpListener::bind(address)?.local_addr()
}
