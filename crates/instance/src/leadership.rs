//! Selects the active scheduler of the region and keeps its leadership.
//!
//! The leadership is a key bound to a lease. Its holder starts tasks only while the lease can't have
//! ended by the holder's own clock. When the key-value service stops answering, the holder goes on
//! renewing the workers' leases, so that running work survives an outage, and starts nothing. It
//! gives up when another holder is seen in the service or by the fencing token at a worker.

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

/// Time to live of the leadership, which a takeover waits for: renewals to a service that answers a
/// hundred times slower than usual still come in time, and four lost ones in a row do no harm.
const LEADERSHIP_TTL: Duration = Duration::from_millis(1200);
/// Time between renewals.
const RENEW_INTERVAL: Duration = Duration::from_millis(200);
/// Renewals in flight at once: those that a call's timeout spans.
const MAX_RENEWALS_IN_FLIGHT: usize = 5;
/// Time by which the holder stops starting before the lease can end.
const VALIDITY_MARGIN: Duration = Duration::from_millis(100);
/// Time for which workers' leases are renewed without a certain leadership: the store's longer
/// outages, so that running work survives them.
const OUTAGE_GRACE_PERIOD: Duration = Duration::from_secs(6);
/// Longest wait of a watch; bounds the time until a silent connection is noticed.
pub const WATCH_TIMEOUT: Duration = Duration::from_millis(1500);
/// Pause after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Longest random pause before a candidacy, so that candidates do not collide.
const MAX_ELECTION_JITTER_MS: u64 = 40;
/// Share of a core with which an instance schedules a region of today's size at ease.
const SUFFICIENT_CORE_SHARE: f64 = 0.25;
/// Time for which an instance without any processor would leave the leadership to others.
const MAX_ELECTION_DELAY: Duration = Duration::from_millis(600);
/// Time for which the end of a job is kept in memory beyond the time clients may ask for it.
const ENDED_RETENTION_MARGIN: Duration = Duration::from_secs(10);

/// Tells who schedules.
#[derive(Clone, Default)]
pub struct LeadershipView {
    /// Holder that was seen last.
    pub leader: Option<LeaderRecord>,
    /// Scheduler of this process while it holds the leadership.
    pub local_scheduler: Option<SchedulerHandle>,
}

/// Follows the leadership and takes it when it is free.
pub struct LeadershipController {
    context: Arc<InstanceContext>,
    view: watch::Sender<LeadershipView>,
    nonce: u64,
    revision: Revision,
    holder: Option<LeaderRecord>,
    epoch: StoredEpoch,
}

/// Holds the newest epoch that was read.
#[derive(Clone, Copy, Debug, Default)]
struct StoredEpoch {
    number: Epoch,
    /// Revision of its key.
    revision: Revision,
}

/// Holds what a leadership consists of.
struct HeldLeadership {
    lease: LeaseId,
    holder_revision: Revision,
    epoch: Epoch,
    valid_until: Duration,
    /// Whether the newest renewal failed.
    renewal_failed: bool,
}

impl HeldLeadership {
    fn permit(&self) -> LeadershipPermit {
        LeadershipPermit { epoch: self.epoch, valid_until: self.valid_until }
    }
}

/// Holds the answer to a renewal.
struct RenewalResult {
    lease: LeaseId,
    sent: Duration,
    result: Result<(), StoreError>,
}

impl LeadershipController {
    /// Creates the controller.
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

    /// Runs until the process ends.
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
                    log::debug!(error = error.to_string(); "leadership not readable");
                    self.context.timer.wait(RETRY_DELAY).await;
                    continue;
                }
            }
            if self.holder.is_none() && !self.context.is_draining() {
                self.context.timer.wait(self.election_delay()).await;
                if let Some(held) = self.acquire().await {
                    self.lead(held).await;
                }
                // What happened meanwhile is read anew.
                (self.revision, wait) = (0, Duration::ZERO);
                (self.holder, self.epoch) = (None, StoredEpoch::default());
            }
        }
    }

    /// Returns how long to leave the free leadership to others: longer on a weak instance.
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
                Err(error) => log::error!(error = error.to_string(); "leadership record malformed"),
            },
            (EPOCH_KEY, Some(value)) => {
                let epoch = value.parse().unwrap_or_else(|_| {
                    log::error!(value = value; "epoch record malformed");
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

    /// Takes the free leadership, unless another process was faster.
    async fn acquire(&mut self) -> Option<HeldLeadership> {
        let sent = clock::now();
        let lease = match self.context.store.grant_lease(LEADERSHIP_TTL).await {
            Ok(lease) => lease,
            Err(error) => {
                log::warn!(error = error.to_string(); "no lease for the leadership");
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

    /// Reads whether a write of the leadership without an answer took effect.
    async fn confirm_acquisition(&self, record: &LeaderRecord) -> Option<Revision> {
        let entry = self.context.store.get(HOLDER_KEY).await.ok()??;
        let found: LeaderRecord = serde_json::from_str(&entry.value).ok()?;
        (found == *record).then_some(entry.revision)
    }

    /// Schedules until the leadership is lost or given up.
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
                Some(Ok(answer)) = renewals.join_next(), if !renewals.is_empty() => {
                    if !self.apply_renewal(&mut held, answer).await {
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

    /// Notes the answer to a renewal; returns whether this process still leads or may regain it.
    async fn apply_renewal(&mut self, held: &mut HeldLeadership, answer: RenewalResult) -> bool {
        if answer.lease != held.lease {
            return true;
        }
        match answer.result {
            Ok(()) => {
                held.renewal_failed = false;
                let valid_until = answer.sent + LEADERSHIP_TTL - VALIDITY_MARGIN;
                held.valid_until = held.valid_until.max(valid_until);
                true
            }
            Err(StoreError::LeaseLapsed) => self.reacquire(held).await,
            Err(error) => {
                if !held.renewal_failed {
                    let left = held.valid_until.saturating_sub(clock::now());
                    log::warn!(
                        epoch = held.epoch, left_ms = millis(left),
                        error = error.to_string();
                        "leadership not renewed"
                    );
                }
                held.renewal_failed = true;
                true
            }
        }
    }

    /// Takes the leadership again if no other process has held it since its lease ended.
    async fn reacquire(&mut self, held: &mut HeldLeadership) -> bool {
        self.holder = None;
        match self.acquire().await {
            Some(regained) => {
                log::info!(epoch = regained.epoch; "leadership regained");
                *held = regained;
                true
            }
            None => {
                let entry = self.context.store.get(EPOCH_KEY).await;
                // An unreadable epoch proves nothing; the next renewal tries again.
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
        report_poll_timeout: context.settings.report_poll_timeout,
        ended_job_retention: context.settings.ended_retention + ENDED_RETENTION_MARGIN,
        unix_origin_ms: origin,
    }
}
