//! Faults between one scheduler and the outside systems.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use lacewingrail_model::Epoch;
use lacewingrail_model::store::{
    KeyValueService, LeaseId, Revision, StoreEntry, StoreError, WatchBatch,
};
use lacewingrail_model::worker::{
    MemberId, RenewItem, ReserveRequest, WorkerError, WorkerReport, WorkerService, WorkerSpec,
};
use tokio::sync::watch;

/// States what a gate does to calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GateState {
    /// Passes calls.
    Open,
    /// Refuses calls, as a cut network does.
    Cut,
    /// Holds calls until it opens, as a paused process does.
    Held,
}

/// Stands between a scheduler and the store.
pub struct GatedStore {
    inner: Arc<dyn KeyValueService>,
    gate: watch::Sender<GateState>,
    lose: AtomicU32,
}

/// Names a call of the worker protocol.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkerCall {
    Report,
    Reserve,
    Commit,
    Start,
    Renew,
    Checkpoint,
    Stop,
}

/// Decides before each call of the protocol; `false` stops the caller for good.
pub type CallFilter = Arc<dyn Fn(WorkerCall, &str) -> bool + Send + Sync>;

/// Stands between a scheduler and the workers.
pub struct GatedWorkers {
    inner: Arc<dyn WorkerService>,
    gate: watch::Sender<GateState>,
    lose: AtomicU32,
    filter: Mutex<Option<CallFilter>>,
    /// Beginning of the ids of workers that cannot be reached.
    unreachable: Mutex<Option<String>>,
}

impl GatedStore {
    pub fn new(inner: Arc<dyn KeyValueService>) -> Self {
        Self { inner, gate: watch::Sender::new(GateState::Open), lose: AtomicU32::new(0) }
    }

    pub fn set(&self, state: GateState) {
        self.gate.send_replace(state);
    }

    /// Loses the answer of every n-th write; 0 for none.
    pub fn lose_every(&self, n: u32) {
        self.lose.store(n, Ordering::Relaxed);
    }

    async fn pass(&self) -> Result<(), StoreError> {
        match pass(&self.gate).await {
            true => Ok(()),
            false => Err(StoreError::Unavailable("cut".to_owned())),
        }
    }

    fn answer<T>(&self, result: Result<T, StoreError>) -> Result<T, StoreError> {
        match loses(&self.lose) {
            true => Err(StoreError::Unclear("lost".to_owned())),
            false => result,
        }
    }
}

impl GatedWorkers {
    pub fn new(inner: Arc<dyn WorkerService>) -> Self {
        let gate = watch::Sender::new(GateState::Open);
        Self {
            inner,
            gate,
            lose: AtomicU32::new(0),
            filter: Mutex::new(None),
            unreachable: Mutex::default(),
        }
    }

    pub fn set(&self, state: GateState) {
        self.gate.send_replace(state);
    }

    /// Loses every n-th answer; 0 for none.
    pub fn lose_every(&self, n: u32) {
        self.lose.store(n, Ordering::Relaxed);
    }

    pub fn set_filter(&self, filter: CallFilter) {
        *self.filter.lock().expect("a filter") = Some(filter);
    }

    /// Cuts the caller from the workers whose ids begin with a prefix.
    pub fn cut_off(&self, prefix: &str) {
        *self.unreachable.lock().expect("a prefix") = Some(prefix.to_owned());
    }

    async fn pass(&self, call: WorkerCall, worker: &WorkerSpec) -> Result<(), WorkerError> {
        let filter = self.filter.lock().expect("a filter").clone();
        if filter.is_some_and(|filter| !filter(call, &worker.id)) {
            std::future::pending::<()>().await;
        }
        let prefix = self.unreachable.lock().expect("a prefix").clone();
        if prefix.is_some_and(|prefix| worker.id.starts_with(&prefix)) {
            return Err(WorkerError::Unreachable { reason: "cut".to_owned() });
        }
        match pass(&self.gate).await {
            true => Ok(()),
            false => Err(WorkerError::Unreachable { reason: "cut".to_owned() }),
        }
    }

    fn answer<T>(&self, result: Result<T, WorkerError>) -> Result<T, WorkerError> {
        match loses(&self.lose) {
            true => Err(WorkerError::Unclear { reason: "lost".to_owned() }),
            false => result,
        }
    }
}

