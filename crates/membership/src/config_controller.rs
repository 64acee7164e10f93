//! Receives new versions of the settings tree and distributes them to peers.
//!
//! In each failure domain the two scheduler processes with the lowest ids each keep a watch on the
//! store and push a new tree to all processes of the domain. The other processes receive the push; if
//! it is lost, they notice the higher version in a heartbeat or, at the latest, in an infrequent
//! conditional read of the store.

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

use crate::config::ApplyOutcome;
use crate::{MembershipState, PEER_CALL_TIMEOUT, lock};

/// Number of scheduler processes per failure domain that watch the store.
const WATCHERS_PER_DOMAIN: usize = 2;
/// Time after which the store answers a watch call even if nothing has changed.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which a watch call without an answer is abandoned; above [`LONG_POLL_TIMEOUT`].
const WATCH_CALL_TIMEOUT: Duration = Duration::from_secs(12);
/// Interval between conditional reads of the store, which every process makes.
const POLL_INTERVAL: Duration = Duration::from_secs(10);
/// Interval between attempts to get the first settings tree after a start.
const INITIAL_READ_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of one read of the tree, from the store or from a peer.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before a failed watch is retried, so that an outage does not cause a flood of calls.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of peers that a new tree is pushed to at the same time.
const MAX_CONCURRENT_PUSHES: usize = 16;

/// Reads the settings tree from the store, and from peers while the store is unreachable.
#[derive(Actor)]
struct ConfigController {
    state: Arc<MembershipState>,
    /// Store revision up to which changes of the tree have been read; 0 before the first read.
    revision: Revision,
}

struct PollTick;

struct InitialReadTick;

