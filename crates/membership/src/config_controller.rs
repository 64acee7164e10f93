//! Brings the settings tree into the process and hands it on.
//!
//! The two scheduler processes of a failure domain with the lowest ids hold a watch each and push a
//! new tree to all processes of the domain. All others learn it from the push, from the digest in a
//! heartbeat, or from a slow conditional read, in this order.

use std::sync::Arc;
use std::time::{Duration, Instant};

use kameo::Actor;
use kameo::actor::Spawn;
use kameo::message::{Context, Message};
use lacewingrail_model::instance::InstanceRole;
use lacewingrail_model::keys::CONFIG_TREE;
use lacewingrail_model::message::{ConfigPayload, PeerRequest, PeerResponse};
use lacewingrail_model::store::{Revision, StoreError, WatchBatch};
use tokio::task::JoinSet;

use crate::config::OfferOutcome;
use crate::{MembershipState, PEER_CALL_LIMIT, lock};

/// Watches that each failure domain keeps.
const WATCHERS_PER_DOMAIN: usize = 2;
/// Time that one watch call waits.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Time after which a watch call that did not return counts as silent.
const WATCH_LIMIT: Duration = Duration::from_secs(12);
/// Average time between conditional reads of a process without a watch.
const POLL_PERIOD: Duration = Duration::from_secs(10);
/// Time between attempts while the process has no configuration.
const SETTLE_PERIOD: Duration = Duration::from_millis(250);
/// Longest time that a read of the tree may take.
const READ_LIMIT: Duration = Duration::from_secs(2);
/// Pause after a failed watch, so that an outage is not answered with a flood of calls.
const WATCH_RETRY: Duration = Duration::from_millis(500);
/// Peers pushed to at a time.
const PUSH_WIDTH: usize = 16;

/// Reads the settings tree from the store and from peers.
#[derive(Actor)]
struct ConfigController {
    state: Arc<MembershipState>,
    revision: Revision,
}

struct PollTick;

struct SettleTick;

/// Starts the controller and the watch.
pub(crate) fn start(state: Arc<MembershipState>) {
    tokio::spawn(watch(state.clone()));
    let timer = state.timer.clone();
    let controller =
        ConfigController::spawn(ConfigController { state: state.clone(), revision: 0 });
    tokio::spawn(async move {
        let mut settles = timer.subscribe(SETTLE_PERIOD);
        while !state.is_settled() {
            settles.tick().await;
            if controller.ask(SettleTick).await.is_err() {
                return;
            }
        }
        drop(settles);
        let mut polls = timer.subscribe_jittered(POLL_PERIOD);
        loop {
            polls.tick().await;
            if controller.tell(PollTick).await.is_err() {
                return;
            }
        }
    });
}

impl Message<PollTick> for ConfigController {
    type Reply = ();

    async fn handle(&mut self, _tick: PollTick, _context: &mut Context<Self, ()>) {
        let sent = Instant::now();
        let read = self.state.store.watch(CONFIG_TREE, self.revision, Duration::ZERO);
        let Ok(Ok(batch)) = tokio::time::timeout(READ_LIMIT, read).await else {
            self.state.contact.note(sent, false);
            return;
        };
        self.state.contact.note(sent, true);
        self.revision = batch.revision;
        if let Some(text) = newest_text(batch) {
            take(&self.state, text);
        }
    }
}

impl Message<SettleTick> for ConfigController {
    type Reply = ();

    async fn handle(&mut self, _tick: SettleTick, _context: &mut Context<Self, ()>) {
        if let Some(revision) = read_store(&self.state).await {
            self.revision = revision;
            if self.state.config.version() > 0 {
                self.state.settle();
            }
            return;
        }
        // Without the store the newest tree among the reachable peers of the domain is the best
        // that can be known.
        let peers = lock(&self.state.peers).pick(&self.state.settings.domain, None, usize::MAX);
        let mut pulls = JoinSet::new();
        for address in peers {
            let state = self.state.clone();
            pulls.spawn(async move { pull(&state, &address).await });
        }
        pulls.join_all().await;
        if self.state.config.version() > 0 {
            self.state.settle();
        }
    }
}

/// Takes a tree that this process wrote or read, and pushes it to its failure domain.
pub(crate) async fn publish(state: &Arc<MembershipState>, payload: ConfigPayload) {
    if offer(state, payload.clone()) {
        push(state, payload).await;
    }
}