async fn pass(gate: &watch::Sender<GateState>) -> bool {
    let mut receiver = gate.subscribe();
    match receiver.wait_for(|state| *state != GateState::Held).await {
        Ok(state) => *state == GateState::Open,
        Err(_) => false,
    }
}

/// Returns whether the answer of this call is lost; the counter keeps its period in the low half.
fn loses(period: &AtomicU32) -> bool {
    let value = period.load(Ordering::Relaxed);
    let (count, every) = (value >> 16, value & 0xffff);
    if every == 0 {
        return false;
    }
    let next = (count + 1) % every;
    period.store((next << 16) | every, Ordering::Relaxed);
    next == 0
}

#[async_trait]
impl KeyValueService for GatedStore {
    async fn get(&self, key: &str) -> Result<Option<StoreEntry>, StoreError> {
        self.pass().await?;
        self.inner.get(key).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<StoreEntry>, StoreError> {
        self.pass().await?;
        self.inner.list(prefix).await
    }

    async fn put(
        &self,
        key: &str,
        value: String,
        expected: Revision,
        lease: Option<LeaseId>,
    ) -> Result<Revision, StoreError> {
        self.pass().await?;
        self.answer(self.inner.put(key, value, expected, lease).await)
    }

    async fn delete(&self, key: &str, expected: Revision) -> Result<(), StoreError> {
        self.pass().await?;
        self.answer(self.inner.delete(key, expected).await)
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchBatch, StoreError> {
        self.pass().await?;
        let mut gate = self.gate.subscribe();
        tokio::select! {
            batch = self.inner.watch(prefix, after, wait) => batch,
            _ = gate.wait_for(|state| *state == GateState::Cut) => {
                Err(StoreError::Unavailable("cut".to_owned()))
            }
        }
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.pass().await?;
        self.answer(self.inner.grant_lease(ttl).await)
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.pass().await?;
        self.answer(self.inner.renew_lease(lease).await)
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.pass().await?;
        self.answer(self.inner.revoke_lease(lease).await)
    }
}

#[async_trait]
impl WorkerService for GatedWorkers {
    async fn report(&self, worker: &WorkerSpec, epoch: Epoch) -> Result<WorkerReport, WorkerError> {
        self.pass(WorkerCall::Report, worker).await?;
        self.answer(self.inner.report(worker, epoch).await)
    }

    async fn reserve(
        &self,
        worker: &WorkerSpec,
        epoch: Epoch,
        request: ReserveRequest,
    ) -> Result<(), WorkerError> {
        self.pass(WorkerCall::Reserve, worker).await?;
        self.answer(self.inner.reserve(worker, epoch, request).await)
    }

    async fn commit(
        &self,
        worker: &WorkerSpec,
        epoch: Epoch,
        member: &MemberId,
        ttl: Duration,
    ) -> Result<(), WorkerError> {
        self.pass(WorkerCall::Commit, worker).await?;
        self.answer(self.inner.commit(worker, epoch, member, ttl).await)
    }

    async fn start(
        &self,
        worker: &WorkerSpec,
        epoch: Epoch,
        member: &MemberId,
        not_after: Duration,
    ) -> Result<(), WorkerError> {
        self.pass(WorkerCall::Start, worker).await?;
        self.answer(self.inner.start(worker, epoch, member, not_after).await)
    }

    async fn renew(
        &self,
        worker: &WorkerSpec,
        epoch: Epoch,
        items: Vec<RenewItem>,
    ) -> Result<WorkerReport, WorkerError> {
        self.pass(WorkerCall::Renew, worker).await?;
        self.answer(self.inner.renew(worker, epoch, items).await)
    }

    async fn checkpoint(
        &self,
        worker: &WorkerSpec,
        epoch: Epoch,
        member: &MemberId,
    ) -> Result<u64, WorkerError> {
        self.pass(WorkerCall::Checkpoint, worker).await?;
        self.answer(self.inner.checkpoint(worker, epoch, member).await)
    }

    async fn throttle(
        &self,
        worker: &WorkerSpec,
        epoch: Epoch,
        member: &MemberId,
        share: f64,
    ) -> Result<(), WorkerError> {
        self.pass(WorkerCall::Renew, worker).await?;
        self.inner.throttle(worker, epoch, member, share).await
    }

    async fn stop(
        &self,
        worker: &WorkerSpec,
        epoch: Epoch,
        member: &MemberId,
    ) -> Result<(), WorkerError> {
        self.pass(WorkerCall::Stop, worker).await?;
        self.answer(self.inner.stop(worker, epoch, member).await)
    }
}
