//! Calls to the active scheduler on behalf of clients.
//!
//! Answers the load pattern in which the active scheduler dies, is suspended or is cut off while
//! clients go on calling. A call waits for it only a fraction of what urgent work can spare; then the
//! instance serves the call from the key-value service. While the scheduler is silent or can't serve
//! calls itself, further calls do without it, but for one now and then that finds out whether it is
//! back.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use lacewingrail_model::message::{FleetCall, FleetReply, PeerRequest, PeerResponse};
use lacewingrail_wire::{PeerClient, WireError};
use tokio::sync::watch;

use crate::clock;
use crate::leadership::LeadershipView;

/// Time for an answer of the active scheduler: over ten times that of an ordinary one, and a quarter
/// of the slack of the most urgent work.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which calls do without a scheduler that has not served one.
const FAULT_PAUSE: Duration = Duration::from_millis(500);

/// States what became of a call to the active scheduler.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaderAnswer {
    /// The scheduler answered.
    Answered(FleetReply),
    /// The call did not reach the scheduler, so nothing came of it.
    NotReached,
    /// No answer came: the scheduler may have acted.
    Lost,
}

/// Calls the active scheduler that was seen last.
#[derive(Clone)]
pub struct LeaderLink {
    leadership: watch::Receiver<LeadershipView>,
    own_address: String,
    peers: PeerClient,
    fault: Arc<Mutex<Option<LeaderFault>>>,
}

/// Notes that a scheduler did not answer, or not as one that serves calls.
#[derive(Clone, Debug)]
struct LeaderFault {
    address: String,
    /// Time of the newest call that it did not serve.
    noted: Duration,
}

impl LeaderLink {
    /// Creates a link of the instance with a peer address.
    pub fn new(
        leadership: watch::Receiver<LeadershipView>,
        own_address: String,
        peers: PeerClient,
    ) -> Self {
        Self { leadership, own_address, peers, fault: Arc::default() }
    }

    /// Returns whether a scheduler is known that served the newest call.
    pub fn is_usable(&self) -> bool {
        let address = self.leader_address();
        address.is_some_and(|address| self.fault_of(&address).is_none())
    }

    /// Hands a call to the active scheduler.
    pub async fn call(&self, call: FleetCall) -> LeaderAnswer {
        let Some(address) = self.leader_address() else {
            return LeaderAnswer::NotReached;
        };
        let fault = self.fault_of(&address);
        if fault.is_some_and(|fault| clock::now() < fault.noted + FAULT_PAUSE) {
            return LeaderAnswer::NotReached;
        }
        let request = PeerRequest::Fleet(call);
        let answer = self.peers.call(&address, String::new(), request, ANSWER_TIMEOUT).await;
        match answer {
            Ok(PeerResponse::Fleet(reply)) => {
                match &reply {
                    FleetReply::NotActive | FleetReply::Unclear => {
                        self.note_fault(address, "it can't serve calls now");
                    }
                    _ => self.note_served(&address),
                }
                LeaderAnswer::Answered(reply)
            }
            Ok(_) => LeaderAnswer::NotReached,
            Err(error) => {
                self.note_fault(address, &error.to_string());
                match error {
                    WireError::Connect(_) => LeaderAnswer::NotReached,
                    _ => LeaderAnswer::Lost,
                }
            }
        }
    }

    /// Returns the address of the active scheduler unless that is this process.
    fn leader_address(&self) -> Option<String> {
        let leader = self.leadership.borrow().leader.clone();
        leader.map(|leader| leader.address).filter(|address| *address != self.own_address)
    }

    fn fault_of(&self, address: &str) -> Option<LeaderFault> {
        self.lock().clone().filter(|fault| fault.address == address)
    }

    fn note_served(&self, address: &str) {
        let ended = self.lock().take();
        if let Some(fault) = ended.filter(|fault| fault.address == address) {
            let age = clock::now().saturating_sub(fault.noted);
            log::info!(
                leader = address, failed_ms_ago = age.as_millis() as u64;
                "active scheduler serves again"
            );
        }
    }

    fn note_fault(&self, address: String, cause: &str) {
        log::warn!(leader = address, error = cause; "active scheduler did not serve a call");
        *self.lock() = Some(LeaderFault { address, noted: clock::now() });
    }

    fn lock(&self) -> MutexGuard<'_, Option<LeaderFault>> {
        self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
