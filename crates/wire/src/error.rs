//! Errors of the wire layer.

use std::fmt;

/// States why a call between processes failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WireError {
    /// The peer could not be reached.
    Connect(String),
    /// The connection broke during the call.
    Broken(String),
    /// The peer did not answer in time.
    Timeout,
    /// A frame is over the size limit.
    TooLarge {
        /// Size in bytes.
        bytes: usize,
    },
    /// A frame could not be decoded.
    Malformed(String),
}

impl fmt::Display for WireError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(cause) => {
                write!(formatter, "cannot connect to the peer ({cause}); check its address")
            }
            Self::Broken(cause) => {
                write!(formatter, "the connection to the peer broke ({cause}); retry the call")
            }
            Self::Timeout => formatter.write_str("the peer did not answer in time; retry the call"),
            Self::TooLarge { bytes } => {
                write!(formatter, "the frame has {bytes} bytes, over the limit; send less")
            }
            Self::Malformed(cause) => {
                write!(formatter, "the frame is malformed ({cause}); check the peer's version")
            }
        }
    }
}

impl std::error::Error for WireError {}
