//! Client of the administration API.

use std::time::Duration;

use lacewingrail_model::JobId;
use lacewingrail_model::admin::{ApiError, DomainChange};
use lacewingrail_model::job::{JobRecord, JobSpec};
use reqwest::{RequestBuilder, StatusCode};
use serde::de::DeserializeOwned;

/// Longest time of one call; a take-out takes up to 3 s.
const CALL_LIMIT: Duration = Duration::from_secs(10);
/// Pause before a call that may succeed later is repeated.
const RETRY: Duration = Duration::from_millis(300);

/// Calls the administration API of several scheduler processes in turn.
#[derive(Clone, Debug)]
pub struct ApiClient {
    http: reqwest::Client,
    bases: Vec<String>,
}

/// States why a call failed for good.
#[derive(Clone, Debug)]
pub struct ApiRefusal {
    /// Status of the answer.
    pub status: u16,
    /// Reason that the API gave.
    pub reason: String,
}

impl ApiClient {
    /// Creates a client for base addresses such as `http://127.0.0.1:8090`.
    pub fn new(bases: Vec<String>) -> Self {
        let builder = reqwest::Client::builder().no_proxy().timeout(CALL_LIMIT);
        Self { http: builder.build().unwrap_or_default(), bases }
    }

    /// Submits a job until it is accepted or refused for good, or the limit has passed.
    pub async fn submit(
        &self,
        process: usize,
        spec: &JobSpec,
        limit: Duration,
    ) -> Result<JobRecord, ApiRefusal> {
        let token = format!("dev-{}", spec.customer);
        let call = |base: &str| self.http.post(format!("{base}/v1/jobs")).json(spec);
        self.persist(process, &token, limit, call).await
    }

    /// Cancels a job.
    pub async fn cancel(
        &self,
        process: usize,
        customer: &str,
        job: &JobId,
        limit: Duration,
    ) -> Result<JobRecord, ApiRefusal> {
        let token = format!("dev-{customer}");
        let call = |base: &str| self.http.delete(format!("{base}/v1/jobs/{job}"));
        self.persist(process, &token, limit, call).await
    }

    /// Takes a failure domain out or brings it back.
    pub async fn set_out(
        &self,
        process: usize,
        domain: &str,
        out: bool,
        limit: Duration,
    ) -> Result<DomainChange, ApiRefusal> {
        let verb = if out { "out" } else { "in" };
        let call = |base: &str| self.http.post(format!("{base}/v1/domains/{domain}/{verb}"));
        self.persist(process, "dev-operator", limit, call).await
    }

    async fn persist<T, F>(
        &self,
        process: usize,
        token: &str,
        limit: Duration,
        call: F,
    ) -> Result<T, ApiRefusal>
    where
        T: DeserializeOwned,
        F: Fn(&str) -> RequestBuilder,
    {
        let begun = tokio::time::Instant::now();
        let mut index = process;
        loop {
            let base = &self.bases[index % self.bases.len()];
            let refusal = match send(call(base).bearer_auth(token)).await {
                Ok(answer) => return Ok(answer),
                Err(refusal) => refusal,
            };
            let passing = refusal.status == 429 || refusal.status >= 500 || refusal.status == 0;
            if !passing || begun.elapsed() > limit {
                return Err(refusal);
            }
            index += 1;
            tokio::time::sleep(RETRY).await;
        }
    }
}

async fn send<T>(call: RequestBuilder) -> Result<T, ApiRefusal>
where
    T: DeserializeOwned,
{
    let failed = |error: reqwest::Error| ApiRefusal { status: 0, reason: error.to_string() };
    let response = call.send().await.map_err(failed)?;
    let status: StatusCode = response.status();
    let body = response.bytes().await.map_err(failed)?;
    let refusal = |reason: String| ApiRefusal { status: status.as_u16(), reason };
    if status.is_success() {
        return serde_json::from_slice(&body).map_err(|error| refusal(error.to_string()));
    }
    let reason = match serde_json::from_slice::<ApiError>(&body) {
        Ok(error) => error.reason,
        Err(_) => String::from_utf8_lossy(&body).into_owned(),
    };
    Err(refusal(reason))
}
