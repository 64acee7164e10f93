//! Accelerator usage in other failure domains, for quotas that span all domains.
//!
//! Each active scheduler polls the others. Domains that start jobs of the same customer between two
//! polls can exceed its quota together; a quota is a fairness limit, not a guarantee.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use kameo::actor::ActorRef;
use lacewingrail_model::admin::{DomainAnswer, DomainQuery};
use lacewingrail_model::message::{PeerRequest, PeerResponse};
use lacewingrail_model::{CustomerName, DomainName};

use crate::context::ProcessContext;
use crate::job_controller::{JobController, SetExternalUsage};

/// Interval between polls of all domains.
const POLL_INTERVAL: Duration = Duration::from_secs(5);
/// Timeout of a usage query.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Polls the other domains until the task is aborted. A domain that does not answer keeps its last
/// known usage.
pub async fn run(context: Arc<ProcessContext>, domain: DomainName, jobs: ActorRef<JobController>) {
    let mut ticks = context.timer.subscribe_jittered(POLL_INTERVAL);
    let mut answers: BTreeMap<DomainName, BTreeMap<CustomerName, u32>> = BTreeMap::new();
    let Ok(request) = serde_json::to_string(&DomainQuery::Usage) else {
        return;
    };
    loop {
        ticks.tick().await;
        let membership = &context.membership;
        let others = membership.schedulers().into_iter().filter(|(name, _)| *name != domain);
        for (name, scheduler) in others {
            let forwarded =
                PeerRequest::AdminForward { domain: name.clone(), request: request.clone() };
            let response = membership.call(&scheduler.address, forwarded, QUERY_TIMEOUT).await;
            let Ok(PeerResponse::Admin { status: 200, body }) = response else {
                continue;
            };
            if let Ok(DomainAnswer::Usage(usage)) = serde_json::from_str(&body) {
                answers.insert(name, usage);
            }
        }
        let mut external_usage: BTreeMap<CustomerName, u32> = BTreeMap::new();
        for (customer, used) in answers.values().flatten() {
            *external_usage.entry(customer.clone()).or_insert(0) += used;
        }
        if jobs.tell(SetExternalUsage(external_usage)).try_send().is_err() {
            return;
        }
    }
}
