//! The whole system in one process, with stand-ins for everything outside it.
//!
//! [`environment`] holds the stand-ins, [`system`] the entry and scheduler processes, [`callers`] the
//! request load. [`demonstration`] drives them through the main job of the system and compares what
//! happened with the records of the stand-ins.

pub mod api;
pub mod callers;
pub mod demonstration;
pub mod environment;
pub mod report;
pub mod system;
