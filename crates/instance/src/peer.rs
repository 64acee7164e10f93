//! Server of the calls that other instances forward.

use async_trait::async_trait;
use lacewingrail_model::message::{PeerFrame, PeerRequest, PeerResponse};
use lacewingrail_wire::PeerHandler;

use crate::client_api::ClientApi;

/// Serves forwarded client calls; refuses any other request.
pub struct InstancePeerHandler {
    api: ClientApi,
    system: String,
}

impl InstancePeerHandler {
    /// Creates a handler that accepts calls of peers of the same system.
    pub fn new(api: ClientApi, system: &str) -> Self {
        Self { api, system: system.to_owned() }
    }
}

#[async_trait]
impl PeerHandler for InstancePeerHandler {
    async fn handle(&self, frame: PeerFrame) -> PeerResponse {
        if frame.system != self.system {
            let reason = format!("this process belongs to the system {}", self.system);
            return PeerResponse::Refused { reason };
        }
        match frame.request {
            PeerRequest::Fleet(call) => PeerResponse::Fleet(self.api.handle_peer_call(call).await),
            _ => PeerResponse::Refused { reason: "this process schedules a region only".into() },
        }
    }
}
