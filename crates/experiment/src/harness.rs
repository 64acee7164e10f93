//! Starts stand-ins and service processes for a measurement, and meters them.

pub mod environment;
pub mod fixtures;
pub mod meter;
pub mod process;
