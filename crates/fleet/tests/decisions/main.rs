//! Decisions of the planner, driven event by event.

mod admission;
mod advice;
mod guarantee;
mod planner;
mod reclaim;
mod scene;
mod sharing;
mod speed;
