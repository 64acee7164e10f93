//! A JSON-lines logger for simplelog.

use std::io::Write;
use std::sync::{Mutex, PoisonError};

use lacewingrail_model::clock::unix_millis;
use log::{LevelFilter, Log, Metadata, Record, SetLoggerError};
use simplelog::{CombinedLogger, Config, SharedLogger};

/// Writes each log record as one JSON object on one line.
pub struct JsonLogger {
    level: LevelFilter,
    component: String,
    instance: String,
    output: Mutex<Box<dyn Write + Send>>,
}

impl JsonLogger {
    /// Creates a logger that names its component and process in each line.
    pub fn new<W>(level: LevelFilter, component: &str, instance: &str, output: W) -> Self
    where
        W: Write + Send + 'static,
    {
        Self {
            level,
            component: component.to_owned(),
            instance: instance.to_owned(),
            output: Mutex::new(Box::new(output)),
        }
    }

    /// Installs a logger on standard error for the whole process.
    pub fn install(
        level: LevelFilter,
        component: &str,
        instance: &str,
    ) -> Result<(), SetLoggerError> {
        let logger = Self::new(level, component, instance, std::io::stderr());
        CombinedLogger::init(vec![Box::new(logger)])
    }
}

impl Log for JsonLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        // Libraries log at debug for each frame; only their warnings are of use to operators.
        let own = metadata.target().starts_with("lacewingrail");
        metadata.level() <= self.level && (own || metadata.level() <= log::Level::Warn)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let line = serde_json::json!({
            "time_ms": unix_millis(),
            "level": record.level().as_str().to_ascii_lowercase(),
            "component": self.component,
            "instance": self.instance,
            "module": record.target(),
            "message": record.args().to_string(),
        });
        let mut output = self.output.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(output, "{line}");
    }

    fn flush(&self) {
        let _ = self.output.lock().unwrap_or_else(PoisonError::into_inner).flush();
    }
}

impl SharedLogger for JsonLogger {
    fn level(&self) -> LevelFilter {
        self.level
    }

    fn config(&self) -> Option<&Config> {
        None
    }

    fn as_log(self: Box<Self>) -> Box<dyn Log> {
        self
    }
}
