//! Which prompt prefixes a backend server is believed to hold.

use std::collections::{BTreeMap, HashMap};

/// Tokens that a cache is assumed to take in before it evicts what was not used since.
///
/// Engines don't state their memory. Too small a guess gives away prefill that was
/// cached; too large a one sends requests after prefixes that are gone.
const ASSUMED_CACHE_TOKENS: u64 = 14_000;
/// Tokens of the shortest prefix that is fingerprinted.
const SHORTEST_PREFIX_TOKENS: u32 = 64;

/// Tokens of the prefix behind the fingerprint at a place, shortest first: 64, 96, 128,
/// 192, 256, 384 and so on, two for each doubling.
///
/// Callers' prompts share beginnings of any length; coarser steps leave up to half of a
/// shared beginning unseen, finer ones cost bytes in each ask.
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

/// Prefixes that one backend server was given lately.
///
/// It rests on grants alone; a cache event that never came costs a prefill, no wrong
/// answer. Fingerprints are salted by client account, so none matches another's. Time is
/// counted in tokens that the cache had to take in, which is what evicts.
#[derive(Debug, Clone, Default)]
pub struct PrefixIndex {
    last_uses: HashMap<u64, LastUse>,
    by_use: BTreeMap<(u64, u64), u64>,
    admitted_tokens: u64,
    sequence: u64,
}

/// Last use of a prefix: tokens taken in by then, and a number that tells uses apart.
#[derive(Debug, Clone, Copy)]
struct LastUse {
    admitted_tokens: u64,
    sequence: u64,
}

impl PrefixIndex {
    /// Tokens of a prompt that are believed to be cached.
    #[must_use]
    pub fn cached_tokens(&self, prefixes: &[u64]) -> u32 {
        prefixes
            .iter()
            .rposition(|prefix| self.last_uses.contains_key(prefix))
            .map_or(0, prefix_tokens)
    }

    /// Remembers the prefixes of a granted request, of which `uncached` tokens were new.
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

    /// Forgets all, as a backend server that died did.
    pub fn clear(&mut self) {
        self.last_uses.clear();
        self.by_use.clear();
    }
}
