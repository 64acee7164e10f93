//! Polls the platform's instance list.

use std::sync::Arc;
use std::time::Duration;

use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use kameo::message::{Context, Message};
use lacewingrail_membership::Membership;
use lacewingrail_model::instance::InstanceList;
use lacewingrail_model::timer::TimerService;

use crate::backend::connection::BackendProtocol;
use crate::backend::pool::BackendPools;
use crate::claims::writer_directory::WriterDirectory;

/// Interval between reads of the instance list; short enough to detect a leaving backend within 3 s
/// even if a read is lost.
pub const LIST_READ_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum time for a read of the instance list; a later response is ignored.
const LIST_READ_TIMEOUT: Duration = Duration::from_millis(700);

/// Polls the instance list and updates the backend pools and the claim writers; after a failed
/// read, the last list stays in force.
#[derive(Actor)]
pub struct ListController {
    list: Arc<dyn InstanceList>,
    pools: Arc<BackendPools>,
    directory: Arc<WriterDirectory>,
    membership: Membership,
    failing: bool,
}

/// Requests a read of the list now; the reply states whether it succeeded.
pub struct ReadList;

impl ListController {
    /// Starts the controller and its polling task, which ends with the controller.
    pub fn start(
        list: Arc<dyn InstanceList>,
        pools: Arc<BackendPools>,
        directory: Arc<WriterDirectory>,
        membership: Membership,
        timer: &TimerService,
    ) -> ActorRef<Self> {
        let controller = Self::spawn(Self { list, pools, directory, membership, failing: false });
        let (target, mut ticks) = (controller.clone(), timer.subscribe(LIST_READ_INTERVAL));
        tokio::spawn(async move {
            loop {
                ticks.tick().await;
                if target.ask(ReadList).await.is_err() {
                    return;
                }
            }
        });
        controller
    }
}

impl Message<ReadList> for ListController {
    type Reply = bool;

    async fn handle(&mut self, _message: ReadList, _context: &mut Context<Self, bool>) -> bool {
        let read = tokio::time::timeout(LIST_READ_TIMEOUT, self.list.read()).await;
        let cause = match read {
            Ok(Ok(entries)) => {
                let config = self.membership.current();
                let domain = &self.membership.settings().domain;
                self.pools.update(&entries, |service| {
                    match config.policy(domain, None, Some(service)).backend_http1 {
                        true => BackendProtocol::Http1,
                        false => BackendProtocol::Http2,
                    }
                });
                self.directory.update(&entries);
                self.failing = false;
                return true;
            }
            Ok(Err(error)) => error.to_string(),
            Err(_) => "the instance list did not respond in time; keeping the last list".to_owned(),
        };
        // Ejections change the capacity even while the list cannot be read.
        self.pools.refresh_capacity();
        if !std::mem::replace(&mut self.failing, true) {
            log::warn!("{cause}");
        }
        false
    }
}
