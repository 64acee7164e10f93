//! Filters of the request path, listed alphabetically; the crate documentation gives their order.

pub mod at_most_once;
pub mod body_limit;
pub mod customer_limit;
pub mod deadline;
pub mod identity;
pub mod overload_limit;
pub mod readiness;
pub mod route;
pub mod trace;
