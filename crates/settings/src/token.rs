//! Digests of access tokens.
//!
//! The settings tree contains only digests, so that neither a copy of the tree nor a user who can read
//! the configuration reveals a token. SHA-256 without a salt is enough, because tokens are long and
//! random.

use sha2::{Digest, Sha256};

/// Length of a digest in hexadecimal digits, 4 bits each.
pub const DIGEST_DIGITS: usize = 64;

/// Returns the SHA-256 digest of a token in lower-case hexadecimal digits.
pub fn token_digest(token: &str) -> String {
    Sha256::digest(token.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns whether a text has the form of a digest: 64 lower-case hexadecimal digits.
pub fn is_digest(text: &str) -> bool {
    text.len() == DIGEST_DIGITS
        && text.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'))
}
