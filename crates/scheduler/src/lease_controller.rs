//! Competes for the scheduler lease of one failure domain and holds its leadership.
//!
//! A process of the domain takes a free lease at once, a process of another domain of the region
//! only after it was free for a while. The holder gives up when a worker has seen a higher epoch or
//! when the store says that the lease is gone; a store that does not answer is no reason, since then
//! nobody else can get a higher epoch either. A process of the domain that finds both the store and
//! the holder gone keeps the running gangs alive under the holder's epoch, and starts nothing.

mod takeover;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::message::{Context, Message};
use lacewingrail_model::mark::MarkIssuer;
use lacewingrail_model::store::StoreError;
use lacewingrail_model::{DomainName, Epoch};
use tracing::Instrument;

use crate::context::ProcessContext;
use crate::gang_controller::{CountReached, GangController};
use crate::job_controller::JobController;
use crate::leadership::{Leadership, LeadershipSettings};
use crate::lease::{self, AcquireOutcome, HeldLease, LEASE_TTL, LeaseHolder, RENEW_LIMIT};
use crate::metrics::DomainLabel;
use crate::permission::StartPermission;

/// Time for which a lease must have been free before a process of another domain takes it.
const FOREIGN_WAIT: Duration = Duration::from_secs(2);
/// Time for which this process must have been in contact with the store at a takeover to rule out
/// that the former holder worked through an outage: the lease of its last gangs.
const TRUST_AFTER: Duration = Duration::from_secs(12);
/// Time for which the domain must have a scheduler process of its own before a holder of another
/// domain gives the lease back.
const RETURN_AFTER: Duration = Duration::from_secs(10);

/// Time after which the lease is given back again, if the domain's own processes did not take it.
const RETURN_AGAIN: Duration = Duration::from_secs(300);

/// Lists the leaderships of a process, for questions and vetoes.
pub type LeadershipTable = Arc<Mutex<BTreeMap<DomainName, LeadershipEntry>>>;

/// Refers to one leadership.
#[derive(Clone)]
pub struct LeadershipEntry {
    /// Epoch.
    pub epoch: Epoch,
    /// Permission to start.
    pub permission: Arc<StartPermission>,
    /// Gang controller.
    pub gangs: ActorRef<GangController>,
    /// Job controller; nothing in renew-only mode.
    pub jobs: Option<ActorRef<JobController>>,
}

/// Holds what a controller works with.
pub struct LeaseSettings {
    /// Process.
    pub context: Arc<ProcessContext>,
    /// Failure domain.
    pub domain: DomainName,
    /// Issuer of the marks of this process.
    pub issuer: Arc<MarkIssuer>,
    /// Leaderships of the process.
    pub table: LeadershipTable,
}

/// Competes for one lease.
pub struct LeaseController {
    settings: LeaseSettings,
    me: ActorRef<Self>,
    own: bool,
    state: LeaseState,
    free_since: Option<Instant>,
    contact_since: Option<Instant>,
    local_since: Option<Instant>,
    returned: Option<Instant>,
    silence: takeover::SilenceWatch,
    retired: bool,
}

enum LeaseState {
    Idle,
    Rebuilding { held: Option<HeldLease>, epoch: Epoch, task: tokio::task::AbortHandle },
    Active { held: Option<HeldLease>, renewed: Instant, leadership: Box<Leadership> },
}

/// Renews or competes.
pub struct LeaseTick;

/// Gives the lease back and competes no more.
pub struct Retire;

struct StaleSeen {
    epoch: Epoch,
    seen: Epoch,
}

struct Unsettled {
    epoch: Epoch,
}

struct Rebuilt {
    epoch: Epoch,
    outcome: Result<Leadership, Epoch>,
}

impl Actor for LeaseController {
    type Args = LeaseSettings;
    type Error = std::convert::Infallible;

    async fn on_start(settings: LeaseSettings, me: ActorRef<Self>) -> Result<Self, Self::Error> {
        let own = settings.context.membership.settings().domain == settings.domain;
        Ok(Self {
            settings,
            me,
            own,
            state: LeaseState::Idle,
            free_since: None,
            contact_since: None,
            local_since: None,
            returned: None,
            silence: takeover::SilenceWatch::default(),
            retired: false,
        })
    }
}

impl Message<LeaseTick> for LeaseController {
    type Reply = ();

