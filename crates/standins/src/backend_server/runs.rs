//! Record of the requests that a backend server ran, for tests to check against.

use std::collections::BTreeMap;

use lacewingrail_model::clock::UnixMillis;
use serde::{Deserialize, Serialize};

use crate::backend_server::faults::AnswerFault;
use crate::journal::{BoundedJournal, JournalPage};

/// Ended runs whose records are kept.
const MAX_ENDED_RECORDS: usize = 20_000;
/// Largest number of idempotency keys, and of request ids, that are counted; further ones are not.
const MAX_COUNTED_IDS: usize = 100_000;

/// Records one run of a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RunRecord {
    /// Number of the run on this server, from 1.
    pub run: u64,
    /// Value of `x-request-id`, or empty.
    pub request_id: String,
    /// Value of `idempotency-key`.
    pub idempotency_key: Option<String>,
    /// Whether the header `x-non-repeatable` is `true`.
    pub non_repeatable: bool,
    /// Value of `x-customer`, or empty.
    pub customer: String,
    /// Stable hash of the request body.
    pub body_digest: u64,
    /// Time at which the request arrived.
    pub arrived_ms: UnixMillis,
    /// Time at which the run got a slot.
    pub started_ms: UnixMillis,
    /// Time at which the run ended; empty while it runs.
    pub ended_ms: Option<UnixMillis>,
    /// Time from the leaving flag to the arrival, in milliseconds; empty if the server was not
    /// leaving.
    pub leaving_ms: Option<u64>,
    /// Fault injected into the answer, if any.
    pub fault: Option<AnswerFault>,
}

/// Counts runs by idempotency key and by request id.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunCounts {
    /// Number of runs of each idempotency key.
    pub by_key: BTreeMap<String, u32>,
    /// Number of runs of each request id.
    pub by_request: BTreeMap<String, u32>,
    /// Counts omitted because a table was full; an assertion over all runs requires it to be 0.
    pub dropped: u64,
}

impl RunCounts {
    fn count(&mut self, record: &RunRecord) {
        let key = record.idempotency_key.as_ref();
        let counted = [(&mut self.by_key, key), (&mut self.by_request, Some(&record.request_id))];
        for (counts, id) in counted {
            let Some(id) = id.filter(|id| !id.is_empty()) else {
                continue;
            };
            if counts.len() >= MAX_COUNTED_IDS && !counts.contains_key(id) {
                self.dropped += 1;
                continue;
            }
            *counts.entry(id.clone()).or_default() += 1;
        }
    }
}

/// Returns one sentence for each idempotency key that ran more than once over all servers.
pub fn find_repeated_runs(servers: &[RunCounts]) -> Vec<String> {
    let mut total: BTreeMap<&str, u32> = BTreeMap::new();
    for (key, runs) in servers.iter().flat_map(|counts| &counts.by_key) {
        *total.entry(key).or_default() += runs;
    }
    let repeated = total.into_iter().filter(|(_, runs)| *runs > 1);
    repeated.map(|(key, runs)| format!("key {key} ran {runs} times")).collect()
}

/// Counts the activity of a backend server since its start.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct BackendCounts {
    /// Requests that arrived.
    pub requests: u64,
    /// Runs that got a slot.
    pub runs: u64,
    /// Runs that completed.
    pub ended: u64,
    /// Requests refused because the queue was full or by a fault.
    pub refused: u64,
    /// Total duration of the completed runs, in milliseconds.
    pub busy_ms: u64,
    /// Largest number of concurrent runs.
    pub peak_running: u64,
    /// Largest number of requests that waited in the queue at once.
    pub peak_queue: u64,
    /// Number of connections that are open now.
    pub connections: u64,
    /// Connections refused by the connection limit or by a fault.
    pub refused_connections: u64,
}

/// Keeps the run records and counts of a backend server.
#[derive(Debug)]
pub(super) struct RunJournal {
    running_records: BTreeMap<u64, RunRecord>,
    ended: BoundedJournal<RunRecord>,
    counts: RunCounts,
}

impl RunJournal {
    pub fn new() -> Self {
        Self {
            running_records: BTreeMap::new(),
            ended: BoundedJournal::new(MAX_ENDED_RECORDS),
            counts: RunCounts::default(),
        }
    }

    pub fn start(&mut self, record: RunRecord) {
        self.counts.count(&record);
        self.running_records.insert(record.run, record);
    }

    /// Ends a run and returns its duration in milliseconds; 0 for an unknown run.
    pub fn end(&mut self, run: u64, now_ms: UnixMillis) -> u64 {
        let Some(mut record) = self.running_records.remove(&run) else {
            return 0;
        };
        record.ended_ms = Some(now_ms);
        let duration_ms = now_ms.saturating_sub(record.started_ms);
        self.ended.push(record);
        duration_ms
    }

    pub fn running(&self) -> u64 {
        self.running_records.len() as u64
    }

    pub fn counts(&self) -> &RunCounts {
        &self.counts
    }

    pub fn page(&self) -> JournalPage<RunRecord> {
        let mut page = self.ended.page();
        page.entries.extend(self.running_records.values().cloned());
        page
    }
}
