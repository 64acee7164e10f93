//! Identifiers as type aliases.
//!
//! Names come from operators and are compared as text. Epochs and versions never decrease.

/// Name of a region in the settings tree, such as `om-north`.
pub type RegionName = String;
/// Name of a failure domain, unique across all regions.
pub type DomainName = String;
/// Name of a rack, unique within its failure domain.
pub type RackName = String;
/// Id of a worker, unique across all regions.
pub type WorkerId = String;
/// Name of a customer in the settings tree.
pub type CustomerName = String;
/// Name of a service that callers send requests to.
pub type ServiceName = String;
/// Id of a backend server in the instance list.
pub type BackendId = String;
/// Id of one process of the system, different after each restart.
pub type InstanceId = String;
/// Id of a job, assigned at submission.
pub type JobId = String;
/// Number of scheduler lease acquisitions in one failure domain; serves as the fencing token.
pub type Epoch = u64;
/// Version of a settings tree, from 1 for the first accepted one; 0 means none.
pub type ConfigVersion = u64;
