//! Resources that a process may use.

use rustix::process::{Resource, getrlimit};

/// Memory of a process whose settings don't state it, in bytes.
const DEFAULT_MEMORY_BYTES: u64 = 1 << 30;
/// Number of descriptors of a process without a limit.
const UNLIMITED_DESCRIPTORS: u64 = 1 << 16;

/// Resources of a process, which bound what its clients may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProcessResources {
    /// Memory in bytes.
    pub memory_bytes: u64,
    /// Number of file descriptors.
    pub descriptors: u64,
}

impl Default for ProcessResources {
    /// Returns 1 GiB of memory and the descriptors that the operating system allows.
    fn default() -> Self {
        let limit = getrlimit(Resource::Nofile).current;
        let descriptors = limit.unwrap_or(UNLIMITED_DESCRIPTORS).min(UNLIMITED_DESCRIPTORS);
        Self { memory_bytes: DEFAULT_MEMORY_BYTES, descriptors }
    }
}
