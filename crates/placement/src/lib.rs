//! Placement decisions: cells, packing, guarantees, queue order and preemption victims.
