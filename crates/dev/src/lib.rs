//! The whole system in one operating system process, with stand-ins for all external systems.
//!
//! [`environment`] starts the stand-ins, [`system`] the entry and scheduler processes, and
//! [`callers`] generates the request load. [`demonstration`] runs the main use cases of the
//! system and checks the results against the records of the stand-ins.

pub mod api;
pub mod callers;
pub mod demonstration;
pub mod environment;
pub mod report;
pub mod system;