/// Asks a peer for a newer tree.
pub(crate) async fn pull(state: &Arc<MembershipState>, address: &str) {
    let request = PeerRequest::ConfigPull { have: state.config.version() };
    let response = state.client.call(address, String::new(), request, READ_LIMIT).await;
    if let Ok(PeerResponse::Config(Some(payload))) = response {
        offer(state, payload);
    }
}

async fn watch(state: Arc<MembershipState>) {
    if state.settings.role != InstanceRole::Scheduler {
        return;
    }
    let mut revision = 0;
    loop {
        if !is_watcher(&state) || !state.is_settled() {
            state.timer.wait(WATCH_RETRY).await;
            continue;
        }
        let call = state.store.watch(CONFIG_TREE, revision, WATCH_WAIT);
        match tokio::time::timeout(WATCH_LIMIT, call).await {
            Ok(Ok(batch)) => {
                revision = batch.revision;
                if let Some(text) = newest_text(batch)
                    && let Some(payload) = take(&state, text)
                {
                    push(&state, payload).await;
                }
            }
            Ok(Err(error)) => {
                log::debug!("the watch of the settings tree failed: {error}");
                state.timer.wait(WATCH_RETRY).await;
            }
            Err(_) => log::warn!("the watch of the settings tree went silent; it is renewed"),
        }
    }
}

/// Returns the newest stored tree among the changes of a watch.
fn newest_text(batch: WatchBatch) -> Option<String> {
    let events = batch.events.into_iter().filter(|event| event.key == CONFIG_TREE);
    events.filter_map(|event| event.value).next_back()
}

/// Returns whether the process is one of its domain's watchers.
fn is_watcher(state: &MembershipState) -> bool {
    let own = &state.settings.instance;
    let mut live = lock(&state.peers).live_schedulers(&state.settings.domain, Instant::now());
    live.sort();
    live.iter().filter(|instance| *instance < own).count() < WATCHERS_PER_DOMAIN
}

async fn read_store(state: &Arc<MembershipState>) -> Option<Revision> {
    let sent = Instant::now();
    let read = tokio::time::timeout(READ_LIMIT, state.store.get(CONFIG_TREE)).await;
    let entry = match read.unwrap_or(Err(StoreError::Unavailable("timeout".to_owned()))) {
        Ok(entry) => entry,
        Err(error) => {
            state.contact.note(sent, false);
            log::debug!("cannot read the settings tree: {error}");
            return None;
        }
    };
    state.contact.note(sent, true);
    let Some(entry) = entry else {
        log::info!("there is no settings tree yet; write one with `lacewingrail config init`");
        return Some(0);
    };
    take(state, entry.value);
    Some(entry.revision)
}

/// Offers a stored tree and returns it if it is newer than the one in force.
fn take(state: &Arc<MembershipState>, text: String) -> Option<ConfigPayload> {
    #[derive(serde::Deserialize)]
    struct StoredVersion {
        version: u64,
    }
    let version = match serde_json::from_str::<StoredVersion>(&text) {
        Ok(stored) => stored.version,
        Err(error) => {
            log::error!("the stored settings tree is malformed ({error}); write it again");
            return None;
        }
    };
    let payload = ConfigPayload { version, text };
    offer(state, payload.clone()).then_some(payload)
}

fn offer(state: &Arc<MembershipState>, payload: ConfigPayload) -> bool {
    let version = payload.version;
    match state.config.offer(payload) {
        OfferOutcome::Taken => true,
        OfferOutcome::Known => false,
        OfferOutcome::Refused(cause) => {
            log::error!("settings version {version} is refused: {cause}; the former stays");
            false
        }
    }
}

/// Pushes a tree to all processes of the own domain.
async fn push(state: &Arc<MembershipState>, payload: ConfigPayload) {
    let targets = lock(&state.peers).reachable(&state.settings.domain, Instant::now());
    let mut calls = JoinSet::new();
    for address in targets {
        if calls.len() >= PUSH_WIDTH {
            calls.join_next().await;
        }
        let (client, request) = (state.client.clone(), PeerRequest::ConfigPush(payload.clone()));
        calls.spawn(async move {
            let _ = client.call(&address, String::new(), request, PEER_CALL_LIMIT).await;
        });
    }
    calls.join_all().await;
}
