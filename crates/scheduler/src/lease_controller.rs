//! Acquires and holds the scheduler lease of one failure domain.
//!
//! A process of the domain acquires a free lease at once; a process of another domain in the region
//! does so only after the lease was free for 2 s. The holder steps down when a worker has seen
//! a higher epoch or when the store reports that the lease is gone. A store that does not answer is
//! no reason to step down, because no other process can acquire a higher epoch then either. A
//! process of the domain that can reach neither the store nor the holder renews the running gangs
//! under the holder's epoch and starts nothing.

mod renew_only;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use lacewingrail_model::store::StoreError;
use lacewingrail_model::write_id::WriteIdGenerator;
use lacewingrail_model::{DomainName, Epoch};
use tracing::Instrument;

use crate::context::ProcessContext;
use crate::gang_controller::{CountReachable, GangController};
use crate::job_controller::JobController;
use crate::leadership::{Leadership, LeadershipSettings};
use crate::lease::{self, AcquireOutcome, HeldLease, LEASE_TTL, LeaseHolder, RENEW_TIMEOUT};
use crate::metrics::DomainLabel;
use crate::permission::StartPermission;

/// Time for which a lease must have been free before a process of another domain acquires it.
const FOREIGN_ACQUIRE_DELAY: Duration = Duration::from_secs(2);
/// Uninterrupted contact with the store at a takeover that rules out gangs which the former holder
/// started during a store outage: their leases have expired by then.
const TRUSTED_CONTACT_TIME: Duration = Duration::from_secs(12);
/// Time for which the domain must have a live scheduler process of its own before a holder from
/// another domain returns the lease.
const FAILBACK_DELAY: Duration = Duration::from_secs(10);
/// Delay before the lease is returned again, if the domain's own processes did not acquire it.
const FAILBACK_RETRY_INTERVAL: Duration = Duration::from_secs(300);

/// Leaderships of a process by domain, for queries and vetoes.
pub type LeadershipTable = Arc<Mutex<BTreeMap<DomainName, LeadershipEntry>>>;

/// Handles of one leadership.
#[derive(Clone)]
pub struct LeadershipEntry {
    /// Epoch of the leadership.
    pub epoch: Epoch,
    /// Permission that must hold before a task starts.
    pub permission: Arc<StartPermission>,
    /// Gang controller of the domain.
    pub gangs: ActorRef<GangController>,
    /// Job controller of the domain; `None` in renew-only mode.
    pub jobs: Option<ActorRef<JobController>>,
}

/// Identity and dependencies of a [`LeaseController`].
pub struct LeaseSettings {
    /// State and services shared by the controllers of the process.
    pub context: Arc<ProcessContext>,
    /// Failure domain whose lease is managed.
    pub domain: DomainName,
    /// Generator of the ids of this process's writes.
    pub write_id_generator: Arc<WriteIdGenerator>,
    /// Table in which active leaderships of the process are published.
    pub table: LeadershipTable,
}

/// Acquires and holds the scheduler lease of one failure domain.
pub struct LeaseController {
    settings: LeaseSettings,
    actor_ref: ActorRef<Self>,
    /// Whether the process belongs to the domain.
    is_local: bool,
    state: LeaseState,
    /// Time at which the lease was first seen free; `None` while it is held.
    free_since: Option<Instant>,
    /// Start of the current uninterrupted contact with the store.
    store_contact_since: Option<Instant>,
    /// Time since which the domain has a live scheduler process of its own.
    local_scheduler_since: Option<Instant>,
    /// Time at which the lease was last returned to the domain's own processes.
    last_failback: Option<Instant>,
    holder_monitor: renew_only::HolderMonitor,
    shutting_down: bool,
}

/// State of the leadership. Without a held lease it is in renew-only mode.
enum LeaseState {
    /// This process does not schedule the domain.
    Idle,
    /// The leadership is being started by `task`.
    Rebuilding { held: Option<HeldLease>, epoch: Epoch, task: tokio::task::AbortHandle },
    /// The controllers run. `renewed_at` is the send time of the last successful renewal, or the
    /// start of the leadership before the first one.
    Active { held: Option<HeldLease>, renewed_at: Instant, leadership: Box<Leadership> },
}

/// Renews a held lease, or tries to acquire a free one.
pub struct LeaseTick;

/// Releases the lease and stops trying to acquire it.
pub struct ShutDown;

