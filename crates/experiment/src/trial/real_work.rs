//! Worker client that assigns each task its real run time.
//!
//! Declared run times are inaccurate, and a simulated worker runs a task for the work given in the
//! reservation. The job's command names the real work, and this client puts it into the
//! reservation, so the scheduler never sees it.

use std::time::Duration;

use async_trait::async_trait;
use lacewingrail_clients::{HttpWorkerClient, MemoryStore, read};
use lacewingrail_model::Epoch;
use lacewingrail_model::job::JobRecord;
use lacewingrail_model::keys;
use lacewingrail_model::worker::{
    MemberId, RenewItem, ReserveRequest, WorkerError, WorkerReport, WorkerService, WorkerSpec,
};

/// Prefix of a command that encodes the work.
const COMMAND_PREFIX: &str = "work ";

/// Calls workers over HTTP and replaces the declared work in reservations by the real work.
pub struct RealWorkClient {
    inner: HttpWorkerClient,
    store: MemoryStore,
}

impl RealWorkClient {
    /// Creates a client that reads the checkpointed work of jobs from a store.
    pub fn new(store: MemoryStore) -> Self {
        Self { inner: HttpWorkerClient::new(), store }
    }

    /// Returns the remaining real work in milliseconds, at least 1; `None` if the command names no
    /// work.
    async fn remaining_work_ms(
        &self,
        worker: &WorkerSpec,
        request: &ReserveRequest,
    ) -> Option<u64> {
        let (work_ms, declared_ms) = parse_command(&request.command)?;
        // The declared work may be shorter than the checkpointed work, so the checkpoint is taken
        // from the job record where it can be read.
        let key = keys::job(&worker.domain, &request.member.job);
        let record = read::<JobRecord>(&self.store, &key).await.ok().flatten();
        let checkpointed_ms = match record {
            Some((record, _)) => record.checkpoint_ms,
            None => declared_ms.saturating_sub(request.work_ms),
        };
        Some(work_ms.saturating_sub(checkpointed_ms).max(1))
    }
}

/// Returns a job command that encodes the real and the declared work in milliseconds.
pub fn work_command(work_ms: u64, declared_ms: u64) -> String {
    format!("{COMMAND_PREFIX}{work_ms} {declared_ms}")
}

/// Returns the real and the declared work of a command in milliseconds; `None` if it names no work.
fn parse_command(command: &str) -> Option<(u64, u64)> {
    let (work_ms, declared_ms) = command.strip_prefix(COMMAND_PREFIX)?.split_once(' ')?;
    Some((work_ms.parse().ok()?, declared_ms.parse().ok()?))
}

#[async_trait]
impl WorkerService for RealWorkClient {
    async fn report(&self, worker: &WorkerSpec, epoch: Epoch) -> Result<WorkerReport, WorkerError> {
        self.inner.report(worker, epoch).await
    }

    async fn reserve(
        &self,
        worker: &WorkerSpec,
        epoch: Epoch,
        request: ReserveRequest,
    ) -> Result<(), WorkerError> {
        let remaining_ms = self.remaining_work_ms(worker, &request).await;
        let work_ms = remaining_ms.unwrap_or(request.work_ms);
        self.inner.reserve(worker, epoch, ReserveRequest { work_ms, ..request }).await
    }

    async fn commit(
        &self,
        worker: &WorkerSpec,
        epoch: Epoch,
        member: &MemberId,
        ttl: Duration,
    ) -> Result<(), WorkerError> {
        self.inner.commit(worker, epoch, member, ttl).await
    }

    async fn start(
        &self,
        worker: &WorkerSpec,
        epoch: Epoch,
        member: &MemberId,
        not_after: Duration,
    ) -> Result<(), WorkerError> {
        self.inner.start(worker, epoch, member, not_after).await
    }

    async fn renew(
        &self,
        worker: &WorkerSpec,
        epoch: Epoch,
        items: Vec<RenewItem>,
    ) -> Result<WorkerReport, WorkerError> {
        self.inner.renew(worker, epoch, items).await
    }

    async fn checkpoint(
        &self,
        worker: &WorkerSpec,
        epoch: Epoch,
        member: &MemberId,
    ) -> Result<u64, WorkerError> {
        self.inner.checkpoint(worker, epoch, member).await
    }

    async fn throttle(
        &self,
        worker: &WorkerSpec,
        epoch: Epoch,
        member: &MemberId,
        share: f64,
    ) -> Result<(), WorkerError> {
        self.inner.throttle(worker, epoch, member, share).await
    }

    async fn stop(
        &self,
        worker: &WorkerSpec,
        epoch: Epoch,
        member: &MemberId,
    ) -> Result<(), WorkerError> {
        self.inner.stop(worker, epoch, member).await
    }
}
