//! All scenarios in one binary, so that they run concurrently: most of them wait for leases.

mod domains;
mod gangs;
mod handover;
mod jobs;
mod leases;
mod process;
mod rebuild;
mod soak;
mod start_limiter;
#[path = "support/cluster.rs"]
mod support;
