//! Answers requests that only the active scheduler of a failure domain can answer.

use std::sync::{Arc, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use lacewingrail_membership::SchedulerHook;
use lacewingrail_model::admin::{DomainAnswer, DomainQuery};
use lacewingrail_model::{ConfigVersion, DomainName};

use crate::context::ProcessContext;
use crate::job_controller::{QueryDomain, SettingsChanged};
use crate::lease_controller::{LeadershipEntry, LeadershipTable};

/// Timeout of a query to the job controller.
const QUERY_TIMEOUT: Duration = Duration::from_millis(1_500);
/// HTTP status of a successful answer.
const OK: u16 = 200;
/// HTTP status of a request for a domain that this process does not schedule.
const MISDIRECTED: u16 = 421;
/// HTTP status of a request that cannot be decoded.
const BAD_REQUEST: u16 = 400;

/// Answers vetoes and administration queries from the leaderships that this process holds.
pub struct LeadershipResponder {
    /// State and services shared by the controllers of the process.
    pub context: Arc<ProcessContext>,
    /// Active leaderships of this process.
    pub table: LeadershipTable,
}

impl LeadershipResponder {
    /// Returns the leadership of a domain; `None` if this process does not schedule it.
    pub fn leadership(&self, domain: &DomainName) -> Option<LeadershipEntry> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner).get(domain).cloned()
    }

    /// Queries the job controller of a domain; `None` if there is none or it does not answer in
    /// time.
    pub async fn query(&self, domain: &DomainName, query: DomainQuery) -> Option<DomainAnswer> {
        let jobs = self.leadership(domain)?.jobs?;
        let answer = async { jobs.ask(QueryDomain(query)).await };
        let reply = tokio::time::timeout(QUERY_TIMEOUT, answer).await.ok()?.ok()?;
        Some(reply.0)
    }
}

#[async_trait]
impl SchedulerHook for LeadershipResponder {
    async fn veto(&self, domain: &DomainName, version: ConfigVersion) -> bool {
        self.context.membership.record_veto(domain, version);
        let Some(leadership) = self.leadership(domain) else {
            return false;
        };
        if let Some(jobs) = &leadership.jobs {
            let _ = jobs.tell(SettingsChanged).try_send();
        }
        // From here on the permission denies every start, including those already decided. The
        // confirmation has to wait for calls that are still in flight.
        if leadership.permission.remaining().is_ok() {
            return false;
        }
        leadership.permission.drain_calls().await;
        true
    }

    async fn handle_admin_request(&self, domain: &DomainName, request: &str) -> (u16, String) {
        let query: DomainQuery = match serde_json::from_str(request) {
            Ok(query) => query,
            Err(error) => return (BAD_REQUEST, format!("the query cannot be read: {error}")),
        };
        match self.query(domain, query).await {
            Some(answer) => match serde_json::to_string(&answer) {
                Ok(body) => (OK, body),
                Err(error) => (BAD_REQUEST, format!("the answer cannot be encoded: {error}")),
            },
            None => (MISDIRECTED, format!("this process does not schedule {domain}; ask another")),
        }
    }
}