/// Reports that a worker has seen a higher epoch than that of the leadership `epoch`.
struct StaleEpochSeen {
    epoch: Epoch,
    seen: Epoch,
}

/// Requests a repetition of the rebuild.
struct RepeatRebuild {
    epoch: Epoch,
}

/// Reports the started leadership, or the higher epoch that a worker has seen.
struct RebuildEnded {
    epoch: Epoch,
    outcome: Result<Leadership, Epoch>,
}

impl Actor for LeaseController {
    type Args = LeaseSettings;
    type Error = std::convert::Infallible;

    async fn on_start(
        settings: LeaseSettings,
        actor_ref: ActorRef<Self>,
    ) -> Result<Self, Self::Error> {
        let is_local = settings.context.membership.settings().domain == settings.domain;
        Ok(Self {
            settings,
            actor_ref,
            is_local,
            state: LeaseState::Idle,
            free_since: None,
            store_contact_since: None,
            local_scheduler_since: None,
            last_failback: None,
            holder_monitor: renew_only::HolderMonitor::default(),
            shutting_down: false,
        })
    }
}

impl Message<LeaseTick> for LeaseController {
    type Reply = ();

    async fn handle(&mut self, _tick: LeaseTick, _context: &mut Context<Self, ()>) {
        if self.shutting_down || !self.settings.context.membership.ready() {
            return;
        }
        match &self.state {
            LeaseState::Idle => self.check_lease().await,
            LeaseState::Rebuilding { held: Some(held), .. }
            | LeaseState::Active { held: Some(held), .. } => {
                let held = *held;
                self.renew(held).await;
            }
            LeaseState::Rebuilding { held: None, .. } => self.check_lease().await,
            LeaseState::Active { held: None, leadership, .. } => {
                // Shows the other processes of the domain that the gangs are being renewed.
                let (domain, epoch) = (&self.settings.domain, leadership.epoch);
                self.settings.context.membership.set_own_scheduler(domain, epoch, 0);
                self.check_lease().await;
            }
        }
    }
}

impl Message<StaleEpochSeen> for LeaseController {
    type Reply = ();

    async fn handle(&mut self, message: StaleEpochSeen, _context: &mut Context<Self, ()>) {
        if self.epoch() == Some(message.epoch) && message.seen > message.epoch {
            self.release(&format!("a worker has seen epoch {}", message.seen)).await;
        }
    }
}

impl Message<RepeatRebuild> for LeaseController {
    type Reply = ();

    async fn handle(&mut self, message: RepeatRebuild, _context: &mut Context<Self, ()>) {
        let LeaseState::Active { held, leadership, .. } = &self.state else {
            return;
        };
        let (held, epoch) = (*held, leadership.epoch);
        if epoch == message.epoch {
            let domain = &self.settings.domain;
            log::info!("a worker of {domain} that missed the rebuild answers; repeating it");
            self.rebuild(held, epoch, self.are_starts_recorded());
        }
    }
}

impl Message<RebuildEnded> for LeaseController {
    type Reply = ();

    async fn handle(&mut self, message: RebuildEnded, _context: &mut Context<Self, ()>) {
        let LeaseState::Rebuilding { held, epoch, .. } = &self.state else {
            return;
        };
        if *epoch != message.epoch {
            return;
        }
        let held = *held;
        match message.outcome {
            Ok(leadership) => {
                self.publish_leadership(&leadership);
                let renewed_at = Instant::now();
                self.state =
                    LeaseState::Active { held, renewed_at, leadership: Box::new(leadership) };
            }
            Err(seen) => self.release(&format!("a worker has seen epoch {seen}")).await,
        }
    }
}

impl Message<ShutDown> for LeaseController {
    type Reply = ();

    async fn handle(&mut self, _message: ShutDown, _context: &mut Context<Self, ()>) {
        self.shutting_down = true;
        self.release("the process is shutting down").await;
    }
}

impl LeaseController {
    fn epoch(&self) -> Option<Epoch> {
        match &self.state {
            LeaseState::Idle => None,
            LeaseState::Rebuilding { epoch, .. } => Some(*epoch),
            LeaseState::Active { leadership, .. } => Some(leadership.epoch),
        }
    }

