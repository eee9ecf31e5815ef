//! The prompt prefixes that a backend server is assumed to have in its cache.

use std::collections::{BTreeMap, HashMap};

/// Tokens that a backend server's cache is assumed to ingest before it evicts entries that
/// were not used since.
///
/// Inference engines don't report their cache size. Too small a value forgoes prefill that
/// is cached; too large a value directs requests to prefixes that were already evicted.
const ASSUMED_CACHE_TOKENS: u64 = 14_000;
/// Tokens of the shortest prefix that is fingerprinted.
const SHORTEST_PREFIX_TOKENS: u32 = 64;

/// Returns the length in tokens of the prefix behind the fingerprint at an index, shortest
/// first: 64, 96, 128, 192, 256, 384 and so on, two per doubling.
///
/// Callers' prompts share prefixes of any length. Coarser steps would miss up to half of a
/// shared prefix; finer ones would cost bytes in each slot request.
#[must_use]
pub fn prefix_tokens(index: usize) -> u32 {
    let doublings = u32::try_from(index / 2).unwrap_or(u32::MAX).min(16);
    let tokens = SHORTEST_PREFIX_TOKENS << doublings;
    if index.is_multiple_of(2) {
        tokens
    } else {
        tokens + tokens / 2
    }
}

/// The prefixes that one backend server was recently sent.
///
/// The index is built from grants alone. A cache change that it misses costs a prefill and
/// never a wrong answer. Fingerprints are salted by client account, so they never match
/// across accounts. Age is measured in tokens that the cache had to ingest, because these
/// cause evictions.
#[derive(Debug, Clone, Default)]
pub struct PrefixIndex {
    /// Last use by fingerprint.
    last_uses: HashMap<u64, LastUse>,
    /// Fingerprints in order of their last use.
    by_use: BTreeMap<(u64, u64), u64>,
    /// Uncached tokens of all grants so far.
    admitted_tokens: u64,
    sequence: u64,
}

/// The last use of a prefix: the tokens ingested by then, and a sequence number that makes
/// each use unique.
#[derive(Debug, Clone, Copy)]
struct LastUse {
    admitted_tokens: u64,
    sequence: u64,
}

impl PrefixIndex {
    /// Returns the number of leading prompt tokens that are assumed to be cached.
    #[must_use]
    pub fn cached_tokens(&self, prefixes: &[u64]) -> u32 {
        prefixes
            .iter()
            .rposition(|prefix| self.last_uses.contains_key(prefix))
            .map_or(0, prefix_tokens)
    }

    /// Records the prefixes of a granted request, of which `uncached` tokens were not
    /// cached.
    pub fn insert(&mut self, prefixes: &[u64], uncached: u32) {
        self.admitted_tokens += u64::from(uncached);
        for prefix in prefixes {
            self.sequence += 1;
            let (admitted_tokens, sequence) = (self.admitted_tokens, self.sequence);
            if let Some(old) = self.last_uses.insert(
                *prefix,
                LastUse {
                    admitted_tokens,
                    sequence,
                },
            ) {
                self.by_use.remove(&(old.admitted_tokens, old.sequence));
            }
            self.by_use.insert((admitted_tokens, sequence), *prefix);
        }
        self.evict();
    }

    fn evict(&mut self) {
        let oldest = self.admitted_tokens.saturating_sub(ASSUMED_CACHE_TOKENS);
        while let Some((last_use, prefix)) = self.by_use.first_key_value() {
            if last_use.0 >= oldest {
                return;
            }
            self.last_uses.remove(prefix);
            self.by_use.pop_first();
        }
    }

    /// Removes all prefixes, because the backend server lost its cache.
    pub fn clear(&mut self) {
        self.last_uses.clear();
        self.by_use.clear();
    }
}
