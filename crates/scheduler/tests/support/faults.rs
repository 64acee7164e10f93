//! Fault injection between one scheduler and the outside systems.

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

/// State of the connection to an outside system.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkState {
    /// Calls are forwarded.
    Connected,
    /// Calls fail, as in a network partition.
    Disconnected,
    /// Calls wait until the connection is restored, as in a suspended process.
    Paused,
}

/// Connection to the store with injected faults.
pub struct FaultyStore {
    inner: Arc<dyn KeyValueService>,
    link: watch::Sender<LinkState>,
    answer_loss: AtomicU32,
}

/// Call of the worker protocol.
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

/// Predicate that is evaluated before each call; `false` blocks the caller forever.
pub type CallFilter = Arc<dyn Fn(WorkerCall, &str) -> bool + Send + Sync>;

/// Connection to the workers with injected faults.
pub struct FaultyWorkers {
    inner: Arc<dyn WorkerService>,
    link: watch::Sender<LinkState>,
    answer_loss: AtomicU32,
    filter: Mutex<Option<CallFilter>>,
    /// Prefix of the ids of workers that cannot be reached.
    unreachable: Mutex<Option<String>>,
}

impl FaultyStore {
    pub fn new(inner: Arc<dyn KeyValueService>) -> Self {
        Self {
            inner,
            link: watch::Sender::new(LinkState::Connected),
            answer_loss: AtomicU32::new(0),
        }
    }

    pub fn set_link(&self, state: LinkState) {
        self.link.send_replace(state);
    }

    /// Loses the answer of every n-th write; 0 for none.
    pub fn lose_every_nth(&self, n: u32) {
        self.answer_loss.store(n, Ordering::Relaxed);
    }

    async fn check_link(&self) -> Result<(), StoreError> {
        match wait_connected(&self.link).await {
            true => Ok(()),
            false => Err(StoreError::Unavailable("disconnected".to_owned())),
        }
    }

    fn deliver<T>(&self, result: Result<T, StoreError>) -> Result<T, StoreError> {
        match count_answer(&self.answer_loss) {
            true => Err(StoreError::Unclear("lost".to_owned())),
            false => result,
        }
    }
}

impl FaultyWorkers {
    pub fn new(inner: Arc<dyn WorkerService>) -> Self {
        let link = watch::Sender::new(LinkState::Connected);
        Self {
            inner,
            link,
            answer_loss: AtomicU32::new(0),
            filter: Mutex::new(None),
            unreachable: Mutex::default(),
        }
    }

    pub fn set_link(&self, state: LinkState) {
        self.link.send_replace(state);
    }

    /// Loses every n-th answer; 0 for none.
    pub fn lose_every_nth(&self, n: u32) {
        self.answer_loss.store(n, Ordering::Relaxed);
    }

    pub fn set_filter(&self, filter: CallFilter) {
        *self.filter.lock().expect("a filter") = Some(filter);
    }

    /// Disconnects the workers whose ids begin with a prefix.
    pub fn disconnect(&self, prefix: &str) {
        *self.unreachable.lock().expect("a prefix") = Some(prefix.to_owned());
    }

    async fn check_link(&self, call: WorkerCall, worker: &WorkerSpec) -> Result<(), WorkerError> {
        let filter = self.filter.lock().expect("a filter").clone();
        if filter.is_some_and(|filter| !filter(call, &worker.id)) {
            std::future::pending::<()>().await;
        }
        let prefix = self.unreachable.lock().expect("a prefix").clone();
        if prefix.is_some_and(|prefix| worker.id.starts_with(&prefix)) {
            return Err(WorkerError::Unreachable { reason: "disconnected".to_owned() });
        }
        match wait_connected(&self.link).await {
            true => Ok(()),
            false => Err(WorkerError::Unreachable { reason: "disconnected".to_owned() }),
        }
    }

    fn deliver<T>(&self, result: Result<T, WorkerError>) -> Result<T, WorkerError> {
        match count_answer(&self.answer_loss) {
            true => Err(WorkerError::Unclear { reason: "lost".to_owned() }),
            false => result,
        }
    }
}

async fn wait_connected(link: &watch::Sender<LinkState>) -> bool {
    let mut receiver = link.subscribe();
    match receiver.wait_for(|state| *state != LinkState::Paused).await {
        Ok(state) => *state == LinkState::Connected,
        Err(_) => false,
    }
}

