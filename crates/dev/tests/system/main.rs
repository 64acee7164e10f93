//! System tests with real processes, each link through the fault proxy.
//!
//! A test starts `lacewingrail-scheduler` and `lacewingrail-entry` processes in three failure domains,
//! runs the stand-ins itself and waits on conditions with deadlines from the design page. At the end
//! the records of workers and backend servers decide.

mod connections;
mod domains;
mod entries;
mod schedulers;
mod settings;
mod store;
mod support;
