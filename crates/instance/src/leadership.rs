//! Election of the region's active scheduler.
//!
//! The leadership is a key in the key-value service that is bound to a lease. Its holder starts
//! tasks only while, by its own clock, the lease can't have expired. During an outage of the
//! service the holder starts nothing but continues to renew the workers' leases, so that running
//! work survives. It steps down when the service shows that another process has led since, or when
//! a worker rejects its fencing token.

use std::sync::Arc;
use std::time::Duration;

use lacewingrail_fleet::{FleetPlanner, PlannerSettings};
use lacewingrail_model::Epoch;
use lacewingrail_model::clock::{millis, unix_millis};
use lacewingrail_model::store::{
    BatchStore, KeyExpectation, KeyWrite, LeaseId, Revision, StoreBatch, StoreError, StoreEvent,
};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::clock;
use crate::executor::LeadershipPermit;
use crate::leader_runtime::LeaderRuntime;
use crate::process::InstanceContext;
use crate::records::{EPOCH_KEY, HOLDER_KEY, LEADERSHIP_PREFIX, LeaderRecord};
use crate::schedule_controller::SchedulerHandle;

/// Duration of the leadership's lease, which has to expire before a takeover: renewals succeed in
/// time even if the service is a hundred times slower than usual, and four may be lost in a row.
const LEADERSHIP_TTL: Duration = Duration::from_millis(1200);
/// Time between renewals of the leadership's lease; a sixth of [`LEADERSHIP_TTL`].
const RENEW_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of concurrent renewals: as many as are sent within the timeout of a call.
const MAX_RENEWALS_IN_FLIGHT: usize = 5;
/// Safety margin: the holder stops starting tasks this long before its lease can expire.
const VALIDITY_MARGIN: Duration = Duration::from_millis(100);
/// Time for which a holder whose lease may have expired continues to renew workers' leases: as long
/// as the longer outages of the key-value service, so that running work survives them.
const OUTAGE_GRACE_PERIOD: Duration = Duration::from_secs(6);
/// Time for which a watch waits for changes, which bounds the time until a dead connection is
/// detected.
pub const WATCH_TIMEOUT: Duration = Duration::from_millis(1500);
/// Delay before a failed watch is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Maximum random delay before an attempt to acquire the leadership, so that candidates don't
/// collide.
const MAX_ELECTION_JITTER_MS: u64 = 40;
/// Share of a core that suffices to schedule a region of the present size; an instance with this
/// share or more delays its candidacy by the jitter only.
const SUFFICIENT_CORE_SHARE: f64 = 0.25;
/// Maximum election delay before jitter; the delay falls linearly to zero as the core share grows
/// to [`SUFFICIENT_CORE_SHARE`].
const MAX_ELECTION_DELAY: Duration = Duration::from_millis(600);

/// Active scheduler, as this process knows it.
#[derive(Clone, Default)]
pub struct LeadershipView {
    /// Holder of the leadership in the newest watch; `None` if there is none.
    pub leader: Option<LeaderRecord>,
    /// Handle of this process's scheduler; `None` unless this process holds the leadership.
    pub local_scheduler: Option<SchedulerHandle>,
}

/// Watches the leadership, acquires it when it is vacant, and runs the scheduler while holding it.
pub struct LeadershipController {
    context: Arc<InstanceContext>,
    view: watch::Sender<LeadershipView>,
    nonce: u64,
    revision: Revision,
    holder: Option<LeaderRecord>,
    epoch: StoredEpoch,
}

/// Newest epoch that was read from the service.
#[derive(Clone, Copy, Debug, Default)]
struct StoredEpoch {
    number: Epoch,
    /// Revision of its key; 0 if the key does not exist.
    revision: Revision,
}

/// Leadership that this process holds.
struct HeldLeadership {
    lease: LeaseId,
    holder_revision: Revision,
    epoch: Epoch,
    valid_until: Duration,
    /// Whether the newest answered renewal failed; further failures are not logged.
    renewal_failed: bool,
}

impl HeldLeadership {
    fn permit(&self) -> LeadershipPermit {
        LeadershipPermit { epoch: self.epoch, valid_until: self.valid_until }
    }
}

/// Result of one renewal of the leadership's lease.
struct RenewalResult {
    lease: LeaseId,
    sent: Duration,
    result: Result<(), StoreError>,
}

impl LeadershipController {
    /// Creates a controller that publishes to `view`.
    pub fn new(context: Arc<InstanceContext>, view: watch::Sender<LeadershipView>) -> Self {
        Self {
            context,
            view,
            nonce: rand::random(),
            revision: 0,
            holder: None,
            epoch: StoredEpoch::default(),
        }
    }

