//! Logger for simplelog that writes JSON lines.

use std::io::Write;
use std::sync::{Mutex, PoisonError};

use lacewingrail_model::clock::unix_millis;
use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record, SetLoggerError};
use serde_json::Map;
use simplelog::{CombinedLogger, Config, SharedLogger};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};

/// Maximum number of lines waiting to be written; 256 KB at about 250 bytes per line.
const MAX_QUEUED_LINES: usize = 1024;

/// Logger that writes each record as one JSON object on one line.
pub struct JsonLogger {
    level: LevelFilter,
    component: String,
    instance: String,
    output: Mutex<Box<dyn Write + Send>>,
}

impl JsonLogger {
    /// Creates a logger that writes `component` and `instance` (the process id) in each line.
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

    /// Installs a logger that writes to standard error, for the whole process.
    ///
    /// # Errors
    ///
    /// Returns an error if a logger is already installed.
    pub fn install(
        level: LevelFilter,
        component: &str,
        instance: &str,
    ) -> Result<(), SetLoggerError> {
        let logger = Self::new(level, component, instance, std::io::stderr());
        CombinedLogger::init(vec![Box::new(logger)])
    }

    /// Installs a logger that writes to standard output and never blocks the process.
    ///
    /// A thread writes the lines from a bounded queue; lines that do not fit are dropped. Dropping
    /// the guard writes the queued lines.
    ///
    /// # Errors
    ///
    /// Returns an error if a logger is already installed.
    pub fn install_non_blocking(
        level: LevelFilter,
        component: &str,
        instance: &str,
    ) -> Result<WorkerGuard, SetLoggerError> {
        let (output, guard) = NonBlockingBuilder::default()
            .lossy(true)
            .buffered_lines_limit(MAX_QUEUED_LINES)
            .finish(std::io::stdout());
        let logger = Self::new(level, component, instance, output);
        CombinedLogger::init(vec![Box::new(logger)])?;
        Ok(guard)
    }
}

impl Log for JsonLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        // Libraries log each frame at debug level; only their warnings are useful to operators.
        let own_target = metadata.target().starts_with("lacewingrail");
        metadata.level() <= self.level && (own_target || metadata.level() <= log::Level::Warn)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let mut line = serde_json::json!({
            "time_ms": unix_millis(),
            "level": record.level().as_str().to_ascii_lowercase(),
            "component": self.component,
            "instance": self.instance,
            "module": record.target(),
            "message": record.args().to_string(),
        });
        if let Some(fields) = line.as_object_mut() {
            // The visitor never fails, so every field is visited.
            let _ = record.key_values().visit(&mut FieldVisitor(fields));
        }
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

/// Copies the key-value fields of a record into its JSON object.
struct FieldVisitor<'a>(&'a mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let text = || serde_json::Value::from(value.to_string());
        let number = value.to_u64().map(serde_json::Value::from);
        let flag = value.to_bool().map(serde_json::Value::from);
        self.0.insert(key.to_string(), number.or(flag).unwrap_or_else(text));
        Ok(())
    }
}
