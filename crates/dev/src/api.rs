//! Client of the administration API.

use std::fmt;
use std::time::Duration;

use lacewingrail_model::ConfigVersion;
use lacewingrail_model::admin::{ApiError, DomainChange, StatusReport, TreeReport, WriteReport};
use lacewingrail_model::job::{JobRecord, JobSpec};
use reqwest::{Method, RequestBuilder, StatusCode};
use serde::de::DeserializeOwned;

/// Token of operators in the example settings.
pub const OPERATOR_TOKEN: &str = "dev-operator";
/// Longest time of one call; a take-out takes up to 3 s.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Calls the administration API of one scheduler process.
#[derive(Clone, Debug)]
pub struct AdminClient {
    http: reqwest::Client,
    base: String,
}

/// States why a call failed.
#[derive(Clone, Debug, PartialEq)]
pub enum CallError {
    /// The process refused the call.
    Refused(StatusCode, ApiError),
    /// There was no answer, or none that can be read.
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
    /// Creates a client for a base address such as `http://127.0.0.1:8090`.
    pub fn new(base: impl Into<String>) -> Self {
        let builder = reqwest::Client::builder().no_proxy().timeout(CALL_TIMEOUT);
        Self { http: builder.build().unwrap_or_default(), base: base.into() }
    }

    /// Returns the base address.
    pub fn base(&self) -> &str {
        &self.base
    }

    /// Returns the settings tree.
    ///
    /// # Errors
    /// Reports a refusal or a missing answer, as every call here does.
    pub async fn tree(&self) -> Result<TreeReport, CallError> {
        self.send(self.call(Method::GET, "/v1/config")).await
    }

    /// Replaces a version of the settings tree; 0 for the first.
    ///
    /// # Errors
    /// Reports a lost race as a refusal with status 409.
    pub async fn put_tree(
        &self,
        text: &str,
        if_version: ConfigVersion,
    ) -> Result<ConfigVersion, CallError> {
        let call = self.call(Method::PUT, "/v1/config").body(text.to_owned());
        let report: WriteReport = self.send(call.header("if-version", if_version)).await?;
        Ok(report.version)
    }

    /// Submits a job.
    ///
    /// # Errors
    /// Reports a job that can never run as a refusal with status 422.
    pub async fn submit(&self, spec: &JobSpec) -> Result<JobRecord, CallError> {
        self.send(self.call(Method::POST, "/v1/jobs").json(spec)).await
    }

    /// Returns a job.
    ///
    /// # Errors
    /// Reports a refusal or a missing answer.
    pub async fn job(&self, id: &str) -> Result<JobRecord, CallError> {
        self.send(self.call(Method::GET, &format!("/v1/jobs/{id}"))).await
    }

    /// Returns the jobs, with those that ended.
    ///
    /// # Errors
    /// Reports a refusal or a missing answer.
    pub async fn jobs(&self) -> Result<Vec<JobRecord>, CallError> {
        self.send(self.call(Method::GET, "/v1/jobs?history=true&limit=2000")).await
    }

    /// Takes a failure domain out, or brings it back.
    ///
    /// # Errors
    /// Reports a refusal or a missing answer.
    pub async fn set_out(&self, domain: &str, out: bool) -> Result<DomainChange, CallError> {
        let verb = if out { "out" } else { "in" };
        self.send(self.call(Method::POST, &format!("/v1/domains/{domain}/{verb}"))).await
    }

    /// Returns the whole status.
    ///
    /// # Errors
    /// Reports a refusal or a missing answer.
    pub async fn status(&self) -> Result<StatusReport, CallError> {
        self.send(self.call(Method::GET, "/v1/status")).await
    }

    fn call(&self, method: Method, path: &str) -> RequestBuilder {
        self.http.request(method, format!("{}{path}", self.base)).bearer_auth(OPERATOR_TOKEN)
    }

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