    async fn handle(&mut self, _tick: LeaseTick, _context: &mut Context<Self, ()>) {
        if self.retired || !self.settings.context.membership.ready() {
            return;
        }
        match &self.state {
            LeaseState::Idle => self.compete().await,
            LeaseState::Rebuilding { held: Some(held), .. }
            | LeaseState::Active { held: Some(held), .. } => {
                let held = *held;
                self.renew(held).await;
            }
            LeaseState::Rebuilding { held: None, .. } => self.compete().await,
            LeaseState::Active { held: None, leadership, .. } => {
                // Tells the other processes of the domain that the gangs are cared for.
                let (domain, epoch) = (&self.settings.domain, leadership.epoch);
                self.settings.context.membership.set_scheduling(domain, epoch, 0);
                self.compete().await;
            }
        }
    }
}

impl Message<StaleSeen> for LeaseController {
    type Reply = ();

    async fn handle(&mut self, message: StaleSeen, _context: &mut Context<Self, ()>) {
        if self.epoch() == Some(message.epoch) && message.seen > message.epoch {
            self.release(&format!("a worker has seen epoch {}", message.seen)).await;
        }
    }
}

impl Message<Unsettled> for LeaseController {
    type Reply = ();

    async fn handle(&mut self, message: Unsettled, _context: &mut Context<Self, ()>) {
        let LeaseState::Active { held, leadership, .. } = &self.state else {
            return;
        };
        let (held, epoch) = (*held, leadership.epoch);
        if epoch == message.epoch {
            let domain = &self.settings.domain;
            log::info!("workers of {domain} that missed the rebuild answer; it is repeated");
            self.rebuild(held, epoch, self.is_trusted());
        }
    }
}

impl Message<Rebuilt> for LeaseController {
    type Reply = ();

    async fn handle(&mut self, message: Rebuilt, _context: &mut Context<Self, ()>) {
        let LeaseState::Rebuilding { held, epoch, .. } = &self.state else {
            return;
        };
        if *epoch != message.epoch {
            return;
        }
        let held = *held;
        match message.outcome {
            Ok(leadership) => {
                self.enter(&leadership);
                let renewed = Instant::now();
                self.state = LeaseState::Active { held, renewed, leadership: Box::new(leadership) };
            }
            Err(seen) => self.release(&format!("a worker has seen epoch {seen}")).await,
        }
    }
}

impl Message<Retire> for LeaseController {
    type Reply = ();

    async fn handle(&mut self, _message: Retire, _context: &mut Context<Self, ()>) {
        self.retired = true;
        self.release("the process shuts down").await;
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

    /// Takes the lease if it is free.
    async fn compete(&mut self) {
        let context = self.settings.context.clone();
        let domain = self.settings.domain.clone();
        let now = Instant::now();
        let read = tokio::time::timeout(RENEW_LIMIT, lease::holder(&*context.store, &domain)).await;
        match read {
            Ok(Ok(holder)) => {
                context.membership.record_store_call(now, true);
                self.contact_since.get_or_insert(now);
                if holder.is_some() {
                    self.free_since = None;
                    if !matches!(self.state, LeaseState::Idle) {
                        self.step_down("another process holds the lease");
                    }
                    return;
                }
                let first = self.free_since.is_none();
                let free_since = *self.free_since.get_or_insert(now);
                if self.own || now.saturating_duration_since(free_since) >= FOREIGN_WAIT {
                    self.acquire().await;
                } else if first {
                    // The next tick may come up to a period later than the wait ends.
                    let (me, timer) = (self.me.clone(), context.timer.clone());
                    tokio::spawn(async move {
                        timer.wait(FOREIGN_WAIT).await;
                        let _ = me.tell(LeaseTick).try_send();
                    });
                }
            }
            Ok(Err(StoreError::Malformed(cause))) => {
                log::error!("the scheduler lease is malformed ({cause}); delete its key");
            }
            Ok(Err(_)) | Err(_) => {
                context.membership.record_store_call(now, false);
                (self.free_since, self.contact_since) = (None, None);
                self.consider_renewing();
                self.check_reach().await;
            }
        }
    }

    async fn acquire(&mut self) {
        let context = self.settings.context.clone();
        let domain = self.settings.domain.clone();
        let settings = context.membership.settings();
        let (instance, address) = (settings.instance.clone(), settings.address.clone());
        let (holder, issuer) = (LeaseHolder { instance, address }, self.settings.issuer.clone());
        let call = lease::acquire(&*context.store, &issuer, &domain, &holder);
        let held = match tokio::time::timeout(lease::ACQUIRE_LIMIT, call).await {
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
                log::info!("the scheduler lease of {domain} was not acquired in time");
                return;
            }
        };
        log::info!("this process is the active scheduler of {domain}, epoch {}", held.epoch);
        self.rebuild(Some(held), held.epoch, self.is_trusted());
    }

    /// Returns whether no gang can have been started without its record saying so.
    fn is_trusted(&self) -> bool {
        self.contact_since.is_some_and(|since| since.elapsed() >= TRUST_AFTER)
    }

