//! Rendezvous hashing: every host ranks the same candidates in the same order.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the score of a candidate for a key; the candidate with the greatest score wins.
#[must_use]
pub fn score(key: &str, candidate: &str) -> u64 {
    xxh3_64_with_seed(candidate.as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}

/// Returns the score of a numbered candidate for a key; the greatest score wins.
#[must_use]
pub fn score_index(key: u64, index: u16) -> u64 {
    xxh3_64_with_seed(&index.to_le_bytes(), key)
}

/// Returns the candidates ordered by descending score for a key.
#[must_use]
pub fn rank_by_score<'a>(key: &str, candidates: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut ranked: Vec<_> = candidates.map(|name| (score(key, name), name)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, name)| name).collect()
}
