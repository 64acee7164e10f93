//! Decisions of the planner, driven event by event.

mod planner;
mod reclaim;
mod scene;
mod speed;
