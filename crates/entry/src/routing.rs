//! Routing of a request to backend servers, with retries and hedges under one budget.

pub mod backend_call;
pub mod budget;
pub mod latency;
pub mod router;
pub mod target;