/// Counts an answer and returns whether it is lost.
///
/// The upper half of `loss_state` counts the answers since the last lost one, the lower half holds
/// the period; a period of 0 loses none.
fn count_answer(loss_state: &AtomicU32) -> bool {
    let value = loss_state.load(Ordering::Relaxed);
    let (count, every) = (value >> 16, value & 0xffff);
    if every == 0 {
        return false;
    }
    let next = (count + 1) % every;
    loss_state.store((next << 16) | every, Ordering::Relaxed);
    next == 0
}

#[async_trait]
impl KeyValueService for FaultyStore {
    async fn get(&self, key: &str) -> Result<Option<StoreEntry>, StoreError> {
        self.check_link().await?;
        self.inner.get(key).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<StoreEntry>, StoreError> {
        self.check_link().await?;
        self.inner.list(prefix).await
    }

    async fn put(
        &self,
        key: &str,
        value: String,
        expected: Revision,
        lease: Option<LeaseId>,
    ) -> Result<Revision, StoreError> {
        self.check_link().await?;
        self.deliver(self.inner.put(key, value, expected, lease).await)
    }

    async fn delete(&self, key: &str, expected: Revision) -> Result<(), StoreError> {
        self.check_link().await?;
        self.deliver(self.inner.delete(key, expected).await)
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchBatch, StoreError> {
        self.check_link().await?;
        let mut link = self.link.subscribe();
        tokio::select! {
            batch = self.inner.watch(prefix, after, wait) => batch,
            _ = link.wait_for(|state| *state == LinkState::Disconnected) => {
                Err(StoreError::Unavailable("disconnected".to_owned()))
            }
        }
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.check_link().await?;
        self.deliver(self.inner.grant_lease(ttl).await)
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.check_link().await?;
        self.deliver(self.inner.renew_lease(lease).await)
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.check_link().await?;
        self.deliver(self.inner.revoke_lease(lease).await)
    }
}

#[async_trait]
impl WorkerService for FaultyWorkers {
    async fn report(&self, worker: &WorkerSpec, epoch: Epoch) -> Result<WorkerReport, WorkerError> {
        self.check_link(WorkerCall::Report, worker).await?;
        self.deliver(self.inner.report(worker, epoch).await)
    }

    async fn reserve(
        &self,
        worker: &WorkerSpec,
        epoch: Epoch,
        request: ReserveRequest,
    ) -> Result<(), WorkerError> {
        self.check_link(WorkerCall::Reserve, worker).await?;
        self.deliver(self.inner.reserve(worker, epoch, request).await)
    }

    async fn commit(
        &self,
        worker: &WorkerSpec,
        epoch: Epoch,
        member: &MemberId,
        ttl: Duration,
    ) -> Result<(), WorkerError> {
        self.check_link(WorkerCall::Commit, worker).await?;
        self.deliver(self.inner.commit(worker, epoch, member, ttl).await)
    }

    async fn start(
        &self,
        worker: &WorkerSpec,
        epoch: Epoch,
        member: &MemberId,
        not_after: Duration,
    ) -> Result<(), WorkerError> {
        self.check_link(WorkerCall::Start, worker).await?;
        self.deliver(self.inner.start(worker, epoch, member, not_after).await)
    }

    async fn renew(
        &self,
        worker: &WorkerSpec,
        epoch: Epoch,
        items: Vec<RenewItem>,
    ) -> Result<WorkerReport, WorkerError> {
        self.check_link(WorkerCall::Renew, worker).await?;
        self.deliver(self.inner.renew(worker, epoch, items).await)
    }

    async fn checkpoint(
        &self,
        worker: &WorkerSpec,
        epoch: Epoch,
        member: &MemberId,
    ) -> Result<u64, WorkerError> {
        self.check_link(WorkerCall::Checkpoint, worker).await?;
        self.deliver(self.inner.checkpoint(worker, epoch, member).await)
    }

    async fn throttle(
        &self,
        worker: &WorkerSpec,
        epoch: Epoch,
        member: &MemberId,
        share: f64,
    ) -> Result<(), WorkerError> {
        self.check_link(WorkerCall::Renew, worker).await?;
        self.inner.throttle(worker, epoch, member, share).await
    }

    async fn stop(
        &self,
        worker: &WorkerSpec,
        epoch: Epoch,
        member: &MemberId,
    ) -> Result<(), WorkerError> {
        self.check_link(WorkerCall::Stop, worker).await?;
        self.deliver(self.inner.stop(worker, epoch, member).await)
    }
}
