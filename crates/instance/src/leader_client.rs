//! Client of the active scheduler, with a circuit breaker.
//!
//! The active scheduler may crash, be suspended or be partitioned while clients go on calling. A
//! call to it has a timeout that is a fraction of the time for which urgent work can wait; after
//! that, the instance serves the call from the key-value service. Once a call has failed, or the
//! scheduler has answered that it can't serve, further calls skip it. Probes from this process, not
//! client calls, find out when it serves again.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use lacewingrail_model::clock::millis;
use lacewingrail_model::message::{FleetCall, FleetReply, PeerRequest, PeerResponse};
use lacewingrail_model::timer::TimerService;
use lacewingrail_wire::{PeerClient, WireError};
use tokio::sync::watch;

use crate::clock;
use crate::leadership::LeadershipView;

/// Timeout of a call to the active scheduler: over ten times its ordinary latency, and a quarter of
/// the slack of the most urgent work.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Delay before the first probe of a scheduler that did not serve a call; doubles with each probe,
/// so that many instances don't overload a slow scheduler further.
const MIN_PROBE_BACKOFF: Duration = Duration::from_millis(300);
/// Maximum delay between probes, before jitter.
const MAX_PROBE_BACKOFF: Duration = Duration::from_millis(2400);

/// Outcome of a call to the active scheduler.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaderAnswer {
    /// The scheduler answered, possibly that it can't serve the call.
    Answered(FleetReply),
    /// The call was not sent or was refused, so it had no effect.
    NotReached,
    /// The answer was lost; the call may have taken effect.
    Lost,
}

/// Outcome of a call and whether it opens the circuit breaker.
struct LeaderExchange {
    answer: LeaderAnswer,
    /// Why the scheduler did not serve the call; `None` if it did.
    failure: Option<String>,
}

/// Calls the active scheduler of the newest leader record.
#[derive(Clone)]
pub struct LeaderClient {
    leadership: watch::Receiver<LeadershipView>,
    own_address: String,
    peers: PeerClient,
    timer: TimerService,
    failure: Arc<Mutex<Option<LeaderFailure>>>,
}

/// Failure of the scheduler at an address; calls to it are skipped until a probe succeeds.
#[derive(Clone, Debug)]
struct LeaderFailure {
    address: String,
    /// Time on [`clock`] at which the newest call to it failed.
    failed_at: Duration,
}

impl LeaderClient {
    /// Creates a client for the process with the peer address `own_address`, which it never calls.
    pub fn new(
        leadership: watch::Receiver<LeadershipView>,
        own_address: String,
        peers: PeerClient,
        timer: TimerService,
    ) -> Self {
        Self { leadership, own_address, peers, timer, failure: Arc::default() }
    }

    /// Returns whether another instance leads and has no recorded failure.
    pub fn is_available(&self) -> bool {
        let address = self.leader_address();
        address.is_some_and(|address| self.find_failure(&address).is_none())
    }

    /// Sends a call to the active scheduler, unless the circuit breaker is open.
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
        let answer = self.peers.call(address, String::new(), request, CALL_TIMEOUT).await;
        match answer {
            Ok(PeerResponse::Fleet(reply)) => {
                let is_serving = !matches!(reply, FleetReply::NotActive | FleetReply::Unclear);
                let failure =
                    (!is_serving).then(|| "the scheduler can't serve calls now".to_owned());
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

    /// Probes a scheduler until it serves calls or another instance leads, then clears its failure.
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

    /// Returns the address of the active scheduler; `None` if there is none or it is this process.
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
            // A concurrent call has failed before and has started the probes.
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
