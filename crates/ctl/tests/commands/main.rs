//! Tests of the commands against the administration API with an in-memory store.

#[allow(dead_code)] // Shared with the API tests, which use more of it.
#[path = "../../../admin/tests/api/harness.rs"]
mod harness;

mod changes;
mod reports;

use std::sync::Arc;

use axum::Router;
use axum::extract::Request;
use axum::http::{Method, StatusCode};
use axum::middleware::{Next, from_fn};
use axum::response::IntoResponse;
use harness::{OPERATOR_TOKEN, TestContext};

/// Output and exit code of a command.
pub struct CommandOutput {
    /// Exit code of the process.
    pub exit_code: u8,
    /// Text on the standard output.
    pub stdout: String,
    /// Text on the standard error.
    pub stderr: String,
}

/// Serves the API on a free loopback port and returns its URL.
pub async fn serve(router: Router) -> String {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move { axum::serve(listener, router).await });
    format!("http://{address}")
}

/// Serves an API that processes writes but replaces their responses by 504, as if they were lost.
pub async fn serve_losing_write_responses(context: &Arc<TestContext>) -> String {
    let drop_write_responses = from_fn(|request: Request, next: Next| async move {
        let is_write = request.method() != Method::GET;
        let response = next.run(request).await;
        if is_write { StatusCode::GATEWAY_TIMEOUT.into_response() } else { response }
    });
    serve(context.router().layer(drop_write_responses)).await
}

/// Returns a URL on which no server listens.
pub async fn unreachable_address() -> String {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("bind");
    format!("http://{}", listener.local_addr().expect("address"))
}

/// Runs one command with an operator token.
pub async fn run(servers: &[&str], command_args: &[&str]) -> CommandOutput {
    let servers = servers.join(",");
    let environment = move |name: &str| match name {
        "LACEWINGRAIL_SERVERS" => Some(servers.clone()),
        "LACEWINGRAIL_TOKEN" => Some(OPERATOR_TOKEN.to_owned()),
        "USER" => Some("ada".to_owned()),
        _ => None,
    };
    let (mut stdout, mut stderr) = (Vec::new(), Vec::new());
    let args = command_args.iter().map(Into::into).collect();
    let exit_code = lacewingrail_ctl::run(args, &environment, &mut stdout, &mut stderr).await;
    let text = |bytes| String::from_utf8(bytes).expect("UTF-8");
    CommandOutput { exit_code, stdout: text(stdout), stderr: text(stderr) }
}

/// Writes a file as input for a command and returns its path.
pub fn write_file(name: &str, text: &str) -> String {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("write");
    path.display().to_string()
}
