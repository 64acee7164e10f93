//! Calls to the active scheduler on behalf of clients.
//!
//! Answers the load pattern in which the active scheduler dies, is suspended or is cut off while
//! clients go on calling. A call waits for it only a fraction of what urgent work can spare; then the
//! instance serves the call from the key-value service. While the scheduler is silent or can't serve
//! calls itself, further calls do without it, and probes of this process find out when it is back: no
//! client's call is spent on that.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use lacewingrail_model::clock::millis;
use lacewingrail_model::message::{FleetCall, FleetReply, PeerRequest, PeerResponse};
use lacewingrail_model::timer::TimerService;
use lacewingrail_wire::{PeerClient, WireError};
use tokio::sync::watch;

use crate::clock;
use crate::leadership::LeadershipView;

/// Time for an answer of the active scheduler: over ten times that of an ordinary one, and a quarter
/// of the slack of the most urgent work.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Time until the first probe of a scheduler that did not serve a call; doubles with each, so that
/// many instances do not add to the load of a scheduler that is late because of its load.
const MIN_PROBE_BACKOFF: Duration = Duration::from_millis(300);
/// Longest time between probes.
const MAX_PROBE_BACKOFF: Duration = Duration::from_millis(2400);

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

/// Holds how a call to a scheduler ended.
struct LeaderExchange {
    answer: LeaderAnswer,
    /// Why the scheduler did not serve the call, if so.
    failure: Option<String>,
}

/// Calls the active scheduler that was seen last.
#[derive(Clone)]
pub struct LeaderClient {
    leadership: watch::Receiver<LeadershipView>,
    own_address: String,
    peers: PeerClient,
    timer: TimerService,
    failure: Arc<Mutex<Option<LeaderFailure>>>,
}

/// Notes that a scheduler did not answer, or not as one that serves calls.
#[derive(Clone, Debug)]
struct LeaderFailure {
    address: String,
    /// Time of the call that it did not serve.
    failed_at: Duration,
}

impl LeaderClient {
    /// Creates a link of the instance with a peer address.
    pub fn new(
        leadership: watch::Receiver<LeadershipView>,
        own_address: String,
        peers: PeerClient,
        timer: TimerService,
    ) -> Self {
        Self { leadership, own_address, peers, timer, failure: Arc::default() }
    }

    /// Returns whether a scheduler is known that served the newest call.
    pub fn is_available(&self) -> bool {
        let address = self.leader_address();
        address.is_some_and(|address| self.find_failure(&address).is_none())
    }

    /// Hands a call to the active scheduler.
    pub async fn call(&self, call: FleetCall) -> LeaderAnswer {
        let Some(address) = self.leader_address() else {
            return LeaderAnswer::NotReached;
        };
        if self.find_failure(&address).is_some() {
            return LeaderAnswer::NotReached;
        }
        let exchange = self.exchange(&address, call).await;
        if let Some(cause) = exchange.failure {
            self.record_failure(address, &cause);
        }
        exchange.answer
    }

    async fn exchange(&self, address: &str, call: FleetCall) -> LeaderExchange {
        let request = PeerRequest::Fleet(call);
        let answer = self.peers.call(address, String::new(), request, ANSWER_TIMEOUT).await;
        match answer {
            Ok(PeerResponse::Fleet(reply)) => {
                let is_serving = !matches!(reply, FleetReply::NotActive | FleetReply::Unclear);
                let failure = (!is_serving).then(|| "it can't serve calls now".to_owned());
                LeaderExchange { answer: LeaderAnswer::Answered(reply), failure }
            }
            Ok(_) => LeaderExchange { answer: LeaderAnswer::NotReached, failure: None },
            Err(error) => {
                let failure = Some(error.to_string());
                let answer = match error {
                    WireError::Connect(_) => LeaderAnswer::NotReached,
                    _ => LeaderAnswer::Lost,
                };
                LeaderExchange { answer, failure }
            }
        }
    }

    /// Probes a scheduler until it serves a call or another one leads.
    async fn probe(self, address: String) {
        let mut backoff = MIN_PROBE_BACKOFF;
        while self.leader_address().as_ref() == Some(&address) {
            self.timer.wait(backoff.mul_f64(0.5 + rand::random::<f64>())).await;
            if self.exchange(&address, FleetCall::Probe).await.failure.is_none() {
                break;
            }
            backoff = (backoff * 2).min(MAX_PROBE_BACKOFF);
        }
        self.clear_failure(&address);
    }

    /// Returns the address of the active scheduler unless that is this process.
    fn leader_address(&self) -> Option<String> {
        let leader = self.leadership.borrow().leader.clone();
        leader.map(|leader| leader.address).filter(|address| *address != self.own_address)
    }

    fn find_failure(&self, address: &str) -> Option<LeaderFailure> {
        self.lock().clone().filter(|failure| failure.address == address)
    }

    fn record_failure(&self, address: String, cause: &str) {
        let failure = LeaderFailure { address: address.clone(), failed_at: clock::now() };
        let previous = self.lock().replace(failure);
        if previous.is_some_and(|previous| previous.address == address) {
            // Two calls failed at the same time; the probes have begun.
            return;
        }
        log::warn!(leader = address, error = cause; "active scheduler did not serve a call");
        tokio::spawn(self.clone().probe(address));
    }

    fn clear_failure(&self, address: &str) {
        let cleared = self.lock().take_if(|failure| failure.address == address);
        if let Some(failure) = cleared {
            let age = clock::now().saturating_sub(failure.failed_at);
            log::info!(
                leader = address, fault_ms = millis(age);
                "active scheduler serves again or has changed"
            );
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<LeaderFailure>> {
        self.failure.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
