//! Handles requests of peers.

use std::sync::Arc;
use std::time::Instant;

use async_trait::async_trait;
use lacewingrail_model::message::{PeerFrame, PeerRequest, PeerResponse};
use lacewingrail_telemetry::spans;
use lacewingrail_wire::PeerHandler;
use tracing::Instrument;

use crate::config::ApplyOutcome;
use crate::{MembershipState, config_controller};

/// Handles heartbeats and configuration requests, and passes scheduler requests to the hook.
pub struct MembershipHandler {
    state: Arc<MembershipState>,
}

impl MembershipHandler {
    pub(crate) fn new(state: Arc<MembershipState>) -> Self {
        Self { state }
    }

    async fn handle_request(&self, request: PeerRequest) -> PeerResponse {
        match request {
            PeerRequest::Heartbeat(heartbeat) => {
                // The age of the sender's report on the store is unknown here, so outage detection
                // does not use it. It uses only reports in replies to heartbeats of this process.
                let without_report =
                    lacewingrail_model::message::Heartbeat { store_reached: None, ..heartbeat };
                self.state.record_heartbeat(&without_report, Instant::now());
                PeerResponse::Heartbeat(self.state.heartbeat())
            }
            PeerRequest::ConfigPush(payload) => match self.state.config.apply(payload) {
                ApplyOutcome::Refused(reason) => PeerResponse::Refused { reason },
                ApplyOutcome::Accepted | ApplyOutcome::NotNewer => PeerResponse::Done,
            },
            PeerRequest::ConfigPull { have } => {
                let newer = self.state.config.payload().filter(|payload| payload.version > have);
                PeerResponse::Config(newer)
            }
            PeerRequest::DomainVeto { domain, version } => {
                self.state.record_veto(&domain, version);
                let active = match self.state.hook.get() {
                    Some(hook) => hook.veto(&domain, version).await,
                    None => false,
                };
                PeerResponse::VetoConfirmed { active }
            }
            PeerRequest::AdminForward { domain, request } => match self.state.hook.get() {
                Some(hook) => {
                    let (status, body) = hook.handle_admin_request(&domain, &request).await;
                    PeerResponse::Admin { status, body }
                }
                None => PeerResponse::Refused {
                    reason: "this process schedules no domain; ask a scheduler process".to_owned(),
                },
            },
            PeerRequest::ClaimForward { .. } => PeerResponse::Refused {
                reason: "this process writes no claims; ask an entry process".to_owned(),
            },
            PeerRequest::Fleet(_) => PeerResponse::Refused {
                reason: "this process schedules no region; ask an instance process".to_owned(),
            },
        }
    }
}

#[async_trait]
impl PeerHandler for MembershipHandler {
    async fn handle(&self, frame: PeerFrame) -> PeerResponse {
        if frame.system != self.state.settings.system {
            // A reused address may belong to a process of another system, whose settings tree must
            // never take effect here.
            log::warn!(
                "rejected a request of the system {:?}; check the setting `peers`",
                frame.system
            );
            let reason =
                format!("this process belongs to the system {}", self.state.settings.system);
            return PeerResponse::Refused { reason };
        }
        let newer_peer = match &frame.request {
            PeerRequest::Heartbeat(heartbeat)
                if heartbeat.config_version > self.state.config.version() =>
            {
                Some(heartbeat.address.clone())
            }
            _ => None,
        };
        let span = tracing::debug_span!("peer_request");
        spans::set_parent(&span, &frame.traceparent);
        let response = self.handle_request(frame.request).instrument(span).await;
        if let Some(address) = newer_peer {
            let state = self.state.clone();
            tokio::spawn(async move { config_controller::pull(&state, &address).await });
        }
        response
    }
}
