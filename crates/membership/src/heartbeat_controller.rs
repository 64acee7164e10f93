//! Exchanges heartbeats with peers and keeps the peer table up to date.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use kameo::Actor;
use kameo::actor::Spawn;
use kameo::message::{Context, Message};
use lacewingrail_model::instance::InstanceRole;
use lacewingrail_model::message::{PeerRequest, PeerResponse};
use tokio::task::JoinSet;

use crate::{MembershipState, PEER_CALL_TIMEOUT, config_controller, lock};

/// Interval between rounds of heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between reads of the platform's instance list.
const LIST_READ_INTERVAL: Duration = Duration::from_secs(2);
/// Number of random peers of the failure domain called in each round.
const HEARTBEAT_FANOUT: usize = 2;

/// Sends a round of heartbeats and refreshes the instance list, each on its own timer.
#[derive(Actor)]
struct HeartbeatController {
    state: Arc<MembershipState>,
}

struct HeartbeatTick;

struct ListTick;

/// Spawns the controller and its timers.
pub(crate) fn start(state: Arc<MembershipState>) {
    let timer = state.timer.clone();
    let controller = HeartbeatController::spawn(HeartbeatController { state });
    tokio::spawn(async move {
        let mut heartbeats = timer.subscribe(HEARTBEAT_INTERVAL);
        let mut list_reads = timer.subscribe(LIST_READ_INTERVAL);
        loop {
            let delivered = tokio::select! {
                _ = heartbeats.tick() => controller.tell(HeartbeatTick).await.is_ok(),
                _ = list_reads.tick() => controller.tell(ListTick).await.is_ok(),
            };
            if !delivered {
                return;
            }
        }
    });
}

impl Message<HeartbeatTick> for HeartbeatController {
    type Reply = ();

    async fn handle(&mut self, _tick: HeartbeatTick, _context: &mut Context<Self, ()>) {
        let mut calls = JoinSet::new();
        for address in self.select_peers() {
            calls.spawn(exchange_heartbeats(self.state.clone(), address));
        }
        calls.join_all().await;
    }
}

impl Message<ListTick> for HeartbeatController {
    type Reply = ();

    async fn handle(&mut self, _tick: ListTick, _context: &mut Context<Self, ()>) {
        let entries = match &self.state.list {
            Some(list) => tokio::time::timeout(PEER_CALL_TIMEOUT, list.read()).await,
            None => return,
        };
        let mut peers = lock(&self.state.peers);
        if let Ok(Ok(entries)) = entries {
            peers.update_listed(&entries);
        }
        peers.prune(Instant::now());
    }
}

impl HeartbeatController {
    /// Selects the peers to call: a few of the same failure domain and, if this process is an active
    /// scheduler, up to two schedulers of every other domain of the region. An outage of the store
    /// is detected from their reports.
    fn select_peers(&self) -> BTreeSet<String> {
        let settings = &self.state.settings;
        let peers = lock(&self.state.peers);
        let mut selected: BTreeSet<String> =
            peers.sample(&settings.domain, None, HEARTBEAT_FANOUT).into_iter().collect();
        let active =
            peers.schedulers().values().any(|scheduler| scheduler.address == settings.address);
        if active {
            let config = self.state.config.current();
            let region = config.domains.get(&settings.domain).map(|domain| &domain.region);
            let others = config.domains.iter().filter(|(name, domain)| {
                **name != settings.domain && Some(&domain.region) == region
            });
            for (domain, _) in others {
                let known =
                    peers.schedulers().get(domain).map(|scheduler| scheduler.address.clone());
                // The active scheduler calls the store most often, so its report is the freshest.
                // Another scheduler process is called too, because the active one may be down.
                selected.extend(known);
                selected.extend(peers.sample(domain, Some(InstanceRole::Scheduler), 1));
            }
        }
        selected
    }
}

/// Exchanges heartbeats with one peer and requests its settings tree if it is newer.
async fn exchange_heartbeats(state: Arc<MembershipState>, address: String) {
    let sent = Instant::now();
    let request = PeerRequest::Heartbeat(state.heartbeat());
    let response = state.client.call(&address, String::new(), request, PEER_CALL_TIMEOUT).await;
    let heartbeat = match response {
        Ok(PeerResponse::Heartbeat(heartbeat)) => heartbeat,
        Ok(_) => return,
        Err(error) => {
            log::debug!("no heartbeat from {address}: {error}");
            lock(&state.peers).record_failure(&address);
            return;
        }
    };
    state.record_heartbeat(&heartbeat, sent);
    if heartbeat.config_version > state.config.version() {
        config_controller::pull(&state, &address).await;
    }
}
