//! Sending a request to backend servers, with retries and hedges under one budget.

pub mod answer;
pub mod budget;
pub mod latency;
pub mod router;
pub mod target;
