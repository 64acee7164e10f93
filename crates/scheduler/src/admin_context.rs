//! Adapter between the administration API and the scheduler process.
//!
//! A veto follows the write that takes a domain out of service. It asks the domain's active
//! scheduler to confirm that it starts no more tasks, so that the operator need not wait until all
//! start permissions have expired.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use lacewingrail_admin::{AdminContext, VetoOutcome, process_status};
use lacewingrail_membership::SchedulerHook;
use lacewingrail_model::admin::{DomainAnswer, DomainQuery, ProcessStatus};
use lacewingrail_model::config::ConfigView;
use lacewingrail_model::message::{ConfigPayload, PeerRequest, PeerResponse};
use lacewingrail_model::store::KeyValueService;
use lacewingrail_model::write_id::{WriteId, WriteIdGenerator};
use lacewingrail_model::{ConfigVersion, DomainName, InstanceId};
use tokio::time::Instant;

use crate::context::ProcessContext;
use crate::leadership_responder::LeadershipResponder;
use crate::lease::{self, LeaseRecord};

/// Timeout of a query that is forwarded to the active scheduler.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(1_800);
/// Time after which every start permission from before the domain was taken out has expired, so
/// that no confirmation is needed.
const VETO_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout of a single veto call.
const VETO_CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before a veto is repeated.
const VETO_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Implementation of the administration API's context for one process.
pub struct ProcessAdmin {
    /// State and services shared by the controllers of the process.
    pub context: Arc<ProcessContext>,
    /// Answers vetoes and queries for the domains that this process schedules.
    pub responder: Arc<LeadershipResponder>,
    /// Generator of the ids of writes that operators request from this process.
    pub write_id_generator: WriteIdGenerator,
}

#[async_trait]
impl AdminContext for ProcessAdmin {
    fn instance(&self) -> InstanceId {
        self.context.membership.settings().instance.clone()
    }

    fn config(&self) -> Arc<ConfigView> {
        self.context.membership.current()
    }

    fn payload(&self) -> Option<ConfigPayload> {
        self.context.membership.payload()
    }

    async fn publish(&self, payload: ConfigPayload) {
        self.context.membership.publish(payload).await;
    }

    fn store(&self) -> Arc<dyn KeyValueService> {
        self.context.store.clone()
    }

    fn generate_write_id(&self) -> WriteId {
        self.write_id_generator.generate()
    }

    async fn query_domain(&self, domain: &DomainName, query: DomainQuery) -> DomainAnswer {
        if let Some(answer) = self.responder.query(domain, query.clone()).await {
            return answer;
        }
        let refused = |cause: String| DomainAnswer::Refused(cause);
        let Some(address) = self.scheduler_address(domain).await else {
            return refused(format!("no active scheduler of {domain} is known; try again later"));
        };
        let request = match serde_json::to_string(&query) {
            Ok(request) => request,
            Err(error) => return refused(format!("the query cannot be encoded: {error}")),
        };
        let request = PeerRequest::AdminForward { domain: domain.clone(), request };
        match self.context.membership.call(&address, request, FORWARD_TIMEOUT).await {
            Ok(PeerResponse::Admin { status: 200, body }) => serde_json::from_str(&body)
                .unwrap_or_else(|error| refused(format!("the answer cannot be read: {error}"))),
            Ok(PeerResponse::Admin { body, .. }) => refused(body),
            Ok(PeerResponse::Refused { reason }) => refused(reason),
            Ok(_) => refused("the active scheduler gave an unexpected answer".to_owned()),
            Err(error) => {
                refused(format!("the active scheduler of {domain} does not answer: {error}"))
            }
        }
    }

    async fn veto(&self, domain: &DomainName, version: ConfigVersion) -> VetoOutcome {
        let deadline = Instant::now() + VETO_TIMEOUT;
        let membership = &self.context.membership;
        let request = PeerRequest::DomainVeto { domain: domain.clone(), version };
        loop {
            if self.responder.veto(domain, version).await && self.holds_lease(domain).await {
                return VetoOutcome::ConfirmedBy(membership.settings().instance.clone());
            }
            let mut addresses: Vec<String> =
                self.scheduler_address(domain).await.into_iter().collect();
            let peers = membership.peers();
            let domain_peers = peers.iter().filter(|peer| peer.domain == *domain && peer.alive);
            addresses.extend(domain_peers.map(|peer| peer.address.clone()));
            addresses.dedup();
            let calls = addresses.iter().map(|address| async {
                membership.call(address, request.clone(), VETO_CALL_TIMEOUT).await
            });
            let responses = futures::future::join_all(calls).await;
            let confirmed: Vec<&String> = addresses
                .iter()
                .zip(&responses)
                .filter(|(_, response)| {
                    matches!(response, Ok(PeerResponse::VetoConfirmed { active: true }))
                })
                .map(|(address, _)| address)
                .collect();
            if !confirmed.is_empty()
                && let Some(record) = self.holder(domain).await
                && confirmed.contains(&&record.address)
            {
                return VetoOutcome::ConfirmedBy(record.holder);
            }
            if Instant::now() + VETO_RETRY_DELAY >= deadline {
                self.context.timer.wait(deadline - Instant::now()).await;
                return VetoOutcome::PermissionExpired;
            }
            self.context.timer.wait(VETO_RETRY_DELAY).await;
        }
    }

    fn processes(&self) -> Vec<ProcessStatus> {
        let membership = &self.context.membership;
        let settings = membership.settings();
        let own = ProcessStatus {
            instance: settings.instance.clone(),
            role: "scheduler".to_owned(),
            domain: settings.domain.clone(),
            address: settings.address.clone(),
            config_version: membership.current().version,
            silent_s: Some(0.0),
            alive: true,
            leaving: false,
        };
        let peers = membership.peers().into_iter().map(process_status);
        std::iter::once(own).chain(peers).collect()
    }

    fn not_ready_reason(&self) -> Option<String> {
        let ready = self.context.membership.ready();
        (!ready).then(|| "the settings are not known yet or the process is leaving".to_owned())
    }
}

impl ProcessAdmin {
    /// Returns the current holder of a domain's scheduler lease.
    ///
    /// A veto is confirmed only by the holder that the store names, because a former holder may not
    /// know yet that it was replaced.
    async fn holder(&self, domain: &DomainName) -> Option<LeaseRecord> {
        let read = lease::holder(&*self.context.store, domain);
        let holder = tokio::time::timeout(lease::RENEW_TIMEOUT, read).await.ok()?.ok()?;
        holder.map(|(record, _)| record)
    }

    async fn holds_lease(&self, domain: &DomainName) -> bool {
        let instance = &self.context.membership.settings().instance;
        self.holder(domain).await.is_some_and(|record| record.holder == *instance)
    }

    /// Returns the address of a domain's active scheduler as known from the peers, or else from the
    /// store.
    async fn scheduler_address(&self, domain: &DomainName) -> Option<String> {
        match self.context.membership.scheduler_of(domain) {
            Some(scheduler) => Some(scheduler.address),
            None => self.holder(domain).await.map(|record| record.address),
        }
    }
}
