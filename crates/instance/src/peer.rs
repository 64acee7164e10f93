//! Answers calls that other instances hand on.

use async_trait::async_trait;
use lacewingrail_model::message::{PeerFrame, PeerRequest, PeerResponse};
use lacewingrail_wire::PeerHandler;

use crate::client_api::ClientApi;

/// Answers peers with the front of this process.
pub struct FleetHandler {
    api: ClientApi,
    system: String,
}

impl FleetHandler {
    /// Creates the handler of a system.
    pub fn new(api: ClientApi, system: &str) -> Self {
        Self { api, system: system.to_owned() }
    }
}

#[async_trait]
impl PeerHandler for FleetHandler {
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
