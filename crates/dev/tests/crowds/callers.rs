//! Crowds at the address of an entry process for callers.

use lacewingrail_standins::CrowdScript;
use lacewingrail_standins::client_crowd::chunk_body;
use reqwest::Method;

use crate::crowd_bed::{CUSTOMER, CrowdBed, MANY_CONNECTIONS, SERVICE};
use crate::process::ProcessKind;

/// Largest body that the settings allow by default, in bytes.
const BODY_BYTES: usize = 1 << 20;
/// Number of clients that declare bodies; at the limit on a body, they declare more than the process
/// has memory.
const DECLARING_CROWD: usize = 120;
/// Number of clients that send chunks of one byte.
const SMALL_CHUNK_CROWD: usize = 60;
/// Number of bytes that each of them sends.
const CHUNKED_BYTES: usize = 262_144;

fn head(framing: &str) -> Vec<u8> {
    let request = format!("POST /{SERVICE}/x HTTP/1.1\r\nHost: a\r\nx-customer: {CUSTOMER}\r\n");
    format!("{request}{framing}\r\n\r\n").into_bytes()
}

async fn check(mut bed: CrowdBed) {
    bed.check_resources().await;
    let body = b"ordinary".to_vec();
    let path = format!("/{SERVICE}/x");
    assert!(bed.is_served(Method::POST, &path, body).await, "an ordinary request is not served");
    for path in ["/readyz", "/metrics"] {
        assert!(bed.is_served(Method::GET, path, Vec::new()).await, "{path} is not answered");
    }
    bed.check_resources().await;
}

/// Guards against callers that take all memory for bodies by declaring them.
#[tokio::test]
async fn declared_bodies_take_nothing_from_others() {
    let bed = CrowdBed::start(ProcessKind::Entry, "declared").await;
    let script = CrowdScript::new(head(&format!("Content-Length: {BODY_BYTES}")));
    let _crowd = bed.send_crowd(DECLARING_CROWD, script).await;
    check(bed).await;
}

/// Guards against bodies that stop just short of their end.
#[tokio::test]
async fn bodies_that_stop_short_are_bounded() {
    let bed = CrowdBed::start(ProcessKind::Entry, "short").await;
    let mut bytes = head(&format!("Content-Length: {BODY_BYTES}"));
    bytes.resize(bytes.len() + BODY_BYTES - 1, b'x');
    let _crowd = bed.send_crowd(DECLARING_CROWD, CrowdScript::new(bytes)).await;
    check(bed).await;
}

/// Guards against a buffer or an entry for each chunk.
#[tokio::test]
async fn tiny_chunks_that_stop_short_are_bounded() {
    let bed = CrowdBed::start(ProcessKind::Entry, "tiny").await;
    let mut bytes = head("Transfer-Encoding: chunked");
    bytes.extend(chunk_body(&vec![b'x'; CHUNKED_BYTES], 1));
    let _crowd = bed.send_crowd(SMALL_CHUNK_CROWD, CrowdScript::new(bytes)).await;
    check(bed).await;
}

/// Guards against callers that connect, send nothing, and use up the descriptors.
#[tokio::test]
async fn silent_connections_are_bounded() {
    let bed = CrowdBed::start(ProcessKind::Entry, "silent").await;
    let _crowd = bed.send_crowd(MANY_CONNECTIONS, CrowdScript::new([])).await;
    check(bed).await;
}
