//! Stand-ins and real processes for one measurement.

pub mod load;
pub mod meter;
pub mod process;
pub mod site;
