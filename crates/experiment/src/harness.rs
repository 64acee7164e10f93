//! Stand-ins and real processes for one measurement.

pub mod environment;
pub mod fixtures;
pub mod meter;
pub mod process;