    /// Starts a leadership; a former one ends first.
    fn rebuild(&mut self, held: Option<HeldLease>, epoch: Epoch, trust_queued: bool) {
        self.leave();
        let (stale_receiver, unsettled_receiver) = (self.me.clone(), self.me.clone());
        let settings = LeadershipSettings {
            context: self.settings.context.clone(),
            domain: self.settings.domain.clone(),
            epoch,
            renew_only: held.is_none(),
            trust_queued,
            stale: Arc::new(move |seen| {
                let _ = stale_receiver.tell(StaleSeen { epoch, seen }).try_send();
            }),
            unsettled: Arc::new(move || {
                let _ = unsettled_receiver.tell(Unsettled { epoch }).try_send();
            }),
        };
        let me = self.me.clone();
        let span = tracing::info_span!("rebuild", domain = %self.settings.domain, epoch);
        let rebuild = async move {
            let outcome = Leadership::begin(settings).await;
            let _ = me.tell(Rebuilt { epoch, outcome }).try_send();
        };
        let task = tokio::spawn(rebuild.instrument(span));
        self.state = LeaseState::Rebuilding { held, epoch, task: task.abort_handle() };
    }

    async fn renew(&mut self, held: HeldLease) {
        let context = self.settings.context.clone();
        let sent = Instant::now();
        let call = context.store.renew_lease(held.lease);
        match tokio::time::timeout(RENEW_LIMIT, call).await {
            Ok(Ok(())) => {
                context.membership.record_store_call(sent, true);
                self.contact_since.get_or_insert(sent);
                if let LeaseState::Active { renewed, .. } = &mut self.state {
                    *renewed = sent;
                }
                self.consider_return().await;
            }
            Ok(Err(StoreError::LeaseLapsed)) => {
                context.membership.record_store_call(sent, true);
                self.step_down("the lease has lapsed");
                self.compete().await;
            }
            Ok(Err(_)) | Err(_) => {
                context.membership.record_store_call(sent, false);
                self.contact_since = None;
                self.check_reach().await;
            }
        }
    }

    /// Gives up without the store once most workers are out of reach too.
    ///
    /// A successor starts possibly running jobs again only after it has fenced more than half of the
    /// workers. A holder that reaches at least half of them meets one that is fenced.
    async fn check_reach(&mut self) {
        let LeaseState::Active { renewed, leadership, .. } = &self.state else {
            return;
        };
        if renewed.elapsed() < LEASE_TTL {
            return;
        }
        if let Ok((reached, all)) = leadership.gangs.ask(CountReached).await
            && reached * 2 < all
        {
            self.step_down("neither the store nor half of the workers can be reached");
        }
    }

    /// Gives the lease back to the domain's own processes once there are some.
    async fn consider_return(&mut self) {
        if self.own {
            return;
        }
        let domain = &self.settings.domain;
        let peers = self.settings.context.membership.peers();
        let local = takeover::live_schedulers(&peers, domain).next().is_some();
        if !local {
            self.local_since = None;
            return;
        }
        let since = *self.local_since.get_or_insert_with(Instant::now);
        let tried = self.returned.is_some_and(|at| at.elapsed() < RETURN_AGAIN);
        if since.elapsed() >= RETURN_AFTER && !tried {
            self.local_since = None;
            self.returned = Some(Instant::now());
            self.release("the domain has scheduler processes of its own").await;
        }
    }

    /// Ends the leadership and frees the lease, so that the successor need not wait.
    async fn release(&mut self, reason: &str) {
        let held = match &self.state {
            LeaseState::Idle => return,
            LeaseState::Rebuilding { held, .. } | LeaseState::Active { held, .. } => *held,
        };
        self.step_down(reason);
        if let Some(held) = held {
            let call = self.settings.context.store.revoke_lease(held.lease);
            let _ = tokio::time::timeout(RENEW_LIMIT, call).await;
        }
    }

    fn step_down(&mut self, reason: &str) {
        let domain = &self.settings.domain;
        if let Some(epoch) = self.epoch() {
            log::info!("this process gives up {domain}, epoch {epoch}: {reason}");
        }
        self.leave();
    }

    fn enter(&mut self, leadership: &Leadership) {
        let domain = self.settings.domain.clone();
        let context = &self.settings.context;
        context.membership.set_scheduling(&domain, leadership.epoch, 0);
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

    fn leave(&mut self) {
        match std::mem::replace(&mut self.state, LeaseState::Idle) {
            LeaseState::Idle => return,
            LeaseState::Rebuilding { task, .. } => task.abort(),
            LeaseState::Active { leadership, .. } => leadership.revoke(),
        }
        let domain = &self.settings.domain;
        self.settings.context.membership.clear_scheduling(domain);
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
