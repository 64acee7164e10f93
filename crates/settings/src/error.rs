//! Errors in settings, of which all are reported together.

use std::fmt;

use serde::{Deserialize, Serialize};

/// One error in settings with its location and its remedy.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SettingsError {
    /// File or other source of the text.
    pub file: String,
    /// Path of the key, such as `customers.bank.quota`; empty for the whole text.
    pub path: String,
    /// What is wrong with the value.
    pub reason: String,
    /// What the operator can do about it.
    pub mend: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: ", self.file)?;
        if !self.path.is_empty() {
            write!(formatter, "{}: ", self.path)?;
        }
        write!(formatter, "{}; {}", self.reason, self.mend)
    }
}

/// All errors in one text; never empty.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SettingsErrors(
    /// Errors in the order in which the checks found them.
    pub Vec<SettingsError>,
);

impl SettingsErrors {
    /// Creates a single error that concerns the whole text and has no path.
    pub fn for_source(file: &str, reason: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self(vec![SettingsError {
            file: file.to_owned(),
            path: String::new(),
            reason: reason.into(),
            mend: remedy.into(),
        }])
    }
}

impl fmt::Display for SettingsErrors {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.0.iter().enumerate() {
            if index > 0 {
                formatter.write_str("\n")?;
            }
            error.fmt(formatter)?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsErrors {}
