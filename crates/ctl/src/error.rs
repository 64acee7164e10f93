//! Faults of commands and their exit codes.

use std::fmt;

use lacewingrail_model::admin::ApiError;
use lacewingrail_settings::SettingsErrors;

use crate::{EXIT_CONFLICT, EXIT_REFUSED, EXIT_UNREACHABLE, EXIT_USAGE};

/// States why a command failed.
#[derive(Clone, Debug)]
pub enum CtlError {
    /// The command line is wrong.
    Usage(String),
    /// The API, or a local check, refused the request.
    Refused(ApiError),
    /// No server gave a usable answer; each line is one attempt with its remedy.
    Unreachable(Vec<String>),
    /// The change lost a race.
    Conflict(ApiError),
    /// The settings have faults.
    Settings(SettingsErrors),
}

impl CtlError {
    pub(crate) fn usage(reason: impl Into<String>) -> Self {
        Self::Usage(reason.into())
    }

    pub(crate) fn refused(reason: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self::Refused(ApiError {
            reason: reason.into(),
            mend: remedy.into(),
            ..ApiError::default()
        })
    }

    /// Returns the exit code.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) => EXIT_USAGE,
            Self::Refused(_) | Self::Settings(_) => EXIT_REFUSED,
            Self::Unreachable(_) => EXIT_UNREACHABLE,
            Self::Conflict(_) => EXIT_CONFLICT,
        }
    }
}

impl fmt::Display for CtlError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(reason) => {
                write!(formatter, "error: {reason}; see `lacewingrail --help`")
            }
            Self::Refused(error) | Self::Conflict(error) => {
                for fault in &error.faults {
                    writeln!(formatter, "{fault}")?;
                }
                write!(formatter, "error: {}; {}", error.reason, error.mend)
            }
            Self::Unreachable(attempts) => {
                for attempt in attempts {
                    writeln!(formatter, "{attempt}")?;
                }
                formatter
                    .write_str("error: no server carried out the command; follow the lines above")
            }
            Self::Settings(errors) => write!(formatter, "{errors}"),
        }
    }
}

impl std::error::Error for CtlError {}

impl From<pico_args::Error> for CtlError {
    fn from(error: pico_args::Error) -> Self {
        Self::Usage(error.to_string())
    }
}

impl From<SettingsErrors> for CtlError {
    fn from(errors: SettingsErrors) -> Self {
        Self::Settings(errors)
    }
}
