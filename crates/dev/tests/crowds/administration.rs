//! Crowds at the administration API of a scheduler process.

use lacewingrail_dev::api::OPERATOR_TOKEN;
use lacewingrail_standins::CrowdScript;
use reqwest::Method;

use crate::crowd_bed::{CrowdBed, MANY_CONNECTIONS};
use crate::process::ProcessKind;

/// Number of clients that send more than the process has memory.
const LARGE_CROWD: usize = 320;
/// Number of bytes that each client sends of a head that never ends.
const ENDLESS_BYTES: usize = 400_000;
/// Largest settings tree that the API accepts, in bytes.
const TREE_BYTES: usize = 1_000_000;

async fn check(mut bed: CrowdBed) {
    bed.check_resources().await;
    for path in ["/healthz", "/readyz", "/metrics"] {
        assert!(bed.is_served(Method::GET, path, Vec::new()).await, "{path} is not answered");
    }
    bed.check_resources().await;
}

/// Guards against clients that connect, send nothing, and use up the descriptors.
#[tokio::test]
async fn silent_connections_are_bounded() {
    let bed = CrowdBed::start(ProcessKind::Scheduler, "silent-admin").await;
    let _crowd = bed.send_crowd(MANY_CONNECTIONS, CrowdScript::new([])).await;
    check(bed).await;
}

/// Guards against heads without end, which the library bounds for each connection only.
#[tokio::test]
async fn heads_without_end_are_bounded() {
    let bed = CrowdBed::start(ProcessKind::Scheduler, "heads-admin").await;
    let mut bytes = b"GET /healthz HTTP/1.1\r\nHost: a\r\nX-Padding: ".to_vec();
    bytes.resize(ENDLESS_BYTES, b'x');
    let _crowd = bed.send_crowd(LARGE_CROWD, CrowdScript::new(bytes)).await;
    check(bed).await;
}

/// Guards against settings trees that stop just short of their end.
#[tokio::test]
async fn trees_that_stop_short_are_bounded() {
    let bed = CrowdBed::start(ProcessKind::Scheduler, "trees-admin").await;
    let head = "POST /v1/config/dry-run HTTP/1.1\r\nHost: a";
    let key = format!("Authorization: Bearer {OPERATOR_TOKEN}");
    let mut bytes = format!("{head}\r\n{key}\r\nContent-Length: {TREE_BYTES}\r\n\r\n").into_bytes();
    bytes.resize(bytes.len() + TREE_BYTES - 1, b' ');
    let _crowd = bed.send_crowd(LARGE_CROWD, CrowdScript::new(bytes)).await;
    check(bed).await;
}
