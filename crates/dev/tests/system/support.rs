//! The test cluster: stand-ins, proxied links, real processes and a request load.

pub mod cluster;
pub mod load;
pub mod peer_forwarder;
pub mod process;
pub mod waiting;

pub use waiting::{eventually, eventually_async};
