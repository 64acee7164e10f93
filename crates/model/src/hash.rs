//! Stable hashing for shards, digests and rendezvous selection.
//!
//! Hash values must be the same in every process and release, because the keys of claims depend on
//! them.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Returns the stable 64-bit hash of a byte string.
pub fn digest(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Returns the shard of a key among `shards`, which must not be zero.
pub fn shard(key: &str, shards: u64) -> u64 {
    digest(key.as_bytes()) % shards
}

/// Selects the candidate with the highest rendezvous weight for a key.
///
/// Source: Thaler and Ravishankar, "A name-based mapping scheme for rendezvous", 1996.
pub fn select_rendezvous<'a, I>(key: &str, candidates: I) -> Option<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    let seed = digest(key.as_bytes());
    candidates.into_iter().max_by_key(|name| (xxh3_64_with_seed(name.as_bytes(), seed), *name))
}
