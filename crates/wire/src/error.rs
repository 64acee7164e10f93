//! Errors of calls between processes.

use std::fmt;

/// Failure of a call between processes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WireError {
    /// No connection could be opened, so the request was not sent; with the address and the cause.
    Connect(String),
    /// The connection failed during the call, for the given cause.
    Broken(String),
    /// The complete response did not arrive before the timeout.
    Timeout,
    /// A frame is larger than [`MAX_FRAME_BYTES`](crate::codec::MAX_FRAME_BYTES).
    TooLarge {
        /// Size in bytes, or the part of it received so far.
        bytes: usize,
    },
    /// A frame could not be encoded or decoded, for the given cause.
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
