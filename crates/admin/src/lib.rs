//! The administration API and the status page.
//!
//! Every scheduler process serves [`router`], and any of them can handle any request: settings and
//! job records are read from the key-value service, and state that only the active scheduler of a
//! failure domain has is queried through [`AdminContext`]. Records are written by compare-and-swap,
//! so concurrent writes through different processes cannot both succeed on the same version.

mod access;
mod config_routes;
mod context;
mod domain_query;
mod domain_routes;
mod error;
mod job_routes;
mod job_store;
mod page;
mod rate;
mod submission;
mod tree_writer;

use std::sync::Arc;

use axum::Router;
use axum::extract::{DefaultBodyLimit, State};
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::routing::{get, post, put};

pub use context::{AdminContext, VetoOutcome, process_status};
pub use rate::{CALL_BURST, CALLS_PER_SECOND};
pub use submission::SubmissionRecord;

use crate::error::RouteError;
use crate::rate::RateLimiter;
use crate::submission::SubmissionPurge;

/// Maximum body size of requests that carry a settings tree, in bytes. Validation of the tree
/// applies a size limit of its own.
pub const MAX_TREE_BODY_BYTES: usize = 1_000_000;
/// Maximum body size of all other requests, in bytes; a job record is about 1 KB.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// State shared by all route handlers of one process.
pub(crate) struct AdminState {
    pub(crate) context: Arc<dyn AdminContext>,
    pub(crate) limiter: RateLimiter,
    pub(crate) submission_purge: SubmissionPurge,
}

/// Shared reference to the state, the form in which axum passes it to the handlers.
pub(crate) type SharedState = Arc<AdminState>;

/// Builds the router of the administration API and merges `metrics`, which serves `/metrics`, into
/// it.
pub fn router(context: Arc<dyn AdminContext>, metrics: Router) -> Router {
    let state = Arc::new(AdminState {
        context,
        limiter: RateLimiter::default(),
        submission_purge: SubmissionPurge::default(),
    });
    let tree_routes = Router::new()
        .route("/v1/config", put(config_routes::put_tree).get(config_routes::get_tree))
        .route("/v1/config/dry-run", post(config_routes::dry_run))
        .layer(DefaultBodyLimit::max(MAX_TREE_BODY_BYTES));
    let other_routes = Router::new()
        .route("/v1/config/effective", get(config_routes::effective_global))
        .route("/v1/config/effective/{*path}", get(config_routes::effective_path))
        .route("/v1/jobs", post(job_routes::submit).get(job_routes::list))
        .route("/v1/jobs/{id}", get(job_routes::get).delete(job_routes::cancel))
        .route("/v1/jobs/{id}/why", get(job_routes::explain))
        .route("/v1/domains", get(domain_routes::list_domains))
        .route("/v1/domains/{domain}/out", post(domain_routes::take_out_of_service))
        .route("/v1/domains/{domain}/in", post(domain_routes::return_to_service))
        .route("/v1/workers", get(domain_routes::list_workers))
        .route("/v1/guarantees", get(domain_routes::list_guarantees))
        .route("/v1/status", get(domain_routes::get_status))
        .route("/", get(page::serve))
        .route("/healthz", get(healthz))
        .route("/readyz", get(readyz))
        .fallback(unknown_route)
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES));
    tree_routes.merge(other_routes).with_state(state).merge(metrics)
}

async fn healthz() -> &'static str {
    "ok\n"
}

async fn readyz(State(state): State<SharedState>) -> axum::response::Response {
    match state.context.not_ready_reason() {
        None => "ready\n".into_response(),
        Some(reason) => (StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n")).into_response(),
    }
}

async fn unknown_route() -> RouteError {
    RouteError::new(
        StatusCode::NOT_FOUND,
        "the route does not exist",
        "see docs/administration.md for all routes",
    )
}
