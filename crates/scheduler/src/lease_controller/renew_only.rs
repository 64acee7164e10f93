//! Renew-only mode for gangs whose scheduler failed during a store outage.

use std::time::{Duration, Instant};

use lacewingrail_membership::peers::PeerStatus;
use lacewingrail_model::Epoch;
use lacewingrail_model::instance::InstanceRole;

use super::{LeaseController, LeaseState};

/// Time without a heartbeat of the holder after which the first process of the domain takes over
/// the renewals; every further process waits longer. A gang survives for 10 s after its last
/// renewal.
const HOLDER_TIMEOUT: Duration = Duration::from_secs(4);
/// Additional delay for each process of the domain with a lower id.
const RANK_DELAY: Duration = Duration::from_secs(1);
/// Maximum rank, so that the leases of the gangs do not expire during the delay.
const MAX_RANK: u32 = 2;
/// Maximum age in seconds of the last heartbeat of a live peer.
const MAX_HEARTBEAT_AGE_S: f64 = 5.0;

/// Tracks the heartbeats of the domain's active scheduler.
#[derive(Debug, Default)]
pub(super) struct HolderMonitor {
    /// Epoch and update number of the newest heartbeat.
    last_heartbeat: Option<(Epoch, u64)>,
    unchanged_since: Option<Instant>,
}

impl HolderMonitor {
    /// Records the newest heartbeat and returns the time since it changed.
    fn record(&mut self, heartbeat: (Epoch, u64), now: Instant) -> Duration {
        if self.last_heartbeat != Some(heartbeat) {
            self.last_heartbeat = Some(heartbeat);
            self.unchanged_since = Some(now);
        }
        self.unchanged_since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }
}

impl LeaseController {
    /// Takes over the renewals from a silent holder while the store is unreachable.
    pub(super) fn consider_renew_only(&mut self) {
        if !self.is_local || !matches!(self.state, LeaseState::Idle) {
            return;
        }
        let membership = &self.settings.context.membership;
        let Some(holder) = membership.scheduler_of(&self.settings.domain) else {
            return;
        };
        let silent_for = self.holder_monitor.record((holder.epoch, holder.update), Instant::now());
        let own_instance = &membership.settings().instance;
        let peers = membership.peers();
        let preceding = live_schedulers(&peers, &self.settings.domain)
            .filter(|peer| peer.address != holder.address && peer.instance < *own_instance)
            .count();
        let rank = u32::try_from(preceding).unwrap_or(MAX_RANK).min(MAX_RANK);
        if silent_for >= HOLDER_TIMEOUT + RANK_DELAY * rank {
            let domain = &self.settings.domain;
            log::warn!(
                "neither the store nor the scheduler of {domain} answers; this process renews the \
                 gangs under epoch {} and starts nothing",
                holder.epoch
            );
            self.rebuild(None, holder.epoch, false);
        }
    }
}

/// Returns the live scheduler processes of a domain that are not shutting down.
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
