//! Client of the instance list over HTTP and JSON.

use std::time::Duration;

use async_trait::async_trait;
use lacewingrail_model::instance::{InstanceEntry, InstanceError, InstanceList};
use lacewingrail_model::worker::WorkerSpec;
use reqwest::{Client, StatusCode};
use serde::de::DeserializeOwned;

use crate::http::{ExchangeError, NO_ANSWER, build_client, exchange, join};

/// Time for a read; a leaving backend must be seen within 3 s, which leaves room for four reads.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Largest answer in bytes; a few thousand entries take under 1 MB.
const ANSWER_LIMIT: usize = 16_000_000;
/// Idle connections kept; a path that goes silent costs one read each.
const IDLE_CONNECTIONS: usize = 1;

/// Reads the instance list over HTTP.
#[derive(Clone, Debug)]
pub struct HttpInstanceList {
    address: String,
    client: Client,
}

impl HttpInstanceList {
    /// Creates a client for a base address such as `http://127.0.0.1:7000`.
    pub fn new(address: impl Into<String>) -> Self {
        Self { address: address.into(), client: build_client(IDLE_CONNECTIONS) }
    }

    async fn fetch<T>(&self, list: &str) -> Result<Vec<T>, InstanceError>
    where
        T: DeserializeOwned,
    {
        let url = join(&self.address, &["v1", list]).map_err(convert)?;
        let answer =
            exchange(self.client.get(url), CALL_TIMEOUT, ANSWER_LIMIT).await.map_err(convert)?;
        if answer.status != StatusCode::OK {
            return Err(InstanceError(answer.describe()));
        }
        serde_json::from_slice(&answer.body).map_err(|error| InstanceError(error.to_string()))
    }
}

#[async_trait]
impl InstanceList for HttpInstanceList {
    async fn read(&self) -> Result<Vec<InstanceEntry>, InstanceError> {
        self.fetch("instances").await
    }

    async fn workers(&self) -> Result<Vec<WorkerSpec>, InstanceError> {
        self.fetch("workers").await
    }
}

fn convert(error: ExchangeError) -> InstanceError {
    match error {
        ExchangeError::NotSent(cause) | ExchangeError::AnswerLost(cause) => InstanceError(cause),
        ExchangeError::TimedOut => InstanceError(NO_ANSWER.into()),
    }
}
