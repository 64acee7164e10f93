//! Decisions of the planner, driven event by event.

mod admission;
mod advice;
mod guarantee;
mod harness;
mod planner;
mod preemption;
mod sharing;
mod speed;
