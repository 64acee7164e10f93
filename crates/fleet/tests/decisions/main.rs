//! Tests of the planner's decisions: each drives a planner event by event.

mod admission;
mod advice;
mod guarantee;
mod harness;
mod late_calls;
mod planner;
mod preemption;
mod sharing;
mod speed;
mod takeover;
mod takeover_properties;
mod world;
