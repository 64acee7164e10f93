//! Follows the platform's instance list.

use std::sync::Arc;
use std::time::Duration;

use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use kameo::message::{Context, Message};
use lacewingrail_membership::Membership;
use lacewingrail_model::instance::InstanceList;
use lacewingrail_model::timer::TimerService;

use crate::backend::connection::HttpChoice;
use crate::backend::pool::BackendPools;
use crate::claims::home::HomeDirectory;

/// Time between reads of the list. A leaving backend must get no new work after 3 s, which leaves
/// room for a lost read.
pub const LIST_PERIOD: Duration = Duration::from_millis(500);
/// Longest time for a read.
const READ_LIMIT: Duration = Duration::from_millis(700);

/// Reads the instance list and hands it to the pools and the claims; a failed read leaves the last list in force.
#[derive(Actor)]
pub struct ListController {
    list: Arc<dyn InstanceList>,
    pools: Arc<BackendPools>,
    homes: Arc<HomeDirectory>,
    membership: Membership,
    failing: bool,
}

/// Asks the controller to read the list now; answers whether the read succeeded.
pub struct ReadList;

impl ListController {
    /// Starts the controller and its ticks.
    pub fn start(
        list: Arc<dyn InstanceList>,
        pools: Arc<BackendPools>,
        homes: Arc<HomeDirectory>,
        membership: Membership,
        timer: &TimerService,
    ) -> ActorRef<Self> {
        let controller = Self::spawn(Self { list, pools, homes, membership, failing: false });
        let (target, mut ticks) = (controller.clone(), timer.subscribe(LIST_PERIOD));
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
        let read = tokio::time::timeout(READ_LIMIT, self.list.read()).await;
        let cause = match read {
            Ok(Ok(entries)) => {
                let config = self.membership.current();
                let domain = &self.membership.settings().domain;
                self.pools.update(&entries, |service| {
                    match config.policy(domain, None, Some(service)).backend_http1 {
                        true => HttpChoice::Http1,
                        false => HttpChoice::Http2,
                    }
                });
                self.homes.update(&entries);
                self.failing = false;
                return true;
            }
            Ok(Err(error)) => error.to_string(),
            Err(_) => "the instance list did not answer in time; the last list stays".to_owned(),
        };
        // An ejection or its end changes the capacity also while the list cannot be read.
        self.pools.refresh_capacity();
        if !std::mem::replace(&mut self.failing, true) {
            log::warn!("{cause}");
        }
        false
    }
}
