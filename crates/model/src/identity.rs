//! Identifiers as type aliases.
//!
//! Names come from operators and are compared as text. Numbers only ever rise.

/// Names a region, such as `om-north`.
pub type RegionName = String;
/// Names a failure domain, unique within all regions.
pub type DomainName = String;
/// Names a rack within a failure domain.
pub type RackName = String;
/// Names a worker, unique within all regions.
pub type WorkerId = String;
/// Names a customer.
pub type CustomerName = String;
/// Names a service that callers send requests to.
pub type ServiceName = String;
/// Names a backend server.
pub type BackendId = String;
/// Names one process of the system, unique across restarts.
pub type InstanceId = String;
/// Names a job.
pub type JobId = String;
/// Counts lease acquisitions of one failure domain; serves as the fencing token.
pub type Epoch = u64;
/// Counts accepted settings trees.
pub type ConfigVersion = u64;
