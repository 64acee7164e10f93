//! Interface between the API and the scheduler process that serves it.

use std::sync::Arc;

use async_trait::async_trait;
use lacewingrail_membership::peers::PeerStatus;
use lacewingrail_model::admin::{DomainAnswer, DomainQuery, ProcessStatus};
use lacewingrail_model::config::ConfigView;
use lacewingrail_model::instance::InstanceRole;
use lacewingrail_model::message::ConfigPayload;
use lacewingrail_model::store::KeyValueService;
use lacewingrail_model::write_id::WriteId;
use lacewingrail_model::{ConfigVersion, DomainName, InstanceId};

/// Outcome of a veto, which tells the processes of a failure domain that the domain was taken out
/// of service and that they must start no more tasks in it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum VetoOutcome {
    /// The active scheduler of the domain confirmed that it starts no more tasks.
    ConfirmedBy(InstanceId),
    /// No scheduler confirmed, but every start permission issued before the write has expired.
    PermissionExpired,
}

/// State and services of the scheduler process that serves the API.
#[async_trait]
pub trait AdminContext: Send + Sync {
    /// Returns the instance id of the process.
    fn instance(&self) -> InstanceId;

    /// Returns the configuration in force in the process; its version is 0 before the first tree is
    /// received.
    fn config(&self) -> Arc<ConfigView>;

    /// Returns the encoded settings tree as the process received it; `None` before the first one.
    fn payload(&self) -> Option<ConfigPayload>;

    /// Applies a tree that the API wrote to the store and sends it to other processes.
    async fn publish(&self, payload: ConfigPayload);

    /// Returns the client of the key-value service.
    fn store(&self) -> Arc<dyn KeyValueService>;

    /// Returns an id that is unique to one write.
    fn generate_write_id(&self) -> WriteId;

    /// Sends a query to the active scheduler of a failure domain. Failures are returned as
    /// [`DomainAnswer::Refused`]; the API stops waiting after 2 s.
    async fn query_domain(&self, domain: &DomainName, query: DomainQuery) -> DomainAnswer;

    /// Tells the processes of a failure domain that it was taken out of service in `version`, and
    /// waits for its active scheduler to confirm. The API stops waiting 3 s after the write.
    async fn veto(&self, domain: &DomainName, version: ConfigVersion) -> VetoOutcome;

    /// Returns all known processes, including this one.
    fn processes(&self) -> Vec<ProcessStatus>;

    /// Returns the reason why the process is not ready; `None` if it is ready.
    fn not_ready_reason(&self) -> Option<String>;
}

/// Converts a peer of the membership table to the status that the API reports.
///
/// The role is empty if the peer is neither an entry nor a scheduler.
pub fn process_status(peer: PeerStatus) -> ProcessStatus {
    let role = match peer.role {
        Some(InstanceRole::Entry) => "entry",
        Some(InstanceRole::Scheduler) => "scheduler",
        _ => "",
    };
    ProcessStatus {
        instance: peer.instance,
        role: role.to_owned(),
        domain: peer.domain,
        address: peer.address,
        config_version: peer.config_version,
        silent_s: peer.silent_s,
        alive: peer.alive,
        leaving: peer.leaving,
    }
}
