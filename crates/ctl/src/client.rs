//! HTTP client of the administration API.

use lacewingrail_model::admin::ApiError;
use reqwest::{Method, StatusCode, Url};
use serde::de::DeserializeOwned;

use crate::error::CtlError;
use crate::options::CommonOptions;

/// Rule for retrying a call on the next server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RetryPolicy {
    /// The call is idempotent, so it is always retried.
    Always,
    /// Retried only if the previous server certainly did not process the call.
    OnlyIfNotProcessed,
}

/// Request to the administration API, independent of the server.
pub(crate) struct ApiCall<'a> {
    method: Method,
    /// Path segments, not yet percent-encoded.
    path: Vec<&'a str>,
    query: Vec<(&'a str, String)>,
    headers: Vec<(&'static str, String)>,
    body: Option<String>,
    retry_policy: RetryPolicy,
}

/// Outcome of a call to one server.
pub(crate) enum CallOutcome<T> {
    /// The server processed the call and sent a result.
    Answered(T),
    /// The server rejected the call; every other server would do the same.
    Refused(CtlError),
    /// The server certainly did not process the call; the text gives the cause.
    NotProcessed(String),
    /// The server may have processed the call; the text gives the cause.
    Unknown(String),
}

/// Client that tries the configured servers in order.
pub(crate) struct ApiClient {
    http: reqwest::Client,
    options: CommonOptions,
}

impl<'a> ApiCall<'a> {
    pub(crate) fn new(method: Method, path: &[&'a str]) -> Self {
        Self {
            method,
            path: path.to_vec(),
            query: Vec::new(),
            headers: Vec::new(),
            body: None,
            retry_policy: RetryPolicy::Always,
        }
    }

    pub(crate) fn get(path: &[&'a str]) -> Self {
        Self::new(Method::GET, path)
    }

    pub(crate) fn post(path: &[&'a str]) -> Self {
        Self::new(Method::POST, path)
    }

    /// Adds a query parameter unless its value is `None`.
    pub(crate) fn query(mut self, name: &'a str, value: Option<String>) -> Self {
        self.query.extend(value.map(|value| (name, value)));
        self
    }

    pub(crate) fn header(mut self, name: &'static str, value: String) -> Self {
        self.headers.push((name, value));
        self
    }

    pub(crate) fn body(mut self, body: String) -> Self {
        self.body = Some(body);
        self
    }

    pub(crate) fn retry_policy(mut self, policy: RetryPolicy) -> Self {
        self.retry_policy = policy;
        self
    }
}

impl ApiClient {
    pub(crate) fn new(options: CommonOptions) -> Result<Self, CtlError> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .timeout(options.timeout)
            .connect_timeout(options.timeout.min(std::time::Duration::from_secs(2)))
            .build()
            .map_err(|error| {
                CtlError::Unreachable(vec![format!("the HTTP client cannot be created ({error})")])
            })?;
        Ok(Self { http, options })
    }

    /// Returns the addresses of the servers, or a usage error if none is configured.
    pub(crate) fn servers(&self) -> Result<&[String], CtlError> {
        if self.options.servers.is_empty() {
            return Err(CtlError::usage(
                "no server is configured; use --server http://host:port or LACEWINGRAIL_SERVERS",
            ));
        }
        Ok(&self.options.servers)
    }

    /// Calls the servers in order and returns the first result.
    ///
    /// Fails if a server rejects the call, if no server is left, or if the retry policy forbids
    /// another attempt.
    pub(crate) async fn call<T>(&self, call: &ApiCall<'_>) -> Result<T, CtlError>
    where
        T: DeserializeOwned,
    {
        let mut attempts = Vec::new();
        for server in self.servers()? {
            match self.call_server(server, call).await {
                CallOutcome::Answered(answer) => return Ok(answer),
                CallOutcome::Refused(error) => return Err(error),
                CallOutcome::NotProcessed(cause) => attempts.push(format!("{server}: {cause}")),
                CallOutcome::Unknown(cause) => {
                    attempts.push(format!("{server}: {cause}"));
                    if call.retry_policy == RetryPolicy::OnlyIfNotProcessed {
                        break;
                    }
                }
            }
        }
        Err(CtlError::Unreachable(attempts))
    }

    /// Calls one server, without retries.
    pub(crate) async fn call_server<T>(&self, server: &str, call: &ApiCall<'_>) -> CallOutcome<T>
    where
        T: DeserializeOwned,
    {
        let url = match build_url(server, call) {
            Ok(url) => url,
            Err(error) => return CallOutcome::Refused(error),
        };
        let mut request = self.http.request(call.method.clone(), url);
        if let Some(token) = &self.options.token {
            request = request.bearer_auth(token);
        }
        let author = &self.options.author;
        // A name that is not printable ASCII is not sent.
        if !author.is_empty() && author.bytes().all(|byte| matches!(byte, b' '..=b'~')) {
            request = request.header("x-author", author);
        }
        for (name, value) in &call.headers {
            request = request.header(*name, value);
        }
        if let Some(body) = &call.body {
            request = request.body(body.clone());
        }
        let response = match request.send().await {
            Ok(response) => response,
            Err(error) if error.is_connect() => {
                return CallOutcome::NotProcessed(format!(
                    "the server cannot be reached ({}); check its address and the network",
                    root_cause(&error)
                ));
            }
            Err(error) if error.is_builder() => {
                return CallOutcome::Refused(CtlError::usage(format!(
                    "the request cannot be built ({})",
                    root_cause(&error)
                )));
            }
            Err(error) => {
                return CallOutcome::Unknown(format!(
                    "no answer arrived ({}); show the state before the command is repeated",
                    root_cause(&error)
                ));
            }
        };
        let status = response.status();
        let body = match response.bytes().await {
            Ok(body) => body,
            Err(error) => {
                return CallOutcome::Unknown(format!(
                    "the answer broke off ({}); show the state before the command is repeated",
                    root_cause(&error)
                ));
            }
        };
        parse_response(status, &body)
    }
}

fn build_url(server: &str, call: &ApiCall<'_>) -> Result<Url, CtlError> {
    let invalid_address =
        || CtlError::usage(format!("\"{server}\" is not a server address; write http://host:port"));
    let mut url = Url::parse(server).map_err(|_| invalid_address())?;
    if url.scheme() != "http" {
        return Err(invalid_address());
    }
    url.path_segments_mut().map_err(|()| invalid_address())?.pop_if_empty().extend(&call.path);
    if !call.query.is_empty() {
        url.query_pairs_mut().extend_pairs(&call.query);
    }
    Ok(url)
}

fn parse_response<T>(status: StatusCode, body: &[u8]) -> CallOutcome<T>
where
    T: DeserializeOwned,
{
    if status.is_success() {
        return match serde_json::from_slice(body) {
            Ok(answer) => CallOutcome::Answered(answer),
            Err(error) => CallOutcome::Unknown(format!(
                "the answer is not understood ({error}); compare the versions of both programs"
            )),
        };
    }
    let error = serde_json::from_slice(body).unwrap_or_else(|_| ApiError {
        reason: format!("the server answered {status}"),
        mend: "check that the address is that of a scheduler process".to_owned(),
        ..ApiError::default()
    });
    match status {
        // A conflict without a version, such as cancelling an ended job, is not a concurrent
        // change.
        StatusCode::CONFLICT if error.current_version.is_some() => {
            CallOutcome::Refused(CtlError::Conflict(error))
        }
        StatusCode::SERVICE_UNAVAILABLE => {
            CallOutcome::NotProcessed(format!("{}; {}", error.reason, error.mend))
        }
        status if status.is_client_error() => CallOutcome::Refused(CtlError::Refused(error)),
        _ => CallOutcome::Unknown(format!("{}; {}", error.reason, error.mend)),
    }
}

/// Returns the text of the root cause, which is the most specific.
fn root_cause(error: &reqwest::Error) -> String {
    let mut cause: &dyn std::error::Error = error;
    while let Some(inner) = cause.source() {
        cause = inner;
    }
    cause.to_string()
}
