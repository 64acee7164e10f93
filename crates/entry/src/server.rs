//! HTTP server for callers: routes, connection limits and graceful shutdown.

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

use crate::chain::FilterChain;
use crate::drain::DrainTracker;
use crate::exchange::{CallerResponse, DispatchState, Refusal, RequestClass, RequestExchange};

/// Maximum concurrent connections from callers; bounds memory.
const MAX_CONNECTIONS: usize = 8192;
/// Maximum concurrent requests on one HTTP/2 connection.
const MAX_HTTP2_STREAMS: u32 = 256;
/// Maximum time for a caller to send the head of a request, counted from the end of the previous
/// one. Load balancers keep idle connections for up to 60 s; closing one earlier would race with
/// its reuse.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(75);
/// Maximum read buffer of one HTTP/1 connection, in bytes.
const READ_BUFFER_BYTES: usize = 64 << 10;
/// Interval between PING frames on HTTP/2 connections, which detect dead ones.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(20);
/// Delay after a failed accept, which happens when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// State shared by the request handlers of one entry process.
pub struct ServerState {
    /// Instance id, the prefix of request ids.
    pub instance: InstanceId,
    /// Filters that every request passes, except probes and metrics.
    pub chain: FilterChain,
    /// Tracker of requests in progress and of the shutdown.
    pub drain_tracker: DrainTracker,
    /// Membership, through which the settings are received.
    pub membership: Membership,
    /// Policy of a request until the identity filter has run.
    pub default_policy: Arc<Policy>,
    /// Number of the next request, the suffix of its id.
    pub next_id: AtomicU64,
}

/// Builds the routes: health probes, metrics, and the filter chain for all other paths.
pub fn build_router(state: Arc<ServerState>, metrics: &MetricsRegistry) -> Router {
    Router::new()
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/readyz", get(handle_readiness))
        .merge(metrics.router())
        .fallback(handle_request)
        .with_state(state)
}

/// Accepts connections until `stop` is true, then returns once every connection has closed.
pub async fn serve(listener: TcpListener, router: Router, mut stop: watch::Receiver<bool>) {
    let graceful = GracefulShutdown::new();
    let connection_permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT)
        .max_buf_size(READ_BUFFER_BYTES);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_HTTP2_STREAMS)
        .keep_alive_interval(KEEP_ALIVE_INTERVAL);
    loop {
        // The semaphore is never closed.
        let Ok(permit) = connection_permits.clone().acquire_owned().await else {
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
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let _ = TcpStream::set_nodelay(&stream, true);
        let service = TowerToHyperService::new(router.clone());
        let connection = builder.serve_connection(TokioIo::new(stream), service).into_owned();
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("a caller connection failed: {error}");
            }
            drop(permit);
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

async fn handle_readiness(State(state): State<Arc<ServerState>>) -> (StatusCode, &'static str) {
    if state.drain_tracker.is_leaving() {
        return (StatusCode::SERVICE_UNAVAILABLE, "leaving\n");
    }
    if !state.membership.ready() {
        return (StatusCode::SERVICE_UNAVAILABLE, "the settings are not known yet\n");
    }
    (StatusCode::OK, "ready\n")
}

async fn handle_request(State(state): State<Arc<ServerState>>, request: Request) -> Response<Body> {
    let version = request.version();
    let response = match state.build_exchange(request) {
        Ok(exchange) => state.chain.clone().run(Box::new(exchange)).await,
        Err(refusal) => CallerResponse::from(refusal),
    };
    let mut response = response.into_response();
    // Makes callers reconnect through the load balancer, which selects another process.
    if state.drain_tracker.is_leaving() && version < Version::HTTP_2 {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

impl ServerState {
    /// Builds the exchange of a request with default values for what the filters set; refuses a
    /// path without a service.
    fn build_exchange(&self, request: Request) -> Result<RequestExchange, Refusal> {
        let in_flight = self.drain_tracker.track();
        let (parts, unread_body) = request.into_parts();
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let (service, target) = split_path(path);
        if service.is_empty() || parts.method == Method::CONNECT {
            let message = "the path names no service; write it as /<service>/<path>";
            return Err(Refusal::not_run(StatusCode::NOT_FOUND, "no-service", message));
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
            unread_body: Mutex::new(unread_body),
            body: bytes::Bytes::new(),
            customer: "".into(),
            class: RequestClass::Normal,
            repeatable: true,
            deadline: arrival + policy.default_deadline.0,
            response_deadline: arrival + policy.default_deadline.0,
            policy,
            traceparent: String::new(),
            dispatch: Arc::new(DispatchState::default()),
            body_permit: None,
            customer_permit: None,
            service_permit: None,
            in_flight,
        })
    }
}

/// Splits a path into the service name and the path that is sent to its backend servers.
fn split_path(path: &str) -> (&str, String) {
    let path = path.strip_prefix('/').unwrap_or(path);
    let end = path.find(['/', '?']).unwrap_or(path.len());
    let (service, rest) = path.split_at(end);
    let target = if rest.starts_with('/') { rest.to_owned() } else { format!("/{rest}") };
    (service, target)
}

/// Replaces port 0 of an address by a free port.
pub fn resolve_port(address: SocketAddr) -> std::io::Result<SocketAddr> {
    if address.port() != 0 {
        return Ok(address);
    }
    std::net::TcpListener::bind(address)?.local_addr()
}