    /// Watches the leadership and tries to acquire it whenever it is vacant; never returns.
    pub async fn run(mut self) {
        let mut wait = Duration::ZERO;
        loop {
            match self.context.store.watch(LEADERSHIP_PREFIX, self.revision, wait).await {
                Ok(batch) => {
                    if batch.reset {
                        self.holder = None;
                        self.epoch = StoredEpoch::default();
                    }
                    batch.events.into_iter().for_each(|event| self.apply_event(event));
                    self.revision = batch.revision;
                    wait = WATCH_TIMEOUT;
                    self.publish();
                }
                Err(error) => {
                    log::debug!(error = error.to_string(); "cannot watch the leadership; retrying");
                    self.context.timer.wait(RETRY_DELAY).await;
                    continue;
                }
            }
            if self.holder.is_none() && !self.context.is_draining() {
                self.context.timer.wait(self.election_delay()).await;
                if let Some(held) = self.acquire().await {
                    self.lead(held).await;
                }
                // The state has not been watched meanwhile, so it is read again from the start.
                (self.revision, wait) = (0, Duration::ZERO);
                (self.holder, self.epoch) = (None, StoredEpoch::default());
            }
        }
    }

    /// Returns the delay before acquiring a vacant leadership; longer for a smaller core share.
    fn election_delay(&self) -> Duration {
        let jitter = Duration::from_millis(rand::random::<u64>() % MAX_ELECTION_JITTER_MS);
        let share = self.context.settings.processor_share.min(SUFFICIENT_CORE_SHARE)
            / SUFFICIENT_CORE_SHARE;
        jitter + MAX_ELECTION_DELAY.mul_f64(1.0 - share.max(0.0))
    }

    fn apply_event(&mut self, event: StoreEvent) {
        match (event.key.as_str(), event.value) {
            (HOLDER_KEY, None) => self.holder = None,
            (HOLDER_KEY, Some(value)) => match serde_json::from_str(&value) {
                Ok(record) => self.holder = Some(record),
                Err(error) => log::error!(error = error.to_string(); "malformed leadership record"),
            },
            (EPOCH_KEY, Some(value)) => {
                let epoch = value.parse().unwrap_or_else(|_| {
                    log::error!(value = value; "malformed epoch record");
                    self.epoch.number
                });
                self.epoch = StoredEpoch { number: epoch, revision: event.revision };
            }
            _ => {}
        }
    }

    fn publish(&self) {
        let leader = self.holder.clone();
        let changed = self.view.borrow().leader != leader;
        if changed {
            if let Some(record) = &leader {
                log::info!(
                    leader = record.instance, epoch = record.epoch, revision = self.revision;
                    "leader seen"
                );
            }
            self.view.send_modify(|view| view.leader = leader);
        }
    }

    fn leader_record(&self, epoch: Epoch) -> LeaderRecord {
        LeaderRecord {
            instance: self.context.settings.name.clone(),
            address: self.context.settings.peer_address.to_string(),
            epoch,
            nonce: self.nonce,
        }
    }

    /// Tries to acquire the vacant leadership; `None` if another process was faster or the service
    /// failed.
    async fn acquire(&mut self) -> Option<HeldLeadership> {
        let sent = clock::now();
        let lease = match self.context.store.grant_lease(LEADERSHIP_TTL).await {
            Ok(lease) => lease,
            Err(error) => {
                log::warn!(error = error.to_string(); "cannot acquire a lease for the leadership");
                return None;
            }
        };
        let StoredEpoch { number: newest, revision: epoch_revision } = self.epoch;
        let epoch = newest + 1;
        let record = self.leader_record(epoch);
        let value = serde_json::to_string(&record).ok()?;
        let batch = StoreBatch {
            expected: vec![
                KeyExpectation { key: HOLDER_KEY.to_owned(), revision: 0 },
                KeyExpectation { key: EPOCH_KEY.to_owned(), revision: epoch_revision },
            ],
            writes: vec![
                KeyWrite { key: HOLDER_KEY.to_owned(), value, lease: Some(lease) },
                KeyWrite { key: EPOCH_KEY.to_owned(), value: epoch.to_string(), lease: None },
            ],
            deletes: Vec::new(),
        };
        let holder_revision = match self.context.store.commit(batch).await {
            Ok(revision) => revision,
            Err(StoreError::Unclear(_)) => self.confirm_acquisition(&record).await?,
            Err(error) => {
                log::info!(epoch = epoch, error = error.to_string(); "leadership not taken");
                return None;
            }
        };
        self.epoch = StoredEpoch { number: epoch, revision: holder_revision };
        let valid_until = sent + LEADERSHIP_TTL - VALIDITY_MARGIN;
        self.holder = Some(record);
        self.publish();
        Some(HeldLeadership { lease, holder_revision, epoch, valid_until, renewal_failed: false })
    }

