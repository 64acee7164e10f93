//! Moves ended jobs from their records to the history page of the day.
//!
//! Hundreds of jobs can end at once, for example when they are cancelled together. Jobs that have
//! accumulated are appended in batches, each with one compare-and-swap. Their records are deleted
//! only afterwards, so a crash in between repeats the append, which skips jobs that the page
//! already contains.

use std::sync::Arc;
use std::time::Duration;

use futures::{StreamExt, stream};
use lacewingrail_clients::{UpdateError, WriteIdRecord, update};
use lacewingrail_model::clock::unix_millis;
use lacewingrail_model::job::{HistoryPage, JobRecord};
use lacewingrail_model::store::Revision;
use lacewingrail_model::write_id::{WriteId, WriteIdGenerator};
use lacewingrail_model::{DomainName, keys};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use crate::context::ProcessContext;
use crate::records;

/// Maximum jobs appended at a time; keeps the growth of a page per write below 100 KB.
const MAX_BATCH: usize = 128;
/// Size at which a page is full; further jobs go to the next page of the day.
const MAX_PAGE_BYTES: usize = 800_000;
/// Maximum concurrent deletions of records.
const DELETE_CONCURRENCY: usize = 32;
/// Delay before a failed write is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(500);
const DAY_MS: u64 = 86_400_000;

/// Ended job that is moved to the history.
#[derive(Clone, Debug)]
pub struct EndedJob {
    /// Record in its final state.
    pub record: JobRecord,
    /// Revision of the stored record; 0 if it is no longer stored.
    pub revision: Revision,
}

/// Callback for jobs that are in the history and whose records are deleted.
pub type ArchivedSink = Arc<dyn Fn(Vec<EndedJob>) + Send + Sync>;

#[derive(Deserialize, Serialize)]
#[serde(transparent)]
struct StoredPage(HistoryPage);

impl WriteIdRecord for StoredPage {
    fn write_id(&self) -> &str {
        &self.0.mark
    }

    fn set_write_id(&mut self, write_id: WriteId) {
        self.0.mark = write_id;
    }
}

/// Moves ended jobs to the history until the channel closes.
pub async fn run(
    context: Arc<ProcessContext>,
    domain: DomainName,
    generator: Arc<WriteIdGenerator>,
    mut ended_jobs: mpsc::UnboundedReceiver<EndedJob>,
    on_archived: ArchivedSink,
) {
    let mut batch = Vec::new();
    while ended_jobs.recv_many(&mut batch, MAX_BATCH).await > 0 {
        while let Err(cause) = append(&context, &domain, &generator, &batch).await {
            log::warn!("{} ended jobs are not in the history yet, retrying: {cause}", batch.len());
            context.timer.wait(RETRY_DELAY).await;
        }
        let deletes = batch.iter().filter(|ended| ended.revision > 0).map(|ended| {
            let key = keys::job(&domain, &ended.record.id);
            let (context, revision) = (context.clone(), ended.revision);
            async move {
                while let Err(error) = records::delete(&*context.store, &key, revision).await {
                    log::warn!(
                        "the record {key} of an ended job is not deleted yet, retrying: {error}"
                    );
                    context.timer.wait(RETRY_DELAY).await;
                }
            }
        });
        stream::iter(deletes.collect::<Vec<_>>())
            .buffer_unordered(DELETE_CONCURRENCY)
            .collect::<Vec<_>>()
            .await;
        on_archived(std::mem::take(&mut batch));
    }
}

async fn append(
    context: &ProcessContext,
    domain: &DomainName,
    generator: &WriteIdGenerator,
    batch: &[EndedJob],
) -> Result<(), String> {
    let day = unix_millis() / DAY_MS;
    let base = keys::history(domain, day);
    for page in 0.. {
        let key = if page == 0 { base.clone() } else { format!("{base}/{page}") };
        let change = |current: Option<StoredPage>| {
            let mut content = current.map(|page| page.0).unwrap_or_default();
            let size = serde_json::to_string(&content).map_or(0, |text| text.len());
            if size >= MAX_PAGE_BYTES {
                return Err(());
            }
            for ended in batch {
                if !content.jobs.iter().any(|known| known.id == ended.record.id) {
                    content.jobs.push(ended.record.clone());
                }
            }
            Ok(StoredPage(content))
        };
        match update(&*context.store, generator, &key, change).await {
            Ok(_) => return Ok(()),
            Err(UpdateError::Refused(())) => {}
            Err(UpdateError::Store(error)) => return Err(error.to_string()),
        }
    }
    Ok(())
}
