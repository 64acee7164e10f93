//! Crowds of clients that never finish a request, against real entry and scheduler processes.
//!
//! As in the crowds of the adapter's tests, the settings grant few resources, and a test checks that
//! the process lives within them and still answers ordinary requests. The tests run one at a time.

mod administration;
mod callers;
mod crowd_bed;
#[path = "../system/support/process.rs"]
#[allow(dead_code, reason = "the system tests use the rest")]
mod process;
#[path = "../system/support/waiting.rs"]
mod waiting;

use waiting::{eventually, eventually_async};
