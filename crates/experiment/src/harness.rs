//! Starts the stand-ins and service processes of a measurement, and measures the resource use of
//! the processes.

pub mod environment;
pub mod fixtures;
pub mod meter;
pub mod process;
