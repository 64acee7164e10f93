//! Record of one case: what was sent, answered and run, with times from the start of the case.

use std::fmt::Write;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// Collects the lines of a record; clones share them.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl Record {
    /// Creates an empty record whose times count from now.
    pub fn new() -> Self {
        Self { started: Instant::now(), lines: Arc::default() }
    }

    /// Adds a line with the present time.
    pub fn line(&self, text: impl Into<String>) {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push((Instant::now(), text.into()));
    }

    /// Returns the seconds from the start of the case to a time.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started).as_secs_f64()
    }

    /// Writes all lines to a file.
    pub fn save(&self, path: &Path) -> std::io::Result<()> {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();
        for (at, line) in lines.iter() {
            // Writing to a string never fails.
            let _ = writeln!(text, "{:8.3}  {line}", self.seconds(*at));
        }
        std::fs::write(path, text)
    }
}
