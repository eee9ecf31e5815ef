//! Which backend server is believed to hold which prompt prefixes.

use std::collections::{BTreeMap, HashMap};

/// Fingerprints remembered for one backend server.
const KEPT: usize = 2_048;
/// Tokens of the shortest prefix that is fingerprinted; each next is twice as long.
const FIRST_PREFIX_TOKENS: u32 = 64;

/// Prefixes that one backend server was given lately, the latest kept.
///
/// It rests on grants alone; a cache event that never came costs a prefill, no wrong
/// answer. Fingerprints are salted by client account, so none matches another's.
#[derive(Debug, Clone, Default)]
pub struct PrefixIndex {
    used: HashMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    clock: u64,
}

impl PrefixIndex {
    /// Tokens of a prompt that are believed to be cached.
    #[must_use]
    pub fn cached_tokens(&self, prefixes: &[u64]) -> u32 {
        prefixes
            .iter()
            .rposition(|prefix| self.used.contains_key(prefix))
            .map_or(0, tokens_of)
    }

    /// Remembers the prefixes of a granted request.
    pub fn insert(&mut self, prefixes: &[u64]) {
        for prefix in prefixes {
            self.clock += 1;
            if let Some(old) = self.used.insert(*prefix, self.clock) {
                self.by_use.remove(&old);
            }
            self.by_use.insert(self.clock, *prefix);
        }
        while self.by_use.len() > KEPT {
            if let Some((_, prefix)) = self.by_use.pop_first() {
                self.used.remove(&prefix);
            }
        }
    }

    /// Forgets all, as a backend server that died did.
    pub fn clear(&mut self) {
        self.used.clear();
        self.by_use.clear();
    }
}

fn tokens_of(index: usize) -> u32 {
    let doublings = u32::try_from(index).unwrap_or(u32::MAX).min(16);
    FIRST_PREFIX_TOKENS << doublings
}
