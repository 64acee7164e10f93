//! Sends heartbeats and keeps the peer table.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use kameo::Actor;
use kameo::actor::Spawn;
use kameo::message::{Context, Message};
use lacewingrail_model::instance::InstanceRole;
use lacewingrail_model::message::{PeerRequest, PeerResponse};
use tokio::task::JoinSet;

use crate::{MembershipState, PEER_CALL_LIMIT, config_controller, lock};

/// Time between heartbeats.
const HEARTBEAT_PERIOD: Duration = Duration::from_secs(1);
/// Time between readings of the instance list.
const LIST_PERIOD: Duration = Duration::from_secs(2);
/// Peers of the own failure domain called in each period.
const DOMAIN_PEERS: usize = 2;

/// Exchanges heartbeats with a few peers in each period.
#[derive(Actor)]
struct HeartbeatController {
    state: Arc<MembershipState>,
}

struct HeartbeatTick;

struct ListTick;

/// Starts the controller.
pub(crate) fn start(state: Arc<MembershipState>) {
    let timer = state.timer.clone();
    let controller = HeartbeatController::spawn(HeartbeatController { state });
    tokio::spawn(async move {
        let mut beats = timer.subscribe(HEARTBEAT_PERIOD);
        let mut lists = timer.subscribe(LIST_PERIOD);
        loop {
            let told = tokio::select! {
                _ = beats.tick() => controller.tell(HeartbeatTick).await.is_ok(),
                _ = lists.tick() => controller.tell(ListTick).await.is_ok(),
            };
            if !told {
                return;
            }
        }
    });
}

impl Message<HeartbeatTick> for HeartbeatController {
    type Reply = ();

    async fn handle(&mut self, _tick: HeartbeatTick, _context: &mut Context<Self, ()>) {
        let mut calls = JoinSet::new();
        for address in self.select() {
            calls.spawn(exchange(self.state.clone(), address));
        }
        calls.join_all().await;
    }
}

impl Message<ListTick> for HeartbeatController {
    type Reply = ();

    async fn handle(&mut self, _tick: ListTick, _context: &mut Context<Self, ()>) {
        let entries = match &self.state.list {
            Some(list) => tokio::time::timeout(PEER_CALL_LIMIT, list.read()).await,
            None => return,
        };
        let mut peers = lock(&self.state.peers);
        if let Ok(Ok(entries)) = entries {
            peers.take_list(&entries);
        }
        peers.prune(Instant::now());
    }
}

impl HeartbeatController {
    /// Selects the peers to call: a few of the own domain, and for an active scheduler one
    /// scheduler of every other domain, whose word on the store it may need.
    fn select(&self) -> BTreeSet<String> {
        let settings = &self.state.settings;
        let peers = lock(&self.state.peers);
        let mut selected: BTreeSet<String> =
            peers.pick(&settings.domain, None, DOMAIN_PEERS).into_iter().collect();
        let active = peers.schedulers().values().any(|seen| seen.address == settings.address);
        if active {
            let config = self.state.config.current();
            let region = config.domains.get(&settings.domain).map(|domain| &domain.region);
            let others = config.domains.iter().filter(|(name, domain)| {
                **name != settings.domain && Some(&domain.region) == region
            });
            for (domain, _) in others {
                let known = peers.schedulers().get(domain).map(|seen| seen.address.clone());
                // The active scheduler calls the store most often and so knows best; a second
                // process is asked too, since the active one may be gone.
                selected.extend(known);
                selected.extend(peers.pick(domain, Some(InstanceRole::Scheduler), 1));
            }
        }
        selected
    }
}

/// Exchanges heartbeats with one peer and fetches its settings tree if it is newer.
async fn exchange(state: Arc<MembershipState>, address: String) {
    let sent = Instant::now();
    let request = PeerRequest::Heartbeat(state.heartbeat());
    let response = state.client.call(&address, String::new(), request, PEER_CALL_LIMIT).await;
    let heartbeat = match response {
        Ok(PeerResponse::Heartbeat(heartbeat)) => heartbeat,
        Ok(_) => return,
        Err(error) => {
            log::debug!("no heartbeat from {address}: {error}");
            lock(&state.peers).note_failure(&address);
            return;
        }
    };
    state.learn(&heartbeat, sent);
    if heartbeat.config_version > state.config.version() {
        config_controller::pull(&state, &address).await;
    }
}
