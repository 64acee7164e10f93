//! Record of what was sent, answered and run.

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Record; clones share it.
#[derive(Clone)]
pub struct Record {
    shared: Arc<(Instant, Mutex<Vec<String>>)>,
}

impl Record {
    pub fn new() -> Self {
        Self { shared: Arc::new((Instant::now(), Mutex::default())) }
    }

    /// Adds a line with the time since the beginning.
    pub fn add(&self, line: &str) {
        let seconds = self.shared.0.elapsed().as_secs_f64();
        self.shared.1.lock().unwrap().push(format!("{seconds:8.3}  {line}"));
    }

    /// Writes all lines to a file.
    pub fn write(&self, path: &str) -> std::io::Result<()> {
        let mut file = std::fs::File::create(path)?;
        for line in self.shared.1.lock().unwrap().iter() {
            writeln!(file, "{line}")?;
        }
        Ok(())
    }
}
