//! Interface to the platform's instance list.
//!
//! The list may be out of date: it may still contain an instance that no longer exists.

use async_trait::async_trait;
use serde::{Deserialize, Serialize};

use crate::DomainName;
use crate::worker::WorkerSpec;

/// Role of an instance in the system.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceRole {
    /// Entry process, which accepts requests of callers.
    Entry,
    /// Scheduler process, active or standby, of a failure domain.
    Scheduler,
    /// Backend server of a service.
    Backend,
    /// Worker that runs tasks.
    Worker,
}

/// One instance of the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceEntry {
    /// Name, unique within the list.
    pub name: String,
    /// Role; decides which of the other fields are set.
    pub role: InstanceRole,
    /// Service of a backend server; empty for others.
    #[serde(default)]
    pub service: String,
    /// Failure domain that the instance runs in.
    pub domain: DomainName,
    /// Base address, such as `http://127.0.0.1:7001`.
    pub address: String,
    /// Address on which an entry or scheduler process receives messages of peers, as `ip:port`; empty
    /// for others.
    #[serde(default)]
    pub peer_address: String,
    /// Whether the instance is shutting down and must get no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Maximum number of requests that a backend server processes concurrently; 0 for others.
    #[serde(default)]
    pub slots: u32,
    /// Maximum number of connections that a backend server accepts; 0 for others.
    #[serde(default)]
    pub connections: u32,
}

/// The instance list could not be read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InstanceError(
    /// Cause, for logs.
    pub String,
);

impl std::fmt::Display for InstanceError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "the instance list is unavailable ({}); the last list stays", self.0)
    }
}

impl std::error::Error for InstanceError {}

/// Client of the platform's instance list.
#[async_trait]
pub trait InstanceList: Send + Sync {
    /// Reads all listed instances.
    async fn read(&self) -> Result<Vec<InstanceEntry>, InstanceError>;

    /// Reads all listed workers with their racks and resources.
    async fn workers(&self) -> Result<Vec<WorkerSpec>, InstanceError>;
}
