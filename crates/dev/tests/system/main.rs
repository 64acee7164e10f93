//! System tests with real processes whose links all pass through the fault proxy.
//!
//! A test starts `lacewingrail-scheduler` and `lacewingrail-entry` processes in three failure
//! domains and runs the stand-ins in its own process. It waits for conditions with timeouts from
//! `docs/design.md`, and finally checks the records of the workers and backend servers.

mod connections;
mod domains;
mod entries;
mod schedulers;
mod settings;
mod store;
mod support;
