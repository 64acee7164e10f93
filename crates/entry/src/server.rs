//! HTTP interface for callers: routes, and the exchange of a request that the filters process.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use axum::Router;
use axum::body::Body;
use axum::extract::{Request, State};
use axum::routing::get;
use http::{HeaderValue, Method, Response, StatusCode, Version, header};
use lacewingrail_listener::{HttpProtocol, HttpSettings, RefusalFormat, RequestRefusal};
use lacewingrail_membership::Membership;
use lacewingrail_model::InstanceId;
use lacewingrail_model::config::Policy;
use lacewingrail_telemetry::MetricsRegistry;
use tokio::time::Instant;

use crate::chain::FilterChain;
use crate::drain::DrainTracker;
use crate::exchange::{CallerResponse, DispatchState, Refusal, RequestClass, RequestExchange};

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

/// Returns the settings of the server for callers: filters read the bodies, since their limits
/// depend on the customer.
pub fn http_settings() -> HttpSettings {
    HttpSettings {
        protocol: HttpProtocol::Http1And2,
        max_body_bytes: None,
        format: Arc::new(CallerFormat),
    }
}

/// Format of refusals like that of all others.
struct CallerFormat;

impl RefusalFormat for CallerFormat {
    fn response(&self, refusal: &RequestRefusal) -> Response<Body> {
        CallerResponse::from(Refusal::from(refusal.clone())).into_response()
    }
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
        let (mut parts, unread_body) = request.into_parts();
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
            body_reader: parts.extensions.remove(),
            body: bytes::Bytes::new(),
            customer: "".into(),
            class: RequestClass::Normal,
            repeatable: true,
            deadline: arrival + policy.default_deadline.0,
            response_deadline: arrival + policy.default_deadline.0,
            policy,
            traceparent: String::new(),
            dispatch: Arc::new(DispatchState::default()),
            body_charge: None,
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
