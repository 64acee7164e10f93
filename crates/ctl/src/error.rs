//! Errors of commands and their exit codes.

use std::fmt;

use lacewingrail_model::admin::ApiError;
use lacewingrail_settings::SettingsErrors;

use crate::{EXIT_CONFLICT, EXIT_REFUSED, EXIT_UNREACHABLE, EXIT_USAGE};

/// Error that ends a command.
#[derive(Clone, Debug)]
pub enum CtlError {
    /// The command line is invalid.
    Usage(String),
    /// The API or a local check rejected the request.
    Refused(ApiError),
    /// No server returned a usable response; each entry describes a failed attempt.
    Unreachable(Vec<String>),
    /// A concurrent change took effect first.
    Conflict(ApiError),
    /// The settings are invalid.
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

    /// Returns the exit code of the process.
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
                formatter.write_str("error: no server completed the command; see the lines above")
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