    /// Acquires the lease if it is free, and steps down from renew-only mode if it is not.
    async fn check_lease(&mut self) {
        let context = self.settings.context.clone();
        let domain = self.settings.domain.clone();
        let now = Instant::now();
        let read =
            tokio::time::timeout(RENEW_TIMEOUT, lease::holder(&*context.store, &domain)).await;
        match read {
            Ok(Ok(holder)) => {
                context.membership.record_store_call(now, true);
                self.store_contact_since.get_or_insert(now);
                if holder.is_some() {
                    self.free_since = None;
                    if !matches!(self.state, LeaseState::Idle) {
                        self.step_down("another process holds the lease");
                    }
                    return;
                }
                let newly_free = self.free_since.is_none();
                let free_since = *self.free_since.get_or_insert(now);
                if self.is_local
                    || now.saturating_duration_since(free_since) >= FOREIGN_ACQUIRE_DELAY
                {
                    self.acquire().await;
                } else if newly_free {
                    // Without this, the lease would be acquired up to one tick interval after the
                    // delay.
                    let (actor_ref, timer) = (self.actor_ref.clone(), context.timer.clone());
                    tokio::spawn(async move {
                        timer.wait(FOREIGN_ACQUIRE_DELAY).await;
                        let _ = actor_ref.tell(LeaseTick).try_send();
                    });
                }
            }
            Ok(Err(StoreError::Malformed(cause))) => {
                log::error!("the scheduler lease is malformed ({cause}); delete its key");
            }
            Ok(Err(_)) | Err(_) => {
                context.membership.record_store_call(now, false);
                (self.free_since, self.store_contact_since) = (None, None);
                self.consider_renew_only();
                self.check_reachability().await;
            }
        }
    }

    async fn acquire(&mut self) {
        let context = self.settings.context.clone();
        let domain = self.settings.domain.clone();
        let settings = context.membership.settings();
        let (instance, address) = (settings.instance.clone(), settings.address.clone());
        let (holder, generator) =
            (LeaseHolder { instance, address }, self.settings.write_id_generator.clone());
        let call = lease::acquire(&*context.store, &generator, &domain, &holder);
        let held = match tokio::time::timeout(lease::ACQUIRE_TIMEOUT, call).await {
            Ok(Ok(AcquireOutcome::Acquired(held))) => held,
            Ok(Ok(AcquireOutcome::Taken)) => {
                self.free_since = None;
                return;
            }
            Ok(Err(error)) => {
                log::info!("the scheduler lease of {domain} was not acquired: {error}");
                return;
            }
            Err(_) => {
                log::info!("acquiring the scheduler lease of {domain} timed out");
                return;
            }
        };
        log::info!("this process is the active scheduler of {domain}, epoch {}", held.epoch);
        self.rebuild(Some(held), held.epoch, self.are_starts_recorded());
    }

    /// Returns whether every gang that may still run was recorded in the store before its start.
    fn are_starts_recorded(&self) -> bool {
        self.store_contact_since.is_some_and(|since| since.elapsed() >= TRUSTED_CONTACT_TIME)
    }

    /// Starts a leadership and ends the current one first.
    fn rebuild(&mut self, held: Option<HeldLease>, epoch: Epoch, starts_recorded: bool) {
        self.end_leadership();
        let (stale_epoch_receiver, repeat_receiver) =
            (self.actor_ref.clone(), self.actor_ref.clone());
        let settings = LeadershipSettings {
            context: self.settings.context.clone(),
            domain: self.settings.domain.clone(),
            epoch,
            renew_only: held.is_none(),
            starts_recorded,
            on_stale_epoch: Arc::new(move |seen| {
                let _ = stale_epoch_receiver.tell(StaleEpochSeen { epoch, seen }).try_send();
            }),
            on_repeat_rebuild: Arc::new(move || {
                let _ = repeat_receiver.tell(RepeatRebuild { epoch }).try_send();
            }),
        };
        let actor_ref = self.actor_ref.clone();
        let span = tracing::info_span!("rebuild", domain = %self.settings.domain, epoch);
        let rebuild = async move {
            let outcome = Leadership::begin(settings).await;
            let _ = actor_ref.tell(RebuildEnded { epoch, outcome }).try_send();
        };
        let task = tokio::spawn(rebuild.instrument(span));
        self.state = LeaseState::Rebuilding { held, epoch, task: task.abort_handle() };
    }

