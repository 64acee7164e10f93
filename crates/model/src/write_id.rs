//! Unique ids of writes to the key-value service.
//!
//! The response to a write may be lost after the write took effect. The writer then reads the value
//! again and compares the id in it to find out whether its own write succeeded. Stored records hold
//! the id in a field named `mark`.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::InstanceId;

/// Identifier of one write, unique across processes and restarts.
pub type WriteId = String;

/// Generator of write ids for one process.
#[derive(Debug)]
pub struct WriteIdGenerator {
    instance: InstanceId,
    next: AtomicU64,
}

impl WriteIdGenerator {
    /// Creates a generator for a process; the process id must be new after each restart.
    pub fn new(instance: InstanceId) -> Self {
        Self { instance, next: AtomicU64::new(1) }
    }

    /// Returns an id that was not generated before: the process id and a counter.
    pub fn generate(&self) -> WriteId {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        format!("{}#{number}", self.instance)
    }
}

/// Returns a process id that differs after each restart: the configured name and a random suffix.
pub fn generate_instance_id(name: &str) -> InstanceId {
    format!("{name}~{:08x}", rand::random::<u32>())
}
