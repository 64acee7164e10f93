//! Encoding of frames.
//!
//! Only this module depends on bincode, so that another codec can replace it. It uses bincode 2,
//! because release 3.0.0 on the registry is not usable.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::WireError;

/// Maximum size of a frame in bytes: the largest stored value plus 64 KiB for the rest of the frame.
pub const MAX_FRAME_BYTES: usize = 1_000_000 + 64 * 1024;

/// Encodes a frame.
///
/// # Errors
/// Returns [`WireError::TooLarge`] if the frame is over [`MAX_FRAME_BYTES`], or
/// [`WireError::Malformed`] if it cannot be encoded.
pub fn encode<T>(frame: &T) -> Result<Vec<u8>, WireError>
where
    T: Serialize,
{
    let bytes = bincode::serde::encode_to_vec(frame, bincode_config())
        .map_err(|error| WireError::Malformed(error.to_string()))?;
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(WireError::TooLarge { bytes: bytes.len() });
    }
    Ok(bytes)
}

/// Decodes a frame.
///
/// # Errors
/// Returns [`WireError::TooLarge`] if the input is over [`MAX_FRAME_BYTES`], or
/// [`WireError::Malformed`] if it cannot be decoded or has trailing bytes.
pub fn decode<T>(bytes: &[u8]) -> Result<T, WireError>
where
    T: DeserializeOwned,
{
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(WireError::TooLarge { bytes: bytes.len() });
    }
    let (frame, used) = bincode::serde::decode_from_slice(bytes, bincode_config())
        .map_err(|error| WireError::Malformed(error.to_string()))?;
    if used != bytes.len() {
        return Err(WireError::Malformed(format!("{} bytes left over", bytes.len() - used)));
    }
    Ok(frame)
}

fn bincode_config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_FRAME_BYTES>()
}
