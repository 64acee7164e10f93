//! Client of the instance list over HTTP and JSON.
//!
//! The list is read often and rarely changes, so reads are conditional (`If-None-Match`): an
//! unchanged list costs a few hundred bytes instead of a full transfer. A list without an entity
//! tag is read in full each time.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use lacewingrail_model::instance::{InstanceEntry, InstanceError, InstanceList};
use lacewingrail_model::worker::WorkerSpec;
use reqwest::header::{ETAG, HeaderMap, IF_NONE_MATCH};
use reqwest::{Client, StatusCode};
use serde::de::DeserializeOwned;

use crate::http::{ExchangeError, TIMEOUT_MESSAGE, build_client, exchange, join_url};

/// Timeout of a read; a leaving backend must be seen within 3 s, which allows four reads.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Largest answer in bytes; a few thousand entries take under 1 MB.
const MAX_ANSWER_BYTES: usize = 16_000_000;
/// Idle connections kept; each costs one timed-out read when a network path stops answering.
const MAX_IDLE_CONNECTIONS: usize = 1;

/// Reads the instance list over HTTP; clones share the cached lists.
#[derive(Clone, Debug)]
pub struct HttpInstanceList {
    address: String,
    client: Client,
    instances: ListCache<InstanceEntry>,
    workers: ListCache<WorkerSpec>,
}

/// Caches the newest full answer with its entity tag.
#[derive(Clone, Debug)]
struct ListCache<T>(Arc<Mutex<Option<TaggedList<T>>>>);

/// Entries of an answer and its entity tag.
#[derive(Debug)]
struct TaggedList<T> {
    tag: String,
    entries: Vec<T>,
}

impl HttpInstanceList {
    /// Creates a client for a base address such as `http://127.0.0.1:7000`.
    pub fn new(address: impl Into<String>) -> Self {
        Self {
            address: address.into(),
            client: build_client(MAX_IDLE_CONNECTIONS),
            instances: ListCache(Arc::default()),
            workers: ListCache(Arc::default()),
        }
    }

    async fn fetch<T>(&self, list: &str, cache: &ListCache<T>) -> Result<Vec<T>, InstanceError>
    where
        T: Clone + DeserializeOwned,
    {
        let url = join_url(&self.address, &["v1", list]).map_err(into_instance_error)?;
        let mut request = self.client.get(url);
        if let Some(tag) = cache.tag() {
            request = request.header(IF_NONE_MATCH, tag);
        }
        let answer =
            exchange(request, CALL_TIMEOUT, MAX_ANSWER_BYTES).await.map_err(into_instance_error)?;
        match answer.status {
            StatusCode::OK => {
                let entries: Vec<T> = serde_json::from_slice(&answer.body)
                    .map_err(|error| InstanceError(error.to_string()))?;
                cache.replace(&answer.headers, &entries);
                Ok(entries)
            }
            StatusCode::NOT_MODIFIED => cache
                .entries()
                .ok_or_else(|| InstanceError("the list says unchanged to a first read".to_owned())),
            _ => Err(InstanceError(answer.describe())),
        }
    }
}

impl<T> ListCache<T>
where
    T: Clone,
{
    fn tag(&self) -> Option<String> {
        self.lock().as_ref().map(|list| list.tag.clone())
    }

    fn entries(&self) -> Option<Vec<T>> {
        self.lock().as_ref().map(|list| list.entries.clone())
    }

    /// Caches the entries of an answer, or nothing if it has no entity tag.
    fn replace(&self, headers: &HeaderMap, entries: &[T]) {
        let tag = headers.get(ETAG).and_then(|tag| tag.to_str().ok());
        *self.lock() = tag.map(|tag| TaggedList { tag: tag.to_owned(), entries: entries.to_vec() });
    }

    fn lock(&self) -> MutexGuard<'_, Option<TaggedList<T>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[async_trait]
impl InstanceList for HttpInstanceList {
    async fn read(&self) -> Result<Vec<InstanceEntry>, InstanceError> {
        self.fetch("instances", &self.instances).await
    }

    async fn workers(&self) -> Result<Vec<WorkerSpec>, InstanceError> {
        self.fetch("workers", &self.workers).await
    }
}

fn into_instance_error(error: ExchangeError) -> InstanceError {
    match error {
        ExchangeError::NotSent(cause) | ExchangeError::AnswerLost(cause) => InstanceError(cause),
        ExchangeError::TimedOut => InstanceError(TIMEOUT_MESSAGE.into()),
    }
}
