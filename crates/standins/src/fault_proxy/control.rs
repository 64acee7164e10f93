//! HTTP control interface of a fault proxy.

use std::io;

use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use serde::{Deserialize, Serialize};

use crate::fault_proxy::FaultProxy;
use crate::fault_proxy::link::LinkReport;
use crate::fault_proxy::rules::{LinkRule, LinkSelection, LinkSpec};
use crate::server::ServerHandle;

/// Requests a new rule for the selected links.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct RuleBody {
    /// Links to change; all links if absent.
    #[serde(default)]
    pub selection: LinkSelection,
    /// Rule that replaces the current one; no faults if absent.
    #[serde(default)]
    pub rule: LinkRule,
}

/// Requests a partition of two groups.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PartitionBody {
    /// Group whose bytes to the other are held.
    pub from: String,
    /// Group whose bytes to the first are held too, unless `one_way` is set.
    pub to: String,
    /// Whether only the bytes from `from` to `to` are held.
    #[serde(default)]
    pub one_way: bool,
}

/// Serves the control interface on an address such as `127.0.0.1:0`; fails if it cannot be bound.
pub async fn spawn_control(address: &str, proxy: FaultProxy) -> io::Result<ServerHandle> {
    let router = Router::new()
        .route("/v1/links", get(links).post(add_link))
        .route("/v1/rules", post(set_rule))
        .route("/v1/cut", post(partition))
        .route("/v1/heal", post(heal))
        .route("/v1/silence", post(silence))
        .route("/v1/reset", post(reset))
        .with_state(proxy);
    ServerHandle::spawn(address, router).await
}

async fn links(State(proxy): State<FaultProxy>) -> Json<Vec<LinkReport>> {
    Json(proxy.links())
}

async fn add_link(State(proxy): State<FaultProxy>, Json(spec): Json<LinkSpec>) -> Response {
    match proxy.add_link(spec).await {
        Ok(address) => Json(serde_json::json!({ "address": address })).into_response(),
        Err(error) => (StatusCode::CONFLICT, error.to_string()).into_response(),
    }
}

async fn set_rule(State(proxy): State<FaultProxy>, Json(body): Json<RuleBody>) -> Response {
    answer_link_count(proxy.set_rule(&body.selection, body.rule))
}

async fn partition(State(proxy): State<FaultProxy>, Json(body): Json<PartitionBody>) -> Response {
    answer_link_count(if body.one_way {
        proxy.partition_one_way(&body.from, &body.to)
    } else {
        proxy.partition(&body.from, &body.to)
    })
}

async fn heal(State(proxy): State<FaultProxy>) -> Response {
    answer_link_count(proxy.set_rule(&LinkSelection::all(), LinkRule::default()))
}

async fn silence(State(proxy): State<FaultProxy>, Json(links): Json<LinkSelection>) -> Response {
    answer_link_count(proxy.silence(&links))
}

async fn reset(State(proxy): State<FaultProxy>, Json(links): Json<LinkSelection>) -> Response {
    answer_link_count(proxy.reset(&links))
}

/// Answers with the number of links that a call affected, or 404 for none.
fn answer_link_count(links: usize) -> Response {
    let status = if links == 0 { StatusCode::NOT_FOUND } else { StatusCode::OK };
    (status, Json(serde_json::json!({ "links": links }))).into_response()
}