    /// Returns the revision of the leadership's key if a write whose answer was lost took effect.
    async fn confirm_acquisition(&self, record: &LeaderRecord) -> Option<Revision> {
        let entry = self.context.store.get(HOLDER_KEY).await.ok()??;
        let found: LeaderRecord = serde_json::from_str(&entry.value).ok()?;
        (found == *record).then_some(entry.revision)
    }

    /// Runs the scheduler until another process has acquired the leadership, a worker rejects its
    /// epoch, or this process drains.
    async fn lead(&mut self, mut held: HeldLeadership) {
        log::info!(epoch = held.epoch, revision = held.holder_revision; "leadership taken");
        let context = self.context.clone();
        let planner = FleetPlanner::new(planner_settings(&context, held.epoch), clock::now());
        let runtime =
            LeaderRuntime::start(context.clone(), planner, held.permit(), held.holder_revision)
                .await;
        self.view.send_modify(|view| view.local_scheduler = Some(runtime.scheduler()));
        let mut ticks = context.timer.subscribe(RENEW_INTERVAL);
        let mut renewals = JoinSet::new();
        while runtime.is_alive() && !context.is_draining() {
            tokio::select! {
                _ = ticks.tick() => {
                    if renewals.len() < MAX_RENEWALS_IN_FLIGHT {
                        renewals.spawn(send_renewal(context.store.clone(), held.lease));
                    }
                }
                Some(Ok(renewal)) = renewals.join_next(), if !renewals.is_empty() => {
                    if !self.apply_renewal(&mut held, renewal).await {
                        break;
                    }
                }
            }
            runtime.update_leadership(held.permit(), held.holder_revision).await;
        }
        self.view.send_modify(|view| view.local_scheduler = None);
        runtime.stop().await;
        let released = context.store.revoke_lease(held.lease).await;
        log::info!(epoch = held.epoch, released = released.is_ok(); "leadership ended");
    }

    /// Applies the result of a renewal; returns `false` once another process has acquired the
    /// leadership.
    async fn apply_renewal(&mut self, held: &mut HeldLeadership, renewal: RenewalResult) -> bool {
        if renewal.lease != held.lease {
            return true;
        }
        match renewal.result {
            Ok(()) => {
                held.renewal_failed = false;
                let valid_until = renewal.sent + LEADERSHIP_TTL - VALIDITY_MARGIN;
                held.valid_until = held.valid_until.max(valid_until);
                true
            }
            Err(StoreError::LeaseLapsed) => self.reacquire(held).await,
            Err(error) => {
                if !held.renewal_failed {
                    let remaining = held.valid_until.saturating_sub(clock::now());
                    log::warn!(
                        epoch = held.epoch, left_ms = millis(remaining),
                        error = error.to_string();
                        "leadership not renewed"
                    );
                }
                held.renewal_failed = true;
                true
            }
        }
    }

    /// Reacquires the leadership under a new epoch after its lease has expired.
    ///
    /// Returns `false` if another process has held it since.
    async fn reacquire(&mut self, held: &mut HeldLeadership) -> bool {
        self.holder = None;
        match self.acquire().await {
            Some(reacquired) => {
                log::info!(epoch = reacquired.epoch; "leadership regained");
                *held = reacquired;
                true
            }
            None => {
                let entry = self.context.store.get(EPOCH_KEY).await;
                // If the epoch can't be read, another leader is not ruled out; the check is
                // repeated after the next renewal.
                entry.is_err()
                    || matches!(entry, Ok(Some(entry)) if entry.revision == self.epoch.revision)
            }
        }
    }
}

async fn send_renewal(store: Arc<dyn BatchStore>, lease: LeaseId) -> RenewalResult {
    let sent = clock::now();
    let result = store.renew_lease(lease).await;
    RenewalResult { lease, sent, result }
}

fn planner_settings(context: &InstanceContext, epoch: Epoch) -> PlannerSettings {
    let origin = unix_millis().saturating_sub(millis(clock::now()));
    PlannerSettings {
        epoch,
        lease_duration: context.settings.max_worker_lease,
        renewal_grace: OUTAGE_GRACE_PERIOD,
        max_order_delay: context.settings.max_order_delay,
        report_poll_timeout: context.settings.report_poll_timeout,
        ended_job_retention: context.settings.stored_retention(),
        unix_origin_ms: origin,
    }
}
