//! Memory and file descriptors of a process that a test has started.

use std::io;
use std::time::Duration;

/// Interval between two readings of what a process uses.
const SETTLE_INTERVAL: Duration = Duration::from_millis(200);
/// Number of equal readings after which a process has taken in what its clients have sent.
const UNCHANGED_READINGS: u32 = 5;
/// Maximum number of readings; clients that connect again have no end.
const MAX_READINGS: u32 = 100;

/// Resources that a process uses, as the operating system reports them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProcessUsage {
    /// Largest resident memory since the start of the process, in bytes.
    pub peak_memory_bytes: u64,
    /// Number of open file descriptors.
    pub descriptors: u64,
}

impl ProcessUsage {
    /// Reads the usage of a process.
    ///
    /// # Errors
    /// Fails if the process has ended, or its status can't be read.
    pub fn read(process_id: u32) -> io::Result<Self> {
        let status = std::fs::read_to_string(format!("/proc/{process_id}/status"))?;
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = peak.and_then(|text| text.split_whitespace().next()?.parse::<u64>().ok());
        let kilobytes = kilobytes.ok_or(io::ErrorKind::InvalidData)?;
        let descriptors = std::fs::read_dir(format!("/proc/{process_id}/fd"))?.count() as u64;
        Ok(Self { peak_memory_bytes: kilobytes * 1024, descriptors })
    }

    /// Waits until a process has taken in what its clients have sent, which shows by its usage not
    /// changing any more, or for a bounded time if it goes on changing.
    pub async fn settle(process_id: u32) {
        let mut last = None;
        let mut unchanged = 0;
        for _ in 0..MAX_READINGS {
            tokio::time::sleep(SETTLE_INTERVAL).await;
            let usage = Self::read(process_id).ok();
            unchanged = if usage == last { unchanged + 1 } else { 0 };
            if unchanged == UNCHANGED_READINGS {
                return;
            }
            last = usage;
        }
    }

    /// Checks that a process lives and has used no more than these resources.
    ///
    /// # Panics
    /// Panics if it has ended, or says what it has used.
    pub fn check(process_id: u32, memory_bytes: u64, descriptors: u64) {
        let usage = Self::read(process_id).expect("the process has ended");
        println!(
            "peak memory {} bytes, {} descriptors",
            usage.peak_memory_bytes, usage.descriptors
        );
        let peak = usage.peak_memory_bytes;
        assert!(peak <= memory_bytes, "the process has used {peak} bytes, over {memory_bytes}");
        let open = usage.descriptors;
        assert!(open <= descriptors, "the process has {open} descriptors, over {descriptors}");
    }
}
