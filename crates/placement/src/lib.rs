//! Placement decisions: cells, packing, guarantees, queue order and preemption victims.
//!
//! Everything here is synchronous and deterministic. Time comes in as a [`std::time::Duration`]
//! since an arbitrary start, and no decision reads a clock, so that a recorded sequence of events
//! gives the same decisions when it is replayed.

pub mod admission;
pub mod amount;
pub mod packing;
