//! Rendezvous (highest random weight) hashing.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// XXH3 hash of `bytes`, the same on every VM.
pub fn hash64(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Candidate with the highest hash for `key`; `None` without candidates.
///
/// Removing a candidate reassigns only the keys that were assigned to it.
pub fn rendezvous_hash<'a, T, I>(key: &str, candidates: I) -> Option<&'a T>
where
    T: AsRef<str> + Ord,
    I: IntoIterator<Item = &'a T>,
{
    let seed = hash64(key.as_bytes());
    candidates.into_iter().max_by_key(|candidate| {
        (
            xxh3_64_with_seed(candidate.as_ref().as_bytes(), seed),
            *candidate,
        )
    })
}
