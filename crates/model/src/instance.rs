//! The border to the platform's instance list.
//!
//! The list lags: an instance may be gone before the list says so.

use async_trait::async_trait;
use serde::{Deserialize, Serialize};

use crate::DomainName;
use crate::worker::WorkerSpec;

/// States what an instance serves.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceRole {
    /// Entry process of the system.
    Entry,
    /// Scheduler process of the system.
    Scheduler,
    /// Backend server of a service.
    Backend,
    /// Worker.
    Worker,
}

/// Describes one instance of the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceEntry {
    /// Name of the instance.
    pub name: String,
    /// Role.
    pub role: InstanceRole,
    /// Service of a backend server; empty for others.
    #[serde(default)]
    pub service: String,
    /// Failure domain.
    pub domain: DomainName,
    /// Base address, such as `http://127.0.0.1:7001`.
    pub address: String,
    /// Address on which a process of the system takes messages of its peers, as `ip:port`.
    #[serde(default)]
    pub peer_address: String,
    /// States whether the instance is leaving and must get no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Slots of a backend server; 0 for others.
    #[serde(default)]
    pub slots: u32,
    /// Connections that a backend server takes; 0 for others.
    #[serde(default)]
    pub connections: u32,
}

/// States why the list could not be read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InstanceError(
    /// Cause.
    pub String,
);

impl std::fmt::Display for InstanceError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "the instance list is unavailable ({}); the last list stays", self.0)
    }
}

impl std::error::Error for InstanceError {}

/// Reads the platform's instance list.
#[async_trait]
pub trait InstanceList: Send + Sync {
    /// Returns all listed instances.
    async fn read(&self) -> Result<Vec<InstanceEntry>, InstanceError>;

    /// Returns all listed workers with their racks and resources.
    async fn workers(&self) -> Result<Vec<WorkerSpec>, InstanceError>;
}
