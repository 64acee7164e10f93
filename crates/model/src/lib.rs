//! Types and interfaces shared by the scheduler and the request path.
//!
//! Other crates depend on this one, and this one depends on none of them. It defines the
//! identifiers, the records that crates exchange, and the traits of the external systems: the
//! key-value service, the workers and the instance list. An adapter for another platform only
//! implements those traits.

pub mod admin;
pub mod clock;
pub mod config;
pub mod hash;
pub mod identity;
pub mod instance;
pub mod invariant;
pub mod job;
pub mod keys;
pub mod message;
pub mod resources;
pub mod shape;
pub mod store;
pub mod timer;
pub mod worker;
pub mod write_id;

pub use identity::{
    BackendId, ConfigVersion, CustomerName, DomainName, Epoch, InstanceId, JobId, RackName,
    RegionName, ServiceName, WorkerId,
};
pub use resources::ProcessResources;
