//! Renewal of gangs whose scheduler died while the store is out.

use std::time::{Duration, Instant};

use lacewingrail_membership::peers::PeerStatus;
use lacewingrail_model::Epoch;
use lacewingrail_model::instance::InstanceRole;

use super::{LeaseController, LeaseState};

/// Time without a sign of the holder after which the first process of the domain steps in; each
/// further one waits longer. A gang lives 10 s after its last renewal.
const HOLDER_TIMEOUT: Duration = Duration::from_secs(4);
/// Further wait of each process that precedes this one by its id.
const RANK_DELAY: Duration = Duration::from_secs(1);
/// Most processes waited for; further ones would come too late.
const MAX_RANK: u32 = 2;
/// Age of a heartbeat up to which a peer counts as alive.
const MAX_HEARTBEAT_AGE_S: f64 = 5.0;

/// Notices that the active scheduler of the domain gives no more sign.
#[derive(Debug, Default)]
pub(super) struct HolderMonitor {
    seen: Option<(Epoch, u64)>,
    since: Option<Instant>,
}

impl HolderMonitor {
    /// Records the newest sign and returns for how long there was none.
    fn record(&mut self, heartbeat: (Epoch, u64), now: Instant) -> Duration {
        if self.seen != Some(heartbeat) {
            self.seen = Some(heartbeat);
            self.since = Some(now);
        }
        self.since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }
}

impl LeaseController {
    /// Steps in for a silent holder without the store.
    pub(super) fn consider_renew_only(&mut self) {
        if !self.is_local || !matches!(self.state, LeaseState::Idle) {
            return;
        }
        let membership = &self.settings.context.membership;
        let Some(seen) = membership.scheduler_of(&self.settings.domain) else {
            return;
        };
        let silent = self.holder_monitor.record((seen.epoch, seen.update), Instant::now());
        let own = &membership.settings().instance;
        let peers = membership.peers();
        let before = live_schedulers(&peers, &self.settings.domain)
            .filter(|peer| peer.address != seen.address && peer.instance < *own)
            .count();
        let rank = u32::try_from(before).unwrap_or(MAX_RANK).min(MAX_RANK);
        if silent >= HOLDER_TIMEOUT + RANK_DELAY * rank {
            let domain = &self.settings.domain;
            log::warn!(
                "neither the store nor the scheduler of {domain} answers; this process renews its \
                 gangs under epoch {} and starts nothing",
                seen.epoch
            );
            self.rebuild(None, seen.epoch, false);
        }
    }
}

/// Returns the scheduler processes of a domain that were heard lately and are not leaving.
pub(super) fn live_schedulers<'a>(
    peers: &'a [PeerStatus],
    domain: &'a str,
) -> impl Iterator<Item = &'a PeerStatus> {
    peers.iter().filter(move |peer| {
        peer.domain == domain
            && peer.role == Some(InstanceRole::Scheduler)
            && !peer.leaving
            && peer.silent_s.is_some_and(|silent| silent < MAX_HEARTBEAT_AGE_S)
    })
}
