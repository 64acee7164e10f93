//! All scenarios in one binary, so that they run at the same time: most of them wait for leases.

mod domains;
mod gangs;
mod handover;
mod jobs;
mod leases;
mod permission;
mod process;
mod rebuild;
mod soak;
#[path = "support/bed.rs"]
mod support;
