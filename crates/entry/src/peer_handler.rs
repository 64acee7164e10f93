//! Handles calls from other processes: membership calls, and claim changes for the shards that this
//! process writes.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use lacewingrail_model::message::{PeerFrame, PeerRequest, PeerResponse};
use lacewingrail_wire::PeerHandler;
use tokio::time::Instant;

use crate::claims::ledger::ClaimLedger;

/// Handles claim changes and passes all other calls to the membership.
pub struct EntryPeerHandler {
    membership: Arc<dyn PeerHandler>,
    ledger: Arc<ClaimLedger>,
}

impl EntryPeerHandler {
    /// Creates a handler; `membership` handles all calls other than claim changes.
    pub fn new(membership: Arc<dyn PeerHandler>, ledger: Arc<ClaimLedger>) -> Self {
        Self { membership, ledger }
    }
}

#[async_trait]
impl PeerHandler for EntryPeerHandler {
    async fn handle(&self, frame: PeerFrame) -> PeerResponse {
        let PeerRequest::ClaimForward { service, shard, key, change, limit_ms } = frame.request
        else {
            return self.membership.handle(frame).await;
        };
        let refuse = |reason: String| PeerResponse::Refused { reason };
        let change = match serde_json::from_str(&change) {
            Ok(change) => change,
            Err(error) => return refuse(format!("the change is malformed: {error}")),
        };
        let deadline = Instant::now() + Duration::from_millis(limit_ms);
        let service: Arc<str> = service.into();
        match self.ledger.apply(&service, shard, &key, change, deadline).await {
            Ok(reply) => match serde_json::to_string(&reply) {
                Ok(reply) => PeerResponse::Claim { reply },
                Err(error) => refuse(error.to_string()),
            },
            Err(error) => refuse(error.to_string()),
        }
    }
}