/// Spawns the controller, its timers and the watch of the store.
pub(crate) fn start(state: Arc<MembershipState>) {
    tokio::spawn(watch(state.clone()));
    let timer = state.timer.clone();
    let controller =
        ConfigController::spawn(ConfigController { state: state.clone(), revision: 0 });
    tokio::spawn(async move {
        let mut initial_reads = timer.subscribe(INITIAL_READ_INTERVAL);
        while !state.is_synced() {
            initial_reads.tick().await;
            if controller.ask(InitialReadTick).await.is_err() {
                return;
            }
        }
        drop(initial_reads);
        let mut polls = timer.subscribe_jittered(POLL_INTERVAL);
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
        let Ok(Ok(batch)) = tokio::time::timeout(READ_TIMEOUT, read).await else {
            self.state.reachability.record(sent, false);
            return;
        };
        self.state.reachability.record(sent, true);
        self.revision = batch.revision;
        if let Some(text) = newest_text(batch) {
            accept_stored(&self.state, text);
        }
    }
}

impl Message<InitialReadTick> for ConfigController {
    type Reply = ();

    async fn handle(&mut self, _tick: InitialReadTick, _context: &mut Context<Self, ()>) {
        if let Some(revision) = read_store(&self.state).await {
            self.revision = revision;
            if self.state.config.version() > 0 {
                self.state.mark_synced();
            }
            return;
        }
        // The store is unreachable, so fall back to the newest tree that any peer of the domain has.
        let peers = lock(&self.state.peers).sample(&self.state.settings.domain, None, usize::MAX);
        let mut pulls = JoinSet::new();
        for address in peers {
            let state = self.state.clone();
            pulls.spawn(async move { pull(&state, &address).await });
        }
        pulls.join_all().await;
        if self.state.config.version() > 0 {
            self.state.mark_synced();
        }
    }
}

/// Puts a tree in force if it is newer, and then pushes it to the processes of the failure domain.
pub(crate) async fn publish(state: &Arc<MembershipState>, payload: ConfigPayload) {
    if apply(state, payload.clone()) {
        push(state, payload).await;
    }
}

/// Requests the settings tree of a peer and puts it in force if it is newer.
pub(crate) async fn pull(state: &Arc<MembershipState>, address: &str) {
    let request = PeerRequest::ConfigPull { have: state.config.version() };
    let response = state.client.call(address, String::new(), request, READ_TIMEOUT).await;
    if let Ok(PeerResponse::Config(Some(payload))) = response {
        apply(state, payload);
    }
}

/// Watches the tree in the store and pushes each change while this process is a watcher.
async fn watch(state: Arc<MembershipState>) {
    if state.settings.role != InstanceRole::Scheduler {
        return;
    }
    let mut revision = 0;
    loop {
        if !is_watcher(&state) || !state.is_synced() {
            state.timer.wait(WATCH_RETRY_DELAY).await;
            continue;
        }
        let call = state.store.watch(CONFIG_TREE, revision, LONG_POLL_TIMEOUT);
        match tokio::time::timeout(WATCH_CALL_TIMEOUT, call).await {
            Ok(Ok(batch)) => {
                revision = batch.revision;
                if let Some(text) = newest_text(batch)
                    && let Some(payload) = accept_stored(&state, text)
                {
                    push(&state, payload).await;
                }
            }
            Ok(Err(error)) => {
                log::debug!("the watch of the settings tree failed: {error}");
                state.timer.wait(WATCH_RETRY_DELAY).await;
            }
            Err(_) => log::warn!("the watch of the settings tree timed out; starting a new one"),
        }
    }
}

/// Returns the text of the last change of the settings tree in a watch batch.
fn newest_text(batch: WatchBatch) -> Option<String> {
    let events = batch.events.into_iter().filter(|event| event.key == CONFIG_TREE);
    events.filter_map(|event| event.value).next_back()
}

/// Returns whether fewer than [`WATCHERS_PER_DOMAIN`] live schedulers of the domain have lower ids.
fn is_watcher(state: &MembershipState) -> bool {
    let own = &state.settings.instance;
    let mut live = lock(&state.peers).live_schedulers(&state.settings.domain, Instant::now());
    live.sort();
    live.iter().filter(|instance| *instance < own).count() < WATCHERS_PER_DOMAIN
}

/// Reads the tree from the store and returns its revision, 0 if there is none, or `None` on failure.
async fn read_store(state: &Arc<MembershipState>) -> Option<Revision> {
    let sent = Instant::now();
    let read = tokio::time::timeout(READ_TIMEOUT, state.store.get(CONFIG_TREE)).await;
    let entry = match read.unwrap_or(Err(StoreError::Unavailable("timeout".to_owned()))) {
        Ok(entry) => entry,
        Err(error) => {
            state.reachability.record(sent, false);
            log::debug!("cannot read the settings tree: {error}");
            return None;
        }
    };
    state.reachability.record(sent, true);
    let Some(entry) = entry else {
        log::info!("the store holds no settings tree; write one with `lacewingrail config init`");
        return Some(0);
    };
    accept_stored(state, entry.value);
    Some(entry.revision)
}

/// Puts a stored tree in force and returns it, or returns `None` if it is not newer or is malformed.
fn accept_stored(state: &Arc<MembershipState>, text: String) -> Option<ConfigPayload> {
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
    apply(state, payload.clone()).then_some(payload)
}

/// Puts a tree in force if it is newer and returns whether it did; logs a rejected tree.
fn apply(state: &Arc<MembershipState>, payload: ConfigPayload) -> bool {
    let version = payload.version;
    match state.config.apply(payload) {
        ApplyOutcome::Accepted => true,
        ApplyOutcome::NotNewer => false,
        ApplyOutcome::Refused(cause) => {
            log::error!(
                "settings version {version} is rejected: {cause}; the previous version stays in force"
            );
            false
        }
    }
}

/// Pushes a tree to all reachable processes of the failure domain; failed pushes are not retried.
async fn push(state: &Arc<MembershipState>, payload: ConfigPayload) {
    let addresses = lock(&state.peers).reachable(&state.settings.domain, Instant::now());
    let mut calls = JoinSet::new();
    for address in addresses {
        if calls.len() >= MAX_CONCURRENT_PUSHES {
            calls.join_next().await;
        }
        let (client, request) = (state.client.clone(), PeerRequest::ConfigPush(payload.clone()));
        calls.spawn(async move {
            let _ = client.call(&address, String::new(), request, PEER_CALL_TIMEOUT).await;
        });
    }
    calls.join_all().await;
}
