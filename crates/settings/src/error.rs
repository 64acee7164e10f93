//! Faults of settings, reported all at once.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Describes one fault with its place and its remedy.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SettingsError {
    /// File or other source of the text.
    pub file: String,
    /// Path of the key, such as `customers.bank.quota`; empty for the whole text.
    pub path: String,
    /// Fault.
    pub reason: String,
    /// Remedy.
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

/// Holds all faults of one text; never empty.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SettingsErrors(
    /// Faults in the order of the text's levels.
    pub Vec<SettingsError>,
);

impl SettingsErrors {
    /// Creates the report of a single fault that concerns the whole text.
    pub fn whole(file: &str, reason: impl Into<String>, mend: impl Into<String>) -> Self {
        Self(vec![SettingsError {
            file: file.to_owned(),
            path: String::new(),
            reason: reason.into(),
            mend: mend.into(),
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