    async fn renew(&mut self, held: HeldLease) {
        let context = self.settings.context.clone();
        let sent = Instant::now();
        let call = context.store.renew_lease(held.lease);
        match tokio::time::timeout(RENEW_TIMEOUT, call).await {
            Ok(Ok(())) => {
                context.membership.record_store_call(sent, true);
                self.store_contact_since.get_or_insert(sent);
                if let LeaseState::Active { renewed_at, .. } = &mut self.state {
                    *renewed_at = sent;
                }
                self.consider_failback().await;
            }
            Ok(Err(StoreError::LeaseLapsed)) => {
                context.membership.record_store_call(sent, true);
                self.step_down("the lease has expired");
                self.check_lease().await;
            }
            Ok(Err(_)) | Err(_) => {
                context.membership.record_store_call(sent, false);
                self.store_contact_since = None;
                self.check_reachability().await;
            }
        }
    }

    /// Steps down once the last renewal is older than the lease time and most workers are
    /// unreachable.
    ///
    /// A successor restarts jobs that may still run only after it has fenced more than half of the
    /// workers, so a holder that reaches at least half of them meets one that rejects its epoch.
    async fn check_reachability(&mut self) {
        let LeaseState::Active { renewed_at, leadership, .. } = &self.state else {
            return;
        };
        if renewed_at.elapsed() < LEASE_TTL {
            return;
        }
        if let Ok((reached, all)) = leadership.gangs.ask(CountReachable).await
            && reached * 2 < all
        {
            self.step_down("neither the store nor half of the workers can be reached");
        }
    }

    /// Returns the lease to the domain's own processes once they are live.
    async fn consider_failback(&mut self) {
        if self.is_local {
            return;
        }
        let domain = &self.settings.domain;
        let peers = self.settings.context.membership.peers();
        let has_local_scheduler = renew_only::live_schedulers(&peers, domain).next().is_some();
        if !has_local_scheduler {
            self.local_scheduler_since = None;
            return;
        }
        let since = *self.local_scheduler_since.get_or_insert_with(Instant::now);
        let returned_recently =
            self.last_failback.is_some_and(|at| at.elapsed() < FAILBACK_RETRY_INTERVAL);
        if since.elapsed() >= FAILBACK_DELAY && !returned_recently {
            self.local_scheduler_since = None;
            self.last_failback = Some(Instant::now());
            self.release("the domain has scheduler processes of its own").await;
        }
    }

    /// Ends the leadership and revokes the lease, so that the successor does not wait for its
    /// expiry.
    async fn release(&mut self, reason: &str) {
        let held = match &self.state {
            LeaseState::Idle => return,
            LeaseState::Rebuilding { held, .. } | LeaseState::Active { held, .. } => *held,
        };
        self.step_down(reason);
        if let Some(held) = held {
            let call = self.settings.context.store.revoke_lease(held.lease);
            let _ = tokio::time::timeout(RENEW_TIMEOUT, call).await;
        }
    }

    fn step_down(&mut self, reason: &str) {
        let domain = &self.settings.domain;
        if let Some(epoch) = self.epoch() {
            log::info!("this process gives up {domain}, epoch {epoch}: {reason}");
        }
        self.end_leadership();
    }

    fn publish_leadership(&mut self, leadership: &Leadership) {
        let domain = self.settings.domain.clone();
        let context = &self.settings.context;
        context.membership.set_own_scheduler(&domain, leadership.epoch, 0);
        let label = DomainLabel { domain: domain.clone() };
        let epoch = i64::try_from(leadership.epoch).unwrap_or(i64::MAX);
        context.metrics.epoch.get_or_create(&label).set(epoch);
        let entry = LeadershipEntry {
            epoch: leadership.epoch,
            permission: leadership.permission.clone(),
            gangs: leadership.gangs.clone(),
            jobs: leadership.jobs.clone(),
        };
        self.settings.table.lock().unwrap_or_else(PoisonError::into_inner).insert(domain, entry);
    }

    fn end_leadership(&mut self) {
        match std::mem::replace(&mut self.state, LeaseState::Idle) {
            LeaseState::Idle => return,
            LeaseState::Rebuilding { task, .. } => task.abort(),
            LeaseState::Active { leadership, .. } => leadership.revoke(),
        }
        let domain = &self.settings.domain;
        self.settings.context.membership.clear_own_scheduler(domain);
        let label = DomainLabel { domain: domain.clone() };
        self.settings.context.metrics.epoch.get_or_create(&label).set(0);
        self.settings.table.lock().unwrap_or_else(PoisonError::into_inner).remove(domain);
    }
}

impl Drop for LeaseController {
    fn drop(&mut self) {
        if let LeaseState::Rebuilding { task, .. } = &self.state {
            task.abort();
        }
    }
}
