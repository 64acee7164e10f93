//! Unique marks for writes.
//!
//! An answer of the key-value service may be lost after the write took effect. The writer then
//! reads the value again and compares the mark to learn whether the write was its own.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::InstanceId;

/// Identifies one write of one process.
pub type WriteMark = String;

/// Issues marks that no other process issues.
#[derive(Debug)]
pub struct MarkIssuer {
    instance: InstanceId,
    next: AtomicU64,
}

impl MarkIssuer {
    /// Creates an issuer for a process; the id must be new after each restart.
    pub fn new(instance: InstanceId) -> Self {
        Self { instance, next: AtomicU64::new(1) }
    }

    /// Returns the next mark.
    pub fn issue(&self) -> WriteMark {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        format!("{}#{number}", self.instance)
    }
}

/// Returns a process id that is new after each restart: the configured name and a random suffix.
pub fn generate_instance_id(name: &str) -> InstanceId {
    format!("{name}~{:08x}", rand::random::<u32>())
}
