//! HTTP control of a fault proxy.

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

/// Sets the rule of the selected links.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct RuleBody {
    /// Links.
    #[serde(default)]
    pub selection: LinkSelection,
    /// New rule.
    #[serde(default)]
    pub rule: LinkRule,
}

/// Cuts two groups from each other, or heals the cut.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CutBody {
    /// First group.
    pub from: String,
    /// Second group.
    pub to: String,
    /// States that only the bytes from the first to the second are held.
    #[serde(default)]
    pub one_way: bool,
}

/// Serves the control of a proxy on an address such as `127.0.0.1:0`.
pub async fn spawn_control(address: &str, proxy: FaultProxy) -> io::Result<ServerHandle> {
    let router = Router::new()
        .route("/v1/links", get(links).post(add_link))
        .route("/v1/rules", post(set_rule))
        .route("/v1/cut", post(cut))
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
    met(proxy.set_rule(&body.selection, body.rule))
}

async fn cut(State(proxy): State<FaultProxy>, Json(body): Json<CutBody>) -> Response {
    met(if body.one_way {
        proxy.cut_toward(&body.from, &body.to)
    } else {
        proxy.cut_between(&body.from, &body.to)
    })
}

async fn heal(State(proxy): State<FaultProxy>) -> Response {
    met(proxy.set_rule(&LinkSelection::all(), LinkRule::default()))
}

async fn silence(State(proxy): State<FaultProxy>, Json(links): Json<LinkSelection>) -> Response {
    met(proxy.silence(&links))
}

async fn reset(State(proxy): State<FaultProxy>, Json(links): Json<LinkSelection>) -> Response {
    met(proxy.reset(&links))
}

/// Answers with the number of links that a call met, or 404 for none.
fn met(links: usize) -> Response {
    let status = if links == 0 { StatusCode::NOT_FOUND } else { StatusCode::OK };
    (status, Json(serde_json::json!({ "links": links }))).into_response()
}
