//! HTTP client of the administration API.

use std::fmt;
use std::time::Duration;

use lacewingrail_model::ConfigVersion;
use lacewingrail_model::admin::{ApiError, DomainChange, StatusReport, TreeReport, WriteReport};
use lacewingrail_model::job::{JobRecord, JobSpec};
use reqwest::{Method, RequestBuilder, StatusCode};
use serde::de::DeserializeOwned;

/// Access token of an operator; the settings trees in `examples/` contain its digest.
pub const OPERATOR_TOKEN: &str = "dev-operator";
/// Timeout of one call, above the 3 s that taking a failure domain out of service may need.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Client of the administration API of one scheduler process.
#[derive(Clone, Debug)]
pub struct AdminClient {
    http: reqwest::Client,
    base_url: String,
}

/// Error of a call to the administration API.
#[derive(Clone, Debug, PartialEq)]
pub enum CallError {
    /// The process refused the call with a status and an error body.
    Refused(StatusCode, ApiError),
    /// No answer arrived, or its body could not be decoded; the text says why.
    Failed(String),
}

impl fmt::Display for CallError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(status, error) => {
                write!(formatter, "{status}: {}; {}", error.reason, error.mend)
            }
            Self::Failed(cause) => write!(formatter, "no answer: {cause}"),
        }
    }
}

impl std::error::Error for CallError {}

impl AdminClient {
    /// Creates a client for a base URL such as `http://127.0.0.1:8090`.
    pub fn new(base_url: impl Into<String>) -> Self {
        let builder = reqwest::Client::builder().no_proxy().timeout(CALL_TIMEOUT);
        Self { http: builder.build().unwrap_or_default(), base_url: base_url.into() }
    }

    /// Returns the base URL.
    pub fn base_url(&self) -> &str {
        &self.base_url
    }

    /// Returns the settings tree with its version.
    ///
    /// # Errors
    /// Returns an error if the call is refused or not answered.
    pub async fn tree(&self) -> Result<TreeReport, CallError> {
        self.send(self.call(Method::GET, "/v1/config")).await
    }

    /// Writes the settings tree if `if_version` is still the current version, and returns the new
    /// version; 0 writes the first tree.
    ///
    /// # Errors
    /// Returns a refusal with status 409 if the current version differs, since another operator has
    /// changed the tree, and an error if the call is refused otherwise or not answered.
    pub async fn put_tree(
        &self,
        text: &str,
        if_version: ConfigVersion,
    ) -> Result<ConfigVersion, CallError> {
        let call = self.call(Method::PUT, "/v1/config").body(text.to_owned());
        let report: WriteReport = self.send(call.header("if-version", if_version)).await?;
        Ok(report.version)
    }

    /// Submits a job and returns its record.
    ///
    /// # Errors
    /// Returns a refusal with status 422 if the job can never run, and an error if the call is
    /// refused otherwise or not answered.
    pub async fn submit(&self, spec: &JobSpec) -> Result<JobRecord, CallError> {
        self.send(self.call(Method::POST, "/v1/jobs").json(spec)).await
    }

    /// Returns the record of a job by its id.
    ///
    /// # Errors
    /// Returns an error if the call is refused or not answered.
    pub async fn job(&self, id: &str) -> Result<JobRecord, CallError> {
        self.send(self.call(Method::GET, &format!("/v1/jobs/{id}"))).await
    }

    /// Returns the records of jobs, including ended ones; at most 2000.
    ///
    /// # Errors
    /// Returns an error if the call is refused or not answered.
    pub async fn jobs(&self) -> Result<Vec<JobRecord>, CallError> {
        self.send(self.call(Method::GET, "/v1/jobs?history=true&limit=2000")).await
    }

    /// Takes a failure domain out of service, or returns it to service if `out` is false.
    ///
    /// # Errors
    /// Returns an error if the call is refused or not answered.
    pub async fn set_out_of_service(
        &self,
        domain: &str,
        out: bool,
    ) -> Result<DomainChange, CallError> {
        let verb = if out { "out" } else { "in" };
        self.send(self.call(Method::POST, &format!("/v1/domains/{domain}/{verb}"))).await
    }

    /// Returns the status of the whole system.
    ///
    /// # Errors
    /// Returns an error if the call is refused or not answered.
    pub async fn status(&self) -> Result<StatusReport, CallError> {
        self.send(self.call(Method::GET, "/v1/status")).await
    }

    /// Builds an authenticated request for a path of the API.
    fn call(&self, method: Method, path: &str) -> RequestBuilder {
        self.http.request(method, format!("{}{path}", self.base_url)).bearer_auth(OPERATOR_TOKEN)
    }

    /// Sends a request and decodes the body, or the error body of a refusal.
    async fn send<T>(&self, call: RequestBuilder) -> Result<T, CallError>
    where
        T: DeserializeOwned,
    {
        let failed = |error: reqwest::Error| CallError::Failed(error.to_string());
        let response = call.send().await.map_err(failed)?;
        let status = response.status();
        let body = response.bytes().await.map_err(failed)?;
        let malformed = |error: serde_json::Error| {
            let text = String::from_utf8_lossy(&body);
            CallError::Failed(format!("{status} with a body that cannot be read ({error}): {text}"))
        };
        if status.is_success() {
            return serde_json::from_slice(&body).map_err(malformed);
        }
        Err(CallError::Refused(status, serde_json::from_slice(&body).map_err(malformed)?))
    }
}
