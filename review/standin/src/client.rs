//! Client of the system: one HTTP/1.1 call on a connection of its own.

use std::time::Duration;

use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::record::Record;

/// Host header that the settings route.
pub const HOST: &str = "desk.example";
/// Key of the only customer.
pub const API_KEY: &str = "key-1";
/// Time for which a client waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// Complete answer of an instance.
pub struct Answer {
    pub status: u16,
    pub body: Value,
}

/// Calls an instance and records the call; `None` without a complete answer.
pub async fn call(
    record: &Record,
    address: &str,
    method: &str,
    path: &str,
    body: Option<&Value>,
) -> Option<Answer> {
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, exchange(address, method, path, body)).await;
    let answer = answer.ok().flatten();
    let outcome = answer.as_ref().map(|answer| format!("{} {}", answer.status, answer.body));
    let outcome = outcome.unwrap_or_else(|| "no answer".to_owned());
    let sent = body.map(|body| format!(" {body}")).unwrap_or_default();
    record.line(format!("client {method} {path} at {address}{sent}: {outcome}"));
    answer
}

/// Calls an address without a record, as a readiness probe does.
pub async fn exchange(
    address: &str,
    method: &str,
    path: &str,
    body: Option<&Value>,
) -> Option<Answer> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let body = body.map(Value::to_string).unwrap_or_default();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {API_KEY}\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\nX-Time-Remaining: 3000\r\n\
         Connection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.ok()?;
    let text = String::from_utf8_lossy(&bytes);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split_whitespace().nth(1)?.parse().ok()?;
    Some(Answer { status, body: serde_json::from_str(body).unwrap_or(Value::Null) })
}
