//! Rendezvous (highest random weight) hashing.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// 64-bit XXH3 hash of `bytes`; stable across processes and versions.
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Hash of `candidate` seeded with `key`; the weight of a candidate in rendezvous hashing.
pub fn hash_pair(key: u64, candidate: u64) -> u64 {
    xxh3_64_with_seed(&candidate.to_le_bytes(), key)
}

/// Sorts candidates by descending weight for `key`.
///
/// Removing a candidate does not change the order of the others.
pub fn rendezvous_order<T: Copy>(
    key: u64,
    candidates: impl Iterator<Item = T>,
    id: impl Fn(&T) -> u64,
) -> Vec<T> {
    let mut weighted: Vec<(u64, T)> = candidates
        .map(|candidate| (hash_pair(key, id(&candidate)), candidate))
        .collect();
    weighted.sort_by_key(|(weight, _)| std::cmp::Reverse(*weight));
    weighted
        .into_iter()
        .map(|(_, candidate)| candidate)
        .collect()
}

/// Selects the candidate with the highest weight for `key`.
pub fn rendezvous_owner<T: Copy>(
    key: u64,
    candidates: impl Iterator<Item = T>,
    id: impl Fn(&T) -> u64,
) -> Option<T> {
    candidates.max_by_key(|candidate| hash_pair(key, id(candidate)))
}
