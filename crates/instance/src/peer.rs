//! Answers calls that other instances hand on.

use async_trait::async_trait;
use lacewingrail_model::message::{PeerFrame, PeerRequest, PeerResponse};
use lacewingrail_wire::PeerHandler;

use crate::front::JobFront;

/// Answers peers with the front of this process.
pub struct FrontHandler {
    front: JobFront,
    system: String,
}

impl FrontHandler {
    /// Creates the handler of a system.
    pub fn new(front: JobFront, system: &str) -> Self {
        Self { front, system: system.to_owned() }
    }
}

#[async_trait]
impl PeerHandler for FrontHandler {
    async fn handle(&self, frame: PeerFrame) -> PeerResponse {
        if frame.system != self.system {
            let reason = format!("this process belongs to the system {}", self.system);
            return PeerResponse::Refused { reason };
        }
        match frame.request {
            PeerRequest::Fleet(call) => PeerResponse::Fleet(self.front.answer_peer(call).await),
            _ => PeerResponse::Refused { reason: "this process schedules a region only".into() },
        }
    }
}
