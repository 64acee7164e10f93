//! Client of the administration API that retries transient failures.

use std::time::Duration;

use lacewingrail_model::JobId;
use lacewingrail_model::admin::{ApiError, DomainChange};
use lacewingrail_model::job::{JobRecord, JobSpec};
use reqwest::{RequestBuilder, StatusCode};
use serde::de::DeserializeOwned;

/// Timeout of one call; disabling a domain takes up to 3 s.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay before a call is retried after a transient failure.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Client for several scheduler processes; each retry goes to the next one.
#[derive(Clone, Debug)]
pub struct ApiClient {
    http: reqwest::Client,
    base_urls: Vec<String>,
}

/// The last error of a call that failed permanently or was retried until its timeout.
#[derive(Clone, Debug)]
pub struct ApiCallError {
    /// The HTTP status; 0 if no complete response was received.
    pub status: u16,
    /// The reason given by the API, or the transport error.
    pub reason: String,
}

impl ApiClient {
    /// Creates a client for base URLs such as `http://127.0.0.1:8090`.
    pub fn new(base_urls: Vec<String>) -> Self {
        let builder = reqwest::Client::builder().no_proxy().timeout(CALL_TIMEOUT);
        Self { http: builder.build().unwrap_or_default(), base_urls }
    }

    /// Submits a job and returns its record; `process` is the index of the first process to call.
    ///
    /// Fails if the job is refused or the timeout passes without success.
    pub async fn submit(
        &self,
        process: usize,
        spec: &JobSpec,
        timeout: Duration,
    ) -> Result<JobRecord, ApiCallError> {
        let token = format!("dev-{}", spec.customer);
        let call = |base_url: &str| self.http.post(format!("{base_url}/v1/jobs")).json(spec);
        self.call_with_retry(process, &token, timeout, call).await
    }

    /// Cancels a job and returns its record; `process` is the index of the first process to call.
    ///
    /// Fails if the cancellation is refused or the timeout passes without success.
    pub async fn cancel(
        &self,
        process: usize,
        customer: &str,
        job: &JobId,
        timeout: Duration,
    ) -> Result<JobRecord, ApiCallError> {
        let token = format!("dev-{customer}");
        let call = |base_url: &str| self.http.delete(format!("{base_url}/v1/jobs/{job}"));
        self.call_with_retry(process, &token, timeout, call).await
    }

    /// Disables a failure domain (takes it out of service) or re-enables it; `process` is the index
    /// of the first process to call.
    ///
    /// Fails if the change is refused or the timeout passes without success.
    pub async fn set_domain_disabled(
        &self,
        process: usize,
        domain: &str,
        disabled: bool,
        timeout: Duration,
    ) -> Result<DomainChange, ApiCallError> {
        let verb = if disabled { "out" } else { "in" };
        let call =
            |base_url: &str| self.http.post(format!("{base_url}/v1/domains/{domain}/{verb}"));
        self.call_with_retry(process, "dev-operator", timeout, call).await
    }

    /// Retries a call on transport errors, status 429 and server errors until the timeout.
    async fn call_with_retry<T, F>(
        &self,
        process: usize,
        token: &str,
        timeout: Duration,
        call: F,
    ) -> Result<T, ApiCallError>
    where
        T: DeserializeOwned,
        F: Fn(&str) -> RequestBuilder,
    {
        let start = tokio::time::Instant::now();
        let mut index = process;
        loop {
            let base_url = &self.base_urls[index % self.base_urls.len()];
            let error = match send(call(base_url).bearer_auth(token)).await {
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            let transient = error.status == 429 || error.status >= 500 || error.status == 0;
            if !transient || start.elapsed() > timeout {
                return Err(error);
            }
            index += 1;
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

async fn send<T>(call: RequestBuilder) -> Result<T, ApiCallError>
where
    T: DeserializeOwned,
{
    let transport_error =
        |error: reqwest::Error| ApiCallError { status: 0, reason: error.to_string() };
    let response = call.send().await.map_err(transport_error)?;
    let status: StatusCode = response.status();
    let body = response.bytes().await.map_err(transport_error)?;
    let api_error = |reason: String| ApiCallError { status: status.as_u16(), reason };
    if status.is_success() {
        return serde_json::from_slice(&body).map_err(|error| api_error(error.to_string()));
    }
    let reason = match serde_json::from_slice::<ApiError>(&body) {
        Ok(error) => error.reason,
        Err(_) => String::from_utf8_lossy(&body).into_owned(),
    };
    Err(api_error(reason))
}
