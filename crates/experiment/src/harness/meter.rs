//! Reads the processor time and memory of a process from `/proc`.

use std::fs;
use std::path::PathBuf;

/// Meter of one process; a process that has ended reads as 0.
#[derive(Clone, Copy, Debug)]
pub struct ProcessMeter {
    pid: u32,
}

impl ProcessMeter {
    /// Creates a meter for a process id.
    pub fn new(pid: u32) -> Self {
        Self { pid }
    }

    /// Creates a meter for the current process.
    pub fn current_process() -> Self {
        Self::new(std::process::id())
    }

    /// Returns the total processor time of all live threads in seconds.
    pub fn cpu_seconds(&self) -> f64 {
        let Ok(threads) = fs::read_dir(self.path("task")) else {
            return 0.0;
        };
        let nanos = threads.flatten().filter_map(|thread| {
            let text = fs::read_to_string(thread.path().join("schedstat")).ok()?;
            text.split_whitespace().next()?.parse::<f64>().ok()
        });
        nanos.sum::<f64>() / 1e9
    }

    /// Returns the resident anonymous memory in MiB.
    ///
    /// File-backed pages such as the executable are excluded, since the kernel can drop them.
    pub fn anonymous_memory_mb(&self) -> f64 {
        self.status_value("RssAnon:") / 1024.0
    }

    /// Returns the resident memory in MiB, with file-backed pages such as the executable.
    pub fn resident_mb(&self) -> f64 {
        self.status_value("VmRSS:") / 1024.0
    }

    /// Returns a memory size from `/proc/PID/status` in KiB.
    fn status_value(&self, key: &str) -> f64 {
        let text = fs::read_to_string(self.path("status")).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with(key));
        let value = line.and_then(|line| line.split_whitespace().nth(1));
        value.and_then(|value| value.parse().ok()).unwrap_or(0.0)
    }

    fn path(&self, name: &str) -> PathBuf {
        PathBuf::from(format!("/proc/{}/{name}", self.pid))
    }
}
