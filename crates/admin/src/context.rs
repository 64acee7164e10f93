//! What the API needs of the scheduler process that serves it.

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

/// States how a take-out ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum VetoOutcome {
    /// The active scheduler of the domain confirmed that no start will follow.
    ConfirmedBy(InstanceId),
    /// Nobody confirmed; every start permission from before the write has expired by now.
    PermissionExpired,
}

/// Connects the API to the process that serves it.
#[async_trait]
pub trait AdminContext: Send + Sync {
    /// Returns the id of the process.
    fn instance(&self) -> InstanceId;

    /// Returns the configuration in force in the process; version 0 before the first.
    fn config(&self) -> Arc<ConfigView>;

    /// Returns the stored tree as the process received it, if any.
    fn payload(&self) -> Option<ConfigPayload>;

    /// Takes over a tree that the API wrote to the store and hands it to other processes.
    async fn publish(&self, payload: ConfigPayload);

    /// Returns the key-value service.
    fn store(&self) -> Arc<dyn KeyValueService>;

    /// Returns a mark that no other write has.
    fn issue_mark(&self) -> WriteId;

    /// Asks the active scheduler of a failure domain; the API gives up after 2 s.
    async fn ask(&self, domain: &DomainName, query: DomainQuery) -> DomainAnswer;

    /// Sends the veto of a take-out to the processes of a domain and waits for the confirmation of
    /// its active scheduler; the API gives up 3 s after the write.
    async fn veto(&self, domain: &DomainName, version: ConfigVersion) -> VetoOutcome;

    /// Returns the known processes, including the own one.
    fn processes(&self) -> Vec<ProcessStatus>;

    /// Returns why the process is not ready, if it is not.
    fn not_ready(&self) -> Option<String>;
}

/// Converts a peer of the membership table to its report.
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
